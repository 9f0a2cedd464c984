//! A fleet in one process for tests: nodes, targets, platform and fabric.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tanager_core::Clock;
use tanagerproxy::Node;
use tanagerproxy::peer::{Network, TcpNetwork};
use tanagerproxy::settings::Settings;
use tanagerproxy::telemetry::Log;

use crate::fabric::Fabric;
use crate::platform::Platform;
use crate::settings::{Instance, Service, TargetEntry, catalogue, instance_list};
use crate::target::{Options, Target};

/// The availability zones of a test fleet.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// Returns an address on which the system chooses the port.
#[must_use]
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// An entry instance on a runtime of its own, so that it can be killed and frozen like a process.
pub struct FleetNode {
    /// The instance.
    pub node: Arc<Node>,
    /// One worker thread, so that a blocked task freezes the whole instance.
    runtime: Option<tokio::runtime::Runtime>,
}

impl FleetNode {
    async fn start(settings: Settings, network: Arc<dyn Network>) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let clock = Clock::start();
        let log = Log::discard(clock);
        let start = runtime.spawn(Node::start(settings, log, clock, network));
        let node = start
            .await
            .map_err(io::Error::other)?
            .map_err(io::Error::other)?;
        Ok(Self {
            node,
            runtime: Some(runtime),
        })
    }

    /// Kills the instance: its tasks end and its sockets close without a word to anybody.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Stops the instance for a time, as SIGSTOP and SIGCONT would. Its clock keeps running.
    pub fn freeze(&self, time: Duration) {
        if let Some(runtime) = &self.runtime {
            runtime.spawn(async move { std::thread::sleep(time) });
        }
    }

    /// Starts a graceful stop on the instance's own runtime.
    pub fn leave(&self) -> Option<tokio::task::JoinHandle<()>> {
        let node = Arc::clone(&self.node);
        self.runtime
            .as_ref()
            .map(|r| r.spawn(async move { node.leave().await }))
    }

    /// Returns whether the instance has not been killed.
    #[must_use]
    pub const fn is_running(&self) -> bool {
        self.runtime.is_some()
    }
}

impl Drop for FleetNode {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A running fleet. All parts end with it.
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// The fabric.
    pub fabric: Fabric,
    /// The entry instances.
    pub nodes: Vec<FleetNode>,
    /// The targets, with the index of their service.
    pub targets: Vec<(usize, Target)>,
    /// The services as published.
    pub services: Vec<Service>,
    /// Revision of the published catalogue.
    pub revision: u64,
}

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of entry instances.
    pub nodes: usize,
    /// The services; their target lists are filled in.
    pub services: Vec<(Service, usize)>,
    /// Seed of the fabric.
    pub seed: u64,
}

/// Returns a service of the given number without targets.
#[must_use]
pub const fn service(name: &'static str, number: u32, owner: &'static str) -> Service {
    Service {
        name,
        number,
        owner,
        class: "normal",
        requests: 50_000,
        minimum: 100,
        flows: 50_000,
        targets: Vec::new(),
    }
}

impl Fleet {
    /// Starts a fleet and waits until every node has its target connections.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be used.
    pub async fn start(plan: Plan) -> io::Result<Self> {
        Self::start_with(plan, Arc::new(TcpNetwork), |options| options).await
    }

    /// Starts a fleet with its own network for the nodes and changed target options.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be used.
    pub async fn start_with(
        plan: Plan,
        network: Arc<dyn Network>,
        adapt: impl Fn(Options) -> Options,
    ) -> io::Result<Self> {
        let platform = Platform::start(any_port()).await?;
        let mut services = Vec::new();
        let mut targets = Vec::new();
        let mut number = 0;
        for (index, (mut service, count)) in plan.services.into_iter().enumerate() {
            for i in 0..count {
                number += 1;
                let options = adapt(Options::new(any_port(), service.number, number));
                let incarnation = options.incarnation;
                let target = Target::start(options).await?;
                service.targets.push(TargetEntry {
                    number,
                    address: target.address(),
                    zone: ZONES[i % ZONES.len()].to_owned(),
                    incarnation,
                    state: "active",
                });
                targets.push((index, target));
            }
            services.push(service);
        }
        platform.publish_catalogue(&catalogue(1, &services));
        let fabric = Fabric::start(any_port(), Vec::new(), plan.seed).await?;
        let nodes = Vec::new();
        let mut fleet = Self {
            platform,
            fabric,
            nodes,
            targets,
            services,
            revision: 1,
        };
        for i in 0..plan.nodes {
            fleet
                .add_node(ZONES[i % ZONES.len()], Arc::clone(&network))
                .await?;
        }
        fleet.spray_to_all();
        fleet.wait_connected().await;
        Ok(fleet)
    }

    /// Starts one more entry instance and lists it. The fabric does not use it yet.
    ///
    /// # Errors
    ///
    /// Returns an error if its settings are refused or an address cannot be used.
    pub async fn add_node(&mut self, zone: &str, network: Arc<dyn Network>) -> io::Result<()> {
        let instance = Instance {
            name: format!("node-{}", self.nodes.len() + 1),
            zone: zone.to_owned(),
            callers: any_port(),
            peers: any_port(),
            status: any_port(),
            state: "live",
        };
        let seeds: Vec<SocketAddr> = self.nodes.iter().map(|n| n.node.peer_address()).collect();
        let text = instance.settings(self.platform.address(), &seeds, "info");
        let settings = Settings::read(&text).map_err(io::Error::other)?;
        self.nodes.push(FleetNode::start(settings, network).await?);
        self.publish_instances();
        Ok(())
    }

    /// Publishes the list of all instances.
    pub fn publish_instances(&self) {
        let instance = |(i, node): (usize, &FleetNode)| Instance {
            name: format!("node-{}", i + 1),
            zone: node.node.zone().to_string(),
            callers: any_port(),
            peers: node.node.peer_address(),
            status: node.node.status_address(),
            state: "live",
        };
        let instances: Vec<Instance> = self.nodes.iter().enumerate().map(instance).collect();
        let revision = instances.len() as u64;
        self.platform
            .publish_instances(&instance_list(revision, &instances));
    }

    /// Publishes the services as they are now under the next revision.
    pub fn publish_services(&mut self) {
        self.revision += 1;
        self.platform
            .publish_catalogue(&catalogue(self.revision, &self.services));
    }

    /// Returns the entry instances that have not been killed.
    pub fn running(&self) -> impl Iterator<Item = &Arc<Node>> {
        self.nodes
            .iter()
            .filter(|n| n.is_running())
            .map(|n| &n.node)
    }

    /// Makes the fabric use all running entry instances.
    pub fn spray_to_all(&self) {
        let addresses = self.running().filter_map(|n| n.callers_address().ok());
        self.fabric.set_balancers(addresses.collect());
    }

    /// Waits, for at most 10 s, until every node is connected to every target.
    pub async fn wait_connected(&self) {
        for _ in 0..500 {
            if self
                .running()
                .all(|n| n.connected_targets() >= self.targets.len())
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
