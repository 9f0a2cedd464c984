//! The limit of an instance on its requests in flight to a service.

use std::time::Duration;

use tanager_admission::RateMeter;
use tanager_core::{Millis, PublishedService};

use super::shares::OfferedLoad;

/// Interval between two updates of the limits.
pub const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Time over which the rates are averaged that decide how tight a limit is. Short, so that a limit
/// loosens soon after a burst.
pub const RECENT_WINDOW: Duration = Duration::from_millis(250);
/// Requests in flight per slot: one that runs, and 1.5 that wait or are on the path between instance
/// and target, so that no slot idles.
const DEPTH: f64 = 2.5;
/// Requests in flight per slot while hardly more is offered than admitted. Requests on open flows are
/// bound to their targets, so near the capacity some targets have long queues while others have free
/// slots, and [`DEPTH`] would hold requests back that can be served.
const LOOSE_DEPTH: f64 = 5.0;
/// Share of refused requests from which [`DEPTH`] applies.
const TIGHT_REFUSALS: f64 = 0.1;
/// Time after a surge for which [`DEPTH`] applies: the rates need as long to show an overload.
const SURGE_TIME: Duration = Duration::from_millis(300);
/// Ratio of offered to admitted requests up to which [`LOOSE_DEPTH`] applies.
const LOOSE_RATIO: f64 = 1.05;
/// Ratio of offered to admitted requests from which [`DEPTH`] applies.
const TIGHT_RATIO: f64 = 1.2;
/// Requests in flight per slot from which the targets of a service are busy.
const BUSY_DEPTH: f64 = 1.5;
/// Standard deviations by which the requests in flight of this instance have to exceed its part of
/// [`BUSY_DEPTH`] to show without reports of others, which are about a second old, that targets are
/// busy. They also have to exceed its part of [`LOOSE_DEPTH`].
const SURGE_DEVIATIONS: f64 = 3.0;
/// Requests in flight of this instance below which they show nothing about the targets.
const MIN_SURGE: f64 = 8.0;
/// Refusals per second by full targets from which a service is busy. Single ones occur by chance.
const MIN_REFUSALS: f64 = 2.0;
/// Share of refusals among all requests from which a service is busy.
const REFUSAL_SHARE: f64 = 0.05;
/// Time after the targets were last busy at which a limit ends.
const LIMIT_LIFETIME: Duration = Duration::from_secs(1);

/// The usable targets of a service.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Capacity {
    /// Their slots.
    pub slots: f64,
    /// Requests in flight to them from other instances, as reported.
    pub others: f64,
}

/// A limit that began or ended.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitChange {
    /// The service.
    pub service: PublishedService,
    /// The limit of requests in flight of this instance; `None` after the overload.
    pub limit: Option<f64>,
    /// Requests in flight of this instance.
    pub running: u32,
    /// Requests in flight of other instances, as reported.
    pub others: f64,
    /// Slots of the usable targets.
    pub slots: f64,
}

/// The limit on the requests in flight to one service.
#[derive(Debug)]
pub struct Limiter {
    /// `None` unless the targets were busy within [`LIMIT_LIFETIME`]. Invariant: at least 1.
    limit: Option<f64>,
    /// Part of a request that may exceed the integral limit. With a limit of 1.6, six of ten ends of
    /// requests admit a second one.
    credit: f64,
    refusals: RateMeter,
    /// The same over [`RECENT_WINDOW`].
    recent_refusals: RateMeter,
    /// When the targets were last busy.
    busy_at: Millis,
    /// Requests in flight per slot of the service.
    ratio: f64,
    /// Requests in flight of this instance from which the targets are busy, whatever others report.
    surge: f64,
    /// When so many were last in flight.
    surged: Millis,
}

impl Default for Limiter {
    fn default() -> Self {
        Self {
            limit: None,
            credit: 0.0,
            refusals: RateMeter::new(Duration::from_secs(1)),
            recent_refusals: RateMeter::new(RECENT_WINDOW),
            busy_at: Millis::default(),
            ratio: 0.0,
            surge: f64::INFINITY,
            surged: Millis::default(),
        }
    }
}

