//! Datagrams to other instances.

use std::net::SocketAddrV4;

use tanagerproxy::telemetry::Counter;
use tokio::net::UdpSocket;

use crate::instance::Instance;

/// Sends a datagram to another instance, and counts it if the network takes it. Whatever is lost is sent
/// again, or its wait ends with a time-out.
pub fn send_datagram(
    socket: &UdpSocket,
    instance: &Instance,
    bytes: &[u8],
    to: SocketAddrV4,
    sent: &Counter,
) {
    match socket.try_send_to(bytes, to.into()) {
        Ok(_) => sent.increment(),
        Err(error) => {
            slog::debug!(instance.reporter.log, "[peer] send failed"; "error" => %error);
        }
    }
}
