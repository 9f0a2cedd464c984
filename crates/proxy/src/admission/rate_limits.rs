//! Keeps an instance's parts of all rate limits, with what it lent and borrowed.

use std::time::Duration;

use tanager_core::{FastMap, Incarnation, Millis, ResultCode, ServiceId};

use crate::admission::bucket::{Bucket, FleetSize, Meter};
use crate::admission::loan::Book;
use crate::admission::{AdmissionError, Demand, LimitKey, Loan};
use crate::catalogue::{Catalogue, PriorityClass, ServiceEntry};

/// Loans that end within this time are asked for anew, so that a demand is met without a gap.
const RENEW_BEFORE: Duration = Duration::from_millis(1_500);
/// A limit that refused nothing for this long needs no loan.
const DEMAND_AGE: Duration = Duration::from_secs(2);
/// Largest part of an instance's spare rate that is out on loan. The rest serves a sudden rise.
const LENT_SHARE: f64 = 0.5;
/// Rate above the measured demand that a lender keeps and a borrower asks for.
const HEADROOM: f64 = 1.2;
/// Smallest loan as a share of the lender's part. Smaller ones are not worth their bytes.
const LOAN_MINIMUM: f64 = 0.02;

/// This instance's part of one limit.
#[derive(Debug)]
struct Part {
    bucket: Bucket,
    /// Part without loans, in requests a second.
    own: f64,
    /// Part of `own` that guaranteed work may use and that is never lent.
    kept: f64,
    book: Book,
    tried: Meter,
    refused_at: Option<Millis>,
}

/// The rate limits of all owners and services, as far as this instance applies them.
#[derive(Debug)]
pub(super) struct RateLimits {
    borrower: Incarnation,
    size: FleetSize,
    parts: FastMap<LimitKey, Part>,
    minimums: FastMap<ServiceId, Bucket>,
}

impl Part {
    fn new(now: Millis) -> Self {
        Self {
            bucket: Bucket::new(0.0, now),
            own: 0.0,
            kept: 0.0,
            book: Book::default(),
            tried: Meter::default(),
            refused_at: None,
        }
    }

    /// Returns the rate in use: the own part less what is lent, and what is borrowed.
    fn rate(&self, now: Millis) -> f64 {
        (self.own - self.book.lent()).max(0.0) + self.book.borrowed(now)
    }

    fn refresh(&mut self, own: f64, kept: f64, now: Millis) {
        let is_new = self.own <= 0.0;
        (self.own, self.kept) = (own, kept.min(own));
        self.book.expire(now);
        let rate = self.rate(now);
        if is_new {
            self.bucket = Bucket::new(rate, now);
        }
        self.bucket.refill(rate, now);
    }

    fn spare(&mut self, now: Millis) -> f64 {
        let used = (self.tried.rate(now) * HEADROOM).max(self.kept);
        let lendable = (self.own - self.kept) * LENT_SHARE - self.book.lent();
        lendable.min(self.own - used - self.book.lent()).max(0.0)
    }

    fn missing(&mut self, now: Millis) -> f64 {
        let recent = self.refused_at.is_some_and(|at| now.since(at) < DEMAND_AGE);
        // A loan that meets the whole demand ends refusals, and must be renewed nevertheless.
        if !recent && self.book.borrowed(now) <= 0.0 {
            return 0.0;
        }
        let lasting = (self.own - self.book.lent()).max(0.0);
        let wanted = self.tried.rate(now) * HEADROOM;
        (wanted - lasting - self.book.borrowed(now + RENEW_BEFORE)).max(0.0)
    }
}

impl RateLimits {
    pub(super) fn new(borrower: Incarnation) -> Self {
        Self {
            borrower,
            size: FleetSize::default(),
            parts: FastMap::default(),
            minimums: FastMap::default(),
        }
    }

