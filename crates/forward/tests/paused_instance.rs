//! Packets that waited while their instance was paused. Clients have repeated old openings, perhaps
//! through another instance, which has placed the flow.

mod common;

use common::{
    Client, ORDER_PORT, at, forwarder, forwarder_with, open_flow, seeded_forwarder, sent_to, target,
};
use tanager_core::{Clock, Millis};
use tanager_forward::{
    Action, Cookie, DropReason, DueAction, Event, FlowMessage, Forwarder, ResetReason, TargetNumber,
};

const TARGETS: u64 = 4;
/// When the pause of the instance began.
const PAUSED: Millis = Clock::START;
/// When it ended.
const RESUMED: Millis = Millis::new(Clock::START.get() + 1_400);

/// Returns an instance that has just been paused.
fn paused(mut forwarder: Forwarder) -> Forwarder {
    forwarder.record_verified(RESUMED);
    forwarder.set_paused_since(Some(PAUSED));
    forwarder
}

fn peer() -> Forwarder {
    seeded_forwarder((1..=TARGETS).map(|n| target(n, "feeds", "a")), 8)
}

/// Lets a peer answer the questions of an instance.
fn exchange(asker: &mut Forwarder, peer: &mut Forwarder, now: Millis) -> Vec<DueAction> {
    for query in asker.take_messages() {
        if let Some(answer) = peer.handle_message(query, now) {
            asker.handle_message(answer, now);
        }
    }
    asker.take_due(now)
}

fn actions(due: &[DueAction]) -> Vec<Action> {
    due.iter().map(|d| d.action).collect()
}

/// Guards against an old opening that is sent to a second target while another instance has opened the
/// flow (soak, seed 1220): the client takes over that target's cookie.
#[test]
fn an_old_opening_of_a_known_flow_is_dropped() {
    let mut instance = paused(forwarder(TARGETS));
    let mut peer = peer();
    let mut client = Client::new(1, ORDER_PORT);
    let first = client.opening(&mut instance, 0, RESUMED);
    let copy = client.opening(&mut instance, 1, RESUMED);
    client.accept_opening(sent_to(client.clone().opening(&mut peer, 1, at(1_000))));

    let answered = exchange(&mut instance, &mut peer, at(1_402));

    assert_eq!([first, copy], [Action::LookUp; 2]);
    assert_eq!(actions(&answered), []);
    assert_eq!(actions(&instance.take_due(at(2_000))), []);
}

/// Guards against clients that wait in vain since nobody else has received their opening.
#[test]
fn an_old_opening_that_no_peer_knows_is_placed() {
    let mut instance = paused(forwarder(TARGETS));
    let client = Client::new(1, ORDER_PORT);
    client.opening(&mut instance, 0, RESUMED);
    client.opening(&mut instance, 1, RESUMED);

    let early = exchange(&mut instance, &mut peer(), at(1_402));
    let late = instance.take_due(at(1_450));

    assert_eq!(actions(&early), []);
    let targets: Vec<_> = late.iter().map(|d| sent_to(d.action)).collect();
    assert_eq!(targets.len(), 2);
    assert_eq!(targets[0], targets[1]);
}

/// Guards against a reset of a flow that the client has opened through another instance (soak, seed
/// 1403).
#[test]
fn an_old_opening_of_a_known_flow_is_not_reset() {
    let mut instance = paused(forwarder_with([]));
    let client = Client::new(1, ORDER_PORT);
    let mut peer = peer();
    client.opening(&mut peer, 1, at(1_000));
    let action = client.opening(&mut instance, 0, RESUMED);

    exchange(&mut instance, &mut peer, at(1_402));

    assert_eq!(action, Action::LookUp);
    assert_eq!(actions(&instance.take_due(at(1_450))), []);
}

/// Guards against a client without any target that waits for the time-out of its attempt.
#[test]
fn an_old_opening_that_cannot_be_placed_is_reset() {
    let mut instance = paused(forwarder_with([]));
    let client = Client::new(1, ORDER_PORT);
    client.opening(&mut instance, 0, RESUMED);

    let due = instance.take_due(at(1_450));

    assert_eq!(actions(&due), [Action::Reset { sequence: 0 }]);
    let is_reset =
        |e: &Event| matches!(e, Event::Reset { reason, .. } if *reason == ResetReason::NoTarget);
    assert!(instance.take_events(at(1_450)).iter().any(is_reset));
}

/// Guards against binding a flow by the answer that its peer gave for an old opening.
#[test]
fn data_that_follows_an_old_opening_has_a_question_of_its_own() {
    let mut instance = paused(forwarder(TARGETS));
    let mut client = Client::new(1, ORDER_PORT);
    client.opening(&mut instance, 0, RESUMED);
    let accepted = TargetNumber::new(2);
    client.accept_opening(accepted);

    client.send(&mut instance, 100, at(1_410));
    let queries = instance.take_messages();
    instance.handle_message(FlowMessage::Known { flow: client.flow }, at(1_411));
    let due = instance.take_due(at(1_451));

    let flow = client.flow;
    let query = |cookie| FlowMessage::Query { flow, cookie };
    let expected = [Cookie::NONE, accepted.opening_cookie()].map(query);
    assert_eq!(queries, expected);
    let targets: Vec<_> = due.iter().map(|d| sent_to(d.action)).collect();
    assert_eq!(targets, [accepted]);
}

/// Guards against an old copy of an opening that replaces the open flow.
#[test]
fn an_old_copy_of_the_opening_of_an_open_flow_is_dropped() {
    let mut instance = forwarder(TARGETS);
    let mut client = open_flow(&mut instance, 1, ORDER_PORT, PAUSED);
    let own = sent_to(client.send(&mut instance, 100, at(10)));
    let mut instance = paused(instance);

    let copy = Client::new(1, ORDER_PORT).opening(&mut instance, 1, RESUMED);

    assert_eq!(copy, Action::Drop(DropReason::Moved));
    assert_eq!(sent_to(client.resend(&mut instance, 100, RESUMED)), own);
}

/// Guards against questions about openings that have not waited for long.
#[test]
fn an_opening_after_a_short_pause_is_placed() {
    let mut instance = forwarder(TARGETS);
    instance.set_paused_since(Some(at(0)));

    let action = Client::new(1, ORDER_PORT).opening(&mut instance, 0, at(150));

    sent_to(action);
}
