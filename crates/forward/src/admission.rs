//! Shares the capacity of services that are beyond it.
//!
//! The load that this module addresses is more requests than the targets of a service can answer
//! within the objectives of their routes. Targets queue more than they can answer in time, so each
//! instance limits its own requests in flight to its fair share of the capacity and holds what
//! exceeds it, in the order of the cost of delay. What cannot be in time is refused at once.

mod demand;
mod held;
mod limit;
mod shares;
mod work;

use std::fmt;
use std::time::Duration;

use tanager_admission::{Demand, LatePolicy, Pushed, RateMeter, Refusal, Ticket, WaitQueue};
use tanager_core::{FastMap, Millis, PublishedService, PublishedZone};

use crate::{BEACON_INTERVAL, FlowKey, Segment};
pub use demand::{Attempt, OPENING_LIFETIME};
pub use held::{HeldKind, HeldRequest, Joined};
pub use limit::{Capacity, LimitChange};
use limit::{Limiter, RECENT_WINDOW, REFRESH_INTERVAL};
use shares::ZoneShares;
pub use shares::{OfferedLoad, PeerDemands, ZoneDemand};
pub use work::WorkTimes;

/// Maximum number of held requests of an instance.
const HELD_LIMIT: usize = 1_024;
/// Maximum size of all held packets of an instance, in bytes.
const HELD_BYTES: usize = 1_500_000;
/// Time over which offered and admitted rates are averaged.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Interval at which the next held request is compared with the free slots of targets, if no request
/// in flight ends.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which all targets of a service are examined: as often as others report their loads.
const EXAMINE_INTERVAL: Duration = BEACON_INTERVAL;
/// Held requests of the same precedence among which the one with the least loaded target is released.
/// Requests on open flows are bound to their targets, so in strict order some targets would get several
/// while others idle.
const RELEASE_CHOICES: usize = 8;
/// Maximum number of services whose demands are reported to peers.
const REPORT_LIMIT: usize = 16;

/// Where the requests in flight to a service are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LoadId(usize);

/// What is ahead of a request, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct QueueState {
    /// Held requests of the service.
    pub waiting: usize,
    /// Maximum number of requests in flight of this instance; `None` if there is none.
    pub limit: Option<f64>,
    /// Requests in flight of this instance.
    pub running: u32,
}

/// How the admission of a request ended, or that it began to wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It was forwarded at once although its service is limited.
    Admitted,
    /// It began to wait.
    Held,
    /// It was forwarded after a wait.
    Released,
    /// More urgent requests took its place in the full queue.
    Displaced,
    /// It was not expected to be answered in time.
    Refused,
    /// It was refused because the queue was full of more urgent requests.
    QueueFull,
    /// It waited until its time was over.
    Expired,
    /// Its client ended the flow, or its target was lost or removed.
    Withdrawn,
}

impl Outcome {
    /// Returns whether a wait ends with it.
    #[must_use]
    pub const fn ends_wait(self) -> bool {
        match self {
            Self::Released | Self::Displaced | Self::Expired | Self::Withdrawn => true,
            Self::Admitted | Self::Held | Self::Refused | Self::QueueFull => false,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Admitted => "admitted",
            Self::Held => "held",
            Self::Released => "released",
            Self::Displaced => "displaced",
            Self::Refused => "refused",
            Self::QueueFull => "queue-full",
            Self::Expired => "expired",
            Self::Withdrawn => "withdrawn",
        })
    }
}

/// Requests of one service: in flight, held, and their limit.
#[derive(Debug)]
struct ServiceLoad {
    name: PublishedService,
    running: u32,
    offered: RateMeter,
    admitted: RateMeter,
    /// The same over [`RECENT_WINDOW`].
    recent: (RateMeter, RateMeter),
    /// The rates that peers know. Compared with theirs, which are as old, they tell the share of this
    /// instance better than the present ones.
    reported: Option<OfferedLoad>,
    limiter: Limiter,
    queue: WaitQueue<HeldRequest>,
    /// When the next held request was last compared with the free slots of targets.
    rechecked: Millis,
    /// The usable targets as of `examined`.
    capacity: Capacity,
    examined: Option<Millis>,
}

impl ServiceLoad {
    fn new(name: PublishedService) -> Self {
        Self {
            name,
            running: 0,
            offered: RateMeter::new(RATE_WINDOW),
            admitted: RateMeter::new(RATE_WINDOW),
            recent: (RateMeter::new(RECENT_WINDOW), RateMeter::new(RECENT_WINDOW)),
            reported: None,
            limiter: Limiter::default(),
            queue: WaitQueue::new(HELD_LIMIT),
            rechecked: Millis::default(),
            capacity: Capacity::default(),
            examined: None,
        }
    }

