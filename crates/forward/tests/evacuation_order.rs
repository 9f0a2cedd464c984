//! An instance learns of evacuations from watches, full reads and peers that lag behind, in any
//! order and across restores of the store.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{at, zone};
use proptest::prelude::*;
use tanager_core::Millis;
use tanager_forward::{Epoch, EvacuationChange, StoreRevision, View, ViewVersion};

const ZONES: [&str; 2] = ["a", "b"];
/// Longer than a view retains what a restored store lacks.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Longer than a view retains evacuations that have ended.
const EVICTION_TIME: Duration = Duration::from_mins(3);

#[derive(Debug, Clone, Copy)]
enum Operation {
    Begin(&'static str),
    End(&'static str),
    /// The store is restored as it was this many changes ago.
    Restore(usize),
}

/// The store after a change: its revision, and the revisions of its evacuations.
#[derive(Debug, Clone, Default)]
struct Snapshot {
    revision: StoreRevision,
    evacuated: BTreeMap<&'static str, StoreRevision>,
}

impl Snapshot {
    fn after(history: &[Self], operation: Operation) -> Self {
        let last = history.last().expect("a first snapshot");
        let StoreRevision { epoch, number } = last.revision;
        let mut next = last.clone();
        next.revision = StoreRevision::new(epoch, number + 1);
        match operation {
            Operation::Begin(zone) => drop(next.evacuated.insert(zone, next.revision)),
            Operation::End(zone) => drop(next.evacuated.remove(zone)),
            Operation::Restore(back) => {
                let copy = &history[history.len() - 1 - back % history.len()];
                let epoch = next_epoch(epoch);
                let moved = |r: &StoreRevision| StoreRevision::new(epoch, r.number);
                next.revision = moved(&copy.revision);
                next.evacuated = copy.evacuated.iter().map(|(z, r)| (*z, moved(r))).collect();
            }
        }
        next
    }

    fn list(&self) -> Vec<EvacuationChange> {
        let change = |(name, revision): (&&str, &StoreRevision)| EvacuationChange {
            zone: zone(name),
            revision: *revision,
            ended: false,
        };
        self.evacuated.iter().map(change).collect()
    }
}

fn next_epoch(epoch: Epoch) -> Epoch {
    let number: u64 = epoch.to_string().parse().expect("a number");
    Epoch::new(number + 1)
}

/// What the instance does next. Positions count changes of the history.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Receives the changes up to a position from a watch, in its epoch.
    Watch(usize),
    /// Reads a list from the store at a position. The same full read has read targets this many
    /// changes before, so the view is complete only up to there.
    List {
        position: usize,
        earlier: usize,
    },
    /// Merges the whole view, or the difference, of a peer that has followed every change so far.
    Merge {
        position: usize,
        whole: bool,
    },
    /// Merges the view of a peer that has started with such a read of the store.
    MergeStarted {
        position: usize,
        earlier: usize,
    },
    Wait(Duration),
}

struct Reader {
    view: View,
    now: Millis,
    history: Vec<Snapshot>,
}

impl Reader {
    fn perform(&mut self, step: Step) {
        let after = self.view.version();
        match step {
            Step::Watch(position) => watch(&mut self.view, &self.history, position, self.now),
            Step::List { position, earlier } => {
                list(
                    &mut self.view,
                    &self.history[..=position],
                    earlier,
                    self.now,
                );
            }
            Step::Merge { position, whole } => {
                let after = if whole { ViewVersion::default() } else { after };
                self.view.merge(self.peer(position).delta(after), self.now);
            }
            Step::MergeStarted { position, earlier } => {
                let mut peer = View::default();
                list(&mut peer, &self.history[..=position], earlier, self.now);
                self.view.merge(peer.delta(after), self.now);
            }
            Step::Wait(time) => {
                self.now = self.now + time;
                self.view.expire(self.now);
            }
        }
    }

    /// Returns the view of a peer that has followed every change up to a position.
    fn peer(&self, position: usize) -> View {
        let mut view = View::default();
        for position in 0..=position {
            if self.history[position].revision.epoch > view.revision().epoch {
                list(&mut view, &self.history[..=position], 0, self.now);
            }
            watch(&mut view, &self.history, position, self.now);
        }
        view
    }

    /// Returns a zone whose state is older than the revision up to which the view is complete, and
    /// not retained from an earlier epoch.
    fn stale_zone(&self) -> Option<&'static str> {
        let revision = self.view.revision();
        let newer = self.history.iter().filter(|s| s.revision >= revision);
        ZONES.into_iter().find(|name| {
            let entry = self.view.evacuation(&zone(name));
            let retained = entry.is_some_and(|e| e.revision.epoch < revision.epoch);
            let evacuated = entry.is_some();
            let agrees = |s: &Snapshot| s.evacuated.contains_key(name) == evacuated;
            !revision.is_none() && !retained && !newer.clone().any(agrees)
        })
    }

