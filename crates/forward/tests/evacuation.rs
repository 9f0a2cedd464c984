//! Evacuated zones: which packets still reach their targets.

mod common;

use common::{
    Client, FEED_PORT, REVISION, at, forwarder_with, later, open_flow, sent_to, target, zone,
};
use tanager_core::Millis;
use tanager_forward::{
    Action, Delta, DropReason, DueAction, Epoch, EvacuationChange, Event, Forwarder, ResetReason,
    RouteTable, StoreRevision, TargetNumber, ViewVersion,
};

/// Targets 1 and 2 are in zone `a`, as the instance is; 3 and 4 are in zone `b`.
fn forwarder() -> Forwarder {
    let zones = ["a", "a", "b", "b"];
    let targets = (1..).zip(zones).map(|(n, zone)| target(n, "feeds", zone));
    forwarder_with(targets)
}

fn change(name: &str, revision: StoreRevision, ended: bool) -> EvacuationChange {
    EvacuationChange {
        zone: zone(name),
        revision,
        ended,
    }
}

fn evacuate(forwarder: &mut Forwarder, name: &str, now: Millis) {
    forwarder.apply_evacuation(change(name, later(1), false), now);
    forwarder.advance(later(1));
}

fn is_in_a(target: TargetNumber) -> bool {
    target <= TargetNumber::new(2)
}

/// Returns the targets to which openings are sent that were not answered in time.
fn second_targets(due: &[DueAction]) -> Vec<TargetNumber> {
    due.iter().map(|d| sent_to(d.action)).collect()
}

/// Guards against first openings to an evacuated zone, although it is the instance's own.
#[test]
fn new_flows_avoid_an_evacuated_zone() {
    let mut forwarder = forwarder();

    evacuate(&mut forwarder, "a", at(10));

    for port in 1..40 {
        let opened = Client::new(port, FEED_PORT).opening(&mut forwarder, 0, at(20));
        assert!(!is_in_a(sent_to(opened)));
    }
    assert_eq!(forwarder.gauges(at(20)).evacuated, 1);
}

/// Guards against resets and moves of open flows, whose targets live.
#[test]
fn open_flows_stay_in_an_evacuated_zone() {
    let mut forwarder = forwarder();
    let mut client = open_flow(&mut forwarder, 1_024, FEED_PORT, at(0));
    let opened_at = sent_to(client.send(&mut forwarder, 10, at(5)));

    evacuate(&mut forwarder, "a", at(10));

    assert!(is_in_a(opened_at));
    assert_eq!(
        sent_to(client.send(&mut forwarder, 10, at(9_000))),
        opened_at
    );
    let copy = Client::new(1_024, FEED_PORT).opening(&mut forwarder, 0, at(9_000));
    assert_eq!(copy, Action::Drop(DropReason::Evacuated));
}

/// Guards against a copy of an opening that follows the first one into the zone, and against a
/// second target there.
#[test]
fn openings_without_an_answer_are_placed_again() {
    let mut forwarder = forwarder();
    let client = Client::new(1_024, FEED_PORT);
    let first = sent_to(client.opening(&mut forwarder, 0, at(0)));

    evacuate(&mut forwarder, "a", at(10));
    let copy = sent_to(client.opening(&mut forwarder, 0, at(20)));
    let repeated = sent_to(client.opening(&mut forwarder, 1, at(220)));
    let due = forwarder.take_due(at(300));

    assert!(is_in_a(first));
    assert!(!is_in_a(copy) && !is_in_a(repeated));
    assert!(second_targets(&due).iter().all(|t| !is_in_a(*t)), "{due:?}");
}

/// Guards against a second target in the zone for an opening that nobody repeats.
#[test]
fn second_targets_avoid_an_evacuated_zone() {
    let mut forwarder = forwarder();
    Client::new(1_024, FEED_PORT).opening(&mut forwarder, 0, at(0));

    evacuate(&mut forwarder, "a", at(10));
    let due = forwarder.take_due(at(100));

    let targets = second_targets(&due);
    assert_eq!(targets.len(), 1);
    assert!(!is_in_a(targets[0]));
}

/// Guards against a held opening that is released into the zone: packets wait for routes while the
/// evacuation is read.
#[test]
fn held_openings_avoid_an_evacuated_zone() {
    let mut forwarder = Forwarder::new(zone("a"), 7);
    let held = Client::new(1_024, FEED_PORT).opening(&mut forwarder, 0, at(0));
    let mut peer = self::forwarder();
    evacuate(&mut peer, "a", at(0));

    forwarder.merge(peer.view().delta(ViewVersion::default()), at(10));
    let due = forwarder.take_due(at(10));

    assert_eq!(held, Action::Wait);
    assert!(!is_in_a(second_targets(&due)[0]));
}

/// Guards against openings that wait in vain while no zone may take them. A copy of one that a
/// target may just have answered is not reset.
#[test]
fn openings_are_refused_if_all_zones_are_evacuated() {
    let mut forwarder = forwarder();
    let early = Client::new(1_024, FEED_PORT);
    early.opening(&mut forwarder, 0, at(0));
    evacuate(&mut forwarder, "a", at(10));
    evacuate(&mut forwarder, "b", at(10));
    forwarder.take_events(at(10));

    let copy = early.opening(&mut forwarder, 1, at(200));
    let refused = Client::new(1_025, FEED_PORT).opening(&mut forwarder, 0, at(200));

    assert_eq!(copy, Action::Drop(DropReason::Evacuated));
    assert_eq!(refused, Action::Reset { sequence: 0 });
    let events = forwarder.take_events(at(200));
    let no_target = |e: &Event| {
        matches!(
            e,
            Event::Reset {
                reason: ResetReason::NoTarget,
                ..
            }
        )
    };
    assert!(events.iter().any(no_target), "{events:?}");
}

