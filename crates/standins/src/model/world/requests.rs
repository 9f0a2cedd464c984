//! What callers do: ask, repeat, try again, and take answers.

use std::time::Duration;

use rand::RngExt as _;
use tanager_core::Clock;
use tanager_forward::Kind;

use super::{Event, LEAD, Reply, World, random_time};
use crate::model::callers::{
    Call, CallId, Connection, ConnectionId, DEADLINE, OPENING_LIMIT, REPEAT, RETRIES,
};

/// Part of requests that may be repeated and come on flows that callers keep.
const FEED_PART: f64 = 0.75;
/// Flows that callers keep for each request a second.
const FLOWS_PER_RATE: f64 = 1.0;
/// Bytes of an answer.
const ANSWER: u32 = 2_000;
/// Bytes of an answer that says that the target is full.
const REFUSAL: u32 = 150;

impl World {
    /// Returns the present number of requests a second.
    fn rate(&self) -> f64 {
        let since = self.arrival;
        let factor = match self.settings.burst {
            Some((from, time, factor)) if since >= from && since < from + time => factor,
            _ => 1.0,
        };
        self.settings.rate * factor
    }

    pub(super) fn arrive(&mut self) {
        let mean = Duration::from_secs_f64(1.0 / self.rate());
        self.arrival += random_time(&mut self.arrivals, mean);
        if self.arrival < self.settings.length {
            self.plan_at(Clock::START + LEAD + self.arrival, Event::Arrive);
        }
        let feed = self.arrivals.random_bool(FEED_PART);
        let kind = if feed {
            Kind::Idempotent
        } else {
            Kind::NonIdempotent
        };
        self.report.asked += 1;
        self.calls.push(Call {
            kind,
            begun: self.now,
            tries: 0,
            over: false,
        });
        let call = self.calls.len() - 1;
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let kept = self.idle.len() as f64 >= self.settings.rate * FLOWS_PER_RATE;
        if kind == Kind::Idempotent && kept {
            let place = self.rng.random_range(0..self.idle.len());
            let id = self.idle.swap_remove(place);
            self.plan(DEADLINE, Event::Deadline(call, id));
            self.request(id, call);
        } else {
            self.open(call);
        }
    }

    /// Opens a flow for a request.
    fn open(&mut self, call: CallId) {
        let id = self.connections.len();
        let connection = Connection::new(id, self.calls[call].kind, call);
        let opening = connection.opening(0);
        self.connections.push(connection);
        let left = DEADLINE.saturating_sub(self.now.since(self.calls[call].begun));
        self.plan(left, Event::Deadline(call, id));
        self.plan(REPEAT, Event::Repeat(id, None, 1));
        self.send_packet(id, opening);
    }

    /// Sends a request on an open flow.
    fn request(&mut self, id: ConnectionId, call: CallId) {
        self.connections[id].call = Some(call);
        let segment = self.connections[id].send();
        self.plan(REPEAT, Event::Repeat(id, Some(call), 1));
        self.send_packet(id, segment);
    }

    pub(super) fn repeat(&mut self, id: ConnectionId, call: Option<CallId>, count: u32) {
        let connection = &self.connections[id];
        if connection.closed {
            return;
        }
        let begun = REPEAT * ((1 << count) - 1);
        let again = match call {
            None if connection.open => return,
            None if begun >= OPENING_LIMIT => return self.retry(id),
            None => connection.opening(count),
            Some(_) if connection.taken || connection.call != call => return,
            Some(_) => connection.resend(),
        };
        self.send_packet(id, again);
        let pause = REPEAT * (1 << count);
        self.plan(pause, Event::Repeat(id, call, count + 1));
    }

    /// Closes a flow and tries its request again, if that is allowed.
    fn retry(&mut self, id: ConnectionId) {
        let connection = &mut self.connections[id];
        connection.closed = true;
        let Some(call) = connection.call.take() else {
            self.idle.retain(|c| *c != id);
            return;
        };
        let opened = connection.open;
        let known = &mut self.calls[call];
        if known.over {
            return;
        }
        let again = !opened || known.kind == Kind::Idempotent;
        if again && known.tries < RETRIES {
            known.tries += 1;
            self.open(call);
        } else {
            known.over = true;
            self.report.failed(known.kind);
        }
    }

    pub(super) fn give_up(&mut self, call: CallId, id: ConnectionId) {
        if self.connections[id].call != Some(call) || self.calls[call].over {
            return;
        }
        let known = &mut self.calls[call];
        known.over = true;
        self.report.failed(known.kind);
        let abort = self.connections[id].abort();
        self.send_packet(id, abort);
    }

    /// A caller hears something of its flow.
    pub(super) fn reply(&mut self, id: ConnectionId, reply: Reply) {
        let connection = &mut self.connections[id];
        if connection.closed {
            return;
        }
        match reply {
            Reply::Opened(cookie) if !connection.open => {
                connection.accept(cookie);
                if let Some(call) = connection.call {
                    self.request(id, call);
                }
            }
            Reply::Taken(call) if connection.call == Some(call) => connection.taken = true,
            Reply::Answered(call) if connection.call == Some(call) => self.answered(id, call),
            Reply::Refused(call) if connection.call == Some(call) => self.refused(id),
            Reply::Reset => self.retry(id),
            _ => {}
        }
    }

    fn answered(&mut self, id: ConnectionId, call: CallId) {
        let known = &mut self.calls[call];
        known.over = true;
        self.report.answered(self.now.since(known.begun));
        let last = known.kind != Kind::Idempotent;
        let connection = &mut self.connections[id];
        connection.call = None;
        let acknowledgement = connection.receive(ANSWER, last);
        if !last {
            self.idle.push(id);
        }
        self.send_packet(id, acknowledgement);
    }

    fn refused(&mut self, id: ConnectionId) {
        self.report.refused += 1;
        let connection = &mut self.connections[id];
        // A request that was refused has not run, so it may be tried again in any case.
        connection.open = false;
        let finish = connection.receive(REFUSAL, true);
        self.send_packet(id, finish);
        self.retry(id);
    }
}
