//! Offers and asks for parts of rate limits in heartbeats.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::seq::SliceRandom as _;
use tanager_core::Clock;

use crate::admission::rate_limits::RateLimits;
use crate::admission::{AdmissionError, Demand, Loan};
use crate::catalogue::{Catalogue, CatalogueStore, ServiceEntry};
use crate::membership::Membership;

/// Demands, and so loans, in a heartbeat. A row has some 40 bytes; with 6 exchanges a second, 4
/// rows each way take some 2 KB/s of the 8 KB/s for control, however many services there are.
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

    /// Takes one request of the service, or refuses it.
    pub(super) fn take(
        &self,
        catalogue: &Catalogue,
        entry: &ServiceEntry,
    ) -> Result<(), AdmissionError> {
        let count = self.membership.instance_count();
        self.lock().take(catalogue, entry, count, self.clock.now())
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

    /// Takes over the loans that answer this instance's demand.
    pub fn borrow(&self, loans: &[Loan]) {
        self.lock().borrow(loans, self.clock.now());
    }

    fn lock(&self) -> MutexGuard<'_, RateLimits> {
        self.rates.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Divides a demand between peers so that all of them together do not lend more. Each part has at
/// most [`ROWS_LIMIT`] rows, chosen at random, so that a demand that nobody can meet does not keep
/// back the others.
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
