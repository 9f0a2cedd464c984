use std::time::Duration;

use tanager_core::{Incarnation, Millis};

use crate::Identity;
use crate::membership::watchers::RoleAssignment;
use crate::membership::{InstanceState, ListedInstance, WatchRole};

fn instance(number: usize, zones: usize) -> ListedInstance {
    ListedInstance {
        name: format!("node-{number}").parse().expect("name"),
        zone: format!("zone-{}", number % zones).parse().expect("zone"),
        region: "addis".parse().expect("region"),
        address: ([127, 0, 0, 1], 9_000).into(),
        state: InstanceState::Live,
    }
}

/// Returns the role of each instance, 1 s after a peer answered it.
fn fleet(size: usize, zones: usize, leaving: &[usize]) -> Vec<WatchRole> {
    let mut all: Vec<_> = (0..size).map(|n| instance(n, zones)).collect();
    for number in leaving {
        all[*number].state = InstanceState::Leaving;
    }
    let role = |own: usize| {
        let identity = Identity {
            name: all[own].name.clone(),
            zone: all[own].zone.clone(),
            region: all[own].region.clone(),
            incarnation: Incarnation::new(1),
            address: all[own].address,
        };
        let mut others = all.clone();
        others.remove(own);
        let roles = RoleAssignment::default();
        roles.record_peer_answer(Millis::new(1_000));
        roles.assign(&identity, &others);
        roles.role(Millis::new(2_000), size)
    };
    (0..size).map(role).collect()
}

fn watchers(roles: &[WatchRole]) -> Vec<usize> {
    let is_watcher = |n: &usize| matches!(roles[*n], WatchRole::Watcher { .. });
    (0..roles.len()).filter(is_watcher).collect()
}

/// Guards against zones without watchers, and against calls that grow with the fleet.
#[test]
fn three_instances_of_each_zone_watch() {
    let roles = fleet(670, 6, &[]);

    let watchers = watchers(&roles);
    for zone in 0..6 {
        assert_eq!(watchers.iter().filter(|n| *n % 6 == zone).count(), 3);
    }
    assert_eq!(roles[watchers[0]], WatchRole::Watcher { watchers: 18 });
}

/// Guards against zones with fewer than three instances that are left without watchers.
#[test]
fn everyone_watches_in_a_small_zone() {
    assert_eq!(watchers(&fleet(8, 3, &[])).len(), 8);
    assert_eq!(watchers(&fleet(12, 3, &[])).len(), 9);
}

/// Guards against a stopping instance that leaves its zone with fewer watchers.
#[test]
fn leaving_watcher_is_replaced() {
    let first = watchers(&fleet(40, 2, &[]))[0];

    let roles = fleet(40, 2, &[first]);

    let live = watchers(&roles).into_iter().filter(|n| *n != first);
    assert_eq!(live.filter(|n| n % 2 == first % 2).count(), 3);
}

/// Guards against an instance that is cut off from its peers and waits for their announcements.
#[test]
fn instance_without_answers_of_peers_watches_for_itself() {
    let others: Vec<_> = (1..10).map(|n| instance(n, 1)).collect();
    let mut informed = 0;
    for own in &others {
        let rest = others.iter().filter(|o| *o != own).cloned();
        let identity = Identity {
            name: own.name.clone(),
            zone: own.zone.clone(),
            region: own.region.clone(),
            incarnation: Incarnation::new(1),
            address: own.address,
        };
        let roles = RoleAssignment::default();
        roles.assign(&identity, &rest.collect::<Vec<_>>());
        roles.record_peer_answer(Millis::new(1_000));
        let at = |time| roles.role(Millis::new(1_000) + Duration::from_millis(time), 9);
        if at(3_000) == (WatchRole::Informed { instances: 9 }) {
            informed += 1;
            assert_eq!(at(3_001), WatchRole::Alone { instances: 9 });
        }
    }
    assert_eq!(informed, 6);
}
