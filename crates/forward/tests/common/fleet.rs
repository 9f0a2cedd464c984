//! A simulated fleet: forwarders that exchange late loads, targets of unequal speed with slots and
//! short queues, and clients that open a flow for each request.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tanager_core::Millis;
use tanager_forward::{
    Action, Cookie, Forwarder, RingPoint, TargetLoad, TargetNumber, ZonePosition,
};

use crate::common::{Client, FEED_PORT, REVISION, at, published, routes, target, zone};

/// Slots of a target.
const SLOTS: usize = 2;
/// Requests that a target queues.
const QUEUE: usize = 5;
/// Time from a packet at an instance over the target and the client back to the instance.
const PATH: u64 = 10;
/// Longest time until a client acknowledges an answer.
const MAX_ACKNOWLEDGEMENT: u64 = 50;
/// Time between two rounds of reports, and their age when they arrive.
const ROUND: u64 = 400;
/// Share of requests that take [`TAIL_FACTOR`] times as long as others.
const TAIL: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;
/// Mean work of a request in milliseconds, tail included.
pub const WORK: f64 = 40.0;
/// Length of an answer, and of one by which a target refuses a request.
const ANSWER: u32 = 2_000;
const REFUSAL: u32 = 150;

/// Size of the simulated fleet.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Targets and instances of each zone.
    pub zones: Vec<(usize, usize)>,
    /// Speeds of the targets, in turn.
    pub speeds: Vec<f64>,
    /// Requests per second, by zone.
    pub rates: Vec<f64>,
}

impl Settings {
    /// Returns the requests per second that the targets of a zone can complete.
    pub fn capacity(&self, zone: usize) -> f64 {
        let first: usize = self.zones[..zone].iter().map(|z| z.0).sum();
        let speeds = (first..first + self.zones[zone].0).map(|i| self.speed(i));
        speeds.sum::<f64>() * slots() * 1_000.0 / WORK
    }

    fn speed(&self, index: usize) -> f64 {
        self.speeds[index % self.speeds.len()]
    }
}

fn slots() -> f64 {
    f64::from(u32::try_from(SLOTS).expect("a small number"))
}

#[derive(Debug)]
struct SimTarget {
    speed: f64,
    zone: usize,
    running: usize,
    queue: VecDeque<usize>,
    /// Milliseconds of slots that were busy.
    busy: f64,
}

struct Request {
    client: Client,
    instance: usize,
    work: f64,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrival(usize),
    Opened(usize, usize),
    AtTarget(usize, usize),
    Done(usize, usize),
    Acknowledged(usize, u32),
    Round,
}

/// What happened since the last reset.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub requests: u32,
    pub refused: u32,
    /// Refused while another target of the same zone had a free slot.
    pub refused_needlessly: u32,
    /// Served by a target of another zone.
    pub spilled: u32,
}

/// A running simulation.
pub struct Fleet {
    pub settings: Settings,
    pub forwarders: Vec<(usize, Forwarder)>,
    targets: Vec<SimTarget>,
    requests: Vec<Request>,
    events: BTreeMap<(u64, usize), Event>,
    scheduled: usize,
    /// The present time in microseconds.
    now: u64,
    reports: Vec<Vec<(Cookie, TargetLoad)>>,
    pub counts: Counts,
    rng: StdRng,
}

