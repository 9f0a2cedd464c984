//! Overload of a whole service: all targets have queues, and most answers are late.

mod common;

use std::time::Duration;

use common::{Client, FEED_PORT, ORDER_PORT, REVISION, at, forwarder, open_flow, route, routes};
use tanager_forward::{
    Action, DropReason, Event, Forwarder, Kind, Liveness, ResetReason, RouteTable,
};

/// Targets of the service, with two slots each.
const TARGETS: u64 = 2;
/// Flows with a request in flight, far more than the targets have slots.
const FLOWS: u16 = 24;
/// Time that targets with full queues take to answer. The objective is 150 ms.
const SLOW_ANSWER: u64 = 180;
/// Time that an idle target takes to answer.
const FAST_ANSWER: u64 = 30;
/// Length of a request in bytes.
const REQUEST: u16 = 100;
/// Length of an answer in bytes.
const ANSWER: u32 = 2_000;
/// Length of the answer by which a target refuses a request, in bytes.
const REFUSAL: u32 = 150;

/// A forwarder, the flows of its clients and the present time.
struct Scene {
    forwarder: Forwarder,
    clients: Vec<Client>,
    /// Whether each client's request is in flight.
    running: Vec<bool>,
    /// Length of the next answers.
    answer: u32,
    now: u64,
}

impl Scene {
    /// Opens the flows, before the overload.
    fn new(flows: u16) -> Self {
        let mut forwarder = forwarder(TARGETS);
        let clients: Vec<_> = (0..flows)
            .map(|i| open_flow(&mut forwarder, 1_000 + i, FEED_PORT, at(1)))
            .collect();
        Self {
            running: vec![false; clients.len()],
            forwarder,
            clients,
            answer: ANSWER,
            now: 1_000,
        }
    }

    /// Lets each client send its next request when the last one is answered, one after the other.
    /// Returns how many requests were shed.
    fn run(&mut self, rounds: u64, answer_time: u64) -> usize {
        let mut shed = 0;
        for _ in 0..rounds {
            let start = self.now;
            let count = self.clients.len() as u64;
            for index in 0..self.clients.len() {
                self.now = start + answer_time * index as u64 / count;
                shed += usize::from(!self.exchange(index));
            }
            self.now = start + answer_time;
        }
        shed
    }

    /// Answers a client's request and sends its next one. Returns whether it was forwarded.
    fn exchange(&mut self, index: usize) -> bool {
        let now = at(self.now);
        let client = &mut self.clients[index];
        if self.running[index] {
            client.acknowledge(&mut self.forwarder, self.answer, now);
        }
        let action = client.send(&mut self.forwarder, REQUEST, now);
        let forwarded = matches!(action, Action::Forward(_));
        if !forwarded {
            // The client gives it up, and sends the next one instead.
            client.sent -= u32::from(REQUEST);
        }
        self.running[index] = forwarded;
        forwarded
    }

    /// Answers the next request in flight.
    fn answer_next(&mut self) {
        let index = self.running.iter().position(|r| *r);
        let index = index.expect("a request in flight");
        self.running[index] = false;
        self.clients[index].acknowledge(&mut self.forwarder, ANSWER, at(self.now));
    }

    /// Returns the client of an open flow of which this instance has not seen any packet.
    fn moved_client(&self) -> Client {
        let mut client = self.clients[0].clone();
        client.flow.client.set_port(9_000);
        client
    }

    fn opening(&mut self, client_port: u16, port: u16) -> Action {
        Client::new(client_port, port).opening(&mut self.forwarder, 0, at(self.now))
    }
}

/// Returns a scene in which the service is overloaded.
fn overload() -> Scene {
    let mut scene = Scene::new(FLOWS);
    let shed = scene.run(8, SLOW_ANSWER);
    assert!(shed > 0, "no request was shed");
    scene.forwarder.take_events(at(scene.now));
    scene
}

/// Guards against requests on open flows that are shed with each of their transmissions, until their
/// deadline: the last one before most deadlines follows 1.4 s after the first.
#[test]
fn a_limit_recovers_before_the_last_retransmission() {
    let mut scene = overload();

    scene.run(1_400 / FAST_ANSWER, FAST_ANSWER);
    let shed = scene.run(4, FAST_ANSWER);

    assert_eq!(shed, 0);
}

