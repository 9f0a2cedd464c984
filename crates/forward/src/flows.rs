//! The flows that an instance remembers, with the requests under way on them.

use std::collections::VecDeque;
use std::time::Duration;

use tanager_core::{FastMap, Millis};

use crate::{FlowKey, Segment, TargetNumber};

/// Flows that an instance remembers at most. The rest is forwarded by cookie alone.
pub const FLOW_LIMIT: usize = 200_000;
/// A finished flow is remembered for its last packets.
const FINISHED_LIFETIME: Duration = Duration::from_secs(2);
/// Time for which a request counts as load. Clients do not acknowledge an answer of a single
/// packet until they go on, so a request that is open for longer has most likely been answered.
const RUN_LIMIT: Duration = Duration::from_millis(150);
/// Time after which an answer is judged by what has come of it. Clients acknowledge an answer
/// within 50 ms, and a sound target with a full queue answers in less than 200 ms.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);

/// Time in which most answers are acknowledged. Clients repeat their data after 200 ms.
const USUAL_ANSWER_LIMIT: Duration = Duration::from_millis(200);

/// A request whose answer has not been acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// When it began.
    pub begun: Millis,
    /// Whether it still counts as load of its target.
    pub counted: bool,
    /// Whether the client has repeated it.
    pub repeated: bool,
}

/// A request whose answer is still to be judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Watched {
    /// When it began.
    pub begun: Millis,
    /// End of the target's data that the client had acknowledged then.
    pub base: u32,
}

/// What an instance remembers of a flow.
#[derive(Debug, Clone)]
pub struct Flow {
    /// Its target, or the last one that was tried while it opens.
    pub target: TargetNumber,
    /// Whether the client has acknowledged the target's answer to the opening.
    pub open: bool,
    /// Sequence number of the opening packet; 0 if it was not seen here.
    pub first_sequence: u32,
    /// End of the data that the client has sent.
    pub sent: u32,
    /// End of the target's data that the client has acknowledged.
    pub acknowledged: u32,
    /// The request under way.
    pub request: Option<Request>,
    /// The request whose answer is to be judged, if one is.
    pub watched: Option<Watched>,
    /// When the last packet came.
    pub seen: Millis,
    /// Whether the client has sent all that it will send.
    pub finished: bool,
}

impl Flow {
    /// Creates the record of a flow that is being opened.
    pub fn opening(target: TargetNumber, segment: &Segment, now: Millis) -> Self {
        Self {
            target,
            open: false,
            first_sequence: segment.sequence,
            sent: segment.sequence,
            acknowledged: 0,
            request: None,
            watched: None,
            seen: now,
            finished: false,
        }
    }

    /// Creates the record of an open flow that is first seen in the middle.
    pub fn adopted(target: TargetNumber, segment: &Segment, now: Millis) -> Self {
        Self {
            target,
            open: true,
            first_sequence: 0,
            sent: segment.sequence,
            acknowledged: segment.acknowledged,
            request: None,
            watched: None,
            seen: now,
            finished: false,
        }
    }

    /// Returns whether a request of it counts as load of its target.
    pub fn is_running(&self) -> bool {
        self.request.is_some_and(|r| r.counted)
    }

    /// Returns the bytes of the watched answer that the client has acknowledged.
    pub fn answer_length(&self) -> Option<u32> {
        let watched = self.watched?;
        Some(self.acknowledged.wrapping_sub(watched.base))
    }
}

/// Requests in the order in which they began.
#[derive(Debug, Default)]
struct Begun(VecDeque<(Millis, FlowKey)>);

impl Begun {
    fn push(&mut self, key: FlowKey, now: Millis) {
        self.0.push_back((now, key));
    }

    /// Returns the next request that began `limit` ago or earlier, if there is one.
    fn take(&mut self, limit: Duration, now: Millis) -> Option<(Millis, FlowKey)> {
        self.0.pop_front_if(|(begun, _)| now.since(*begun) >= limit)
    }
}

/// The flows of one instance.
#[derive(Debug, Default)]
pub struct Flows {
    /// Invariant: at most [`FLOW_LIMIT`] flows.
    records: FastMap<FlowKey, Flow>,
    /// Requests that may still count as load.
    running: Begun,
    /// Requests whose answers may still have to be judged.
    watched: Begun,
}

impl Flows {
    /// Returns a flow.
    pub fn get_mut(&mut self, key: &FlowKey) -> Option<&mut Flow> {
        self.records.get_mut(key)
    }

    /// Returns a flow.
    pub fn get(&self, key: &FlowKey) -> Option<&Flow> {
        self.records.get(key)
    }

    /// Remembers a flow. Returns whether there was room.
    pub fn insert(&mut self, key: FlowKey, flow: Flow) -> bool {
        let room = self.records.len() < FLOW_LIMIT || self.records.contains_key(&key);
        if room {
            self.records.insert(key, flow);
        }
        room
    }

    /// Forgets a flow.
    pub fn remove(&mut self, key: &FlowKey) -> Option<Flow> {
        self.records.remove(key)
    }

    /// Forgets flows that are over or have been idle for `idle`, and returns them.
    pub fn expire(&mut self, idle: Duration, now: Millis) -> Vec<(FlowKey, Flow)> {
        let over = |_: &FlowKey, flow: &mut Flow| {
            let age = now.since(flow.seen);
            age > idle || (flow.finished && age > FINISHED_LIFETIME)
        };
        self.records.extract_if(over).collect()
    }

    /// Notes that a request of a flow began.
    pub fn begin(&mut self, key: FlowKey, now: Millis) {
        if let Some(flow) = self.records.get_mut(&key) {
            flow.request = Some(Request {
                begun: now,
                counted: true,
                repeated: false,
            });
            self.running.push(key, now);
        }
    }

    /// Returns the target of the next request that no longer counts as load, if there is one.
    pub fn take_overdue(&mut self, now: Millis) -> Option<TargetNumber> {
        while let Some((begun, key)) = self.running.take(RUN_LIMIT, now) {
            let Some(flow) = self.records.get_mut(&key) else {
                continue;
            };
            if let Some(request) = &mut flow.request
                && request.begun == begun
                && request.counted
            {
                request.counted = false;
                return Some(flow.target);
            }
        }
        None
    }

    /// Notes that the answer to a flow's request is to be judged.
    pub fn watch(&mut self, key: FlowKey, now: Millis) {
        if let Some(flow) = self.records.get_mut(&key) {
            flow.watched = Some(Watched {
                begun: now,
                base: flow.acknowledged,
            });
            self.watched.push(key, now);
        }
    }

    /// Returns the next flow whose answer is to be judged now, if there is one.
    pub fn take_unjudged(&mut self, now: Millis) -> Option<FlowKey> {
        while let Some((begun, key)) = self.watched.take(ANSWER_LIMIT, now) {
            let watched = self.records.get(&key).and_then(|f| f.watched);
            if watched.is_some_and(|w| w.begun == begun) {
                return Some(key);
            }
        }
        None
    }

    /// Returns the flows, with their targets, whose requests to one of these targets should have
    /// been answered.
    pub fn waiting_at(
        &self,
        targets: &[TargetNumber],
        now: Millis,
    ) -> Vec<(FlowKey, TargetNumber)> {
        let waits = |f: &Flow| {
            f.request
                .is_some_and(|r| now.since(r.begun) >= USUAL_ANSWER_LIMIT)
        };
        let flows = self.records.iter();
        flows
            .filter(|(_, f)| waits(f) && targets.contains(&f.target))
            .map(|(key, f)| (*key, f.target))
            .collect()
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.records.len()
    }
}
