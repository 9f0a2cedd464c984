//! Parts of rate limits that instances lend each other for a time.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanager_core::{FastMap, Incarnation, Millis, OwnerName, ServiceId};

/// Time for which a rate is lent, counted from when the borrower asked.
pub(super) const LOAN_TIME: Duration = Duration::from_secs(3);
/// Time that the lender waits beyond the end of a loan. The borrower's time starts earlier, when
/// it asks, so this only covers clocks that run at different speeds.
pub(super) const MARGIN: Duration = Duration::from_millis(500);

/// A rate limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LimitKey {
    /// The limit of an owner, shared by its services.
    Owner(OwnerName),
    /// The limit of a service.
    Service(ServiceId),
}

/// A rate that an instance lacks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The limit.
    pub key: LimitKey,
    /// Requests a second.
    pub rate: f64,
    /// Who asks.
    pub borrower: Incarnation,
    /// When it asks, on its own clock.
    pub asked: Millis,
}

/// A rate that one instance lends to another for 3 s after the demand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// Drawn at random, so that a message that arrives twice counts once.
    pub number: u64,
    /// The limit.
    pub key: LimitKey,
    /// Requests a second.
    pub rate: f64,
    /// Who asked. Others ignore the loan.
    pub borrower: Incarnation,
    /// The demand's time on the borrower's clock. However late the loan arrives, it ends 3 s
    /// after this, which is before the lender takes the rate back.
    pub asked: Millis,
}

/// Rates of one limit that are lent and borrowed at present.
#[derive(Debug, Default)]
pub(super) struct Book {
    lent: Vec<(Millis, f64)>,
    borrowed: FastMap<u64, (Millis, f64)>,
}

impl Book {
    /// Forgets what has ended.
    pub(super) fn expire(&mut self, now: Millis) {
        self.lent.retain(|(end, _)| *end > now);
        self.borrowed.retain(|_, (end, _)| *end > now);
    }

    pub(super) fn lend(&mut self, rate: f64, now: Millis) {
        self.lent.push((now + LOAN_TIME + MARGIN, rate));
    }

    pub(super) fn borrow(&mut self, loan: &Loan) {
        let end = loan.asked + LOAN_TIME;
        self.borrowed.insert(loan.number, (end, loan.rate));
    }

    pub(super) fn lent(&self) -> f64 {
        self.lent.iter().map(|(_, rate)| rate).sum()
    }

    /// Returns the rate borrowed beyond a time.
    pub(super) fn borrowed(&self, until: Millis) -> f64 {
        let lasting = self.borrowed.values().filter(|(end, _)| *end > until);
        lasting.map(|(_, rate)| rate).sum()
    }
}
