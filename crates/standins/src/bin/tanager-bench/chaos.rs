//! All faults at random, alone and two at a time.

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

use crate::Plan;
use crate::faults::{LATE, after, figure, judge, load, mixes, settle_late, start};
use crate::fleet::Fleet;
use crate::quiet::{flood_mix, limit_to_capacity};
use crate::report::Report;

/// A feed may break for this long after its target was killed or the fabric forgot its caller:
/// the caller notices after 6 s of silence at the latest.
const EXCUSED_FOR: Duration = Duration::from_secs(10);
/// Time during which a new target is slow.
const COLD_START: Duration = Duration::from_secs(5);
/// Time of a flood.
const FLOOD_TIME: Duration = Duration::from_secs(2);
/// Balancers run between these numbers.
const BALANCERS: std::ops::RangeInclusive<usize> = 6..=10;

/// A fault that begins, lasts and is healed.
#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    KillBalancer,
    StopBalancer,
    FreezeBalancer,
    AddBalancer,
    KillTarget,
    DrainTarget,
    ColdTarget,
    LyingTarget,
    SheddingTarget,
    ReusedAddress,
    PlatformDown,
    PlatformStale,
    InvalidCatalogue,
    CutZone,
    Loss,
    Duplicates,
    LateDatagrams,
    HalfFabric,
    ForgetCallers,
    ForgetFeeds,
    FloodBackground,
    FloodNormal,
    FloodUrgent,
}

const ALL: [(Fault, &str); 23] = [
    (Fault::KillBalancer, "balancer_killed"),
    (Fault::StopBalancer, "balancer_stopped"),
    (Fault::FreezeBalancer, "balancer_frozen"),
    (Fault::AddBalancer, "balancer_added"),
    (Fault::KillTarget, "target_killed"),
    (Fault::DrainTarget, "target_drained"),
    (Fault::ColdTarget, "target_cold"),
    (Fault::LyingTarget, "target_lying"),
    (Fault::SheddingTarget, "target_shedding"),
    (Fault::ReusedAddress, "target_address_reused"),
    (Fault::PlatformDown, "platform_down"),
    (Fault::PlatformStale, "platform_stale"),
    (Fault::InvalidCatalogue, "catalogue_invalid"),
    (Fault::CutZone, "zone_cut_from_platform"),
    (Fault::Loss, "loss"),
    (Fault::Duplicates, "duplicates"),
    (Fault::LateDatagrams, "late_datagrams"),
    (Fault::HalfFabric, "fabric_uses_half"),
    (Fault::ForgetCallers, "fabric_forgets_callers"),
    (Fault::ForgetFeeds, "target_forgets_feeds"),
    (Fault::FloodBackground, "flood_background"),
    (Fault::FloodNormal, "flood_normal"),
    (Fault::FloodUrgent, "flood_urgent"),
];

/// What the end of a fault needs to know.
enum Active {
    Nothing,
    /// The zone that lacks a balancer.
    Zone(String),
    /// A frozen process.
    Process(u32),
    /// A target's service and number.
    Target(usize, u32),
    Flood(JoinHandle<io::Result<Vec<Tally>>>),
}

/// A reason for which feeds may break: at one target, or everywhere.
struct Excuse {
    target: Option<u32>,
    at: Instant,
}

/// The schedule and what it caused.
pub struct Chaos {
    pub rng: StdRng,
    deck: Vec<usize>,
    counts: [u64; ALL.len()],
    excuses: Vec<Excuse>,
    floods: Vec<Tally>,
}

