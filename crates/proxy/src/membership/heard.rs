//! Instances that were heard from.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanager_core::{FastMap, FastSet, Incarnation, InstanceName, Millis};

use crate::membership::{InstanceState, ListedInstance};

/// Members in one heartbeat at most. They are needed only while the published list lags.
pub const MEMBERS_LIMIT: usize = 4;
/// How long an instance counts as heard from after its last heartbeat.
pub(super) const FRESH: Duration = Duration::from_secs(10);
/// How long the last heartbeat of an instance is remembered, to tell its incarnation.
const REMEMBERED: Duration = Duration::from_mins(10);

/// What one instance tells another about a third one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance as it described itself.
    pub instance: ListedInstance,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Time in milliseconds since it sent its last known heartbeat.
    pub age_ms: u64,
}

#[derive(Debug, Clone)]
struct Record {
    instance: ListedInstance,
    incarnation: Incarnation,
    heard: Millis,
    last_sent: Millis,
}

/// Instances that were heard from, directly or through others.
#[derive(Debug, Default)]
pub(super) struct Heard {
    /// Invariant: no incarnation is also in `retired`.
    records: FastMap<InstanceName, Record>,
    /// Replaced incarnations; a late heartbeat must not bring one back.
    retired: FastMap<Incarnation, Millis>,
}

impl Heard {
    /// Takes over what was told about an instance, unless something newer is known. Returns
    /// whether it is news that the instance leaves.
    pub(super) fn take(&mut self, member: &Member, now: Millis) -> bool {
        let age = Duration::from_millis(member.age_ms);
        if age > FRESH || self.retired.contains_key(&member.incarnation) {
            return false;
        }
        let mut record = Record {
            instance: member.instance.clone(),
            incarnation: member.incarnation,
            heard: now - age,
            last_sent: Millis::new(0),
        };
        let mut leaves = record.instance.state == InstanceState::Leaving;
        if let Some(known) = self.records.get_mut(&member.instance.name) {
            if record.heard < known.heard {
                return false;
            }
            if known.incarnation == member.incarnation {
                record.last_sent = known.last_sent;
                // An incarnation never returns from leaving.
                if known.instance.state == InstanceState::Leaving {
                    record.instance.state = InstanceState::Leaving;
                    leaves = false;
                }
            } else {
                self.retired.insert(known.incarnation, now);
            }
            *known = record;
        } else {
            self.records.insert(record.instance.name.clone(), record);
        }
        leaves
    }

    /// Returns the instances heard from lately.
    pub(super) fn fresh(&self, now: Millis) -> Vec<Member> {
        let fresh = self.records.values().filter(|r| is_fresh(r, now));
        fresh.map(|r| r.member(now)).collect()
    }

    /// Returns members that differ from the published list, the longest unsent first.
    pub(super) fn select(&mut self, now: Millis, listed: &FastSet<&ListedInstance>) -> Vec<Member> {
        let differs = |r: &&mut Record| is_fresh(r, now) && !listed.contains(&r.instance);
        let mut records: Vec<_> = self.records.values_mut().filter(differs).collect();
        records.sort_unstable_by_key(|r| r.last_sent);
        let mut members = Vec::new();
        for record in records.into_iter().take(MEMBERS_LIMIT) {
            record.last_sent = now;
            members.push(record.member(now));
        }
        members
    }

    /// Forgets instances that were last heard from long ago.
    pub(super) fn expire(&mut self, now: Millis) {
        self.records
            .retain(|_, record| now.since(record.heard) < REMEMBERED);
        self.retired
            .retain(|_, retired| now.since(*retired) < REMEMBERED);
    }

    pub(super) fn incarnation(&self, name: &InstanceName) -> Option<Incarnation> {
        self.records.get(name).map(|r| r.incarnation)
    }
}

impl Record {
    fn member(&self, now: Millis) -> Member {
        let age = now.since(self.heard).as_millis();
        Member {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
        }
    }
}

fn is_fresh(record: &Record, now: Millis) -> bool {
    now.since(record.heard) <= FRESH
}
