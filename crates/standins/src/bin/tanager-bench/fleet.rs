//! Real balancer processes with platform, targets and fabric inside the tool, which so knows
//! what really happened.

use std::io;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;
use tanager_standins::fleet::{Backend, ZONES};
use tanager_standins::load::Tally;
use tanager_standins::settings::{Instance, Service, TargetEntry, instance_list};
use tanager_standins::target::{Options, Record, Target};
use tanager_standins::verdict::RunObservations;
use tokio::time::{Instant, sleep};

use crate::balancer::{Balancer, free_address};

/// Longest wait for a balancer to connect to its targets.
const START_LIMIT: Duration = Duration::from_secs(10);

/// A drained target is removed when its feeds have moved, but not before this time.
const DRAIN_TIME: Duration = Duration::from_secs(6);

/// The fleet of one experiment.
pub struct Fleet {
    backend: Backend,
    pub balancers: Vec<Balancer>,
    /// Balancers that are stopping gracefully.
    stopping: Vec<Balancer>,
    adapt: fn(Options) -> Options,
    /// Drained targets, with the time of the drain.
    pub leaving: Vec<(u32, Instant)>,
    killed: Vec<(u32, Record)>,
    violations: u64,
    dir: PathBuf,
    next_balancer: usize,
    pub instances_revision: u64,
    http: reqwest::Client,
}

impl Deref for Fleet {
    type Target = Backend;

    fn deref(&self) -> &Backend {
        &self.backend
    }
}