    fn load(&self, now: Millis) -> OfferedLoad {
        OfferedLoad {
            offered: self.offered.per_second(now),
            admitted: self.admitted.per_second(now),
        }
    }

    fn recent_load(&self, now: Millis) -> OfferedLoad {
        OfferedLoad {
            offered: self.recent.0.per_second(now),
            admitted: self.recent.1.per_second(now),
        }
    }

    fn has_room(&self) -> bool {
        self.limiter.has_room(self.running)
    }
}

/// The result of holding a request.
#[derive(Debug)]
pub enum Hold {
    /// It is held, perhaps in place of another one.
    Held(Option<HeldRequest>),
    /// It is not held.
    Refused(Refusal),
}

/// The requests in flight, held requests and limits of all services.
#[derive(Debug, Default)]
pub struct Admission {
    services: FastMap<PublishedService, LoadId>,
    /// Invariant: one entry for each of `services`; entries are never removed, so that a [`LoadId`]
    /// stays valid.
    loads: Vec<ServiceLoad>,
    /// The held request of each flow.
    by_flow: FastMap<FlowKey, (LoadId, Ticket)>,
    /// Size of all held packets. Invariant: at most [`HELD_BYTES`].
    held_bytes: usize,
    shares: ZoneShares,
    work: WorkTimes,
    refreshed: Millis,
    /// Whether a limit should begin before the next update is due.
    surging: bool,
}

impl Admission {
    /// Returns where the requests of a service are counted.
    pub fn id(&mut self, service: &PublishedService) -> LoadId {
        if let Some(id) = self.services.get(service) {
            return *id;
        }
        let id = LoadId(self.loads.len());
        self.loads.push(ServiceLoad::new(service.clone()));
        self.services.insert(service.clone(), id);
        id
    }

    /// Returns the work that requests of routes take.
    pub const fn work(&mut self) -> &mut WorkTimes {
        &mut self.work
    }

    /// Replaces what other instances have reported on their demands.
    pub fn set_peer_demands(&mut self, demands: PeerDemands, now: Millis) {
        self.shares.set(demands, now);
    }

    /// Records that a request was offered, whether or not it is admitted.
    pub fn record_offered(&mut self, id: LoadId, now: Millis) {
        let load = &mut self.loads[id.0];
        load.offered.add(1.0, now);
        load.recent.0.add(1.0, now);
    }

    /// Counts a request or an opening that is sent to a service.
    pub fn start(&mut self, id: LoadId, now: Millis) {
        let load = &mut self.loads[id.0];
        load.limiter.consume_room(load.running);
        load.running += 1;
        load.admitted.add(1.0, now);
        load.recent.1.add(1.0, now);
        self.surging |= load.limiter.is_surging(load.running);
    }

    /// Counts the end of a request.
    pub fn end(&mut self, id: LoadId) {
        let load = &mut self.loads[id.0];
        load.running = load.running.saturating_sub(1);
        load.limiter.record_end();
    }

    /// Records that a full target refused a request.
    pub fn record_refusal(&mut self, id: LoadId, now: Millis) {
        self.loads[id.0].limiter.record_refusal(now);
    }

    /// Returns whether the requests in flight of a service are limited.
    pub fn is_limited(&self, id: LoadId) -> bool {
        self.loads[id.0].limiter.limit().is_some()
    }

    /// Returns whether a new request need not wait: none waits, and the limit is not reached.
    pub fn has_room(&self, id: LoadId) -> bool {
        let load = &self.loads[id.0];
        load.queue.is_empty() && load.has_room()
    }

    /// Returns whether requests of a service wait.
    pub fn has_waiting(&self, id: LoadId) -> bool {
        !self.loads[id.0].queue.is_empty()
    }

    /// Records a request that is forwarded without a wait.
    pub fn record_served(&mut self, id: LoadId, demand: &Demand, now: Millis) {
        self.loads[id.0].queue.record_served(demand, now);
    }

    /// Returns what is ahead of a request of a service.
    pub fn state(&self, id: LoadId) -> QueueState {
        let load = &self.loads[id.0];
        QueueState {
            waiting: load.queue.len(),
            limit: load.limiter.limit(),
            running: load.running,
        }
    }

