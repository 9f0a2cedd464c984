use std::fmt::Write as _;
use std::net::SocketAddr;

use tanager_core::{Incarnation, ResultCode, Revision};

use crate::membership::{
    InstanceState, MEMBERS_LIMIT, Member, Membership, WatchRole, gossip_tests,
};
use crate::peer::Heartbeat;
use crate::{Error, Identity};

fn address(number: u64) -> SocketAddr {
    let port = 7_000 + u16::try_from(number).expect("port");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn membership() -> Membership {
    Membership::new(Identity {
        name: "node-0".parse().expect("name"),
        zone: "a".parse().expect("zone"),
        region: "addis".parse().expect("region"),
        incarnation: Incarnation::new(1),
        address: address(0),
    })
}

fn heartbeat(number: u64, incarnation: u64, state: InstanceState) -> Heartbeat {
    Heartbeat {
        incarnation: Incarnation::new(incarnation),
        state,
        revision: Revision::new(1),
        ..gossip_tests::heartbeat(&format!("node-{number}"), "a", address(number))
    }
}

fn list(revision: u64, numbers: impl Iterator<Item = u64>) -> String {
    let mut text = format!("revision: {revision}\ninstances:\n");
    for number in numbers {
        let _ = writeln!(
            text,
            "- {{ name: node-{number}, zone: a, region: addis, address: \"{}\", state: live }}",
            address(number)
        );
    }
    text
}

/// Guards against instances that have left but stay listed, with their share of the limits, after
/// the platform was restored: it counts on from an earlier revision.
#[test]
fn a_list_of_a_later_epoch_replaces_one_with_a_higher_revision() {
    let membership = membership();
    membership.offer_list(&list(9, 0..4)).expect("a list");

    let restored = format!("epoch: 1\n{}", list(4, 0..2));
    membership.offer_list(&restored).expect("a later epoch");
    membership.offer_list(&list(10, 0..4)).expect("ignored");

    assert_eq!(membership.list().instances.len(), 2);
}

/// Guards against limits divided by too few instances while the list lags behind a new one.
#[test]
fn instances_count_before_they_are_listed() {
    let membership = membership();
    membership.offer_list(&list(1, 0..3)).expect("list");

    membership.record_heartbeat(&heartbeat(3, 4, InstanceState::Live));
    membership.tick();

    assert_eq!(membership.instance_count(), 4);
    assert_eq!(
        membership.members().len(),
        1,
        "it must be forwarded to others"
    );
}

/// Guards against parts of a limit that grow as soon as instances leave the list, while other
/// instances still use the smaller parts of the older list.
#[test]
fn largest_count_of_the_window_holds() {
    let membership = membership();
    membership.offer_list(&list(1, 0..8)).expect("list");

    membership.offer_list(&list(2, 0..4)).expect("list");

    assert_eq!(membership.instance_count(), 8);
    assert_eq!(membership.others().len(), 3);
}

/// Guards against a stale platform that replaces the list with an older one.
#[test]
fn older_list_is_ignored() {
    let membership = membership();
    membership.offer_list(&list(5, 0..8)).expect("list");

    let revision = membership.offer_list(&list(4, 0..2)).expect("valid");

    assert_eq!(revision, Revision::new(5));
    assert_eq!(membership.list().instances.len(), 8);
}

/// Guards against a late heartbeat that changes a leaving instance back to live.
#[test]
fn leaving_incarnation_stays_leaving() {
    let membership = membership();
    membership.record_heartbeat(&heartbeat(1, 2, InstanceState::Leaving));

    membership.record_heartbeat(&heartbeat(1, 2, InstanceState::Live));

    assert_eq!(membership.others()[0].state, InstanceState::Leaving);
}

/// Guards against a replaced incarnation that is restored by a record from a third instance.
#[test]
fn replaced_incarnation_is_not_restored() {
    let membership = membership();
    membership.record_heartbeat(&heartbeat(1, 2, InstanceState::Leaving));
    membership.record_heartbeat(&heartbeat(1, 3, InstanceState::Live));

    let mut relayed = heartbeat(2, 9, InstanceState::Live);
    let old = heartbeat(1, 2, InstanceState::Leaving);
    relayed.members = vec![Member {
        instance: membership.others()[0].clone(),
        incarnation: old.incarnation,
        age_ms: 0,
    }];
    membership.record_heartbeat(&relayed);

    let name = "node-1".parse().expect("name");
    assert_eq!(membership.incarnation(&name), Some(Incarnation::new(3)));
}

/// Guards against heartbeats that grow with the fleet.
#[test]
fn members_in_a_heartbeat_are_bounded() {
    let membership = membership();
    (1..=100).for_each(|n| membership.record_heartbeat(&heartbeat(n, n + 1, InstanceState::Live)));

    assert_eq!(membership.members().len(), MEMBERS_LIMIT);
}

/// Guards against an odd entry that ends the process or stops it from taking later lists.
#[test]
fn an_odd_list_is_refused_and_the_next_one_taken() {
    let nested = "{a: ".repeat(100_000) + &"}".repeat(100_000);
    let odd = [
        list(2, 0..3).replacen("addis", &nested, 1),
        list(2, 0..3).replacen("7001", "70000", 1),
        list(99_999_999_999_999_999, 0..3),
    ];
    let membership = membership();
    membership.offer_list(&list(1, 0..3)).expect("list");

    for text in &odd {
        let refused = membership.offer_list(text).is_err();

        assert!(refused, "{}", &text[..200]);
        assert_eq!(membership.list().instances.len(), 3);
    }
    membership
        .offer_list(&list(3, 0..4))
        .expect("the next list");
    assert_eq!(membership.list().instances.len(), 4);
}

/// Guards against an invalid list that removes instances, or of which only the first problem is
/// reported.
#[test]
fn invalid_list_is_refused_with_all_problems() {
    let membership = membership();
    membership.offer_list(&list(1, 0..3)).expect("list");
    let invalid = list(2, 0..2)
        .replace("7001", "7000")
        .replacen("live", "gone", 1);

    let error = membership.offer_list(&invalid).expect_err("invalid");

    let Error::Document { problems, .. } = error else {
        panic!("unexpected {error}")
    };
    let lines: Vec<_> = problems.iter().map(|p| (p.code, p.line)).collect();
    let expected = [
        (ResultCode::ValueMalformed, Some(3)),
        (ResultCode::DocumentDuplicate, Some(4)),
    ];
    assert_eq!(lines, expected);
    assert_eq!(membership.list().instances.len(), 3);
}

/// Guards against an instance that gets announcements from peers but cannot call any to pull the
/// changes, and does not watch the platform either.
#[test]
fn only_answers_of_peers_make_an_instance_informed() {
    let membership = membership();
    (1..=40).for_each(|n| membership.record_heartbeat(&heartbeat(n, n + 1, InstanceState::Live)));
    membership.tick();

    let unanswered = membership.watch_role();
    membership.record_peer_answer();
    let answered = membership.watch_role();

    assert_eq!(unanswered, WatchRole::Alone { instances: 41 });
    assert_eq!(answered, WatchRole::Informed { instances: 41 });
}
