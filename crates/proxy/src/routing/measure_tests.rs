//! Simulates several independent pickers over shared targets with delayed reports, and prints the
//! imbalance next to the baselines random and hash-mod:
//! `cargo test --release -p tanagerproxy routing::measure -- --nocapture`

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts and times of a simulation are far below 2^52"
)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tanager_core::{Incarnation, Millis, ServiceId, TargetId};

use super::locality::ByZone;
use super::{Candidate, Observation, Picker, Tuning, WorkKind};

const SERVICE: ServiceId = ServiceId::new(1);
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Mean time of a run, in microseconds.
const MEAN_RUN_MICROS: u64 = 10_000;
/// One-way delay to another zone, in microseconds.
const OTHER_ZONE_DELAY_MICROS: u64 = 3_000;
const SECONDS: u64 = 60;
const SLOTS: u32 = 2;

#[derive(Clone, Copy, PartialEq)]
enum Method {
    Picker(Tuning),
    Random,
    HashMod,
}

#[derive(Clone, Copy)]
struct Scene {
    targets: usize,
    /// Offered work relative to the capacity of all slots.
    load: f64,
    kind: WorkKind,
    /// The first target always reports no load.
    misreports: bool,
}

/// The fields are: instance, target, start time in microseconds, then the attempt number, or the
/// reported load and whether the run was completed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Reach(usize, usize, u64, u8),
    Done(usize, usize, u64),
    Answer(usize, usize, u64, u32, bool),
    Report,
}

#[derive(Default, Clone)]
struct SimTarget {
    running: u32,
    waiting: std::collections::VecDeque<(usize, u64)>,
    flows: u32,
    slot_time: f64,
}

struct Sim {
    scene: Scene,
    method: Method,
    rng: StdRng,
    pickers: Vec<Picker>,
    views: Vec<Vec<Candidate>>,
    targets: Vec<SimTarget>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    zones: (ByZone, ByZone),
    placed: u64,
    shed: u64,
    times: Vec<u64>,
}

fn zone(index: usize) -> tanager_core::ZoneName {
    ZONES[index % 3].parse().expect("zone")
}

fn by_zone(count: usize, weight: f64) -> ByZone {
    let mut zones = ByZone::default();
    (0..count).for_each(|i| *zones.entry(zone(i)).or_default() += weight);
    zones
}

