//! A simulated fleet whose instances send each cold target as many openings as their limiters allow.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Range;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tanager_core::{Clock, FastMap, Incarnation, Millis};
use tanager_forward::{
    Beacon, ColdTarget, Epoch, Membership, OwnInstance, Role, StoreRevision, TargetNumber,
    ViewVersion, WarmupLimiter, WarmupMessage, WarmupRate,
};

/// Duration of a step of the simulation.
const STEP_MS: u64 = 20;
/// Time between two rounds of beacons.
const ROUND_MS: u64 = 400;
/// Zones of the fleet.
const ZONES: u8 = 3;
/// Instances that are seeds: two in each zone.
pub const SEEDS: usize = 6;
/// Maximum time that an opening takes from an instance to a target.
const OPENING_DELAY_MS: u64 = 40;
/// Maximum time that a message between two instances takes.
const MESSAGE_DELAY_MS: u64 = 120;
/// Part of the messages that are lost.
const LOSS: f64 = 0.02;

/// A time in which some instances cannot exchange messages.
#[derive(Debug, Clone)]
pub enum Cut {
    /// The zones are separated from each other.
    Zones(Range<u64>),
    /// Every second instance of each zone is separated from the others.
    Halves(Range<u64>),
    /// One instance is separated from all others.
    Instance(usize, Range<u64>),
}

impl Cut {
    fn separates(
        &self,
        (from, from_zone): (usize, u8),
        (to, to_zone): (usize, u8),
        at: u64,
    ) -> bool {
        match self {
            Self::Zones(time) => time.contains(&at) && from_zone != to_zone,
            Self::Halves(time) => {
                let half = |index: usize| index / usize::from(ZONES) % 2;
                time.contains(&at) && half(from) != half(to)
            }
            Self::Instance(index, time) => time.contains(&at) && (from == *index || to == *index),
        }
    }
}

/// A time in which an instance does nothing; messages wait for it.
#[derive(Debug, Clone)]
pub struct Pause {
    pub index: usize,
    pub time: Range<u64>,
}

/// A simulated fleet.
#[derive(Debug, Clone)]
pub struct Fleet {
    pub instances: usize,
    /// Cold targets of each zone.
    pub targets: u64,
    pub rate: f64,
    /// Time within which the instances start.
    pub start_ms: u64,
    /// Instances that stop without notice and start again, with the time of the stop.
    pub restarts: Vec<(usize, u64)>,
    pub cuts: Vec<Cut>,
    pub pauses: Vec<Pause>,
    pub duration_ms: u64,
    pub seed: u64,
}

pub enum Payload {
    Beacon(Box<Beacon>),
    Warmup(WarmupMessage),
}

pub struct Message {
    due: u64,
    to: usize,
    payload: Payload,
}

pub struct Instance {
    membership: Membership,
    limiter: WarmupLimiter,
    zone: u8,
    /// When it starts, in simulated time.
    start: u64,
    /// The reading of its clock at time zero; clocks are not shared.
    clock_offset: u64,
    next_round: u64,
}

/// The openings of a simulation.
#[derive(Default)]
pub struct Openings {
    /// When openings arrive at each target.
    pub arrivals: FastMap<TargetNumber, Vec<u64>>,
    /// Number of openings that each instance sends.
    pub sent: FastMap<usize, usize>,
}

fn address(index: usize) -> SocketAddrV4 {
    let [.., high, low] = index.to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 7_720)
}

