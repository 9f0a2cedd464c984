//! Running estimates of a duration and of its deviation, as for round-trip times in RFC 6298.

use std::time::Duration;

/// Weight of one sample in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of one sample in the mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Number of mean deviations beyond the mean that few samples exceed.
const DEVIATION_FACTOR: f64 = 4.0;

/// Mean and mean deviation of a duration.
#[derive(Debug, Clone, Copy)]
pub struct TypicalTime {
    mean: f64,
    deviation: f64,
}

impl TypicalTime {
    /// Returns the estimate with one more sample.
    pub fn observe(previous: Option<Self>, time: Duration) -> Self {
        let time = time.as_secs_f64();
        let Some(Self { mean, deviation }) = previous else {
            return Self {
                mean: time,
                deviation: time / 2.0,
            };
        };
        Self {
            mean: mean + MEAN_WEIGHT * (time - mean),
            deviation: deviation + DEVIATION_WEIGHT * ((time - mean).abs() - deviation),
        }
    }

    /// Returns the mean.
    pub fn mean(self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Returns the mean plus four mean deviations.
    pub fn upper_bound(self) -> Duration {
        Duration::from_secs_f64(self.mean + DEVIATION_FACTOR * self.deviation)
    }
}
