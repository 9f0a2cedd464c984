//! Detection across instances: in a large fleet each instance sends a target only one request every
//! few seconds, so only their combined reports quickly show that it has become unreachable.

mod common;

use common::{Client, FEED_PORT, ORDER_PORT, at, forwarder, later, open_flow, sent_to, target};
use tanager_core::Incarnation;
use tanager_forward::{Action, Delta, Event, Forwarder, Tally, TargetLoad, TargetNumber};

/// Applies the outcomes that all other instances have observed on a target.
fn apply_peer_tally(forwarder: &mut Forwarder, target: TargetNumber, tally: Tally, now: u64) {
    let load = TargetLoad {
        tally,
        ..TargetLoad::default()
    };
    forwarder.apply_peer_load(target.cookie(), &load, at(now));
}

/// Outcomes reported for a target that stopped accepting packets a second ago.
const UNRESPONSIVE: Tally = Tally {
    sound: 1.5,
    failures: 0.0,
    misses: 5.0,
};

/// Outcomes reported for a target behind paths that lose one packet in ten.
const LOSSY: Tally = Tally {
    sound: 20.0,
    failures: 1.0,
    misses: 5.0,
};

/// Opens a feed and completes one request on it.
fn used_feed(forwarder: &mut Forwarder) -> (Client, TargetNumber) {
    let mut feed = open_flow(forwarder, 1, FEED_PORT, at(0));
    let target = sent_to(feed.send(forwarder, 100, at(10)));
    feed.acknowledge(forwarder, 800, at(50));
    (feed, target)
}

fn is_liveness_change(event: &Event, target: TargetNumber) -> bool {
    matches!(event, Event::Liveness(change) if change.target == target)
}

/// Returns the outcomes that an instance reports for a target.
fn reported_tally(forwarder: &mut Forwarder, target: TargetNumber, now: u64) -> Tally {
    let reports = forwarder.load_report(at(now));
    let report = reports.iter().find(|r| r.cookie == target.cookie());
    report.expect("a report").load().tally
}

/// Guards against requests that wait for a target which peers have reported as unresponsive.
#[test]
fn a_request_to_a_target_reported_as_unresponsive_is_reset_at_once() {
    let mut forwarder = forwarder(3);
    let (mut feed, unresponsive) = used_feed(&mut forwarder);
    apply_peer_tally(&mut forwarder, unresponsive, UNRESPONSIVE, 1_500);

    let action = feed.send(&mut forwarder, 100, at(1_600));

    assert!(matches!(action, Action::Reset { .. }), "{action:?}");
}

/// Guards against placing new flows on a target which peers have reported as unresponsive.
#[test]
fn new_flows_avoid_a_target_reported_as_unresponsive() {
    let mut forwarder = forwarder(2);
    let unresponsive = TargetNumber::new(1);
    apply_peer_tally(&mut forwarder, unresponsive, UNRESPONSIVE, 100);

    let placed: Vec<_> = (1..20)
        .map(|port| Client::new(port, FEED_PORT).opening(&mut forwarder, 0, at(110)))
        .map(sent_to)
        .collect();

    assert!(!placed.contains(&unresponsive), "{placed:?}");
    assert_eq!(forwarder.gauges(at(120)).lost, 1);
}

/// Guards against resetting a request that must not run twice while its answer may still arrive.
#[test]
fn orders_at_a_target_reported_as_unresponsive_continue() {
    let mut forwarder = forwarder(1);
    let mut order = open_flow(&mut forwarder, 1, ORDER_PORT, at(0));
    apply_peer_tally(&mut forwarder, TargetNumber::new(1), UNRESPONSIVE, 1_500);

    let action = order.send(&mut forwarder, 100, at(1_600));

    assert!(matches!(action, Action::Forward(_)), "{action:?}");
}

/// Guards against resetting flows of responsive targets because of packet loss.
#[test]
fn a_target_behind_lossy_paths_is_not_unresponsive() {
    let mut forwarder = forwarder(3);
    let (mut feed, target) = used_feed(&mut forwarder);
    apply_peer_tally(&mut forwarder, target, LOSSY, 1_500);

    let action = feed.send(&mut forwarder, 100, at(1_600));

    assert_eq!(sent_to(action), target);
}