impl Sim {
    fn new(scene: Scene, method: Method, seed: u64) -> Self {
        let tuning = match method {
            Method::Picker(tuning) => tuning,
            _ => Tuning::default(),
        };
        let picker = |i: usize| {
            let rng = StdRng::seed_from_u64(seed * 100 + i as u64);
            Picker::new(zone(i), tuning, Millis::new(0), rng)
        };
        let capacity = if scene.kind == WorkKind::Flow {
            2_000.0
        } else {
            f64::from(SLOTS)
        };
        let candidate = |t: usize| Candidate {
            target: TargetId::new(u32::try_from(t).expect("few")),
            incarnation: Incarnation::new(1),
            zone: zone(t),
            capacity,
            reported_load: 0.0,
            reported_at: Millis::new(0),
            own_load: 0.0,
        };
        let view: Vec<Candidate> = (0..scene.targets).map(candidate).collect();
        Self {
            scene,
            method,
            rng: StdRng::seed_from_u64(seed),
            pickers: (0..8).map(picker).collect(),
            views: vec![view; 8],
            targets: vec![SimTarget::default(); scene.targets],
            events: BinaryHeap::new(),
            number: 0,
            zones: (by_zone(8, 1.0), by_zone(scene.targets, capacity)),
            placed: 0,
            shed: 0,
            times: Vec::new(),
        }
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((time, self.number, event)));
    }

    /// Returns the one-way delay between instance `i` and target `t`.
    fn delay(i: usize, t: usize) -> u64 {
        if i % 3 == t % 3 {
            100
        } else {
            OTHER_ZONE_DELAY_MICROS
        }
    }

    /// Places work of instance `i` that began at `began`, in its attempt number `tries`.
    fn place(&mut self, now: u64, i: usize, began: u64, tries: u8) {
        self.placed += 1;
        let count = self.scene.targets;
        let t = match self.method {
            Method::Random => self.rng.random_range(0..count),
            Method::HashMod => {
                let hash = blake3::hash(&self.placed.to_le_bytes());
                usize::from(hash.as_bytes()[0]) % count
            }
            Method::Picker(_) => {
                let work = (SERVICE, self.scene.kind);
                let zones = (&self.zones.0, &self.zones.1);
                let now = Millis::new(now / 1_000);
                let pick = self.pickers[i].pick(work, &self.views[i], &[], zones, now);
                pick.expect("a target").index
            }
        };
        self.views[i][t].own_load += 1.0;
        self.schedule(now + Self::delay(i, t), Event::Reach(i, t, began, tries));
    }

    fn reach(&mut self, now: u64, i: usize, t: usize, began: u64, tries: u8) {
        if self.scene.kind == WorkKind::Flow {
            self.targets[t].flows += 1;
        } else if self.targets[t].running < SLOTS {
            self.start(now, i, t, began);
        } else if self.targets[t].waiting.len() < 2 {
            self.targets[t].waiting.push_back((i, began));
        } else {
            self.shed += 1;
            let load = self.load(t);
            self.schedule(
                now + Self::delay(i, t),
                Event::Answer(i, t, began, load, false),
            );
            if tries < 3 {
                self.place(now + 2 * Self::delay(i, t), i, began, tries + 1);
            }
        }
    }

    fn start(&mut self, now: u64, i: usize, t: usize, began: u64) {
        let time = MEAN_RUN_MICROS / 2 + self.rng.random_range(0..MEAN_RUN_MICROS);
        self.targets[t].running += 1;
        self.targets[t].slot_time += time as f64;
        self.schedule(now + time, Event::Done(i, t, began));
    }

    fn load(&self, t: usize) -> u32 {
        let target = &self.targets[t];
        match self.scene.kind {
            _ if self.scene.misreports && t == 0 => 0,
            WorkKind::Flow => target.flows,
            WorkKind::Request => target.running + u32::try_from(target.waiting.len()).expect("few"),
        }
    }

    fn done(&mut self, now: u64, i: usize, t: usize, began: u64) {
        self.targets[t].running -= 1;
        if let Some((next, began)) = self.targets[t].waiting.pop_front() {
            self.start(now, next, t, began);
        }
        let load = self.load(t);
        self.schedule(
            now + Self::delay(i, t),
            Event::Answer(i, t, began, load, true),
        );
    }

    fn answer(&mut self, now: u64, (i, t): (usize, usize), began: u64, load: u32, done: bool) {
        let view = &mut self.views[i][t];
        view.own_load -= 1.0;
        (view.reported_load, view.reported_at) = (f64::from(load), Millis::new(now / 1_000));
        let id = view.target;
        let observation = if done {
            self.times.push(now - began);
            Observation::Completed(Duration::from_micros(now - began))
        } else {
            Observation::Shed
        };
        let (count, now) = (self.scene.targets, Millis::new(now / 1_000));
        self.pickers[i].observe(SERVICE, id, observation, count, now);
    }

    fn report(&mut self, now: u64) {
        for i in 0..8 {
            for t in 0..self.scene.targets {
                let load = f64::from(self.load(t));
                let view = &mut self.views[i][t];
                (view.reported_load, view.reported_at) = (load, Millis::new(now / 1_000));
                if self.scene.kind == WorkKind::Flow {
                    view.own_load = 0.0;
                }
            }
        }
        self.schedule(now + 1_000_000, Event::Report);
    }

    /// Returns the use of the busiest target over the mean, the share of sheds and the p99 latency
    /// in ms.
    fn run(mut self) -> (f64, f64, f64) {
        let slots = self.scene.targets as f64 * f64::from(SLOTS);
        let mean_interval = MEAN_RUN_MICROS as f64 / slots / self.scene.load;
        self.schedule(0, Event::Report);
        self.schedule(0, Event::Arrive);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > SECONDS * 1_000_000 {
                break;
            }
            match event {
                Event::Arrive => {
                    let i = self.rng.random_range(0..8);
                    self.place(now, i, now, 1);
                    let wait = -mean_interval * (1.0 - self.rng.random::<f64>()).ln();
                    self.schedule(now + wait.max(1.0) as u64, Event::Arrive);
                }
                Event::Reach(i, t, began, tries) => self.reach(now, i, t, began, tries),
                Event::Done(i, t, began) => self.done(now, i, t, began),
                Event::Answer(i, t, began, load, done) => {
                    self.answer(now, (i, t), began, load, done);
                }
                Event::Report => self.report(now),
            }
        }
        let used = |t: &SimTarget| t.slot_time + f64::from(t.flows);
        let total: f64 = self.targets.iter().map(used).sum();
        let busiest = self.targets.iter().map(used).fold(0.0, f64::max);
        self.times.sort_unstable();
        let p99 = self.times.get(self.times.len() * 99 / 100).copied();
        let shed = self.shed as f64 / self.placed as f64;
        let p99 = p99.unwrap_or(0) as f64 / 1_000.0;
        (busiest * self.scene.targets as f64 / total, shed, p99)
    }
}

