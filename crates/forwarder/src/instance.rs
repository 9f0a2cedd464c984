//! What the tasks of the process share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;

use rand::RngExt as _;
use tanager_core::{Clock, Incarnation, Millis};
use tanager_forward::{Forwarder, Membership, OwnInstance, Role};
use tanagerproxy::settings::ForwarderSettings;
use tokio::sync::Notify;

use crate::report::Reporter;

/// One running instance. All tasks run on one thread.
pub struct Instance {
    /// The settings of the start; those that may change are read from [`Self::store`] and the
    /// membership's seeds.
    pub settings: ForwarderSettings,
    /// The store's address in force.
    pub store: Cell<SocketAddrV4>,
    /// The monotonic clock.
    pub clock: Clock,
    /// Decisions about packets.
    pub forwarder: RefCell<Forwarder>,
    /// What is known of other instances.
    pub membership: RefCell<Membership>,
    /// Logs and metrics.
    pub reporter: Reporter,
    /// Wakes the task that reads views of peers.
    pub newer_view: Notify,
    /// Wakes the task that sends beacons, after something that peers should know.
    pub changed: Notify,
    /// Wakes the task that forwards packets, after a change of the view.
    pub view_changed: Notify,
    /// Set once the process is to stop.
    leaving: Cell<bool>,
    reads: Cell<bool>,
}

impl Instance {
    /// Creates an instance that knows nothing yet.
    pub fn new(settings: ForwarderSettings, clock: Clock, reporter: Reporter) -> Rc<Self> {
        let own = OwnInstance {
            address: settings.advertised,
            incarnation: Incarnation::random(),
            zone: zone_position(&settings),
            capacity: settings.capacity,
        };
        let seeds = beacon_addresses(&settings);
        let forwarder = Forwarder::new(settings.zone.clone(), rand::rng().random());
        Rc::new(Self {
            store: Cell::new(settings.store),
            clock,
            forwarder: RefCell::new(forwarder),
            membership: RefCell::new(Membership::new(own, seeds)),
            reporter,
            newer_view: Notify::new(),
            changed: Notify::new(),
            view_changed: Notify::new(),
            leaving: Cell::new(false),
            reads: Cell::new(true),
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

    /// Returns whether no view is known yet.
    pub fn is_searching(&self) -> bool {
        self.forwarder.borrow().view().revision() == 0
    }

    /// Returns whether the store answered the last call.
    pub fn reads(&self) -> bool {
        self.reads.get()
    }

    /// Notes whether the store answered the last call.
    pub fn set_reads(&self, reads: bool) {
        if self.reads.replace(reads) != reads {
            self.membership.borrow_mut().set_reads(reads);
            self.changed.notify_one();
        }
    }

    /// Takes the instance out of rotation; it goes on forwarding.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.membership.borrow_mut().leave();
        self.changed.notify_one();
    }

    /// Returns whether the instance should get packets.
    pub fn is_ready(&self) -> bool {
        let forwarder = self.forwarder.borrow();
        !self.leaving.get() && forwarder.view().is_usable() && !forwarder.is_isolated(self.now())
    }

    /// Logs what the forwarder has decided since the last call and updates metrics.
    pub fn report(&self) {
        let now = self.now();
        let mut forwarder = self.forwarder.borrow_mut();
        let events = forwarder.take_events(now);
        let times = forwarder.take_answer_times();
        let (revision, age) = (forwarder.view().revision(), forwarder.view_age(now));
        self.reporter.events(&events, revision, age, now);
        self.reporter.answers(&times);
    }

    /// Publishes gauges for the metrics page.
    pub fn publish_gauges(&self) {
        let gauges = self.forwarder.borrow().gauges(self.now());
        let peers = self.membership.borrow().count(self.now());
        self.reporter.levels.set(&gauges, peers, self.is_ready());
    }
}

/// Returns where seeds receive beacons: ports are the same on all instances.
pub fn beacon_addresses(settings: &ForwarderSettings) -> Vec<SocketAddrV4> {
    let port = settings.advertised.port();
    let own = *settings.advertised.ip();
    let seeds = settings.seeds.iter().map(|seed| *seed.ip());
    seeds
        .filter(|ip| *ip != own)
        .map(|ip| SocketAddrV4::new(ip, port))
        .collect()
}

fn zone_position(settings: &ForwarderSettings) -> u8 {
    let position = settings.zones.iter().position(|z| *z == settings.zone);
    position.and_then(|p| u8::try_from(p).ok()).unwrap_or(0)
}
