//! Rows of usage that instances exchange.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanager_core::{FastMap, Incarnation, InstanceName, Millis, OwnerName};

use crate::usage::ServiceUsage;
use crate::usage::counters::millis;

/// Maximum size in bytes of the usage rows in one heartbeat; at least one row is sent. With a
/// header of about 110 B, twelve heartbeats per second take 3.7 KB/s. Reading a catalogue of the
/// design size 570 times a day takes another 3.8 KB/s, and the budget is 8 KB/s.
const ROWS_BYTES_LIMIT: usize = 200;
/// Maximum size in bytes of the usage rows in a reply to a peer that has far fewer rows, such as a
/// new instance.
const BACKFILL_BYTES_LIMIT: usize = 1_200;
/// Time for which the rows of an incarnation that no longer counts are retained.
pub const RETENTION: Duration = Duration::from_hours(48);
/// Maximum number of rows. 1,500 restarts a day of instances with two owners leave 6,000 retired
/// rows.
const TABLE_ROWS_LIMIT: usize = 16_384;
/// How often a row received from a peer is sent with priority after it changed.
const PRIORITY_SENDS: u32 = 2;
/// A row without new usage is sent with priority again when its counters were read at least this
/// much later, so that the ages of the rows of idle owners stay small.
const REFRESH_AGE: Duration = Duration::from_secs(2);

/// Key of a usage row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RowKey {
    /// The instance that counts.
    pub instance: InstanceName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The owner whose usage is counted.
    pub owner: OwnerName,
}

/// A usage row as exchanged between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// Counting instance and owner.
    pub key: RowKey,
    /// The counters.
    pub usage: ServiceUsage,
    /// Time in milliseconds since the counting instance read its counters.
    pub age_ms: u64,
}

impl UsageRow {
    /// Returns the size on the wire in bytes, where small numbers take fewer bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let names = self.key.instance.as_str().len() + self.key.owner.as_str().len() + 2;
        let ServiceUsage {
            requests,
            slot_ms,
            held_ms,
            bytes,
        } = self.usage;
        let incarnation = self.key.incarnation.get();
        let numbers = [incarnation, requests, slot_ms, held_ms, bytes, self.age_ms];
        names + numbers.into_iter().map(varint_size).sum::<usize>()
    }
}

/// Returns the encoded size of a number in bytes.
const fn varint_size(number: u64) -> usize {
    match number {
        0..=250 => 1,
        251..=0xffff => 3,
        0x1_0000..=0xffff_ffff => 5,
        _ => 9,
    }
}

#[derive(Debug, Clone, Copy)]
struct Record {
    usage: ServiceUsage,
    /// When the counting instance read the counters, on this instance's clock.
    read_at: Millis,
    /// How often the row was sent since it changed.
    sent: u32,
    last_sent: Millis,
}

/// Usage rows of the whole fleet. Rows merge by the maximum of each counter, so the order and
/// the number of exchanges do not matter.
#[derive(Debug, Default)]
pub struct UsageRows {
    /// Invariant: at most [`TABLE_ROWS_LIMIT`] rows.
    records: FastMap<RowKey, Record>,
}

impl UsageRows {
    /// Returns the number of rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Adds newly counted usage to an own row and marks the row as read now.
    pub fn add(&mut self, key: RowKey, usage: ServiceUsage, now: Millis) {
        let record = self.records.entry(key).or_insert(Record {
            usage: ServiceUsage::default(),
            read_at: now,
            sent: 0,
            last_sent: Millis::new(0),
        });
        record.usage = record.usage.plus(usage);
        record.read_at = now;
        record.sent = 0;
    }

    /// Marks all rows of `incarnation` as read now.
    pub fn refresh(&mut self, incarnation: Incarnation, now: Millis) {
        let own = |(key, _): &(&RowKey, &mut Record)| key.incarnation == incarnation;
        for (_, record) in self.records.iter_mut().filter(own) {
            record.read_at = now;
        }
    }

    /// Merges a row of a peer. Rows older than [`RETENTION`] are ignored, so that an expired row is
    /// not added again.
    pub fn merge(&mut self, row: &UsageRow, now: Millis) {
        let age = Duration::from_millis(row.age_ms);
        if age >= RETENTION {
            return;
        }
        let read_at = now - age;
        if let Some(record) = self.records.get_mut(&row.key) {
            let merged = record.usage.max(row.usage);
            if merged != record.usage || read_at.since(record.read_at) >= REFRESH_AGE {
                record.sent = 0;
            }
            record.usage = merged;
            record.read_at = record.read_at.max(read_at);
            return;
        }
        if self.records.len() >= TABLE_ROWS_LIMIT {
            self.evict_oldest();
        }
        let record = Record {
            usage: row.usage,
            read_at,
            sent: 0,
            last_sent: Millis::new(0),
        };
        self.records.insert(row.key.clone(), record);
    }

    /// Returns rows for a heartbeat: own rows, then changed rows, then one of the other rows in
    /// turn. If `backfill` is set, as many other rows as fit follow, for a peer that has far fewer
    /// rows.
    pub fn select(&mut self, own: Incarnation, backfill: bool, now: Millis) -> Vec<UsageRow> {
        let mut budget = if backfill {
            BACKFILL_BYTES_LIMIT
        } else {
            ROWS_BYTES_LIMIT
        };
        let rank = |key: &RowKey, record: &Record| {
            let priority = match record.sent {
                _ if key.incarnation == own => 0,
                sent if sent < PRIORITY_SENDS => 1 + sent,
                _ => 1 + PRIORITY_SENDS,
            };
            (priority, record.last_sent)
        };
        let mut order: Vec<_> = self
            .records
            .iter_mut()
            .map(|(key, record)| (rank(key, record), key, record))
            .collect();
        order.sort_unstable_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
        let changed = order.iter().filter(|o| o.0.0 <= PRIORITY_SENDS).count();
        let count = if backfill { order.len() } else { changed + 1 };
        let mut rows = Vec::new();
        for (_, key, record) in order.into_iter().take(count) {
            let row = UsageRow {
                key: key.clone(),
                usage: record.usage,
                age_ms: millis(now.since(record.read_at)),
            };
            let size = row.size();
            if size > budget && !rows.is_empty() {
                break;
            }
            budget = budget.saturating_sub(size);
            record.sent += 1;
            record.last_sent = now;
            rows.push(row);
        }
        rows
    }

    /// Removes rows whose counters were last read [`RETENTION`] ago or earlier.
    pub fn expire(&mut self, now: Millis) {
        self.records
            .retain(|_, record| now.since(record.read_at) < RETENTION);
    }

    /// Returns all rows with their current age, in order of key.
    #[must_use]
    pub fn list(&self, now: Millis) -> Vec<UsageRow> {
        let row = |(key, record): (&RowKey, &Record)| UsageRow {
            key: key.clone(),
            usage: record.usage,
            age_ms: millis(now.since(record.read_at)),
        };
        let mut rows: Vec<_> = self.records.iter().map(row).collect();
        rows.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        rows
    }

    fn evict_oldest(&mut self) {
        let oldest = self.records.iter().min_by_key(|(_, r)| r.read_at);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.records.remove(&key);
        }
    }
}
