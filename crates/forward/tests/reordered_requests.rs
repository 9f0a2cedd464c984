//! Pattern: the packets of one request arrive in another order than they were sent.

mod common;

use common::{FEED_PORT, ORDER_PORT, at, forwarder, open_flow, sent_to};
use tanager_forward::{Action, Event, Liveness};

/// Guards against taking packets that overtook each other for repeated ones, which made sound
/// targets count as silent and reset their flows.
#[test]
fn overtaken_packets_are_no_evidence_against_a_target() {
    let mut forwarder = forwarder(1);
    for i in 0..4 {
        let now = at(1_000 * u64::from(i));
        let mut client = open_flow(&mut forwarder, 2_000 + i, ORDER_PORT, now);
        let first = client.clone();
        client.sent += 1_200;
        client.send(&mut forwarder, 1_200, now);
        let mut late = first;
        late.send(&mut forwarder, 1_200, now);
    }

    let events = forwarder.take_events(at(4_000));

    let standing = |e: &Event| matches!(e, Event::Liveness(_));
    assert!(!events.iter().any(standing), "{events:?}");
}

/// Guards against judging by the time since the last answer, when no answer was expected in it.
#[test]
fn a_target_that_was_idle_for_long_is_not_lost_by_two_lost_packets() {
    let mut forwarder = forwarder(1);
    let mut feed = open_flow(&mut forwarder, 1, FEED_PORT, at(0));
    let mut other = open_flow(&mut forwarder, 2, FEED_PORT, at(0));
    let later = 9_000;
    feed.send(&mut forwarder, 100, at(later));
    other.send(&mut forwarder, 100, at(later));

    let first = feed.resend(&mut forwarder, 100, at(later + 200));
    let second = other.resend(&mut forwarder, 100, at(later + 201));

    assert_eq!(sent_to(first), sent_to(second));
    let events = forwarder.take_events(at(later + 201));
    let lost =
        |e: &Event| matches!(e, Event::Liveness(change) if change.liveness == Liveness::Lost);
    assert!(!events.iter().any(lost), "{events:?}");
    assert!(!matches!(second, Action::Reset { .. }));
}
