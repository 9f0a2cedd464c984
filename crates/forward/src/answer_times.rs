//! The usual time from a request to the acknowledgement of its answer, for each route. It bounds
//! how long a request without an acknowledgement counts as load of its target.

use std::time::Duration;

use tanager_core::FastMap;

use crate::segment::Endpoint;
use crate::typical_time::TypicalTime;

/// Minimum time for which a request counts as load, also of routes without answers so far.
const MIN_LOAD_TIME: Duration = Duration::from_millis(150);
/// Maximum time. A client that acknowledges an answer only with its next request would otherwise
/// keep its request counted.
const MAX_LOAD_TIME: Duration = Duration::from_secs(1);

/// Usual answer times of the routes.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    routes: FastMap<Endpoint, TypicalTime>,
}

impl AnswerTimes {
    /// Updates the estimate of a route with an acknowledged answer.
    pub fn record(&mut self, route: Endpoint, time: Duration) {
        let previous = self.routes.get(&route).copied();
        let estimate = TypicalTime::observe(previous, time.min(MAX_LOAD_TIME));
        self.routes.insert(route, estimate);
    }

    /// Returns the time for which an unacknowledged request of a route counts as load.
    pub fn load_time(&self, route: Endpoint) -> Duration {
        let usual = self.routes.get(&route);
        let bound = usual
            .copied()
            .map_or(MIN_LOAD_TIME, TypicalTime::upper_bound);
        bound.clamp(MIN_LOAD_TIME, MAX_LOAD_TIME)
    }

    /// Returns the usual answer time of a route, if answers were observed.
    pub fn usual(&self, route: Endpoint) -> Option<Duration> {
        self.routes.get(&route).copied().map(TypicalTime::mean)
    }

    /// Removes all routes for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(Endpoint) -> bool) {
        self.routes.retain(|address, _| keep(*address));
    }
}
