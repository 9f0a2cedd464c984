//! How instances and targets process packets, and the beacons between instances.

use std::time::Duration;

use rand::seq::IteratorRandom as _;
use tanager_core::{Clock, Millis};
use tanager_forward::{Action, BEACON_INTERVAL, Segment, SegmentKind, TargetNumber};

use super::{EVACUATION_TIME, Event, Reply, WARMUP, World, delay};
use crate::model::callers::{Connection, ConnectionId};
use crate::model::targets::{SubmitResult, Work};
use crate::model::{instances, packet};

/// Rounds times to the nearest millisecond rather than down, which would raise the capacity.
const ROUNDING: Duration = Duration::from_micros(500);
/// Time in which an instance handles the packets that arrive together before it takes due actions.
const BATCH_TIME: Duration = Duration::from_millis(2);

impl World {
    /// Returns the instance of the caller's zone to which a flow's packets are routed.
    fn instance_of(&self, id: ConnectionId) -> usize {
        let connection = &self.connections[id];
        let (zone, zones) = (
            usize::from(connection.zone),
            usize::from(self.settings.zones),
        );
        let count = (self.instances.len() - zone).div_ceil(zones);
        zone + zones * (connection.key.distribution_hash() as usize % count)
    }

    /// Handles a packet. Due actions are taken after the packets that arrive together with it.
    pub(super) fn handle_packet(&mut self, id: ConnectionId, segment: Segment) {
        let index = self.instance_of(id);
        let action = self.instances[index].handle_packet(&segment, self.now);
        self.apply_action(id, action, Some(segment));
        self.schedule_due(index, self.now + BATCH_TIME);
    }

    fn schedule_due(&mut self, index: usize, at: Millis) {
        let due = &mut self.instances[index].due;
        if due.is_none_or(|due| at < due) {
            *due = Some(at);
            self.schedule_at(at, Event::Due(index));
        }
    }

    fn apply_action(&mut self, id: ConnectionId, action: Action, segment: Option<Segment>) {
        let connection = &self.connections[id];
        let zone = connection.zone;
        match action {
            Action::Forward(forward) => {
                let target = target_index(forward.target);
                let segment = segment.expect("a packet to forward has bytes");
                let to = self.targets[target].zone;
                self.send(zone, to, Event::PacketAtTarget(target, id, segment));
            }
            Action::Reset { .. } => {
                let index = usize::try_from(connection.cookie.get()).unwrap_or(0);
                let is_reachable = index > 0 && !self.targets[index - 1].unreachable;
                self.report.wrong_resets += u64::from(is_reachable);
                self.send(zone, zone, Event::ReplyAtCaller(id, Reply::Reset));
            }
            Action::Wait | Action::LookUp | Action::Hold | Action::Drop(_) => {}
        }
    }

    /// Takes the due actions of an instance, unless they were taken earlier.
    pub(super) fn take_due(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.due != Some(self.now) {
            return;
        }
        instance.due = None;
        for due in instance.take_due(self.now) {
            let segment = packet::decode(due.flow, &due.packet);
            self.apply_action(Connection::id_of(&due.flow), due.action, segment);
        }
        if let Some(next) = self.instances[index].next_due() {
            // What is due now has just been taken.
            let earliest = Millis::new(self.now.get() + 1);
            self.schedule_due(index, next.max(earliest));
        }
    }

    pub(super) fn send_beacons(&mut self, index: usize) {
        let from = self.instances[index].zone;
        for (to, beacon) in self.instances[index].beacon_round(self.now) {
            let to = instances::index(to);
            let zone = self.instances[to].zone;
            self.send(from, zone, Event::BeaconReceived(to, beacon));
        }
        self.schedule(BEACON_INTERVAL, Event::BeaconRound(index));
    }

    /// Returns a random share of the targets.
    fn sample_targets(&mut self, share: f64) -> Vec<usize> {
        let count = self.targets.len();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a share of a small count"
        )]
        let sampled = (count as f64 * share).round() as usize;
        (0..count).sample(&mut self.rng, sampled)
    }

    pub(super) fn fail_targets(&mut self) {
        let share = self.settings.vanish.map_or(0.0, |(_, share)| share);
        for target in self.sample_targets(share) {
            self.targets[target].unreachable = true;
        }
    }

    pub(super) fn slow_targets(&mut self) {
        let Some(slowdown) = self.settings.slowdown.clone() else {
            return;
        };
        for target in self.sample_targets(slowdown.share) {
            self.targets[target].slowdown = slowdown.factor;
        }
    }

    pub(super) fn evacuate(&mut self, active: bool) {
        if let Some(evacuation) = &self.settings.evacuation {
            for instance in &mut self.instances {
                instance.evacuate(evacuation.zone, active, self.now);
            }
        }
    }

    /// Returns whether no opening may reach a zone any more.
    fn is_evacuated(&self, zone: u8) -> bool {
        self.settings.evacuation.as_ref().is_some_and(|e| {
            let start = Clock::START + WARMUP + e.start;
            let since = self.now.since(start);
            zone == e.zone && since >= EVACUATION_TIME && since < e.length
        })
    }

    /// Processes a packet that arrives at a target.
    pub(super) fn deliver(&mut self, target: usize, id: ConnectionId, segment: &Segment) {
        if self.targets[target].unreachable {
            return;
        }
        let zone = self.targets[target].zone;
        if let SegmentKind::Open { .. } = segment.kind {
            self.report.evacuated_openings += u64::from(self.is_evacuated(zone));
            let cookie = instances::number(target).cookie();
            return self.reply(zone, id, Reply::Opened(cookie));
        }
        let Some(request) = self.connections[id].request_of(segment) else {
            return;
        };
        self.reply(zone, id, Reply::Confirmed(request));
        let work = Work {
            connection: id,
            request,
        };
        match self.targets[target].submit(work) {
            SubmitResult::Started => self.start_execution(target, work),
            SubmitResult::Queued => {}
            SubmitResult::Refused => self.reply(zone, id, Reply::Refused(request)),
        }
    }

    /// Sends a reply from a target in a zone.
    fn reply(&mut self, zone: u8, id: ConnectionId, reply: Reply) {
        let to = self.connections[id].zone;
        self.send(zone, to, Event::ReplyAtCaller(id, reply));
    }

    fn start_execution(&mut self, target: usize, work: Work) {
        let time = self.targets[target].time(self.requests[work.request].work);
        self.report.record_busy(self.second(), target, time);
        self.schedule(time + ROUNDING, Event::ExecutionEnd(target, work));
    }

    pub(super) fn finish_execution(&mut self, target: usize, work: Work) {
        if self.targets[target].unreachable {
            return;
        }
        // Answers are never lost: targets retransmit them until they are acknowledged.
        let answer = Event::ReplyAtCaller(work.connection, Reply::Answered(work.request));
        let to = self.connections[work.connection].zone;
        self.schedule(delay(self.targets[target].zone, to), answer);
        if let Some(next) = self.targets[target].finish(work) {
            self.start_execution(target, next);
        }
    }
}

fn target_index(number: TargetNumber) -> usize {
    usize::try_from(number.get() - 1).expect("a small number")
}
