//! Instances: the real forwarder and membership code, exchanging beacons.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use tanager_core::{Incarnation, Millis, PublishedService, PublishedZone};
use tanager_forward::{
    Beacon, Change, Epoch, Forwarder, Kind, Membership, OwnInstance, Role, Route, RouteTable,
    ServiceShare, StoreRevision, Target, TargetNumber, TargetState,
};

use super::Settings;
use super::callers::{DEADLINE, FEED_PORT, ORDER_PORT};
use super::targets::SLOTS;

/// The revision of all targets and routes; nothing changes during a simulation.
const REVISION: StoreRevision = StoreRevision::new(Epoch::new(0), 1);
/// Time without packets after which a flow ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// One instance.
pub struct Instance {
    pub forwarder: Forwarder,
    pub membership: Membership,
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

fn service() -> PublishedService {
    "screens".parse().expect("a valid name")
}

fn route(port: u16, kind: Kind, objective: Duration) -> Route {
    Route {
        name: format!("port-{port}"),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port),
        kind,
        timeout: DEADLINE,
        objective,
        priority: 1,
        services: vec![ServiceShare {
            service: service(),
            weight: 1,
        }],
    }
}

fn target(index: u16, settings: &Settings) -> Target {
    let [high, low] = index.to_be_bytes();
    Target {
        number: number(usize::from(index)),
        service: service(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 9_000),
        zone: zone(u8::try_from(index % u16::from(settings.zones)).unwrap_or(0)),
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
        let own_zone = u8::try_from(index % u16::from(settings.zones)).unwrap_or(0);
        let own = OwnInstance {
            address: address(usize::from(index)),
            incarnation: Incarnation::new(1),
            zone: own_zone,
            capacity: 100,
        };
        let seeds = (0..settings.zones).map(|z| address(usize::from(z)));
        let mut forwarder = Forwarder::new(zone(own_zone), seed ^ u64::from(index));
        for index in 0..settings.targets {
            forwarder.apply(Change::published(target(index, settings), REVISION), now);
        }
        let routes = vec![
            route(FEED_PORT, Kind::Idempotent, settings.objective),
            route(ORDER_PORT, Kind::NonIdempotent, settings.objective),
        ];
        forwarder.apply_routes(RouteTable::new(1, REVISION, IDLE_TIMEOUT, routes));
        forwarder.advance(REVISION);
        Self {
            forwarder,
            membership: Membership::new(own, seeds.collect()),
        }
    }

    /// Returns the beacons of one round with their recipients, and removes expired state.
    pub fn beacon_round(&mut self, now: Millis) -> Vec<(SocketAddrV4, Beacon)> {
        self.forwarder.record_verified(now);
        let role = self.membership.role(Some(Duration::ZERO), now);
        if role == Role::Hub {
            self.apply_peer_loads(now);
        }
        let view = (self.forwarder.view().version(), Some(Duration::ZERO));
        let loads = self.forwarder.load_report(now);
        self.membership
            .set_demands(self.forwarder.demand_report(now));
        let recipients = self.membership.recipients(role, false, now);
        let beacons = recipients.into_iter().map(|to| {
            let beacon = self.membership.beacon(to, role, view, &loads, now);
            (to, beacon)
        });
        let beacons = beacons.collect();
        self.forwarder.sweep(now);
        self.membership.expire(now);
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
        let demands = self.membership.peer_demands(role, now);
        self.forwarder.apply_peer_demands(demands, now);
        for (cookie, load) in self.membership.peer_loads(role, now) {
            self.forwarder.apply_peer_load(cookie, &load, now);
        }
    }
}
