//! How often instances call the platform, so that the whole fleet stays within its limit.

use std::time::Duration;

use rand::{Rng, RngExt as _};

/// Calls a second on one document by the whole fleet when all instances call again at once. With
/// two documents the fleet stays well under 100.
const FLEET_RATE: f64 = 20.0;
/// First delay after a failed call; doubled up to a limit.
const BACKOFF_START: Duration = Duration::from_millis(200);
/// Longest backoff in a fleet of known size, before the size is taken into account.
const BACKOFF_KNOWN: Duration = Duration::from_secs(2);
/// Longest backoff while the size of the fleet is unknown.
const BACKOFF_UNKNOWN: Duration = Duration::from_secs(30);
/// Delay after a document that cannot be used, which the platform would serve again at once.
const UNUSABLE: Duration = Duration::from_secs(1);

/// Documents of up to this size, in bytes, are watched without rest.
const SMALL: usize = 16 << 10;
/// How long the platform may hold a watcher's call on a larger document. All calls held when a
/// change is published are answered with the whole text, which at 580 KB and 570 changes a day
/// would cost every watcher 3.8 KB/s; with rests only some of them hold a call at any moment, and
/// the others get the delta from a peer.
const LARGE_HOLD: Duration = Duration::from_secs(1);
/// Shortest and longest rest of a watcher of a larger document. A change must be in force within
/// 6 s, also in a zone where only one watcher is left.
const LARGE_REST: [f64; 2] = [2.0, 4.0];
/// Safety-net calls a second on one document by the instances that do not watch.
const CHECK_RATE: f64 = 5.0;
/// Shortest mean time between two safety-net calls of an instance.
const CHECK_INTERVAL: f64 = 30.0;

/// Returns how long the platform may hold a watcher's call on a document of `bytes`.
pub(super) fn hold(bytes: usize, wait: Duration) -> Duration {
    if bytes > SMALL {
        wait.min(LARGE_HOLD)
    } else {
        wait
    }
}

/// Returns how long a watcher rests after a call on a document of `bytes`.
pub(super) fn rest(bytes: usize, rng: &mut impl Rng) -> Duration {
    let [shortest, longest] = LARGE_REST;
    if bytes > SMALL {
        Duration::from_secs_f64(rng.random_range(shortest..longest))
    } else {
        Duration::ZERO
    }
}

/// Returns the time to the next safety-net call in a fleet of `instances`.
pub(super) fn check_interval(instances: usize, rng: &mut impl Rng) -> Duration {
    let instances = f64::from(u32::try_from(instances).unwrap_or(u32::MAX));
    let mean = (instances / CHECK_RATE).max(CHECK_INTERVAL);
    Duration::from_secs_f64(mean * rng.random_range(0.5..1.5))
}

/// Delays between calls on the platform. They grow with the fleet, so that its rate of calls does
/// not; meanwhile the instances that call first pass on what is new.
#[derive(Debug)]
pub(super) struct Pace {
    backoff: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            backoff: BACKOFF_START,
        }
    }
}

impl Pace {
    /// Returns the delay after a failed call. `instances` is the size of the fleet, if known.
    pub(super) fn after_failure(
        &mut self,
        instances: Option<usize>,
        rng: &mut impl Rng,
    ) -> Duration {
        let window = instances.map_or(BACKOFF_START, window);
        let limit = instances.map_or(BACKOFF_UNKNOWN, |_| BACKOFF_KNOWN);
        // When the platform fails, all waiting calls end together; the first delay spreads them
        // over the whole window.
        let factor = if self.backoff == BACKOFF_START {
            rng.random_range(0.0..1.0)
        } else {
            rng.random_range(0.5..1.5)
        };
        let delay = self.backoff.max(window).mul_f64(factor);
        self.backoff = (self.backoff * 2).min(limit);
        delay
    }

    /// Returns the delay after a call that was answered as it should be. All instances get a new
    /// document together and must not call again together.
    pub(super) fn after_answer(&mut self, instances: usize, rng: &mut impl Rng) -> Duration {
        self.backoff = BACKOFF_START;
        window(instances).mul_f64(rng.random_range(0.0..1.0))
    }

    /// Returns the delay after a document that is stale or invalid.
    pub(super) fn after_unusable(&mut self, instances: usize, rng: &mut impl Rng) -> Duration {
        self.backoff = BACKOFF_START;
        let delay = UNUSABLE.max(window(instances));
        delay.mul_f64(rng.random_range(0.5..1.5))
    }
}

/// Returns the time over which a fleet's calls are spread.
fn window(instances: usize) -> Duration {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    Duration::from_secs_f64(f64::from(instances) / FLEET_RATE)
}
