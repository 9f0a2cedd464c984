//! The discrete-event simulation: simulated time, the event queue and the state of all parts.

mod packets;
mod requests;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tanager_core::{Clock, Millis};
use tanager_forward::{BEACON_INTERVAL, Beacon, Cookie, Segment};

use super::callers::{Connection, ConnectionId, Request, RequestId};
use super::instances::Instance;
use super::settings::random_log;
use super::targets::{Target, Work};
use super::{Report, Settings};

/// Time before the first request, in which instances receive each other's beacons.
const WARMUP: Duration = Duration::from_secs(4);
/// Network delay of a packet or beacon within a zone.
const ZONE_DELAY: Duration = Duration::from_millis(2);
/// Network delay of a packet or beacon between zones.
const REGION_DELAY: Duration = Duration::from_millis(4);
/// Time from the publication of an evacuation after which no opening may reach the zone.
const EVACUATION_TIME: Duration = Duration::from_secs(5);

/// A message from a target or an instance to a caller.
#[derive(Debug, Clone, Copy)]
enum Reply {
    Opened(Cookie),
    Confirmed(RequestId),
    Answered(RequestId),
    Refused(RequestId),
    Reset,
}

enum Event {
    RequestArrival,
    /// A caller's packet arrives at its instance.
    PacketAtInstance(ConnectionId, Segment),
    /// A forwarded packet arrives at a target.
    PacketAtTarget(usize, ConnectionId, Segment),
    /// A reply arrives at a caller.
    ReplyAtCaller(ConnectionId, Reply),
    /// A caller retransmits its packet if it is still unanswered. Holds the request, or none for an
    /// opening packet, and the number of the retransmission.
    RetransmissionTimeout(ConnectionId, Option<RequestId>, u32),
    /// A target has finished running a request.
    ExecutionEnd(usize, Work),
    Deadline(RequestId, ConnectionId),
    /// A caller acknowledges an answer, unless it has sent another request in the meantime.
    Acknowledgement(ConnectionId),
    /// An instance sends a round of beacons.
    BeaconRound(usize),
    /// A beacon arrives at an instance.
    BeaconReceived(usize, Rc<Beacon>),
    /// An instance takes its due actions.
    Due(usize),
    /// Some of the targets become unreachable.
    TargetFailure,
    /// Some of the targets begin to take longer.
    SlowdownStart,
    SlowdownEnd,
    /// The evacuation of a zone is published (`true`) or removed.
    Evacuation(bool),
}

/// Callers, instances and targets, and the scheduled events.
pub struct World {
    settings: Settings,
    rng: StdRng,
    /// Generates the arrivals. Separate from `rng`, so that arrivals do not depend on outcomes.
    arrivals: StdRng,
    /// Time from the end of [`WARMUP`] to the next request. Kept at full precision: adding the gaps
    /// between requests in simulated milliseconds would accumulate rounding errors.
    arrival: Duration,
    now: Millis,
    /// Events by time, and for equal times in the order in which they were scheduled.
    queue: BTreeMap<(Millis, u64), Event>,
    scheduled: u64,
    instances: Vec<Instance>,
    targets: Vec<Target>,
    requests: Vec<Request>,
    connections: Vec<Connection>,
    /// Flows that callers keep open and that have no outstanding request, by route and zone.
    idle: BTreeMap<(usize, u8), Vec<ConnectionId>>,
    report: Report,
}

impl World {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let now = Clock::START;
        let instances = 0..settings.instances;
        let instances = instances.map(|i| Instance::new(i, &settings, seed, now));
        let instances: Vec<_> = instances.collect();
        let target = |t| Target::new(settings.zone(usize::from(t)), settings.speed(t));
        let targets = (0..settings.targets).map(target).collect();
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            arrivals: StdRng::seed_from_u64(!seed),
            arrival: Duration::ZERO,
            now,
            queue: BTreeMap::new(),
            scheduled: 0,
            instances,
            targets,
            requests: Vec::new(),
            connections: Vec::new(),
            idle: BTreeMap::new(),
            report: Report::default(),
            settings,
        };
        world.schedule_initial_events();
        world
    }

    fn schedule_initial_events(&mut self) {
        for index in 0..self.instances.len() {
            let phase = self.rng.random_range(0.0..1.0);
            self.schedule(BEACON_INTERVAL.mul_f64(phase), Event::BeaconRound(index));
        }
        if let Some((at, _)) = self.settings.vanish {
            self.schedule(WARMUP + at, Event::TargetFailure);
        }
        if let Some(slowdown) = self.settings.slowdown.clone() {
            let start = WARMUP + slowdown.start;
            self.schedule(start, Event::SlowdownStart);
            self.schedule(start + slowdown.length, Event::SlowdownEnd);
        }
        if let Some(evacuation) = self.settings.evacuation.clone() {
            let start = WARMUP + evacuation.start;
            self.schedule(start, Event::Evacuation(true));
            self.schedule(start + evacuation.length, Event::Evacuation(false));
        }
        self.schedule(WARMUP, Event::RequestArrival);
    }

    /// Runs the simulation until every request has ended.
    pub fn simulate(mut self) -> Report {
        let deadlines = self.settings.routes.iter().map(|r| r.deadline);
        let last = deadlines.max().unwrap_or_default();
        let end = Clock::START + WARMUP + self.settings.length + 2 * last;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.report
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.schedule_at(self.now + after, event);
    }

    fn schedule_at(&mut self, at: Millis, event: Event) {
        self.scheduled += 1;
        self.queue.insert((at, self.scheduled), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestArrival => self.handle_arrival(),
            Event::PacketAtInstance(id, segment) => self.handle_packet(id, segment),
            Event::PacketAtTarget(target, id, segment) => self.deliver(target, id, &segment),
            Event::ReplyAtCaller(id, reply) => self.handle_reply(id, reply),
            Event::RetransmissionTimeout(id, request, count) => self.retransmit(id, request, count),
            Event::ExecutionEnd(target, work) => self.finish_execution(target, work),
            Event::Deadline(request, id) => self.expire_request(request, id),
            Event::BeaconRound(index) => self.send_beacons(index),
            Event::BeaconReceived(index, beacon) => {
                self.instances[index].receive_beacon(&beacon, self.now);
            }
            Event::Acknowledgement(id) => self.acknowledge(id),
            Event::Due(index) => self.take_due(index),
            Event::TargetFailure => self.fail_targets(),
            Event::SlowdownStart => self.slow_targets(),
            Event::SlowdownEnd => self.targets.iter_mut().for_each(|t| t.slowdown = 1.0),
            Event::Evacuation(active) => self.evacuate(active),
        }
    }

    /// Schedules the arrival of a message between two zones, unless the path loses it.
    fn send(&mut self, from: u8, to: u8, event: Event) {
        let loss = self.settings.loss;
        if !self.rng.random_bool(loss) {
            self.schedule(delay(from, to), event);
        }
    }

    fn send_packet(&mut self, id: ConnectionId, segment: Segment) {
        let zone = self.connections[id].zone;
        self.send(zone, zone, Event::PacketAtInstance(id, segment));
    }

    /// Returns the present second since the first request.
    fn second(&self) -> u64 {
        self.now.since(Clock::START + WARMUP).as_secs()
    }
}

fn delay(from: u8, to: u8) -> Duration {
    if from == to { ZONE_DELAY } else { REGION_DELAY }
}

/// Returns an exponentially distributed random time.
fn random_time(rng: &mut StdRng, mean: Duration) -> Duration {
    mean.mul_f64(-random_log(rng))
}
