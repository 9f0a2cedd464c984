//! Pattern: a target vanishes without a word while its entry stays, and may come back.

mod common;

use common::{
    Client, FEED_PORT, ORDER_PORT, REVISION, at, forwarder, open_flow, published, removed,
};
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

/// Opens flows until one is at a wanted target.
fn open_where(forwarder: &mut Forwarder, port: u16, wanted: impl Fn(&Client) -> bool) -> Client {
    (1_000..1_100)
        .map(|client_port| open_flow(forwarder, client_port, port, at(0)))
        .find(wanted)
        .expect("a flow at a wanted target")
}

/// Makes a target silent to both feeds until it counts as lost, at 500 ms.
fn lose(forwarder: &mut Forwarder, one: &mut Client, two: &mut Client) {
    one.send(forwarder, 100, at(100));
    two.send(forwarder, 100, at(110));
    // Others answer, so the silence is not on this instance's side.
    let mut live = open_flow(forwarder, 900, ORDER_PORT, at(290));
    one.resend(forwarder, 100, at(300));
    two.resend(forwarder, 100, at(310));
    live.send(forwarder, 100, at(450));
    live.acknowledge(forwarder, 100, at(480));
}

/// Guards against clients that wait for a dead target until their deadline.
#[test]
fn requests_that_may_be_repeated_are_reset_at_a_lost_target() {
    let mut forwarder = forwarder(3);
    let (mut one, mut two, _) = two_feeds(&mut forwarder);
    lose(&mut forwarder, &mut one, &mut two);

    let action = one.resend(&mut forwarder, 100, at(700));

    assert_eq!(
        action,
        Action::Reset {
            sequence: one.received
        }
    );
}

/// Guards against clients that wait for their next repetition although their target is known to
/// be lost: the third comes after 1.4 s, beyond some deadlines.
#[test]
fn requests_that_wait_for_a_lost_target_are_reset_without_another_packet() {
    let mut forwarder = forwarder(3);
    let (mut one, mut two, _) = two_feeds(&mut forwarder);
    lose(&mut forwarder, &mut one, &mut two);

    let due = forwarder.take_due(at(520));

    let resets = |feed: &Client| {
        let sequence = feed.received;
        let ended = |d: &&DueAction| d.flow == feed.flow && d.action == Action::Reset { sequence };
        due.iter().filter(ended).count()
    };
    assert_eq!((resets(&one), resets(&two)), (1, 1), "{due:?}");
}

/// Guards against clients that wait for an answer until their deadline: their request was taken
/// before the target vanished, so they do not repeat it.
#[test]
fn a_request_that_a_lost_target_had_taken_is_reset() {
    let mut forwarder = forwarder(3);
    let (mut one, mut two, _) = two_feeds(&mut forwarder);
    let here = one.cookie;
    let mut taken = open_where(&mut forwarder, FEED_PORT, |f| f.cookie == here);
    taken.send(&mut forwarder, 100, at(90));
    lose(&mut forwarder, &mut one, &mut two);

    let due = forwarder.take_due(at(520));

    assert!(due.iter().any(|d| d.flow == taken.flow), "{due:?}");
}

/// Guards against ending flows that wait for nothing, requests that have just been sent, and requests that must not run twice.
#[test]
fn other_flows_of_a_lost_target_go_on() {
    let mut forwarder = forwarder(3);
    let (mut one, mut two, _) = two_feeds(&mut forwarder);
    let here = one.cookie;
    let mut young = open_where(&mut forwarder, FEED_PORT, |f| f.cookie == here);
    let mut order = open_where(&mut forwarder, ORDER_PORT, |f| f.cookie == here);
    order.send(&mut forwarder, 100, at(90));
    order.resend(&mut forwarder, 100, at(290));
    lose(&mut forwarder, &mut one, &mut two);
    young.send(&mut forwarder, 100, at(490));

    let due = forwarder.take_due(at(520));

    let ended: Vec<_> = due.iter().map(|d| d.flow).collect();
    assert!(!ended.contains(&young.flow), "{due:?}");
    assert!(!ended.contains(&order.flow), "{due:?}");
    assert_eq!(ended.len(), 2, "{due:?}");
}

