//! A restarted instance reads the store page by page and merges the views of peers that lag behind
//! it or each other, in any order.

mod common;

use std::time::Duration;

use common::{REVISION, at, later, published, target};
use proptest::prelude::*;
use tanager_core::{Incarnation, Millis};
use tanager_forward::{Change, StoreRevision, Target, TargetNumber, View, ViewVersion};

/// Targets of a history.
const TARGETS: u64 = 4;
/// The last target of the first page of a full read.
const FIRST_PAGE_END: u64 = 2;
/// Longer than a view retains removed targets.
const EVICTION_TIME: Duration = Duration::from_mins(3);

/// A change in the store.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Operation {
    /// The target starts, or starts again.
    Publish(u64),
    Remove(u64),
}

impl Operation {
    const fn number(self) -> u64 {
        match self {
            Self::Publish(number) | Self::Remove(number) => number,
        }
    }
}

/// What the restarted instance does next. Positions count changes of the history.
#[derive(Debug, Clone)]
enum Step {
    /// Merges the whole view of a peer that has applied this many changes.
    MergeWhole(usize),
    /// Merges the changes since its own revision of such a peer.
    MergeDelta(usize),
    /// Merges the same from a peer that has started there, with a full read of the store.
    MergeStarted(usize),
    /// Reads the first page, merges the whole view of a peer, and reads the last page.
    ReadPages {
        first: usize,
        peer: Option<usize>,
        last: usize,
    },
    /// Receives the changes up to a position from a watch.
    Watch(usize),
    /// Removed targets are evicted.
    Evict,
}

/// The changes of the store, in order.
#[derive(Debug, Clone)]
struct History(Vec<Operation>);

impl History {
    fn revision(position: usize) -> StoreRevision {
        later(position as u64)
    }

    fn change(&self, index: usize) -> Change {
        let revision = Self::revision(index + 1);
        match self.0[index] {
            Operation::Publish(number) => published(incarnation(number, revision.number), revision),
            Operation::Remove(number) => Change::removal(TargetNumber::new(number), revision),
        }
    }

    /// Returns the entry of a target after this many changes.
    fn entry(&self, number: u64, position: usize) -> Option<Change> {
        let newest = (0..position).rfind(|i| self.0[*i].number() == number)?;
        Some(self.change(newest)).filter(|change| !change.removed)
    }

    /// Returns the incarnation that a target has after this many changes, if it is published.
    fn state(&self, number: u64, position: usize) -> Option<Incarnation> {
        let entry = self.entry(number, position)?;
        entry.target.map(|t| t.incarnation)
    }

    /// Returns the view of a peer that has applied this many changes.
    fn peer(&self, position: usize) -> View {
        let mut view = View::default();
        view.advance(REVISION);
        self.watch(&mut view, position, at(0));
        view
    }

    /// Returns the view of a peer that has read everything after this many changes.
    fn started(&self, position: usize) -> View {
        let mut view = View::default();
        for entry in (1..=TARGETS).filter_map(|n| self.entry(n, position)) {
            view.apply_listed(entry, at(0));
        }
        let revision = Self::revision(position);
        view.remove_unlisted(|_| true, revision, at(0));
        view.advance(revision);
        view
    }

    fn watch(&self, view: &mut View, position: usize, now: Millis) {
        for index in 0..position {
            if Self::revision(index + 1) > view.revision() {
                view.apply(self.change(index), now);
            }
        }
        view.advance(Self::revision(position));
    }
}

fn incarnation(number: u64, revision: u64) -> Target {
    Target {
        incarnation: Incarnation::new(revision),
        ..target(number, "feeds", "a")
    }
}

/// The restarted instance.
struct Reader {
    view: View,
    now: Millis,
    history: History,
}

impl Reader {
    fn perform(&mut self, step: &Step) {
        let known = !self.view.revision().is_none();
        match *step {
            Step::MergeWhole(position) => self.merge(position, ViewVersion::default()),
            Step::MergeDelta(position) if known => self.merge(position, self.view.version()),
            Step::ReadPages { first, peer, last } => self.read_pages(first, peer, last),
            Step::Watch(position) if known => {
                self.history.watch(&mut self.view, position, self.now);
            }
            Step::MergeStarted(position) if known => {
                let delta = self.history.started(position).delta(self.view.version());
                self.view.merge(delta, self.now);
            }
            Step::MergeDelta(_) | Step::MergeStarted(_) | Step::Watch(_) => {}
            Step::Evict => {
                self.now = self.now + EVICTION_TIME;
                self.view.expire(self.now);
            }
        }
    }

    fn merge(&mut self, position: usize, after: ViewVersion) {
        let delta = self.history.peer(position).delta(after);
        self.view.merge(delta, self.now);
    }

