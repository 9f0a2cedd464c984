//! Pattern: clients are so far away that opening a flow takes longer than between near zones.

mod common;

use common::{Client, FEED_PORT, at, forwarder, sent_to};
use tanager_forward::{Forwarder, TargetNumber};

/// Time from a client's opening packet to its next packet.
const FAR: u64 = 110;

/// Opens flows one after the other at targets that answer after `time`, and returns how many
/// opening packets went to a second target. The client takes the first target's answer.
fn open_flows(forwarder: &mut Forwarder, count: u16, time: u64, from: u64) -> usize {
    let mut repeated = 0;
    for i in 0..count {
        let now = from + 200 * u64::from(i);
        let port = 1_000 + u16::try_from(now / 200).expect("a port");
        let mut client = Client::new(port, FEED_PORT);
        let target = sent_to(client.opening(forwarder, 0, at(now)));
        for wait in (10..time).step_by(10) {
            repeated += forwarder.take_due(at(now + wait)).len();
        }
        client.accept(target);
        client.acknowledge(forwarder, 0, at(now + time));
    }
    repeated
}

/// Guards against sending every opening packet to a second target where clients are far away:
/// half of all flows were opened twice at 28 ms to the client.
#[test]
fn openings_of_far_clients_are_not_repeated() {
    let mut forwarder = forwarder(6);
    open_flows(&mut forwarder, 20, FAR, 0);

    let repeated = open_flows(&mut forwarder, 50, FAR, 4_000);

    assert_eq!(repeated, 0);
}

/// Guards against waiting long for silent targets where clients are near.
#[test]
fn openings_of_near_clients_are_repeated_soon() {
    let mut forwarder = forwarder(6);
    open_flows(&mut forwarder, 20, 15, 0);
    let client = Client::new(9, FEED_PORT);
    let silent = sent_to(client.opening(&mut forwarder, 0, at(4_000)));

    let due = forwarder.take_due(at(4_071));

    assert_eq!(due.len(), 1);
    assert_ne!(sent_to(due[0].action), silent);
}

/// Guards against relying on the client's own copies alone, which come after 200 ms.
#[test]
fn openings_are_repeated_before_clients_repeat_them() {
    let mut forwarder = forwarder(6);
    open_flows(&mut forwarder, 20, 600, 0);
    Client::new(9, FEED_PORT).opening(&mut forwarder, 0, at(5_000));

    let due = forwarder.take_due(at(5_195));

    let targets: Vec<TargetNumber> = due.iter().map(|d| sent_to(d.action)).collect();
    assert_eq!(targets.len(), 1);
}
