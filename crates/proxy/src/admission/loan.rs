//! Parts of rate limits that instances lend each other for a limited time.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanager_core::{FastMap, Incarnation, Millis, OwnerName, ServiceId};

/// Duration of a loan, counted from the borrower's demand.
pub(super) const LOAN_TIME: Duration = Duration::from_secs(3);
/// Time after the end of a loan before the lender uses the rate again. The borrower counts from its
/// demand, which is earlier, so this covers only clocks that run at different speeds.
pub(super) const CLOCK_MARGIN: Duration = Duration::from_millis(500);

/// A rate limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LimitKey {
    /// The limit of an owner, shared by its services.
    Owner(OwnerName),
    /// The limit of a service.
    Service(ServiceId),
}

/// A rate that an instance lacks and wants to borrow.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The limit.
    pub key: LimitKey,
    /// Requests per second.
    pub rate: f64,
    /// Incarnation of the instance that lacks the rate.
    pub borrower: Incarnation,
    /// Time of the demand, on the borrower's clock.
    pub asked: Millis,
}

/// A rate that one instance lends to another for 3 s after the demand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// Random number of the loan, so that a message that arrives twice counts once.
    pub number: u64,
    /// The limit.
    pub key: LimitKey,
    /// Requests per second.
    pub rate: f64,
    /// Incarnation of the borrower. Other instances ignore the loan.
    pub borrower: Incarnation,
    /// Time of the demand, on the borrower's clock. The loan ends 3 s later, however late it
    /// arrives, which is before the lender uses the rate again.
    pub asked: Millis,
}

/// Current loans of one limit, lent and borrowed.
#[derive(Debug, Default)]
pub(super) struct LoanTable {
    /// End and rate of each loan.
    lent: Vec<(Millis, f64)>,
    /// End and rate of each loan, by its number.
    borrowed: FastMap<u64, (Millis, f64)>,
}

impl LoanTable {
    /// Removes loans that have ended.
    pub(super) fn expire(&mut self, now: Millis) {
        self.lent.retain(|(end, _)| *end > now);
        self.borrowed.retain(|_, (end, _)| *end > now);
    }

    pub(super) fn lend(&mut self, rate: f64, now: Millis) {
        self.lent.push((now + LOAN_TIME + CLOCK_MARGIN, rate));
    }

    pub(super) fn borrow(&mut self, loan: &Loan) {
        let end = loan.asked + LOAN_TIME;
        self.borrowed.insert(loan.number, (end, loan.rate));
    }

    pub(super) fn lent(&self) -> f64 {
        self.lent.iter().map(|(_, rate)| rate).sum()
    }

    /// Returns the rate of borrowed loans that end after `until`.
    pub(super) fn borrowed(&self, until: Millis) -> f64 {
        let lasting = self.borrowed.values().filter(|(end, _)| *end > until);
        lasting.map(|(_, rate)| rate).sum()
    }
}
