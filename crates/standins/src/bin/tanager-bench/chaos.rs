//! Injects all faults in random order, alone and two at a time.

use std::io;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use rand::{RngExt as _, SeedableRng as _};
use tanager_standins::caller::FeedBreak;
use tanager_standins::fabric::Faults;
use tanager_standins::fleet::ZONES;
use tanager_standins::load::{Tally, Workload, generate_load};
use tanager_standins::platform;
use tanager_standins::settings::catalogue;
use tanager_standins::target::Options;
use tanager_standins::verdict::RunObservations;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::ExperimentConfig;
use crate::fault::{FAULTS, Fault};
use crate::faults::{
    MAX_DELAY, check_run, figure, load_fraction, ordinary_load, start, start_load,
    wait_for_late_datagrams,
};
use crate::fleet::Fleet;
use crate::performance::{flood_workload, limit_to_capacity};
use crate::report::Report;

/// Time after a fault that loses feeds, such as the kill of a target, within which the affected
/// feeds may break: a caller detects a lost feed after at most 6 s without a datagram.
const EXPECTED_BREAK_WINDOW: Duration = Duration::from_secs(10);
/// Time during which a newly started target is slow.
const COLD_START: Duration = Duration::from_secs(5);
/// Duration of a flood.
const FLOOD_TIME: Duration = Duration::from_secs(2);
/// Fewest and most balancers in the fleet.
const BALANCER_COUNT: std::ops::RangeInclusive<usize> = 6..=10;

/// An injected fault, with what is needed to clear it.
enum ActiveFault {
    Nothing,
    /// Zone of the killed balancer, in which a new one is started.
    Zone(String),
    /// Id of the frozen process.
    Process(u32),
    /// Index of the target's service, and number of the target.
    Target(usize, u32),
    Flood(JoinHandle<io::Result<Vec<Tally>>>),
}

/// A fault after which feeds may break, at one target or, without one, at all targets.
struct ExpectedBreak {
    target: Option<u32>,
    at: Instant,
}

/// The random schedule of faults and its effects.
pub struct Chaos {
    pub rng: StdRng,
    remaining: Vec<usize>,
    counts: [u64; FAULTS.len()],
    expected_breaks: Vec<ExpectedBreak>,
    floods: Vec<Tally>,
}

