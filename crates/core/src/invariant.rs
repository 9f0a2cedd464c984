//! Checks invariants and counts their violations.

use std::sync::atomic::{AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Counts one violation of an invariant and writes it to standard error, which also works while the
/// log queue is full.
pub fn record_violation(name: &str, detail: &str) {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
    eprintln!("[invariant] {name} is violated: {detail}");
}

/// Returns the number of violations since the process started.
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Checks an invariant. A violation is counted and reported in the status page, and panics in
/// debug builds so that tests fail where the invariant is violated.
#[macro_export]
macro_rules! invariant {
    ($condition:expr, $name:literal, $($detail:tt)+) => {
        if !$condition {
            let detail = format!($($detail)+);
            $crate::record_violation($name, &detail);
            debug_assert!(false, "invariant {} is violated: {}", $name, detail);
        }
    };
}
