//! Callers' side of a request: arrival, retransmission, retry and completion.

use std::time::Duration;

use rand::RngExt as _;
use tanager_core::Clock;
use tanager_forward::Kind;

use super::{Event, Reply, WARMUP, World, random_time};
use crate::model::callers::{
    Connection, ConnectionId, MAX_RETRIES, OPENING_TIMEOUT, RETRANSMISSION_TIMEOUT, Request,
    RequestId,
};
use crate::model::{Cell, Outcomes, RouteSettings};

/// Idle flows that callers keep open per request per second.
const FLOWS_PER_RATE: f64 = 1.0;
/// Length of an answer in bytes.
const ANSWER_LENGTH: u32 = 2_000;
/// Length of an answer by which a target refuses a request, in bytes.
const REFUSAL_LENGTH: u32 = 150;
/// Time within which callers acknowledge an answer on a flow that they keep open.
const MAX_ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_millis(50);

impl World {
    fn route(&self, request: RequestId) -> &RouteSettings {
        &self.settings.routes[self.requests[request].cell.route]
    }

    fn outcomes(&mut self, request: RequestId) -> &mut Outcomes {
        let cell = self.requests[request].cell;
        self.report.outcomes_mut(cell)
    }

    /// Draws the route and zone of a request and the time to the next one.
    fn draw_arrival(&mut self) -> (usize, u8) {
        let rates = self.settings.rates(self.arrival);
        let total: f64 = rates.iter().map(|(.., rate)| rate).sum();
        let mean = Duration::from_secs_f64(1.0 / total);
        self.arrival += random_time(&mut self.arrivals, mean);
        let mut point = self.arrivals.random_range(0.0..total);
        let drawn = rates.iter().find(|(.., rate)| {
            point -= rate;
            point < 0.0
        });
        drawn.map_or((0, 0), |(route, zone, _)| (*route, *zone))
    }

    pub(super) fn handle_arrival(&mut self) {
        let (route, zone) = self.draw_arrival();
        if self.arrival < self.settings.length {
            self.schedule_at(Clock::START + WARMUP + self.arrival, Event::RequestArrival);
        }
        let work = self.settings.draw_work(route, &mut self.arrivals);
        let second = self.second();
        self.requests.push(Request {
            cell: Cell {
                second,
                route,
                zone,
            },
            work,
            started: self.now,
            attempts: 0,
            finished: false,
        });
        let request = self.requests.len() - 1;
        self.outcomes(request).asked += 1;
        match self.take_idle(route, zone) {
            Some(id) => {
                self.start_attempt(id, request);
                self.send_request(id, request);
            }
            None => self.open_flow(request),
        }
    }

    /// Takes an idle flow if the route keeps flows open and has enough of them.
    fn take_idle(&mut self, route: usize, zone: u8) -> Option<ConnectionId> {
        let settings = &self.settings;
        let share = settings.routes[route].share / f64::from(settings.zones);
        let idle = self.idle.get_mut(&(route, zone))?;
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let enough = idle.len() as f64 >= settings.rate * share * FLOWS_PER_RATE;
        enough.then(|| {
            let position = self.rng.random_range(0..idle.len());
            idle.swap_remove(position)
        })
    }

    /// Counts an attempt on a flow and schedules its end.
    fn start_attempt(&mut self, id: ConnectionId, request: RequestId) {
        self.outcomes(request).attempts += 1;
        let since = self.now.since(self.requests[request].started);
        let remaining = self.route(request).deadline.saturating_sub(since);
        self.schedule(remaining, Event::Deadline(request, id));
    }

    /// Opens a new flow for a request.
    fn open_flow(&mut self, request: RequestId) {
        let id = self.connections.len();
        let connection = Connection::new(id, self.requests[request].cell, request);
        let opening = connection.opening(0);
        self.connections.push(connection);
        self.start_attempt(id, request);
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
            let idle = self.idle.entry((connection.route, connection.zone));
            idle.or_default().retain(|c| *c != id);
            return;
        };
        let opened = connection.open;
        let repeatable = self.route(request).kind == Kind::Idempotent;
        let entry = &mut self.requests[request];
        if entry.finished {
            return;
        }
        if (!opened || repeatable) && entry.attempts < MAX_RETRIES {
            entry.attempts += 1;
            self.open_flow(request);
        } else {
            entry.finished = true;
            self.outcomes(request).failed += 1;
        }
    }

    pub(super) fn expire_request(&mut self, request: RequestId, id: ConnectionId) {
        if self.connections[id].request != Some(request) || self.requests[request].finished {
            return;
        }
        self.requests[request].finished = true;
        self.outcomes(request).failed += 1;
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
                self.outcomes(request).refused += 1;
                self.handle_refusal(id);
            }
            Reply::Reset => {
                if let Some(request) = connection.request {
                    self.outcomes(request).resets += 1;
                }
                self.retry(id);
            }
            _ => {}
        }
    }

    fn handle_answer(&mut self, id: ConnectionId, request: RequestId) {
        let latency = self.now.since(self.requests[request].started);
        let route = self.route(request);
        let (in_time, long) = (latency <= route.objective, route.long_flows);
        self.requests[request].finished = true;
        let (cell, second) = (self.requests[request].cell, self.second());
        self.report.record_answer(cell, latency, in_time, second);
        let connection = &mut self.connections[id];
        connection.request = None;
        connection.receive(ANSWER_LENGTH);
        if long {
            self.idle
                .entry((cell.route, cell.zone))
                .or_default()
                .push(id);
            let delay = self.rng.random_range(0.0..1.0);
            let delay = MAX_ACKNOWLEDGEMENT_DELAY.mul_f64(delay);
            self.schedule(delay, Event::Acknowledgement(id));
        } else {
            let finish = connection.finish();
            self.send_packet(id, finish);
        }
    }

    pub(super) fn acknowledge(&mut self, id: ConnectionId) {
        if let Some(acknowledgement) = self.connections[id].acknowledge() {
            self.send_packet(id, acknowledgement);
        }
    }

    fn handle_refusal(&mut self, id: ConnectionId) {
        let connection = &mut self.connections[id];
        // A refused request has not run, so it may be retried even if it is not idempotent.
        connection.open = false;
        connection.receive(REFUSAL_LENGTH);
        let finish = connection.finish();
        self.send_packet(id, finish);
        self.retry(id);
    }
}
