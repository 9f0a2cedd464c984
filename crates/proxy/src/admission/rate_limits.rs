//! An instance's parts of all rate limits, including loans.

use std::time::Duration;

use tanager_core::{FastMap, Incarnation, Millis, ResultCode, ServiceId};

use crate::admission::bucket::{Bucket, FleetSize, Meter};
use crate::admission::loan::LoanTable;
use crate::admission::{AdmissionError, Demand, LimitKey, Loan};
use crate::catalogue::{Catalogue, PriorityClass, ServiceEntry};

/// Loans that end within this time are demanded again, so that the rate stays available without a
/// gap.
const RENEW_BEFORE: Duration = Duration::from_millis(1_500);
/// A limit that has refused nothing for this long needs no new loan.
const REFUSAL_PERIOD: Duration = Duration::from_secs(2);
/// Maximum share of the rate beyond guaranteed minimums that an instance lends. The rest remains
/// available for a sudden rise of its own demand.
const MAX_LENT_SHARE: f64 = 0.5;
/// Factor on the measured demand for the rate that a lender keeps and a borrower demands.
const HEADROOM: f64 = 1.2;
/// Minimum demand or loan, as a share of the instance's own part. Smaller ones do not justify
/// their bytes in a heartbeat.
const MIN_LOAN_SHARE: f64 = 0.02;

/// This instance's part of one limit.
#[derive(Debug)]
struct Part {
    bucket: Bucket,
    /// Part without loans, in requests per second.
    own: f64,
    /// Portion of `own` for guaranteed minimums, in requests per second. It is never lent.
    guaranteed: f64,
    loans: LoanTable,
    attempts: Meter,
    refused_at: Option<Millis>,
}

/// This instance's parts of the rate limits of all owners and services.
#[derive(Debug)]
pub(super) struct RateLimits {
    /// Incarnation of this instance.
    borrower: Incarnation,
    fleet_size: FleetSize,
    parts: FastMap<LimitKey, Part>,
    minimums: FastMap<ServiceId, Bucket>,
}

impl Part {
    fn new(now: Millis) -> Self {
        Self {
            bucket: Bucket::new(0.0, now),
            own: 0.0,
            guaranteed: 0.0,
            loans: LoanTable::default(),
            attempts: Meter::default(),
            refused_at: None,
        }
    }

    /// Returns the rate in use: the own part without lent rates, plus borrowed rates.
    fn rate(&self, now: Millis) -> f64 {
        (self.own - self.loans.lent()).max(0.0) + self.loans.borrowed(now)
    }

    fn refresh(&mut self, own: f64, guaranteed: f64, now: Millis) {
        let is_new = self.own <= 0.0;
        (self.own, self.guaranteed) = (own, guaranteed.min(own));
        self.loans.expire(now);
        let rate = self.rate(now);
        if is_new {
            self.bucket = Bucket::new(rate, now);
        }
        self.bucket.refill(rate, now);
    }

    fn spare_rate(&mut self, now: Millis) -> f64 {
        let used = (self.attempts.rate(now) * HEADROOM).max(self.guaranteed);
        let lendable = (self.own - self.guaranteed) * MAX_LENT_SHARE - self.loans.lent();
        lendable.min(self.own - used - self.loans.lent()).max(0.0)
    }

    fn lacking_rate(&mut self, now: Millis) -> f64 {
        let refused_recently = self
            .refused_at
            .is_some_and(|at| now.since(at) < REFUSAL_PERIOD);
        // A loan that meets the full demand ends the refusals but must still be renewed.
        if !refused_recently && self.loans.borrowed(now) <= 0.0 {
            return 0.0;
        }
        let own_left = (self.own - self.loans.lent()).max(0.0);
        let wanted = self.attempts.rate(now) * HEADROOM;
        (wanted - own_left - self.loans.borrowed(now + RENEW_BEFORE)).max(0.0)
    }
}

impl RateLimits {
    pub(super) fn new(borrower: Incarnation) -> Self {
        Self {
            borrower,
            fleet_size: FleetSize::default(),
            parts: FastMap::default(),
            minimums: FastMap::default(),
        }
    }

    /// Counts one request of the service against its limits, or refuses it.
    pub(super) fn try_acquire(
        &mut self,
        catalogue: &Catalogue,
        entry: &ServiceEntry,
        instances: usize,
        now: Millis,
    ) -> Result<(), AdmissionError> {
        let share = 1.0 / self.fleet_size.update(instances, now);
        self.refresh(catalogue, entry, share, now);
        let owner = LimitKey::Owner(entry.owner.clone());
        let service = LimitKey::Service(entry.service);
        let reserve = reserve(entry.class);
        for key in [&owner, &service] {
            self.part(key, now).attempts.count(now);
        }
        let minimum = self.minimums.entry(entry.service);
        let minimum = minimum.or_insert_with(|| Bucket::new(0.0, now));
        if minimum.has_token(0.0) {
            minimum.consume();
        } else {
            self.check_limit(&owner, reserve, ResultCode::OwnerLimit, now)?;
            self.check_limit(&service, 0.0, ResultCode::ServiceLimit, now)?;
        }
        for key in [&owner, &service] {
            self.part(key, now).bucket.consume();
        }
        Ok(())
    }

