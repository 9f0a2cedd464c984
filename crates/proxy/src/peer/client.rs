//! RPC clients for other instances.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tanager_core::FastMap;
use tarpc::context;
use tokio::time::Instant;

use crate::catalogue::{DocumentReply, DocumentRequest};
use crate::peer::connection::Connection;
use crate::peer::{Heartbeat, Network, RelayReply, Relayed};
use crate::{Error, Result};

/// Maximum wait for a peer's reply on an open connection.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without calls after which a connection is closed.
const IDLE_LIMIT: Duration = Duration::from_mins(1);

/// Clients of other instances, connected on demand, with one connection for each peer.
pub struct Peers {
    network: Arc<dyn Network>,
    idle_limit: Duration,
    connections: Arc<Mutex<Connections>>,
}

type Connections = FastMap<SocketAddr, Arc<Connection>>;

impl Peers {
    /// Creates a set without connections.
    #[must_use]
    pub fn new(network: Arc<dyn Network>) -> Self {
        Self::with_idle_limit(network, IDLE_LIMIT)
    }

    /// Creates a set that closes connections after another idle time.
    #[must_use]
    pub fn with_idle_limit(network: Arc<dyn Network>, idle_limit: Duration) -> Self {
        Self {
            network,
            idle_limit,
            connections: Arc::default(),
        }
    }

    /// Returns the number of peers with a connection or a call in progress.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        lock(&self.connections).len()
    }

    /// Exchanges heartbeats with a peer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Peer`] if the peer does not answer in time.
    pub async fn exchange(&self, address: SocketAddr, own: Heartbeat) -> Result<Heartbeat> {
        let connection = self.connection(address);
        let call = connection.call(|client| async move { client.exchange(context(), own).await });
        call.await.map_err(|cause| Error::peer(address, &cause))
    }

    /// Fetches a document from a peer that has a newer one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Peer`] if the peer does not answer in time.
    pub async fn document(
        &self,
        address: SocketAddr,
        request: DocumentRequest,
    ) -> Result<Option<DocumentReply>> {
        let connection = self.connection(address);
        let call =
            connection.call(|client| async move { client.document(context(), request).await });
        call.await.map_err(|cause| Error::peer(address, &cause))
    }

    /// Relays a datagram to the executor at `address`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Peer`] if the executor does not answer in time. It may have accepted the
    /// datagram nevertheless.
    pub async fn relay(&self, address: SocketAddr, relayed: Relayed) -> Result<RelayReply> {
        let connection = self.connection(address);
        let call = connection.call(|client| async move { client.relay(context(), relayed).await });
        call.await.map_err(|cause| Error::peer(address, &cause))
    }

    fn connection(&self, address: SocketAddr) -> Arc<Connection> {
        let mut connections = lock(&self.connections);
        let connection = connections.entry(address).or_insert_with(|| {
            let connection = Arc::new(Connection::new(address, Arc::clone(&self.network)));
            tokio::spawn(close_when_idle(
                Arc::clone(&connection),
                Arc::clone(&self.connections),
                self.idle_limit,
            ));
            connection
        });
        connection.touch();
        Arc::clone(connection)
    }
}

/// Removes a connection once it has been idle for `limit`. Dropping it closes the stream.
async fn close_when_idle(
    connection: Arc<Connection>,
    connections: Arc<Mutex<Connections>>,
    limit: Duration,
) {
    loop {
        tokio::time::sleep_until(connection.last_used() + limit).await;
        let mut connections = lock(&connections);
        // Calls get and touch the connection under the same lock, so none can start between this
        // check and the removal.
        if connection.last_used() + limit <= Instant::now() && connection.is_unused() {
            connections.remove(&connection.address());
            return;
        }
        connection.touch_if_in_use();
    }
}

fn lock(connections: &Mutex<Connections>) -> std::sync::MutexGuard<'_, Connections> {
    connections.lock().unwrap_or_else(PoisonError::into_inner)
}

fn context() -> context::Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + CALL_TIMEOUT;
    context
}
