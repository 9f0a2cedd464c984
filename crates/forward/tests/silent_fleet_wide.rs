//! Pattern: a target vanishes from a large fleet, where each instance sends it one request in some
//! seconds, so that only all instances together see soon that it is silent.

mod common;

use common::{Client, FEED_PORT, ORDER_PORT, REVISION, at, forwarder, open_flow, sent_to, target};
use tanager_core::Incarnation;
use tanager_forward::{Action, Delta, Event, Forwarder, Tally, TargetLoad, TargetNumber};

/// Tells an instance what all others have seen of a target.
fn hear(forwarder: &mut Forwarder, target: TargetNumber, tally: Tally, now: u64) {
    let load = TargetLoad {
        tally,
        ..TargetLoad::default()
    };
    forwarder.apply_peer_load(target.cookie(), &load, at(now));
}

/// What all others see of a target that stopped taking packets a second ago.
const SILENT: Tally = Tally {
    sound: 1.5,
    failures: 0.0,
    misses: 5.0,
};

/// What all others see of a target behind paths that lose one packet in ten.
const LOSSY: Tally = Tally {
    sound: 20.0,
    failures: 1.0,
    misses: 5.0,
};

/// Opens a feed and lets one request pass well.
fn used_feed(forwarder: &mut Forwarder) -> (Client, TargetNumber) {
    let mut feed = open_flow(forwarder, 1, FEED_PORT, at(0));
    let target = sent_to(feed.send(forwarder, 100, at(10)));
    feed.acknowledge(forwarder, 800, at(50));
    (feed, target)
}

fn is_standing(event: &Event, target: TargetNumber) -> bool {
    matches!(event, Event::Liveness(change) if change.target == target)
}

/// Returns what an instance tells of a target.
fn told(forwarder: &mut Forwarder, target: TargetNumber, now: u64) -> Tally {
    let reports = forwarder.load_report(at(now));
    let report = reports.iter().find(|r| r.cookie == target.cookie());
    report.expect("a report").load().tally
}

/// Guards against requests that wait for a target which others know to be silent.
#[test]
fn a_request_to_a_target_that_is_silent_to_others_is_reset_at_once() {
    let mut forwarder = forwarder(3);
    let (mut feed, silent) = used_feed(&mut forwarder);
    hear(&mut forwarder, silent, SILENT, 1_500);

    let action = feed.send(&mut forwarder, 100, at(1_600));

    assert!(matches!(action, Action::Reset { .. }), "{action:?}");
}

/// Guards against new flows at a target which others know to be silent.
#[test]
fn new_flows_avoid_a_target_that_is_silent_to_others() {
    let mut forwarder = forwarder(2);
    let silent = TargetNumber::new(1);
    hear(&mut forwarder, silent, SILENT, 100);

    let placed: Vec<_> = (1..20)
        .map(|port| Client::new(port, FEED_PORT).opening(&mut forwarder, 0, at(110)))
        .map(sent_to)
        .collect();

    assert!(!placed.contains(&silent), "{placed:?}");
    assert_eq!(forwarder.gauges(at(120)).lost, 1);
}

/// Guards against ending a request that must not run twice while its answer may still come.
#[test]
fn orders_at_a_target_that_is_silent_to_others_go_on() {
    let mut forwarder = forwarder(1);
    let mut order = open_flow(&mut forwarder, 1, ORDER_PORT, at(0));
    hear(&mut forwarder, TargetNumber::new(1), SILENT, 1_500);

    let action = order.send(&mut forwarder, 100, at(1_600));

    assert!(matches!(action, Action::Forward(_)), "{action:?}");
}

/// Guards against resetting flows of living targets because packets are lost on their way.
#[test]
fn a_target_behind_lossy_paths_is_not_taken_for_silent() {
    let mut forwarder = forwarder(3);
    let (mut feed, target) = used_feed(&mut forwarder);
    hear(&mut forwarder, target, LOSSY, 1_500);

    let action = feed.send(&mut forwarder, 100, at(1_600));

    assert_eq!(sent_to(action), target);
}

