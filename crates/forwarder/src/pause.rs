//! Detects that packets have waited in the socket: because the process did not run for a while, or since
//! it does not keep up.

use std::time::Duration;

use tanager_core::Millis;

/// Longest time between two observations of a process that is not paused.
pub const OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two observations from which the process counts as paused. Clients repeat an opening
/// after this time, perhaps through another instance.
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// Time after a pause for which an empty socket does not end it. The runtime learns of packets only
/// when it polls the system, so a socket may seem to be empty just after the pause.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Time for which the socket has not been empty from which the process does not keep up. Clients repeat
/// data that is not acknowledged after 200 ms.
const MAX_BACKLOG: Duration = Duration::from_millis(150);

#[derive(Debug, Clone, Copy)]
struct Pause {
    since: Millis,
    ended: Millis,
}

/// The pauses of the process, as seen by one task that receives packets.
#[derive(Debug)]
pub struct PauseDetector {
    last_observation: Millis,
    /// When the socket was last empty.
    last_empty: Millis,
    /// The last pause, until all packets that waited in the meantime have been received.
    pause: Option<Pause>,
}

impl PauseDetector {
    /// Creates a detector for a task that starts now.
    pub const fn new(now: Millis) -> Self {
        Self {
            last_observation: now,
            last_empty: now,
            pause: None,
        }
    }

    /// Records that the task runs. Returns the length of the pause that ends now, if there was one. To
    /// be called at least every [`OBSERVATION_INTERVAL`].
    pub fn observe(&mut self, now: Millis) -> Option<Duration> {
        let last = std::mem::replace(&mut self.last_observation, now);
        let length = now.since(last);
        if length < MIN_PAUSE {
            return None;
        }
        let since = self.pause.map_or(last, |p| p.since);
        self.pause = Some(Pause { since, ended: now });
        Some(length)
    }

    /// Records that the socket is empty.
    pub fn record_empty(&mut self, now: Millis) {
        self.last_empty = now;
        self.pause
            .take_if(|pause| now.since(pause.ended) >= SETTLE_TIME);
    }

    /// Returns whether packets have waited for so long that clients may have repeated them.
    pub fn has_backlog(&self, now: Millis) -> bool {
        now.since(self.last_empty) >= MAX_BACKLOG
    }

    /// Returns since when packets that are received now may have waited; `None` if the process was not
    /// paused.
    pub fn waiting_since(&self) -> Option<Millis> {
        self.pause.map(|pause| pause.since)
    }
}