/// Opens a flow at the second of two targets, and evacuates the zone of the first one. Returns
/// whether the first one gets the opening again, with the cookie of the flow, at the given time.
fn corrects_at(now: Millis) -> bool {
    let mut forwarder = forwarder();
    let mut client = Client::new(1_024, FEED_PORT);
    let first = sent_to(client.opening(&mut forwarder, 0, at(0)));
    evacuate(&mut forwarder, "a", at(10));
    let second = second_targets(&forwarder.take_due(at(100)))[0];
    client.accept_opening(second);
    client.acknowledge(&mut forwarder, 0, at(110));
    client.send(&mut forwarder, 10, at(110));

    client.acknowledge(&mut forwarder, 100, now);

    let due = forwarder.take_due(now);
    second_targets(&due).contains(&first)
}

/// Guards against half-open connections that repeat a wrong cookie, and against openings that reach
/// the zone late.
#[test]
fn corrections_end_a_second_after_the_evacuation_began() {
    assert!(corrects_at(at(500)));
    assert!(!corrects_at(at(1_100)));
}

/// Returns the load that the chosen target of a new flow seems to have.
fn placed_load(forwarder: &mut Forwarder, port: u16, now: Millis) -> f64 {
    forwarder.take_events(now);
    let opened = Client::new(port, FEED_PORT).opening(forwarder, 0, now);
    assert!(is_in_a(sent_to(opened)));
    let loads = forwarder
        .take_events(now)
        .into_iter()
        .find_map(|e| match e {
            Event::Placed { load, .. } => Some(load),
            _ => None,
        });
    loads.expect("a placed flow")
}

/// Guards against a rush to the idle targets of a zone whose evacuation has ended: other instances
/// choose them at the same time.
#[test]
fn targets_are_ramped_up_after_an_evacuation() {
    let mut forwarder = forwarder();
    evacuate(&mut forwarder, "a", at(10));

    forwarder.apply_evacuation(change("a", later(2), true), at(5_000));
    let ramping = placed_load(&mut forwarder, 1_024, at(6_900));
    let after = placed_load(&mut forwarder, 1_025, at(7_000));

    assert!(
        ramping > after + 0.1,
        "{ramping} while ramping up, then {after}"
    );
}

/// Guards against an evacuation that peers do not read: it changes no target and no route.
#[test]
fn an_evacuation_is_part_of_the_difference_between_views() {
    let mut forwarder = forwarder();
    let (before, generation) = (forwarder.view().version(), forwarder.view().generation());

    evacuate(&mut forwarder, "a", at(10));
    let delta = forwarder.view().delta(before);

    assert!(forwarder.view().version().is_newer_than(before));
    assert!(forwarder.view().generation() > generation);
    assert_eq!(delta.evacuations, [change("a", later(1), false)]);
}

/// Guards against a view of a build without evacuations that passes for one without any in force:
/// its reader would end them, and be complete up to a revision whose evacuations it lacks.
#[test]
fn a_view_of_a_build_without_evacuations_is_refused() {
    let Delta {
        revision,
        whole,
        changes,
        routes,
        ..
    } = forwarder().view().delta(ViewVersion::default());
    let former = (revision, whole, changes, routes);

    let bytes = postcard::to_stdvec(&former).expect("an encoded view");

    assert!(postcard::from_bytes::<Delta>(&bytes).is_err());
}

/// Guards against a build without evacuations that cannot read a view which has some.
#[test]
fn a_build_without_evacuations_can_read_views() {
    type Former = (
        StoreRevision,
        bool,
        Vec<tanager_forward::Change>,
        Option<RouteTable>,
    );
    let mut forwarder = forwarder();
    evacuate(&mut forwarder, "a", at(10));
    let delta = forwarder.view().delta(ViewVersion::default());

    let bytes = postcard::to_stdvec(&delta).expect("an encoded view");
    let former: Former = postcard::from_bytes(&bytes).expect("a view without evacuations");

    assert_eq!((former.0, former.2.len()), (later(1), 4));
}

/// Guards against an evacuation that ends because the store was restored from an older copy: the
/// operator gets time to publish it again.
#[test]
fn an_evacuation_that_a_restored_store_lacks_is_kept_for_a_while() {
    let mut forwarder = forwarder();
    evacuate(&mut forwarder, "a", at(10));
    let restored = StoreRevision::new(Epoch::new(2), 5);
    let mut evacuated_after_read = |now| {
        forwarder.apply_evacuation_list(Vec::new(), restored, now);
        forwarder.advance(restored);
        forwarder.finish_settling(now);
        forwarder.gauges(now).evacuated
    };

    let kept = [at(1_000), at(5_900)].map(&mut evacuated_after_read);

    assert_eq!(kept, [1, 1]);
    assert_eq!(evacuated_after_read(at(6_000)), 0);
}

/// Guards against unbounded growth by evacuations that begin and end.
#[test]
fn ended_evacuations_are_evicted() {
    let mut forwarder = forwarder();
    evacuate(&mut forwarder, "a", at(10));
    forwarder.apply_evacuation(change("a", later(2), true), at(20));

    forwarder.sweep(at(130_000));

    let delta = forwarder.view().delta(ViewVersion::default());
    assert_eq!(delta.evacuations, []);
    assert!(REVISION < delta.revision);
}
