//! Exchange of messages about grants for cold targets, on the socket of the beacons.

use std::net::SocketAddrV4;

use tanager_forward::WarmupMessage;
use tokio::net::UdpSocket;

use crate::datagram::send_datagram;
use crate::instance::Instance;

/// The first bytes of a datagram with a message about grants. Read as a beacon, they are an invalid
/// sender, so instances without these messages refuse them.
const PREFIX: [u8; 8] = [0xfe; 8];

/// Returns whether a datagram is one about grants, even if its message cannot be decoded.
pub fn is_grant_datagram(bytes: &[u8]) -> bool {
    bytes.starts_with(&PREFIX)
}

/// Requests grants for cold targets, or their renewal, if there are some.
pub fn renew(socket: &UdpSocket, instance: &Instance) {
    let now = instance.now();
    let standing = instance.membership.borrow().zone_standing(now);
    let request = instance.forwarder.borrow_mut().renew_grants(&standing, now);
    if let Some((to, message)) = request {
        send(socket, instance, &message, to);
    }
}

/// Handles a datagram about grants and answers a request.
pub fn handle(bytes: &[u8], socket: &UdpSocket, instance: &Instance) {
    let counters = &instance.reporter.counters;
    let body = bytes.strip_prefix(&PREFIX).unwrap_or_default();
    let message: WarmupMessage = match postcard::from_bytes(body) {
        Ok(message) => message,
        Err(error) => {
            counters.beacons_malformed.increment();
            slog::debug!(instance.reporter.log, "[peer] grant malformed"; "error" => %error);
            return;
        }
    };
    counters.grant_messages_received.increment();
    let now = instance.now();
    let standing = instance.membership.borrow().zone_standing(now);
    let mut forwarder = instance.forwarder.borrow_mut();
    let answer = forwarder.handle_warmup(&message, &standing, now);
    drop(forwarder);
    if let Some((to, message)) = answer {
        send(socket, instance, &message, to);
    }
}

fn send(socket: &UdpSocket, instance: &Instance, message: &WarmupMessage, to: SocketAddrV4) {
    let bytes = match postcard::to_extend(message, PREFIX.to_vec()) {
        Ok(bytes) => bytes,
        Err(error) => {
            slog::warn!(instance.reporter.log, "[peer] grant not written"; "error" => %error);
            return;
        }
    };
    let sent = &instance.reporter.counters.grant_messages_sent;
    send_datagram(socket, instance, &bytes, to, sent);
}
