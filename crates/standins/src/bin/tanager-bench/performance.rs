//! Experiments without faults: floods, balance between targets and the cost of control traffic.

use std::io;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tanager_core::{FastMap, RequestId};
use tanager_standins::load::{RequestCounts, Tally, Workload, generate_load};
use tanager_standins::process::{cpu_seconds, resident_bytes};
use tanager_standins::verdict::RunObservations;
use tokio::time::sleep;

use crate::ExperimentConfig;
use crate::faults::{figure, ordinary_load, services, start, with_slow_requests};
use crate::fleet::Fleet;
use crate::report::Report;

/// Time for connections and instance lists to stabilise before a measurement.
pub const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Rate of a flood as a multiple of the capacity of the flooded service.
const FLOOD_FACTOR: f64 = 10.0;
/// A limit in requests a second that is far above the rate of any flood.
const UNLIMITED: u32 = 1_000_000;
/// Requests a second that a target can serve: two slots, and 40 ms for each request.
const REQUESTS_PER_TARGET: u32 = 50;

/// Measures three phases of equal length: without a flood, with a flood, and with a flood while
/// the published limits are too high to have an effect. The third is the baseline.
pub async fn flood(config: &ExperimentConfig) -> io::Result<Report> {
    let mut fleet = start(config).await?;
    limit_to_capacity(&mut fleet);
    sleep(SETTLE_TIME).await;
    let time = Duration::from_secs(config.seconds) / 3;
    let address = fleet.fabric.address();
    let mut workloads = ordinary_load(50, 1.0);
    let before = generate_load(address, &workloads, time).await?;
    let (service, targets) = if config.most_urgent { (1, 14) } else { (2, 4) };
    let flood = flood_workload(service, targets, !config.most_urgent);
    let capacity = (flood.once + flood.repeatable) / FLOOD_FACTOR;
    let flooded = flood.service;
    workloads.push(flood);
    let during = generate_load(address, &workloads, time).await?;
    publish_unlimited(&mut fleet);
    sleep(SETTLE_TIME).await;
    let unlimited = generate_load(address, &workloads, time).await?;
    let limited = goodput_and_p99_ratios(&before, &during, flooded);
    let baseline = goodput_and_p99_ratios(&before, &unlimited, flooded);
    let last = during.last();
    let served = last.map_or(0, Tally::answered);
    if let Some(skipped) = last.map(Tally::skipped).filter(|n| *n > 0) {
        eprintln!("{skipped} requests of the flood were not sent: too many were outstanding");
    }
    let tallies = [before, during, unlimited].concat();
    let served = figure(served) / (capacity * time.as_secs_f64());
    Ok(Report {
        figures: vec![
            ("kept_goodput_ratio_min", limited.0),
            ("kept_p99_ratio_max", limited.1),
            ("flood_served_ratio", served),
        ],
        baselines: vec![
            ("kept_goodput_ratio_min", baseline.0),
            ("kept_p99_ratio_max", baseline.1),
        ],
        breaches: fleet.observations(tallies).await.breaches(),
        ..Report::default()
    })
}

/// Returns the load of a flood: 10 times the capacity of a service with this number of targets.
pub fn flood_workload(service: u32, targets: u32, repeatable: bool) -> Workload {
    let rate = f64::from(targets * REQUESTS_PER_TARGET) * FLOOD_FACTOR;
    let (once, repeatable) = if repeatable { (0.0, rate) } else { (rate, 0.0) };
    Workload {
        name: "flood".to_owned(),
        service,
        once,
        repeatable,
        answer_size: 64,
        ..Workload::default()
    }
}

/// Publishes limits that are too high to have an effect, and the lowest guaranteed rate.
fn publish_unlimited(fleet: &mut Fleet) {
    for service in &mut fleet.services {
        (service.requests, service.minimum) = (UNLIMITED, 1);
    }
    fleet.owner_requests = UNLIMITED;
    fleet.publish_services();
}

/// Limits services and owners to the capacity of their targets, so that the flood competes with
/// other work for shared limits. Each service is guaranteed 40% of its limit, which is above its
/// ordinary load.
pub fn limit_to_capacity(fleet: &mut Fleet) {
    for service in &mut fleet.services {
        let targets = u32::try_from(service.targets.len()).unwrap_or(u32::MAX);
        service.requests = targets * REQUESTS_PER_TARGET;
        service.minimum = service.requests * 2 / 5;
    }
    fleet.owner_requests = 18 * REQUESTS_PER_TARGET;
    fleet.publish_services();
}

/// Returns the lowest goodput and the highest p99 latency of all work except requests of the
/// flooded service, each relative to the same kind of work before the flood.
fn goodput_and_p99_ratios(before: &[Tally], during: &[Tally], flooded: u32) -> (f64, f64) {
    let (mut goodput, mut p99) = (f64::INFINITY, 0.0_f64);
    for (old, new) in before.iter().zip(during) {
        if old.updates > 0 {
            goodput = goodput.min(figure(new.updates) / figure(old.updates));
        }
        if old.service == flooded {
            continue;
        }
        for (old, new) in [(&old.once, &new.once), (&old.repeatable, &new.repeatable)] {
            if old.answered > 0 {
                goodput = goodput.min(answered_share(new) / answered_share(old));
                p99 = p99.max(new.p99_ms() / old.p99_ms());
            }
        }
    }
    (goodput, p99)
}

fn answered_share(requests: &RequestCounts) -> f64 {
    figure(requests.answered) / figure((requests.sent + requests.skipped).max(1))
}

