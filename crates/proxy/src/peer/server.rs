//! Serves the calls of other instances.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt as _;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel as _};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::accept::Acceptor;
use crate::catalogue::{DocumentReply, DocumentRequest};
use crate::peer::service::Peer;
use crate::peer::{Heartbeat, RelayReply, Relayed};

/// A connection without a call for this long is closed. It exceeds the time after which clients
/// close idle connections, and ends those whose client vanished without a word.
const IDLE_LIMIT: Duration = Duration::from_secs(90);

/// Connections that are served at the same time: one of each peer of the largest fleet, and as
/// many again of former lives that have not been noticed as gone.
const CONNECTION_LIMIT: usize = 1_400;

/// Answers calls of other instances.
pub trait PeerHandler: Send + Sync + 'static {
    /// Takes a peer's heartbeat and returns the own one.
    fn exchange(&self, heartbeat: Heartbeat) -> Heartbeat;
    /// Returns a published document if it is newer than the caller's.
    fn document(&self, request: &DocumentRequest) -> Option<DocumentReply>;
    /// Takes a datagram as its executor.
    fn relay(&self, relayed: Relayed) -> RelayReply;
}

#[derive(Clone)]
struct Server(Arc<dyn PeerHandler>);

impl Peer for Server {
    async fn exchange(self, _: Context, heartbeat: Heartbeat) -> Heartbeat {
        self.0.exchange(heartbeat)
    }

    async fn document(self, _: Context, request: DocumentRequest) -> Option<DocumentReply> {
        self.0.document(&request)
    }

    async fn relay(self, _: Context, relayed: Relayed) -> RelayReply {
        self.0.relay(relayed)
    }
}

/// Serves connections of other instances, one task for each.
pub async fn serve(listener: TcpListener, handler: Arc<dyn PeerHandler>) {
    let acceptor = Acceptor::new(listener, CONNECTION_LIMIT);
    loop {
        let (stream, permit) = acceptor.accept().await;
        let handler = Arc::clone(&handler);
        drop(tokio::spawn(async move {
            serve_connection(stream, handler).await;
            drop(permit);
        }));
    }
}

async fn serve_connection(stream: TcpStream, handler: Arc<dyn PeerHandler>) {
    let _ = stream.set_nodelay(true);
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let channel = BaseChannel::with_defaults(transport);
    let mut calls = pin!(channel.execute(Server(handler).serve()));
    // Calls are short and do not wait for others, so they run one after the other.
    while let Ok(Some(call)) = timeout(IDLE_LIMIT, calls.next()).await {
        call.await;
    }
}
