//! Exchange of messages about single flows with other instances, on the socket of the beacons.

use std::net::SocketAddrV4;

use tanager_forward::{FlowDatagram, FlowMessage};
use tokio::net::UdpSocket;

use crate::datagram::send_datagram;
use crate::instance::Instance;

/// The first bytes of a datagram with a message about a flow. Read as a beacon, they are an invalid
/// sender, so instances without these messages refuse them.
const PREFIX: [u8; 8] = [0xff; 8];

/// Returns the message in a datagram; `None` if it is a beacon or cannot be decoded.
pub fn decode(bytes: &[u8]) -> Option<FlowDatagram> {
    let body = bytes.strip_prefix(&PREFIX)?;
    postcard::from_bytes(body).ok()
}

/// Returns whether a datagram is one about a flow, even if its message cannot be decoded.
pub fn is_flow_datagram(bytes: &[u8]) -> bool {
    bytes.starts_with(&PREFIX)
}

/// Sends the forwarder's messages to the instances that may know or need them.
pub fn send_queued(socket: &UdpSocket, instance: &Instance) {
    let messages = instance.forwarder.borrow_mut().take_messages();
    if messages.is_empty() {
        return;
    }
    let membership = instance.membership.borrow();
    let (hub, others) = membership.flow_peers(instance.now());
    let reply_to = membership.own_address();
    for message in messages {
        let mut datagram = FlowDatagram {
            reply_to,
            relay: true,
            message,
        };
        send(socket, instance, &datagram, hub.iter().copied());
        datagram.relay = false;
        send(socket, instance, &datagram, others.iter().copied());
    }
}

/// Handles a message: relays it if the sender asks for it, and answers a query.
pub fn handle(datagram: FlowDatagram, socket: &UdpSocket, instance: &Instance) {
    instance
        .reporter
        .counters
        .flow_messages_received
        .increment();
    let FlowDatagram {
        reply_to,
        relay,
        message,
    } = datagram;
    let membership = instance.membership.borrow();
    let own = membership.own_address();
    if relay {
        let relayed = FlowDatagram {
            relay: false,
            ..datagram
        };
        let peers = membership.zone_peers(reply_to);
        send(socket, instance, &relayed, peers.into_iter());
    }
    let now = instance.now();
    let answer = instance.forwarder.borrow_mut().handle_message(message, now);
    if let Some(message) = answer {
        let answer = FlowDatagram {
            reply_to: own,
            relay: false,
            message,
        };
        send(socket, instance, &answer, std::iter::once(reply_to));
    }
    if !matches!(message, FlowMessage::Query { .. }) {
        instance.held_released.notify_one();
    }
}

fn send(
    socket: &UdpSocket,
    instance: &Instance,
    datagram: &FlowDatagram,
    receivers: impl Iterator<Item = SocketAddrV4>,
) {
    let bytes = match postcard::to_extend(datagram, PREFIX.to_vec()) {
        Ok(bytes) => bytes,
        Err(error) => {
            slog::warn!(instance.reporter.log, "[peer] message not written"; "error" => %error);
            return;
        }
    };
    let sent = &instance.reporter.counters.flow_messages_sent;
    for to in receivers {
        send_datagram(socket, instance, &bytes, to, sent);
    }
}