impl Chaos {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            deck: Vec::new(),
            counts: [0; ALL.len()],
            excuses: Vec::new(),
            floods: Vec::new(),
        }
    }

    /// Draws from a shuffled deck of all faults, so that each one comes up equally often.
    fn draw(&mut self) -> Fault {
        if self.deck.is_empty() {
            self.deck = (0..ALL.len()).collect();
            self.deck.shuffle(&mut self.rng);
        }
        let index = self.deck.pop().unwrap_or(0);
        self.counts[index] += 1;
        ALL[index].0
    }

    /// Runs some faults at the same time and heals them in reverse order.
    pub async fn run(&mut self, fleet: &mut Fleet, faults: &[Fault]) -> io::Result<()> {
        let mut active = Vec::new();
        for fault in faults {
            active.push((*fault, self.begin(*fault, fleet).await?));
        }
        sleep(Duration::from_millis(self.rng.random_range(500..4_000))).await;
        while let Some((fault, active)) = active.pop() {
            self.end(fault, active, fleet).await?;
        }
        fleet.remove_drained();
        Ok(())
    }

    async fn begin(&mut self, fault: Fault, fleet: &mut Fleet) -> io::Result<Active> {
        let index = self.rng.random_range(0..fleet.balancers.len());
        Ok(match fault {
            Fault::KillBalancer => {
                let zone = fleet.balancers[index].instance.zone.clone();
                fleet.kill_balancer(index).await;
                Active::Zone(zone)
            }
            Fault::StopBalancer if fleet.balancers.len() <= *BALANCERS.start() => {
                fleet.replace_balancer(index).await?;
                Active::Nothing
            }
            Fault::StopBalancer => {
                fleet.stop_balancer(index).await;
                Active::Nothing
            }
            Fault::FreezeBalancer => {
                let pid = fleet.balancers[index].pid();
                fleet.signal(pid, "STOP");
                Active::Process(pid)
            }
            Fault::AddBalancer => {
                if fleet.balancers.len() >= *BALANCERS.end() {
                    fleet.stop_balancer(index).await;
                }
                fleet.add_balancer(self.zone()).await?;
                Active::Nothing
            }
            Fault::FloodBackground => flood(fleet, flood_mix(2, 4, true)),
            Fault::FloodNormal => flood(fleet, flood_mix(4, 4, true)),
            Fault::FloodUrgent => flood(fleet, flood_mix(1, 14, false)),
            _ => self.begin_at_target(fault, fleet).await?,
        })
    }

    async fn begin_at_target(&mut self, fault: Fault, fleet: &mut Fleet) -> io::Result<Active> {
        let index = self.active_target(fleet)?;
        let (service, number) = (fleet.targets[index].0, fleet.targets[index].1.number());
        match fault {
            Fault::KillTarget => {
                self.excuse(Some(number));
                fleet.kill_target(number);
            }
            Fault::ReusedAddress => {
                self.excuse(Some(number));
                fleet.kill_target(number);
                fleet.reuse_address(number).await?;
            }
            Fault::DrainTarget => fleet.drain_target(index).await?,
            Fault::ColdTarget => {
                let zone = self.zone();
                let cold = |options| Options {
                    cold_start: COLD_START,
                    ..options
                };
                fleet.start_target(service, zone, cold).await?;
                fleet.publish_services();
                let newest = fleet.targets.last().map_or(number, |(_, t)| t.number());
                return Ok(Active::Target(service, newest));
            }
            Fault::LyingTarget => fleet.targets[index].1.set_misleading(true),
            Fault::SheddingTarget => fleet.targets[index].1.set_shedding(true),
            Fault::ForgetFeeds => {
                self.excuse(Some(number));
                fleet.targets[index].1.discard_feeds();
            }
            _ => self.begin_outside(fault, fleet),
        }
        Ok(Active::Target(service, number))
    }

    fn begin_outside(&mut self, fault: Fault, fleet: &mut Fleet) {
        match fault {
            Fault::PlatformDown => fleet.platform.set_fault(platform::Fault::Down),
            Fault::PlatformStale => fleet.platform.set_fault(platform::Fault::Stale),
            Fault::InvalidCatalogue => {
                fleet.revision += 1;
                let text = catalogue(fleet.revision, &fleet.services);
                let text = text.replace("owner: abay", "owner: nobody");
                fleet.platform.publish_catalogue(&text);
            }
            Fault::CutZone => fleet.platform.block_zones([self.zone().to_owned()]),
            Fault::Loss => fleet.fabric.update_faults(|f| f.loss = 0.05),
            Fault::Duplicates => fleet.fabric.update_faults(|f| f.duplicates = 0.1),
            Fault::LateDatagrams => fleet.fabric.update_faults(|f| {
                (f.delayed, f.delay) = (0.1, LATE);
            }),
            Fault::HalfFabric => {
                let half = fleet.balancers.len().div_ceil(2);
                let half = fleet.balancers.iter().take(half);
                let half = half.map(|b| b.instance.callers).collect();
                fleet.fabric.set_balancers(half);
            }
            Fault::ForgetCallers => {
                self.excuse(None);
                fleet.fabric.discard_caller_mappings();
            }
            _ => {}
        }
    }

    async fn end(&mut self, fault: Fault, active: Active, fleet: &mut Fleet) -> io::Result<()> {
        match (fault, active) {
            (_, Active::Zone(zone)) => fleet.add_balancer(&zone).await?,
            (_, Active::Process(pid)) => fleet.signal(pid, "CONT"),
            (_, Active::Flood(load)) => self.floods.extend(load.await??),
            (Fault::KillTarget, Active::Target(service, number)) => {
                fleet.remove_target(number);
                fleet.replace_target(service, self.zone()).await?;
            }
            (Fault::ReusedAddress, Active::Target(_, number)) => {
                if let Some(entry) = fleet.entry(number) {
                    entry.incarnation += 1;
                }
                fleet.publish_services();
            }
            (Fault::ColdTarget, Active::Target(_, number)) => {
                fleet.leave_target(number);
                fleet.publish_services();
            }
            (_, Active::Target(_, number)) => {
                if let Some(target) = fleet.target(number) {
                    target.set_misleading(false);
                    target.set_shedding(false);
                }
                end_outside(fault, fleet);
            }
            (_, Active::Nothing) => {}
        }
        Ok(())
    }

    fn zone(&mut self) -> &'static str {
        ZONES.choose(&mut self.rng).copied().unwrap_or(ZONES[0])
    }

    fn active_target(&mut self, fleet: &Fleet) -> io::Result<usize> {
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

    fn excuse(&mut self, target: Option<u32>) {
        let at = Instant::now();
        self.excuses.push(Excuse { target, at });
    }

    /// Names every broken feed that no excuse covers, and returns the figures.
    fn judge_feeds(
        &self,
        truth: &RunObservations,
        begin: Instant,
        breaches: &mut Vec<String>,
    ) -> Vec<(&'static str, f64)> {
        let breaks = truth.tallies.iter().flat_map(|t| &t.breaks);
        let (excused, other): (Vec<&FeedBreak>, Vec<&FeedBreak>) =
            breaks.partition(|b| self.is_excused(b));
        for broken in &other {
            let (target, code) = (broken.target, broken.code);
            let at = broken.at.duration_since(begin).as_secs_f64();
            breaches.push(format!(
                "a feed at target {target} broke after {at:.1} s with {code:?}"
            ));
        }
        // A feed that never opened counts as broken, but has no break.
        let unexcused = truth.sum_tallies(|t| t.feeds_broken) - excused.len() as u64;
        if unexcused > other.len() as u64 {
            breaches.push("a feed never opened".to_owned());
        }
        vec![
            ("faults", figure(self.counts.iter().sum())),
            (
                "feeds_opened",
                figure(truth.sum_tallies(|t| t.feeds_opened)),
            ),
            ("feeds_broken", figure(unexcused)),
            ("feeds_broken_excused", figure(excused.len() as u64)),
        ]
    }

    fn is_excused(&self, broken: &FeedBreak) -> bool {
        self.excuses.iter().any(|excuse| {
            excuse.target.is_none_or(|t| t == broken.target)
                && (excuse.at..excuse.at + EXCUSED_FOR).contains(&broken.at)
        })
    }
}

