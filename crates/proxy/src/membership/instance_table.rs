//! Records of the instances whose heartbeats were received, directly or through other instances.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanager_core::{FastMap, FastSet, Incarnation, InstanceName, Millis};

use crate::membership::{InstanceState, ListedInstance};

/// Maximum number of members in one heartbeat. They are needed only while the published list lags.
pub const MEMBERS_LIMIT: usize = 4;
/// An instance whose last heartbeat is older than this does not count as present.
pub(super) const HEARTBEAT_MAX_AGE: Duration = Duration::from_secs(10);
/// How long the record of an instance is kept after its last heartbeat. Its incarnation is needed
/// to detect late heartbeats of earlier incarnations.
const RETENTION: Duration = Duration::from_mins(10);

/// The record of an instance that another instance forwards in its heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance as described in its own heartbeat.
    pub instance: ListedInstance,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Milliseconds since its latest received heartbeat.
    pub age_ms: u64,
}

#[derive(Debug, Clone)]
struct InstanceRecord {
    instance: ListedInstance,
    incarnation: Incarnation,
    last_seen: Millis,
    last_sent: Millis,
}

/// The latest record of each instance, by name.
#[derive(Debug, Default)]
pub(super) struct InstanceTable {
    /// Invariant: no incarnation in it is also in `retired`.
    records: FastMap<InstanceName, InstanceRecord>,
    /// Incarnations that were replaced, with the time. A late heartbeat must not restore one.
    retired: FastMap<Incarnation, Millis>,
}

impl InstanceTable {
    /// Applies a record of an instance unless a newer one is stored. Returns whether this
    /// is the first record that reports the incarnation as leaving.
    pub(super) fn apply(&mut self, member: &Member, now: Millis) -> bool {
        let age = Duration::from_millis(member.age_ms);
        if age > HEARTBEAT_MAX_AGE || self.retired.contains_key(&member.incarnation) {
            return false;
        }
        let mut record = InstanceRecord {
            instance: member.instance.clone(),
            incarnation: member.incarnation,
            last_seen: now - age,
            last_sent: Millis::new(0),
        };
        let mut starts_leaving = record.instance.state == InstanceState::Leaving;
        if let Some(existing) = self.records.get_mut(&member.instance.name) {
            if record.last_seen < existing.last_seen {
                return false;
            }
            if existing.incarnation == member.incarnation {
                record.last_sent = existing.last_sent;
                // A leaving incarnation never becomes live again.
                if existing.instance.state == InstanceState::Leaving {
                    record.instance.state = InstanceState::Leaving;
                    starts_leaving = false;
                }
            } else {
                self.retired.insert(existing.incarnation, now);
            }
            *existing = record;
        } else {
            self.records.insert(record.instance.name.clone(), record);
        }
        starts_leaving
    }

    /// Returns the instances whose last heartbeat is at most [`HEARTBEAT_MAX_AGE`] old.
    pub(super) fn recent(&self, now: Millis) -> Vec<Member> {
        let recent = self.records.values().filter(|r| is_recent(r, now));
        recent.map(|r| r.member(now)).collect()
    }

    /// Returns the members for a heartbeat: those that differ from the published list, the least
    /// recently sent first.
    pub(super) fn select(&mut self, now: Millis, listed: &FastSet<&ListedInstance>) -> Vec<Member> {
        let differs = |r: &&mut InstanceRecord| is_recent(r, now) && !listed.contains(&r.instance);
        let mut records: Vec<_> = self.records.values_mut().filter(differs).collect();
        records.sort_unstable_by_key(|r| r.last_sent);
        let mut members = Vec::new();
        for record in records.into_iter().take(MEMBERS_LIMIT) {
            record.last_sent = now;
            members.push(record.member(now));
        }
        members
    }

    /// Evicts records and replaced incarnations that are older than [`RETENTION`].
    pub(super) fn expire(&mut self, now: Millis) {
        self.records
            .retain(|_, record| now.since(record.last_seen) < RETENTION);
        self.retired
            .retain(|_, retired| now.since(*retired) < RETENTION);
    }

    pub(super) fn incarnation(&self, name: &InstanceName) -> Option<Incarnation> {
        self.records.get(name).map(|r| r.incarnation)
    }
}

impl InstanceRecord {
    fn member(&self, now: Millis) -> Member {
        let age = now.since(self.last_seen).as_millis();
        Member {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
        }
    }
}

fn is_recent(record: &InstanceRecord, now: Millis) -> bool {
    now.since(record.last_seen) <= HEARTBEAT_MAX_AGE
}
