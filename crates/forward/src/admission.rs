//! Limits the requests in flight to services that are overloaded.
//!
//! Targets queue more requests than they can answer within the objective of their route. Beyond
//! capacity all queues are full, and all answers are late. Each instance therefore adapts a limit on
//! its own requests in flight to each service by the share of late answers, and sheds what exceeds
//! it. Instances do not coordinate: all observe the same queues.

use std::time::Duration;

use tanager_core::{FastMap, Millis, PublishedService};

use crate::{Kind, Route};

/// Time between two changes of a limit.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a limit changes even if fewer than [`MIN_ANSWERS`] were observed.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// Answers to observe before a limit changes.
const MIN_ANSWERS: u32 = 12;
/// Share of its route's objective from which an answer counts as late. The rest is for the
/// opening of the flow and for the paths between client, instance and target.
const LATE_RATIO: f64 = 0.9;
/// The same while the service is limited. Lower, so that answers are in time despite the variance of
/// queues.
const LIMITED_LATE_RATIO: f64 = 0.7;
/// Share of late answers above which a service counts as overloaded. Lower shares occur by chance
/// when most slots are busy.
const OVERLOAD_SHARE: f64 = 0.5;
/// Share of late answers above which a limit falls. Just below capacity, a tenth of all answers is
/// late by chance.
const LATE_SHARE: f64 = 0.2;
/// First limit, relative to the requests in flight when the overload is detected.
const INITIAL_RATIO: f64 = 0.6;
/// Decrease of the limit for each unit of the share of late answers above [`LATE_SHARE`].
const DECREASE: f64 = 0.3;
/// Factor by which the limit grows in each interval while few answers are late. A limit that is too
/// low has to recover before the third retransmission of a shed request, after 1.4 s, which is the
/// last one before most deadlines.
const GROWTH: f64 = 1.12;
/// Lowest limit, in requests in flight per slot of this instance's share. Below it, slots would be
/// free while requests and answers are on the way.
const MIN_SLOT_LOAD: f64 = 1.5;
/// Time after the last shed request at which the limit ends.
const LIMIT_LIFETIME: Duration = Duration::from_secs(1);

/// Time since a request was first shed after which it no longer counts as late. Clients transmit
/// once more after that, which may be the last time before the deadline.
const LONG_WAIT: Duration = Duration::from_secs(1);

/// How readily a request is shed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// A request of the highest priority, or one that its client does not repeat.
    Urgent,
    /// Any other request.
    Normal,
    /// A request that was shed a short time ago and can no longer be answered within its
    /// objective. One that has waited for longer counts as normal, so that newer ones do not
    /// displace it until its deadline.
    Late,
}

impl Class {
    /// Returns the class of a request on a route. `waited` is the time since it was first shed, if
    /// it was.
    pub fn of(route: &Route, waited: Option<Duration>) -> Self {
        match (route.kind, route.priority) {
            _ if waited.is_some_and(|w| w < LONG_WAIT) => Self::Late,
            (Kind::NonIdempotent, _) | (_, 0) => Self::Urgent,
            _ => Self::Normal,
        }
    }

    /// Returns the part of a limit up to which requests of this class are admitted.
    const fn part(self) -> f64 {
        match self {
            Self::Urgent => 1.5,
            Self::Normal => 1.0,
            Self::Late => 0.6,
        }
    }
}

/// Where the requests in flight to a service are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadId(usize);

/// A service whose targets have queues.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Overload {
    /// This instance's share of the slots of the service, by its part of the load.
    pub slots: f64,
}

impl Overload {
    fn bound(self, limit: f64) -> f64 {
        limit.max(self.slots * MIN_SLOT_LOAD)
    }
}

/// Requests in flight of this instance to one service, their limit, and recent answers.
#[derive(Debug, Clone, Default)]
struct ServiceLoad {
    running: u32,
    /// Maximum of `running` for normal requests; `None` unless the service is overloaded.
    limit: Option<f64>,
    answers: u32,
    late: u32,
    updated: Millis,
    /// When a request was last shed.
    shed: Millis,
}

impl ServiceLoad {
    fn is_due(&self, now: Millis) -> bool {
        let age = now.since(self.updated);
        age >= MAX_UPDATE_INTERVAL || (age >= UPDATE_INTERVAL && self.answers >= MIN_ANSWERS)
    }

    fn late_share(&self) -> f64 {
        f64::from(self.late.min(self.answers)) / f64::from(self.answers.max(MIN_ANSWERS))
    }

    /// Returns whether too many answers are late.
    fn is_late(&self) -> bool {
        let share = if self.limit.is_some() {
            LATE_SHARE
        } else {
            OVERLOAD_SHARE
        };
        self.late_share() > share
    }