    /// Takes one request of the service, or refuses it.
    pub(super) fn take(
        &mut self,
        catalogue: &Catalogue,
        entry: &ServiceEntry,
        instances: usize,
        now: Millis,
    ) -> Result<(), AdmissionError> {
        let share = 1.0 / self.size.update(instances, now);
        self.refresh(catalogue, entry, share, now);
        let owner = LimitKey::Owner(entry.owner.clone());
        let service = LimitKey::Service(entry.service);
        let reserve = reserve(entry.class);
        for key in [&owner, &service] {
            self.part(key, now).tried.count(now);
        }
        let minimum = self.minimums.entry(entry.service);
        let minimum = minimum.or_insert_with(|| Bucket::new(0.0, now));
        if minimum.has(0.0) {
            minimum.take();
        } else {
            self.check(&owner, reserve, ResultCode::OwnerLimit, now)?;
            self.check(&service, 0.0, ResultCode::ServiceLimit, now)?;
        }
        for key in [&owner, &service] {
            self.part(key, now).bucket.take();
        }
        Ok(())
    }

    /// Returns what this instance lacks.
    pub(super) fn demand(&mut self, now: Millis) -> Vec<Demand> {
        let borrower = self.borrower;
        let lacking = self.parts.iter_mut().filter_map(|(key, part)| {
            part.book.expire(now);
            let rate = part.missing(now);
            (rate > part.own * LOAN_MINIMUM).then(|| Demand {
                key: key.clone(),
                rate,
                borrower,
                asked: now,
            })
        });
        lacking.collect()
    }

    /// Lends what is spare. The own rate is lower before the loan is returned.
    pub(super) fn lend(
        &mut self,
        catalogue: &Catalogue,
        demand: &[Demand],
        instances: usize,
        now: Millis,
    ) -> Vec<Loan> {
        let share = 1.0 / self.size.update(instances, now);
        let mut loans = Vec::new();
        for wanted in demand {
            let Some((own, kept)) = limit(catalogue, &wanted.key) else {
                continue;
            };
            let part = self.part(&wanted.key, now);
            part.refresh(own * share, kept * share, now);
            let rate = part.spare(now).min(wanted.rate);
            // Also false for a rate that is not a number.
            if rate > part.own * LOAN_MINIMUM && wanted.borrower != self.borrower {
                let part = self.part(&wanted.key, now);
                part.book.lend(rate, now);
                part.refresh(own * share, kept * share, now);
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

    /// Takes over loans that answer this instance's own demand.
    pub(super) fn borrow(&mut self, loans: &[Loan], now: Millis) {
        for loan in loans {
            let sane = loan.rate.is_finite() && loan.rate > 0.0 && loan.asked <= now;
            if loan.borrower == self.borrower && sane {
                self.part(&loan.key, now).book.borrow(loan);
            }
        }
    }

    /// Returns the rate in use for a limit; zero before its first use.
    #[cfg(test)]
    pub(super) fn rate(&mut self, key: &LimitKey, now: Millis) -> f64 {
        let part = self.part(key, now);
        part.book.expire(now);
        part.rate(now)
    }

    fn refresh(&mut self, catalogue: &Catalogue, entry: &ServiceEntry, share: f64, now: Millis) {
        if self.parts.len() > catalogue.entries.len() + catalogue.owners.len() {
            self.parts.retain(|key, _| limit(catalogue, key).is_some());
            self.minimums.retain(|s, _| catalogue.entry(*s).is_some());
        }
        let owner = LimitKey::Owner(entry.owner.clone());
        for key in [owner, LimitKey::Service(entry.service)] {
            let (own, kept) = limit(catalogue, &key).unwrap_or_default();
            self.part(&key, now).refresh(own * share, kept * share, now);
        }
        let rate = entry.limits.minimum.per_second() * share;
        let minimum = self.minimums.entry(entry.service);
        let minimum = minimum.or_insert_with(|| Bucket::new(rate, now));
        minimum.refill(rate, now);
    }

    fn check(
        &mut self,
        key: &LimitKey,
        reserve: f64,
        code: ResultCode,
        now: Millis,
    ) -> Result<(), AdmissionError> {
        let part = self.part(key, now);
        if part.bucket.has(reserve) {
            return Ok(());
        }
        part.refused_at = Some(now);
        let (rate, level) = (part.rate(now), part.bucket.level());
        let (lent, borrowed) = (part.book.lent(), part.book.borrowed(now));
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

/// Returns the limit and the guaranteed minimum within it, over the fleet.
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

/// Returns the share of an owner's burst that a class leaves to more urgent ones.
const fn reserve(class: PriorityClass) -> f64 {
    match class {
        PriorityClass::Urgent => 0.0,
        PriorityClass::Normal => 0.2,
        PriorityClass::Background => 0.5,
    }
}
