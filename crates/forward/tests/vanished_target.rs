//! Crash or partition: a target becomes unreachable while its published entry stays, and may
//! recover.

mod common;

use common::{Client, FEED_PORT, ORDER_PORT, at, forwarder, later, open_flow, published, removed};
use common::{sent_to, target};
use tanager_core::Incarnation;
use tanager_forward::{Action, Delta, DueAction, Event, Forwarder, ResetReason, TargetNumber};

/// Opens feeds until two are at the same target, and returns these.
fn two_feeds(forwarder: &mut Forwarder) -> (Client, Client, TargetNumber) {
    let mut feeds: Vec<Client> = Vec::new();
    for port in 1..20 {
        let feed = open_flow(forwarder, port, FEED_PORT, at(0));
        if let Some(other) = feeds.iter().find(|f| f.cookie == feed.cookie) {
            let number = TargetNumber::new(u64::from(feed.cookie.get()));
            return (other.clone(), feed, number);
        }
        feeds.push(feed);
    }
    panic!("20 feeds at different targets");
}

/// Opens flows until one satisfies `wanted`.
fn open_flow_where(
    forwarder: &mut Forwarder,
    port: u16,
    wanted: impl Fn(&Client) -> bool,
) -> Client {
    (1_000..1_100)
        .map(|client_port| open_flow(forwarder, client_port, port, at(0)))
        .find(wanted)
        .expect("a flow at a wanted target")
}

/// Leaves the requests of both feeds unanswered until their target counts as lost, at 500 ms.
fn make_lost(forwarder: &mut Forwarder, one: &mut Client, two: &mut Client) {
    one.send(forwarder, 100, at(100));
    two.send(forwarder, 100, at(110));
    // Another target answers, so this instance is not isolated.
    let mut other = open_flow(forwarder, 900, ORDER_PORT, at(290));
    one.resend(forwarder, 100, at(300));
    two.resend(forwarder, 100, at(310));
    other.send(forwarder, 100, at(450));
    other.acknowledge(forwarder, 100, at(480));
}

/// Guards against clients that wait for an unreachable target until their deadline.
#[test]
fn idempotent_requests_to_a_lost_target_are_reset() {
    let mut forwarder = forwarder(3);
    let (mut one, mut two, _) = two_feeds(&mut forwarder);
    make_lost(&mut forwarder, &mut one, &mut two);

    let action = one.resend(&mut forwarder, 100, at(700));

    assert_eq!(
        action,
        Action::Reset {
            sequence: one.received
        }
    );
}

/// Guards against resetting a waiting flow only at the client's next retransmission although its
/// target is lost. The third one is sent after 1.4 s, past the deadline of some requests.
#[test]
fn requests_that_wait_for_a_lost_target_are_reset_without_another_packet() {
    let mut forwarder = forwarder(3);
    let (mut one, mut two, _) = two_feeds(&mut forwarder);
    make_lost(&mut forwarder, &mut one, &mut two);

    let due = forwarder.take_due(at(520));

    let resets = |feed: &Client| {
        let sequence = feed.received;
        let ended = |d: &&DueAction| d.flow == feed.flow && d.action == Action::Reset { sequence };
        due.iter().filter(ended).count()
    };
    assert_eq!((resets(&one), resets(&two)), (1, 1), "{due:?}");
}

/// Guards against clients that wait until their deadline because the target had accepted their
/// request before it became unreachable, so that they do not retransmit it.
#[test]
fn a_request_that_a_lost_target_had_accepted_is_reset() {
    let mut forwarder = forwarder(3);
    let (mut one, mut two, _) = two_feeds(&mut forwarder);
    let cookie = one.cookie;
    let mut accepted = open_flow_where(&mut forwarder, FEED_PORT, |f| f.cookie == cookie);
    accepted.send(&mut forwarder, 100, at(90));
    make_lost(&mut forwarder, &mut one, &mut two);

    let due = forwarder.take_due(at(520));

    assert!(due.iter().any(|d| d.flow == accepted.flow), "{due:?}");
}

/// Guards against resetting idle flows, requests that have just been sent, and requests that must
/// not run twice.
#[test]
fn other_flows_of_a_lost_target_continue() {
    let mut forwarder = forwarder(3);
    let (mut one, mut two, _) = two_feeds(&mut forwarder);
    let cookie = one.cookie;
    let mut recent = open_flow_where(&mut forwarder, FEED_PORT, |f| f.cookie == cookie);
    let mut order = open_flow_where(&mut forwarder, ORDER_PORT, |f| f.cookie == cookie);
    order.send(&mut forwarder, 100, at(90));
    order.resend(&mut forwarder, 100, at(290));
    make_lost(&mut forwarder, &mut one, &mut two);
    recent.send(&mut forwarder, 100, at(490));

    let due = forwarder.take_due(at(520));

    let ended: Vec<_> = due.iter().map(|d| d.flow).collect();
    assert!(!ended.contains(&recent.flow), "{due:?}");
    assert!(!ended.contains(&order.flow), "{due:?}");
    assert_eq!(ended.len(), 2, "{due:?}");
}

/// Guards against using the packet that makes a target lost as a probe. The client would then wait
/// for its next retransmission, past its deadline.
#[test]
fn a_single_request_is_reset_at_its_third_retransmission() {
    let mut forwarder = forwarder(3);
    let mut other = open_flow(&mut forwarder, 900, ORDER_PORT, at(0));
    let mut feed = open_flow_where(&mut forwarder, FEED_PORT, |f| f.cookie != other.cookie);
    feed.send(&mut forwarder, 100, at(100));
    feed.resend(&mut forwarder, 100, at(300));
    feed.resend(&mut forwarder, 100, at(700));
    other.send(&mut forwarder, 100, at(1_400));
    other.acknowledge(&mut forwarder, 100, at(1_450));

    let third = feed.resend(&mut forwarder, 100, at(1_500));

    assert!(matches!(third, Action::Reset { .. }), "{third:?}");
}

