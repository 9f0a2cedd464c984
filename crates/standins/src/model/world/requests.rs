//! Callers' side of a request: arrival, retransmission, retry and completion.

use std::time::Duration;

use rand::RngExt as _;
use tanager_core::Clock;
use tanager_forward::Kind;

use super::{Event, Reply, WARMUP, World, random_time};
use crate::model::callers::{
    Connection, ConnectionId, DEADLINE, MAX_RETRIES, OPENING_TIMEOUT, RETRANSMISSION_TIMEOUT,
    Request, RequestId,
};

/// Share of requests that are idempotent and use flows that callers keep open.
const FEED_SHARE: f64 = 0.75;
/// Idle flows that callers keep open per request per second.
const FLOWS_PER_RATE: f64 = 1.0;
/// Length of an answer in bytes.
const ANSWER_LENGTH: u32 = 2_000;
/// Length of an answer by which a target refuses a request, in bytes.
const REFUSAL_LENGTH: u32 = 150;

impl World {
    /// Returns the current number of requests per second.
    fn rate(&self) -> f64 {
        let since = self.arrival;
        let factor = match self.settings.burst {
            Some((from, time, factor)) if since >= from && since < from + time => factor,
            _ => 1.0,
        };
        self.settings.rate * factor
    }

    pub(super) fn handle_arrival(&mut self) {
        let mean = Duration::from_secs_f64(1.0 / self.rate());
        self.arrival += random_time(&mut self.arrivals, mean);
        if self.arrival < self.settings.length {
            self.schedule_at(Clock::START + WARMUP + self.arrival, Event::RequestArrival);
        }
        let feed = self.arrivals.random_bool(FEED_SHARE);
        let kind = if feed {
            Kind::Idempotent
        } else {
            Kind::NonIdempotent
        };
        self.report.asked += 1;
        self.requests.push(Request {
            kind,
            started: self.now,
            attempts: 0,
            finished: false,
        });
        let request = self.requests.len() - 1;
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let has_spare_flows = self.idle.len() as f64 >= self.settings.rate * FLOWS_PER_RATE;
        if kind == Kind::Idempotent && has_spare_flows {
            let position = self.rng.random_range(0..self.idle.len());
            let id = self.idle.swap_remove(position);
            self.schedule(DEADLINE, Event::Deadline(request, id));
            self.send_request(id, request);
        } else {
            self.open_flow(request);
        }
    }

    /// Opens a new flow for a request.
    fn open_flow(&mut self, request: RequestId) {
        let id = self.connections.len();
        let connection = Connection::new(id, self.requests[request].kind, request);
        let opening = connection.opening(0);
        self.connections.push(connection);
        let remaining = DEADLINE.saturating_sub(self.now.since(self.requests[request].started));
        self.schedule(remaining, Event::Deadline(request, id));
        self.schedule(
            RETRANSMISSION_TIMEOUT,
            Event::RetransmissionTimeout(id, None, 1),
        );
        self.send_packet(id, opening);
    }

    /// Sends a request on an open flow.
    fn send_request(&mut self, id: ConnectionId, request: RequestId) {
        self.connections[id].request = Some(request);
        let segment = self.connections[id].send();
        self.schedule(
            RETRANSMISSION_TIMEOUT,
            Event::RetransmissionTimeout(id, Some(request), 1),
        );
        self.send_packet(id, segment);
    }

    pub(super) fn retransmit(&mut self, id: ConnectionId, request: Option<RequestId>, count: u32) {
        let connection = &self.connections[id];
        if connection.closed {
            return;
        }
        let elapsed = RETRANSMISSION_TIMEOUT * ((1 << count) - 1);
        let packet = match request {
            None if connection.open => return,
            None if elapsed >= OPENING_TIMEOUT => return self.retry(id),
            None => connection.opening(count),
            Some(_) if connection.confirmed || connection.request != request => return,
            Some(_) => connection.resend(),
        };
        self.send_packet(id, packet);
        let delay = RETRANSMISSION_TIMEOUT * (1 << count);
        self.schedule(delay, Event::RetransmissionTimeout(id, request, count + 1));
    }

    /// Closes a flow and retries its request on a new one if that is allowed.
    fn retry(&mut self, id: ConnectionId) {
        let connection = &mut self.connections[id];
        connection.closed = true;
        let Some(request) = connection.request.take() else {
            self.idle.retain(|c| *c != id);
            return;
        };
        let opened = connection.open;
        let entry = &mut self.requests[request];
        if entry.finished {
            return;
        }
        let may_retry = !opened || entry.kind == Kind::Idempotent;
        if may_retry && entry.attempts < MAX_RETRIES {
            entry.attempts += 1;
            self.open_flow(request);
        } else {
            entry.finished = true;
            self.report.record_failure(entry.kind);
        }
    }

    pub(super) fn expire_request(&mut self, request: RequestId, id: ConnectionId) {
        if self.connections[id].request != Some(request) || self.requests[request].finished {
            return;
        }
        let entry = &mut self.requests[request];
        entry.finished = true;
        self.report.record_failure(entry.kind);
        let abort = self.connections[id].abort();
        self.send_packet(id, abort);
    }

    /// Processes a reply that arrives at a caller.
    pub(super) fn handle_reply(&mut self, id: ConnectionId, reply: Reply) {
        let connection = &mut self.connections[id];
        if connection.closed {
            return;
        }
        match reply {
            Reply::Opened(cookie) if !connection.open => {
                connection.accept(cookie);
                if let Some(request) = connection.request {
                    self.send_request(id, request);
                }
            }
            Reply::Confirmed(request) if connection.request == Some(request) => {
                connection.confirmed = true;
            }
            Reply::Answered(request) if connection.request == Some(request) => {
                self.handle_answer(id, request);
            }
            Reply::Refused(request) if connection.request == Some(request) => {
                self.handle_refusal(id);
            }
            Reply::Reset => self.retry(id),
            _ => {}
        }
    }

    fn handle_answer(&mut self, id: ConnectionId, request: RequestId) {
        let entry = &mut self.requests[request];
        entry.finished = true;
        let latency = self.now.since(entry.started);
        self.report.record_answer(latency, self.settings.objective);
        let last = entry.kind != Kind::Idempotent;
        let connection = &mut self.connections[id];
        connection.request = None;
        let acknowledgement = connection.receive(ANSWER_LENGTH, last);
        if !last {
            self.idle.push(id);
        }
        self.send_packet(id, acknowledgement);
    }

    fn handle_refusal(&mut self, id: ConnectionId) {
        self.report.refused += 1;
        let connection = &mut self.connections[id];
        // A refused request has not run, so it may be retried even if it is not idempotent.
        connection.open = false;
        let finish = connection.receive(REFUSAL_LENGTH, true);
        self.send_packet(id, finish);
        self.retry(id);
    }
}
