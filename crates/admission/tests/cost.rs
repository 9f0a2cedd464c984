//! The cost of a decision.

mod common;

use std::time::{Duration, Instant};

use common::{at, demand};
use tanager_admission::{LatePolicy, WaitQueue};

/// Decisions in one measurement.
const DECISIONS: u64 = 2_000;
/// Measurements, of which the shortest counts: others were interrupted.
const REPETITIONS: u32 = 9;
/// Largest factor between 10 and 1,000 waiting requests. The logarithms have a factor of three.
const MAX_FACTOR: f64 = 8.0;

/// Returns the shortest time of decisions with so many requests waiting.
fn cost(waiting: u64) -> Duration {
    let mut queue = WaitQueue::new(2_000);
    for i in 0..waiting {
        let _ = queue.push(
            demand(i % 3, i % 2 == 0, 1_000 + i),
            LatePolicy::Keep,
            i,
            at(0),
        );
    }
    let mut measure = || {
        let start = Instant::now();
        for i in 0..DECISIONS {
            let new = demand(i % 3, i % 2 == 0, 1_000 + i % waiting);
            let wait = queue.expected_wait(&new, at(0));
            let _ = queue.push(new, LatePolicy::Keep, std::hint::black_box(i), at(0));
            std::hint::black_box((wait, queue.pop(at(0))));
        }
        start.elapsed()
    };
    let times = (0..REPETITIONS).map(|_| measure());
    times.min().unwrap_or_default()
}

/// Guards against decisions that walk all waiting requests: with 1,000 of them, an instance of 0.03 of
/// a core would do little else.
#[test]
fn a_decision_does_not_grow_with_the_requests_that_wait() {
    let (few, many) = (cost(10), cost(1_000));

    let factor = many.div_duration_f64(few);
    assert!(factor <= MAX_FACTOR, "{few:?} with 10, {many:?} with 1,000");
    println!("{DECISIONS} decisions: {few:?} with 10 waiting, {many:?} with 1,000");
}
