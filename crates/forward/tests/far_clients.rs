//! Distant clients: opening a flow takes longer than between nearby zones.

mod common;

use common::{Client, FEED_PORT, at, forwarder, sent_to};
use tanager_forward::{Forwarder, TargetNumber};

/// Time in milliseconds from a distant client's opening packet to its next packet.
const DISTANT_OPENING_MS: u64 = 110;

/// Opens flows one after the other at targets that answer after `time` ms, and returns how many
/// opening packets were sent to a second target. The client accepts the first target's answer.
fn open_flows(forwarder: &mut Forwarder, count: u16, time: u64, from: u64) -> usize {
    let mut sent_again = 0;
    for i in 0..count {
        let now = from + 200 * u64::from(i);
        let port = 1_000 + u16::try_from(now / 200).expect("a port");
        let mut client = Client::new(port, FEED_PORT);
        let target = sent_to(client.opening(forwarder, 0, at(now)));
        for wait in (10..time).step_by(10) {
            sent_again += forwarder.take_due(at(now + wait)).len();
        }
        client.accept_opening(target);
        client.acknowledge(forwarder, 0, at(now + time));
    }
    sent_again
}

/// Guards against sending opening packets of distant clients to a second target. Half of all flows
/// were opened twice at 28 ms to the client.
#[test]
fn openings_of_distant_clients_are_not_sent_again() {
    let mut forwarder = forwarder(6);
    open_flows(&mut forwarder, 20, DISTANT_OPENING_MS, 0);

    let sent_again = open_flows(&mut forwarder, 50, DISTANT_OPENING_MS, 4_000);

    assert_eq!(sent_again, 0);
}

/// Guards against waiting long for unresponsive targets when clients are nearby.
#[test]
fn openings_of_nearby_clients_are_sent_again_soon() {
    let mut forwarder = forwarder(6);
    open_flows(&mut forwarder, 20, 15, 0);
    let client = Client::new(9, FEED_PORT);
    let unresponsive = sent_to(client.opening(&mut forwarder, 0, at(4_000)));

    let due = forwarder.take_due(at(4_071));

    assert_eq!(due.len(), 1);
    assert_ne!(sent_to(due[0].action), unresponsive);
}

/// Guards against relying on the client's retransmissions alone, which are sent after 200 ms.
#[test]
fn openings_are_sent_again_before_clients_retransmit_them() {
    let mut forwarder = forwarder(6);
    open_flows(&mut forwarder, 20, 600, 0);
    Client::new(9, FEED_PORT).opening(&mut forwarder, 0, at(5_000));

    let due = forwarder.take_due(at(5_195));

    let targets: Vec<TargetNumber> = due.iter().map(|d| sent_to(d.action)).collect();
    assert_eq!(targets.len(), 1);
}
