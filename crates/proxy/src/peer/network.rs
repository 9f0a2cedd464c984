//! Byte streams to other processes, behind a trait that tests implement to inject faults.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A byte stream to another process.
pub trait PeerStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> PeerStream for T {}

/// A connection attempt in progress.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<Box<dyn PeerStream>>> + Send>>;

/// Opens connections to peers and targets. Tests replace it to simulate broken links.
pub trait Network: Send + Sync + 'static {
    /// Connects to `address`.
    fn connect(&self, address: SocketAddr) -> Connecting;
}

/// Connects over TCP.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpNetwork;

impl Network for TcpNetwork {
    fn connect(&self, address: SocketAddr) -> Connecting {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            // Small frames are batched by the sender; delaying them further only adds latency.
            stream.set_nodelay(true)?;
            Ok(Box::new(stream) as Box<dyn PeerStream>)
        })
    }
}