    fn update(&mut self, overload: Option<Overload>, now: Millis) {
        let excess = self.late_share() - LATE_SHARE;
        let elapsed = now.since(self.updated);
        let intervals = elapsed.div_duration_f64(UPDATE_INTERVAL);
        let limit = match self.limit {
            None => overload.map(|overload| {
                self.shed = now;
                overload.bound(f64::from(self.running) * INITIAL_RATIO)
            }),
            Some(limit) => match overload {
                Some(overload) => Some(overload.bound(limit * (1.0 - DECREASE * excess))),
                None if now.since(self.shed) >= LIMIT_LIFETIME => None,
                // At the limit, one request that has just ended makes its target look free.
                None if self.is_late() => Some(limit),
                None => Some(limit * GROWTH.powf(intervals)),
            },
        };
        self.limit = limit;
        self.answers = 0;
        self.late = 0;
        self.updated = now;
    }
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
    /// Share of recent answers that were late or errors.
    pub late_share: f64,
}

/// The requests in flight and limits of all services.
#[derive(Debug, Default)]
pub struct Admission {
    services: FastMap<PublishedService, LoadId>,
    /// Invariant: one entry for each of `services`; entries are never removed, so that a [`LoadId`]
    /// stays valid.
    loads: Vec<ServiceLoad>,
}

impl Admission {
    /// Counts a request or an opening that is sent to a service. Returns where it is counted, since
    /// the service of its route may change before it ends.
    pub fn start(&mut self, service: &PublishedService) -> LoadId {
        let id = self.find(service).unwrap_or_else(|| {
            let id = LoadId(self.loads.len());
            self.loads.push(ServiceLoad::default());
            self.services.insert(service.clone(), id);
            id
        });
        self.loads[id.0].running += 1;
        id
    }

    /// Counts the end of a request.
    pub fn end(&mut self, id: LoadId) {
        let load = &mut self.loads[id.0];
        load.running = load.running.saturating_sub(1);
    }

    fn find(&self, service: &PublishedService) -> Option<LoadId> {
        self.services.get(service).copied()
    }

    fn load_mut(&mut self, service: &PublishedService) -> Option<&mut ServiceLoad> {
        let id = self.find(service)?;
        self.loads.get_mut(id.0)
    }

    /// Records the time that a service took to answer a request.
    pub fn record_answer(&mut self, service: &PublishedService, route: &Route, time: Duration) {
        if let Some(load) = self.load_mut(service)
            && !route.objective.is_zero()
        {
            load.answers += 1;
            let ratio = if load.limit.is_some() {
                LIMITED_LATE_RATIO
            } else {
                LATE_RATIO
            };
            load.late += u32::from(time > route.objective.mul_f64(ratio));
        }
    }

    /// Records that an answer was an error. Overloaded targets refuse requests that have waited.
    pub fn record_failure(&mut self, service: &PublishedService) {
        if let Some(load) = self.load_mut(service) {
            load.late += 1;
        }
    }

    /// Returns whether the requests in flight to a service are limited.
    pub fn is_limited(&self, service: &PublishedService) -> bool {
        let id = self.find(service);
        id.is_some_and(|id| self.loads[id.0].limit.is_some())
    }

    /// Returns whether a request of a class exceeds the limit of its service.
    pub fn is_exceeded(&self, service: &PublishedService, class: Class) -> bool {
        let Some(id) = self.find(service) else {
            return false;
        };
        let load = &self.loads[id.0];
        let room = load.limit.map(|limit| limit * class.part());
        room.is_some_and(|room| f64::from(load.running) >= room)
    }

    /// Records that a request was shed.
    pub fn record_shed(&mut self, service: &PublishedService, now: Millis) {
        if let Some(load) = self.load_mut(service) {
            load.shed = now;
        }
    }

    /// Updates the limits that are due, and returns those that began or ended. `find_overload`
    /// examines the load of a service's targets.
    pub fn update(
        &mut self,
        now: Millis,
        find_overload: impl Fn(&PublishedService) -> Option<Overload>,
    ) -> Vec<LimitChange> {
        let mut changed = Vec::new();
        for (service, id) in &self.services {
            let load = &mut self.loads[id.0];
            if !load.is_due(now) {
                continue;
            }
            let (was_limited, late_share) = (load.limit.is_some(), load.late_share());
            let overload = load.is_late().then(|| find_overload(service)).flatten();
            load.update(overload, now);
            if load.limit.is_some() != was_limited {
                changed.push(LimitChange {
                    service: service.clone(),
                    limit: load.limit,
                    running: load.running,
                    late_share,
                });
            }
        }
        changed
    }
}
