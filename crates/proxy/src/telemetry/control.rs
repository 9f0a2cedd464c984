//! Measures the rate of control traffic over the last seconds.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use crate::telemetry::Counters;

/// Number of samples over which the rate is computed. One is taken each second.
const SAMPLES: usize = 10;

/// The rate of control traffic over the last seconds.
#[derive(Debug, Default)]
pub struct ControlRate {
    /// Time, bytes sent and bytes received so far. Invariant: at most [`SAMPLES`] + 1 entries.
    samples: Mutex<VecDeque<(Instant, u64, u64)>>,
}

impl ControlRate {
    /// Takes a sample of the counters.
    pub fn sample(&self, counters: &Counters) {
        let sent = counters.control_sent_bytes.get();
        let received = counters.control_received_bytes.get();
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        if samples.len() > SAMPLES {
            samples.pop_front();
        }
        samples.push_back((Instant::now(), sent, received));
    }

    /// Returns the bytes sent and the bytes received per second over the last 10 samples.
    #[must_use]
    pub fn per_second(&self) -> (f64, f64) {
        let samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        let (Some(first), Some(last)) = (samples.front(), samples.back()) else {
            return (0.0, 0.0);
        };
        let seconds = last.0.duration_since(first.0).as_secs_f64();
        if seconds <= 0.0 {
            return (0.0, 0.0);
        }
        let rate = |from: u64, to: u64| as_f64(to.saturating_sub(from)) / seconds;
        (rate(first.1, last.1), rate(first.2, last.2))
    }
}

/// Converts the bytes of some seconds. Values above 4 GiB are reduced to it.
fn as_f64(bytes: u64) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX))
}
