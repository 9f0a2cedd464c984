//! Detects that the process was suspended, so that it refreshes its view before it places new work.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tanager_core::{Clock, Millis};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, timeout};

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// A longer gap between two ticks is treated as a suspension of the process.
const GAP_LIMIT: Duration = Duration::from_millis(500);
/// Maximum time that new work waits for a refreshed view.
const REFRESH_TIMEOUT: Duration = Duration::from_secs(1);

/// Refreshes the view of the fleet.
pub type Refresh = Box<dyn Fn() -> Pin<Box<dyn Future<Output = ()> + Send>> + Send + Sync>;

/// Detects that the process was suspended and delays new work until its view is refreshed.
#[derive(Debug)]
pub struct PauseGuard {
    clock: Clock,
    /// Clock reading of the latest tick.
    last_tick: AtomicU64,
    /// Number of completed refreshes.
    refreshed: watch::Sender<u64>,
    refreshing: AtomicBool,
}

impl PauseGuard {
    /// Creates a guard. It delays nothing before [`PauseGuard::watch`] runs.
    #[must_use]
    pub fn new(clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            last_tick: AtomicU64::new(u64::MAX),
            refreshed: watch::Sender::new(0),
            refreshing: AtomicBool::new(false),
        })
    }

    /// Returns the number of pauses that were detected and followed by a refresh.
    #[must_use]
    pub fn pauses(&self) -> u64 {
        *self.refreshed.borrow()
    }

    /// Waits after a pause until the view is refreshed, for at most 1 s; otherwise returns at once.
    /// Must be called before new work is placed.
    pub async fn wait_for_refresh(&self) {
        // This task may resume before `watch` has detected the pause, so the gap is checked here
        // too.
        if !self.is_stale() {
            return;
        }
        let mut refreshed = self.refreshed.subscribe();
        if self.is_stale() {
            let _ = timeout(REFRESH_TIMEOUT, refreshed.changed()).await;
        }
    }

    /// Ticks until the process exits and runs `refresh` after each pause.
    pub async fn watch(self: Arc<Self>, refresh: Refresh) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.record_tick();
        loop {
            ticks.tick().await;
            if self.gap() > GAP_LIMIT {
                self.refreshing.store(true, Ordering::Release);
                self.record_tick();
                let _ = timeout(REFRESH_TIMEOUT, refresh()).await;
                self.record_tick();
                self.refreshing.store(false, Ordering::Release);
                self.refreshed.send_modify(|number| *number += 1);
            }
            self.record_tick();
        }
    }

    fn is_stale(&self) -> bool {
        self.refreshing.load(Ordering::Acquire) || self.gap() > GAP_LIMIT
    }

    fn gap(&self) -> Duration {
        let last_tick = Millis::new(self.last_tick.load(Ordering::Acquire));
        self.clock.now().since(last_tick)
    }

    fn record_tick(&self) {
        self.last_tick
            .store(self.clock.now().get(), Ordering::Release);
    }
}
