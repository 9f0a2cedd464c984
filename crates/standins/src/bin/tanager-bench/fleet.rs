//! A fleet of real balancer processes. The platform, the targets and the fabric run inside the
//! tool, so that it can compare what callers were told with what targets did.

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

/// Longest wait for a balancer to connect to all its targets.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Shortest time between the drain of a target and its removal, which also waits for its feeds to
/// move.
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
        fleet.route_to_all_balancers();
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

    /// Starts one more balancer, publishes it in the instance list and adds it to the fabric, even
    /// if it is not connected to all targets: under faults a listed target may be down.
    pub async fn add_balancer(&mut self, zone: &str) -> io::Result<()> {
        self.spawn_balancer(zone)?;
        self.publish_instances();
        let _ = self.wait_connected(self.balancers.len() - 1).await;
        self.route_to_all_balancers();
        Ok(())
    }

    /// Replaces the balancer at `index`: the new one serves before the old one leaves.
    pub async fn replace_balancer(&mut self, index: usize) -> io::Result<()> {
        let zone = self.balancers[index].instance.zone.clone();
        self.add_balancer(&zone).await?;
        self.stop_balancer(index).await;
        Ok(())
    }

    /// Stops the balancer at `index` gracefully. The fabric is updated only after the instance has
    /// announced that it leaves.
    pub async fn stop_balancer(&mut self, index: usize) {
        self.balancers[index].instance.state = "leaving";
        self.publish_instances();
        self.balancers[index].signal("TERM");
        sleep(Duration::from_millis(500)).await;
        self.count_violations().await;
        self.stopping.push(self.balancers.remove(index));
        self.route_to_all_balancers();
    }

    /// Sends a signal to the balancer with this process id, unless it has been killed.
    pub fn signal(&self, pid: u32, name: &str) {
        let mut all = self.balancers.iter().chain(&self.stopping);
        if let Some(balancer) = all.find(|b| b.pid() == pid) {
            balancer.signal(name);
        }
    }

    /// Waits until every balancer that is stopping gracefully has exited, and publishes the instance
    /// list without them.
    pub async fn wait_until_stopped(&mut self) -> io::Result<()> {
        for balancer in &mut self.stopping {
            balancer.wait().await?;
        }
        self.publish_instances();
        Ok(())
    }

    /// Kills the balancer at `index`. The fabric and the instance list are updated 1 s later.
    pub async fn kill_balancer(&mut self, index: usize) {
        self.count_violations().await;
        drop(self.balancers.remove(index));
        sleep(Duration::from_secs(1)).await;
        self.route_to_all_balancers();
        self.publish_instances();
    }

    /// Starts a target with the options of the first ones, adapted by `change`. The catalogue is not
    /// published.
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

    /// Starts a target with the options of the first ones and publishes the catalogue.
    pub async fn replace_target(&mut self, service: usize, zone: &str) -> io::Result<()> {
        self.start_target(service, zone, |options| options).await?;
        self.publish_services();
        Ok(())
    }

    /// Drains the target at `index`, starts a replacement in its zone and publishes both.
    pub async fn drain_target(&mut self, index: usize) -> io::Result<()> {
        let (service, number) = (self.targets[index].0, self.targets[index].1.number());
        self.mark_target_leaving(number);
        let zone = self.entry(number).map(|t| t.zone.clone());
        self.replace_target(service, &zone.unwrap_or_default())
            .await
    }

    /// Drains a target without a replacement; the catalogue is not published.
    pub fn mark_target_leaving(&mut self, number: u32) {
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

    /// Returns the catalogue entry of the target with this number.
    pub fn entry(&mut self, number: u32) -> Option<&mut TargetEntry> {
        let entries = self.services.iter_mut().flat_map(|s| &mut s.targets);
        entries.into_iter().find(|t| t.number == number)
    }

    /// Returns the running target with this number.
    pub fn target(&self, number: u32) -> Option<&Target> {
        let mut targets = self.targets.iter().map(|(_, t)| t);
        targets.find(|t| t.number() == number)
    }

    /// Kills the target with this number. Its entry stays in the catalogue.
    pub fn kill_target(&mut self, number: u32) {
        if let Some(index) = self.targets.iter().position(|(_, t)| t.number() == number) {
            let (service, target) = self.targets.remove(index);
            let service = self.services[service].number;
            self.killed.push((service, target.kill()));
        }
    }

    /// Starts another incarnation at the address of a killed target. The catalogue keeps the entry
    /// of the former one.
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
        // The killed target's socket is closed when its task is dropped, shortly after the kill.
        for _ in 0..50 {
            if let Ok(target) = Target::start(options.clone()).await {
                self.targets.push((index, target));
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(io::Error::other(
            "the address of the killed target is still in use after 1 s",
        ))
    }

    /// Kills the target with this number and removes it from the catalogue.
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
        self.stopping.retain_mut(|b| !b.has_exited());
        let listed = self.balancers.iter().chain(&self.stopping);
        let instances: Vec<Instance> = listed.map(|b| b.instance.clone()).collect();
        instance_list(self.instances_revision, &instances)
    }

    /// Makes the fabric deliver datagrams to all balancers.
    pub fn route_to_all_balancers(&self) {
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
        let end = Instant::now() + CONNECT_TIMEOUT;
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
            "a balancer did not connect to its targets within 10 s",
        ))
    }

    /// Adds the violated invariants that each running balancer reports. A balancer that is read
    /// twice is counted twice, which does no harm: any number above 0 is a breach.
    pub async fn count_violations(&mut self) {
        for index in 0..self.balancers.len() {
            let status = self.status(index).await.unwrap_or_default();
            self.violations += status["invariant_violations"].as_u64().unwrap_or(0);
        }
    }

    /// Returns the names of balancers that exited without being stopped.
    pub fn crashed(&mut self) -> Vec<String> {
        let balancers = self.balancers.iter_mut();
        let crashed = balancers.filter_map(|b| b.has_exited().then(|| b.instance.name.clone()));
        crashed.collect()
    }

    /// Returns everything known about the run.
    pub async fn observations(&mut self, tallies: Vec<Tally>) -> RunObservations {
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
