//! Exchanges spare parts of rate limits with other instances in heartbeats.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::seq::SliceRandom as _;
use tanager_core::Clock;

use crate::admission::rate_limits::RateLimits;
use crate::admission::{AdmissionError, Demand, Loan};
use crate::catalogue::{Catalogue, CatalogueStore, ServiceEntry};
use crate::membership::Membership;

/// Maximum number of demands, and therefore of loans, in a heartbeat. A row takes about 40 bytes.
/// With 6 exchanges per second, 4 rows in each direction take about 2 KB/s of the 8 KB/s for
/// control, however many services there are.
pub const ROWS_LIMIT: usize = 4;

/// The rate limits of an instance, and the exchange of spare rates with other instances.
pub struct Lending {
    pub(super) catalogue: Arc<CatalogueStore>,
    pub(super) membership: Arc<Membership>,
    clock: Clock,
    rates: Mutex<RateLimits>,
}

impl Lending {
    /// Creates the rate limits of an instance.
    #[must_use]
    pub fn new(
        catalogue: Arc<CatalogueStore>,
        membership: Arc<Membership>,
        clock: Clock,
    ) -> Arc<Self> {
        let rates = Mutex::new(RateLimits::new(membership.identity().incarnation));
        Arc::new(Self {
            catalogue,
            membership,
            clock,
            rates,
        })
    }

    /// Counts one request of the service against its limits, or refuses it.
    pub(super) fn try_acquire(
        &self,
        catalogue: &Catalogue,
        entry: &ServiceEntry,
    ) -> Result<(), AdmissionError> {
        let count = self.membership.instance_count();
        self.lock()
            .try_acquire(catalogue, entry, count, self.clock.now())
    }

    /// Returns the rates that this instance lacks, divided between a number of peers.
    #[must_use]
    pub fn demands(&self, peers: usize) -> Vec<Vec<Demand>> {
        let demand = self.lock().demand(self.clock.now());
        divide(demand, peers)
    }

    /// Lends spare rates to the instance that sent the demand. The own rate is reduced first.
    #[must_use]
    pub fn lend(&self, demand: &[Demand]) -> Vec<Loan> {
        if demand.is_empty() {
            return Vec::new();
        }
        let demand = &demand[..demand.len().min(ROWS_LIMIT)];
        let catalogue = self.catalogue.current();
        let count = self.membership.instance_count();
        self.lock()
            .lend(&catalogue, demand, count, self.clock.now())
    }

    /// Applies the loans that answer this instance's demand.
    pub fn borrow(&self, loans: &[Loan]) {
        self.lock().borrow(loans, self.clock.now());
    }

    fn lock(&self) -> MutexGuard<'_, RateLimits> {
        self.rates.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Divides a demand between peers so that all of them together do not lend more than it. Each part
/// has at most [`ROWS_LIMIT`] rows, chosen at random, so that a demand that no peer can meet does
/// not block the others.
pub(super) fn divide(mut demand: Vec<Demand>, peers: usize) -> Vec<Vec<Demand>> {
    let share = 1.0 / f64::from(u32::try_from(peers.max(1)).unwrap_or(u32::MAX));
    for row in &mut demand {
        row.rate *= share;
    }
    let part = |_| {
        demand.shuffle(&mut rand::rng());
        demand.iter().take(ROWS_LIMIT).cloned().collect()
    };
    (0..peers).map(part).collect()
}