/// Guards against believing old reports of others more than a client's own acknowledgement.
#[test]
fn a_target_that_answered_here_lately_is_not_taken_for_silent() {
    let mut forwarder = forwarder(3);
    let (mut feed, target) = used_feed(&mut forwarder);
    feed.send(&mut forwarder, 100, at(1_400));
    feed.acknowledge(&mut forwarder, 800, at(1_450));
    hear(&mut forwarder, target, SILENT, 1_500);

    let action = feed.send(&mut forwarder, 100, at(1_600));

    assert_eq!(sent_to(action), target);
}

/// Guards against a belief that changes with each beacon while reports fade between them.
#[test]
fn a_silent_target_stays_lost_while_reports_fade_and_are_renewed() {
    let mut forwarder = forwarder(3);
    let (_, silent) = used_feed(&mut forwarder);
    let around = |misses| Tally {
        misses,
        ..Tally::default()
    };

    let mut told = 0;
    for (i, misses) in [2.2, 1.9, 2.1, 1.8, 2.0].into_iter().enumerate() {
        let now = 1_500 + 400 * u64::try_from(i).expect("a small number");
        hear(&mut forwarder, silent, around(misses), now);
        for time in [now + 10, now + 390] {
            let events = forwarder.take_events(at(time));
            told += events.iter().filter(|e| is_standing(e, silent)).count();
        }
    }

    assert_eq!(told, 1, "{told} changes of what is believed");
}

/// Guards against a target that gets nothing again after its path is back: reports fade.
#[test]
fn a_silent_target_gets_requests_again_when_reports_have_faded() {
    let mut forwarder = forwarder(3);
    let (mut feed, silent) = used_feed(&mut forwarder);
    hear(&mut forwarder, silent, SILENT, 1_500);

    let action = feed.send(&mut forwarder, 100, at(4_600));

    assert_eq!(sent_to(action), silent);
}

/// Guards against judging a restarted target by its former life.
#[test]
fn a_restarted_target_is_not_taken_for_silent() {
    let mut forwarder = forwarder(3);
    let (mut feed, silent) = used_feed(&mut forwarder);
    hear(&mut forwarder, silent, SILENT, 1_500);
    let mut again = target(silent.get(), "feeds", "a");
    again.incarnation = Incarnation::new(2);
    let delta = Delta {
        revision: REVISION + 1,
        whole: false,
        changes: vec![common::published(again, REVISION + 1)],
        routes: None,
    };

    forwarder.merge(delta, at(1_550));

    assert_eq!(sent_to(feed.send(&mut forwarder, 100, at(1_600))), silent);
}

/// Guards against keeping to oneself that a target does not take a request, and against telling
/// it once for each repetition.
#[test]
fn a_repeated_request_is_told_to_others_once() {
    let mut forwarder = forwarder(3);
    let (mut feed, silent) = used_feed(&mut forwarder);
    feed.send(&mut forwarder, 100, at(1_000));
    open_flow(&mut forwarder, 9, ORDER_PORT, at(1_100));
    feed.resend(&mut forwarder, 100, at(1_200));
    feed.resend(&mut forwarder, 100, at(1_600));

    let tally = told(&mut forwarder, silent, 1_600);

    assert!((0.7..=1.0).contains(&tally.misses), "{tally:?}");
}

/// Guards against blaming targets for this instance's own path: it hears none of them.
#[test]
fn an_instance_that_hears_no_target_tells_of_no_misses() {
    let mut forwarder = forwarder(3);
    let (mut feed, silent) = used_feed(&mut forwarder);
    feed.send(&mut forwarder, 100, at(1_000));
    feed.resend(&mut forwarder, 100, at(1_200));

    let tally = told(&mut forwarder, silent, 1_200);

    assert!(tally.misses < f64::EPSILON, "{tally:?}");
}

/// Guards against taking a target that is full for silent: it answers no opening packet, while
/// its open flows do well.
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