    /// Holds a request until there is room for it, or refuses it.
    pub fn hold(
        &mut self,
        id: LoadId,
        demand: Demand,
        policy: LatePolicy,
        request: HeldRequest,
        now: Millis,
    ) -> Hold {
        let (flow, size) = (request.flow, request.size());
        let fits = self.held_bytes + size <= HELD_BYTES;
        let limit = self.queue_limit(id);
        if !fits {
            return Hold::Refused(Refusal::Full);
        }
        let queue = &mut self.loads[id.0].queue;
        queue.set_limit(limit);
        match queue.push(demand, policy, request, now) {
            Pushed::Refused { reason, .. } => Hold::Refused(reason),
            Pushed::Queued { ticket, displaced } => {
                self.by_flow.insert(flow, (id, ticket));
                self.held_bytes += size;
                if let Some(displaced) = &displaced {
                    self.forget(displaced);
                }
                Hold::Held(displaced)
            }
        }
    }

    /// Returns the maximum number of held requests of a service. Limited services share the bound.
    fn queue_limit(&self, id: LoadId) -> usize {
        let limited = self.loads.iter().filter(|l| l.limiter.limit().is_some());
        let share = HELD_LIMIT / limited.count().max(1);
        let own = self.loads[id.0].queue.len();
        let others = self.by_flow.len() - own.min(self.by_flow.len());
        share.min(HELD_LIMIT - others.min(HELD_LIMIT))
    }

    fn forget(&mut self, request: &HeldRequest) {
        self.by_flow.remove(&request.flow);
        self.held_bytes -= request.size();
    }

    /// Returns what is held of a flow.
    pub fn held(&mut self, flow: &FlowKey) -> Option<&mut HeldRequest> {
        let (id, ticket) = self.by_flow.get(flow)?;
        self.loads[id.0].queue.get_mut(*ticket)
    }

    /// Adds a packet to the held request of its flow.
    pub fn join(&mut self, segment: &Segment, packet: &[u8]) -> Option<Joined> {
        let fits = self.held_bytes + packet.len() <= HELD_BYTES;
        let joined = self.held(&segment.flow)?.join(segment, packet, fits);
        if joined == Joined::Added {
            self.held_bytes += packet.len();
        }
        Some(joined)
    }

    /// Removes and returns the held request of a flow.
    pub fn withdraw(&mut self, flow: &FlowKey) -> Option<HeldRequest> {
        let (id, ticket) = self.by_flow.get(flow).copied()?;
        let request = self.loads[id.0].queue.remove(ticket)?;
        self.forget(&request);
        Some(request)
    }

    /// Returns all held requests.
    pub fn all_held(&self) -> impl Iterator<Item = &HeldRequest> {
        let queues = self.loads.iter().map(|l| &l.queue);
        queues.flat_map(|q| q.iter().map(|(_, request)| request))
    }

    /// Removes and returns a held request that has waited until its time was over.
    pub fn take_expired(&mut self, now: Millis) -> Option<(LoadId, HeldRequest)> {
        if self.by_flow.is_empty() {
            return None;
        }
        let mut loads = self.loads.iter_mut().enumerate();
        let expired = loads.find_map(|(i, load)| {
            let (_, request) = load.queue.take_expired(now)?;
            Some((LoadId(i), request))
        });
        let (id, request) = expired?;
        self.forget(&request);
        Some((id, request))
    }

    /// Removes and returns a held request of a service that has room for it: of the next ones with the
    /// same precedence, the one for which `load` is the lowest. Requests for which it is `None` stay.
    pub fn release(
        &mut self,
        now: Millis,
        load_of: impl Fn(&HeldRequest) -> Option<f64>,
    ) -> Option<HeldRequest> {
        if self.by_flow.is_empty() {
            return None;
        }
        let mut loads = self.loads.iter_mut().filter(|l| l.has_room());
        let request = loads.find_map(|load| {
            if load.limiter.limit().is_none() {
                // The overload is over, and nothing is held for the sake of a target.
                return load.queue.pop(now).map(|(_, request)| request);
            }
            let peers = load.queue.peers_of_first(RELEASE_CHOICES, now);
            let loads = peers.into_iter();
            let loads = loads.filter_map(|(ticket, r)| Some((load_of(r)?, ticket)));
            let least = loads.min_by(|(a, _), (b, _)| a.total_cmp(b));
            let (_, request) = load.queue.serve(least?.1, now)?;
            Some(request)
        })?;
        self.forget(&request);
        Some(request)
    }

