//! How long a request counts as load of its target.

mod common;

use common::{Client, FEED_PORT, at, forwarder, open_flow};
use tanager_forward::Forwarder;

/// Sends requests on one flow that are answered after `answer_ms` each.
fn train(forwarder: &mut Forwarder, client: &mut Client, answer_ms: u64) -> u64 {
    let mut now = 0;
    for _ in 0..20 {
        client.send(forwarder, 100, at(now));
        client.acknowledge(forwarder, 2_000, at(now + answer_ms));
        now += answer_ms + 10;
    }
    now
}

fn waiting(forwarder: &mut Forwarder, at_ms: u64) -> usize {
    forwarder.sweep(at(at_ms));
    forwarder.gauges(at(at_ms)).waiting
}

/// Guards against targets with full queues that look idle: a request counted for 150 ms only,
/// however long its route's answers take.
#[test]
fn a_request_of_a_slow_route_counts_while_its_answer_is_usual() {
    let mut forwarder = forwarder(1);
    let mut client = open_flow(&mut forwarder, 1, FEED_PORT, at(0));
    let now = train(&mut forwarder, &mut client, 400);

    client.send(&mut forwarder, 100, at(now));

    assert_eq!(waiting(&mut forwarder, now + 380), 1);
}

/// Guards against requests that count for ever because their client has left, or acknowledges an
/// answer only with its next request.
#[test]
fn a_request_without_an_acknowledgement_counts_for_a_second_at_most() {
    let mut forwarder = forwarder(1);
    let mut client = open_flow(&mut forwarder, 1, FEED_PORT, at(0));
    let now = train(&mut forwarder, &mut client, 3_000);

    client.send(&mut forwarder, 100, at(now));

    assert_eq!(waiting(&mut forwarder, now + 1_000), 0);
}

/// Guards against one long answer time for all routes: a lost answer of a fast route would then
/// count as load for long.
#[test]
fn a_request_of_a_fast_route_stops_counting_soon() {
    let mut forwarder = forwarder(1);
    let mut client = open_flow(&mut forwarder, 1, FEED_PORT, at(0));
    let now = train(&mut forwarder, &mut client, 20);

    client.send(&mut forwarder, 100, at(now));

    assert_eq!(waiting(&mut forwarder, now + 149), 1);
    assert_eq!(waiting(&mut forwarder, now + 150), 0);
}
