//! Builds the parts of an instance from its settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use tanager_core::{Clock, Incarnation};
use tanager_wire::KeyRing;
use tokio::net::UdpSocket;

use crate::Identity;
use crate::admission::{Admission, Lending};
use crate::catalogue::CatalogueStore;
use crate::execution::{Execution, PauseGuard, Requests};
use crate::flow::{CallerSocket, Flows, PendingOpens, ReturnPath};
use crate::ingress::Ingress;
use crate::membership::{Gossip, Membership, Pulls};
use crate::node::Node;
use crate::peer::{Network, Peers};
use crate::routing::Router;
use crate::settings::Settings;
use crate::target::TargetPool;
use crate::telemetry::{ControlRate, Counters, Log};
use crate::usage::UsageTable;

/// The parts of an instance that depend on no other part; the others are built from them.
pub(super) struct Base {
    keys: KeyRing,
    log: Log,
    clock: Clock,
    network: Arc<dyn Network>,
    counters: Arc<Counters>,
    callers: CallerSocket,
    catalogue: Arc<CatalogueStore>,
    membership: Arc<Membership>,
    usage: Arc<UsageTable>,
    lending: Arc<Lending>,
    peers: Arc<Peers>,
    pending: Arc<PendingOpens>,
    pauses: Arc<PauseGuard>,
}

/// What admits work and chooses its target.
struct Selection {
    targets: Arc<TargetPool>,
    router: Arc<Router>,
    admission: Arc<Admission>,
}

impl Base {
    /// Creates the parts of a new incarnation. `socket` serves the callers.
    pub(super) fn new(
        settings: &Settings,
        log: Log,
        clock: Clock,
        network: Arc<dyn Network>,
        socket: UdpSocket,
    ) -> Self {
        let identity = Identity {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            incarnation: Incarnation::random(),
            address: settings.peers,
        };
        let counters = Arc::<Counters>::default();
        let catalogue = Arc::<CatalogueStore>::default();
        let membership = Arc::new(Membership::new(identity));
        Self {
            keys: settings.keys.clone(),
            log,
            clock,
            peers: Arc::new(Peers::new(Arc::clone(&network))),
            network,
            callers: CallerSocket::new(Arc::new(socket), Arc::clone(&counters)),
            counters,
            lending: Lending::new(Arc::clone(&catalogue), Arc::clone(&membership), clock),
            catalogue,
            membership,
            usage: Arc::default(),
            pending: Arc::default(),
            pauses: PauseGuard::new(clock),
        }
    }

    /// Builds the other parts in the order of their dependencies.
    pub(super) fn assemble(self, status_address: SocketAddr) -> Node {
        let gossip = self.gossip();
        let selection = self.selection();
        let execution = self.execution(&selection);
        let flows = self.flows(&selection);
        let ingress = self.ingress(flows, Arc::clone(&execution));
        Node {
            catalogue: self.catalogue,
            membership: self.membership,
            gossip,
            targets: selection.targets,
            router: selection.router,
            execution,
            usage: self.usage,
            counters: self.counters,
            log: self.log,
            callers: self.callers,
            ingress,
            status_address,
        }
    }

    fn gossip(&self) -> Arc<Gossip> {
        Arc::new(Gossip {
            membership: Arc::clone(&self.membership),
            catalogue: Arc::clone(&self.catalogue),
            usage: Arc::clone(&self.usage),
            lending: Arc::clone(&self.lending),
            peers: Arc::clone(&self.peers),
            counters: Arc::clone(&self.counters),
            rate: ControlRate::default(),
            log: self.log.clone(),
            pulls: Pulls::default(),
            bootstrapped: AtomicBool::new(false),
        })
    }

    fn return_path(&self) -> Arc<ReturnPath> {
        Arc::new(ReturnPath::new(
            self.keys.clone(),
            self.callers.clone(),
            Arc::clone(&self.pending),
            Arc::clone(&self.usage),
            Arc::clone(&self.counters),
        ))
    }

    fn selection(&self) -> Selection {
        let targets = Arc::new(TargetPool::new(
            self.membership.identity().clone(),
            Arc::clone(&self.network),
            self.return_path(),
            Arc::clone(&self.counters),
            self.clock,
            self.log.clone(),
        ));
        let router = Arc::new(Router::new(
            Arc::clone(&self.catalogue),
            Arc::clone(&targets),
            Arc::clone(&self.membership),
            self.clock,
        ));
        let admission = Arc::new(Admission::new(
            Arc::clone(&self.lending),
            Arc::clone(&targets),
            self.clock,
        ));
        Selection {
            targets,
            router,
            admission,
        }
    }

    fn execution(&self, selection: &Selection) -> Arc<Execution> {
        Arc::new(Execution {
            keys: self.keys.clone(),
            callers: self.callers.clone(),
            admission: Arc::clone(&selection.admission),
            router: Arc::clone(&selection.router),
            membership: Arc::clone(&self.membership),
            peers: Arc::clone(&self.peers),
            usage: Arc::clone(&self.usage),
            counters: Arc::clone(&self.counters),
            clock: self.clock,
            log: self.log.clone(),
            pauses: Arc::clone(&self.pauses),
            requests: Requests::default(),
        })
    }

    fn flows(&self, selection: &Selection) -> Arc<Flows> {
        Arc::new(Flows {
            keys: self.keys.clone(),
            callers: self.callers.clone(),
            pending: Arc::clone(&self.pending),
            targets: Arc::clone(&selection.targets),
            router: Arc::clone(&selection.router),
            admission: Arc::clone(&selection.admission),
            membership: Arc::clone(&self.membership),
            counters: Arc::clone(&self.counters),
            pauses: Arc::clone(&self.pauses),
            clock: self.clock,
            log: self.log.clone(),
        })
    }

    fn ingress(&self, flows: Arc<Flows>, execution: Arc<Execution>) -> Arc<Ingress> {
        Arc::new(Ingress {
            callers: self.callers.clone(),
            flows,
            execution,
            counters: Arc::clone(&self.counters),
            clock: self.clock,
            log: self.log.clone(),
        })
    }
}
