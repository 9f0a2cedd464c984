//! Instances: the real forwarder and membership code, exchanging beacons.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use tanager_core::{Incarnation, Millis, PublishedService, PublishedZone};
use tanager_forward::{
    Action, Beacon, Change, DueAction, Epoch, EvacuationChange, Forwarder, Membership, OwnInstance,
    Role, Route, RouteTable, Segment, ServiceShare, StoreRevision, Target, TargetNumber,
    TargetState,
};

use super::baseline::Baseline;
use super::callers::route_address;
use super::targets::SLOTS;
use super::{Settings, packet};

/// The revision of all targets and routes. Only the evacuation of a zone has later ones.
const REVISION: StoreRevision = StoreRevision::new(Epoch::new(0), 1);
/// Time without packets after which a flow ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// One instance.
pub struct Instance {
    pub zone: u8,
    forwarder: Forwarder,
    membership: Membership,
    /// What decides instead of the forwarder.
    baseline: Option<Baseline>,
    /// When its due actions are taken next.
    pub due: Option<Millis>,
}

/// Returns the address at which an instance receives beacons.
pub fn address(index: usize) -> SocketAddrV4 {
    let [.., high, low] = index.to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 7_000)
}

/// Returns the index of the instance that receives beacons at an address.
pub fn index(address: SocketAddrV4) -> usize {
    let [.., high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}

/// Returns the number of a target.
pub fn number(index: usize) -> TargetNumber {
    TargetNumber::new(index as u64 + 1)
}

fn zone(number: u8) -> PublishedZone {
    format!("zone-{number}").parse().expect("a valid name")
}

fn service(number: u8) -> PublishedService {
    format!("service-{number}").parse().expect("a valid name")
}

fn routes(settings: &Settings) -> Vec<Route> {
    let routes = settings.routes.iter().enumerate();
    let routes = routes.map(|(index, route)| Route {
        name: route.name.to_owned(),
        address: route_address(index),
        kind: route.kind,
        timeout: route.deadline,
        objective: route.objective,
        priority: route.priority,
        services: vec![ServiceShare {
            service: service(route.service),
            weight: 1,
        }],
    });
    routes.collect()
}

fn target(index: u16, settings: &Settings) -> Target {
    let [high, low] = index.to_be_bytes();
    Target {
        number: number(usize::from(index)),
        service: service(settings.service(index)),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 9_000),
        zone: zone(settings.zone(usize::from(index))),
        slots: u32::from(SLOTS),
        state: TargetState::Ready,
        warmup: Duration::ZERO,
        incarnation: Incarnation::new(1),
        sequence: 1,
    }
}

impl Instance {
    /// Creates an instance that has applied all targets and routes.
    pub fn new(index: u16, settings: &Settings, seed: u64, now: Millis) -> Self {
        let own_zone = settings.zone(usize::from(index));
        let seed = seed ^ u64::from(index);
        let own = OwnInstance {
            address: address(usize::from(index)),
            incarnation: Incarnation::new(1),
            zone: own_zone,
            capacity: 100,
        };
        let seeds = (0..settings.zones).map(|z| address(usize::from(z)));
        let mut forwarder = Forwarder::new(zone(own_zone), seed);
        for index in 0..settings.targets {
            forwarder.apply(Change::published(target(index, settings), REVISION), now);
        }
        forwarder.apply_routes(RouteTable::new(1, REVISION, IDLE_TIMEOUT, routes(settings)));
        forwarder.advance(REVISION);
        Self {
            zone: own_zone,
            forwarder,
            membership: Membership::new(own, seeds.collect()),
            baseline: Baseline::new(settings, seed),
            due: None,
        }
    }

    /// Decides about a client's packet.
    pub fn handle_packet(&mut self, segment: &Segment, now: Millis) -> Action {
        if let Some(baseline) = &mut self.baseline {
            return baseline.handle_packet(segment);
        }
        let packet = packet::encode(segment);
        self.forwarder.handle_packet(segment, &packet, now)
    }

    /// Returns the due actions.
    pub fn take_due(&mut self, now: Millis) -> Vec<DueAction> {
        self.forwarder.take_due(now)
    }

    /// Returns when due actions have to be taken even if no packet arrives.
    pub fn next_due(&mut self) -> Option<Millis> {
        self.forwarder.next_due()
    }

    /// Publishes the evacuation of a zone, or its end.
    pub fn evacuate(&mut self, number: u8, active: bool, now: Millis) {
        let changes = if active { 1 } else { 2 };
        let change = EvacuationChange {
            zone: zone(number),
            revision: StoreRevision::new(REVISION.epoch, REVISION.number + changes),
            ended: !active,
        };
        self.forwarder.apply_evacuation(change, now);
    }

    /// Returns the beacons of one round with their recipients, and removes expired state.
    pub fn beacon_round(&mut self, now: Millis) -> Vec<(SocketAddrV4, Rc<Beacon>)> {
        if self.baseline.is_some() {
            return Vec::new();
        }
        self.forwarder.record_verified(now);
        let role = self.membership.role(Some(Duration::ZERO), now);
        if role == Role::Hub {
            self.apply_peer_loads(now);
        }
        let ring = self.membership.ring_point(role, now);
        self.forwarder.set_ring_point(ring);
        let recipients = self.membership.recipients(role, false, now);
        let is_near = |to: &SocketAddrV4| self.membership.is_same_zone(*to);
        let (near, far): (Vec<_>, Vec<_>) = recipients.into_iter().partition(is_near);
        let mut beacons = self.beacons(&near, role, now);
        beacons.extend(self.beacons(&far, role, now));
        self.forwarder.sweep(now);
        self.membership.expire(now);
        self.discard_reports(now);
        beacons
    }

    /// Discards what the real program logs or asks its peers. All packets of a flow reach the same
    /// instance, so peers know nothing about it.
    fn discard_reports(&mut self, now: Millis) {
        self.forwarder.take_messages();
        self.forwarder.take_events(now);
        self.forwarder.take_answer_times();
    }

    /// Returns the beacons for several recipients, either all in this zone or none. They differ in the
    /// position of the recipient only.
    fn beacons(
        &mut self,
        to: &[SocketAddrV4],
        role: Role,
        now: Millis,
    ) -> Vec<(SocketAddrV4, Rc<Beacon>)> {
        let Some(first) = to.first() else {
            return Vec::new();
        };
        let view = (self.forwarder.view().version(), Some(Duration::ZERO));
        let loads = self.forwarder.load_report(now);
        let parts = self.membership.beacons(*first, role, view, &loads, now);
        let positions = self.membership.zone_positions(now);
        let mut beacons = Vec::new();
        for to in to {
            for part in &parts {
                let mut beacon = part.clone();
                beacon.position = positions.get(*to).filter(|_| beacon.hub);
                beacons.push((*to, Rc::new(beacon)));
            }
        }
        beacons
    }

    /// Applies a beacon of another instance.
    pub fn receive_beacon(&mut self, beacon: &Beacon, now: Millis) {
        self.membership.apply_beacon(beacon, now);
        if beacon.hub {
            self.apply_peer_loads(now);
        }
    }

    fn apply_peer_loads(&mut self, now: Millis) {
        let role = self.membership.role(Some(Duration::ZERO), now);
        for (cookie, load) in self.membership.peer_loads(role, now) {
            self.forwarder.apply_peer_load(cookie, &load, now);
        }
    }
}
