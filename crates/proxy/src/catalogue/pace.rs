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
