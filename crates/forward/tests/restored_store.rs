//! A store that is restored from an older copy: its revisions go back and are given out again, and
//! it lists targets as they were when the copy was made.

mod common;

use std::time::Duration;

use common::{at, routes, target};
use proptest::prelude::*;
use tanager_core::{FastMap, Incarnation, Millis};
use tanager_forward::{
    Change, Epoch, StoreRevision, Target, TargetNumber, TargetState, View, ViewVersion,
};

/// Targets of a history.
const TARGETS: u64 = 4;
/// Time in which running targets publish themselves again and other entries expire.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// What happens to a target.
#[derive(Debug, Clone, Copy)]
enum Operation {
    /// It starts, or starts again.
    Start(u64),
    Drain(u64),
    Leave(u64),
}

/// What happens after the restore, before everything has been written again.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A view reads all targets.
    Read(usize),
    /// A view reads the changes since its revision.
    Watch(usize),
    /// The first view merges what the second has.
    Merge(usize, usize),
    /// The first view merges the whole view of the second.
    MergeWhole(usize, usize),
    /// A target writes its entry again.
    Rewrite(u64),
    Change(Operation),
}

/// A store and the targets that write to it.
#[derive(Clone)]
struct Store {
    revision: StoreRevision,
    items: FastMap<u64, Change>,
    log: Vec<Change>,
    running: FastMap<u64, Target>,
    starts: u64,
}

impl Store {
    fn new() -> Self {
        Self {
            revision: StoreRevision::new(Epoch::new(1), 1),
            items: FastMap::default(),
            log: Vec::new(),
            running: FastMap::default(),
            starts: 0,
        }
    }

    fn apply(&mut self, operation: Operation) {
        match operation {
            Operation::Start(number) => {
                self.starts += 1;
                let started = Target {
                    incarnation: Incarnation::new(self.starts),
                    ..target(number, "feeds", "a")
                };
                self.running.insert(number, started);
                self.write(number);
            }
            Operation::Drain(number) => {
                if let Some(target) = self.running.get_mut(&number) {
                    target.state = TargetState::Draining;
                    target.sequence += 1;
                    self.write(number);
                }
            }
            Operation::Leave(number) => {
                self.running.remove(&number);
                self.delete(number);
            }
        }
    }

    /// Returns what a running target publishes.
    fn current(&self, number: u64) -> Knowledge {
        let target = self.running.get(&number)?;
        Some((target.incarnation.get(), target.sequence, false))
    }

    fn write(&mut self, number: u64) {
        if let Some(target) = self.running.get(&number) {
            self.revision.number += 1;
            let change = Change::published(target.clone(), self.revision);
            self.items.insert(number, change.clone());
            self.log.push(change);
        }
    }

    fn delete(&mut self, number: u64) {
        if self.items.remove(&number).is_some() {
            self.revision.number += 1;
            let change = Change::removal(TargetNumber::new(number), self.revision);
            self.log.push(change);
        }
    }

    /// Writes an entry again if the store lists another one.
    fn rewrite(&mut self, number: u64) {
        let listed = self.items.get(&number).and_then(|c| c.target.as_ref());
        if listed != self.running.get(&number) {
            self.write(number);
        }
    }

    /// Replaces the content by that of a copy; the targets go on.
    fn restore(&mut self, copy: &Self) {
        let epoch = Epoch::new(2);
        let moved = |change: &Change| Change {
            revision: StoreRevision::new(epoch, change.revision.number),
            ..change.clone()
        };
        self.revision = StoreRevision::new(epoch, copy.revision.number);
        self.items = copy.items.iter().map(|(n, c)| (*n, moved(c))).collect();
        self.log.clear();
    }

    fn read(&self, view: &mut View, now: Millis) {
        for change in self.items.values() {
            view.apply_listed(change.clone(), now);
        }
        let listed = |number: TargetNumber| self.items.contains_key(&number.get());
        view.remove_unlisted(listed, self.revision, now);
        view.advance(self.revision);
        view.finish_settling(now);
    }

    /// Reports the changes since the view's revision, or lets it read everything if they belong to
    /// another history.
    fn watch(&self, view: &mut View, now: Millis) {
        if view.revision().epoch != self.revision.epoch || view.is_settle_due(now) {
            return self.read(view, now);
        }
        let after = view.revision();
        for change in self.log.iter().filter(|c| c.revision > after) {
            view.apply(change.clone(), now);
        }
        view.advance(self.revision);
    }
}

