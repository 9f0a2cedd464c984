//! Pattern: a target takes packets and reports itself healthy, but fails requests: it answers
//! with short errors, never answers, or drops the flow.

mod common;

use std::collections::VecDeque;

use common::{Client, FEED_PORT, ORDER_PORT, at, flow, forwarder, open_flow, sent_to};
use tanager_forward::{Action, Event, Forwarder, Tally, TargetLoad, TargetNumber};

/// Length of a usual answer.
const ANSWER: u32 = 800;
/// Length of an error.
const ERROR: u32 = 180;
/// The target that fails.
const FAILING: TargetNumber = TargetNumber::new(1);

/// How the failing target treats a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Failure {
    /// It answers with an error.
    Error,
    /// It never answers, and the client leaves at its deadline.
    Hang,
    /// It drops the flow, so the client says nothing more here.
    Drop,
}

/// Sends one order on a flow of its own. Returns its target.
fn order(forwarder: &mut Forwarder, port: u16, failure: Option<Failure>, now: u64) -> TargetNumber {
    let mut client = open_flow(forwarder, port, ORDER_PORT, at(now));
    let target = TargetNumber::new(u64::from(client.cookie.get()));
    client.send(forwarder, 900, at(now));
    match failure.filter(|_| target == FAILING) {
        None => client.received += ANSWER,
        Some(Failure::Error) => client.received += ERROR,
        Some(Failure::Hang) => {}
        Some(Failure::Drop) => return target,
    }
    client.finish(forwarder, at(now + 30));
    target
}

/// Sends orders 10 ms apart, and returns how many of them the failing target got.
fn orders(forwarder: &mut Forwarder, count: u16, failure: Option<Failure>, from: u64) -> usize {
    let mut failed = 0;
    for i in 0..count {
        let now = from + 10 * u64::from(i);
        // Each order comes from a port of its own.
        let port = 1_000 + u16::try_from(now / 10).expect("a port");
        let target = order(forwarder, port, failure, now);
        failed += usize::from(target == FAILING);
        forwarder.take_due(at(now));
    }
    forwarder.sweep(at(from + 10 * u64::from(count)));
    failed
}

/// Returns an instance with four targets that knows how long answers usually are.
fn experienced() -> Forwarder {
    let mut forwarder = forwarder(4);
    orders(&mut forwarder, 40, None, 0);
    forwarder
}

/// Guards against confirmations lost one after the other at a target that answers with errors:
/// it looks idle, because errors come fast, and draws new work.
#[test]
fn a_target_that_answers_with_errors_gets_few_orders() {
    let mut forwarder = experienced();

    let failed = orders(&mut forwarder, 200, Some(Failure::Error), 1_000);

    assert!(failed <= 10, "{failed} of 200 orders failed");
}

/// Guards against new work at a target whose clients leave without an answer.
#[test]
fn a_target_that_never_answers_gets_few_orders() {
    let mut forwarder = experienced();

    let failed = orders(&mut forwarder, 200, Some(Failure::Hang), 1_000);

    assert!(failed <= 10, "{failed} of 200 orders failed");
}

/// Guards against a target that drops flows: their clients send nothing that tells of it.
#[test]
fn a_target_that_drops_flows_gets_no_orders_after_a_while() {
    let mut forwarder = experienced();
    orders(&mut forwarder, 90, Some(Failure::Drop), 1_000);

    let failed = orders(&mut forwarder, 50, Some(Failure::Drop), 2_600);

    assert!(failed <= 2, "{failed} of 50 orders failed");
}

/// Guards against new work at a target that is several times slower than the others, which looks
/// as loaded as they are while its queue grows.
#[test]
fn a_target_that_answers_after_half_a_second_gets_few_orders() {
    let mut forwarder = experienced();
    let mut waiting = VecDeque::new();
    let mut slow = 0;
    for i in 0..200 {
        let now = 1_000 + 10 * u64::from(i);
        while let Some((_, mut client)) = waiting.pop_front_if(|(due, _)| *due <= now) {
            let client: &mut Client = &mut client;
            client.received += ANSWER;
            client.finish(&mut forwarder, at(now));
        }
        let mut client = open_flow(&mut forwarder, 5_000 + i, ORDER_PORT, at(now));
        client.send(&mut forwarder, 900, at(now));
        if client.cookie == FAILING.cookie() {
            slow += 1;
            waiting.push_back((now + 500, client));
        } else {
            client.received += ANSWER;
            client.finish(&mut forwarder, at(now + 5));
        }
        forwarder.take_due(at(now));
    }

    // An even share is 50.
    assert!(slow <= 10, "{slow} of 200 orders at the slow target");
}

