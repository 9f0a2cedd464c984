//! The flow table of an instance, with the requests in progress on each flow.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use tanager_core::{FastMap, Millis};

use crate::admission::LoadId;
use crate::load::FlowLoad;
use crate::{FlowKey, Segment, TargetNumber};

/// Maximum number of flows in the table. Packets of other flows are forwarded by cookie alone.
pub const FLOW_LIMIT: usize = 200_000;
/// Time for which a finished flow is retained, so that its last packets are still forwarded.
const FINISHED_LIFETIME: Duration = Duration::from_secs(2);
/// Time after which an answer is classified by the bytes acknowledged so far. Clients acknowledge
/// an answer within 50 ms, and a healthy target with a full queue answers in less than 200 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time within which most answers are acknowledged. Clients retransmit their data after 200 ms.
const EXPECTED_ANSWER_TIME: Duration = Duration::from_millis(200);

/// A request or an opening that counts as in flight to its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admitted {
    /// When it was admitted.
    pub since: Millis,
    /// Where it is counted.
    pub load: LoadId,
}

/// Packets of a request that were shed because its service is overloaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shed {
    /// When the first one was shed.
    pub first: Millis,
    /// When the last decision to shed them was made.
    pub last: Millis,
}

/// A request whose answer has not been acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// When it started.
    pub started: Millis,
    /// When its data was last sent to the target.
    pub last_sent: Millis,
    /// Whether it still counts as load of its target.
    pub counted: bool,
    /// When it stops counting as load without an acknowledgement.
    load_end: Millis,
    /// Whether the client has retransmitted it.
    pub retransmitted: bool,
}

/// A request whose answer has not been classified yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingAnswer {
    /// When it started.
    pub started: Millis,
    /// End of the target's data that the client had acknowledged at that time.
    pub base: u32,
    /// When the client first acknowledged a part of the answer.
    pub answered: Option<Millis>,
}

/// How far a flow has been bound to its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Binding {
    /// The client has not acknowledged a target's answer to the opening.
    Opening,
    /// The flow is open at the target that the client's packets name, but this may be another one that
    /// answered the opening later.
    Assumed,
    /// The target has sent data of the flow, according to this instance or a peer.
    Confirmed,
}

/// Half-open connections of a flow at other targets than its own. They repeat their answers to the
/// opening, with a cookie that the client then takes over.
#[derive(Debug, Clone)]
pub struct HalfOpen {
    /// An opening packet of the flow, as the client sent it.
    pub packet: Vec<u8>,
    /// The targets that it was sent to, perhaps with the flow's own.
    pub tried: Vec<TargetNumber>,
}

/// A flow's entry in the table.
#[derive(Debug, Clone)]
pub struct Flow {
    /// Its target; while the flow is being opened, the one tried last.
    pub target: TargetNumber,
    /// How far it has been bound to its target.
    pub binding: Binding,
    /// Whether another instance may have sent openings of the flow to further targets.
    pub opened_elsewhere: bool,
    /// Connections that the opening left at other targets, if this instance knows of any.
    pub half_open: Option<Box<HalfOpen>>,
    /// Sequence number of the opening packet; 0 if this instance did not receive it.
    pub first_sequence: u32,
    /// End of the data that the client has sent.
    pub sent: u32,
    /// End of the target's data that the client has acknowledged.
    pub acknowledged: u32,
    /// The request in progress.
    pub request: Option<Request>,
    /// The request whose answer is to be classified.
    pub pending_answer: Option<PendingAnswer>,
    /// The request in flight, or the opening, if it still counts as in flight.
    pub admitted: Option<Admitted>,
    /// When packets of the next request were shed, if they were.
    pub shed: Option<Shed>,
    /// When the last packet was received.
    pub last_seen: Millis,
    /// Whether the client has finished sending.
    pub finished: bool,
}