fn index(address: SocketAddrV4) -> usize {
    let [.., high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}

fn zone_of(index: usize) -> u8 {
    u8::try_from(index % usize::from(ZONES)).expect("a zone")
}

fn cold_targets(zone: u8, fleet: &Fleet) -> Vec<ColdTarget> {
    let service = |number: u64| {
        if number.is_multiple_of(5) {
            "orders"
        } else {
            "feeds"
        }
    };
    let target = |i: u64| ColdTarget {
        number: TargetNumber::new(u64::from(zone) * 1_000 + i),
        service: service(i).parse().expect("a valid name"),
        rate: WarmupRate::try_from(fleet.rate).expect("a valid rate"),
    };
    (1..=fleet.targets).map(target).collect()
}

fn instance(index: usize, incarnation: u64, start: u64, rng: &mut StdRng) -> Instance {
    let own = OwnInstance {
        address: address(index),
        incarnation: Incarnation::new(incarnation),
        zone: zone_of(index),
        // Seeds have the highest ranks, so that cuts, pauses and restarts hit hubs.
        capacity: if index < SEEDS {
            600
        } else {
            rng.random_range(28..500)
        },
    };
    let seeds = (0..SEEDS).map(address);
    Instance {
        membership: Membership::new(own, seeds.collect()),
        limiter: WarmupLimiter::default(),
        zone: own.zone,
        start,
        clock_offset: rng.random_range(0..5_000_000),
        next_round: start + rng.random_range(0..ROUND_MS),
    }
}

impl Instance {
    fn clock(&self, at: u64) -> Millis {
        Clock::START + Duration::from_millis(self.clock_offset + at)
    }

    fn role(&self, at: u64) -> Role {
        self.membership.role(Some(Duration::ZERO), self.clock(at))
    }

    /// Returns the messages of a round of beacons.
    fn round(&mut self, cold: &[ColdTarget], at: u64) -> Vec<(SocketAddrV4, Payload)> {
        let (now, role) = (self.clock(at), self.role(at));
        let searching = at < self.start + 500;
        let view = ViewVersion {
            revision: StoreRevision::new(Epoch::new(1), 7),
            routes: 1,
        };
        let recipients = self.membership.recipients(role, searching, now);
        let mut sent = Vec::new();
        for to in recipients {
            let view = (view, Some(Duration::ZERO));
            for beacon in self.membership.beacons(to, role, view, &[], now) {
                sent.push((to, Payload::Beacon(Box::new(beacon))));
            }
        }
        self.membership.expire(now);
        let standing = self.membership.zone_standing(now);
        let request = self.limiter.renew(&standing, cold, now);
        sent.extend(request.map(|(to, message)| (to, Payload::Warmup(message))));
        sent
    }

    fn receive(
        &mut self,
        payload: Payload,
        cold: &[ColdTarget],
        at: u64,
    ) -> Option<(SocketAddrV4, Payload)> {
        let now = self.clock(at);
        match payload {
            Payload::Beacon(beacon) => {
                // As the embedding process does, it answers new instances and those without a hub.
                let is_new = self.membership.is_new_incarnation(&beacon);
                self.membership.apply_beacon(&beacon, now);
                let answers = is_new || self.membership.misses_hub(&beacon, now);
                let role = self.role(at);
                answers.then(|| {
                    let view = (beacon.view(), Some(Duration::ZERO));
                    let to = beacon.from;
                    let answers = self.membership.beacons(to, role, view, &[], now);
                    // Without loads, a round is a single beacon.
                    let [answer] = answers.try_into().expect("one beacon");
                    (to, Payload::Beacon(Box::new(answer)))
                })
            }
            Payload::Warmup(message) => {
                let standing = self.membership.zone_standing(now);
                let answer = self.limiter.handle(&message, &standing, cold, now);
                answer.map(|(to, message)| (to, Payload::Warmup(message)))
            }
        }
    }
}

/// Simulates a fleet and returns the openings to its cold targets.
pub fn simulate(fleet: &Fleet) -> Openings {
    let mut rng = StdRng::seed_from_u64(fleet.seed);
    let mut instances: Vec<_> = (0..fleet.instances)
        .map(|i| {
            let start = rng.random_range(0..=fleet.start_ms);
            instance(i, 1, start, &mut rng)
        })
        .collect();
    let cold: Vec<_> = (0..ZONES).map(|zone| cold_targets(zone, fleet)).collect();
    let mut waiting: Vec<Message> = Vec::new();
    let mut openings = Openings::default();
    for at in (0..fleet.duration_ms).step_by(usize::try_from(STEP_MS).expect("small")) {
        for (index, stop) in &fleet.restarts {
            if *stop / STEP_MS == at / STEP_MS {
                let start = at + rng.random_range(200..3_000);
                instances[*index] = instance(*index, 2 + at, start, &mut rng);
            }
        }
        let runs = |instance: &Instance, i: usize| {
            let paused = |p: &Pause| p.index == i && p.time.contains(&at);
            instance.start <= at && !fleet.pauses.iter().any(paused)
        };
        let mut sent = Vec::new();
        let due;
        (due, waiting) = waiting.into_iter().partition(|m| m.due <= at);
        for message in due {
            let receiver = &mut instances[message.to];
            if !runs(receiver, message.to) {
                // A paused process reads its messages when it continues; a stopped one never does.
                if receiver.start <= at {
                    waiting.push(message);
                }
                continue;
            }
            let cold = &cold[usize::from(receiver.zone)];
            let answer = receiver.receive(message.payload, cold, at);
            sent.extend(answer.map(|answer| (message.to, answer)));
        }
        for (i, instance) in instances.iter_mut().enumerate() {
            if !runs(instance, i) {
                continue;
            }
            let cold = &cold[usize::from(instance.zone)];
            if at >= instance.next_round {
                instance.next_round = at + ROUND_MS;
                let messages = instance.round(cold, at);
                sent.extend(messages.into_iter().map(|message| (i, message)));
            }
            let arrivals = open_all(instance, cold, at, &mut rng);
            *openings.sent.entry(i).or_default() += arrivals.len();
            for (target, arrival) in arrivals {
                openings.arrivals.entry(target).or_default().push(arrival);
            }
        }
        for (from, (to, payload)) in sent {
            let to = index(to);
            let ends = ((from, zone_of(from)), (to, zone_of(to)));
            let exists = to < fleet.instances;
            let cut = fleet.cuts.iter().any(|c| c.separates(ends.0, ends.1, at));
            if exists && !cut && !rng.random_bool(LOSS) {
                let due = at + rng.random_range(1..MESSAGE_DELAY_MS);
                waiting.push(Message { due, to, payload });
            }
        }
    }
    openings
}

/// Sends an opening to each cold target to which an instance may send one. Returns when they
/// arrive.
fn open_all(
    instance: &mut Instance,
    cold: &[ColdTarget],
    at: u64,
    rng: &mut StdRng,
) -> Vec<(TargetNumber, u64)> {
    let now = instance.clock(at);
    let mut arrivals = Vec::new();
    for target in cold {
        if instance.limiter.allows(target.number, now) {
            instance.limiter.record_opening(target.number, now);
            let arrival = at + rng.random_range(0..OPENING_DELAY_MS);
            arrivals.push((target.number, arrival));
        }
    }
    arrivals
}

/// Returns the largest number of arrivals at one target within any second.
pub fn busiest_second(mut openings: Openings) -> usize {
    let mut busiest = 0;
    for times in openings.arrivals.values_mut() {
        times.sort_unstable();
        let mut first = 0;
        for last in 0..times.len() {
            while times[last] - times[first] >= 1_000 {
                first += 1;
            }
            busiest = busiest.max(last + 1 - first);
        }
    }
    busiest
}
