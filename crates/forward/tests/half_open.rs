//! Openings that several targets answer: the flow is open at one of them, and the others repeat
//! their answers, whose cookies the client takes over.

mod common;

use common::{Client, FEED_PORT, ORDER_PORT, at, forwarder, seeded_forwarder, sent_to, target};
use proptest::prelude::*;
use tanager_core::Millis;
use tanager_forward::{
    Action, Cookie, DueAction, FLOW_LIMIT, FlowMessage, Forwarder, TargetNumber,
};

const TARGETS: u64 = 4;

/// Returns the targets of openings that are sent, with their cookies.
fn openings(due: &[DueAction]) -> Vec<(TargetNumber, Cookie)> {
    let forward = |d: &DueAction| match d.action {
        Action::Forward(forward) => Some((forward.target, forward.cookie)),
        _ => None,
    };
    due.iter().filter_map(forward).collect()
}

/// Opens a flow that two targets answer. Returns the client, which accepted the first answer, and
/// both targets.
fn open_at_two(forwarder: &mut Forwarder) -> (Client, TargetNumber, TargetNumber) {
    let mut client = Client::new(1, FEED_PORT);
    let first = sent_to(client.opening(forwarder, 0, at(0)));
    let (second, _) = openings(&forwarder.take_due(at(75)))[0];
    client.accept_opening(first);
    (client, first, second)
}

/// Lets a client send a request and acknowledge its answer. Returns the target that got the request.
fn request(client: &mut Client, forwarder: &mut Forwarder, now: Millis) -> TargetNumber {
    let target = sent_to(client.send(forwarder, 100, now));
    client.acknowledge(forwarder, 2_000, now);
    target
}

fn another_than(target: TargetNumber) -> TargetNumber {
    let mut targets = (1..=TARGETS).map(TargetNumber::new);
    targets.find(|n| *n != target).expect("several targets")
}

fn another_instance() -> Forwarder {
    seeded_forwarder((1..=TARGETS).map(|n| target(n, "feeds", "a")), 8)
}

/// Guards against open flows that move to a target which has only answered their opening: it repeats
/// its answer, and an instance without a record of the flow followed the cookie of that answer.
#[test]
fn targets_tried_in_vain_are_told_where_the_flow_is_open() {
    let mut forwarder = forwarder(TARGETS);
    let (mut client, first, second) = open_at_two(&mut forwarder);

    request(&mut client, &mut forwarder, at(100));

    let sent = openings(&forwarder.take_due(at(101)));
    assert_eq!(sent, [(second, first.cookie())]);
}

/// Guards against a correction that was lost: the target goes on to repeat a wrong cookie.
#[test]
fn a_wrong_cookie_is_corrected_again() {
    let mut forwarder = forwarder(TARGETS);
    let (mut client, first, second) = open_at_two(&mut forwarder);
    request(&mut client, &mut forwarder, at(100));
    forwarder.take_due(at(101));

    client.receive_copy(second.opening_cookie());
    let target = request(&mut client, &mut forwarder, at(400));

    assert_eq!(target, first);
    let sent = openings(&forwarder.take_due(at(401)));
    assert!(sent.contains(&(second, first.cookie())), "{sent:?}");
}

/// Guards against telling targets before it is certain which one the flow is open at. One that has
/// the flow open would take over the wrong cookie.
#[test]
fn targets_are_told_only_after_data_of_the_flow() {
    let mut forwarder = forwarder(TARGETS);
    let (mut client, ..) = open_at_two(&mut forwarder);

    client.send(&mut forwarder, 100, at(100));

    assert_eq!(openings(&forwarder.take_due(at(101))), []);
}

/// Guards against guessing the target of a flow whose opening another instance received.
#[test]
fn an_instance_without_the_opening_asks_its_peers() {
    let mut opener = forwarder(TARGETS);
    let (mut client, first, second) = open_at_two(&mut opener);
    request(&mut client, &mut opener, at(100));
    client.receive_copy(second.opening_cookie());
    let mut other = another_instance();

    let action = client.send(&mut other, 100, at(300));

    assert_eq!(action, Action::LookUp);
    let queries = other.take_messages();
    let answer = opener
        .handle_message(queries[0], at(301))
        .expect("an answer");
    other.handle_message(answer, at(302));
    assert_eq!(
        openings(&other.take_due(at(302))),
        [(first, first.cookie())]
    );
}

/// Guards against packets that wait forever if no peer knows their flow.
#[test]
fn a_lookup_without_an_answer_ends_in_time() {
    let mut client = Client::new(1, FEED_PORT);
    let named = TargetNumber::new(2);
    client.accept_opening(named);
    let mut other = another_instance();

    client.send(&mut other, 100, at(0));
    let early = openings(&other.take_due(at(20)));
    let due = other.next_due();
    let late = openings(&other.take_due(at(60)));

    assert_eq!(early, []);
    assert!(due.is_some_and(|due| due <= at(60)), "{due:?}");
    assert_eq!(late, [(named, named.cookie())]);
}