    /// Returns the rates that this instance lacks.
    pub(super) fn demand(&mut self, now: Millis) -> Vec<Demand> {
        let borrower = self.borrower;
        let lacking = self.parts.iter_mut().filter_map(|(key, part)| {
            part.loans.expire(now);
            let rate = part.lacking_rate(now);
            (rate > part.own * MIN_LOAN_SHARE).then(|| Demand {
                key: key.clone(),
                rate,
                borrower,
                asked: now,
            })
        });
        lacking.collect()
    }

    /// Lends spare rates. The own rate is reduced before this returns the loans, so that no rate is
    /// in use twice.
    pub(super) fn lend(
        &mut self,
        catalogue: &Catalogue,
        demand: &[Demand],
        instances: usize,
        now: Millis,
    ) -> Vec<Loan> {
        let share = 1.0 / self.fleet_size.update(instances, now);
        let mut loans = Vec::new();
        for wanted in demand {
            let Some((own, guaranteed)) = limit(catalogue, &wanted.key) else {
                continue;
            };
            let part = self.part(&wanted.key, now);
            part.refresh(own * share, guaranteed * share, now);
            let rate = part.spare_rate(now).min(wanted.rate);
            // Also false if the rate is NaN.
            if rate > part.own * MIN_LOAN_SHARE && wanted.borrower != self.borrower {
                let part = self.part(&wanted.key, now);
                part.loans.lend(rate, now);
                part.refresh(own * share, guaranteed * share, now);
                loans.push(Loan {
                    number: rand::random(),
                    key: wanted.key.clone(),
                    rate,
                    borrower: wanted.borrower,
                    asked: wanted.asked,
                });
            }
        }
        loans
    }

    /// Applies loans that answer this instance's own demand.
    pub(super) fn borrow(&mut self, loans: &[Loan], now: Millis) {
        for loan in loans {
            let is_valid = loan.rate.is_finite() && loan.rate > 0.0 && loan.asked <= now;
            if loan.borrower == self.borrower && is_valid {
                self.part(&loan.key, now).loans.borrow(loan);
            }
        }
    }

    /// Returns the rate in use for a limit; zero before its first use.
    #[cfg(test)]
    pub(super) fn rate(&mut self, key: &LimitKey, now: Millis) -> f64 {
        let part = self.part(key, now);
        part.loans.expire(now);
        part.rate(now)
    }

    /// Applies the catalogue's limits for the service and its owner.
    fn refresh(&mut self, catalogue: &Catalogue, entry: &ServiceEntry, share: f64, now: Millis) {
        if self.parts.len() > catalogue.entries.len() + catalogue.owners.len() {
            self.parts.retain(|key, _| limit(catalogue, key).is_some());
            self.minimums.retain(|s, _| catalogue.entry(*s).is_some());
        }
        let owner = LimitKey::Owner(entry.owner.clone());
        for key in [owner, LimitKey::Service(entry.service)] {
            let (own, guaranteed) = limit(catalogue, &key).unwrap_or_default();
            self.part(&key, now)
                .refresh(own * share, guaranteed * share, now);
        }
        let rate = entry.limits.minimum.per_second() * share;
        let minimum = self.minimums.entry(entry.service);
        let minimum = minimum.or_insert_with(|| Bucket::new(rate, now));
        minimum.refill(rate, now);
    }

    fn check_limit(
        &mut self,
        key: &LimitKey,
        reserve: f64,
        code: ResultCode,
        now: Millis,
    ) -> Result<(), AdmissionError> {
        let part = self.part(key, now);
        if part.bucket.has_token(reserve) {
            return Ok(());
        }
        part.refused_at = Some(now);
        let (rate, level) = (part.rate(now), part.bucket.level());
        let (lent, borrowed) = (part.loans.lent(), part.loans.borrowed(now));
        Err(AdmissionError {
            code,
            inputs: format!(
                "rate={rate:.1} tokens={level:.2} lent={lent:.1} borrowed={borrowed:.1}"
            ),
            reason: "this instance's part of the rate limit is used up",
        })
    }

    fn part(&mut self, key: &LimitKey, now: Millis) -> &mut Part {
        if !self.parts.contains_key(key) {
            self.parts.insert(key.clone(), Part::new(now));
        }
        self.parts.get_mut(key).expect("it was just inserted")
    }
}

/// Returns the rate of a limit and the guaranteed minimum within it, both for the whole fleet.
fn limit(catalogue: &Catalogue, key: &LimitKey) -> Option<(f64, f64)> {
    match key {
        LimitKey::Owner(name) => {
            let services = catalogue.entries.values().filter(|e| e.owner == *name);
            let minimum = services.map(|e| e.limits.minimum.per_second()).sum();
            Some((catalogue.owners.get(name)?.requests.per_second(), minimum))
        }
        LimitKey::Service(service) => {
            let limits = catalogue.entry(*service)?.limits;
            Some((limits.requests.per_second(), limits.minimum.per_second()))
        }
    }
}

/// Returns the share of an owner's burst that a class leaves to more urgent classes.
const fn reserve(class: PriorityClass) -> f64 {
    match class {
        PriorityClass::Urgent => 0.0,
        PriorityClass::Normal => 0.2,
        PriorityClass::Background => 0.5,
    }
}