/// Guards against taking the usual short answers of a route for errors.
#[test]
fn short_answers_are_no_failures_where_they_are_usual() {
    let mut forwarder = forwarder(4);
    for i in 0..200 {
        let now = 10 * u64::from(i);
        let mut client = open_flow(&mut forwarder, 1_000 + i, ORDER_PORT, at(now));
        client.send(&mut forwarder, 900, at(now));
        client.received += ERROR;
        client.finish(&mut forwarder, at(now + 30));
    }

    forwarder.sweep(at(2_000));

    assert_eq!(forwarder.gauges(at(2_000)).failing, 0);
}

/// Guards against taking a small file for an error: sizes of downloads differ a hundredfold.
#[test]
fn small_downloads_are_no_failures() {
    let mut forwarder = forwarder(4);
    for i in 0..200 {
        let now = 10 * u64::from(i);
        let mut client = open_flow(&mut forwarder, 1_000 + i, FEED_PORT, at(now));
        client.send(&mut forwarder, 200, at(now));
        client.received += if i % 4 == 3 { 3_000 } else { 40_000 };
        client.finish(&mut forwarder, at(now + 30));
    }

    forwarder.sweep(at(2_000));

    assert_eq!(forwarder.gauges(at(2_000)).failing, 0);
}

/// Guards against an answer in several parts that counts as several short ones, and against
/// judging feeds by the answers of orders.
#[test]
fn answers_of_a_feed_are_judged_as_a_whole() {
    let mut forwarder = experienced();
    let mut feed = open_flow(&mut forwarder, 1, FEED_PORT, at(500));
    for i in 0..40 {
        let now = 500 + 50 * i;
        feed.send(&mut forwarder, 200, at(now));
        for part in 1..=5 {
            feed.acknowledge(&mut forwarder, 60, at(now + part));
        }
    }

    forwarder.sweep(at(2_600));

    assert_eq!(forwarder.gauges(at(2_600)).failing, 0);
}

/// Guards against each instance having to lose requests of its own to a failing target: an
/// instance of a large fleet sends it one request in some seconds.
#[test]
fn an_instance_avoids_targets_that_fail_at_others() {
    let mut forwarder = forwarder(4);
    let heard = TargetLoad {
        tally: Tally {
            sound: 0.0,
            failures: 6.0,
            ..Tally::default()
        },
        ..TargetLoad::default()
    };
    forwarder.apply_peer_load(FAILING.cookie(), &heard, at(0));

    let failed = orders(&mut forwarder, 50, None, 10);

    assert_eq!(failed, 0);
}

/// Guards against refusing work when all targets fail: some of it may still be done.
#[test]
fn new_flows_are_placed_when_all_targets_fail() {
    let mut forwarder = forwarder(1);
    orders(&mut forwarder, 40, None, 0);
    orders(&mut forwarder, 20, Some(Failure::Error), 1_000);

    let action = Client::new(9, ORDER_PORT).opening(&mut forwarder, 0, at(1_300));

    assert_eq!(sent_to(action), FAILING);
}

/// Guards against a target that never gets work again after it has failed.
#[test]
fn a_target_that_failed_gets_work_again() {
    let mut forwarder = experienced();
    orders(&mut forwarder, 50, Some(Failure::Error), 1_000);

    let placed = orders(&mut forwarder, 50, None, 16_000);

    assert!(
        placed >= 5,
        "{placed} of 50 orders at a target that is back"
    );
}

/// Guards against taking a cut path for failures: the target would be avoided after the cut.
#[test]
fn requests_that_clients_repeat_are_no_failures() {
    let mut forwarder = experienced();
    for i in 0..10 {
        let mut client = open_flow(&mut forwarder, 3_000 + i, ORDER_PORT, at(1_000));
        client.send(&mut forwarder, 900, at(1_000));
        client.resend(&mut forwarder, 900, at(1_200));
        client.finish(&mut forwarder, at(2_200));
    }

    forwarder.sweep(at(2_210));

    assert_eq!(forwarder.gauges(at(2_210)).failing, 0);
}

/// Guards against a belief that no log line tells of.
#[test]
fn a_failing_target_is_logged_once() {
    let mut forwarder = experienced();
    orders(&mut forwarder, 60, Some(Failure::Error), 1_000);
    forwarder.sweep(at(1_700));

    let events = forwarder.take_events(at(1_700));

    let told = |e: &&Event| matches!(e, Event::Health(c) if c.target == FAILING && c.failing);
    assert_eq!(events.iter().filter(told).count(), 1);
}

/// Guards against counting a client that ends an idle flow as a failure.
#[test]
fn ending_a_flow_without_a_request_is_no_failure() {
    let mut forwarder = experienced();
    for port in 4_000..4_020 {
        let client = open_flow(&mut forwarder, port, ORDER_PORT, at(1_000));
        let action = client.finish(&mut forwarder, at(1_010));
        assert!(matches!(action, Action::Forward(_)), "{:?}", flow(port, 1));
    }

    forwarder.sweep(at(1_020));

    assert_eq!(forwarder.gauges(at(1_020)).failing, 0);
}
