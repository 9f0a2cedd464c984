//! Usage that this instance counts by service, and the usage rows of the whole fleet.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use serde::Serialize;
use tanager_core::{Clock, FastMap, Incarnation, InstanceName, OwnerName, ServiceId};

use crate::Identity;
use crate::catalogue::Catalogue;
use crate::usage::counters::SharedUsage;
use crate::usage::{RowKey, ServiceUsage, UsageEvent, UsageRow, UsageRows};

/// Counts usage by service, and holds the rows of the whole fleet.
#[derive(Debug)]
pub struct UsageTable {
    clock: Clock,
    /// The map is replaced when a service is added, so that counting takes no lock.
    accounts: ArcSwap<FastMap<ServiceId, Arc<Account>>>,
    rows: Mutex<UsageRows>,
}

/// Usage that this instance counted for one service.
#[derive(Debug, Default)]
struct Account {
    total: SharedUsage,
    transferred: Mutex<Transferred>,
}

/// The part of an account that was transferred to a row.
#[derive(Debug, Default)]
struct Transferred {
    /// Usage that is already in a row. Invariant: at most the account's total.
    usage: ServiceUsage,
    /// Owner in the last catalogue that had the service. Usage that is counted after the service
    /// was removed still belongs to it.
    owner: Option<OwnerName>,
}

/// Usage of the fleet according to the rows of this instance.
#[derive(Debug, Default, Serialize)]
pub struct FleetUsage {
    /// Sums over all rows, by owner.
    pub owners: BTreeMap<String, ServiceUsage>,
    /// Rows of incarnations that are still expected to count.
    pub rows_live: usize,
    /// Rows of incarnations that have ended.
    pub rows_retired: usize,
    /// Age of the youngest live row in milliseconds.
    pub youngest_ms: u64,
    /// Median age of the live rows in milliseconds.
    pub median_ms: u64,
    /// Age of the oldest live row in milliseconds.
    pub oldest_ms: u64,
}

impl Default for UsageTable {
    fn default() -> Self {
        Self {
            clock: Clock::start(),
            accounts: ArcSwap::default(),
            rows: Mutex::default(),
        }
    }
}

impl UsageTable {
    /// Counts an event.
    pub fn record(&self, service: ServiceId, event: UsageEvent) {
        if let Some(account) = self.accounts.load().get(&service) {
            account.total.count(event);
            return;
        }
        self.accounts.rcu(|accounts| {
            let mut accounts = FastMap::clone(accounts);
            accounts.entry(service).or_default();
            accounts
        });
        if let Some(account) = self.accounts.load().get(&service) {
            account.total.count(event);
        }
    }

    /// Returns the usage that this instance has counted, by service.
    #[must_use]
    pub fn services(&self) -> Vec<(ServiceId, ServiceUsage)> {
        let accounts = self.accounts.load();
        let mut rows: Vec<_> = accounts.iter().map(|(s, a)| (*s, a.total.get())).collect();
        rows.sort_by_key(|(service, _)| *service);
        rows
    }

    /// Adds the usage that was counted since the last call to the own rows, by owner.
    pub fn update_own_rows(&self, identity: &Identity, catalogue: &Catalogue) {
        let now = self.clock.now();
        let accounts = self.accounts.load();
        let mut rows = self.rows();
        rows.refresh(identity.incarnation, now);
        for (service, account) in accounts.iter() {
            let mut transferred = account
                .transferred
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if let Some(entry) = catalogue.entry(*service) {
                transferred.owner = Some(entry.owner.clone());
            }
            let total = account.total.get();
            let new = total.since(transferred.usage);
            let Some(owner) = transferred.owner.clone() else {
                continue;
            };
            if new != ServiceUsage::default() {
                rows.add(row_key(identity, owner), new, now);
                transferred.usage = total;
            }
        }
        rows.expire(now);
    }

    /// Returns the rows for a heartbeat; see [`UsageRows::select`].
    #[must_use]
    pub fn select(&self, identity: &Identity, backfill: bool) -> Vec<UsageRow> {
        self.rows()
            .select(identity.incarnation, backfill, self.clock.now())
    }

    /// Merges rows of a peer. Own rows are written by this instance only.
    pub fn merge(&self, identity: &Identity, offered: &[UsageRow]) {
        let now = self.clock.now();
        let mut rows = self.rows();
        let foreign = |row: &&UsageRow| row.key.incarnation != identity.incarnation;
        for row in offered.iter().filter(foreign) {
            rows.merge(row, now);
        }
    }

    /// Returns the number of rows.
    #[must_use]
    pub fn row_count(&self) -> u32 {
        u32::try_from(self.rows().len()).unwrap_or(u32::MAX)
    }

    /// Returns all rows with their current age, in order of key.
    #[must_use]
    pub fn rows_by_key(&self) -> Vec<UsageRow> {
        self.rows().list(self.clock.now())
    }

    /// Sums the rows by owner. `is_counting` returns whether an incarnation is still expected to
    /// count.
    #[must_use]
    pub fn fleet(&self, is_counting: impl Fn(&InstanceName, Incarnation) -> bool) -> FleetUsage {
        let mut fleet = FleetUsage::default();
        let mut ages = Vec::new();
        for row in self.rows_by_key() {
            let sum = fleet.owners.entry(row.key.owner.to_string()).or_default();
            *sum = sum.plus(row.usage);
            if is_counting(&row.key.instance, row.key.incarnation) {
                ages.push(row.age_ms);
            } else {
                fleet.rows_retired += 1;
            }
        }
        ages.sort_unstable();
        fleet.rows_live = ages.len();
        fleet.youngest_ms = ages.first().copied().unwrap_or(0);
        fleet.median_ms = ages.get(ages.len() / 2).copied().unwrap_or(0);
        fleet.oldest_ms = ages.last().copied().unwrap_or(0);
        fleet
    }

    fn rows(&self) -> MutexGuard<'_, UsageRows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn row_key(identity: &Identity, owner: OwnerName) -> RowKey {
    RowKey {
        instance: identity.name.clone(),
        incarnation: identity.incarnation,
        owner,
    }
}
