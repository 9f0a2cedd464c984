//! Simple choices of targets, to compare the forwarder with.

use std::net::SocketAddrV4;

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom as _;
use tanager_core::FastMap;
use tanager_forward::{Action, FlowKey, Forward, Segment, SegmentKind};

use super::callers::route_of;
use super::instances::number;
use super::{Policy, Settings};

/// A flow and whether a request is in flight on it.
struct Flow {
    target: u16,
    busy: bool,
}

/// An instance that forwards each flow to a target and knows its own requests only.
pub struct Baseline {
    settings: Settings,
    rng: StdRng,
    flows: FastMap<FlowKey, Flow>,
    /// Own requests in flight by target.
    running: Vec<u32>,
}

impl Baseline {
    /// Creates an instance; `None` if the settings choose the forwarder.
    pub fn new(settings: &Settings, seed: u64) -> Option<Self> {
        (settings.policy != Policy::Forwarder).then(|| Self {
            settings: settings.clone(),
            rng: StdRng::seed_from_u64(seed),
            flows: FastMap::default(),
            running: vec![0; usize::from(settings.targets)],
        })
    }

    /// Forwards a packet. A request is in flight from its opening or its data to the next packet
    /// without data.
    pub fn handle_packet(&mut self, segment: &Segment) -> Action {
        let key = segment.flow;
        if !self.flows.contains_key(&key) {
            let target = self.choose(&key);
            self.flows.insert(
                key,
                Flow {
                    target,
                    busy: false,
                },
            );
        }
        let flow = self.flows.get_mut(&key).expect("inserted above");
        let target = flow.target;
        let opens = matches!(segment.kind, SegmentKind::Open { .. });
        let busy = opens || segment.length > 0;
        let running = &mut self.running[usize::from(target)];
        match (std::mem::replace(&mut flow.busy, busy), busy) {
            (false, true) => *running += 1,
            (true, false) => *running -= 1,
            _ => {}
        }
        if matches!(segment.kind, SegmentKind::Finish | SegmentKind::Abort) {
            self.flows.remove(&key);
        }
        let target = number(usize::from(target));
        Action::Forward(Forward {
            address: SocketAddrV4::new([0, 0, 0, 0].into(), 0),
            target,
            cookie: target.cookie(),
        })
    }

    fn choose(&mut self, key: &FlowKey) -> u16 {
        let service = self.settings.routes[route_of(key)].service;
        let targets = 0..self.settings.targets;
        let targets = targets.filter(|t| self.settings.service(*t) == service);
        let load = |t: &u16| self.running[usize::from(*t)];
        let least = match self.settings.policy {
            Policy::LeastLoaded => targets.clone().map(|t| load(&t)).min(),
            Policy::Forwarder | Policy::Random => None,
        };
        let targets = targets.filter(|t| least.is_none_or(|l| load(t) == l));
        targets
            .choose(&mut self.rng)
            .expect("a service has targets")
    }
}
