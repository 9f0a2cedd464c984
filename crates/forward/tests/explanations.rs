//! Explanations of what would happen to a new request.

mod common;

use common::{FEED_PORT, at, flow, open_flow, seeded_forwarder, target};
use tanager_forward::{
    Event, Exclusion, FlowKey, Forwarder, RingPoint, Target, TargetNumber, TargetState,
};

fn instance() -> Forwarder {
    let draining = Target {
        state: TargetState::Draining,
        ..target(9, "feeds", "a")
    };
    let targets = (1..=8).map(|n| target(n, "feeds", "a"));
    seeded_forwarder(targets.chain([draining]), 7)
}

/// Guards against flows of log lines that cannot be asked for.
#[test]
fn flows_are_parsed_as_they_are_written() {
    let flow = flow(7, FEED_PORT);

    assert_eq!(flow.to_string().parse(), Ok(flow));
    for text in ["", "10.0.0.1:1", "10.0.0.1:1>x", "10.0.0.1>10.0.0.2:2"] {
        assert!(text.parse::<FlowKey>().is_err(), "{text}");
    }
}

/// Guards against explanations that name another target than the compared ones, or hide why a target
/// is left out.
#[test]
fn the_chosen_target_is_the_least_loaded_compared_one() {
    let forwarder = instance();

    let explanation = forwarder.explain(&flow(1, FEED_PORT), at(10));

    assert_eq!(explanation.route.as_deref(), Some("r443"));
    assert_eq!((explanation.targets, explanation.admitted), (9, true));
    let first = &explanation.candidates[0];
    assert!(first.compared);
    let chosen = explanation.candidates.iter();
    let chosen = chosen.filter(|c| Some(&c.target) == explanation.chosen.as_ref());
    assert!(chosen.clone().all(|c| c.compared && c.load <= first.load));
    assert_eq!(chosen.count(), 1);
    let excluded = explanation
        .candidates
        .iter()
        .filter(|c| c.excluded.is_some());
    let excluded: Vec<_> = excluded.map(|c| c.excluded).collect();
    assert_eq!(excluded, [Some(Exclusion::Draining)]);
}

/// Guards against a missing route that is explained as an admitted request.
#[test]
fn a_flow_without_a_route_is_refused() {
    let explanation = instance().explain(&flow(1, 9), at(10));

    assert!(!explanation.admitted);
    assert_eq!(explanation.refusal.as_deref(), Some("no-route"));
}

/// Returns the targets of 200 flows of an instance that uses a subset of 60 targets or all of 5.
/// `explains` tells whether each flow is preceded by an explanation of it.
fn placements(targets: u64, explains: bool) -> Vec<(TargetNumber, f64)> {
    let mut forwarder = seeded_forwarder((1..=targets).map(|n| target(n, "feeds", "a")), 7);
    forwarder.set_ring_point(RingPoint {
        point: 0.3,
        instances: 20,
    });
    for port in 1..=200 {
        let now = at(u64::from(port));
        if explains {
            let explanation = forwarder.explain(&flow(port, FEED_PORT), now);
            assert!(explanation.admitted);
        }
        open_flow(&mut forwarder, port, FEED_PORT, now);
    }
    let events = forwarder.take_events(at(200));
    let placed = events.into_iter().filter_map(|e| match e {
        Event::Placed { target, load, .. } => Some((target, load)),
        _ => None,
    });
    placed.collect()
}

/// Guards against explanations that advance the random generator, take a turn or count as a flow.
#[test]
fn explanations_change_no_later_decision() {
    for targets in [5, 60] {
        let undisturbed = placements(targets, false);

        assert_eq!(undisturbed.len(), 200);
        assert_eq!(placements(targets, true), undisturbed, "{targets} targets");
    }
}