impl Limiter {
    /// Returns the limit, if there is one.
    pub const fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Returns the requests in flight per slot of the service when the limit was last updated.
    pub const fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Returns whether so many requests are in flight that a limit should begin at once.
    pub fn is_surging(&self, running: u32) -> bool {
        self.limit.is_none() && f64::from(running) >= self.surge
    }

    /// Returns whether another request can be admitted.
    pub fn has_room(&self, running: u32) -> bool {
        let Some(limit) = self.limit else {
            return true;
        };
        let running = f64::from(running);
        running + 1.0 <= limit || (running < limit && self.credit >= 1.0)
    }

    /// Uses up what admits a request beyond the integral limit.
    pub fn consume_room(&mut self, running: u32) {
        if self.limit.is_some_and(|l| f64::from(running) + 1.0 > l) {
            self.credit = (self.credit - 1.0).max(0.0);
        }
    }

    /// Records the end of a request.
    pub fn record_end(&mut self) {
        let fraction = self.limit.map_or(0.0, f64::fract);
        self.credit = (self.credit + fraction).min(1.0);
    }

    /// Records that a full target refused a request.
    pub fn record_refusal(&mut self, now: Millis) {
        self.refusals.add(1.0, now);
        self.recent_refusals.add(1.0, now);
    }

    /// Updates the limit. `fraction` is the part of the capacity to which this instance is entitled,
    /// `own` the rates of its requests over [`RECENT_WINDOW`], of which `running` are in flight and `waiting` held.
    pub fn update(
        &mut self,
        capacity: Capacity,
        fraction: f64,
        (running, waiting): (u32, u32),
        own: OfferedLoad,
        now: Millis,
    ) {
        let running = f64::from(running);
        self.ratio = if capacity.slots > 0.0 {
            (running + capacity.others) / capacity.slots
        } else {
            0.0
        };
        let expected = capacity.slots * BUSY_DEPTH * fraction;
        let surge = expected + SURGE_DEVIATIONS * expected.sqrt();
        let loose = capacity.slots * LOOSE_DEPTH * fraction;
        self.surge = surge.max(loose).max(MIN_SURGE);
        if self.is_busy(capacity, running, own, now) {
            self.busy_at = now;
        } else if now.since(self.busy_at) >= LIMIT_LIFETIME || capacity.slots <= 0.0 {
            self.limit = None;
            self.credit = 0.0;
            return;
        }
        // Any share has room for one request.
        let slots = capacity.slots * fraction;
        if running >= self.surge {
            self.surged = now;
        }
        let refused = self.refused_share(own, now);
        let depth = if now.since(self.surged) < SURGE_TIME {
            DEPTH
        } else {
            depth(own, refused, f64::from(waiting) / slots.max(1.0))
        };
        self.limit = Some((slots * depth).max(1.0));
    }

    /// Returns the share of refused requests.
    fn refused_share(&self, own: OfferedLoad, now: Millis) -> f64 {
        if own.admitted <= 0.0 {
            return 0.0;
        }
        self.recent_refusals.per_second(now) / own.admitted
    }

    fn is_busy(&self, capacity: Capacity, running: f64, own: OfferedLoad, now: Millis) -> bool {
        let surge = running >= self.surge;
        let refused = self.refusals.per_second(now) >= MIN_REFUSALS
            && self.refused_share(own, now) >= REFUSAL_SHARE;
        let used = running > 0.0 && capacity.slots > 0.0;
        used && (self.ratio >= BUSY_DEPTH || surge || refused)
    }
}

/// Returns the requests in flight per slot at the present rates, with a share of refused requests and
/// so many held requests per slot.
fn depth(own: OfferedLoad, refused: f64, waiting: f64) -> f64 {
    let offered = if own.admitted > 0.0 {
        own.offered / own.admitted
    } else {
        1.0
    };
    let by_rate = (offered - LOOSE_RATIO) / (TIGHT_RATIO - LOOSE_RATIO);
    // Targets with short queues refuse requests before any is held, and the rates need a second to
    // show an overload.
    let excess = by_rate.max(refused / TIGHT_REFUSALS).max(waiting);
    let excess = excess.clamp(0.0, 1.0);
    LOOSE_DEPTH + (DEPTH - LOOSE_DEPTH) * excess
}
