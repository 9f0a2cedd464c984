//! Abandoned openings: clients open flows that no target answers, and leave.

mod common;

use common::{Client, FEED_PORT, at, forwarder};

/// Slightly more openings than an instance stores.
const OPENINGS: u16 = 20_100;

/// Guards against openings that are stored forever. Once the limit was reached by unanswered ones,
/// no unresponsive target was replaced any more.
#[test]
fn unresponsive_targets_are_replaced_after_many_abandoned_openings() {
    let mut forwarder = forwarder(3);
    for port in 0..OPENINGS {
        Client::new(port, FEED_PORT).opening(&mut forwarder, 0, at(0));
    }
    for round in 1..5 {
        forwarder.take_due(at(100 * round));
    }
    forwarder.sweep(at(60_000));

    Client::new(40_000, FEED_PORT).opening(&mut forwarder, 0, at(60_010));
    let due = forwarder.take_due(at(60_100));

    assert_eq!(due.len(), 1, "the unresponsive target is not replaced");
}

/// Guards against an instance that was paused and then sends old openings to further targets, whose
/// answers the clients do not expect any more, and suspects the first ones.
#[test]
fn openings_from_before_a_pause_are_not_sent_again() {
    let mut forwarder = forwarder(3);
    Client::new(1, FEED_PORT).opening(&mut forwarder, 0, at(0));

    let due = forwarder.take_due(at(2_000));
    let gauges = forwarder.gauges(at(2_000));

    assert!(due.is_empty(), "{due:?}");
    assert_eq!(gauges.suspect, 0);
}
