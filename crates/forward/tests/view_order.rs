//! Pattern: the store and several peers are read in any order, and some of them lag.

mod common;

use std::time::Duration;

use common::{REVISION, at, published, removed, routes, target};
use proptest::prelude::*;
use tanager_core::Incarnation;
use tanager_forward::{Change, RouteTable, TargetNumber, TargetState, View};

/// The history of one target: published, drained, removed, started again.
fn history() -> Vec<Change> {
    let mut drained = target(1, "feeds", "a");
    drained.state = TargetState::Draining;
    let mut again = target(1, "feeds", "a");
    again.incarnation = Incarnation::new(2);
    vec![
        published(target(1, "feeds", "a"), REVISION),
        published(drained, REVISION + 1),
        removed(1, REVISION + 2),
        published(again, REVISION + 3),
        published(target(2, "feeds", "b"), REVISION + 4),
        removed(2, REVISION + 5),
    ]
}

fn numbers(view: &View) -> Vec<u64> {
    let mut numbers: Vec<_> = view.published().map(|k| k.target.number.get()).collect();
    numbers.sort_unstable();
    numbers
}

proptest! {
    /// Guards against an old entry from a peer that replaces a newer one.
    #[test]
    fn the_newest_entry_wins_in_any_order(order in Just(history()).prop_shuffle()) {
        let mut view = View::default();

        for change in order {
            view.apply(change, at(0));
        }

        let known = view.get(TargetNumber::new(1)).expect("a known target");
        prop_assert_eq!(known.target.incarnation, Incarnation::new(2));
        prop_assert!(known.removed.is_none());
        // A removal that comes before its entry names nothing yet; the entry's own age is known.
        prop_assert!(numbers(&view).contains(&1));
    }
}

/// Guards against a configuration that goes back when a lagging peer is read.
#[test]
fn an_older_configuration_never_returns() {
    let mut view = View::default();
    assert!(view.apply_routes(routes(5)));

    let taken = view.apply_routes(routes(3));

    assert!(!taken);
    assert_eq!(view.routes().version, 5);
}

/// Guards against a whole reading that removes what was published after it began.
#[test]
fn a_reading_removes_only_what_it_could_have_seen() {
    let mut view = View::default();
    view.apply(published(target(1, "feeds", "a"), REVISION), at(0));
    view.apply(published(target(2, "feeds", "a"), REVISION + 9), at(0));

    let gone = view.remove_unlisted(|_| false, REVISION + 1, at(10));

    assert_eq!(gone, vec![TargetNumber::new(1)]);
    assert_eq!(numbers(&view), vec![2]);
}

/// Guards against deltas from which a receiver does not get the sender's view.
#[test]
fn a_delta_carries_all_that_the_receiver_lacks() {
    let mut sender = View::default();
    sender.apply(published(target(1, "feeds", "a"), REVISION), at(0));
    sender.apply_routes(RouteTable::new(1, REVISION, Duration::ZERO, Vec::new()));
    sender.advance(REVISION);
    let mut receiver = View::default();
    receiver.merge(sender.delta(0), at(0));
    sender.apply(removed(1, REVISION + 1), at(5));
    sender.apply(published(target(2, "feeds", "a"), REVISION + 2), at(5));
    sender.apply_routes(routes(2));
    sender.advance(REVISION + 2);

    receiver.merge(sender.delta(receiver.revision()), at(10));

    assert_eq!(numbers(&receiver), vec![2]);
    assert_eq!(receiver.revision(), REVISION + 2);
}

/// Guards against keeping every target that ever lived.
#[test]
fn removed_targets_are_forgotten_in_the_end() {
    let mut view = View::default();
    view.apply(published(target(1, "feeds", "a"), REVISION), at(0));
    view.apply(removed(1, REVISION + 1), at(0));
    view.advance(REVISION + 1);

    view.expire(at(60_000));
    let remembered = view.all().count();
    view.expire(at(121_000));

    assert_eq!(remembered, 1);
    assert_eq!(view.all().count(), 0);
    assert!(
        view.delta(REVISION).whole,
        "the receiver would miss the removal"
    );
}