/// What a view knows of a target, in the order in which the target publishes it.
type Knowledge = Option<(u64, u64, bool)>;

fn knowledge(view: &View, number: u64) -> Knowledge {
    let entry = view.get(TargetNumber::new(number))?;
    let target = &entry.target;
    Some((
        target.incarnation.get(),
        target.sequence,
        entry.removed.is_some(),
    ))
}

fn all_knowledge(view: &View) -> Vec<Knowledge> {
    (1..=TARGETS).map(|n| knowledge(view, n)).collect()
}

/// Returns the targets that a view uses for new flows.
fn usable(view: &View) -> Vec<u64> {
    let ready = view
        .published()
        .filter(|e| e.target.state == TargetState::Ready);
    let mut numbers: Vec<_> = ready.map(|e| e.target.number.get()).collect();
    numbers.sort_unstable();
    numbers
}

fn perform(step: Step, store: &mut Store, views: &mut [View], now: Millis) {
    match step {
        Step::Read(view) => store.read(&mut views[view], now),
        Step::Watch(view) if views[view].revision().is_none() => store.read(&mut views[view], now),
        Step::Watch(view) => store.watch(&mut views[view], now),
        Step::Merge(to, from) => merge(views, to, from, views[to].version(), now),
        Step::MergeWhole(to, from) => merge(views, to, from, ViewVersion::default(), now),
        Step::Rewrite(number) => store.rewrite(number),
        Step::Change(operation) => store.apply(operation),
    }
}

fn merge(views: &mut [View], to: usize, from: usize, after: ViewVersion, now: Millis) {
    if to != from && !views[from].revision().is_none() {
        let delta = views[from].delta(after);
        views[to].merge(delta, now);
    }
}

fn operations(length: std::ops::Range<usize>) -> impl Strategy<Value = Vec<Operation>> {
    proptest::collection::vec(operation(), length)
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        (1..=TARGETS).prop_map(Operation::Start),
        (1..=TARGETS).prop_map(Operation::Drain),
        (1..=TARGETS).prop_map(Operation::Leave),
    ]
}

/// Two views were complete before the restore; the third starts after it.
const VIEWS: usize = 3;
/// The views that were complete before the restore.
const OLD_VIEWS: usize = 2;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let view = 0..VIEWS;
    let step = prop_oneof![
        view.clone().prop_map(Step::Read),
        view.clone().prop_map(Step::Watch),
        (view.clone(), view.clone()).prop_map(|(to, from)| Step::Merge(to, from)),
        (view.clone(), view).prop_map(|(to, from)| Step::MergeWhole(to, from)),
        (1..=TARGETS).prop_map(Step::Rewrite),
        operation().prop_map(Step::Change),
    ];
    proptest::collection::vec(step, 1..16)
}

/// Lets two views read a history of which the store then loses the last part.
fn restored(kept: &[Operation], lost: &[Operation]) -> (Store, Vec<View>) {
    let mut store = Store::new();
    for operation in kept {
        store.apply(*operation);
    }
    let copy = store.clone();
    let mut views: Vec<_> = (0..VIEWS).map(|_| View::default()).collect();
    for view in &mut views[..OLD_VIEWS] {
        store.read(view, at(0));
    }
    for operation in lost {
        store.apply(*operation);
        for view in &mut views[..OLD_VIEWS] {
            store.watch(view, at(0));
        }
    }
    store.restore(&copy);
    (store, views)
}

