use std::time::Duration;

use proptest::prelude::*;
use tanager_core::{Incarnation, Millis, ResultCode, ServiceId};

use super::bucket::FleetSize;
use super::flow_limits::FlowLimits;
use super::rate_limits::RateLimits;
use super::{Demand, LimitKey, Loan};
use crate::catalogue::Catalogue;

const INSTANCES: usize = 3;
const START: Millis = Millis::new(1_000_000);
const TARGETS: &str = "targets: []";

/// Two services of one owner with a limit of 300/s. The less urgent one has a minimum of 30/s.
fn catalogue() -> Catalogue {
    let limits = "requests: 300/s, flows: 30, queue: 8";
    Catalogue::read(&format!(
        "revision: 1\n\
         owners:\n- {{ name: abay, limits: {{ requests: 300/s, flows: 30 }} }}\n\
         entries:\n\
         - {{ service: flood, number: 1, owner: abay, class: urgent, \
         limits: {{ {limits}, minimum: 0/s }}, {TARGETS} }}\n\
         - {{ service: calm, number: 2, owner: abay, class: background, \
         limits: {{ {limits}, minimum: 30/s }}, {TARGETS} }}\n"
    ))
    .expect("a valid catalogue")
}

fn owner() -> LimitKey {
    LimitKey::Owner("abay".parse().expect("name"))
}

fn instance(number: usize) -> RateLimits {
    RateLimits::new(Incarnation::new(number as u64 + 1))
}

/// Distributes a number of requests evenly over a second. Returns how many were admitted, and the
/// codes of the others.
fn run_second(
    limits: &mut RateLimits,
    service: u32,
    tries: u64,
    start: Millis,
) -> (u64, Vec<ResultCode>) {
    let catalogue = catalogue();
    let entry = catalogue.entry(ServiceId::new(service)).expect("entry");
    let mut codes = Vec::new();
    for i in 0..tries {
        let now = start + Duration::from_millis(i * 1_000 / tries);
        let admitted = limits.try_acquire(&catalogue, entry, INSTANCES, now);
        codes.extend(admitted.err().map(|refused| refused.code));
    }
    (tries - codes.len() as u64, codes)
}

/// Guards against instances that together exceed an owner's limit, and against a flood of one
/// service that takes another one's guaranteed minimum.
#[test]
fn an_owner_limit_is_shared_and_minimums_are_kept() {
    let mut limits = instance(0);
    let (mut flood, mut calm) = (0, 0);
    for millisecond in 0..10_000 {
        let start = START + Duration::from_millis(millisecond);
        flood += run_second(&mut limits, 1, 1, start).0;
        if millisecond % 100 == 0 {
            calm += run_second(&mut limits, 2, 1, start).0;
        }
    }
    assert_eq!(calm, 100, "the minimum of 10/s for this instance");
    // A third of 300/s for 10 s, plus the burst of 100 ms.
    assert!((900..=1_011).contains(&(flood + calm)), "{flood} {calm}");
    assert!(
        run_second(&mut limits, 1, 1_000, START + Duration::from_secs(20))
            .1
            .contains(&ResultCode::OwnerLimit)
    );
}

/// Guards against spare rate that is never lent or never returned, and against loans that another
/// instance than the borrower uses.
#[test]
fn spare_rate_is_lent_and_returns() {
    let (mut busy, mut idle) = (instance(0), instance(1));
    let end = START + Duration::from_secs(1);
    run_second(&mut busy, 1, 400, START);
    run_second(&mut idle, 1, 10, START);
    let demand = busy.demand(end);
    let loans = idle.lend(&catalogue(), &demand, INSTANCES, end);
    busy.borrow(&loans, end);
    let mut other = instance(2);
    other.borrow(&loans, end);
    assert_eq!(other.rate(&owner(), end).to_bits(), 0f64.to_bits());
    assert!(busy.rate(&owner(), end) > 120.0);
    assert!(idle.rate(&owner(), end) < 80.0);
    let later = end + Duration::from_secs(4);
    assert!((busy.rate(&owner(), later) - 100.0).abs() < 1e-9);
    assert!((idle.rate(&owner(), later) - 100.0).abs() < 1e-9);
}

