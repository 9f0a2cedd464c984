//! Notices that the process did not run for a while, before it trusts what it knows.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tanager_core::{Clock, Millis};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, timeout};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// A longer gap between two ticks means that the process was stopped.
const GAP_LIMIT: Duration = Duration::from_millis(500);
/// Longest time that new work waits for a fresh view.
const REFRESH_LIMIT: Duration = Duration::from_secs(1);

/// Reads the view of the fleet anew.
pub type Refresh = Box<dyn Fn() -> Pin<Box<dyn Future<Output = ()> + Send>> + Send + Sync>;

/// Notices that the process was stopped and holds new work back until its view is fresh.
#[derive(Debug)]
pub struct PauseGuard {
    clock: Clock,
    /// Clock reading of the newest tick.
    tick: AtomicU64,
    /// Number of refreshes that have ended.
    refreshed: watch::Sender<u64>,
    refreshing: AtomicBool,
}

impl PauseGuard {
    /// Creates a guard. It holds nothing back before [`PauseGuard::watch`] runs.
    #[must_use]
    pub fn new(clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            tick: AtomicU64::new(u64::MAX),
            refreshed: watch::Sender::new(0),
            refreshing: AtomicBool::new(false),
        })
    }

    /// Returns the number of pauses noticed and followed by a refresh.
    #[must_use]
    pub fn pauses(&self) -> u64 {
        *self.refreshed.borrow()
    }

    /// Returns at once, or after a pause when the view is fresh, at the latest after 1 s. Call it
    /// before new work is placed.
    pub async fn settled(&self) {
        // A task may run before the tick task has noticed the pause, so the gap is checked here.
        if !self.is_stale() {
            return;
        }
        let mut refreshed = self.refreshed.subscribe();
        if self.is_stale() {
            let _ = timeout(REFRESH_LIMIT, refreshed.changed()).await;
        }
    }

    /// Ticks for as long as the process lives, and runs `refresh` after each pause.
    pub async fn watch(self: Arc<Self>, refresh: Refresh) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.store_tick();
        loop {
            ticks.tick().await;
            if self.gap() > GAP_LIMIT {
                self.refreshing.store(true, Ordering::Release);
                self.store_tick();
                let _ = timeout(REFRESH_LIMIT, refresh()).await;
                self.store_tick();
                self.refreshing.store(false, Ordering::Release);
                self.refreshed.send_modify(|number| *number += 1);
            }
            self.store_tick();
        }
    }

    fn is_stale(&self) -> bool {
        self.refreshing.load(Ordering::Acquire) || self.gap() > GAP_LIMIT
    }

    fn gap(&self) -> Duration {
        let tick = Millis::new(self.tick.load(Ordering::Acquire));
        self.clock.now().since(tick)
    }

    fn store_tick(&self) {
        self.tick.store(self.clock.now().get(), Ordering::Release);
    }
}