pub async fn imbalance(config: &ExperimentConfig) -> io::Result<Report> {
    let mut fleet = start(config).await?;
    let workloads = ordinary_load(1_400, 1.0);
    let tallies = generate_load(
        fleet.fabric.address(),
        &workloads,
        Duration::from_secs(config.seconds),
    )
    .await?;
    let counts: Vec<(u32, usize)> = fleet
        .services
        .iter()
        .map(|s| (s.number, s.targets.len()))
        .collect();
    let observations = fleet.observations(tallies).await;
    let mut rng = StdRng::seed_from_u64(config.seed);
    let random = [0, 1].map(|kind| {
        simulated_imbalance(&observations, &counts, kind, &mut |n| {
            rng.random_range(0..n)
        })
    });
    let hashed =
        [0, 1].map(|kind| simulated_imbalance(&observations, &counts, kind, &mut hash_mod));
    Ok(Report {
        figures: vec![
            (
                "flow_max_over_mean",
                measured_imbalance(&observations, &counts, |r| r.flows_opened),
            ),
            (
                "slot_max_over_mean",
                measured_imbalance(&observations, &counts, |r| r.slot_ms),
            ),
        ],
        baselines: vec![
            ("flow_random", random[0]),
            ("slot_random", random[1]),
            ("flow_hash_mod", hashed[0]),
            ("slot_hash_mod", hashed[1]),
        ],
        breaches: observations.breaches(),
        ..Report::default()
    })
}

fn measured_imbalance(
    observations: &RunObservations,
    counts: &[(u32, usize)],
    value: impl Fn(&tanager_standins::target::Record) -> u64,
) -> f64 {
    let imbalance_of = |service| {
        let records = observations
            .records
            .iter()
            .filter(move |(s, _)| *s == service);
        max_over_mean(&records.map(|(_, r)| value(r)).collect::<Vec<_>>())
    };
    counts
        .iter()
        .map(|(service, _)| imbalance_of(*service))
        .fold(0.0, f64::max)
}

/// Returns the imbalance when `choose` places the flows (kind 0) or requests (kind 1) of the run,
/// all of equal length.
fn simulated_imbalance(
    observations: &RunObservations,
    counts: &[(u32, usize)],
    kind: usize,
    choose: &mut dyn FnMut(usize) -> usize,
) -> f64 {
    let mut worst = 0.0_f64;
    for (service, targets) in counts {
        let records = observations.records.iter().filter(|(s, _)| s == service);
        let items: u64 = records
            .map(|(_, r)| [r.flows_opened, r.requests][kind])
            .sum();
        let mut loads = vec![0; *targets];
        for _ in 0..items {
            loads[choose(*targets)] += 1;
        }
        worst = worst.max(max_over_mean(&loads));
    }
    worst
}

fn hash_mod(targets: usize) -> usize {
    let id = RequestId::random();
    let bytes = id.as_bytes().iter();
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3)
    });
    usize::try_from(hash % targets as u64).unwrap_or(0)
}

fn max_over_mean(loads: &[u64]) -> f64 {
    let sum: u64 = loads.iter().sum();
    if sum == 0 {
        return 0.0;
    }
    let max = loads.iter().copied().max().unwrap_or(0);
    figure(max * loads.len() as u64) / figure(sum)
}

pub async fn control(config: &ExperimentConfig) -> io::Result<Report> {
    let mut fleet = Fleet::start(
        config.instances,
        services(),
        with_slow_requests,
        config.seed,
    )
    .await?;
    sleep(SETTLE_TIME).await;
    let begin = sample(&fleet).await?;
    let time = Duration::from_secs(config.seconds);
    sleep(time).await;
    let end = sample(&fleet).await?;
    // If no control traffic was counted, the figure is unknown rather than 0.
    let bytes = if end["bytes"] > 0.0 {
        end["bytes"] - begin["bytes"]
    } else {
        f64::NAN
    };
    let instance_seconds = figure(config.instances as u64) * time.as_secs_f64();
    let breaches = fleet.observations(Vec::new()).await.breaches();
    Ok(Report {
        figures: vec![
            ("control_bytes_per_s", bytes / instance_seconds),
            (
                "control_core_percent",
                (end["cpu_s"] - begin["cpu_s"]) / instance_seconds * 100.0,
            ),
            (
                "memory_mb",
                end["memory_mb"] / figure(config.instances as u64),
            ),
            (
                "platform_calls_per_s",
                (end["calls"] - begin["calls"]) / instance_seconds,
            ),
        ],
        breaches,
        ..Report::default()
    })
}

/// Reads the platform calls, control bytes, processor time and memory, summed over all instances.
pub async fn sample(fleet: &Fleet) -> io::Result<FastMap<&'static str, f64>> {
    let mut sums: FastMap<&'static str, f64> = FastMap::default();
    sums.insert("calls", figure(fleet.platform.calls()));
    for (index, balancer) in fleet.balancers.iter().enumerate() {
        let status = fleet.status(index).await;
        // Without the counters of one instance the difference of two samples would be wrong.
        let status = status
            .ok_or_else(|| io::Error::other("the status page of an instance cannot be read"))?;
        for counter in ["control_sent_bytes", "control_received_bytes"] {
            *sums.entry("bytes").or_default() +=
                status["counters"][counter].as_f64().unwrap_or(0.0);
        }
        *sums.entry("cpu_s").or_default() += cpu_seconds(balancer.pid()).unwrap_or(0.0);
        *sums.entry("memory_mb").or_default() +=
            resident_bytes(balancer.pid()).unwrap_or(0.0) / 1e6;
    }
    Ok(sums)
}
