//! A network on which connections to chosen addresses can be blocked, to simulate partitions.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, PoisonError, RwLock};
use std::task::{Context, Poll};

use tanager_core::FastSet;
use tanagerproxy::peer::{Connecting, Network, TcpNetwork};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Opens TCP connections, except to blocked addresses. Established connections to a blocked
/// address fail with their next read or write.
#[derive(Debug, Clone, Default)]
pub struct PartitionableNetwork {
    blocked: SharedBlockList,
}

type SharedBlockList = Arc<RwLock<BlockList>>;

#[derive(Debug, Default)]
struct BlockList {
    all: bool,
    addresses: FastSet<SocketAddr>,
}

impl PartitionableNetwork {
    /// Blocks all addresses.
    pub fn block_all(&self) {
        self.write().all = true;
    }

    /// Blocks these addresses, in addition to those blocked before.
    pub fn block(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.write().addresses.extend(addresses);
    }

    /// Ends all blocks.
    pub fn unblock_all(&self) {
        *self.write() = BlockList::default();
    }

    fn write(&self) -> std::sync::RwLockWriteGuard<'_, BlockList> {
        self.blocked.write().unwrap_or_else(PoisonError::into_inner)
    }
}

fn check_reachable(blocked: &SharedBlockList, address: SocketAddr) -> io::Result<()> {
    let list = blocked.read().unwrap_or_else(PoisonError::into_inner);
    if list.all || list.addresses.contains(&address) {
        Err(io::ErrorKind::HostUnreachable.into())
    } else {
        Ok(())
    }
}

impl Network for PartitionableNetwork {
    fn connect(&self, address: SocketAddr) -> Connecting {
        let blocked = Arc::clone(&self.blocked);
        Box::pin(async move {
            check_reachable(&blocked, address)?;
            let inner = TcpNetwork.connect(address).await?;
            Ok(Box::new(PartitionableStream {
                inner,
                address,
                blocked,
            }) as _)
        })
    }
}

struct PartitionableStream<S> {
    inner: S,
    address: SocketAddr,
    blocked: SharedBlockList,
}

impl<S: AsyncRead + Unpin> AsyncRead for PartitionableStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        check_reachable(&self.blocked, self.address)?;
        Pin::new(&mut self.inner).poll_read(context, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for PartitionableStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        check_reachable(&self.blocked, self.address)?;
        Pin::new(&mut self.inner).poll_write(context, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
