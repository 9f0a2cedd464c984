//! Simulated time, and what happens in it.

mod packets;
mod requests;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tanager_core::{Clock, Millis};
use tanager_forward::{BEACON_INTERVAL, Beacon, Cookie, Segment};

use super::callers::{Call, CallId, Connection, ConnectionId, DEADLINE};
use super::instances::Instance;
use super::targets::{Target, Work};
use super::{Report, Settings};

/// Time before the first request, in which instances hear of each other.
const LEAD: Duration = Duration::from_secs(4);
/// Time that a packet is under way between any two.
const PATH: Duration = Duration::from_millis(2);
/// Interval at which instances look for what is due.
const TICK: Duration = Duration::from_millis(10);

/// What a target or an instance tells a caller.
#[derive(Debug, Clone, Copy)]
enum Reply {
    Opened(Cookie),
    Taken(CallId),
    Answered(CallId),
    Refused(CallId),
    Reset,
}

enum Event {
    Arrive,
    /// A caller's packet reaches its instance.
    Packet(ConnectionId, Segment),
    /// A packet reaches a target.
    Forwarded(usize, ConnectionId, Segment),
    /// A packet reaches a caller.
    Reply(ConnectionId, Reply),
    /// A caller may have to send its packet again, for the given time.
    Repeat(ConnectionId, Option<CallId>, u32),
    /// A run ends at a target.
    Done(usize, Work),
    Deadline(CallId, ConnectionId),
    /// An instance sends a round of beacons.
    Beacons(usize),
    /// A beacon reaches an instance.
    Heard(usize, Box<Beacon>),
    /// An instance looks for what is due.
    Tick(usize),
    /// Targets vanish.
    Vanish,
}

/// Callers, instances and targets, and what is to happen.
pub struct World {
    settings: Settings,
    rng: StdRng,
    /// Decides when requests come, so that it is the same whatever becomes of them.
    arrivals: StdRng,
    /// Time from [`LEAD`] to the next request. Simulated time is too coarse to add up pauses.
    arrival: Duration,
    now: Millis,
    /// Events by time, and in the order in which they were planned.
    queue: BTreeMap<(Millis, u64), Event>,
    planned: u64,
    instances: Vec<Instance>,
    targets: Vec<Target>,
    calls: Vec<Call>,
    connections: Vec<Connection>,
    /// Open flows that callers keep and that are idle.
    idle: Vec<ConnectionId>,
    report: Report,
}

impl World {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let now = Clock::START;
        let instances = 0..settings.instances;
        let instances = instances.map(|i| Instance::new(i, &settings, seed, now));
        let instances: Vec<_> = instances.collect();
        let targets = (0..settings.targets).map(|_| Target::default());
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            arrivals: StdRng::seed_from_u64(!seed),
            arrival: Duration::ZERO,
            now,
            queue: BTreeMap::new(),
            planned: 0,
            instances,
            targets: targets.collect(),
            calls: Vec::new(),
            connections: Vec::new(),
            idle: Vec::new(),
            report: Report::default(),
            settings,
        };
        world.plan_first();
        world
    }

    fn plan_first(&mut self) {
        for index in 0..self.instances.len() {
            let spread = self.rng.random_range(0.0..1.0);
            self.plan(BEACON_INTERVAL.mul_f64(spread), Event::Beacons(index));
            self.plan(TICK.mul_f64(spread), Event::Tick(index));
        }
        if let Some((at, _)) = self.settings.vanish {
            self.plan(LEAD + at, Event::Vanish);
        }
        self.plan(LEAD, Event::Arrive);
    }

    /// Plays until every request has ended.
    pub fn simulate(mut self) -> Report {
        let end = Clock::START + LEAD + self.settings.length + 2 * DEADLINE;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.happen(event);
        }
        self.report
    }

    fn plan(&mut self, after: Duration, event: Event) {
        self.plan_at(self.now + after, event);
    }

    fn plan_at(&mut self, at: Millis, event: Event) {
        self.planned += 1;
        self.queue.insert((at, self.planned), event);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Packet(id, segment) => self.decide(id, &segment),
            Event::Forwarded(target, id, segment) => self.reach(target, id, &segment),
            Event::Reply(id, reply) => self.reply(id, reply),
            Event::Repeat(id, call, count) => self.repeat(id, call, count),
            Event::Done(target, work) => self.done(target, work),
            Event::Deadline(call, id) => self.give_up(call, id),
            Event::Beacons(index) => self.send_beacons(index),
            Event::Heard(index, beacon) => self.instances[index].hear(&beacon, self.now),
            Event::Tick(index) => self.tick(index),
            Event::Vanish => self.vanish(),
        }
    }

    /// Sends something on a path, which may lose it.
    fn send(&mut self, event: Event) {
        let loss = self.settings.loss;
        if !self.rng.random_bool(loss) {
            self.plan(PATH, event);
        }
    }

    fn send_packet(&mut self, id: ConnectionId, segment: Segment) {
        self.send(Event::Packet(id, segment));
    }
}

/// Returns a time that is exponentially distributed.
fn random_time(rng: &mut StdRng, mean: Duration) -> Duration {
    let uniform: f64 = rng.random_range(0.0..1.0);
    mean.mul_f64(-(1.0 - uniform).ln())
}