    /// Returns all entries, also ended ones.
    fn entries(&self) -> Vec<EvacuationChange> {
        self.view.delta(ViewVersion::default()).evacuations
    }

    fn evacuated(&self) -> Vec<&'static str> {
        let is_evacuated = |name: &&str| self.view.evacuation(&zone(name)).is_some();
        ZONES.into_iter().filter(is_evacuated).collect()
    }
}

/// Applies the changes of the view's epoch up to a position.
fn watch(view: &mut View, history: &[Snapshot], position: usize, now: Millis) {
    for pair in history[..=position].windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        let revision = view.revision();
        if after.revision.epoch != revision.epoch || after.revision <= revision {
            continue;
        }
        for name in ZONES {
            let (old, new) = (before.evacuated.get(name), after.evacuated.get(name));
            if old != new {
                let change = EvacuationChange {
                    zone: zone(name),
                    revision: after.revision,
                    ended: new.is_none(),
                };
                view.apply_evacuation(change, now);
            }
        }
        view.advance(after.revision);
    }
}

/// Applies a full read of the newest snapshot, unless the view has a later epoch. Targets were read
/// `earlier` changes before, in the same epoch.
fn list(view: &mut View, history: &[Snapshot], earlier: usize, now: Millis) {
    let newest = history.last().expect("a snapshot");
    let targets = &history[history.len().saturating_sub(earlier + 1)];
    if newest.revision.epoch >= view.revision().epoch {
        view.apply_evacuation_list(newest.list(), newest.revision, now);
        if targets.revision.epoch == newest.revision.epoch {
            view.advance(targets.revision);
        } else {
            view.advance(newest.revision);
        }
        view.finish_settling(now);
    }
}

fn histories() -> impl Strategy<Value = Vec<Snapshot>> {
    let name = prop::sample::select(ZONES.to_vec());
    let operation = prop_oneof![
        4 => name.clone().prop_map(Operation::Begin),
        4 => name.prop_map(Operation::End),
        1 => (1..4_usize).prop_map(Operation::Restore),
    ];
    prop::collection::vec(operation, 1..14).prop_map(|operations| {
        let first = Snapshot {
            revision: StoreRevision::new(Epoch::new(1), 10),
            ..Snapshot::default()
        };
        let mut history = vec![first];
        for operation in operations {
            history.push(Snapshot::after(&history, operation));
        }
        history
    })
}

fn steps(length: usize) -> impl Strategy<Value = Vec<Step>> {
    let position = 0..length;
    let step = prop_oneof![
        position.clone().prop_map(Step::Watch),
        (position.clone(), 0..3_usize)
            .prop_map(|(position, earlier)| Step::List { position, earlier }),
        (position.clone(), any::<bool>())
            .prop_map(|(position, whole)| Step::Merge { position, whole }),
        (position, 0..3_usize)
            .prop_map(|(position, earlier)| Step::MergeStarted { position, earlier }),
        prop::sample::select(vec![SETTLE_TIME, EVICTION_TIME]).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..10)
}

fn plans() -> impl Strategy<Value = (Vec<Snapshot>, Vec<Step>)> {
    histories().prop_flat_map(|history| {
        let length = history.len();
        (Just(history), steps(length))
    })
}

proptest! {
    /// Guards against openings to an evacuated zone, and against a zone that stays empty: a source
    /// that lags behind reverts the newest change, or what a restored store lacks is never dropped.
    #[test]
    fn the_newest_change_decides((history, steps) in plans()) {
        let mut reader = Reader { view: View::default(), now: at(0), history };

        for step in steps {
            let (before, epoch) = (reader.evacuated(), reader.view.revision().epoch);
            let former = reader.entries();
            reader.perform(step);

            prop_assert_eq!(reader.stale_zone(), None, "after {:?}", step);
            let revived = reader.view.evacuations().any(|e| {
                e.revision.epoch < epoch && !before.contains(&e.zone.as_str())
            });
            for entry in reader.entries() {
                let older = former.iter().find(|e| e.zone == entry.zone);
                prop_assert!(older.is_none_or(|e| e.revision <= entry.revision));
            }
            prop_assert!(!revived, "{:?} revived an evacuation of an earlier epoch", step);
        }
        let last = reader.history.len() - 1;
        let newest = Step::List { position: last, earlier: 0 };
        reader.perform(newest);
        reader.perform(Step::Wait(SETTLE_TIME));
        reader.perform(newest);

        let expected: Vec<_> = reader.history[last].evacuated.keys().copied().collect();
        prop_assert_eq!(reader.evacuated(), expected);
    }
}
