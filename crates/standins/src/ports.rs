//! Reservation of free ports, for processes whose addresses are fixed before they start.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;

use rand::RngExt as _;

/// The range lies below the ephemeral ports (32,768 and above on Linux), so that no outgoing
/// connection occupies a port between its release here and its use by a process.
const PORTS: Range<u16> = 10_000..32_000;
/// Random ports that are tried before the search fails.
const ATTEMPTS: usize = 1_000;

/// A port of 127.0.0.1, reserved for TCP and UDP until the value is dropped.
#[derive(Debug)]
pub struct ReservedPort {
    /// The address with the port.
    pub address: SocketAddr,
    _tcp: TcpListener,
    _udp: UdpSocket,
}

impl ReservedPort {
    /// Reserves a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if none of the ports tried is free.
    pub fn reserve() -> io::Result<Self> {
        for _ in 0..ATTEMPTS {
            let address = SocketAddr::from(([127, 0, 0, 1], rand::rng().random_range(PORTS)));
            let sockets =
                TcpListener::bind(address).and_then(|t| Ok((t, UdpSocket::bind(address)?)));
            if let Ok((tcp, udp)) = sockets {
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
