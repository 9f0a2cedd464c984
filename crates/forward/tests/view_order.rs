//! Order of updates: the store and several peers are read in any order, and some of them lag.

mod common;

use std::time::Duration;

use common::{REVISION, at, later, published, removed, routes, target};
use proptest::prelude::*;
use tanager_core::Incarnation;
use tanager_forward::{Change, RouteTable, TargetNumber, TargetState, View, ViewVersion};

/// The history of one target: published, drained, removed, started again.
fn history() -> Vec<Change> {
    let mut drained = target(1, "feeds", "a");
    drained.state = TargetState::Draining;
    let mut restarted = target(1, "feeds", "a");
    restarted.incarnation = Incarnation::new(2);
    vec![
        published(target(1, "feeds", "a"), REVISION),
        published(drained, later(1)),
        removed(1, later(2)),
        published(restarted, later(3)),
        published(target(2, "feeds", "b"), later(4)),
        removed(2, later(5)),
    ]
}

fn numbers(view: &View) -> Vec<u64> {
    let mut numbers: Vec<_> = view.published().map(|e| e.target.number.get()).collect();
    numbers.sort_unstable();
    numbers
}

proptest! {
    /// Guards against a stale entry from a peer replacing a newer one.
    #[test]
    fn the_newest_entry_wins_in_any_order(order in Just(history()).prop_shuffle()) {
        let mut view = View::default();

        for change in order {
            view.apply(change, at(0));
        }

        let entry = view.get(TargetNumber::new(1)).expect("an entry");
        prop_assert_eq!(entry.target.incarnation, Incarnation::new(2));
        prop_assert!(entry.removed.is_none());
        // A removal that arrives before any entry of its target has no effect, so target 2 may be
        // present or removed, depending on the order.
        prop_assert!(numbers(&view).contains(&1));
    }
}

/// Guards against reverting the configuration when a lagging peer is read.
#[test]
fn an_older_configuration_is_not_applied() {
    let mut view = View::default();
    assert!(view.apply_routes(routes(5)));

    let applied = view.apply_routes(routes(3));

    assert!(!applied);
    assert_eq!(view.routes().version, 5);
}

/// Guards against a complete read that removes targets published after it started.
#[test]
fn a_read_removes_only_targets_published_before_it() {
    let mut view = View::default();
    view.apply(published(target(1, "feeds", "a"), REVISION), at(0));
    view.apply(published(target(2, "feeds", "a"), later(9)), at(0));

    let removed = view.remove_unlisted(|_| false, later(1), at(10));

    assert_eq!(removed, vec![TargetNumber::new(1)]);
    assert_eq!(numbers(&view), vec![2]);
}

/// Guards against a delta after which the receiver's view differs from the sender's.
#[test]
fn a_delta_contains_all_missing_changes() {
    let mut sender = View::default();
    sender.apply(published(target(1, "feeds", "a"), REVISION), at(0));
    sender.apply_routes(RouteTable::new(1, REVISION, Duration::ZERO, Vec::new()));
    sender.advance(REVISION);
    let mut receiver = View::default();
    receiver.merge(sender.delta(ViewVersion::default()), at(0));
    sender.apply(removed(1, later(1)), at(5));
    sender.apply(published(target(2, "feeds", "a"), later(2)), at(5));
    sender.apply_routes(routes(2));
    sender.advance(later(2));

    receiver.merge(sender.delta(receiver.version()), at(10));

    assert_eq!(numbers(&receiver), vec![2]);
    assert_eq!(receiver.revision(), later(2));
}

/// Guards against retaining removed targets forever.
#[test]
fn removed_targets_are_evicted() {
    let mut view = View::default();
    view.apply(published(target(1, "feeds", "a"), REVISION), at(0));
    view.apply(removed(1, later(1)), at(0));
    view.advance(later(1));

    view.expire(at(60_000));
    let retained = view.all().count();
    view.expire(at(121_000));

    assert_eq!(retained, 1);
    assert_eq!(view.all().count(), 0);
    assert!(
        view.delta(ViewVersion {
            revision: REVISION,
            routes: 0
        })
        .whole,
        "a partial delta would omit the removal"
    );
}
