//! What instances and targets do with packets, and what instances tell each other.

use std::time::Duration;

use rand::seq::IteratorRandom as _;
use tanager_forward::{Action, BEACON_INTERVAL, Segment, SegmentKind, TargetNumber};

use super::{Event, PATH, Reply, TICK, World, random_time};
use crate::model::callers::{Connection, ConnectionId};
use crate::model::instances;
use crate::model::targets::{Reception, Work};

/// Mean time that a request runs.
const WORK: Duration = Duration::from_millis(30);

impl World {
    /// Returns the instance to which a flow's packets are routed.
    fn instance_of(&self, id: ConnectionId) -> usize {
        self.connections[id].key.distribution_hash() as usize % self.instances.len()
    }

    pub(super) fn decide(&mut self, id: ConnectionId, segment: &Segment) {
        let index = self.instance_of(id);
        let forwarder = &mut self.instances[index].forwarder;
        let action = forwarder.handle_packet(segment, &[], self.now);
        self.act(id, action, *segment);
    }

    fn act(&mut self, id: ConnectionId, action: Action, segment: Segment) {
        match action {
            Action::Forward(forward) => {
                let target = target_index(forward.target);
                self.send(Event::Forwarded(target, id, segment));
            }
            Action::Reset { .. } => {
                let cookie = self.connections[id].cookie;
                let index = usize::try_from(cookie.get()).unwrap_or(0);
                let living = index > 0 && !self.targets[index - 1].vanished;
                self.report.wrong_resets += u64::from(living);
                self.send(Event::Reply(id, Reply::Reset));
            }
            Action::Wait | Action::Drop(_) => {}
        }
    }

    pub(super) fn tick(&mut self, index: usize) {
        let due = self.instances[index].forwarder.take_due(self.now);
        for due in due {
            let id = Connection::id_of(&due.flow);
            let opening = self.connections[id].opening(0);
            self.act(id, due.action, opening);
        }
        self.instances[index].forwarder.take_events(self.now);
        self.plan(TICK, Event::Tick(index));
    }

    pub(super) fn send_beacons(&mut self, index: usize) {
        for (to, beacon) in self.instances[index].round(self.now) {
            self.send(Event::Heard(instances::index(to), Box::new(beacon)));
        }
        self.plan(BEACON_INTERVAL, Event::Beacons(index));
    }

    pub(super) fn vanish(&mut self) {
        let part = self.settings.vanish.map_or(0.0, |(_, part)| part);
        let count = usize::from(self.settings.targets);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a part of a small count"
        )]
        let gone = (count as f64 * part).round() as usize;
        for target in (0..count).sample(&mut self.rng, gone) {
            self.targets[target].vanished = true;
        }
    }

    /// A packet reaches a target.
    pub(super) fn reach(&mut self, target: usize, id: ConnectionId, segment: &Segment) {
        if self.targets[target].vanished {
            return;
        }
        if let SegmentKind::Open { .. } = segment.kind {
            let cookie = instances::number(target).cookie();
            self.send(Event::Reply(id, Reply::Opened(cookie)));
            return;
        }
        let Some(call) = self.connections[id].call.filter(|_| segment.length > 0) else {
            return;
        };
        self.send(Event::Reply(id, Reply::Taken(call)));
        let work = Work {
            connection: id,
            call,
        };
        match self.targets[target].take(work) {
            Reception::Runs => self.run(target, work),
            Reception::Taken => {}
            Reception::Refused => self.send(Event::Reply(id, Reply::Refused(call))),
        }
    }

    fn run(&mut self, target: usize, work: Work) {
        let time = random_time(&mut self.rng, WORK);
        self.plan(time, Event::Done(target, work));
    }

    pub(super) fn done(&mut self, target: usize, work: Work) {
        if self.targets[target].vanished {
            return;
        }
        // Targets send an answer again until it is acknowledged.
        let answer = Reply::Answered(work.call);
        self.plan(PATH, Event::Reply(work.connection, answer));
        if let Some(next) = self.targets[target].finish(work) {
            self.run(target, next);
        }
    }
}

fn target_index(number: TargetNumber) -> usize {
    usize::try_from(number.get() - 1).expect("a small number")
}
