//! Order, bounds, displacement and refusals of the queue.

mod common;

use std::time::Duration;

use common::{at, demand, queued, refused};
use proptest::prelude::*;
use tanager_admission::{Demand, GroupId, LatePolicy, Pushed, Refusal, WaitQueue};
use tanager_core::Millis;

/// Bound of the queues in these tests.
const LIMIT: usize = 16;

fn any_demand() -> impl Strategy<Value = Demand> {
    let parts = (0..3_u64, any::<bool>(), 1..500_u64, 1..900_u64, 0..60_u64);
    parts.prop_map(|(priority, repeatable, objective, deadline, work)| Demand {
        priority,
        repeatable,
        objective: at(objective),
        deadline: at(deadline),
        work: Duration::from_millis(work),
        group: GroupId::new(1),
    })
}

/// The order of the specification, written down a second time.
fn rank(demand: &Demand, now: Millis) -> (bool, u64, bool, i64) {
    let late = now > demand.latest_start();
    let objective = i64::try_from(demand.objective.get()).expect("a small time");
    let due = if late { -objective } else { objective };
    (late, demand.priority, demand.repeatable, due)
}

proptest! {
    /// Guards against any other order than the specified one, also after requests became late in the
    /// queue, against requests that are lost or served twice, and against serving expired ones.
    #[test]
    fn requests_leave_in_order(demands in prop::collection::vec(any_demand(), 1..40), now in 0..900_u64) {
        let mut queue = WaitQueue::new(100);
        for (index, demand) in demands.iter().enumerate() {
            queued(queue.push(*demand, LatePolicy::Keep, index, at(0)));
        }
        let now = at(now);
        let (mut left, mut expired) = (Vec::new(), Vec::new());
        while let Some((demand, index)) = queue.pop(now) {
            left.push((rank(&demand, now), index));
        }
        while let Some((demand, index)) = queue.take_expired(now) {
            prop_assert!(demand.deadline <= now);
            expired.push(index);
        }

        prop_assert!(left.is_sorted(), "{:?}", left);
        prop_assert!(left.iter().all(|(_, i)| demands[*i].deadline > now));
        prop_assert_eq!(left.len() + expired.len(), demands.len());
        prop_assert!(queue.is_empty());
    }

    /// Guards against queues that grow beyond their bound, and against urgent requests that are
    /// displaced by others.
    #[test]
    fn the_last_in_the_order_is_displaced(demands in prop::collection::vec(any_demand(), 1..80)) {
        let mut queue = WaitQueue::new(LIMIT);
        let mut kept: Vec<(Demand, usize)> = Vec::new();
        for (index, demand) in demands.into_iter().enumerate() {
            let last = kept.iter().map(|(d, i)| (rank(d, at(0)), *i)).max();
            let new = (rank(&demand, at(0)), index);
            match queue.push(demand, LatePolicy::Keep, index, at(0)) {
                Pushed::Queued { displaced: None, .. } => prop_assert!(kept.len() < LIMIT),
                Pushed::Queued { displaced: Some(out), .. } => {
                    prop_assert_eq!(Some(out), last.map(|(_, i)| i));
                    prop_assert!(last > Some(new));
                    kept.retain(|(_, i)| *i != out);
                }
                Pushed::Refused { value, reason } => {
                    prop_assert_eq!((value, reason), (index, Refusal::Full));
                    prop_assert!(last < Some(new) && kept.len() == LIMIT);
                    continue;
                }
            }
            kept.push((demand, index));
            prop_assert_eq!(queue.len(), kept.len());
        }
    }

    /// Guards against expected waits that leave out work ahead or count work behind.
    #[test]
    fn the_expected_wait_is_the_work_ahead(demands in prop::collection::vec(any_demand(), 1..30), new in any_demand()) {
        let new = Demand { repeatable: false, priority: 3, ..new };
        let mut queue = WaitQueue::new(100);
        // One second of work per second, all of the least urgent class.
        for _ in 0..20 {
            queue.record_served(&Demand { work: Duration::from_millis(25), ..new }, at(0));
        }
        for demand in &demands {
            queued(queue.push(*demand, LatePolicy::Keep, (), at(0)));
        }

        let wait = queue.expected_wait(&new, at(0)).as_secs_f64();

        let before = demands.iter().filter(|d| rank(d, at(0)) < rank(&new, at(0)));
        let ahead: f64 = before.map(|d| d.work.as_secs_f64().max(0.001)).sum();
        let expected = if ahead > 0.0 { ahead + new.work.as_secs_f64().max(0.001) } else { 0.0 };
        prop_assert!((wait - expected).abs() < 1e-6, "{} instead of {}", wait, expected);
    }
}

