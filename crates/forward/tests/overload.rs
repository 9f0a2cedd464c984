//! Overload of a whole service at one instance: what is held, released, refused, displaced and dropped.

mod common;

use std::time::Duration;

use common::{
    Client, FEED_PORT, ORDER_PORT, REVISION, at, forwarder, later, open_flow, published, removed,
    route, routes, target,
};
use tanager_forward::{
    Action, DropReason, DueAction, Event, Forwarder, Gauges, Kind, Liveness, ResetReason,
    RouteTable, TargetState,
};

/// Targets of the service, with two slots each.
const TARGETS: u64 = 2;
/// Flows with a request in flight, far more than the targets have slots.
const FLOWS: u16 = 24;
/// When the requests of [`FLOWS`] are sent.
const START: u64 = 1_000;
/// When the instance has noticed the overload.
const OVERLOADED: u64 = 1_100;
/// Time after which an unanswered request no longer counts.
const ANSWER_TIMEOUT: u64 = 400;
/// A quarter of the objective, rounded up.
const LONGEST_WAIT: u64 = 38;
/// Length of a request in bytes.
const REQUEST: u16 = 100;
/// Length of an answer in bytes.
const ANSWER: u32 = 2_000;
/// Maximum number of held requests.
const HELD_LIMIT: usize = 1_024;
/// Maximum size of held packets in bytes.
const HELD_BYTES: usize = 1_500_000;

/// A forwarder and the clients whose requests are in flight.
struct Scene {
    forwarder: Forwarder,
    clients: Vec<Client>,
}

impl Scene {
    /// Opens flows and sends a request on each.
    fn new(flows: u16) -> Self {
        let mut forwarder = forwarder(TARGETS);
        let clients = (0..flows).map(|i| open_flow(&mut forwarder, 1_000 + i, FEED_PORT, at(1)));
        let clients = clients.collect();
        let mut scene = Self { forwarder, clients };
        scene.send_all();
        scene
    }

    /// Sends a request on each flow, and lets the instance notice its load.
    fn send_all(&mut self) {
        for client in &mut self.clients {
            client.send(&mut self.forwarder, REQUEST, at(START));
        }
        self.forwarder.take_due(at(OVERLOADED));
        self.forwarder.take_events(at(OVERLOADED));
    }

    /// Answers requests in flight.
    fn answer(&mut self, count: usize, now: u64) {
        for mut client in self.clients.drain(..count) {
            client.acknowledge(&mut self.forwarder, ANSWER, at(now));
        }
    }

    fn opening(&mut self, client_port: u16, port: u16, now: u64) -> Action {
        Client::new(client_port, port).opening(&mut self.forwarder, 0, at(now))
    }

    fn take_due(&mut self, now: u64) -> Vec<DueAction> {
        self.forwarder.take_due(at(now))
    }

    fn gauges(&self) -> Gauges {
        self.forwarder.gauges(at(OVERLOADED))
    }
}

/// Returns a scene with idle flows of both routes, before the overload.
fn scene_with_idle(flows: u16) -> (Scene, Vec<Client>) {
    let mut forwarder = forwarder(TARGETS);
    let port = |i| if i % 2 == 0 { FEED_PORT } else { ORDER_PORT };
    let idle = (0..flows).map(|i| open_flow(&mut forwarder, 20_000 + i, port(i), at(1)));
    let idle = idle.collect();
    let clients = (0..FLOWS).map(|i| open_flow(&mut forwarder, 1_000 + i, FEED_PORT, at(1)));
    let clients = clients.collect();
    let mut scene = Scene { forwarder, clients };
    scene.send_all();
    (scene, idle)
}

fn forwarded(due: &[DueAction]) -> Vec<u16> {
    let forwarded = due
        .iter()
        .filter(|d| matches!(d.action, Action::Forward(_)));
    forwarded.map(|d| d.flow.client.port()).collect()
}