/// Guards against taking the packet that makes a target lost for the one that tries it again: the
/// client would then wait for the next repetition, after its deadline.
#[test]
fn a_request_without_company_is_reset_with_its_third_repetition() {
    let mut forwarder = forwarder(3);
    let mut live = open_flow(&mut forwarder, 900, ORDER_PORT, at(0));
    let mut feed = open_where(&mut forwarder, FEED_PORT, |f| f.cookie != live.cookie);
    feed.send(&mut forwarder, 100, at(100));
    feed.resend(&mut forwarder, 100, at(300));
    feed.resend(&mut forwarder, 100, at(700));
    live.send(&mut forwarder, 100, at(1_400));
    live.acknowledge(&mut forwarder, 100, at(1_450));

    let third = feed.resend(&mut forwarder, 100, at(1_500));

    assert!(matches!(third, Action::Reset { .. }), "{third:?}");
}

/// Guards against ending a request that must not run twice while its answer may still come.
#[test]
fn orders_at_a_lost_target_go_on_until_it_is_removed() {
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
    forwarder.apply(removed(1, REVISION + 1), at(650));
    let gone = order.resend(&mut forwarder, 100, at(700));

    assert_eq!(sent_to(listed), TargetNumber::new(1));
    assert!(matches!(gone, Action::Reset { .. }), "{gone:?}");
}

/// Guards against a target that stays lost after it is back: one packet a second finds out.
#[test]
fn a_lost_target_is_tried_again() {
    let mut forwarder = forwarder(3);
    let (mut one, mut two, number) = two_feeds(&mut forwarder);
    lose(&mut forwarder, &mut one, &mut two);
    assert!(matches!(
        one.resend(&mut forwarder, 100, at(700)),
        Action::Reset { .. }
    ));

    let trial = two.resend(&mut forwarder, 100, at(1_800));
    two.acknowledge(&mut forwarder, 2_000, at(1_820));

    assert_eq!(sent_to(trial), number);
    assert_eq!(forwarder.gauges(at(1_830)).lost, 0);
}

/// Guards against new flows at a target that does not answer.
#[test]
fn new_flows_avoid_a_suspect_target() {
    let mut forwarder = forwarder(2);
    let silent = sent_to(Client::new(500, FEED_PORT).opening(&mut forwarder, 0, at(0)));
    forwarder.take_due(at(80));

    let mut placed = Vec::new();
    for port in 1..20 {
        placed.push(sent_to(Client::new(port, FEED_PORT).opening(
            &mut forwarder,
            0,
            at(90),
        )));
    }

    assert!(!placed.contains(&silent), "{placed:?}");
}

/// Guards against judging a restarted target by its former life, also when a peer tells of it.
#[test]
fn a_restarted_target_is_judged_anew() {
    let mut forwarder = forwarder(3);
    let (mut one, mut two, number) = two_feeds(&mut forwarder);
    lose(&mut forwarder, &mut one, &mut two);
    assert_eq!(forwarder.gauges(at(650)).lost, 1);
    let mut again = target(number.get(), "feeds", "a");
    again.incarnation = Incarnation::new(2);
    let delta = Delta {
        revision: REVISION + 1,
        whole: false,
        changes: vec![published(again, REVISION + 1)],
        routes: None,
    };

    forwarder.merge(delta, at(660));

    assert_eq!(forwarder.gauges(at(670)).lost, 0);
}

/// Guards against resetting flows when this instance's own path is cut: then no target is heard.
#[test]
fn an_instance_that_hears_no_target_resets_nothing_and_says_so() {
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

    let late: Vec<_> = feeds
        .iter()
        .map(|feed| feed.resend(&mut forwarder, 100, at(1_520)))
        .collect();

    assert!(
        late.iter().all(|a| matches!(a, Action::Forward(_))),
        "{late:?}"
    );
    assert!(forwarder.is_isolated(at(1_520)));
}

/// Guards against keeping flows at a target that announced its end and then left.
#[test]
fn flows_of_a_target_that_left_are_reset() {
    let mut forwarder = forwarder(1);
    let mut feed = open_flow(&mut forwarder, 1, FEED_PORT, at(0));
    let mut leaving = target(1, "feeds", "a");
    leaving.state = tanager_forward::TargetState::Draining;
    forwarder.apply(published(leaving, REVISION + 1), at(1_000));
    forwarder.apply(removed(1, REVISION + 2), at(5_000));

    let action = feed.send(&mut forwarder, 100, at(6_000));

    assert!(matches!(action, Action::Reset { .. }), "{action:?}");
    let events = forwarder.take_events(at(6_000));
    let gone =
        |e: &Event| matches!(e, Event::Reset { reason, .. } if *reason == ResetReason::TargetGone);
    assert!(events.iter().any(gone), "{events:?}");
}