/// Guards against requests that wait for nothing: one that will not be served in time is refused at
/// once, and its client can try elsewhere.
#[test]
fn what_cannot_be_in_time_is_refused_at_once() {
    let mut queue = WaitQueue::new(100);
    let new = demand(1, true, 100);
    for _ in 0..10 {
        queue.record_served(&new, at(0));
    }

    // 20 requests of 10 ms of work a second: each takes 50 ms.
    let results: Vec<_> = (0..4)
        .map(|i| queue.push(new, LatePolicy::Refuse, i, at(0)))
        .collect();

    assert_eq!(queue.len(), 1);
    assert!(matches!(results[0], Pushed::Queued { .. }));
    assert_eq!(refused(&results[1]), Some(Refusal::Late));
}

/// Guards against a queue that refuses all requests forever, since none has been served recently.
#[test]
fn the_first_request_waits_though_none_was_served() {
    let mut queue = WaitQueue::new(100);

    let first = queue.push(demand(1, true, 100), LatePolicy::Refuse, 1, at(0));

    assert!(matches!(first, Pushed::Queued { .. }));
}

/// Guards against expectations of the less urgent that count on capacity that urgent requests use.
#[test]
fn urgent_requests_leave_less_for_others() {
    let mut queue = WaitQueue::new(100);
    let (urgent, other) = (demand(0, true, 500), demand(1, true, 500));
    for i in 0..100 {
        queue.record_served(if i % 10 == 0 { &other } else { &urgent }, at(0));
    }
    queued(queue.push(other, LatePolicy::Keep, 0, at(0)));

    let wait = queue.expected_wait(&other, at(0));

    // A tenth of 200 requests a second.
    assert_eq!(wait, Duration::from_millis(100));
}

/// Guards against starvation within a class: the longest waiting request is served first, however many
/// arrive after it.
#[test]
fn no_request_is_overtaken_by_later_ones_of_its_class() {
    let mut queue = WaitQueue::new(100);
    queued(queue.push(demand(1, true, 100), LatePolicy::Keep, 0, at(0)));
    for i in 1..50 {
        let later = demand(1, true, 100 + i);
        queued(queue.push(later, LatePolicy::Keep, i, at(i)));
    }

    let first = queue.pop(at(50)).map(|(_, i)| i);

    assert_eq!(first, Some(0));
}

/// Guards against late requests that take capacity from those that can still be in time.
#[test]
fn late_requests_come_last_and_are_served_when_nothing_else_waits() {
    let mut queue = WaitQueue::new(100);
    queued(queue.push(demand(0, false, 100), LatePolicy::Keep, "urgent", at(0)));
    queued(queue.push(demand(2, true, 400), LatePolicy::Keep, "normal", at(0)));

    let order: Vec<_> = std::iter::from_fn(|| queue.pop(at(150)).map(|(_, v)| v)).collect();

    assert_eq!(order, ["normal", "urgent"]);
}

/// Guards against a removed request that is served, expires or displaces another one.
#[test]
fn a_removed_request_leaves_nothing_behind() {
    let mut queue = WaitQueue::new(1);
    let ticket = queued(queue.push(demand(1, true, 100), LatePolicy::Keep, 1, at(0)));

    let removed = queue.remove(ticket);

    assert_eq!(removed, Some(1));
    assert_eq!(queue.next_expiry(), None);
    assert_eq!(queue.pop(at(1)), None);
    queued(queue.push(demand(1, true, 100), LatePolicy::Keep, 2, at(1)));
    assert_eq!(queue.len(), 1);
}

/// Guards against a route at many times its usual rate that takes the capacity of another one of its
/// class which demands no more than its share.
#[test]
fn a_group_beyond_its_share_waits_behind_the_others() {
    let mut queue = WaitQueue::new(1_000);
    let of = |group, now| Demand {
        group: GroupId::new(group),
        ..demand(1, true, now + 60)
    };
    let mut served = [0_u32; 2];
    // 100 a second are served. Both groups demand 20 a second, one of them 400 after a second.
    for now in 0..5_000 {
        if now % 50 == 0 {
            let _ = queue.push(of(0, now), LatePolicy::Keep, 0, at(now));
        }
        if (now % 5 < 2 && now > 1_000) || now % 50 == 1 {
            let _ = queue.push(of(1, now), LatePolicy::Keep, 1, at(now));
        }
        while queue.take_expired(at(now)).is_some() {}
        if now % 10 == 0
            && let Some((demand, group)) = queue.pop(at(now))
        {
            served[group] += u32::from(at(now) <= demand.latest_start());
        }
    }

    assert!(served[0] >= 98, "{served:?} in time");
    assert!(served[1] >= 300, "{served:?} in time");
}
