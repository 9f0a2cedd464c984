//! Sends datagrams to callers.

use std::net::SocketAddr;
use std::sync::Arc;

use tanager_core::ServiceId;
use tanager_wire::{Datagram, DatagramBody};
use tokio::net::UdpSocket;

use crate::telemetry::Counters;

/// Sends datagrams to callers.
#[derive(Debug, Clone)]
pub struct CallerSocket {
    socket: Arc<UdpSocket>,
    counters: Arc<Counters>,
}

impl CallerSocket {
    /// Wraps the socket on which callers are served.
    #[must_use]
    pub const fn new(socket: Arc<UdpSocket>, counters: Arc<Counters>) -> Self {
        Self { socket, counters }
    }

    /// Returns the socket.
    #[must_use]
    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Sends a datagram without waiting. A datagram that does not fit the socket's buffer or the
    /// size limit is dropped and counted; callers repeat what is not answered.
    pub fn send(&self, caller: SocketAddr, service: ServiceId, body: DatagramBody) {
        let sent = Datagram { service, body }
            .encode()
            .is_ok_and(|bytes| self.socket.try_send_to(&bytes, caller).is_ok());
        if sent {
            self.counters.datagrams_sent.increment();
        } else {
            self.counters.datagrams_dropped.increment();
        }
    }
}
