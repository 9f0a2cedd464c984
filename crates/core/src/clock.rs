//! The monotonic clock of a process, in milliseconds.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point in milliseconds on one process's monotonic clock.
///
/// Values of different processes must not be compared.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(u64);

impl Millis {
    /// Wraps a number of milliseconds since the clock's start.
    #[must_use]
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the number of milliseconds since the clock's start.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to this point, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Millis {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let millis = u64::try_from(rhs.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

impl Sub<Duration> for Millis {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let millis = u64::try_from(rhs.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(millis))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// The monotonic clock of this process. It keeps running while the process is stopped by a signal or
/// the machine is suspended, so deadlines that pass during a pause have expired when the process
/// resumes.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Time since the machine was booted.
    start: Duration,
}

impl Clock {
    /// Starts a clock at [`Clock::START`]. Subtraction saturates at zero, and the offset keeps it
    /// exact for readings near the start.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// The reading of a clock that has just been started.
    pub const START: Millis = Millis(1_000_000);

    /// Returns the current reading.
    #[must_use]
    pub fn now(&self) -> Millis {
        Self::START + since_boot().saturating_sub(self.start)
    }
}

/// Returns the time since the machine was booted. Unlike [`std::time::Instant`], it includes the time
/// for which the machine was suspended.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    time.try_into().unwrap_or_default()
}
