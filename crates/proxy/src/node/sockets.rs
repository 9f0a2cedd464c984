//! The sockets on which an instance is reached.

use std::net::SocketAddr;

use tokio::net::{TcpListener, UdpSocket};

use crate::settings::Settings;
use crate::{Error, Result};

/// Receive buffer of the caller socket in bytes. It holds about 100 ms of a burst.
const RECEIVE_BUFFER: usize = 4 << 20;

/// The sockets on which an instance is reached.
pub(super) struct Sockets {
    pub(super) callers: UdpSocket,
    pub(super) peers: TcpListener,
    pub(super) status: TcpListener,
}

impl Sockets {
    /// Opens the sockets at the addresses of the settings.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] if an address cannot be used.
    pub(super) async fn open(settings: &Settings) -> Result<Self> {
        Ok(Self {
            peers: listen(settings.peers).await?,
            status: listen(settings.status).await?,
            callers: bind_callers(settings.callers)?,
        })
    }
}

/// Returns the address of a listener, or `configured` if it cannot be read.
pub(super) fn address_of(listener: &TcpListener, configured: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(configured)
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
