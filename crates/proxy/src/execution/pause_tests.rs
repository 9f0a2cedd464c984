use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tanager_core::Clock;

use crate::execution::{PauseGuard, Refresh};

fn counting_refresh(refreshes: &Arc<AtomicU64>, time: Duration) -> Refresh {
    let refreshes = Arc::clone(refreshes);
    Box::new(move || {
        let refreshes = Arc::clone(&refreshes);
        Box::pin(async move {
            tokio::time::sleep(time).await;
            refreshes.fetch_add(1, Ordering::Relaxed);
        })
    })
}

/// Guards against new work placed with a stale view after the process was suspended. The test
/// blocks the runtime's only thread to simulate the suspension.
#[tokio::test(flavor = "current_thread")]
async fn work_after_pause_waits_for_refresh() {
    let guard = PauseGuard::new(Clock::start());
    let refreshes = Arc::new(AtomicU64::new(0));
    let refresh = counting_refresh(&refreshes, Duration::ZERO);
    tokio::spawn(Arc::clone(&guard).watch(refresh));
    tokio::time::sleep(Duration::from_millis(150)).await;
    let before = refreshes.load(Ordering::Relaxed);

    std::thread::sleep(Duration::from_millis(700));
    guard.wait_for_refresh().await;

    // A busy machine may pause the test once more.
    assert!(refreshes.load(Ordering::Relaxed) > before);
}

/// Guards against work that waits forever when the view cannot be refreshed.
#[tokio::test(flavor = "current_thread")]
async fn wait_for_refresh_is_bounded() {
    let guard = PauseGuard::new(Clock::start());
    let refreshes = Arc::new(AtomicU64::new(0));
    let refresh = counting_refresh(&refreshes, Duration::from_hours(1));
    tokio::spawn(Arc::clone(&guard).watch(refresh));
    tokio::time::sleep(Duration::from_millis(150)).await;

    std::thread::sleep(Duration::from_millis(700));
    let start = Instant::now();
    guard.wait_for_refresh().await;

    // The limit is 1 s; the rest allows for a busy machine.
    assert!(start.elapsed() < Duration::from_secs(10));
    assert_eq!(refreshes.load(Ordering::Relaxed), 0);
}