/// Guards against requests that wait in full queues until their answers are late, and against openings
/// that wait in vain: one waits, and what is not expected to be in time is refused at once, before
/// anything has run.
#[test]
fn an_opening_beyond_the_limit_is_held_or_reset_at_once() {
    let mut scene = Scene::new(FLOWS);

    let held = scene.opening(9_000, FEED_PORT, OVERLOADED);
    let refused = scene.opening(9_001, FEED_PORT, OVERLOADED);

    let events = scene.forwarder.take_events(at(OVERLOADED));
    let is_overload = |e: &Event| {
        matches!(e, Event::Reset { reason: ResetReason::Overloaded, target: None, state: Some(s), .. }
            if s.waiting == 1 && s.limit.is_some() && s.running == u32::from(FLOWS))
    };
    assert_eq!(held, Action::Hold);
    assert_eq!(refused, Action::Reset { sequence: 0 });
    assert!(events.iter().any(is_overload), "{events:?}");
}

/// Guards against held openings that stay when requests in flight end, and against sending them before.
#[test]
fn a_held_opening_is_sent_when_requests_end() {
    let mut scene = Scene::new(FLOWS);
    scene.opening(9_000, FEED_PORT, OVERLOADED);

    let before = scene.take_due(OVERLOADED + 10);
    scene.answer(15, OVERLOADED + 20);
    let after = scene.take_due(OVERLOADED + 20);

    assert_eq!(before, []);
    assert_eq!(forwarded(&after), [9_000]);
    assert_eq!(after[0].packet, b"opening");
}

/// Guards against a client that is not told that its opening waited in vain, and against a wait that
/// leaves no time for further attempts.
#[test]
fn a_held_opening_is_reset_after_a_quarter_of_its_objective() {
    let mut scene = Scene::new(FLOWS);
    scene.opening(9_000, FEED_PORT, OVERLOADED);

    let due = scene.forwarder.next_due();
    let action = scene.take_due(OVERLOADED + LONGEST_WAIT);

    assert!(due.is_some_and(|due| due <= at(OVERLOADED + LONGEST_WAIT)));
    assert_eq!(action.len(), 1);
    assert_eq!(action[0].action, Action::Reset { sequence: 0 });
}

/// Guards against resets of flows whose clients have left while the process was paused.
#[test]
fn an_opening_held_over_a_pause_is_neither_sent_nor_reset() {
    let mut scene = Scene::new(FLOWS);
    scene.opening(9_000, FEED_PORT, OVERLOADED);

    let due = scene.take_due(OVERLOADED + 3_000);

    assert_eq!(due, []);
    assert_eq!(scene.gauges().held, 0);
}

/// Guards against refusing requests that must not be repeated while others are still accepted.
#[test]
fn an_order_is_released_before_feeds() {
    let mut scene = Scene::new(FLOWS);
    scene.opening(9_000, FEED_PORT, OVERLOADED);
    let order = scene.opening(9_001, ORDER_PORT, OVERLOADED);

    scene.answer(15, OVERLOADED + 10);
    let due = scene.take_due(OVERLOADED + 10);

    assert_eq!(order, Action::Hold);
    assert_eq!(forwarded(&due), [9_001]);
}

/// Guards against resets of open flows, whose clients could not tell whether a request has run, against
/// packets that overtake each other, and against copies that are sent twice.
#[test]
fn a_request_on_an_open_flow_is_held_with_all_its_packets() {
    let (mut scene, mut idle) = scene_with_idle(1);
    let client = &mut idle[0];
    let first = client.send_packet(&mut scene.forwarder, b"first", at(OVERLOADED));
    let second = client.send_packet(&mut scene.forwarder, b"second!", at(OVERLOADED + 1));
    let copy = client.resend(&mut scene.forwarder, 7, at(OVERLOADED + 2));

    let before = scene.take_due(OVERLOADED + 40);
    scene.answer(20, OVERLOADED + 40);
    let after = scene.take_due(OVERLOADED + 40);
    let third = client.send_packet(&mut scene.forwarder, b"third", at(OVERLOADED + 41));

    assert_eq!([first, second, copy], [Action::Hold; 3]);
    assert_eq!(before, []);
    let packets: Vec<_> = after.iter().map(|d| d.packet.as_slice()).collect();
    assert_eq!(packets, [b"first".as_slice(), b"second!"]);
    assert_eq!(forwarded(&after).len(), 2);
    assert!(matches!(third, Action::Forward(_)), "{third:?}");
}