/// Guards against openings that are sent to further targets although the client has its answer, and
/// only continues through another instance.
#[test]
fn no_further_target_is_tried_for_a_client_that_continues_elsewhere() {
    let mut opener = forwarder(TARGETS);
    let mut client = Client::new(1, FEED_PORT);
    let first = sent_to(client.opening(&mut opener, 0, at(0)));
    client.accept_opening(first);
    let mut other = another_instance();
    client.send(&mut other, 100, at(10));

    let answer = opener.handle_message(other.take_messages()[0], at(11));

    let binding = FlowMessage::Binding {
        flow: client.flow,
        target: first,
        confirmed: false,
    };
    assert_eq!(answer, Some(binding));
    assert_eq!(openings(&opener.take_due(at(400))), []);
}

/// Guards against targets that are not told because the instance that tried them does not know where
/// the client's flow is open.
#[test]
fn the_instance_with_the_opening_tells_targets_for_another_one() {
    let mut opener = forwarder(TARGETS);
    let (mut client, first, second) = open_at_two(&mut opener);
    let mut other = another_instance();
    client.send(&mut other, 100, at(100));
    let answer = opener.handle_message(other.take_messages()[0], at(101));
    other.take_due(at(160));
    client.acknowledge(&mut other, 2_000, at(170));

    for message in other.take_messages() {
        opener.handle_message(message, at(171));
    }

    assert_eq!(
        answer, None,
        "the opener cannot know which answer was accepted"
    );
    let sent = openings(&opener.take_due(at(171)));
    assert_eq!(sent, [(second, first.cookie())]);
}

/// Guards against queries about unknown or finished flows that are answered by a guess.
#[test]
fn only_known_flows_are_answered() {
    let mut opener = forwarder(TARGETS);
    let (mut client, first, _) = open_at_two(&mut opener);
    request(&mut client, &mut opener, at(100));
    let query = FlowMessage::Query {
        flow: client.flow,
        cookie: first.opening_cookie(),
    };

    let known = opener.handle_message(query, at(110));
    client.finish(&mut opener, at(120));
    let finished = opener.handle_message(query, at(130));
    let unknown = another_instance().handle_message(query, at(130));

    assert!(known.is_some());
    assert_eq!((finished, unknown), (None, None));
}

/// Guards against an instance that received a later copy of the opening, and claims that the flow is
/// open at the target that it chose.
#[test]
fn an_instance_with_a_copy_of_the_opening_claims_no_target() {
    let mut opener = forwarder(TARGETS);
    let client = Client::new(1, FEED_PORT);
    let chosen = sent_to(client.opening(&mut opener, 1, at(200)));
    let query = FlowMessage::Query {
        flow: client.flow,
        cookie: chosen.opening_cookie(),
    };

    let answer = opener.handle_message(query, at(210));

    assert_eq!(answer, None);
}

/// Guards against taking a peer's assumption for certain: a later confirmation has to replace it.
#[test]
fn a_confirmation_replaces_an_assumption() {
    let mut client = Client::new(1, FEED_PORT);
    let (flow, assumed, confirmed) = (client.flow, TargetNumber::new(2), TargetNumber::new(3));
    client.accept_opening(assumed);
    let mut other = another_instance();
    client.send(&mut other, 100, at(0));
    let bindings = [(assumed, false), (confirmed, true), (assumed, false)];

    for (target, confirmed) in bindings {
        let binding = FlowMessage::Binding {
            flow,
            target,
            confirmed,
        };
        other.handle_message(binding, at(10));
        other.take_due(at(11));
    }

    assert_eq!(sent_to(client.resend(&mut other, 100, at(200))), confirmed);
}

/// Sends a request of two packets, of which the second one overtakes the first. Returns the action for
/// the second one, and the target that got the first one.
fn request_out_of_order(
    client: &mut Client,
    forwarder: &mut Forwarder,
    now: Millis,
) -> (Action, TargetNumber) {
    let mut second = client.clone();
    second.sent += 1_200;
    let second = second.send(forwarder, 100, now);
    let first = sent_to(client.send(forwarder, 1_200, now));
    (second, first)
}

/// Guards against an answer to a lookup that replaces the target to which the client's first packet has
/// bound the flow in the meantime (review/6): the answer may come from an instance that was frozen.
#[test]
fn an_uncertain_answer_does_not_replace_a_binding() {
    let mut forwarder = forwarder(TARGETS);
    let mut client = Client::new(1, ORDER_PORT);
    let own = sent_to(client.opening(&mut forwarder, 1, at(0)));
    client.accept_opening(own);
    let (second, first) = request_out_of_order(&mut client, &mut forwarder, at(20));

    let answer = FlowMessage::Binding {
        flow: client.flow,
        target: another_than(own),
        confirmed: false,
    };
    forwarder.handle_message(answer, at(21));

    assert_eq!((second, first), (Action::LookUp, own));
    let sent = openings(&forwarder.take_due(at(21)));
    assert_eq!(sent, [(own, own.cookie())]);
    assert_eq!(sent_to(client.resend(&mut forwarder, 100, at(230))), own);
}

