//! Real balancer processes with platform, targets and fabric inside the tool, which so knows
//! what really happened.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use serde_json::Value;
use tanager_standins::fabric::Fabric;
use tanager_standins::fleet::{ZONES, any_port};
use tanager_standins::load::Tally;
use tanager_standins::platform::Platform;
use tanager_standins::settings::{Instance, Service, TargetEntry, catalogue, instance_list};
use tanager_standins::target::{Options, Record, Target};
use tanager_standins::verdict::Truth;
use tokio::time::{Instant, sleep};

/// Longest wait for a process to stop gracefully; a balancer finishes requests for up to 35 s.
const STOP_LIMIT: Duration = Duration::from_secs(45);
/// Longest wait for a balancer to connect to its targets.
const START_LIMIT: Duration = Duration::from_secs(10);

/// A balancer process. Dropping it kills the process.
pub struct Balancer {
    pub instance: Instance,
    child: Child,
}

impl Balancer {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    fn is_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Sends a signal to this process by its id.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args(["-s", name, &pid]).status();
    }

    /// Waits for the process to end after a graceful stop.
    pub async fn wait(&mut self) -> io::Result<()> {
        let end = Instant::now() + STOP_LIMIT;
        while !self.is_ended() {
            if Instant::now() > end {
                return Err(io::Error::other("a balancer does not stop"));
            }
            sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The fleet of one experiment.
pub struct Fleet {
    pub platform: Platform,
    pub fabric: Fabric,
    pub balancers: Vec<Balancer>,
    /// Balancers that are stopping gracefully.
    stopping: Vec<Balancer>,
    /// Requests a second that each owner may make, if not the default.
    pub owner_requests: Option<u32>,
    pub targets: Vec<(usize, u32, Target)>,
    pub services: Vec<Service>,
    adapt: fn(Options) -> Options,
    killed: Vec<(u32, Record)>,
    violations: u64,
    dir: PathBuf,
    next_balancer: usize,
    next_target: u32,
    /// Revisions of the published catalogue and instance list.
    pub revisions: (u64, u64),
    /// Least sizes of the published catalogue and instance list in bytes.
    pub padding: (usize, usize),
    http: reqwest::Client,
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
        let mut fleet = Self {
            platform: Platform::start(any_port()).await?,
            fabric: Fabric::start(any_port(), Vec::new(), seed).await?,
            balancers: Vec::new(),
            stopping: Vec::new(),
            owner_requests: None,
            targets: Vec::new(),
            services: Vec::new(),
            adapt,
            killed: Vec::new(),
            violations: 0,
            dir,
            next_balancer: 0,
            next_target: 1,
            revisions: (0, 0),
            padding: (0, 0),
            http: reqwest::Client::builder()
                .timeout(Duration::from_secs(1))
                .build()
                .map_err(io::Error::other)?,
        };
        for (index, (service, count)) in services.into_iter().enumerate() {
            fleet.services.push(service);
            for i in 0..count {
                fleet.add_target(index, ZONES[i % ZONES.len()]).await?;
            }
        }
        fleet.publish_catalogue();
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
        let path = self.dir.join(format!("{}.yaml", instance.name));
        std::fs::write(
            &path,
            instance.settings(self.platform.address(), &seeds, "warning"),
        )?;
        let program = std::env::current_exe()?.with_file_name("tanager-balancer");
        let log = std::fs::File::create(path.with_extension("log"))?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.balancers.push(Balancer { instance, child });
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
        self.balancers[index].instance.state = "leaving";
        self.publish_instances();
        self.balancers[index].signal("TERM");
        // The fabric learns of the change after the instance has left.
        sleep(Duration::from_millis(500)).await;
        self.count_violations().await;
        self.stopping.push(self.balancers.remove(index));
        self.spray();
        Ok(())
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

    /// Starts a target; the catalogue is not published.
    pub async fn add_target(&mut self, service: usize, zone: &str) -> io::Result<()> {
        let number = self.next_target;
        self.next_target += 1;
        let options = Options::new(any_port(), self.services[service].number, number);
        let target = Target::start((self.adapt)(options)).await?;
        self.services[service].targets.push(TargetEntry {
            number,
            address: target.address(),
            zone: zone.to_owned(),
            incarnation: 1,
            state: "active",
        });
        self.targets.push((service, number, target));
        Ok(())
    }

    /// Drains the target at `index`, starts a replacement in its zone and publishes both.
    pub async fn drain_target(&mut self, index: usize) -> io::Result<u32> {
        let (service, number, target) = &self.targets[index];
        let (service, number) = (*service, *number);
        target.drain();
        let entries = &mut self.services[service].targets;
        let entry = entries.iter_mut().find(|t| t.number == number);
        let entry = entry.ok_or_else(|| io::Error::other("no such target"))?;
        entry.state = "leaving";
        let zone = entry.zone.clone();
        self.add_target(service, &zone).await?;
        self.publish_catalogue();
        Ok(number)
    }

    /// Kills the target of this number and removes it from the catalogue.
    pub fn remove_target(&mut self, number: u32) {
        if let Some(index) = self.targets.iter().position(|t| t.1 == number) {
            let (service, _, target) = self.targets.remove(index);
            self.killed
                .push((self.services[service].number, target.kill()));
            self.services[service]
                .targets
                .retain(|t| t.number != number);
            self.publish_catalogue();
        }
    }

    pub fn is_idle(&self, number: u32) -> bool {
        let target = self.targets.iter().find(|t| t.1 == number);
        target.is_some_and(|t| t.2.open_feeds() == 0)
    }

    pub fn publish_catalogue(&mut self) {
        self.revisions.0 += 1;
        let mut text = catalogue(self.revisions.0, &self.services);
        if let Some(rate) = self.owner_requests {
            text = text.replace("requests: 100000/s", &format!("requests: {rate}/s"));
        }
        self.platform
            .publish_catalogue(&padded(text, self.padding.0));
    }

    pub fn publish_instances(&mut self) {
        self.revisions.1 += 1;
        self.stopping.retain_mut(|b| !b.is_ended());
        let listed = self.balancers.iter().chain(&self.stopping);
        let instances: Vec<Instance> = listed.map(|b| b.instance.clone()).collect();
        let text = instance_list(self.revisions.1, &instances);
        self.platform
            .publish_instances(&padded(text, self.padding.1));
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
    pub async fn truth(&mut self, tallies: Vec<Tally>) -> Truth {
        self.count_violations().await;
        let running = self.targets.iter();
        let running = running.map(|(s, _, t)| (self.services[*s].number, t.record()));
        Truth {
            tallies,
            records: running.chain(self.killed.iter().cloned()).collect(),
            invariant_violations: self.violations,
        }
    }
}

/// Adds numbered comment lines up to a size.
fn padded(mut text: String, size: usize) -> String {
    for number in 0.. {
        if text.len() >= size {
            break;
        }
        let line =
            format!("# line {number:06} in place of an entry of the design size, {number:07}\n");
        text.push_str(&line);
    }
    text
}

/// Returns an address that is free for TCP and UDP at the moment.
pub fn free_address() -> io::Result<SocketAddr> {
    for _ in 0..100 {
        let tcp = TcpListener::bind(any_port())?;
        let address = tcp.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no free port"))
}
