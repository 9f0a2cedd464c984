//! Simultaneous restart: all instances restart while clients keep flows open and continue to send.

mod common;

use common::{FEED_PORT, at, forwarder, later, open_flow, removed, routes, sent_to, zone};
use tanager_forward::{Action, Forwarder, TargetNumber, ViewVersion};

/// Guards against dropping packets that arrive between the start and the first read. Clients
/// retransmit them up to 1.6 s later; this affected 66 to 77 packets after the last fault.
#[test]
fn packets_before_the_first_view_are_held_and_sent() {
    let mut before = forwarder(2);
    let mut feed = open_flow(&mut before, 1, FEED_PORT, at(0));
    let target = TargetNumber::new(u64::from(feed.cookie.get()));
    let mut started = Forwarder::new(zone("a"), 1);

    let first = feed.send(&mut started, 100, at(1_000));
    let opening = common::Client::new(2, FEED_PORT).opening(&mut started, 0, at(1_000));
    started.merge(before.view().delta(ViewVersion::default()), at(1_050));
    let due = started.take_due(at(1_050));

    assert_eq!((first, opening), (Action::Wait, Action::Wait));
    let sent: Vec<_> = due.iter().map(|d| sent_to(d.action)).collect();
    assert_eq!(sent.len(), 2);
    assert_eq!(sent[0], target);
}

/// Guards against holding packets forever for a target that is never published.
#[test]
fn packets_of_unknown_targets_are_held_for_a_bounded_time() {
    let mut forwarder = forwarder(1);
    let mut feed = common::Client::new(1, FEED_PORT);
    feed.accept(TargetNumber::new(77));

    let action = feed.send(&mut forwarder, 100, at(0));
    let due = forwarder.take_due(at(500));
    let events = forwarder.take_events(at(500));

    assert_eq!(action, Action::Wait);
    assert!(due.is_empty());
    let dropped = |e: &tanager_forward::Event| matches!(e, tanager_forward::Event::Dropped { .. });
    assert!(events.iter().any(dropped), "{events:?}");
}

/// Guards against losing flows of targets that were removed before the start but still answer.
#[test]
fn a_peer_sends_recently_removed_targets() {
    let mut peer = forwarder(2);
    peer.apply(removed(2, later(1)), at(500));
    let mut started = Forwarder::new(zone("a"), 1);
    started.apply_routes(routes(1));
    let mut feed = common::Client::new(1, FEED_PORT);
    feed.accept(TargetNumber::new(2));

    started.merge(peer.view().delta(ViewVersion::default()), at(1_000));
    let action = feed.send(&mut started, 100, at(1_010));

    assert_eq!(sent_to(action), TargetNumber::new(2));
    assert_eq!(started.gauges(at(1_010)).targets, 1);
}
