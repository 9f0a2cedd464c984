use std::time::Duration;

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tanager_core::{Incarnation, Millis, ServiceId, TargetId, ZoneName};

use super::locality::{ByZone, split};
use super::{Candidate, Observation, Picker, Tuning, WorkKind};

const SERVICE: ServiceId = ServiceId::new(1);
const START: Millis = Millis::new(1_000_000);

fn zone(name: &str) -> ZoneName {
    name.parse().expect("zone")
}

fn zones(counts: [u32; 3]) -> ByZone {
    let named = ["a", "b", "c"].into_iter().zip(counts);
    named
        .map(|(n, count)| (zone(n), f64::from(count)))
        .collect()
}

fn picker() -> Picker {
    Picker::new(
        zone("a"),
        Tuning::default(),
        START,
        StdRng::seed_from_u64(1),
    )
}

fn candidates(count: u32) -> Vec<Candidate> {
    let candidate = |number| Candidate {
        target: TargetId::new(number),
        incarnation: Incarnation::new(1),
        zone: zone("a"),
        capacity: 2.0,
        reported: 0.0,
        reported_at: START,
        own: 0.0,
    };
    (0..count).map(candidate).collect()
}

/// Picks often and returns how often each candidate was chosen. Every pick ends at once.
fn picks(picker: &mut Picker, candidates: &[Candidate], times: u32, now: Millis) -> Vec<u32> {
    let kind = (SERVICE, WorkKind::Request);
    let slots = candidates.iter().map(|c| c.capacity).sum();
    let listed = ByZone::from_iter([(zone("a"), slots)]);
    let mut counts = vec![0; candidates.len()];
    for n in 0..times {
        let mut fresh = candidates.to_vec();
        for candidate in &mut fresh {
            candidate.reported_at = Millis::new(n.into());
        }
        let pick = picker.pick(kind, &fresh, &[], (&ByZone::default(), &listed), now);
        counts[pick.expect("a target").index] += 1;
    }
    counts
}

fn observe(picker: &mut Picker, target: u32, what: Observation, listed: usize, now: Millis) {
    picker.observe(SERVICE, TargetId::new(target), what, listed, now);
}

fn fail(picker: &mut Picker, target: u32, listed: usize, now: Millis) {
    (0..5).for_each(|_| observe(picker, target, Observation::Failed, listed, now));
}

/// Guards against a zone preference that gives a zone more work than its share of the targets,
/// or sends work away that its zone could take.
#[test]
fn splits_give_every_zone_its_share() {
    let cases = [
        ([3, 3, 2], [5, 5, 4]),
        ([3, 3, 2], [2, 1, 1]),
        ([1, 0, 7], [1, 6, 1]),
    ];
    for (instances, targets) in cases {
        let (instances, targets) = (zones(instances), zones(targets));
        let (live, slots): (f64, f64) = (instances.values().sum(), targets.values().sum());
        let mut received = ByZone::default();
        for (own, count) in instances.iter().filter(|(_, n)| **n > 0.0) {
            let shares = split(own, &instances, &targets);
            let local = (count / live).min(targets[own] / slots);
            assert!(
                (shares[own] * count / live - local).abs() < 1e-9,
                "{own}: {shares:?}"
            );
            for (zone, share) in shares {
                *received.entry(zone).or_default() += share * count / live;
            }
        }
        for (zone, part) in received {
            assert!(
                (part - targets[&zone] / slots).abs() < 1e-9,
                "{zone}: {part}"
            );
        }
    }
}

/// Guards against a target that attracts work by reporting no load.
#[test]
fn an_idle_report_attracts_no_more_than_the_share() {
    let mut candidates = candidates(5);
    candidates[1..].iter_mut().for_each(|c| c.reported = 4.0);
    let counts = picks(&mut picker(), &candidates, 1_000, START);
    assert!(counts[0] <= 220, "{counts:?}");
}

/// Guards against a target that keeps its share although it is much slower than its peers.
#[test]
fn a_slow_target_gets_less() {
    let mut picker = picker();
    for target in 0..5 {
        let time = if target == 0 { 50 } else { 10 };
        let done = Observation::Completed(Duration::from_millis(time));
        observe(&mut picker, target, done, 5, START);
    }
    let counts = picks(&mut picker, &candidates(5), 1_000, START);
    assert!(counts[0] < counts[1] / 3, "{counts:?}");
}