/// Guards against targets that count as unresponsive because this instance held their requests.
#[test]
fn the_retransmission_of_a_held_request_is_no_miss() {
    let (mut scene, mut idle) = scene_with_idle(1);
    idle[0].send(&mut scene.forwarder, REQUEST, at(OVERLOADED));

    let held = idle[0].resend(&mut scene.forwarder, REQUEST, at(OVERLOADED + 200));
    scene.answer(15, OVERLOADED + 210);
    scene.take_due(OVERLOADED + 210);
    let released = idle[0].resend(&mut scene.forwarder, REQUEST, at(OVERLOADED + 220));

    let events = scene.forwarder.take_events(at(OVERLOADED + 220));
    let is_suspect =
        |e: &Event| matches!(e, Event::Liveness(change) if change.liveness != Liveness::Sound);
    assert_eq!(held, Action::Hold);
    assert!(matches!(released, Action::Forward(_)), "{released:?}");
    assert!(!events.iter().any(is_suspect), "{events:?}");
}

/// Guards against requests that are sent although their clients have given them up.
#[test]
fn a_request_leaves_with_its_client() {
    let (mut scene, mut idle) = scene_with_idle(1);
    idle[0].send(&mut scene.forwarder, REQUEST, at(OVERLOADED));

    let finish = idle[0].finish(&mut scene.forwarder, at(OVERLOADED + 5));
    scene.answer(20, OVERLOADED + 10);
    let due = scene.take_due(OVERLOADED + 10);

    assert!(matches!(finish, Action::Forward(_)), "{finish:?}");
    assert_eq!(due, []);
    assert_eq!(scene.gauges().held, 0);
}

/// Guards against requests that wait for a target which will never serve them.
#[test]
fn the_removal_of_a_target_ends_the_wait_for_it() {
    let (mut scene, mut idle) = scene_with_idle(4);
    for client in &mut idle {
        client.send(&mut scene.forwarder, REQUEST, at(OVERLOADED));
    }

    for number in 1..=TARGETS {
        let mut target = target(number, "feeds", "a");
        (target.state, target.sequence) = (TargetState::Draining, 2);
        let now = at(OVERLOADED + 1);
        scene.forwarder.apply(published(target, later(number)), now);
        scene
            .forwarder
            .apply(removed(number, later(number + 10)), now);
    }
    let due = scene.take_due(OVERLOADED + 2);

    assert_eq!(due.len(), idle.len());
    assert_eq!(scene.gauges().held, 0);
}

/// Guards against queues without bounds, and against urgent requests that find them full of others: an
/// order takes the place of a feed, which is dropped and never reset. A feed takes nobody's place.
#[test]
fn a_full_queue_drops_feeds_for_orders() {
    let flows = u16::try_from(2 * HELD_LIMIT + 4).expect("a small number");
    let (mut scene, mut idle) = scene_with_idle(flows);
    let is_feed = |c: &Client| c.flow.service.port() == FEED_PORT;
    idle.sort_by_key(|c| !is_feed(c));
    let orders = idle.split_off(HELD_LIMIT + 2);

    let send = |scene: &mut Scene, mut client: Client| {
        client.send(&mut scene.forwarder, REQUEST, at(OVERLOADED))
    };
    let feeds: Vec<_> = idle.into_iter().map(|c| send(&mut scene, c)).collect();
    scene.forwarder.take_events(at(OVERLOADED));
    let order = send(&mut scene, orders[0].clone());

    let events = scene.forwarder.take_events(at(OVERLOADED));
    let drops = |e: &&Event| {
        matches!(
            e,
            Event::Dropped {
                reason: DropReason::Overloaded,
                ..
            }
        )
    };
    assert!(feeds[..HELD_LIMIT].iter().all(|a| *a == Action::Hold));
    assert_eq!(feeds[HELD_LIMIT], Action::Drop(DropReason::Overloaded));
    assert_eq!(order, Action::Hold);
    assert_eq!(scene.gauges().held, HELD_LIMIT);
    assert_eq!(events.iter().filter(drops).count(), 1);
}

/// Guards against memory that grows with the size of held requests.
#[test]
fn the_size_of_held_packets_is_bounded() {
    let (mut scene, mut idle) = scene_with_idle(200);
    let packet = [0; 1_400];

    for client in &mut idle {
        for _ in 0..16 {
            client.send_packet(&mut scene.forwarder, &packet, at(OVERLOADED));
        }
    }

    let held = scene.gauges().held_bytes;
    let range = HELD_BYTES - packet.len()..=HELD_BYTES;
    assert!(range.contains(&held), "{held} bytes held");
}

