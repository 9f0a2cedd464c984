//! Pattern: routers send a client's packets to another instance between two packets of a flow,
//! because an instance joined or left the rotation.

mod common;

use common::{Client, FEED_PORT, at, forwarder, open_flow, sent_to};
use tanager_forward::{Action, Event, Liveness};

fn standings(events: &[Event]) -> Vec<Liveness> {
    let standing = |e: &Event| match e {
        Event::Liveness(change) => Some(change.liveness),
        _ => None,
    };
    events.iter().filter_map(standing).collect()
}

/// Guards against taking targets as lost whose clients acknowledged through another instance,
/// which reset sound flows.
#[test]
fn openings_that_go_on_elsewhere_reset_no_flow() {
    let mut forwarder = forwarder(1);
    let mut feed = open_flow(&mut forwarder, 1, FEED_PORT, at(0));
    feed.send(&mut forwarder, 100, at(10));
    feed.acknowledge(&mut forwarder, 2_000, at(40));
    for i in 0..5 {
        Client::new(100 + i, FEED_PORT).opening(&mut forwarder, 0, at(100 + 20 * u64::from(i)));
        forwarder.take_due(at(180 + 20 * u64::from(i)));
    }

    let action = feed.send(&mut forwarder, 100, at(700));

    assert!(matches!(action, Action::Forward(_)), "{action:?}");
    let standings = standings(&forwarder.take_events(at(700)));
    assert!(!standings.contains(&Liveness::Lost), "{standings:?}");
}

/// Guards against avoiding sound targets because one client has gone elsewhere.
#[test]
fn a_client_that_no_target_reaches_is_no_evidence_against_targets() {
    let mut forwarder = forwarder(4);
    Client::new(1, FEED_PORT).opening(&mut forwarder, 0, at(0));
    for round in 1..5 {
        forwarder.take_due(at(round * 75));
    }

    let gauges = forwarder.gauges(at(400));

    assert_eq!((gauges.suspect, gauges.lost), (0, 0));
}

/// Guards against avoiding a target for good after one unanswered opening when it has no flows
/// that could show life.
#[test]
fn doubt_about_a_target_ends() {
    let mut forwarder = forwarder(2);
    let silent = sent_to(Client::new(1, FEED_PORT).opening(&mut forwarder, 0, at(0)));
    let sends = forwarder.take_due(at(75));
    assert_eq!(sends.len(), 1);
    assert_ne!(common::sent_to(sends[0].action), silent);

    let gauges = forwarder.gauges(at(100));
    let later = forwarder.gauges(at(4_000));

    assert_eq!(gauges.suspect, 1);
    assert_eq!(later.suspect, 0);
}
