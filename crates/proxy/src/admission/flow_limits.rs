//! Bounds the open flows of a service over all instances.

use std::time::Duration;

use tanager_core::{FastMap, Millis, ResultCode};

use crate::admission::{AdmissionError, LimitKey};

/// Half of the time for which an own open counts beside the reports. Reports arrive at least once
/// a second, so after two seconds every report includes it.
const WINDOW: Duration = Duration::from_secs(1);

/// Own opens of the last one to two seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Recent {
    start: Millis,
    current: u64,
    previous: u64,
}

impl Recent {
    fn roll(&mut self, now: Millis) {
        let elapsed = now.since(self.start);
        if elapsed >= WINDOW * 2 {
            (self.start, self.current, self.previous) = (now, 0, 0);
        } else if elapsed >= WINDOW {
            (self.previous, self.current) = (self.current, 0);
            self.start = self.start + WINDOW;
        }
    }
}

/// Limits on open feeds. Every instance opens at most its part of the headroom that the reports
/// leave, so that all instances together stay within the limit without a word between them.
#[derive(Debug, Default)]
pub(super) struct FlowLimits {
    recent: FastMap<LimitKey, Recent>,
}

impl FlowLimits {
    /// Takes one open for all limits, or for none of them. Each limit comes with its feeds over
    /// the fleet and the feeds that targets report.
    pub(super) fn take(
        &mut self,
        limits: &[(LimitKey, u64, u64)],
        instances: u64,
        now: Millis,
    ) -> Result<(), AdmissionError> {
        for (key, limit, reported) in limits {
            let recent = self.recent.entry(key.clone()).or_default();
            recent.roll(now);
            let opened = recent.current + recent.previous;
            if opened >= limit.saturating_sub(*reported) / instances.max(1) {
                return Err(AdmissionError {
                    code: ResultCode::FlowLimit,
                    inputs: format!(
                        "limit={limit} reported={reported} opened={opened} instances={instances}"
                    ),
                    reason: "this instance's part of the headroom is used up",
                });
            }
        }
        for (key, ..) in limits {
            self.recent.entry(key.clone()).or_default().current += 1;
        }
        Ok(())
    }
}
