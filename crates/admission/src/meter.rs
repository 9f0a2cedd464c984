//! Measurement of rates over a recent time.

use std::time::Duration;

use tanager_core::Millis;

/// Amount per second, averaged with exponentially decaying weights.
#[derive(Debug, Clone, Copy)]
pub struct RateMeter {
    /// Time in which the weight of an observation falls to 1/e. Invariant: not zero.
    window: Duration,
    /// Decayed sum of the amounts, as of `updated`.
    sum: f64,
    updated: Millis,
}

impl RateMeter {
    /// Creates a meter that has observed nothing. A window of zero is taken as one millisecond.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window: window.max(Duration::from_millis(1)),
            sum: 0.0,
            updated: Millis::new(0),
        }
    }

    /// Adds an observed amount.
    pub fn add(&mut self, amount: f64, now: Millis) {
        self.sum = self.decayed(now) + amount;
        self.updated = self.updated.max(now);
    }

    /// Returns the amount per second.
    #[must_use]
    pub fn per_second(&self, now: Millis) -> f64 {
        self.decayed(now) / self.window.as_secs_f64()
    }

    fn decayed(&self, now: Millis) -> f64 {
        let age = now.since(self.updated).div_duration_f64(self.window);
        self.sum * (-age).exp()
    }
}
