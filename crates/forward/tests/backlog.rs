//! An instance that does not keep up with the packets of its clients: acknowledgements wait unread, or
//! are dropped, so that targets seem to be silent.

mod common;

use common::{Client, FEED_PORT, ORDER_PORT, at, forwarder, open_flow, sent_to};
use tanager_core::Millis;
use tanager_forward::{Action, Forwarder, TargetNumber};

/// Feeds at one target, and an order at another one.
struct Clients {
    feeds: Vec<Client>,
    order: Client,
    target: TargetNumber,
}

fn clients(forwarder: &mut Forwarder) -> Clients {
    let feeds = (1..40).map(|port| open_flow(forwarder, port, FEED_PORT, at(0)));
    let mut feeds: Vec<_> = feeds.collect();
    let cookie = feeds[0].cookie;
    feeds.retain(|f| f.cookie == cookie);
    let mut orders = (100..140).map(|port| open_flow(forwarder, port, ORDER_PORT, at(0)));
    Clients {
        feeds,
        order: orders.find(|o| o.cookie != cookie).expect("two targets"),
        target: TargetNumber::new(u64::from(cookie.get())),
    }
}

/// Lets two feeds repeat their requests, which makes their target lost at 510 ms. The other target
/// answers meanwhile.
fn make_lost(forwarder: &mut Forwarder, clients: &mut Clients) {
    let Clients { feeds, order, .. } = clients;
    feeds[0].send(forwarder, 100, at(100));
    feeds[1].send(forwarder, 100, at(110));
    order.send(forwarder, 100, at(250));
    order.acknowledge(forwarder, 100, at(290));
    feeds[0].resend(forwarder, 100, at(300));
    feeds[1].resend(forwarder, 100, at(310));
    order.send(forwarder, 100, at(450));
    order.acknowledge(forwarder, 100, at(480));
}

fn resets(forwarder: &mut Forwarder, now: Millis) -> usize {
    let due = forwarder.take_due(now);
    let reset = due
        .iter()
        .filter(|d| matches!(d.action, Action::Reset { .. }));
    reset.count()
}

/// Guards against resets of flows whose targets serve, by an overloaded instance (review/8).
#[test]
fn an_instance_with_a_backlog_resets_no_flow_of_a_lost_target() {
    let mut forwarder = forwarder(3);
    let mut clients = clients(&mut forwarder);
    make_lost(&mut forwarder, &mut clients);
    forwarder.record_backlog(at(490));

    let waiting = resets(&mut forwarder, at(520));
    let action = clients.feeds[2].send(&mut forwarder, 100, at(530));

    assert_eq!(forwarder.gauges(at(530)).lost, 1);
    assert_eq!(waiting, 0);
    assert_eq!(sent_to(action), clients.target);
}

/// Guards against an instance that once had a backlog and lets clients wait for lost targets ever after.
#[test]
fn flows_of_a_lost_target_are_reset_when_the_backlog_is_past() {
    let mut forwarder = forwarder(3);
    let mut clients = clients(&mut forwarder);
    forwarder.record_backlog(at(90));
    make_lost(&mut forwarder, &mut clients);

    let action = clients.feeds[2].send(&mut forwarder, 100, at(1_100));

    assert!(matches!(action, Action::Reset { .. }), "{action:?}");
}

/// Guards against counting a repetition as a miss of its target, and reporting it to peers, although the
/// acknowledgement may wait unread.
#[test]
fn a_repetition_during_a_backlog_is_no_miss() {
    let mut forwarder = forwarder(3);
    let Clients {
        mut feeds,
        mut order,
        target,
    } = clients(&mut forwarder);
    feeds[0].send(&mut forwarder, 100, at(100));
    order.send(&mut forwarder, 100, at(250));
    order.acknowledge(&mut forwarder, 100, at(290));
    forwarder.record_backlog(at(200));

    feeds[0].resend(&mut forwarder, 100, at(300));

    let reports = forwarder.load_report(at(300));
    let report = reports.iter().find(|r| r.cookie == target.cookie());
    let misses = report.map_or(0.0, |r| r.load().tally.misses);
    assert!(misses < f64::EPSILON, "{misses}");
    assert_eq!(forwarder.gauges(at(300)).suspect, 0);
}