/// Guards against giving older reports of peers precedence over a recent acknowledgement.
#[test]
fn a_target_that_recently_responded_is_not_unresponsive() {
    let mut forwarder = forwarder(3);
    let (mut feed, target) = used_feed(&mut forwarder);
    feed.send(&mut forwarder, 100, at(1_400));
    feed.acknowledge(&mut forwarder, 800, at(1_450));
    apply_peer_tally(&mut forwarder, target, UNRESPONSIVE, 1_500);

    let action = feed.send(&mut forwarder, 100, at(1_600));

    assert_eq!(sent_to(action), target);
}

/// Guards against liveness that changes with each beacon because reports decay between beacons.
#[test]
fn an_unresponsive_target_stays_lost_while_reports_decay_and_are_renewed() {
    let mut forwarder = forwarder(3);
    let (_, unresponsive) = used_feed(&mut forwarder);
    let tally = |misses| Tally {
        misses,
        ..Tally::default()
    };

    let mut changes = 0;
    for (i, misses) in [2.2, 1.9, 2.1, 1.8, 2.0].into_iter().enumerate() {
        let now = 1_500 + 400 * u64::try_from(i).expect("a small number");
        apply_peer_tally(&mut forwarder, unresponsive, tally(misses), now);
        for time in [now + 10, now + 390] {
            let events = forwarder.take_events(at(time));
            changes += events
                .iter()
                .filter(|e| is_liveness_change(e, unresponsive))
                .count();
        }
    }

    assert_eq!(changes, 1, "{changes} changes of liveness");
}

/// Guards against avoiding a target after its path has recovered, when reports have expired.
#[test]
fn an_unresponsive_target_gets_requests_again_when_reports_have_expired() {
    let mut forwarder = forwarder(3);
    let (mut feed, unresponsive) = used_feed(&mut forwarder);
    apply_peer_tally(&mut forwarder, unresponsive, UNRESPONSIVE, 1_500);

    let action = feed.send(&mut forwarder, 100, at(4_600));

    assert_eq!(sent_to(action), unresponsive);
}

/// Guards against applying the observations of a former incarnation to a restarted target.
#[test]
fn a_restarted_target_is_not_unresponsive() {
    let mut forwarder = forwarder(3);
    let (mut feed, unresponsive) = used_feed(&mut forwarder);
    apply_peer_tally(&mut forwarder, unresponsive, UNRESPONSIVE, 1_500);
    let mut restarted = target(unresponsive.get(), "feeds", "a");
    restarted.incarnation = Incarnation::new(2);
    let delta = Delta {
        revision: later(1),
        whole: false,
        changes: vec![common::published(restarted, later(1))],
        routes: None,
        evacuations: Vec::new(),
    };

    forwarder.merge(delta, at(1_550));

    assert_eq!(
        sent_to(feed.send(&mut forwarder, 100, at(1_600))),
        unresponsive
    );
}

/// Guards against not reporting to peers that a target did not accept a request, and against
/// reporting it again for each retransmission.
#[test]
fn a_retransmitted_request_is_reported_to_peers_once() {
    let mut forwarder = forwarder(3);
    let (mut feed, unresponsive) = used_feed(&mut forwarder);
    feed.send(&mut forwarder, 100, at(1_000));
    open_flow(&mut forwarder, 9, ORDER_PORT, at(1_100));
    feed.resend(&mut forwarder, 100, at(1_200));
    feed.resend(&mut forwarder, 100, at(1_600));

    let tally = reported_tally(&mut forwarder, unresponsive, 1_600);

    assert!((0.7..=1.0).contains(&tally.misses), "{tally:?}");
}

