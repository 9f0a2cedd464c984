//! Opening packets that no target has answered yet. A silent target is replaced after a short
//! time, well before the client repeats its packet.

use std::collections::VecDeque;
use std::time::Duration;

use tanager_core::{FastMap, Millis};

use crate::{FlowKey, TargetNumber};

/// Least time that a target has to answer an opening packet before another one is tried. Several
/// round trips between near zones.
const ANSWER_TIME: Duration = Duration::from_millis(70);
/// The most time, just below the 200 ms after which clients repeat an opening packet themselves.
const ANSWER_TIME_LIMIT: Duration = Duration::from_millis(190);
/// Weight of one opening in the mean of their times, as for round trips in RFC 6298.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of one opening in the mean deviation of their times, as in RFC 6298.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Mean deviations beyond the mean after which an opening counts as unanswered.
const DEVIATIONS: f64 = 4.0;
/// Targets that are tried for one flow at most, without the client's own copies.
pub const TRIES: usize = 3;
/// Openings that are kept at most; later ones rely on the client's copies.
const OPENING_LIMIT: usize = 20_000;

/// An opening packet with the targets that got it.
#[derive(Debug, Clone)]
pub struct Opening {
    /// The packet as the client sent it.
    pub packet: Vec<u8>,
    /// The targets that got it, the last one last. Invariant: not empty.
    pub tried: Vec<TargetNumber>,
    /// When the first one got it.
    begun: Millis,
    /// When the last one has had its time.
    pub due: Millis,
    /// Whether the client has repeated the packet.
    repeated: bool,
}

/// How long openings take, from the client's first packet to the next one.
#[derive(Debug, Clone, Copy)]
struct Pace {
    mean: f64,
    deviation: f64,
}

impl Pace {
    fn learn(known: Option<Self>, time: Duration) -> Self {
        let time = time.as_secs_f64();
        let Some(Self { mean, deviation }) = known else {
            return Self {
                mean: time,
                deviation: time / 2.0,
            };
        };
        Self {
            mean: mean + MEAN_WEIGHT * (time - mean),
            deviation: deviation + DEVIATION_WEIGHT * ((time - mean).abs() - deviation),
        }
    }

    fn limit(self) -> Duration {
        let limit = Duration::from_secs_f64(self.mean + DEVIATIONS * self.deviation);
        limit.clamp(ANSWER_TIME, ANSWER_TIME_LIMIT)
    }
}

/// The openings of one instance.
#[derive(Debug, Default)]
pub struct Openings {
    /// Invariant: at most [`OPENING_LIMIT`] openings.
    pending: FastMap<FlowKey, Opening>,
    /// When to look at a flow again, in order of time.
    queue: VecDeque<(Millis, FlowKey)>,
    pace: Option<Pace>,
}

impl Openings {
    /// Returns the time that a target has to answer an opening.
    fn answer_time(&self) -> Duration {
        self.pace.map_or(ANSWER_TIME, Pace::limit)
    }

    /// Keeps an opening packet that was sent to a target.
    pub fn start(&mut self, flow: FlowKey, packet: &[u8], target: TargetNumber, now: Millis) {
        if self.pending.len() >= OPENING_LIMIT {
            return;
        }
        let due = now + self.answer_time();
        let opening = Opening {
            packet: packet.to_vec(),
            tried: vec![target],
            begun: now,
            due,
            repeated: false,
        };
        self.pending.insert(flow, opening);
        self.queue.push_back((due, flow));
    }

    /// Notes that another target got the packet.
    pub fn retry(&mut self, flow: FlowKey, target: TargetNumber, now: Millis) {
        let due = now + self.answer_time();
        if let Some(opening) = self.pending.get_mut(&flow) {
            opening.tried.push(target);
            opening.due = due;
            self.queue.push_back((due, flow));
        }
    }

    /// Notes that the client has repeated the packet.
    pub fn repeat(&mut self, flow: &FlowKey) {
        if let Some(opening) = self.pending.get_mut(flow) {
            opening.repeated = true;
        }
    }

    /// Forgets an opening that a target has answered, and learns how long that took. Nothing is
    /// learned where the time may be that of another copy.
    pub fn answer(&mut self, flow: &FlowKey, target: TargetNumber, now: Millis) {
        let Some(opening) = self.pending.remove(flow) else {
            return;
        };
        if opening.tried.first() == Some(&target) && !opening.repeated {
            self.pace = Some(Pace::learn(self.pace, now.since(opening.begun)));
        }
    }

    /// Returns an opening.
    pub fn get(&self, flow: &FlowKey) -> Option<&Opening> {
        self.pending.get(flow)
    }

    /// Forgets an opening that was given up.
    pub fn finish(&mut self, flow: &FlowKey) {
        self.pending.remove(flow);
    }

    /// Returns when the next opening is due, leaving out those that were answered.
    pub fn next_due(&mut self) -> Option<Millis> {
        while let Some((due, flow)) = self.queue.front() {
            if self.pending.contains_key(flow) {
                return Some(*due);
            }
            self.queue.pop_front();
        }
        None
    }

    /// Returns the next flow whose target had its time.
    pub fn take_due(&mut self, now: Millis) -> Option<FlowKey> {
        while self.next_due()? <= now {
            let (_, flow) = self.queue.pop_front()?;
            let opening = self.pending.get(&flow)?;
            // A client's copy may have reached another target in the meantime.
            if opening.due <= now {
                return Some(flow);
            }
        }
        None
    }
}