impl Flow {
    /// Creates the entry of a flow that is being opened.
    pub fn opening(target: TargetNumber, segment: &Segment, now: Millis) -> Self {
        Self {
            target,
            binding: Binding::Opening,
            opened_elsewhere: false,
            half_open: None,
            first_sequence: segment.sequence,
            sent: segment.sequence,
            acknowledged: 0,
            request: None,
            pending_answer: None,
            admitted: None,
            shed: None,
            last_seen: now,
            finished: false,
        }
    }

    /// Creates the entry of an open flow of which this instance did not receive the opening.
    pub fn adopted(target: TargetNumber, segment: &Segment, now: Millis) -> Self {
        Self {
            target,
            binding: Binding::Assumed,
            opened_elsewhere: true,
            half_open: None,
            first_sequence: 0,
            sent: segment.sequence,
            acknowledged: segment.acknowledged,
            request: None,
            pending_answer: None,
            admitted: None,
            shed: None,
            last_seen: now,
            finished: false,
        }
    }

    /// Returns whether the client has acknowledged a target's answer to the opening.
    pub fn is_open(&self) -> bool {
        self.binding != Binding::Opening
    }

    /// Returns whether its target is known for certain.
    pub fn is_confirmed(&self) -> bool {
        self.binding == Binding::Confirmed
    }

    /// Returns whether its request counts as load of its target.
    pub fn is_running(&self) -> bool {
        self.request.is_some_and(|r| r.counted)
    }

    /// Returns what it contributes to the load of its target.
    pub fn load(&self) -> FlowLoad {
        FlowLoad {
            unfinished: !self.finished,
            opening: !self.is_open(),
            waiting: self.is_running(),
        }
    }

    /// Returns the bytes of the pending answer that the client has acknowledged.
    pub fn answer_length(&self) -> Option<u32> {
        let pending = self.pending_answer?;
        Some(self.acknowledged.wrapping_sub(pending.base))
    }
}

/// Requests in the order of their start.
#[derive(Debug, Default)]
struct StartQueue(VecDeque<(Millis, FlowKey)>);

impl StartQueue {
    fn push(&mut self, key: FlowKey, now: Millis) {
        self.0.push_back((now, key));
    }

    /// Removes and returns the next request that started at least `limit` ago, if there is one.
    fn take(&mut self, limit: Duration, now: Millis) -> Option<(Millis, FlowKey)> {
        self.0
            .pop_front_if(|(started, _)| now.since(*started) >= limit)
    }
}

/// The flows of one instance.
#[derive(Debug, Default)]
pub struct Flows {
    /// Invariant: at most [`FLOW_LIMIT`] flows.
    records: FastMap<FlowKey, Flow>,
    /// Requests that may still count as load, by the time at which they stop counting.
    running: BinaryHeap<Reverse<(Millis, FlowKey)>>,
    /// Admitted requests and openings that may still count as in flight.
    admitted: StartQueue,
    /// Requests whose answers may still have to be classified.
    pending_answers: StartQueue,
}

impl Flows {
    pub fn get_mut(&mut self, key: &FlowKey) -> Option<&mut Flow> {
        self.records.get_mut(key)
    }

    pub fn get(&self, key: &FlowKey) -> Option<&Flow> {
        self.records.get(key)
    }

    /// Returns whether no further flow can be added.
    pub fn is_full(&self) -> bool {
        self.records.len() >= FLOW_LIMIT
    }

    /// Adds a flow unless the table is full. Returns whether it was added.
    pub fn insert(&mut self, key: FlowKey, flow: Flow) -> bool {
        let added = !self.is_full() || self.records.contains_key(&key);
        if added {
            self.records.insert(key, flow);
        }
        added
    }

    pub fn remove(&mut self, key: &FlowKey) -> Option<Flow> {
        self.records.remove(key)
    }

    /// Removes and returns flows that have finished or have been idle for longer than `idle`.
    pub fn expire(&mut self, idle: Duration, now: Millis) -> Vec<(FlowKey, Flow)> {
        let ended = |_: &FlowKey, flow: &mut Flow| {
            let age = now.since(flow.last_seen);
            age > idle || (flow.finished && age > FINISHED_LIFETIME)
        };
        self.records.extract_if(ended).collect()
    }

