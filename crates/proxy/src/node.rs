use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::IteratorRandom as _;
use tanager_core::{Clock, Incarnation, Revision, ZoneName};
use tokio::net::{TcpListener, UdpSocket};

use crate::admission::{Admission, Lending};
use crate::catalogue::{CatalogueStore, Reader};
use crate::execution::{Execution, PauseGuard, Refresh, Requests};
use crate::flow::{CallerSocket, Flows, PendingOpens, ReturnPath};
use crate::ingress::Ingress;
use crate::membership::{Gossip, Membership};
use crate::peer::{CatalogueText, Heartbeat, Network, PeerHandler, Peers, RelayReply, Relayed};
use crate::routing::Router;
use crate::settings::Settings;
use crate::target::TargetPool;
use crate::telemetry::{ControlRate, Counters, DecisionRing, Log, Part};
use crate::usage::Usage;
use crate::{Error, Identity, Result, peer, status};

/// Receive buffer of the caller socket in bytes. It takes some 100 ms of a burst.
const RECEIVE_BUFFER: usize = 4 << 20;
/// Shortest time between leaving, or the last request that a caller asked for, and the end of the
/// process. Callers repeat an unanswered request every 1.6 s at the latest; three repeats fit.
const LINGER: Duration = Duration::from_secs(5);
/// Longest time that requests in flight are waited for. It exceeds the longest deadline and the
/// time that a run may take after it.
const DRAIN_LIMIT: Duration = Duration::from_secs(65);

/// Peers asked for a newer catalogue after a pause.
const REFRESH_PEERS: usize = 3;

/// An entry instance.
pub struct Node {
    pub(crate) catalogue: Arc<CatalogueStore>,
    pub(crate) membership: Arc<Membership>,
    pub(crate) gossip: Arc<Gossip>,
    pub(crate) targets: Arc<TargetPool>,
    pub(crate) router: Arc<Router>,
    pub(crate) execution: Arc<Execution>,
    pub(crate) usage: Arc<Usage>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) log: Log,
    callers: CallerSocket,
    ingress: Arc<Ingress>,
    status_address: SocketAddr,
}

impl Node {
    /// Opens the sockets and starts all tasks of an instance.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] if a socket cannot be opened.
    pub async fn start(
        mut settings: Settings,
        log: Log,
        clock: Clock,
        network: Arc<dyn Network>,
    ) -> Result<Arc<Self>> {
        let peer_listener = listen(settings.peers).await?;
        let status_listener = listen(settings.status).await?;
        // Port 0 stands for a port chosen by the system.
        settings.peers = peer_listener.local_addr().unwrap_or(settings.peers);
        settings.status = status_listener.local_addr().unwrap_or(settings.status);
        let counters = Arc::new(Counters::default());
        let socket = Arc::new(bind_callers(settings.callers)?);
        let callers = CallerSocket::new(socket, Arc::clone(&counters));
        let node = Arc::new(Self::assemble(
            &settings, log, clock, network, counters, callers,
        ));
        node.log.info(
            Part::Node,
            format_args!("instance {} is started", settings.name),
        );

        tokio::spawn(peer::serve(
            peer_listener,
            Arc::clone(&node) as Arc<dyn PeerHandler>,
        ));
        tokio::spawn(status::serve(status_listener, Arc::clone(&node)));
        let reader = Arc::new(Reader::new(
            settings.platform,
            Arc::clone(&node.catalogue),
            Arc::clone(&node.membership),
            Arc::clone(&node.counters),
            node.log.clone(),
        ));
        tokio::spawn(Arc::clone(&reader).watch_catalogue());
        tokio::spawn(reader.watch_instances());
        node.gossip.start(settings.seeds);
        tokio::spawn(Arc::clone(&node).follow_catalogue());
        tokio::spawn(Arc::clone(node.execution.pauses()).watch(node.refresh()));
        tokio::spawn(Arc::clone(&node.ingress).receive());
        Ok(node)
    }

    /// Stops gracefully: takes no new work, finishes requests in flight, then returns.
    pub async fn leave(&self) {
        self.membership.leave();
        self.log.info(Part::Node, "instance is leaving");
        let start = tokio::time::Instant::now();
        while start.elapsed() < LINGER
            || (self.execution.is_busy(LINGER) && start.elapsed() < DRAIN_LIMIT)
        {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.log.info(Part::Node, "instance is stopped");
    }

    /// Returns where callers are served.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket's address cannot be read.
    pub fn callers_address(&self) -> std::io::Result<SocketAddr> {
        self.callers.socket().local_addr()
    }

    /// Returns where peers reach the instance.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.membership.identity().address
    }

    /// Returns where the status pages are served.
    #[must_use]
    pub const fn status_address(&self) -> SocketAddr {
        self.status_address
    }

    /// Returns the instance's availability zone.
    #[must_use]
    pub fn zone(&self) -> &ZoneName {
        &self.membership.identity().zone
    }

    /// Returns the number of targets with a usable connection.
    #[must_use]
    pub fn connected_targets(&self) -> usize {
        self.targets.links().iter().filter(|l| l.is_ready()).count()
    }