/// Guards against an instance that has just read an old opening, and names its own choice although the
/// client has got the answer of another target (review/6).
#[test]
fn an_opening_is_no_answer_for_a_client_of_another_target() {
    let mut opener = forwarder(TARGETS);
    let mut client = Client::new(1, ORDER_PORT);
    let chosen = sent_to(client.opening(&mut opener, 0, at(0)));
    let accepted = another_than(chosen);
    client.accept_opening(accepted);
    let query = FlowMessage::Query {
        flow: client.flow,
        cookie: client.cookie,
    };

    let answer = opener.handle_message(query, at(10));

    assert_eq!(answer, None);
    assert_eq!(openings(&opener.take_due(at(400))), []);
}

/// Guards against packets that wait for an answer after the flow has been bound without it.
#[test]
fn a_lookup_ends_when_its_flow_is_bound() {
    let mut forwarder = forwarder(TARGETS);
    let mut client = Client::new(1, ORDER_PORT);
    let own = sent_to(client.opening(&mut forwarder, 1, at(0)));
    client.accept_opening(own);

    request_out_of_order(&mut client, &mut forwarder, at(20));

    let sent = openings(&forwarder.take_due(at(20)));
    assert_eq!(sent, [(own, own.cookie())]);
}

/// Guards against taking the last target for the flow's own when no peer answers (soak, seed 1031): the
/// client had moved to another instance and come back, and all targets had answered the opening.
#[test]
fn a_flow_that_comes_back_is_assumed_at_the_first_target() {
    let mut opener = forwarder(TARGETS);
    let (mut client, first, second) = open_at_two(&mut opener);
    client.sent += 500;
    client.receive_copy(second.opening_cookie());

    let action = client.send(&mut opener, 100, at(120));

    assert_eq!(action, Action::LookUp);
    let sent = openings(&opener.take_due(at(171)));
    assert_eq!(sent, [(first, first.cookie())]);
}

/// Guards against a target that is never told because the flow was first bound to it.
#[test]
fn a_target_that_was_assumed_wrongly_is_told() {
    let mut forwarder = forwarder(TARGETS);
    let (mut client, first, second) = open_at_two(&mut forwarder);
    client.receive_copy(second.opening_cookie());
    client.send(&mut forwarder, 100, at(100));

    client.acknowledge(&mut forwarder, 2_000, at(140));

    let sent = openings(&forwarder.take_due(at(141)));
    assert_eq!(sent, [(second, first.cookie())]);
}

/// Guards against packets that are held again after each lookup, because the flow cannot be stored.
#[test]
fn a_full_flow_table_holds_no_packet_forever() {
    let mut other = another_instance();
    let target = TargetNumber::new(2);
    for port in 0..=u16::MAX {
        for service in [FEED_PORT, ORDER_PORT, 1, 2] {
            let mut client = Client::new(port, service);
            client.accept(target);
            client.send(&mut other, 0, at(0));
        }
    }
    assert_eq!(other.gauges(at(0)).flows, FLOW_LIMIT);
    let mut client = Client::new(7, 3);
    client.accept_opening(target);

    let action = client.send(&mut other, 100, at(1));

    assert_eq!(sent_to(action), target);
    assert_eq!(openings(&other.take_due(at(100))), []);
}

/// What happens to an open flow.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A target that was tried in vain repeats its answer.
    Repeat,
    /// All instances are replaced by new ones.
    Replace,
    /// The client sends a request, and gets its answer.
    Request,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![Just(Step::Repeat), Just(Step::Replace), Just(Step::Request)]
}

proptest! {
    /// Guards against flows that depend on the memory of an instance: once the client has an answer,
    /// packets reach the flow's target through any new instance, without any peer that knows it.
    #[test]
    fn an_open_flow_outlives_all_instances(steps in prop::collection::vec(step(), 1..40)) {
        let mut instance = forwarder(TARGETS);
        let (mut client, first, second) = open_at_two(&mut instance);
        let mut repeated = second.opening_cookie();
        let mut now = at(100);
        request(&mut client, &mut instance, now);
        for step in steps {
            now = now + std::time::Duration::from_millis(100);
            for (number, cookie) in openings(&instance.take_due(now)) {
                prop_assert_eq!(number, second);
                repeated = cookie;
            }
            match step {
                Step::Repeat => client.receive_copy(repeated),
                Step::Replace => instance = another_instance(),
                Step::Request => prop_assert_eq!(request(&mut client, &mut instance, now), first),
            }
        }
    }
}