/// Guards against parts that grow as soon as some instances observe a smaller fleet.
#[test]
fn limits_are_divided_by_the_largest_recent_fleet() {
    let mut size = FleetSize::default();
    let at = |seconds| START + Duration::from_secs(seconds);
    let seen: Vec<f64> = [(8, 0), (4, 10), (6, 29), (4, 31), (4, 60)]
        .map(|(count, seconds)| size.update(count, at(seconds)))
        .into();
    assert_eq!(seen, [8.0, 8.0, 8.0, 6.0, 4.0]);
}

/// Guards against instances that together open more feeds than a limit allows while reports are
/// outdated.
#[test]
fn flow_limits_hold_with_outdated_reports() {
    let mut instances: Vec<FlowLimits> = (0..INSTANCES).map(|_| FlowLimits::default()).collect();
    let (mut open, mut reported) = (0, 0);
    for second in 0..20 {
        for step in 0..10 {
            let now = START + Duration::from_millis(second * 1_000 + step * 100);
            for limits in &mut instances {
                let limit = [(owner(), 30, reported)];
                open += (0..5)
                    .filter(|_| limits.try_acquire(&limit, INSTANCES as u64, now).is_ok())
                    .count() as u64;
            }
            assert!(open <= 30, "{open} are open in second {second}");
        }
        reported = open;
    }
    assert!(open > 30 - INSTANCES as u64, "{open}");
}

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Try(usize, u64),
    Demand(usize),
    Lend(usize, usize),
    Deliver(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..1_000u64).prop_map(Step::Wait),
        (0..INSTANCES, 1..400u64).prop_map(|(i, n)| Step::Try(i, n)),
        (0..INSTANCES).prop_map(Step::Demand),
        // Messages are picked at random from the last ones sent: they are lost, late, misdirected,
        // repeated and reordered, and partitions are long runs without delivery.
        (0..INSTANCES, 0..6usize).prop_map(|(i, m)| Step::Lend(i, m)),
        (0..INSTANCES, 0..6usize).prop_map(|(i, m)| Step::Deliver(i, m)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Guards against rate that the lender and the borrower of a loan use at the same time.
    #[test]
    fn rates_in_use_never_exceed_the_limit(steps in prop::collection::vec(step(), 1..200)) {
        let catalogue = catalogue();
        let mut instances: Vec<RateLimits> = (0..INSTANCES).map(instance).collect();
        // Clocks of instances are not comparable; two of them may agree by chance.
        let clock = |i: usize, now: Millis| now + Duration::from_secs(1_000 * (i as u64 / 2));
        let mut now = START;
        let (mut demands, mut loans): (Vec<Vec<Demand>>, Vec<Vec<Loan>>) = (Vec::new(), Vec::new());
        for step in steps {
            match step {
                Step::Wait(ms) => now = now + Duration::from_millis(ms),
                Step::Try(i, tries) => {
                    run_second(&mut instances[i], 1, tries, clock(i, now));
                    now = now + Duration::from_secs(1);
                }
                Step::Demand(i) => demands.push(instances[i].demand(clock(i, now))),
                Step::Lend(i, m) if !demands.is_empty() => {
                    let demand = &demands[demands.len() - 1 - m % demands.len()];
                    loans.push(instances[i].lend(&catalogue, demand, INSTANCES, clock(i, now)));
                }
                Step::Deliver(i, m) if !loans.is_empty() => {
                    let loan = &loans[loans.len() - 1 - m % loans.len()];
                    instances[i].borrow(loan, clock(i, now));
                }
                Step::Lend(..) | Step::Deliver(..) => {}
            }
            for key in [owner(), LimitKey::Service(ServiceId::new(1))] {
                let rates = instances.iter_mut().enumerate();
                let sum: f64 = rates.map(|(i, l)| l.rate(&key, clock(i, now))).sum();
                prop_assert!(sum <= 300.0 + 1e-6, "{key:?}: {sum}");
            }
        }
    }
}
