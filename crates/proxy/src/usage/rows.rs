//! Rows of usage that instances exchange.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanager_core::{FastMap, Incarnation, InstanceName, Millis, OwnerName};

use crate::usage::ServiceUsage;
use crate::usage::counters::millis;

/// Bytes of usage rows in one heartbeat, about; at least one row is sent. With a head of some
/// 110 B, twelve heartbeats a second take 3.7 KB/s. Reading a catalogue of the design size 570
/// times a day takes another 3.8 KB/s, and the budget is 8 KB/s.
const ROWS_BYTES: usize = 200;
/// Bytes of usage rows in a reply to a peer that has far fewer rows, such as a new instance.
const FILL_BYTES: usize = 1_200;
/// How long the rows of an incarnation that no longer counts are kept.
pub const RETENTION: Duration = Duration::from_hours(48);
/// Rows kept at most. 1,500 restarts a day of instances with two owners leave 6,000 retired rows.
const TABLE_LIMIT: usize = 16_384;
/// How often a row learned from a peer is passed on before it changes again.
const RELAY_LIMIT: u32 = 2;
/// A row without new usage is passed on again when it is this much younger, so that the ages of
/// idle owners stay small.
const REFRESH: Duration = Duration::from_secs(2);

/// Whose usage a row counts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RowKey {
    /// The instance that counted.
    pub instance: InstanceName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The owner that used.
    pub owner: OwnerName,
}

/// One row as passed between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// Whose usage.
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
        names + numbers.into_iter().map(varint).sum::<usize>()
    }
}

/// Returns the encoded size of a number in bytes.
const fn varint(number: u64) -> usize {
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
    counted: Millis,
    /// How often the row was passed on since it changed.
    sent: u32,
    last_sent: Millis,
}

/// Usage rows of the whole fleet. Rows merge by the maximum of each counter, so the order and
/// the number of exchanges do not matter.
#[derive(Debug, Default)]
pub struct Rows {
    /// Invariant: at most [`TABLE_LIMIT`] rows.
    records: FastMap<RowKey, Record>,
}

impl Rows {
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
    pub fn count(&mut self, key: RowKey, usage: ServiceUsage, now: Millis) {
        let record = self.records.entry(key).or_insert(Record {
            usage: ServiceUsage::default(),
            counted: now,
            sent: 0,
            last_sent: Millis::new(0),
        });
        record.usage = record.usage.plus(usage);
        record.counted = now;
        record.sent = 0;
    }

    /// Marks all rows of `incarnation` as read now.
    pub fn refresh(&mut self, incarnation: Incarnation, now: Millis) {
        let own = |(key, _): &(&RowKey, &mut Record)| key.incarnation == incarnation;
        for (_, record) in self.records.iter_mut().filter(own) {
            record.counted = now;
        }
    }

    /// Merges a row of a peer. Rows older than [`RETENTION`] are ignored, so that a dropped row
    /// does not return.
    pub fn merge(&mut self, row: &UsageRow, now: Millis) {
        let age = Duration::from_millis(row.age_ms);
        if age >= RETENTION {
            return;
        }
        let counted = now - age;
        if let Some(record) = self.records.get_mut(&row.key) {
            let merged = record.usage.max(row.usage);
            if merged != record.usage || counted.since(record.counted) >= REFRESH {
                record.sent = 0;
            }
            record.usage = merged;
            record.counted = record.counted.max(counted);
            return;
        }
        if self.records.len() >= TABLE_LIMIT {
            self.drop_oldest();
        }
        let record = Record {
            usage: row.usage,
            counted,
            sent: 0,
            last_sent: Millis::new(0),
        };
        self.records.insert(row.key.clone(), record);
    }

    /// Returns rows for a heartbeat: own ones, then changed ones, then one other row in turn, or
    /// as many as fit if `fill` is set, for a peer that has far fewer rows.
    pub fn select(&mut self, own: Incarnation, fill: bool, now: Millis) -> Vec<UsageRow> {
        let mut budget = if fill { FILL_BYTES } else { ROWS_BYTES };
        let rank = |key: &RowKey, record: &Record| {
            let group = match record.sent {
                _ if key.incarnation == own => 0,
                sent if sent < RELAY_LIMIT => 1 + sent,
                _ => 1 + RELAY_LIMIT,
            };
            (group, record.last_sent)
        };
        let mut order: Vec<_> = self
            .records
            .iter_mut()
            .map(|(key, record)| (rank(key, record), key, record))
            .collect();
        order.sort_unstable_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
        let changed = order.iter().filter(|o| o.0.0 <= RELAY_LIMIT).count();
        let count = if fill { order.len() } else { changed + 1 };
        let mut rows = Vec::new();
        for (_, key, record) in order.into_iter().take(count) {
            let row = UsageRow {
                key: key.clone(),
                usage: record.usage,
                age_ms: millis(now.since(record.counted)),
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

    /// Drops rows that were not counted for [`RETENTION`].
    pub fn expire(&mut self, now: Millis) {
        self.records
            .retain(|_, record| now.since(record.counted) < RETENTION);
    }

    /// Returns all rows with their present age, in order of key.
    #[must_use]
    pub fn list(&self, now: Millis) -> Vec<UsageRow> {
        let row = |(key, record): (&RowKey, &Record)| UsageRow {
            key: key.clone(),
            usage: record.usage,
            age_ms: millis(now.since(record.counted)),
        };
        let mut rows: Vec<_> = self.records.iter().map(row).collect();
        rows.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        rows
    }

    fn drop_oldest(&mut self) {
        let oldest = self.records.iter().min_by_key(|(_, r)| r.counted);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.records.remove(&key);
        }
    }
}