impl Fleet {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let names = ["a", "b", "c"];
        let zone_of = |counts: Vec<usize>| -> Vec<usize> {
            let zones = counts.into_iter().enumerate();
            zones.flat_map(|(z, n)| vec![z; n]).collect()
        };
        let targets = zone_of(settings.zones.iter().map(|z| z.0).collect());
        let instances = zone_of(settings.zones.iter().map(|z| z.1).collect());
        let forwarders = instances.iter().enumerate().map(|(i, z)| {
            let mut forwarder = Forwarder::new(zone(names[*z]), seed ^ ((i as u64) << 8));
            for (t, tz) in targets.iter().enumerate() {
                let entry = target(t as u64 + 1, "feeds", names[*tz]);
                forwarder.apply(published(entry, REVISION), at(0));
            }
            forwarder.apply_routes(routes(1));
            forwarder.advance(REVISION);
            forwarder.record_verified(at(0));
            let index = instances[..i].iter().filter(|o| *o == z).count();
            let count = settings.zones[*z].1;
            let small = |n: usize| u16::try_from(n).expect("a small number");
            forwarder.set_ring_point(RingPoint::from(ZonePosition {
                index: small(index),
                count: small(count),
            }));
            (*z, forwarder)
        });
        let sim_target = |(i, zone): (usize, &usize)| SimTarget {
            speed: settings.speed(i),
            zone: *zone,
            running: 0,
            queue: VecDeque::new(),
            busy: 0.0,
        };
        let mut fleet = Self {
            forwarders: forwarders.collect(),
            targets: targets.iter().enumerate().map(sim_target).collect(),
            requests: Vec::new(),
            events: BTreeMap::new(),
            scheduled: 0,
            now: 0,
            reports: Vec::new(),
            counts: Counts::default(),
            rng: StdRng::seed_from_u64(seed),
            settings,
        };
        for zone in 0..fleet.settings.zones.len() {
            fleet.schedule(0, Event::Arrival(zone));
        }
        fleet.schedule(0, Event::Round);
        fleet
    }

    /// Changes the speed of a target.
    pub fn set_speed(&mut self, index: usize, speed: f64) {
        self.targets[index].speed = speed;
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + u64::try_from(time.as_micros()).expect("a short time");
        while let Some(((at, _), _)) = self.events.first_key_value()
            && *at <= end
            && let Some(((now, _), event)) = self.events.pop_first()
        {
            self.now = now;
            self.handle(event);
        }
        self.now = end;
    }

    /// Forgets what happened so far.
    pub fn reset_counts(&mut self) {
        self.counts = Counts::default();
    }

    /// Forgets how busy the targets were.
    pub fn reset_busy(&mut self) {
        for target in &mut self.targets {
            target.busy = 0.0;
        }
    }

    /// Returns the busy time of the busiest target relative to the mean.
    pub fn busiest(&self) -> f64 {
        let busy: Vec<_> = self.targets.iter().map(|t| t.busy).collect();
        let count = f64::from(u32::try_from(busy.len()).expect("a small number"));
        let mean = busy.iter().sum::<f64>() / count;
        busy.into_iter().fold(0.0, f64::max) / mean
    }

    fn millis(&self) -> Millis {
        at(self.now / 1_000)
    }

    fn schedule(&mut self, after_us: u64, event: Event) {
        self.scheduled += 1;
        self.events
            .insert((self.now + after_us, self.scheduled), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(zone) => self.arrive(zone),
            Event::Opened(request, target) => self.send(request, target),
            Event::AtTarget(request, target) => self.submit(request, target),
            Event::Done(request, target) => self.finish(request, target),
            Event::Acknowledged(request, length) => self.acknowledge(request, length),
            Event::Round => self.exchange(),
        }
    }

    fn arrive(&mut self, zone: usize) {
        let gap = -self.rng.random_range(f64::EPSILON..1.0_f64).ln() / self.settings.rates[zone];
        let gap = Duration::from_secs_f64(gap).as_micros();
        self.schedule(
            u64::try_from(gap).expect("a short time"),
            Event::Arrival(zone),
        );
        let first: usize = self.settings.zones[..zone].iter().map(|z| z.1).sum();
        let instance = first + self.rng.random_range(0..self.settings.zones[zone].1);
        let id = self.requests.len();
        let port = u16::try_from(id % 60_000).expect("a port") + 1_024;
        let client = Client::new(port, FEED_PORT);
        let base = WORK / (1.0 + TAIL * (TAIL_FACTOR - 1.0)) * self.rng.random_range(0.5..1.5);
        let tail = self.rng.random_bool(TAIL);
        let work = if tail { base * TAIL_FACTOR } else { base };
        let now = self.millis();
        let action = client.opening(&mut self.forwarders[instance].1, 0, now);
        self.requests.push(Request {
            client,
            instance,
            work,
        });
        self.counts.requests += 1;
        if let Action::Forward(forward) = action {
            let index = usize::try_from(forward.target.get() - 1).expect("an index");
            self.counts.spilled += u32::from(self.targets[index].zone != zone);
            self.schedule(PATH * 1_000, Event::Opened(id, index));
        }
    }

    fn send(&mut self, id: usize, index: usize) {
        let now = self.millis();
        let request = &mut self.requests[id];
        let forwarder = &mut self.forwarders[request.instance].1;
        request.client.accept(TargetNumber::new(index as u64 + 1));
        let action = request.client.send(forwarder, 500, now);
        if matches!(action, Action::Forward(_)) {
            self.schedule(PATH * 500, Event::AtTarget(id, index));
        }
    }

    fn submit(&mut self, id: usize, index: usize) {
        let target = &mut self.targets[index];
        if target.running < SLOTS {
            self.start(id, index);
        } else if target.queue.len() < QUEUE {
            target.queue.push_back(id);
        } else {
            let zone = target.zone;
            let free = |t: &SimTarget| t.zone == zone && t.running < SLOTS;
            let needless = self.targets.iter().any(free);
            self.counts.refused += 1;
            self.counts.refused_needlessly += u32::from(needless);
            self.schedule(PATH * 500, Event::Acknowledged(id, REFUSAL));
        }
    }

    fn start(&mut self, id: usize, index: usize) {
        let target = &mut self.targets[index];
        target.running += 1;
        let time = self.requests[id].work / target.speed;
        target.busy += time;
        let time = Duration::from_secs_f64(time / 1_000.0).as_micros();
        self.schedule(
            u64::try_from(time).expect("a short time"),
            Event::Done(id, index),
        );
    }

    fn finish(&mut self, id: usize, index: usize) {
        let delay = self.rng.random_range(0..=MAX_ACKNOWLEDGEMENT);
        self.schedule((PATH / 2 + delay) * 1_000, Event::Acknowledged(id, ANSWER));
        let target = &mut self.targets[index];
        target.running -= 1;
        if let Some(next) = target.queue.pop_front() {
            self.start(next, index);
        }
    }

    fn acknowledge(&mut self, id: usize, length: u32) {
        let now = self.millis();
        let request = &mut self.requests[id];
        let forwarder = &mut self.forwarders[request.instance].1;
        request.client.received += length;
        request.client.finish(forwarder, now);
    }

    /// Delivers the reports of the last round, and takes new ones.
    fn exchange(&mut self) {
        let now = self.millis();
        let mut sums: BTreeMap<Cookie, TargetLoad> = BTreeMap::new();
        for (cookie, load) in self.reports.iter().flatten() {
            add(sums.entry(*cookie).or_default(), load, 1.0);
        }
        let reports = std::mem::take(&mut self.reports);
        for (i, (_, forwarder)) in self.forwarders.iter_mut().enumerate() {
            let own: BTreeMap<_, _> = reports.get(i).into_iter().flatten().copied().collect();
            for (cookie, sum) in &sums {
                let mut others = *sum;
                if let Some(own) = own.get(cookie) {
                    add(&mut others, own, -1.0);
                }
                forwarder.apply_peer_load(*cookie, &others, now);
            }
            let report = forwarder.load_report(now);
            self.reports
                .push(report.iter().map(|r| (r.cookie, r.load())).collect());
            forwarder.take_events(now);
            forwarder.take_answer_times();
            forwarder.sweep(now);
        }
        self.schedule(ROUND * 1_000, Event::Round);
    }
}

fn add(sum: &mut TargetLoad, load: &TargetLoad, sign: f64) {
    let plus = |a: f64, b: f64| (a + sign * b).max(0.0);
    sum.busy = plus(sum.busy, load.busy);
    sum.flows = plus(sum.flows, load.flows);
    sum.tally.sound = plus(sum.tally.sound, load.tally.sound);
    sum.tally.failures = plus(sum.tally.failures, load.tally.failures);
    sum.tally.misses = plus(sum.tally.misses, load.tally.misses);
}
