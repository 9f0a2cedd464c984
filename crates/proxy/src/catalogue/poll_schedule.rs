//! Schedules the calls of an instance on the platform, so that the fleet stays within its call
//! limit.

use std::time::Duration;

use rand::{Rng, RngExt as _};

/// Calls per second on one document by the whole fleet when all instances call again at the same
/// time. With two documents the fleet stays well under 100.
const FLEET_CALL_RATE: f64 = 20.0;
/// First delay after a failed call. It doubles with each further failure up to a limit.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum backoff in a fleet of known size. The delay may be longer in a large fleet.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum backoff while the size of the fleet is unknown.
const MAX_BACKOFF_UNKNOWN_SIZE: Duration = Duration::from_secs(30);
/// Minimum mean delay after a stale or invalid document. Without it the platform would serve the
/// document again at once.
const UNUSABLE_DELAY: Duration = Duration::from_secs(1);

/// Documents of up to this size, in bytes, are watched without pauses.
const SMALL_DOCUMENT_BYTES: usize = 16 << 10;
/// How long the platform may hold a watcher's call on a larger document. All calls held when a
/// change is published are answered with the full text, which at 580 KB and 570 changes a day would
/// cost every watcher 3.8 KB/s. With pauses only some watchers have a call open at any time, and
/// the others get the delta from a peer.
const LARGE_HOLD_TIME: Duration = Duration::from_secs(1);
/// Minimum and maximum pause of a watcher of a larger document, in seconds. A change must be in
/// force within 6 s, even in a zone where only one watcher is left.
const LARGE_WATCH_PAUSE: [f64; 2] = [2.0, 4.0];
/// Fallback calls per second on one document by all instances that do not watch.
const FALLBACK_CALL_RATE: f64 = 5.0;
/// Minimum mean time between two fallback calls of an instance, in seconds.
const MIN_FALLBACK_INTERVAL: f64 = 30.0;

/// Returns how long the platform may hold a watcher's call on a document of `bytes`.
pub(super) fn hold_time(bytes: usize, wait: Duration) -> Duration {
    if bytes > SMALL_DOCUMENT_BYTES {
        wait.min(LARGE_HOLD_TIME)
    } else {
        wait
    }
}

/// Returns how long a watcher pauses after a call on a document of `bytes`.
pub(super) fn watch_pause(bytes: usize, rng: &mut impl Rng) -> Duration {
    let [shortest, longest] = LARGE_WATCH_PAUSE;
    if bytes > SMALL_DOCUMENT_BYTES {
        Duration::from_secs_f64(rng.random_range(shortest..longest))
    } else {
        Duration::ZERO
    }
}

/// Returns the time to the next fallback call in a fleet of `instances`.
pub(super) fn fallback_interval(instances: usize, rng: &mut impl Rng) -> Duration {
    let instances = f64::from(u32::try_from(instances).unwrap_or(u32::MAX));
    let mean = (instances / FALLBACK_CALL_RATE).max(MIN_FALLBACK_INTERVAL);
    Duration::from_secs_f64(mean * rng.random_range(0.5..1.5))
}

/// Delays between calls on the platform. They grow with the size of the fleet, so that its call
/// rate does not. The instances that call first announce changes to the others.
#[derive(Debug)]
pub(super) struct PollSchedule {
    /// Backoff of the next failed call.
    backoff: Duration,
}

impl Default for PollSchedule {
    fn default() -> Self {
        Self {
            backoff: INITIAL_BACKOFF,
        }
    }
}

impl PollSchedule {
    /// Returns the delay after a failed call. `instances` is the size of the fleet, if known.
    pub(super) fn after_failure(
        &mut self,
        instances: Option<usize>,
        rng: &mut impl Rng,
    ) -> Duration {
        let window = instances.map_or(INITIAL_BACKOFF, call_window);
        let limit = instances.map_or(MAX_BACKOFF_UNKNOWN_SIZE, |_| MAX_BACKOFF);
        // When the platform fails, all held calls end together. The first delay distributes the
        // retries over the whole window.
        let factor = if self.backoff == INITIAL_BACKOFF {
            rng.random_range(0.0..1.0)
        } else {
            rng.random_range(0.5..1.5)
        };
        let delay = self.backoff.max(window).mul_f64(factor);
        self.backoff = (self.backoff * 2).min(limit);
        delay
    }

    /// Returns the delay after a successful call. All instances get a new document at the same time
    /// and must not call again at the same time.
    pub(super) fn after_answer(&mut self, instances: usize, rng: &mut impl Rng) -> Duration {
        self.backoff = INITIAL_BACKOFF;
        call_window(instances).mul_f64(rng.random_range(0.0..1.0))
    }

    /// Returns the delay after a stale or invalid document.
    pub(super) fn after_unusable(&mut self, instances: usize, rng: &mut impl Rng) -> Duration {
        self.backoff = INITIAL_BACKOFF;
        let delay = UNUSABLE_DELAY.max(call_window(instances));
        delay.mul_f64(rng.random_range(0.5..1.5))
    }
}

/// Returns the time over which the calls of a fleet are distributed.
fn call_window(instances: usize) -> Duration {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    Duration::from_secs_f64(f64::from(instances) / FLEET_CALL_RATE)
}
