use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use crate::catalogue::poll_schedule::{PollSchedule, fallback_interval, hold_time, watch_pause};

/// Instances at the design size.
const INSTANCES: usize = 670;
/// Documents that each instance watches.
const DOCUMENTS: usize = 2;
/// The longest wait of a watch in the default settings.
const WAIT: Duration = Duration::from_secs(20);

/// How the platform answers a call.
#[derive(Clone, Copy)]
enum Platform {
    Down,
    Healthy,
    Stale,
}

/// Simulates every watcher of the fleet and returns the largest number of calls in a second.
fn busiest_second(platform: impl Fn(u64) -> Platform, changes: &[u64], seconds: usize) -> usize {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut calls = vec![0; seconds];
    for _ in 0..INSTANCES * DOCUMENTS {
        let mut schedule = PollSchedule::default();
        // All calls end together at the start, as when the platform restarts.
        let mut now = schedule.after_failure(Some(INSTANCES), &mut rng);
        while let Some(count) = calls.get_mut(usize::try_from(now.as_secs()).expect("fits")) {
            *count += 1;
            let delay = match platform(now.as_secs()) {
                Platform::Down => schedule.after_failure(Some(INSTANCES), &mut rng),
                Platform::Stale => schedule.after_unusable(INSTANCES, &mut rng),
                Platform::Healthy => {
                    let end = now + WAIT.mul_f64(rng.random_range(0.8..1.0));
                    let mut changes = changes.iter().copied().map(Duration::from_secs);
                    let change = changes.find(|c| *c > now && *c < end);
                    now = change.unwrap_or(end);
                    schedule.after_answer(INSTANCES, &mut rng)
                }
            };
            now += delay;
        }
    }
    calls.into_iter().max().unwrap_or(0)
}

/// Guards against more than 100 calls per second when all watches fail at the same time, during a
/// long outage, and when the platform recovers.
#[test]
fn reconnecting_fleet_stays_under_the_call_limit() {
    let platform = |now| {
        if now < 120 {
            Platform::Down
        } else {
            Platform::Healthy
        }
    };

    let busiest = busiest_second(platform, &[], 300);

    assert!(busiest < 100, "{busiest} calls in a second");
}

/// Guards against a change after which all watchers call again at the same time.
#[test]
fn changes_do_not_make_all_watchers_call_together() {
    let changes: Vec<u64> = (1..10).map(|i| i * 30).collect();

    let busiest = busiest_second(|_| Platform::Healthy, &changes, 300);

    assert!(busiest < 100, "{busiest} calls in a second");
}

/// Guards against calling a stale platform in a loop, because it answers at once, also when it is
/// only stale at times.
#[test]
fn stale_and_flapping_platform_is_called_rarely() {
    let platform = |now| match (now / 5) % 3 {
        0 => Platform::Stale,
        1 => Platform::Healthy,
        _ => Platform::Down,
    };

    let busiest = busiest_second(platform, &[], 300);

    assert!(busiest < 100, "{busiest} calls in a second");
}

/// Watchers of the fleet: 3 in each of 6 zones.
const WATCHERS: usize = 18;
/// Size of the catalogue of the design size in bytes.
const CATALOGUE: usize = 581_273;

/// Simulates a fleet in which only some instances watch, and returns the calls in each second.
/// The platform publishes a change every 10 s.
fn calls_with_watchers(down: impl Fn(u64) -> bool, seconds: usize) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut calls = vec![0; seconds];
    for caller in 0..INSTANCES * DOCUMENTS {
        let is_watcher = caller < WATCHERS * DOCUMENTS;
        let callers = if is_watcher { WATCHERS } else { INSTANCES };
        let mut schedule = PollSchedule::default();
        let mut now = Duration::ZERO;
        if !is_watcher {
            now += fallback_interval(INSTANCES, &mut rng);
        }
        while let Some(count) = calls.get_mut(usize::try_from(now.as_secs()).expect("fits")) {
            *count += 1;
            let is_down = down(now.as_secs());
            let delay = if is_down {
                schedule.after_failure(Some(callers), &mut rng)
            } else {
                schedule.after_answer(callers, &mut rng)
            };
            now += match (is_watcher, is_down) {
                (true, true) => delay,
                (true, false) => {
                    let end = now + hold_time(CATALOGUE, WAIT).mul_f64(rng.random_range(0.8..1.0));
                    let change = Duration::from_secs(now.as_secs() / 10 * 10 + 10);
                    let held = end.min(change).saturating_sub(now);
                    held + delay.max(watch_pause(CATALOGUE, &mut rng))
                }
                (false, _) => delay + fallback_interval(INSTANCES, &mut rng),
            };
        }
    }
    calls
}

/// Guards against more than 100 calls per second by watchers and the fallback calls of all others,
/// also while the platform is down and when it recovers.
#[test]
fn watchers_and_fallback_calls_stay_under_the_call_limit() {
    let calls = calls_with_watchers(|now| (300..500).contains(&now), 1_000);

    let busiest = calls.iter().max().copied().unwrap_or(0);
    // The first fallback calls are distributed over the first interval, up to 201 s, so the mean is
    // taken later.
    let mean = calls[600..].iter().sum::<usize>() / 400;
    println!("{mean} calls a second, {busiest} in the busiest");
    assert!(busiest < 100, "{busiest} calls in a second");
}
