//! The time that requests of each route take at a target with a free slot.

use std::time::Duration;

use tanager_core::FastMap;

use crate::segment::Endpoint;

/// Weight of one answer in the mean, as for round-trip times in RFC 6298.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of one answer in the mean deviation, as in RFC 6298.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Number of mean deviations beyond the mean within which almost all answers arrive, as in RFC 6298.
const DEVIATION_FACTOR: f64 = 4.0;
/// Work of a route of which no request has been answered yet.
const UNKNOWN_WORK: Duration = Duration::from_millis(50);
/// Factor by which a request may take longer at a target with as many requests as it is sent at most.
const QUEUE_FACTOR: f64 = 2.5;
/// Shortest time after which an unanswered request no longer counts as in flight.
const MIN_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time after which an unanswered request no longer counts as in flight.
const MAX_TIMEOUT: Duration = Duration::from_secs(1);

/// Mean and mean deviation in seconds.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

/// The work of the requests of each route.
#[derive(Debug, Default)]
pub struct WorkTimes {
    routes: FastMap<Endpoint, Estimate>,
}

impl WorkTimes {
    /// Records the time of an answer by a target that had a free slot.
    pub fn record(&mut self, route: Endpoint, time: Duration) {
        let time = time.as_secs_f64();
        let first = Estimate {
            mean: time,
            deviation: time / 2.0,
        };
        let estimate = self.routes.entry(route).or_insert(first);
        estimate.deviation +=
            DEVIATION_WEIGHT * ((time - estimate.mean).abs() - estimate.deviation);
        estimate.mean += MEAN_WEIGHT * (time - estimate.mean);
    }

    /// Returns the mean time of a route's requests.
    pub fn mean(&self, route: Endpoint) -> Duration {
        let estimate = self.routes.get(&route);
        estimate.map_or(UNKNOWN_WORK, |e| Duration::from_secs_f64(e.mean))
    }

    /// Returns the time after which an unanswered request no longer counts as in flight.
    pub fn timeout(&self, route: Endpoint) -> Duration {
        let usual = self.routes.get(&route).map_or(MIN_TIMEOUT, |e| {
            let longest = e.mean + DEVIATION_FACTOR * e.deviation;
            Duration::from_secs_f64(longest * QUEUE_FACTOR)
        });
        usual.clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// Removes all routes for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(Endpoint) -> bool) {
        self.routes.retain(|address, _| keep(*address));
    }
}