impl DerefMut for Fleet {
    fn deref_mut(&mut self) -> &mut Backend {
        &mut self.backend
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.balancers.clear();
        self.stopping.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Fleet {
    pub async fn start(
        balancers: usize,
        services: Vec<(Service, usize)>,
        adapt: fn(Options) -> Options,
        seed: u64,
    ) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("tanager-bench-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let http = reqwest::Client::builder().timeout(Duration::from_secs(1));
        let mut fleet = Self {
            backend: Backend::start(services, seed, adapt).await?,
            balancers: Vec::new(),
            stopping: Vec::new(),
            adapt,
            leaving: Vec::new(),
            killed: Vec::new(),
            violations: 0,
            dir,
            next_balancer: 0,
            instances_revision: 0,
            http: http.build().map_err(io::Error::other)?,
        };
        for i in 0..balancers {
            fleet.spawn_balancer(ZONES[i % ZONES.len()])?;
        }
        fleet.publish_instances();
        for i in 0..balancers {
            fleet.wait_connected(i).await?;
        }
        fleet.spray();
        Ok(fleet)
    }

    fn spawn_balancer(&mut self, zone: &str) -> io::Result<()> {
        self.next_balancer += 1;
        let instance = Instance {
            name: format!("balancer-{}", self.next_balancer),
            zone: zone.to_owned(),
            callers: free_address()?,
            peers: free_address()?,
            status: free_address()?,
            state: "live",
        };
        let seeds: Vec<SocketAddr> = self
            .balancers
            .iter()
            .rev()
            .take(4)
            .map(|b| b.instance.peers)
            .collect();
        let settings = instance.settings(self.platform.address(), &seeds, "warning");
        self.balancers
            .push(Balancer::spawn(instance, &settings, &self.dir)?);
        Ok(())
    }

    /// Starts one more balancer, lists it and lets the fabric use it, connected or not: under
    /// faults a target may be down for as long as the catalogue lists it.
    pub async fn add_balancer(&mut self, zone: &str) -> io::Result<()> {
        self.spawn_balancer(zone)?;
        self.publish_instances();
        let _ = self.wait_connected(self.balancers.len() - 1).await;
        self.spray();
        Ok(())
    }

    /// Replaces the balancer at `index` as planned: the new one serves before the old one leaves.
    pub async fn replace_balancer(&mut self, index: usize) -> io::Result<()> {
        let zone = self.balancers[index].instance.zone.clone();
        self.add_balancer(&zone).await?;
        self.stop_balancer(index).await;
        Ok(())
    }

    /// Stops the balancer at `index` gracefully. The fabric learns of it after the instance left.
    pub async fn stop_balancer(&mut self, index: usize) {
        self.balancers[index].instance.state = "leaving";
        self.publish_instances();
        self.balancers[index].signal("TERM");
        sleep(Duration::from_millis(500)).await;
        self.count_violations().await;
        self.stopping.push(self.balancers.remove(index));
        self.spray();
    }

    /// Sends a signal to the balancer of this process id, if it has not been killed.
    pub fn signal(&self, pid: u32, name: &str) {
        let mut all = self.balancers.iter().chain(&self.stopping);
        if let Some(balancer) = all.find(|b| b.pid() == pid) {
            balancer.signal(name);
        }
    }

    /// Waits until every balancer that was told to stop has ended.
    pub async fn settle(&mut self) -> io::Result<()> {
        for balancer in &mut self.stopping {
            balancer.wait().await?;
        }
        self.publish_instances();
        Ok(())
    }

    /// Kills the balancer at `index`. The fabric and the instance list lag by 1 s.
    pub async fn kill_balancer(&mut self, index: usize) {
        self.count_violations().await;
        drop(self.balancers.remove(index));
        sleep(Duration::from_secs(1)).await;
        self.spray();
        self.publish_instances();
    }

    /// Starts a target like the first ones, changed by `change`; the catalogue is not published.
    pub async fn start_target(
        &mut self,
        service: usize,
        zone: &str,
        change: fn(Options) -> Options,
    ) -> io::Result<()> {
        let adapt = self.adapt;
        let adapt = |options| change(adapt(options));
        self.backend.add_target(service, zone, adapt).await
    }

    /// Starts a target like the first ones and publishes the catalogue.
    pub async fn replace_target(&mut self, service: usize, zone: &str) -> io::Result<()> {
        self.start_target(service, zone, |options| options).await?;
        self.publish_services();
        Ok(())
    }

    /// Drains the target at `index`, starts a replacement in its zone and publishes both.
    pub async fn drain_target(&mut self, index: usize) -> io::Result<()> {
        let (service, number) = (self.targets[index].0, self.targets[index].1.number());
        self.leave_target(number);
        let zone = self.entry(number).map(|t| t.zone.clone());
        self.replace_target(service, &zone.unwrap_or_default())
            .await
    }

    /// Drains a target without a replacement; the catalogue is not published.
    pub fn leave_target(&mut self, number: u32) {
        if let Some(target) = self.target(number) {
            target.drain();
            self.leaving.push((number, Instant::now()));
        }
        if let Some(entry) = self.entry(number) {
            entry.state = "leaving";
        }
    }

    /// Removes the drained targets whose feeds have moved.
    pub fn remove_drained(&mut self) {
        let leaving = std::mem::take(&mut self.leaving);
        for (number, since) in leaving {
            let idle = self.target(number).is_none_or(|t| t.open_feeds() == 0);
            if idle && since.elapsed() > DRAIN_TIME {
                self.remove_target(number);
            } else {
                self.leaving.push((number, since));
            }
        }
    }

    /// Returns the catalogue entry of a target.
    pub fn entry(&mut self, number: u32) -> Option<&mut TargetEntry> {
        let entries = self.services.iter_mut().flat_map(|s| &mut s.targets);
        entries.into_iter().find(|t| t.number == number)
    }

    /// Returns the target of this number.
    pub fn target(&self, number: u32) -> Option<&Target> {
        let mut targets = self.targets.iter().map(|(_, t)| t);
        targets.find(|t| t.number() == number)
    }

    /// Kills the target of this number. The catalogue keeps it.
    pub fn kill_target(&mut self, number: u32) {
        if let Some(index) = self.targets.iter().position(|(_, t)| t.number() == number) {
            let (service, target) = self.targets.remove(index);
            let service = self.services[service].number;
            self.killed.push((service, target.kill()));
        }
    }

    /// Starts another incarnation at the address of a killed target. The catalogue keeps the old.
    pub async fn reuse_address(&mut self, number: u32) -> io::Result<()> {
        let Some(entry) = self.entry(number).cloned() else {
            return Ok(());
        };
        let index = self
            .services
            .iter()
            .position(|s| s.targets.iter().any(|t| t.number == number));
        let index = index.unwrap_or(0);
        let options = (self.adapt)(Options {
            incarnation: entry.incarnation + 1,
            ..Options::new(entry.address, self.services[index].number, number)
        });
        // The killed target's socket closes with its task, a moment after the kill.
        for _ in 0..50 {
            if let Ok(target) = Target::start(options.clone()).await {
                self.targets.push((index, target));
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(io::Error::other("the address stays in use"))
    }

    /// Kills the target of this number and removes it from the catalogue.
    pub fn remove_target(&mut self, number: u32) {
        self.kill_target(number);
        for service in &mut self.services {
            service.targets.retain(|t| t.number != number);
        }
        self.publish_services();
    }

    pub fn publish_instances(&mut self) {
        let text = self.next_instances();
        self.platform.publish_instances(&text);
    }

    /// Returns the instance list under the next revision.
    pub fn next_instances(&mut self) -> String {
        self.instances_revision += 1;
        self.stopping.retain_mut(|b| !b.is_ended());
        let listed = self.balancers.iter().chain(&self.stopping);
        let instances: Vec<Instance> = listed.map(|b| b.instance.clone()).collect();
        instance_list(self.instances_revision, &instances)
    }

    /// Makes the fabric use all balancers.
    pub fn spray(&self) {
        self.fabric
            .set_balancers(self.balancers.iter().map(|b| b.instance.callers).collect());
    }

    /// Reads the status page of the balancer at `index`.
    pub async fn status(&self, index: usize) -> Option<Value> {
        let url = format!("http://{}/status", self.balancers[index].instance.status);
        let text = self.http.get(url).send().await.ok()?.text().await.ok()?;
        serde_json::from_str(&text).ok()
    }

    async fn wait_connected(&self, index: usize) -> io::Result<()> {
        let end = Instant::now() + START_LIMIT;
        while Instant::now() < end {
            if let Some(status) = self.status(index).await
                && let Some(targets) = status["targets"].as_array()
                && !targets.is_empty()
                && targets
                    .iter()
                    .all(|t| t["ready"] == true || t["leaving"] == true)
            {
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err(io::Error::other(
            "a balancer does not connect to its targets",
        ))
    }

    /// Adds up the violated invariants before processes end. A process that answers twice is
    /// counted twice, which does not matter: any number above 0 is a breach.
    pub async fn count_violations(&mut self) {
        for index in 0..self.balancers.len() {
            let status = self.status(index).await.unwrap_or_default();
            self.violations += status["invariant_violations"].as_u64().unwrap_or(0);
        }
    }

    /// Returns the names of balancers that ended by themselves.
    pub fn crashed(&mut self) -> Vec<String> {
        let balancers = self.balancers.iter_mut();
        let crashed = balancers.filter_map(|b| b.is_ended().then(|| b.instance.name.clone()));
        crashed.collect()
    }

    /// Returns everything known about the run.
    pub async fn truth(&mut self, tallies: Vec<Tally>) -> RunObservations {
        self.count_violations().await;
        let running = self.targets.iter();
        let running = running.map(|(s, t)| (self.services[*s].number, t.record()));
        RunObservations {
            tallies,
            records: running.chain(self.killed.iter().cloned()).collect(),
            invariant_violations: self.violations,
        }
    }
}
