use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tanager_core::FastMap;
use tarpc::client::Config;
use tarpc::context;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::time::timeout;

use crate::catalogue::{DocumentReply, DocumentRequest};
use crate::peer::service::PeerClient;
use crate::peer::{Heartbeat, Network, RelayReply, Relayed};
use crate::{Error, Result};

/// Longest wait for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a peer's reply.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Clients of other instances, connected on demand.
pub struct Peers {
    network: Arc<dyn Network>,
    clients: Mutex<FastMap<SocketAddr, PeerClient>>,
}

impl Peers {
    /// Creates a set without connections.
    #[must_use]
    pub fn new(network: Arc<dyn Network>) -> Self {
        Self {
            network,
            clients: Mutex::default(),
        }
    }

    /// Exchanges heartbeats with a peer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Peer`] if the peer does not answer in time.
    pub async fn exchange(&self, address: SocketAddr, own: Heartbeat) -> Result<Heartbeat> {
        let client = self.client(address).await?;
        let reply = client.exchange(context(), own).await;
        reply.map_err(|e| self.failed(address, &e))
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
        let client = self.client(address).await?;
        let reply = client.document(context(), request).await;
        reply.map_err(|e| self.failed(address, &e))
    }

    /// Hands a datagram to the executor at `address`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Peer`] if the executor does not answer in time. It may still have taken
    /// the datagram then.
    pub async fn relay(&self, address: SocketAddr, relayed: Relayed) -> Result<RelayReply> {
        let client = self.client(address).await?;
        let reply = client.relay(context(), relayed).await;
        reply.map_err(|e| self.failed(address, &e))
    }

    async fn client(&self, address: SocketAddr) -> Result<PeerClient> {
        let known = self
            .clients
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&address)
            .cloned();
        if let Some(client) = known {
            return Ok(client);
        }
        let stream = timeout(CONNECT_TIMEOUT, self.network.connect(address))
            .await
            .map_err(|e| Error::peer(address, &e))?
            .map_err(|e| Error::peer(address, &e))?;
        let framed = LengthDelimitedCodec::builder().new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let client = PeerClient::new(Config::default(), transport).spawn();
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(clients.entry(address).or_insert(client).clone())
    }

    /// Forgets the connection, so that the next call opens a new one.
    fn failed(&self, address: SocketAddr, cause: &impl ToString) -> Error {
        self.clients
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&address);
        Error::peer(address, cause)
    }
}

fn context() -> context::Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + CALL_TIMEOUT;
    context
}