fn flood(fleet: &Fleet, mix: Workload) -> Active {
    let address = fleet.fabric.address();
    Active::Flood(tokio::spawn(async move {
        generate_load(address, &[mix], FLOOD_TIME).await
    }))
}

fn end_outside(fault: Fault, fleet: &mut Fleet) {
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
        Fault::HalfFabric => fleet.spray(),
        _ => {}
    }
}

pub async fn chaos(plan: &Plan) -> io::Result<Report> {
    let mut fleet = start(plan).await?;
    limit_to_capacity(&mut fleet);
    let mut chaos = Chaos::new(plan.seed);
    let load = load(&fleet, plan, mixes(50, 0.3));
    let begin = Instant::now();
    let mut pair = false;
    while begin.elapsed() < after(plan, 0.9) {
        let mut faults = vec![chaos.draw()];
        if pair {
            faults.push(chaos.draw());
        }
        pair = !pair;
        chaos.run(&mut fleet, &faults).await?;
        fleet.count_violations().await;
        sleep(Duration::from_millis(chaos.rng.random_range(200..1_000))).await;
    }
    let mut tallies = load.await??;
    settle_late().await;
    fleet.settle().await?;
    tallies.append(&mut chaos.floods);
    let mut report = Report::default();
    let truth = judge(&mut fleet, tallies, &mut report).await;
    report.figures = chaos.judge_feeds(&truth, begin, &mut report.breaches);
    let counts = ALL.iter().zip(chaos.counts);
    report.faults = counts.map(|((_, name), n)| (*name, figure(n))).collect();
    Ok(report)
}