/// Lets clients repeat requests that were sent to a target from 1,000 ms on, until peers would take it for
/// unresponsive.
fn make_unresponsive(forwarder: &mut Forwarder) -> (Client, TargetNumber) {
    let (feed, unresponsive) = used_feed(forwarder);
    let feeds = (100..200).map(|port| open_flow(forwarder, port, FEED_PORT, at(900)));
    let mut feeds: Vec<_> = feeds
        .filter(|f| f.cookie == unresponsive.cookie())
        .take(6)
        .collect();
    for feed in &mut feeds {
        feed.send(forwarder, 100, at(1_000));
    }
    open_flow(forwarder, 9, ORDER_PORT, at(1_100));
    for feed in &feeds {
        feed.resend(forwarder, 100, at(1_200));
    }
    (feed, unresponsive)
}

/// Guards against resets of flows whose target is back (review/7): nothing has been sent to it since it
/// was cut off, so what is known describes a time that is past.
#[test]
fn misses_lapse_when_no_packet_has_been_missed_since() {
    let mut forwarder = forwarder(3);
    let (mut feed, unresponsive) = make_unresponsive(&mut forwarder);

    let early = reported_tally(&mut forwarder, unresponsive, 2_900);
    let late = reported_tally(&mut forwarder, unresponsive, 3_100);
    let action = feed.send(&mut forwarder, 100, at(4_100));

    assert!(early.misses >= 2.0, "{early:?}");
    assert!(late.misses < f64::EPSILON, "{late:?}");
    assert_eq!(sent_to(action), unresponsive);
}

/// Guards against counting a miss from the client's repetition: what was lost is the packet before it,
/// and a repetition may come more than a second after that.
#[test]
fn a_miss_is_as_old_as_the_packet_that_was_missed() {
    let mut forwarder = forwarder(3);
    let (mut feed, missed) = used_feed(&mut forwarder);
    feed.send(&mut forwarder, 100, at(1_000));
    open_flow(&mut forwarder, 9, ORDER_PORT, at(2_400));
    feed.resend(&mut forwarder, 100, at(2_600));

    let tally = reported_tally(&mut forwarder, missed, 3_100);

    assert!(tally.misses < f64::EPSILON, "{tally:?}");
}

/// Guards against taking a target for recovered while packets to it go on being missed.
#[test]
fn misses_last_while_packets_are_missed() {
    let mut forwarder = forwarder(3);
    let mut orders: Vec<_> = (300..330)
        .map(|port| open_flow(&mut forwarder, port, ORDER_PORT, at(0)))
        .collect();
    let (_, unresponsive) = make_unresponsive(&mut forwarder);
    let order = orders
        .iter_mut()
        .find(|f| f.cookie == unresponsive.cookie())
        .expect("an order at the target");
    order.send(&mut forwarder, 100, at(2_500));
    open_flow(&mut forwarder, 10, ORDER_PORT, at(2_600));
    order.resend(&mut forwarder, 100, at(2_700));

    let tally = reported_tally(&mut forwarder, unresponsive, 4_000);

    assert!(tally.misses >= 2.0, "{tally:?}");
}

/// Guards against attributing a fault of this instance's own path to a target.
#[test]
fn an_instance_without_responses_reports_no_misses() {
    let mut forwarder = forwarder(3);
    let (mut feed, unresponsive) = used_feed(&mut forwarder);
    feed.send(&mut forwarder, 100, at(1_000));
    feed.resend(&mut forwarder, 100, at(1_200));

    let tally = reported_tally(&mut forwarder, unresponsive, 1_200);

    assert!(tally.misses < f64::EPSILON, "{tally:?}");
}

/// Guards against treating a target at capacity as unresponsive. It answers no opening packets,
/// while its open flows work.
#[test]
fn an_opening_that_another_target_answers_is_no_miss() {
    let mut forwarder = forwarder(2);
    let mut client = Client::new(1, FEED_PORT);
    let full = sent_to(client.opening(&mut forwarder, 0, at(0)));
    let due = forwarder.take_due(at(200));
    let other = sent_to(due[0].action);
    client.accept(other);

    client.acknowledge(&mut forwarder, 0, at(210));

    let reports = forwarder.load_report(at(210));
    let missed = reports.iter().any(|r| r.load().tally.misses > 0.0);
    assert!(!missed, "{full} of {reports:?}");
}
