//! An instance: start, graceful stop, and the handling of peers' calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tanager_core::{Clock, Revision, ZoneName};

use crate::catalogue::{
    CatalogueStore, DocumentKind, DocumentReply, DocumentRequest, PlatformReader,
};
use crate::execution::{Execution, Refresh};
use crate::flow::CallerSocket;
use crate::ingress::Ingress;
use crate::membership::{Gossip, Membership};
use crate::node::assembly::Base;
use crate::node::sockets::{Sockets, address_of};
use crate::peer::{Heartbeat, Network, PeerHandler, RelayReply, Relayed};
use crate::routing::Router;
use crate::settings::{PlatformSettings, Settings};
use crate::target::TargetPool;
use crate::telemetry::{Counters, DecisionRing, Log, Part};
use crate::usage::UsageTable;
use crate::{Result, peer, status};

mod assembly;
mod sockets;

/// Minimum time that a leaving instance keeps running after it began to leave and after it last
/// responded to a request. Callers repeat an unanswered request after at most 1.6 s, so three
/// repetitions fit.
const LINGER: Duration = Duration::from_secs(5);
/// Maximum time that a leaving instance waits for requests in flight. It exceeds the longest
/// deadline plus the time that a run may take after it.
const DRAIN_LIMIT: Duration = Duration::from_secs(65);

/// An entry instance.
pub struct Node {
    pub(crate) catalogue: Arc<CatalogueStore>,
    pub(crate) membership: Arc<Membership>,
    pub(crate) gossip: Arc<Gossip>,
    pub(crate) targets: Arc<TargetPool>,
    pub(crate) router: Arc<Router>,
    pub(crate) execution: Arc<Execution>,
    pub(crate) usage: Arc<UsageTable>,
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
    /// Returns [`crate::Error::Listen`] if a socket cannot be opened.
    pub async fn start(
        mut settings: Settings,
        log: Log,
        clock: Clock,
        network: Arc<dyn Network>,
    ) -> Result<Arc<Self>> {
        let sockets = Sockets::open(&settings).await?;
        // Port 0 stands for a port chosen by the system.
        settings.peers = address_of(&sockets.peers, settings.peers);
        settings.status = address_of(&sockets.status, settings.status);
        let Sockets {
            callers,
            peers,
            status,
        } = sockets;
        let base = Base::new(&settings, log, clock, network, callers);
        let node = Arc::new(base.assemble(settings.status));
        node.log.info(
            Part::Node,
            format_args!("instance {} is started", settings.name),
        );
        let handler = Arc::clone(&node) as Arc<dyn PeerHandler>;
        tokio::spawn(peer::serve(peers, handler));
        tokio::spawn(status::serve(status, Arc::clone(&node)));
        node.watch_platform(settings.platform);
        node.gossip.start(settings.seeds);
        tokio::spawn(Arc::clone(&node).follow_catalogue());
        tokio::spawn(Arc::clone(node.execution.pause_guard()).watch(node.refresh()));
        tokio::spawn(Arc::clone(&node.ingress).receive());
        Ok(node)
    }

    /// Stops gracefully: accepts no new work, finishes requests in flight, then returns.
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
        !self.catalogue.current().revision.is_none()
            && self.gossip.is_bootstrapped()
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

    fn watch_platform(&self, platform: PlatformSettings) {
        let reader = Arc::new(PlatformReader::new(
            platform,
            Arc::clone(&self.catalogue),
            Arc::clone(&self.membership),
            Arc::clone(&self.counters),
            self.log.clone(),
        ));
        for kind in [DocumentKind::Catalogue, DocumentKind::Instances] {
            tokio::spawn(Arc::clone(&reader).follow(kind));
        }
    }

    /// Reconciles the target links with every new catalogue.
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

    /// Returns the refresh that runs after a pause. It reads the state of some peers and the newest
    /// catalogue that they have. The watches on the platform and the target links recover without
    /// it.
    fn refresh(&self) -> Refresh {
        let gossip = Arc::downgrade(&self.gossip);
        Box::new(move || {
            let gossip = gossip.upgrade();
            Box::pin(async move {
                if let Some(gossip) = gossip {
                    gossip.refresh().await;
                }
            })
        })
    }
}

impl PeerHandler for Node {
    fn exchange(&self, heartbeat: Heartbeat) -> Heartbeat {
        self.gossip.answer(&heartbeat)
    }

    fn document(&self, request: &DocumentRequest) -> Option<DocumentReply> {
        self.gossip.document(request)
    }

    fn relay(&self, relayed: Relayed) -> RelayReply {
        if relayed.executor != self.membership.identity().incarnation {
            return RelayReply::Replaced;
        }
        self.ingress
            .handle_relayed(&relayed.datagram, relayed.caller);
        RelayReply::Taken
    }
}