proptest! {
    /// Guards against going back to what a target published earlier: the restored store lists
    /// targets that have drained or left since the copy, and not those that have started.
    #[test]
    fn no_view_goes_back_before_the_store_has_settled(
        (kept, lost, steps) in (operations(1..10), operations(0..10), steps())
    ) {
        let (mut store, mut views) = restored(&kept, &lost);

        for step in steps {
            let before: Vec<_> = views[..OLD_VIEWS].iter().map(all_knowledge).collect();
            perform(step, &mut store, &mut views, at(1_000));
            for (view, before) in views.iter().zip(before) {
                let after = all_knowledge(view);
                let back = (1..=TARGETS).zip(before.iter().zip(&after)).find(|(number, (b, a))| {
                    a < b && **a != store.current(*number)
                });
                prop_assert!(back.is_none(), "{step:?}: {before:?} became {after:?}");
            }
        }
    }

    /// Guards against views that stay apart from the store or from each other after a restore.
    #[test]
    fn all_views_agree_with_the_store_once_it_has_settled(
        (kept, lost, steps) in (operations(1..10), operations(0..10), steps())
    ) {
        let (mut store, mut views) = restored(&kept, &lost);
        for step in steps {
            perform(step, &mut store, &mut views, at(1_000));
        }
        // The hub reads the store after the others have merged its view, as after an outage.
        for step in [Step::Watch(0), Step::Merge(1, 0), Step::Merge(2, 0)] {
            perform(step, &mut store, &mut views, at(2_000));
        }

        let running: Vec<_> = store.running.keys().copied().collect();
        for number in &running {
            store.rewrite(*number);
        }
        let gone: Vec<_> = store.items.keys().copied().filter(|n| !running.contains(n)).collect();
        for number in gone {
            store.delete(number);
        }
        let now = at(2_000) + SETTLE_TIME;
        perform(Step::Watch(0), &mut store, &mut views, now);
        for view in 1..VIEWS {
            let whole = views[view].is_settle_due(now);
            let step = if whole { Step::MergeWhole(view, 0) } else { Step::Merge(view, 0) };
            perform(step, &mut store, &mut views, now);
        }

        let ready = |target: &&Target| target.state == TargetState::Ready;
        let mut expected: Vec<_> =
            store.running.values().filter(ready).map(|t| t.number.get()).collect();
        expected.sort_unstable();
        for view in &views {
            prop_assert_eq!(usable(view), expected.clone());
            prop_assert_eq!(view.revision(), store.revision);
        }
    }
}

/// Guards against an instance that starts after the restore and uses a target that has left: only
/// the other instances know that it did.
#[test]
fn a_started_view_learns_from_its_peer_what_the_store_has_lost() {
    let kept = [Operation::Start(1), Operation::Start(2)];
    let (store, mut views) = restored(&kept, &[Operation::Leave(1)]);
    store.read(&mut views[2], at(1_000));
    let listed = usable(&views[2]);

    merge(&mut views, 2, 0, ViewVersion::default(), at(1_000));

    assert_eq!(listed, vec![1, 2]);
    assert_eq!(usable(&views[2]), vec![2]);
}

/// Guards against giving up a target for good because it was removed in the lost span: once the
/// store has settled, what it lists counts.
#[test]
fn a_target_that_the_settled_store_lists_is_used_again() {
    let (store, mut views) = restored(&[Operation::Start(1)], &[Operation::Leave(1)]);
    store.read(&mut views[0], at(1_000));
    merge(&mut views, 1, 0, ViewVersion::default(), at(1_000));
    let retained = usable(&views[0]);

    let now = at(1_000) + SETTLE_TIME;
    store.watch(&mut views[0], now);
    merge(&mut views, 1, 0, ViewVersion::default(), now);

    assert_eq!(retained, Vec::<u64>::new());
    assert_eq!((usable(&views[0]), usable(&views[1])), (vec![1], vec![1]));
}

/// Guards against routes of the copy: their version is older, although their epoch is later.
#[test]
fn routes_do_not_go_back_with_the_store() {
    let mut view = View::default();
    view.apply_routes(routes(5));
    let mut older = routes(3);
    older.revision.epoch = Epoch::new(2);

    let applied = view.apply_routes(older);

    assert!(!applied);
    assert_eq!(view.routes().version, 5);
}

/// Guards against a peer that lacks the newest routes for good: they were adopted at a revision of
/// the earlier epoch.
#[test]
fn a_delta_has_routes_of_a_later_version_whatever_their_revision() {
    let mut view = View::default();
    view.apply_routes(routes(5));
    view.advance(StoreRevision::new(Epoch::new(2), 3));
    let after = ViewVersion {
        revision: view.revision(),
        routes: 3,
    };

    let delta = view.delta(after);

    assert_eq!(delta.routes.map(|r| r.version), Some(5));
    assert!(!delta.whole);
}