/// Guards against requests that wait in full queues until their answers are late: an opening that
/// exceeds the limit is refused at once, before anything has run.
#[test]
fn an_opening_beyond_the_limit_is_reset() {
    let mut scene = overload();

    let actions: Vec<_> = (0..FLOWS)
        .map(|i| scene.opening(9_000 + i, FEED_PORT))
        .collect();

    let events = scene.forwarder.take_events(at(scene.now));
    let is_overload = |e: &Event| {
        matches!(e, Event::Reset { reason, target, .. }
            if *reason == ResetReason::Overloaded && target.is_none())
    };
    assert!(
        actions.contains(&Action::Reset { sequence: 0 }),
        "{actions:?}"
    );
    assert!(events.iter().any(is_overload), "{events:?}");
}

/// Guards against refusing requests that must not be repeated while others are still accepted.
#[test]
fn an_order_is_admitted_beyond_the_limit_of_feeds() {
    let mut scene = overload();
    let forwarded = |action: Action| matches!(action, Action::Forward(_));
    let mut port = 9_000;
    while !forwarded(scene.opening(port, ORDER_PORT)) {
        scene.answer_next();
        port += 1;
    }

    let feed = scene.opening(9_500, FEED_PORT);

    assert_eq!(feed, Action::Reset { sequence: 0 });
}

/// Guards against resets of open flows, whose clients could not tell whether a request has run.
#[test]
fn a_request_on_an_open_flow_is_dropped_and_never_reset() {
    let mut scene = overload();
    for port in 9_100..9_100 + FLOWS {
        scene.opening(port, FEED_PORT);
    }
    let mut client = scene.moved_client();

    let action = client.send(&mut scene.forwarder, REQUEST, at(scene.now));

    assert_eq!(action, Action::Drop(DropReason::Overloaded));
}

/// Guards against targets that count as unresponsive because this instance shed their requests.
#[test]
fn the_retransmission_of_a_shed_request_is_no_miss() {
    let mut scene = overload();
    let mut client = scene.moved_client();
    let start = scene.now;
    let first = client.send(&mut scene.forwarder, REQUEST, at(start));

    scene.run(1, SLOW_ANSWER);
    client.resend(&mut scene.forwarder, REQUEST, at(start + 200));

    let events = scene.forwarder.take_events(at(start + 200));
    assert_eq!(first, Action::Drop(DropReason::Overloaded));
    let is_suspect =
        |e: &Event| matches!(e, Event::Liveness(change) if change.liveness != Liveness::Sound);
    assert!(!events.iter().any(is_suspect), "{events:?}");
}

/// Guards against refusals while targets have free slots: answers are late for another reason.
#[test]
fn nothing_is_shed_while_slots_are_free() {
    let mut scene = Scene::new(2);

    let shed = scene.run(20, SLOW_ANSWER);

    assert_eq!(shed, 0);
}

/// Guards against a limit that outlives the overload.
#[test]
fn the_limit_ends_with_the_overload() {
    let mut scene = overload();
    scene.clients.truncate(2);
    scene.now += SLOW_ANSWER * 3;
    scene.run(40, FAST_ANSWER);

    let actions: Vec<_> = (0..FLOWS)
        .map(|i| scene.opening(9_000 + i, FEED_PORT))
        .collect();

    let forwarded = |a: &Action| matches!(a, Action::Forward(_));
    assert!(actions.iter().all(forwarded), "{actions:?}");
}

/// Guards against requests that count as in flight forever because the service of their route
/// changed before they were answered.
#[test]
fn a_change_of_a_route_leaves_no_requests_counted() {
    let mut scene = Scene::new(FLOWS);
    scene.run(1, FAST_ANSWER);
    let other = vec![route(FEED_PORT, Kind::Idempotent, "other")];
    let other = RouteTable::new(2, REVISION, Duration::ZERO, other);
    scene.forwarder.apply_routes(other);
    while scene.running.contains(&true) {
        scene.answer_next();
    }
    scene.forwarder.apply_routes(routes(3));

    scene.run(8, SLOW_ANSWER);

    let events = scene.forwarder.take_events(at(scene.now));
    let running = events.iter().find_map(|e| match e {
        Event::Limit(change) => Some(change.running),
        _ => None,
    });
    let running = running.expect("a limit");
    assert!(running <= u32::from(FLOWS), "{running} in flight");
}

/// Guards against full targets that count as failing because they refuse requests only after these have
/// waited: nothing more is sent to them, and the others get more than they can take.
#[test]
fn a_target_that_refuses_late_beyond_the_capacity_is_not_failing() {
    let mut scene = overload();
    scene.answer = REFUSAL;

    scene.run(3, SLOW_ANSWER);
    scene.forwarder.sweep(at(scene.now));

    let events = scene.forwarder.take_events(at(scene.now));
    let failing = |e: &Event| matches!(e, Event::Health(change) if change.failing);
    assert!(!events.iter().any(failing), "{events:?}");
}
