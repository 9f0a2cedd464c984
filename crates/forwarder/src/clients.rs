//! Receives packets from clients and executes the forwarder's decisions.

use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::rc::Rc;

use tanager_core::Millis;
use tanager_forward::{Action, FlowKey, Forward, Segment};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::instance::Instance;
use crate::pause::{OBSERVATION_INTERVAL, PauseDetector};
use crate::report::millis;

/// Largest packet in bytes. Packets on today's platforms are smaller.
const PACKET_LIMIT: usize = 2_048;
/// Packets handled before the task yields to other tasks.
const BATCH: usize = 64;

/// The wire format of packets.
pub trait PacketFormat {
    /// Decodes a client's packet; `None` if it is malformed.
    fn decode(&self, packet: &[u8]) -> Option<Segment>;

    /// Writes the datagram that carries a client's packet to a target, replacing `datagram`.
    fn encode_forward(&self, forward: &Forward, packet: &[u8], datagram: &mut Vec<u8>);

    /// Writes the packet that resets a flow at its client, replacing `packet`.
    fn encode_reset(&self, flow: &FlowKey, sequence: u32, packet: &mut Vec<u8>);
}

/// Receives and forwards packets until the process ends.
pub async fn run<F: PacketFormat>(socket: UdpSocket, format: F, instance: Rc<Instance>) {
    let mut packet = vec![0; PACKET_LIMIT];
    let mut handler = PacketHandler {
        socket,
        format,
        datagram: Vec::with_capacity(PACKET_LIMIT),
        pauses: PauseDetector::new(instance.now()),
        instance,
    };
    loop {
        let due = handler.instance.forwarder.borrow_mut().next_due();
        let readable = tokio::select! {
            readable = handler.socket.readable() => Some(readable),
            () = wait_until(&handler.instance, due) => None,
            () = handler.instance.held_released.notified() => None,
        };
        if let Some(Err(error)) = readable {
            slog::warn!(handler.instance.reporter.log, "[forward] cannot receive";
                "error" => %error);
            tokio::task::yield_now().await;
        }
        handler.detect_pause();
        // A target counts as unresponsive only after all received packets have been handled:
        // its answer may be among them.
        if handler.receive(&mut packet) {
            handler.send_due();
            handler.pauses.record_empty(handler.instance.now());
        }
        if handler.instance.forwarder.borrow().has_messages() {
            handler.instance.messages_queued.notify_one();
        }
        handler.instance.report();
    }
}

/// Waits until `due`, but not longer than until the next observation of a possible pause.
async fn wait_until(instance: &Instance, due: Option<Millis>) {
    let until_due = due.map(|due| due.since(instance.now()));
    let wait = until_due.map_or(OBSERVATION_INTERVAL, |t| t.min(OBSERVATION_INTERVAL));
    sleep(wait).await;
}

struct PacketHandler<F> {
    socket: UdpSocket,
    format: F,
    datagram: Vec<u8>,
    pauses: PauseDetector,
    instance: Rc<Instance>,
}

impl<F: PacketFormat> PacketHandler<F> {
    /// Handles up to [`BATCH`] packets. Returns whether the socket has no more.
    fn receive(&mut self, packet: &mut [u8]) -> bool {
        for _ in 0..BATCH {
            match self.socket.try_recv_from(packet) {
                Ok((length, _)) => self.handle(&packet[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(error) => {
                    // If a target's port is closed, the system reports this as an error of the
                    // next call on the socket.
                    slog::debug!(self.instance.reporter.log, "[forward] receive failed";
                        "error" => %error);
                }
            }
        }
        false
    }

    /// Tells the forwarder whether the packets received next may be old.
    fn detect_pause(&mut self) {
        let reporter = &self.instance.reporter;
        let now = self.instance.now();
        if let Some(length) = self.pauses.observe(now) {
            reporter.counters.pauses.increment();
            slog::warn!(reporter.log, "[node] was paused"; "ms" => millis(length));
        }
        let mut forwarder = self.instance.forwarder.borrow_mut();
        forwarder.set_paused_since(self.pauses.waiting_since());
        if self.pauses.has_backlog(now) {
            reporter.counters.backlogs.increment();
            forwarder.record_backlog(now);
        }
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
        self.execute(action, &segment.flow, packet);
    }

    fn send_due(&mut self) {
        let now = self.instance.now();
        let due = self.instance.forwarder.borrow_mut().take_due(now);
        for due in due {
            self.execute(due.action, &due.flow, &due.packet);
        }
    }

    fn execute(&mut self, action: Action, flow: &FlowKey, packet: &[u8]) {
        match action {
            Action::Forward(forward) => self.forward(&forward, packet),
            Action::Reset { sequence } => self.reset(flow, sequence),
            Action::Wait => self.instance.pull_requested.notify_one(),
            // The lookup's message is sent by the task that exchanges messages with peers.
            Action::LookUp | Action::Drop(_) => {}
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
            // Client and target retransmit lost packets.
            self.instance.reporter.counters.sends_failed.increment();
            slog::debug!(self.instance.reporter.log, "[forward] send failed";
                "address" => %address, "error" => %error);
        }
    }
}
