//! Receives the packets of clients and carries out what the forwarder decides.

use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::rc::Rc;

use tanager_core::Millis;
use tanager_forward::{Action, FlowKey, Forward, Segment};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until};

use crate::instance::Instance;

/// The largest packet in bytes, with room beyond what platforms use today.
const PACKET_LIMIT: usize = 2_048;
/// Packets that are handled before other tasks get their turn.
const BATCH: usize = 64;

/// How packets are written on the wire.
pub trait PacketFormat {
    /// Reads a client's packet; `None` if it cannot be read.
    fn decode(&self, packet: &[u8]) -> Option<Segment>;

    /// Writes the datagram that carries a client's packet to a target.
    fn encode_forward(&self, forward: &Forward, packet: &[u8], datagram: &mut Vec<u8>);

    /// Writes a packet that ends a flow for its client.
    fn encode_reset(&self, flow: &FlowKey, sequence: u32, packet: &mut Vec<u8>);
}

/// Receives and forwards packets until the process ends.
pub async fn run<F: PacketFormat>(socket: UdpSocket, format: F, instance: Rc<Instance>) {
    let mut packet = vec![0; PACKET_LIMIT];
    let mut sender = Sender {
        socket,
        format,
        datagram: Vec::with_capacity(PACKET_LIMIT),
        instance,
    };
    loop {
        let due = sender.instance.forwarder.borrow_mut().next_due();
        let readable = tokio::select! {
            readable = sender.socket.readable() => Some(readable),
            () = wait_until(&sender.instance, due) => None,
            () = sender.instance.view_changed.notified() => None,
        };
        if let Some(Err(error)) = readable {
            slog::warn!(sender.instance.reporter.log, "[forward] cannot receive";
                "error" => %error);
            tokio::task::yield_now().await;
        }
        // Whether a target was silent shows only once all that has arrived is read.
        if sender.receive(&mut packet) {
            sender.send_due();
        }
        sender.instance.report();
    }
}

/// Waits until a time, or forever if there is none.
async fn wait_until(instance: &Instance, due: Option<Millis>) {
    match due {
        Some(due) => sleep_until(Instant::now() + due.since(instance.now())).await,
        None => std::future::pending().await,
    }
}

struct Sender<F> {
    socket: UdpSocket,
    format: F,
    datagram: Vec<u8>,
    instance: Rc<Instance>,
}

impl<F: PacketFormat> Sender<F> {
    /// Handles a batch of packets. Returns whether nothing more has arrived.
    fn receive(&mut self, packet: &mut [u8]) -> bool {
        for _ in 0..BATCH {
            match self.socket.try_recv_from(packet) {
                Ok((length, _)) => self.handle(&packet[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(error) => {
                    // A target's closed port shows up as an error of the next call.
                    slog::debug!(self.instance.reporter.log, "[forward] receive failed";
                        "error" => %error);
                }
            }
        }
        false
    }

    fn handle(&mut self, packet: &[u8]) {
        let counters = &self.instance.reporter.counters;
        counters.packets_received.increment();
        let Some(segment) = self.format.decode(packet) else {
            counters.packets_malformed.increment();
            return;
        };
        let now = self.instance.now();
        let action = self
            .instance
            .forwarder
            .borrow_mut()
            .handle_packet(&segment, packet, now);
        self.act(action, &segment.flow, packet);
    }

    fn send_due(&mut self) {
        let now = self.instance.now();
        let due = self.instance.forwarder.borrow_mut().take_due(now);
        for due in due {
            self.act(due.action, &due.flow, &due.packet);
        }
    }

    fn act(&mut self, action: Action, flow: &FlowKey, packet: &[u8]) {
        match action {
            Action::Forward(forward) => self.forward(&forward, packet),
            Action::Reset { sequence } => self.reset(flow, sequence),
            Action::Wait => self.instance.newer_view.notify_one(),
            Action::Drop(_) => {}
        }
    }

    fn forward(&mut self, forward: &Forward, packet: &[u8]) {
        self.format
            .encode_forward(forward, packet, &mut self.datagram);
        self.instance
            .reporter
            .counters
            .packets_forwarded
            .increment();
        self.send(&self.datagram, forward.address);
    }

    fn reset(&mut self, flow: &FlowKey, sequence: u32) {
        let port = self.instance.settings.clients.port();
        let client = SocketAddrV4::new(*flow.client.ip(), port);
        self.format.encode_reset(flow, sequence, &mut self.datagram);
        self.send(&self.datagram, client);
    }

    fn send(&self, datagram: &[u8], address: SocketAddrV4) {
        if let Err(error) = self.socket.try_send_to(datagram, address.into()) {
            // Both ends repeat what is lost.
            self.instance.reporter.counters.sends_failed.increment();
            slog::debug!(self.instance.reporter.log, "[forward] send failed";
                "address" => %address, "error" => %error);
        }
    }
}