/// Guards against a cold target that gets a full share at once, and against one that never does.
#[test]
fn a_new_target_starts_slowly() {
    let mut picker = picker();
    let later = START + Duration::from_mins(1);
    picks(&mut picker, &candidates(4), 100, START);
    let cold = picks(&mut picker, &candidates(5), 1_000, later);
    let warm = picks(
        &mut picker,
        &candidates(5),
        1_000,
        later + Duration::from_secs(11),
    );
    assert!(cold[4] > 0 && cold[4] < cold[0] / 3, "{cold:?}");
    assert!(warm[4] > 190 && warm[4] < 210, "{warm:?}");
}

/// Guards against a failing target that keeps its work, and against a flood when it returns.
#[test]
fn a_failing_target_is_ejected_for_a_growing_time() {
    let mut picker = picker();
    fail(&mut picker, 0, 5, START);
    let later = START + Duration::from_secs(3);
    assert_eq!(picks(&mut picker, &candidates(5), 500, START)[0], 0);
    let back = picks(&mut picker, &candidates(5), 500, later);
    assert!((90..=110).contains(&back[0]), "{back:?}");
    fail(&mut picker, 0, 5, later);
    let counts = picks(
        &mut picker,
        &candidates(5),
        500,
        later + Duration::from_secs(3),
    );
    assert_eq!(counts[0], 0, "the second ejection is longer");
}

/// Guards against feeds that end no row of failures, so that rare failures add up over hours.
#[test]
fn a_taken_feed_ends_a_row_of_failures() {
    let mut picker = picker();
    for _ in 0..4 {
        observe(&mut picker, 0, Observation::Failed, 5, START);
    }
    observe(&mut picker, 0, Observation::Accepted, 5, START);
    observe(&mut picker, 0, Observation::Failed, 5, START);
    assert!(picks(&mut picker, &candidates(5), 100, START)[0] > 0);
}

/// Guards against ejections that take more than 30% of a service away.
#[test]
fn at_most_three_of_ten_targets_are_ejected() {
    let mut picker = picker();
    (0..6).for_each(|target| fail(&mut picker, target, 10, START));
    let counts = picks(&mut picker, &candidates(10), 1_000, START);
    assert_eq!(counts.iter().filter(|n| **n == 0).count(), 3, "{counts:?}");
}

/// Guards against ejecting what remains when other targets are already gone.
#[test]
fn ejections_are_ignored_when_few_targets_remain() {
    let mut picker = picker();
    (0..3).for_each(|target| fail(&mut picker, target, 10, START));
    let remaining = candidates(6);
    let kind = (SERVICE, WorkKind::Request);
    let listed = ByZone::from_iter([(zone("a"), 20.0)]);
    let none = ByZone::default();
    let pick = |p: &mut Picker| p.pick(kind, &remaining, &[], (&none, &listed), START);
    let chosen: Vec<_> = (0..100).filter_map(|_| pick(&mut picker)).collect();
    assert!(chosen.iter().any(|c| c.index < 3));
}

/// Guards against treating overload of the whole service as a fault of one target.
#[test]
fn sheds_eject_only_an_outlier() {
    let mut picker = picker();
    for _ in 0..30 {
        (0..5).for_each(|t| observe(&mut picker, t, Observation::Shed, 5, START));
    }
    let all = picks(&mut picker, &candidates(5), 500, START);
    assert!(all.iter().all(|n| *n > 0), "{all:?}");
    let later = START + Duration::from_secs(30);
    let done = Observation::Completed(Duration::from_millis(10));
    for _ in 0..30 {
        (1..5).for_each(|t| observe(&mut picker, t, done, 5, later));
        observe(&mut picker, 0, Observation::Shed, 5, later);
    }
    assert_eq!(picks(&mut picker, &candidates(5), 500, later)[0], 0);
}

/// Guards against an instance without reachable targets in its own zone that refuses all work,
/// and against a choice of an excluded target.
#[test]
fn what_is_reachable_is_used() {
    let mut picker = picker();
    let mut far = candidates(2);
    for candidate in &mut far {
        candidate.zone = zone("b");
    }
    let (instances, listed) = (zones([1, 1, 0]), zones([4, 4, 0]));
    let kind = (SERVICE, WorkKind::Flow);
    let excluded = [TargetId::new(0)];
    let pick = picker.pick(kind, &far, &excluded, (&instances, &listed), START);
    assert_eq!(pick.map(|p| p.index), Some(1));
    let both = [TargetId::new(0), TargetId::new(1)];
    assert!(
        picker
            .pick(kind, &far, &both, (&instances, &listed), START)
            .is_none()
    );
}
