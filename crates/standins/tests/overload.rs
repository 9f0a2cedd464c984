//! Overload: callers ask for more than the targets can do, so that all queues fill up.

use std::time::Duration;

use tanager_standins::model::{Burst, Report, Settings, simulate, two_routes};

/// Requests that one target completes in a second: two at a time, 30 ms each.
const TARGET_RATE: f64 = 2.0 / 0.03;
/// Load before the overload, relative to the capacity.
const NORMAL_LOAD: f64 = 0.5;
/// Share of the targets' capacity that answers within the objective have to reach.
const MIN_GOODPUT: f64 = 0.8;
/// Time from the first request to the overload.
const START: Duration = Duration::from_secs(2);
/// Duration of the overload.
const DURATION: Duration = Duration::from_secs(6);

/// A fleet that is asked for a multiple of what its targets can do.
fn overload(instances: u16, targets: u16, factor: f64) -> Settings {
    Settings {
        instances,
        targets,
        rate: capacity(targets) * NORMAL_LOAD,
        routes: two_routes(Duration::from_millis(150)),
        length: START + DURATION,
        bursts: vec![Burst::new(START, DURATION, factor / NORMAL_LOAD)],
        ..Settings::default()
    }
}

fn capacity(targets: u16) -> f64 {
    f64::from(targets) * TARGET_RATE
}

/// Returns the answers within the objective per second of the overload, relative to the capacity.
fn goodput(report: &Report, settings: &Settings) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "a small count")]
    let in_time = report.sum().in_time as f64;
    let before = settings.rate * START.as_secs_f64();
    (in_time - before) / DURATION.as_secs_f64() / capacity(settings.targets)
}

/// Returns the lowest goodput of several seeds at a multiple of the capacity.
fn lowest_goodput(factor: f64) -> f64 {
    let settings = overload(8, 18, factor);
    let goodputs = (0..4).map(|seed| goodput(&simulate(&settings, seed), &settings));
    goodputs.fold(f64::INFINITY, f64::min)
}

/// Guards against queues that turn all answers late just beyond the capacity.
#[test]
fn goodput_holds_just_beyond_the_capacity() {
    let goodput = lowest_goodput(1.3);

    assert!(goodput >= MIN_GOODPUT, "{goodput}");
}

/// The same far beyond the capacity.
#[test]
fn goodput_holds_at_three_times_the_capacity() {
    let goodput = lowest_goodput(3.0);

    assert!(goodput >= MIN_GOODPUT, "{goodput}");
}

/// Guards against serving the fewer in time, the more is asked for.
#[test]
fn goodput_does_not_fall_with_more_load() {
    let (beyond, far_beyond) = (lowest_goodput(1.3), lowest_goodput(4.0));

    assert!(far_beyond >= beyond, "{beyond} and {far_beyond}");
}

/// Guards against shedding that lets a fleet below its capacity lose requests.
#[test]
fn no_request_below_the_capacity_fails() {
    let settings = overload(8, 18, 0.85);

    let failed: Vec<_> = (0..8)
        .map(|seed| simulate(&settings, seed).sum().failed)
        .collect();

    assert!(failed.iter().all(|f| *f == 0), "failed by seed: {failed:?}");
}