impl Chaos {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            remaining: Vec::new(),
            counts: [0; FAULTS.len()],
            expected_breaks: Vec::new(),
            floods: Vec::new(),
        }
    }

    /// Returns the next fault of a random order of all faults, so that each is injected equally
    /// often.
    fn next_fault(&mut self) -> Fault {
        if self.remaining.is_empty() {
            self.remaining = (0..FAULTS.len()).collect();
            self.remaining.shuffle(&mut self.rng);
        }
        let index = self.remaining.pop().unwrap_or(0);
        self.counts[index] += 1;
        FAULTS[index].0
    }

    /// Injects some faults at the same time and clears them in reverse order.
    pub async fn run(&mut self, fleet: &mut Fleet, faults: &[Fault]) -> io::Result<()> {
        let mut active = Vec::new();
        for fault in faults {
            active.push((*fault, self.inject(*fault, fleet).await?));
        }
        sleep(Duration::from_millis(self.rng.random_range(500..4_000))).await;
        while let Some((fault, active)) = active.pop() {
            self.clear(fault, active, fleet).await?;
        }
        fleet.remove_drained();
        Ok(())
    }

    async fn inject(&mut self, fault: Fault, fleet: &mut Fleet) -> io::Result<ActiveFault> {
        let index = self.rng.random_range(0..fleet.balancers.len());
        Ok(match fault {
            Fault::KillBalancer => {
                let zone = fleet.balancers[index].instance.zone.clone();
                fleet.kill_balancer(index).await;
                ActiveFault::Zone(zone)
            }
            Fault::StopBalancer if fleet.balancers.len() <= *BALANCER_COUNT.start() => {
                fleet.replace_balancer(index).await?;
                ActiveFault::Nothing
            }
            Fault::StopBalancer => {
                fleet.stop_balancer(index).await;
                ActiveFault::Nothing
            }
            Fault::FreezeBalancer => {
                let pid = fleet.balancers[index].pid();
                fleet.signal(pid, "STOP");
                ActiveFault::Process(pid)
            }
            Fault::AddBalancer => {
                if fleet.balancers.len() >= *BALANCER_COUNT.end() {
                    fleet.stop_balancer(index).await;
                }
                fleet.add_balancer(self.random_zone()).await?;
                ActiveFault::Nothing
            }
            Fault::FloodBackground => start_flood(fleet, flood_workload(2, 4, true)),
            Fault::FloodNormal => start_flood(fleet, flood_workload(4, 4, true)),
            Fault::FloodUrgent => start_flood(fleet, flood_workload(1, 14, false)),
            _ => self.inject_at_target(fault, fleet).await?,
        })
    }

    async fn inject_at_target(
        &mut self,
        fault: Fault,
        fleet: &mut Fleet,
    ) -> io::Result<ActiveFault> {
        let index = self.random_active_target(fleet)?;
        let (service, number) = (fleet.targets[index].0, fleet.targets[index].1.number());
        match fault {
            Fault::KillTarget => {
                self.expect_breaks(Some(number));
                fleet.kill_target(number);
            }
            Fault::ReusedAddress => {
                self.expect_breaks(Some(number));
                fleet.kill_target(number);
                fleet.reuse_address(number).await?;
            }
            Fault::DrainTarget => fleet.drain_target(index).await?,
            Fault::ColdTarget => {
                let zone = self.random_zone();
                let cold = |options| Options {
                    cold_start: COLD_START,
                    ..options
                };
                fleet.start_target(service, zone, cold).await?;
                fleet.publish_services();
                let newest = fleet.targets.last().map_or(number, |(_, t)| t.number());
                return Ok(ActiveFault::Target(service, newest));
            }
            Fault::LyingTarget => fleet.targets[index].1.set_misleading(true),
            Fault::SheddingTarget => fleet.targets[index].1.set_shedding(true),
            Fault::ForgetFeeds => {
                self.expect_breaks(Some(number));
                fleet.targets[index].1.discard_feeds();
            }
            _ => self.inject_in_environment(fault, fleet),
        }
        Ok(ActiveFault::Target(service, number))
    }

    fn inject_in_environment(&mut self, fault: Fault, fleet: &mut Fleet) {
        match fault {
            Fault::PlatformDown => fleet.platform.set_fault(platform::Fault::Down),
            Fault::PlatformStale => fleet.platform.set_fault(platform::Fault::Stale),
            Fault::InvalidCatalogue => {
                fleet.revision += 1;
                let text = catalogue(fleet.revision, &fleet.services);
                let text = text.replace("owner: abay", "owner: nobody");
                fleet.platform.publish_catalogue(&text);
            }
            Fault::CutZone => fleet.platform.block_zones([self.random_zone().to_owned()]),
            Fault::Loss => fleet.fabric.update_faults(|f| f.loss = 0.05),
            Fault::Duplicates => fleet.fabric.update_faults(|f| f.duplicates = 0.1),
            Fault::LateDatagrams => fleet.fabric.update_faults(|f| {
                (f.delayed, f.delay) = (0.1, MAX_DELAY);
            }),
            Fault::HalfFabric => {
                let half = fleet.balancers.len().div_ceil(2);
                let half = fleet.balancers.iter().take(half);
                let half = half.map(|b| b.instance.callers).collect();
                fleet.fabric.set_balancers(half);
            }
            Fault::ForgetCallers => {
                self.expect_breaks(None);
                fleet.fabric.discard_caller_mappings();
            }
            _ => {}
        }
    }

    async fn clear(
        &mut self,
        fault: Fault,
        active: ActiveFault,
        fleet: &mut Fleet,
    ) -> io::Result<()> {
        match (fault, active) {
            (_, ActiveFault::Zone(zone)) => fleet.add_balancer(&zone).await?,
            (_, ActiveFault::Process(pid)) => fleet.signal(pid, "CONT"),
            (_, ActiveFault::Flood(load)) => self.floods.extend(load.await??),
            (Fault::KillTarget, ActiveFault::Target(service, number)) => {
                fleet.remove_target(number);
                fleet.replace_target(service, self.random_zone()).await?;
            }
            (Fault::ReusedAddress, ActiveFault::Target(_, number)) => {
                if let Some(entry) = fleet.entry(number) {
                    entry.incarnation += 1;
                }
                fleet.publish_services();
            }
            (Fault::ColdTarget, ActiveFault::Target(_, number)) => {
                fleet.mark_target_leaving(number);
                fleet.publish_services();
            }
            (_, ActiveFault::Target(_, number)) => {
                if let Some(target) = fleet.target(number) {
                    target.set_misleading(false);
                    target.set_shedding(false);
                }
                clear_in_environment(fault, fleet);
            }
            (_, ActiveFault::Nothing) => {}
        }
        Ok(())
    }

    fn random_zone(&mut self) -> &'static str {
        ZONES.choose(&mut self.rng).copied().unwrap_or(ZONES[0])
    }

    fn random_active_target(&mut self, fleet: &Fleet) -> io::Result<usize> {
        let entries = fleet.services.iter().flat_map(|s| &s.targets);
        let active: Vec<u32> = entries
            .filter(|t| t.state == "active")
            .map(|t| t.number)
            .collect();
        let running = 0..fleet.targets.len();
        let indexes: Vec<usize> = running
            .filter(|i| active.contains(&fleet.targets[*i].1.number()))
            .collect();
        let chosen = indexes.choose(&mut self.rng).copied();
        chosen.ok_or_else(|| io::Error::other("no target is active"))
    }

    fn expect_breaks(&mut self, target: Option<u32>) {
        let at = Instant::now();
        self.expected_breaks.push(ExpectedBreak { target, at });
    }

    /// Reports each feed that broke without an expected cause, and returns the figures.
    fn check_feeds(
        &self,
        observations: &RunObservations,
        begin: Instant,
        breaches: &mut Vec<String>,
    ) -> Vec<(&'static str, f64)> {
        let breaks = observations.tallies.iter().flat_map(|t| &t.breaks);
        let (expected, other): (Vec<&FeedBreak>, Vec<&FeedBreak>) =
            breaks.partition(|b| self.is_expected(b));
        for broken in &other {
            let (target, code) = (broken.target, broken.code);
            let at = broken.at.duration_since(begin).as_secs_f64();
            breaches.push(format!(
                "a feed at target {target} broke after {at:.1} s with {code:?}"
            ));
        }
        // A feed that never opened counts as broken, but has no `FeedBreak` record.
        let unexpected = observations.sum_tallies(|t| t.feeds_broken) - expected.len() as u64;
        if unexpected > other.len() as u64 {
            breaches.push("a feed never opened".to_owned());
        }
        vec![
            ("faults", figure(self.counts.iter().sum())),
            (
                "feeds_opened",
                figure(observations.sum_tallies(|t| t.feeds_opened)),
            ),
            ("feeds_broken", figure(unexpected)),
            ("feeds_broken_excused", figure(expected.len() as u64)),
        ]
    }

    fn is_expected(&self, broken: &FeedBreak) -> bool {
        self.expected_breaks.iter().any(|expected| {
            expected.target.is_none_or(|t| t == broken.target)
                && (expected.at..expected.at + EXPECTED_BREAK_WINDOW).contains(&broken.at)
        })
    }
}