    /// Returns the revision of the catalogue in force; 0 before any was read.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.catalogue.current().revision
    }

    /// Returns whether a catalogue is in force, the seeds were asked for a newer one, and the
    /// instance is not leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.catalogue.current().revision.get() > 0
            && self.gossip.is_surveyed()
            && !self.membership.is_leaving()
    }

    /// Returns the recent routing and placement decisions.
    #[must_use]
    pub fn decisions(&self) -> &DecisionRing {
        self.log.decisions()
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn assemble(
        settings: &Settings,
        log: Log,
        clock: Clock,
        network: Arc<dyn Network>,
        counters: Arc<Counters>,
        callers: CallerSocket,
    ) -> Self {
        let identity = Identity {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            incarnation: Incarnation::random(),
            address: settings.peers,
        };
        let keys = settings.keys.clone();
        let catalogue = Arc::new(CatalogueStore::default());
        let membership = Arc::new(Membership::new(identity.clone()));
        let usage = Arc::new(Usage::default());
        let pending = Arc::new(PendingOpens::default());
        let return_path = Arc::new(ReturnPath::new(
            keys.clone(),
            callers.clone(),
            Arc::clone(&pending),
            Arc::clone(&usage),
            Arc::clone(&counters),
        ));
        let peers = Arc::new(Peers::new(Arc::clone(&network)));
        let lending = Lending::new(Arc::clone(&catalogue), Arc::clone(&membership), clock);
        let gossip = Arc::new(Gossip {
            membership: Arc::clone(&membership),
            catalogue: Arc::clone(&catalogue),
            usage: Arc::clone(&usage),
            lending: Arc::clone(&lending),
            peers: Arc::clone(&peers),
            counters: Arc::clone(&counters),
            rate: ControlRate::default(),
            log: log.clone(),
            pulling: AtomicBool::new(false),
            surveyed: AtomicBool::new(false),
        });
        let targets = Arc::new(TargetPool::new(
            identity,
            network,
            return_path,
            Arc::clone(&counters),
            clock,
            log.clone(),
        ));
        let router = Arc::new(Router::new(
            Arc::clone(&catalogue),
            Arc::clone(&targets),
            Arc::clone(&membership),
            clock,
        ));
        let admission = Arc::new(Admission::new(lending, Arc::clone(&targets), clock));
        let execution = Arc::new(Execution {
            keys: keys.clone(),
            callers: callers.clone(),
            admission: Arc::clone(&admission),
            router: Arc::clone(&router),
            membership: Arc::clone(&membership),
            peers,
            usage: Arc::clone(&usage),
            counters: Arc::clone(&counters),
            clock,
            log: log.clone(),
            pauses: PauseGuard::new(clock),
            requests: Requests::default(),
        });
        let flows = Arc::new(Flows {
            keys,
            callers: callers.clone(),
            pending,
            targets: Arc::clone(&targets),
            router: Arc::clone(&router),
            admission,
            membership: Arc::clone(&membership),
            counters: Arc::clone(&counters),
            pauses: Arc::clone(execution.pauses()),
            clock,
            log: log.clone(),
        });
        let ingress = Arc::new(Ingress {
            callers: callers.clone(),
            flows,
            execution: Arc::clone(&execution),
            counters: Arc::clone(&counters),
            clock,
            log: log.clone(),
        });
        Self {
            catalogue,
            membership,
            gossip,
            targets,
            router,
            execution,
            usage,
            counters,
            log,
            callers,
            ingress,
            status_address: settings.status,
        }
    }

    /// Adapts the target links to every new catalogue.
    async fn follow_catalogue(self: Arc<Self>) {
        let mut revisions = self.catalogue.subscribe();
        loop {
            revisions.borrow_and_update();
            self.targets.reconcile(&self.catalogue.current());
            if revisions.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns how this instance reads its view anew after a pause: the newest catalogue that
    /// some peers hold. The platform's watches and the target links catch up by themselves.
    fn refresh(self: &Arc<Self>) -> Refresh {
        let node = Arc::downgrade(self);
        Box::new(move || {
            let node = node.upgrade();
            Box::pin(async move {
                if let Some(node) = node {
                    node.pull_catalogue().await;
                }
            })
        })
    }

    async fn pull_catalogue(&self) {
        let peers = self.membership.others();
        let some = peers.iter().sample(&mut rand::rng(), REFRESH_PEERS);
        let revision = self.revision();
        let calls = some
            .into_iter()
            .map(|peer| self.execution.peers.catalogue(peer.address, revision));
        for reply in join_all(calls).await {
            if let Ok(Some(catalogue)) = reply {
                // A peer's older or invalid catalogue is refused and reported by the store.
                let _ = self.catalogue.offer(&catalogue.text);
            }
        }
    }
}

impl PeerHandler for Node {
    fn exchange(&self, heartbeat: Heartbeat) -> Heartbeat {
        self.gossip.answer(&heartbeat)
    }

    fn catalogue(&self, after: Revision) -> Option<CatalogueText> {
        self.gossip.document(after)
    }

    fn relay(&self, relayed: Relayed) -> RelayReply {
        if relayed.executor != self.membership.identity().incarnation {
            return RelayReply::Replaced;
        }
        self.ingress.take_relayed(&relayed.datagram, relayed.caller);
        RelayReply::Taken
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Listen { address, source })
}

fn bind_callers(address: SocketAddr) -> Result<UdpSocket> {
    let bind = || {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::DGRAM, None)?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        UdpSocket::from_std(socket.into())
    };
    bind().map_err(|source| Error::Listen { address, source })
}