    /// Records the start of a request, which counts as load for `load_time` at most.
    pub fn start_request(&mut self, key: FlowKey, load_time: Duration, now: Millis) {
        if let Some(flow) = self.records.get_mut(&key) {
            let load_end = now + load_time;
            flow.request = Some(Request {
                started: now,
                last_sent: now,
                counted: true,
                load_end,
                retransmitted: false,
            });
            self.running.push(Reverse((load_end, key)));
        }
    }

    /// Records where an admitted request or opening of a flow is counted.
    pub fn admit(&mut self, key: &FlowKey, load: LoadId, now: Millis) {
        if let Some(flow) = self.records.get_mut(key) {
            flow.admitted = Some(Admitted { since: now, load });
            self.admitted.push(*key, now);
        }
    }

    /// Stops counting the request of a flow. Returns where it was counted, if it was.
    pub fn end_admission(&mut self, key: &FlowKey) -> Option<LoadId> {
        let flow = self.records.get_mut(key)?;
        flow.admitted.take().map(|a| a.load)
    }

    /// Stops counting the next admitted request that has been in flight for too long, and returns
    /// where it was counted.
    pub fn take_overdue_admission(&mut self, now: Millis) -> Option<LoadId> {
        while let Some((at, key)) = self.admitted.take(ANSWER_TIMEOUT, now) {
            let flow = self.records.get_mut(&key);
            let overdue = flow.and_then(|f| f.admitted.take_if(|a| a.since == at));
            if let Some(admitted) = overdue {
                return Some(admitted.load);
            }
        }
        None
    }

    /// Stops counting the next request whose load has timed out, and returns its target.
    pub fn take_overdue_request(&mut self, now: Millis) -> Option<TargetNumber> {
        while let Some((due, key)) = self.pop_overdue_load(now) {
            let Some(flow) = self.records.get_mut(&key) else {
                continue;
            };
            if let Some(request) = &mut flow.request
                && request.load_end == due
                && request.counted
            {
                request.counted = false;
                return Some(flow.target);
            }
        }
        None
    }

    fn pop_overdue_load(&mut self, now: Millis) -> Option<(Millis, FlowKey)> {
        let Reverse((due, _)) = self.running.peek()?;
        if *due > now {
            return None;
        }
        self.running.pop().map(|Reverse(entry)| entry)
    }

    /// Schedules the classification of the answer to a flow's request.
    pub fn expect_answer(&mut self, key: FlowKey, now: Millis) {
        if let Some(flow) = self.records.get_mut(&key) {
            flow.pending_answer = Some(PendingAnswer {
                started: now,
                base: flow.acknowledged,
                answered: None,
            });
            self.pending_answers.push(key, now);
        }
    }

    /// Returns the next flow whose answer is due for classification, if there is one.
    pub fn take_overdue_answer(&mut self, now: Millis) -> Option<FlowKey> {
        while let Some((started, key)) = self.pending_answers.take(ANSWER_TIMEOUT, now) {
            let pending = self.records.get(&key).and_then(|f| f.pending_answer);
            if pending.is_some_and(|p| p.started == started) {
                return Some(key);
            }
        }
        None
    }

    /// Returns the flows, with their targets, whose requests to one of these targets have been
    /// unanswered for [`EXPECTED_ANSWER_TIME`] or longer.
    pub fn waiting_at(
        &self,
        targets: &[TargetNumber],
        now: Millis,
    ) -> Vec<(FlowKey, TargetNumber)> {
        let waits = |f: &Flow| {
            f.request
                .is_some_and(|r| now.since(r.started) >= EXPECTED_ANSWER_TIME)
        };
        let flows = self.records.iter();
        flows
            .filter(|(_, f)| waits(f) && targets.contains(&f.target))
            .map(|(key, f)| (*key, f.target))
            .collect()
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }
}