fn start_flood(fleet: &Fleet, workload: Workload) -> ActiveFault {
    let address = fleet.fabric.address();
    ActiveFault::Flood(tokio::spawn(async move {
        generate_load(address, &[workload], FLOOD_TIME).await
    }))
}

fn clear_in_environment(fault: Fault, fleet: &mut Fleet) {
    let healthy = Faults::default();
    match fault {
        Fault::PlatformDown | Fault::PlatformStale => {
            fleet.platform.set_fault(platform::Fault::None);
        }
        Fault::InvalidCatalogue => fleet.publish_services(),
        Fault::CutZone => fleet.platform.block_zones([]),
        Fault::Loss => fleet.fabric.update_faults(|f| f.loss = healthy.loss),
        Fault::Duplicates => {
            fleet
                .fabric
                .update_faults(|f| f.duplicates = healthy.duplicates);
        }
        Fault::LateDatagrams => fleet.fabric.update_faults(|f| f.delayed = healthy.delayed),
        Fault::HalfFabric => fleet.route_to_all_balancers(),
        _ => {}
    }
}

pub async fn chaos(config: &ExperimentConfig) -> io::Result<Report> {
    let mut fleet = start(config).await?;
    limit_to_capacity(&mut fleet);
    let mut chaos = Chaos::new(config.seed);
    let load = start_load(&fleet, config, ordinary_load(50, 0.3));
    let begin = Instant::now();
    let mut pair = false;
    while begin.elapsed() < load_fraction(config, 0.9) {
        let mut faults = vec![chaos.next_fault()];
        if pair {
            faults.push(chaos.next_fault());
        }
        pair = !pair;
        chaos.run(&mut fleet, &faults).await?;
        fleet.count_violations().await;
        sleep(Duration::from_millis(chaos.rng.random_range(200..1_000))).await;
    }
    let mut tallies = load.await??;
    wait_for_late_datagrams().await;
    fleet.wait_until_stopped().await?;
    tallies.append(&mut chaos.floods);
    let mut report = Report::default();
    let observations = check_run(&mut fleet, tallies, &mut report).await;
    report.figures = chaos.check_feeds(&observations, begin, &mut report.breaches);
    let counts = FAULTS.iter().zip(chaos.counts);
    report.faults = counts.map(|((_, name), n)| (*name, figure(n))).collect();
    Ok(report)
}