/// Guards against answers that never come and hold the room of others forever.
#[test]
fn an_unanswered_request_makes_room_in_the_end() {
    let (mut scene, mut idle) = scene_with_idle(1);
    let held = idle[0].send(&mut scene.forwarder, REQUEST, at(OVERLOADED));

    let due = scene.take_due(START + ANSWER_TIMEOUT);

    assert_eq!(held, Action::Hold);
    assert_eq!(forwarded(&due).len(), 1);
}

/// Guards against requests on open flows that wait until their deadline although the overload is over.
#[test]
fn all_waiting_requests_are_released_after_the_overload() {
    let (mut scene, mut idle) = scene_with_idle(20);
    let actions: Vec<_> = idle
        .iter_mut()
        .map(|c| c.send(&mut scene.forwarder, REQUEST, at(OVERLOADED)))
        .collect();
    scene.answer(FLOWS.into(), OVERLOADED + 50);

    // Each round, the released requests are answered.
    let mut released = Vec::new();
    for now in (OVERLOADED + 50..).step_by(30).take(4) {
        for client in &mut idle {
            if released.contains(&client.flow.client.port()) {
                client.acknowledge(&mut scene.forwarder, ANSWER, at(now));
            }
        }
        released.extend(forwarded(&scene.take_due(now)));
    }

    assert_eq!(actions, [Action::Hold; 20]);
    assert_eq!(released.len(), 20);
}

/// Guards against refusals while targets have free slots: answers are late for another reason.
#[test]
fn nothing_is_held_while_slots_are_free() {
    let mut scene = Scene::new(2);

    let actions: Vec<_> = (0..2_u16)
        .map(|i| scene.opening(9_000 + i, FEED_PORT, OVERLOADED + 100 * u64::from(i)))
        .collect();

    let forwarded = |a: &Action| matches!(a, Action::Forward(_));
    assert!(actions.iter().all(forwarded), "{actions:?}");
}

/// Guards against a limit that outlives the overload.
#[test]
fn the_limit_ends_within_a_second_of_the_overload() {
    let mut scene = Scene::new(FLOWS);
    scene.opening(9_000, FEED_PORT, OVERLOADED);
    scene.answer(FLOWS.into(), OVERLOADED + 10);
    scene.take_due(OVERLOADED + 10);
    for now in (OVERLOADED..OVERLOADED + 1_300).step_by(100) {
        scene.take_due(now);
    }

    // As many as wait at the targets of a limited service, and so beyond any limit.
    let actions: Vec<_> = (0..FLOWS / 2)
        .map(|i| scene.opening(9_100 + i, FEED_PORT, OVERLOADED + 1_310))
        .collect();

    let forwarded = |a: &Action| matches!(a, Action::Forward(_));
    assert!(actions.iter().all(forwarded), "{actions:?}");
}

/// Guards against requests that count as in flight forever because the service of their route
/// changed before they were answered.
#[test]
fn a_change_of_a_route_leaves_no_requests_counted() {
    let mut scene = Scene::new(FLOWS);
    let other = vec![route(FEED_PORT, Kind::Idempotent, "other")];
    let other = RouteTable::new(2, REVISION, Duration::ZERO, other);
    scene.forwarder.apply_routes(other);
    scene.answer(FLOWS.into(), OVERLOADED + 10);
    scene.forwarder.apply_routes(routes(3));
    scene.opening(9_000, FEED_PORT, OVERLOADED + 20);

    // The limit ends, and its event tells the requests in flight.
    for now in (OVERLOADED..OVERLOADED + 2_500).step_by(100) {
        scene.take_due(now);
    }

    let events = scene.forwarder.take_events(at(OVERLOADED + 2_500));
    let running = events.iter().find_map(|e| match e {
        Event::Limit(change) if change.limit.is_none() => Some(change.running),
        _ => None,
    });
    assert_eq!(running, Some(0), "{events:?}");
}

/// Guards against limits for routes that publish no objective.
#[test]
fn a_route_without_an_objective_is_never_held() {
    let mut scene = Scene::new(FLOWS);
    let mut without = route(FEED_PORT, Kind::Idempotent, "feeds");
    without.objective = Duration::ZERO;
    let table = RouteTable::new(2, REVISION, Duration::ZERO, vec![without]);
    scene.forwarder.apply_routes(table);

    let action = scene.opening(9_000, FEED_PORT, OVERLOADED);

    assert!(matches!(action, Action::Forward(_)), "{action:?}");
}