    /// Reads both pages. The store is linearizable, so a page is at least as new as everything that
    /// was read before.
    fn read_pages(&mut self, first: usize, peer: Option<usize>, last: usize) {
        let first = first.max(self.position());
        let mut listed = self.read_page(1..=FIRST_PAGE_END, first);
        if let Some(position) = peer {
            self.merge(position, ViewVersion::default());
        }
        let last = last.max(first).max(self.position());
        listed.extend(self.read_page(FIRST_PAGE_END + 1..=TARGETS, last));
        let revision = History::revision(first);
        let now = self.now;
        self.view
            .remove_unlisted(|n| listed.contains(&n), revision, now);
        self.view.advance(revision);
    }

    fn read_page(
        &mut self,
        numbers: impl Iterator<Item = u64>,
        position: usize,
    ) -> Vec<TargetNumber> {
        let entries: Vec<_> = numbers
            .filter_map(|n| self.history.entry(n, position))
            .collect();
        let listed = entries.iter().map(|e| e.number).collect();
        for entry in entries {
            self.view.apply_listed(entry, self.now);
        }
        listed
    }

    /// Returns the incarnation that the view publishes for a target.
    fn state(&self, number: u64) -> Option<Incarnation> {
        let entry = self.view.get(TargetNumber::new(number))?;
        entry.removed.is_none().then_some(entry.target.incarnation)
    }

    /// Returns the position up to which the view is complete.
    fn position(&self) -> usize {
        let position = self.view.revision().number.saturating_sub(REVISION.number);
        usize::try_from(position).expect("a small number")
    }

    /// Returns the targets whose state is older than the revision to which the view is complete.
    fn stale(&self) -> Vec<u64> {
        if self.view.revision().is_none() {
            return Vec::new();
        }
        let is_stale = |number: &u64| {
            let state = self.state(*number);
            let mut later = self.position()..=self.history.0.len();
            !later.any(|position| self.history.state(*number, position) == state)
        };
        (1..=TARGETS).filter(is_stale).collect()
    }
}

fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let number = 1..=TARGETS;
    let operation = prop_oneof![
        number.clone().prop_map(Operation::Publish),
        number.prop_map(Operation::Remove),
    ];
    proptest::collection::vec(operation, 1..16)
}

fn steps(length: usize) -> impl Strategy<Value = Vec<Step>> {
    let position = 0..=length;
    let pages = (
        position.clone(),
        proptest::option::of(position.clone()),
        position.clone(),
    );
    let step = prop_oneof![
        position.clone().prop_map(Step::MergeWhole),
        position.clone().prop_map(Step::MergeDelta),
        position.clone().prop_map(Step::MergeStarted),
        pages.prop_map(|(first, peer, last)| Step::ReadPages { first, peer, last }),
        position.prop_map(Step::Watch),
        Just(Step::Evict),
    ];
    proptest::collection::vec(step, 1..8)
}

fn plans() -> impl Strategy<Value = (Vec<Operation>, Vec<Step>)> {
    operations().prop_flat_map(|operations| {
        let length = operations.len();
        (Just(operations), steps(length))
    })
}

proptest! {
    /// Guards against using a target that has left: after a restart, a peer that lags behind the
    /// store still lists it, and its removal is never received.
    #[test]
    fn no_source_reverts_a_change((operations, steps) in plans()) {
        let mut reader = Reader {
            view: View::default(),
            now: at(0),
            history: History(operations),
        };

        for step in &steps {
            reader.perform(step);

            prop_assert_eq!(reader.stale(), Vec::<u64>::new(), "after {:?}", step);
        }
    }
}

/// Guards against dropping packets of open flows: the targets that a lagging peer still lists are
/// needed to forward them, although they get no new flows.
#[test]
fn a_target_listed_by_a_lagging_peer_only_is_retained_as_removed() {
    let history = History(vec![Operation::Publish(1), Operation::Remove(1)]);
    let mut view = View::default();
    view.advance(History::revision(2));

    view.merge(history.peer(1).delta(ViewVersion::default()), at(0));

    let entry = view.get(TargetNumber::new(1)).expect("an entry");
    assert!(entry.removed.is_some());
    assert_eq!(view.published().count(), 0);
}

/// Guards against using a target that has left: a peer that has started since knows only what the
/// store listed at its start, so the difference since an earlier revision lacks the removal.
#[test]
fn a_peer_that_has_started_since_sends_its_whole_view() {
    let history = History(vec![Operation::Publish(1), Operation::Remove(1)]);
    let mut view = history.peer(1);

    view.merge(history.started(2).delta(view.version()), at(0));

    assert_eq!(view.published().count(), 0);
}