    /// Returns the next held request of each service whose targets may have a free slot although its
    /// limit is reached. Each service is due again after [`RECHECK_INTERVAL`].
    pub fn due_for_recheck(&mut self, now: Millis) -> Vec<(LoadId, FlowKey)> {
        if self.by_flow.is_empty() {
            return Vec::new();
        }
        let mut flows = Vec::new();
        for (i, load) in self.loads.iter_mut().enumerate() {
            if now.since(load.rechecked) >= RECHECK_INTERVAL {
                load.rechecked = now;
                let first = load.queue.first(now);
                flows.extend(first.map(|(_, request)| (LoadId(i), request.flow)));
            }
        }
        flows
    }

    /// Removes and returns the next held request of a service, whether or not there is room for it.
    pub fn release_first(&mut self, id: LoadId, now: Millis) -> Option<HeldRequest> {
        let (_, request) = self.loads[id.0].queue.pop(now)?;
        self.forget(&request);
        Some(request)
    }

    /// Returns when something is due: the expiry of a held request, or the next comparison with the
    /// free slots of targets.
    pub fn next_due(&self) -> Option<Millis> {
        if self.by_flow.is_empty() {
            return None;
        }
        let waiting = self.loads.iter().filter(|l| !l.queue.is_empty());
        let dues = waiting.map(|load| {
            let recheck = load.rechecked + RECHECK_INTERVAL;
            load.queue.next_expiry().map_or(recheck, |e| e.min(recheck))
        });
        dues.min()
    }

    /// Returns whether the limits are due for an update.
    pub fn is_update_due(&self, now: Millis) -> bool {
        self.surging || now.since(self.refreshed) >= REFRESH_INTERVAL
    }

    /// Updates all limits and returns those that began or ended. `find_capacity` examines the targets
    /// of a service.
    pub fn update(
        &mut self,
        now: Millis,
        mut find_capacity: impl FnMut(&PublishedService) -> Capacity,
    ) -> Vec<LimitChange> {
        self.refreshed = now;
        self.surging = false;
        let mut changed = Vec::new();
        for load in &mut self.loads {
            let own = load.load(now);
            if load.running == 0 && load.limiter.limit().is_none() {
                continue;
            }
            if load
                .examined
                .is_none_or(|at| now.since(at) >= EXAMINE_INTERVAL)
            {
                load.examined = Some(now);
                load.capacity = find_capacity(&load.name);
            }
            let capacity = load.capacity;
            let fraction = self
                .shares
                .fraction(&load.name, load.reported.unwrap_or(own), now);
            let was_limited = load.limiter.limit().is_some();
            let recent = load.recent_load(now);
            let waiting = u32::try_from(load.queue.len()).unwrap_or(u32::MAX);
            load.limiter
                .update(capacity, fraction, (load.running, waiting), recent, now);
            if load.limiter.limit().is_some() != was_limited {
                changed.push(LimitChange {
                    service: load.name.clone(),
                    limit: load.limiter.limit(),
                    running: load.running,
                    others: capacity.others,
                    slots: capacity.slots,
                });
            }
        }
        changed
    }

    /// Returns the offered and admitted rates of this instance, of the services with the highest ratio
    /// of load to capacity first.
    pub fn report(&mut self, now: Millis) -> Vec<(PublishedService, OfferedLoad)> {
        for load in &mut self.loads {
            load.reported = Some(load.load(now));
        }
        let loads = self.loads.iter().map(|l| (l, l.load(now)));
        let mut active: Vec<_> = loads.filter(|(_, own)| own.is_significant()).collect();
        active.sort_by(|(a, _), (b, _)| b.limiter.ratio().total_cmp(&a.limiter.ratio()));
        active.truncate(REPORT_LIMIT);
        let reports = active.into_iter();
        reports
            .map(|(load, own)| (load.name.clone(), own))
            .collect()
    }

    /// Returns the number of held requests and the size of their packets in bytes.
    pub fn held_count(&self) -> (usize, usize) {
        (self.by_flow.len(), self.held_bytes)
    }
}

/// A step in the admission of a request to a service that is beyond its capacity, for the counters.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionStep {
    /// The route.
    pub route: String,
    /// The availability zone of this instance.
    pub zone: PublishedZone,
    /// Priority of the route.
    pub priority: u64,
    /// Whether the request may run twice.
    pub repeatable: bool,
    /// What happened.
    pub outcome: Outcome,
    /// How long the request has waited.
    pub wait: Duration,
}
