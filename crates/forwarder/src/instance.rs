//! State shared by the tasks of the process.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt as _;
use tanager_core::{Clock, Incarnation, Millis};
use tanager_forward::{Forwarder, Membership, OwnInstance, Role, WarmupBounds};
use tanagerproxy::settings::ForwarderSettings;
use tokio::sync::Notify;

use crate::report::Reporter;

/// Age of the view from which an instance does not rely on the store's last answer. Between two answers
/// to an instance that reads continuously lies a watch of 1 s.
const MAX_READ_AGE: Duration = Duration::from_millis(1_500);

/// One running instance. All tasks run on one thread.
pub struct Instance {
    /// The settings at startup. The store's address and the seeds may change while the process
    /// runs; their current values are in [`Self::store`] and [`Self::membership`].
    pub settings: ForwarderSettings,
    /// The current address of the store.
    pub store: Cell<SocketAddrV4>,
    /// The monotonic clock.
    pub clock: Clock,
    /// Decides what happens to packets.
    pub forwarder: RefCell<Forwarder>,
    /// The other instances and their last beacons.
    pub membership: RefCell<Membership>,
    /// Logs and metrics.
    pub reporter: Reporter,
    /// Notifies the task that pulls views from peers.
    pub pull_requested: Notify,
    /// Notifies the task that sends beacons, after a change that peers need to receive.
    pub beacon_requested: Notify,
    /// Notifies the task that exchanges messages with peers that the forwarder has some to send.
    pub messages_queued: Notify,
    /// Notifies the task that forwards packets, after a change of the view or a peer's message that
    /// may release held packets.
    pub held_released: Notify,
    /// Set once the process has to stop.
    leaving: Cell<bool>,
    /// Whether the store answered the last call.
    store_reachable: Cell<bool>,
    /// Whether the last view of a peer could not be decoded, as that of a build that lacks a field.
    pub view_unreadable: Cell<bool>,
}

impl Instance {
    /// Creates an instance with an empty view and no peers.
    pub fn new(settings: ForwarderSettings, clock: Clock, reporter: Reporter) -> Rc<Self> {
        let own = OwnInstance {
            address: settings.advertised,
            incarnation: Incarnation::random(),
            zone: zone_position(&settings),
            capacity: settings.capacity,
        };
        let seeds = beacon_addresses(&settings);
        let mut forwarder = Forwarder::new(settings.zone.clone(), rand::rng().random());
        forwarder.set_warmup_bounds(warmup_bounds(&settings));
        Rc::new(Self {
            store: Cell::new(settings.store),
            clock,
            forwarder: RefCell::new(forwarder),
            membership: RefCell::new(Membership::new(own, seeds)),
            reporter,
            pull_requested: Notify::new(),
            beacon_requested: Notify::new(),
            messages_queued: Notify::new(),
            held_released: Notify::new(),
            leaving: Cell::new(false),
            store_reachable: Cell::new(true),
            view_unreadable: Cell::new(false),
            settings,
        })
    }

    /// Returns the present time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the role of this instance.
    pub fn role(&self) -> Role {
        let now = self.now();
        let age = self.forwarder.borrow().view_age(now);
        self.membership.borrow().role(age, now)
    }

    /// Returns whether neither the store nor a peer has supplied a view yet.
    pub fn is_searching(&self) -> bool {
        self.forwarder.borrow().view().revision().is_none()
    }

    /// Returns whether a full read or a peer's whole view has to confirm entries that were retained
    /// from an earlier epoch of the store.
    pub fn is_settle_due(&self) -> bool {
        self.forwarder.borrow().view().is_settle_due(self.now())
    }

    /// Returns whether this instance keeps its view up to date by itself: it reads the store, and an
    /// answer has shown recently that its view is complete.
    pub fn follows_store(&self) -> bool {
        let age = self.forwarder.borrow().view_age(self.now());
        let recent = age.is_some_and(|age| age < MAX_READ_AGE);
        recent && self.store_reachable.get() && self.role() == Role::Hub
    }

    /// Records whether the store answered the last call.
    pub fn set_store_reachable(&self, store_reachable: bool) {
        if self.store_reachable.replace(store_reachable) != store_reachable {
            self.membership
                .borrow_mut()
                .set_store_reachable(store_reachable);
            self.beacon_requested.notify_one();
        }
    }

    /// Makes the readiness check fail and announces to peers that the instance will stop. It
    /// continues forwarding.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.membership.borrow_mut().leave();
        self.beacon_requested.notify_one();
    }

    /// Returns whether routers should send packets to the instance.
    pub fn is_ready(&self) -> bool {
        let forwarder = self.forwarder.borrow();
        !self.leaving.get() && forwarder.view().is_usable() && !forwarder.is_isolated(self.now())
    }

    /// Logs the forwarder's events since the last call and updates metrics.
    pub fn report(&self) {
        let now = self.now();
        let mut forwarder = self.forwarder.borrow_mut();
        let events = forwarder.take_events(now);
        let times = forwarder.take_answer_times();
        let (revision, age) = (forwarder.view().revision(), forwarder.view_age(now));
        self.reporter.log_events(&events, revision, age, now);
        self.reporter.record_answer_times(&times);
    }

    /// Updates the gauges for the metrics page.
    pub fn update_gauges(&self) {
        let gauges = self.forwarder.borrow().gauges(self.now());
        let peers = self.membership.borrow().count(self.now());
        self.reporter.gauges.set(&gauges, peers, self.is_ready());
    }
}

/// Returns the bounds on the openings to cold targets.
pub const fn warmup_bounds(settings: &ForwarderSettings) -> WarmupBounds {
    WarmupBounds {
        overage: settings.warmup.overage,
        slack: settings.warmup.slack,
    }
}

/// Returns the addresses at which seeds receive beacons. Their port is the same on all instances.
pub fn beacon_addresses(settings: &ForwarderSettings) -> Vec<SocketAddrV4> {
    let port = settings.advertised.port();
    let own = *settings.advertised.ip();
    let seeds = settings.seeds.iter().map(|seed| *seed.ip());
    seeds
        .filter(|ip| *ip != own)
        .map(|ip| SocketAddrV4::new(ip, port))
        .collect()
}

/// Returns the position of the instance's zone among all zones, which are sorted.
fn zone_position(settings: &ForwarderSettings) -> u8 {
    let position = settings.zones.iter().position(|z| *z == settings.zone);
    position.and_then(|p| u8::try_from(p).ok()).unwrap_or(0)
}