fn scenes() -> Vec<(&'static str, Scene)> {
    let scene = |targets, load, kind, misreports| Scene {
        targets,
        load,
        kind,
        misreports,
    };
    let (flow, request) = (WorkKind::Flow, WorkKind::Request);
    vec![
        ("flows 14 targets 10/s", scene(14, 0.0036, flow, false)),
        ("flows 14 targets 100/s", scene(14, 0.036, flow, false)),
        ("flows 4 targets 20/s", scene(4, 0.025, flow, false)),
        ("flows 14, one lies", scene(14, 0.036, flow, true)),
        ("runs 14 at 20%", scene(14, 0.2, request, false)),
        ("runs 14 at 70%", scene(14, 0.7, request, false)),
        ("runs 14 at 90%", scene(14, 0.9, request, false)),
        ("runs 4 at 70%", scene(4, 0.7, request, false)),
        ("runs 14 at 70%, one lies", scene(14, 0.7, request, true)),
    ]
}

fn print(name: &str, method: &str, (ratio, shed, p99): (f64, f64, f64)) {
    println!(
        "{name:26} {method:16} max/mean {ratio:.3}  shed {:5.2}%  p99 {p99:5.1} ms",
        shed * 100.0
    );
}

/// Guards against a routing change with which the busiest target exceeds the mean load by more than
/// the goal of a tenth.
#[test]
fn busiest_target_stays_within_a_tenth_of_the_mean() {
    for (name, scene) in scenes() {
        print(name, "random", Sim::new(scene, Method::Random, 7).run());
        print(name, "hash-mod", Sim::new(scene, Method::HashMod, 7).run());
        for seed in 7..11 {
            let result = Sim::new(scene, Method::Picker(Tuning::default()), seed).run();
            print(name, &format!("picker, seed {seed}"), result);
            assert!(result.0 <= 1.1, "{name}: {}", result.0);
        }
    }
}

/// Guards against default parameters that shed more than fewer samples would. It also prints the
/// results of all samples and of a larger lead. The seed is fixed, so every run has the same
/// result.
#[test]
fn fewer_samples_shed_more() {
    let busy = ["runs 14 at 70%", "runs 14 at 90%"];
    for (name, scene) in scenes().into_iter().filter(|(n, _)| busy.contains(n)) {
        let shed = |samples, lead| {
            let method = Method::Picker(Tuning { samples, lead });
            let result = Sim::new(scene, method, 7).run();
            print(name, &format!("d={samples} lead={lead}"), result);
            result.1
        };
        let Tuning { samples, lead } = Tuning::default();
        let chosen = shed(samples, lead);
        for fewer in 1..=3 {
            let other = shed(fewer, lead);
            assert!(
                chosen < other,
                "{name}: {chosen} shed, {fewer} samples: {other}"
            );
        }
        shed(scene.targets, lead);
        shed(samples, 2.0);
    }
}
