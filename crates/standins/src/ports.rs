//! Free ports for processes that are told their addresses before they start.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;

use rand::RngExt as _;

/// Below the ports that the system gives to outgoing connections (32,768 and above on Linux), so
/// that no connection takes a port between its release and its use.
const PORTS: Range<u16> = 10_000..32_000;
/// Ports tried for one that is free.
const ATTEMPTS: usize = 1_000;

/// A free port of 127.0.0.1, held for TCP and UDP until it is dropped.
#[derive(Debug)]
pub struct HeldPort {
    /// The address with the port.
    pub address: SocketAddr,
    _tcp: TcpListener,
    _udp: UdpSocket,
}

impl HeldPort {
    /// Finds and holds a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if none of many random ports is free.
    pub fn find() -> io::Result<Self> {
        for _ in 0..ATTEMPTS {
            let address = SocketAddr::from(([127, 0, 0, 1], rand::rng().random_range(PORTS)));
            let held = TcpListener::bind(address).and_then(|t| Ok((t, UdpSocket::bind(address)?)));
            if let Ok((tcp, udp)) = held {
                return Ok(Self {
                    address,
                    _tcp: tcp,
                    _udp: udp,
                });
            }
        }
        Err(io::Error::other("no free port"))
    }
}