/// Guards against resetting a request that must not run twice while its answer may still arrive.
#[test]
fn orders_at_a_lost_target_continue_until_it_is_removed() {
    let mut forwarder = forwarder(1);
    let mut one = open_flow(&mut forwarder, 1, FEED_PORT, at(0));
    let mut two = open_flow(&mut forwarder, 2, FEED_PORT, at(0));
    let mut order = open_flow(&mut forwarder, 3, ORDER_PORT, at(0));
    one.send(&mut forwarder, 100, at(100));
    two.send(&mut forwarder, 100, at(110));
    order.send(&mut forwarder, 100, at(120));
    one.resend(&mut forwarder, 100, at(300));
    two.resend(&mut forwarder, 100, at(310));

    let listed = order.resend(&mut forwarder, 100, at(600));
    forwarder.apply(removed(1, later(1)), at(650));
    let after_removal = order.resend(&mut forwarder, 100, at(700));

    assert_eq!(sent_to(listed), TargetNumber::new(1));
    assert!(
        matches!(after_removal, Action::Reset { .. }),
        "{after_removal:?}"
    );
}

/// Guards against a target that stays lost after its recovery. One packet per second probes it.
#[test]
fn a_lost_target_is_probed() {
    let mut forwarder = forwarder(3);
    let (mut one, mut two, number) = two_feeds(&mut forwarder);
    make_lost(&mut forwarder, &mut one, &mut two);
    assert!(matches!(
        one.resend(&mut forwarder, 100, at(700)),
        Action::Reset { .. }
    ));

    let probe = two.resend(&mut forwarder, 100, at(1_800));
    two.acknowledge(&mut forwarder, 2_000, at(1_820));

    assert_eq!(sent_to(probe), number);
    assert_eq!(forwarder.gauges(at(1_830)).lost, 0);
}

/// Guards against placing new flows on a target that does not answer.
#[test]
fn new_flows_avoid_a_suspect_target() {
    let mut forwarder = forwarder(2);
    let unresponsive = sent_to(Client::new(500, FEED_PORT).opening(&mut forwarder, 0, at(0)));
    forwarder.take_due(at(80));

    let mut placed = Vec::new();
    for port in 1..20 {
        placed.push(sent_to(Client::new(port, FEED_PORT).opening(
            &mut forwarder,
            0,
            at(90),
        )));
    }

    assert!(!placed.contains(&unresponsive), "{placed:?}");
}

/// Guards against applying the observations of a former incarnation to a restarted target, here
/// when a peer reports the restart.
#[test]
fn a_restarted_target_is_not_lost() {
    let mut forwarder = forwarder(3);
    let (mut one, mut two, number) = two_feeds(&mut forwarder);
    make_lost(&mut forwarder, &mut one, &mut two);
    assert_eq!(forwarder.gauges(at(650)).lost, 1);
    let mut restarted = target(number.get(), "feeds", "a");
    restarted.incarnation = Incarnation::new(2);
    let delta = Delta {
        revision: later(1),
        whole: false,
        changes: vec![published(restarted, later(1))],
        routes: None,
        evacuations: Vec::new(),
    };

    forwarder.merge(delta, at(660));

    assert_eq!(forwarder.gauges(at(670)).lost, 0);
}

/// Guards against resetting flows when the path of this instance itself is cut, so that no target
/// appears to respond.
#[test]
fn an_isolated_instance_resets_nothing_and_reports_isolation() {
    let mut forwarder = forwarder(3);
    let mut feeds: Vec<Client> = (1..=12)
        .map(|port| open_flow(&mut forwarder, port, FEED_PORT, at(0)))
        .collect();
    for feed in &mut feeds {
        feed.send(&mut forwarder, 100, at(100));
    }
    for feed in &feeds {
        feed.resend(&mut forwarder, 100, at(320));
        feed.resend(&mut forwarder, 100, at(720));
    }

    let actions: Vec<_> = feeds
        .iter()
        .map(|feed| feed.resend(&mut forwarder, 100, at(1_520)))
        .collect();

    assert!(
        actions.iter().all(|a| matches!(a, Action::Forward(_))),
        "{actions:?}"
    );
    assert!(forwarder.is_isolated(at(1_520)));
}

/// Guards against keeping flows on a target that was drained and then removed.
#[test]
fn flows_of_a_drained_and_removed_target_are_reset() {
    let mut forwarder = forwarder(1);
    let mut feed = open_flow(&mut forwarder, 1, FEED_PORT, at(0));
    let mut leaving = target(1, "feeds", "a");
    leaving.state = tanager_forward::TargetState::Draining;
    forwarder.apply(published(leaving, later(1)), at(1_000));
    forwarder.apply(removed(1, later(2)), at(5_000));

    let action = feed.send(&mut forwarder, 100, at(6_000));

    assert!(matches!(action, Action::Reset { .. }), "{action:?}");
    let events = forwarder.take_events(at(6_000));
    let gone =
        |e: &Event| matches!(e, Event::Reset { reason, .. } if *reason == ResetReason::TargetGone);
    assert!(events.iter().any(gone), "{events:?}");
}
