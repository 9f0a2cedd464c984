//! A network whose links to chosen addresses can be cut and healed.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, PoisonError, RwLock};
use std::task::{Context, Poll};

use tanager_core::FastSet;
use tanagerproxy::peer::{Connecting, Network, TcpNetwork};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Opens TCP connections, except to addresses that are cut. Established connections to them fail
/// with their next read or write.
#[derive(Debug, Clone, Default)]
pub struct CutNetwork {
    cuts: Cuts,
}

type Cuts = Arc<RwLock<Cut>>;

#[derive(Debug, Default)]
struct Cut {
    all: bool,
    addresses: FastSet<SocketAddr>,
}

impl CutNetwork {
    /// Cuts the links to all addresses.
    pub fn cut_all(&self) {
        self.write().all = true;
    }

    /// Cuts the links to these addresses.
    pub fn cut(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.write().addresses.extend(addresses);
    }

    /// Heals all links.
    pub fn heal(&self) {
        *self.write() = Cut::default();
    }

    fn write(&self) -> std::sync::RwLockWriteGuard<'_, Cut> {
        self.cuts.write().unwrap_or_else(PoisonError::into_inner)
    }
}

fn check(cuts: &Cuts, address: SocketAddr) -> io::Result<()> {
    let cut = cuts.read().unwrap_or_else(PoisonError::into_inner);
    if cut.all || cut.addresses.contains(&address) {
        Err(io::ErrorKind::HostUnreachable.into())
    } else {
        Ok(())
    }
}

impl Network for CutNetwork {
    fn connect(&self, address: SocketAddr) -> Connecting {
        let cuts = Arc::clone(&self.cuts);
        Box::pin(async move {
            check(&cuts, address)?;
            let inner = TcpNetwork.connect(address).await?;
            Ok(Box::new(CutStream {
                inner,
                address,
                cuts,
            }) as _)
        })
    }
}

struct CutStream<S> {
    inner: S,
    address: SocketAddr,
    cuts: Cuts,
}

impl<S: AsyncRead + Unpin> AsyncRead for CutStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        check(&self.cuts, self.address)?;
        Pin::new(&mut self.inner).poll_read(context, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CutStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        check(&self.cuts, self.address)?;
        Pin::new(&mut self.inner).poll_write(context, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
