//! What the order of a request depends on.

use std::time::Duration;

use tanager_core::Millis;

/// Lowest weight of a request, in seconds of work.
const MIN_WEIGHT: f64 = 0.001;

/// A group of requests among which capacity is shared fairly, such as a route or a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GroupId(u64);

impl GroupId {
    /// Wraps a number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// What the order of a request depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Its priority; 0 is the highest.
    pub priority: u64,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// When it should be answered.
    pub objective: Millis,
    /// When it is removed from the queue.
    pub deadline: Millis,
    /// Expected time from its start to its answer.
    pub work: Duration,
    /// The group whose share of the capacity it uses.
    pub group: GroupId,
}

impl Demand {
    /// Returns the latest start at which it can still be answered by its objective.
    #[must_use]
    pub fn latest_start(&self) -> Millis {
        (self.objective - self.work).min(self.deadline)
    }

    /// Returns the class of requests with the same precedence.
    pub(crate) const fn class(&self) -> Class {
        Class {
            priority: self.priority,
            repeatable: self.repeatable,
        }
    }

    /// Returns the work in seconds, at least that of a very short request, so that each counts.
    pub(crate) fn weight(&self) -> f64 {
        self.work.as_secs_f64().max(MIN_WEIGHT)
    }
}

/// Requests with the same precedence. More urgent classes are lower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Class {
    priority: u64,
    /// False sorts first: a request that must not run twice is not sent again by its client.
    repeatable: bool,
}
