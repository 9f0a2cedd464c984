//! A fleet in one process for tests: nodes, targets, platform and fabric.

use std::io;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::sync::Arc;
use std::time::Duration;

use tanager_core::Clock;
use tanagerproxy::Node;
use tanagerproxy::peer::{Network, TcpNetwork};
use tanagerproxy::settings::Settings;
use tanagerproxy::telemetry::Log;

use crate::fabric::Fabric;
use crate::platform::Platform;
use crate::settings::{
    Instance, OWNER_REQUESTS, Service, TargetEntry, catalogue_with, instance_list,
};
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

/// Platform, fabric and targets: everything around the entry instances of a fleet.
pub struct Backend {
    /// The platform.
    pub platform: Platform,
    /// The fabric.
    pub fabric: Fabric,
    /// The targets, with the index of their service.
    pub targets: Vec<(usize, Target)>,
    /// The services as published.
    pub services: Vec<Service>,
    /// Revision of the published catalogue.
    pub revision: u64,
    /// Requests a second that each owner may make.
    pub owner_requests: u32,
    next_target: u32,
}

impl Backend {
    /// Starts the targets of all services and publishes them.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be used.
    pub async fn start(
        services: Vec<(Service, usize)>,
        seed: u64,
        adapt: impl Fn(Options) -> Options,
    ) -> io::Result<Self> {
        let mut backend = Self {
            platform: Platform::start(any_port()).await?,
            fabric: Fabric::start(any_port(), Vec::new(), seed).await?,
            targets: Vec::new(),
            services: Vec::new(),
            revision: 0,
            owner_requests: OWNER_REQUESTS,
            next_target: 1,
        };
        for (index, (service, count)) in services.into_iter().enumerate() {
            backend.services.push(service);
            for i in 0..count {
                let zone = ZONES[i % ZONES.len()];
                backend.add_target(index, zone, &adapt).await?;
            }
        }
        backend.publish_services();
        Ok(backend)
    }

    /// Starts a target; the catalogue is not published.
    ///
    /// # Errors
    ///
    /// Returns an error if no address is free.
    pub async fn add_target(
        &mut self,
        service: usize,
        zone: &str,
        adapt: impl Fn(Options) -> Options,
    ) -> io::Result<()> {
        let number = self.next_target;
        self.next_target += 1;
        let options = adapt(Options::new(
            any_port(),
            self.services[service].number,
            number,
        ));
        let incarnation = options.incarnation;
        let target = Target::start(options).await?;
        self.services[service].targets.push(TargetEntry {
            number,
            address: target.address(),
            zone: zone.to_owned(),
            incarnation,
            state: "active",
        });
        self.targets.push((service, target));
        Ok(())
    }

    /// Publishes the services as they are now under the next revision.
    pub fn publish_services(&mut self) {
        self.revision += 1;
        let text = catalogue_with(self.revision, &self.services, self.owner_requests);
        self.platform.publish_catalogue(&text);
    }
}

/// A running fleet. All parts end with it.
pub struct Fleet {
    backend: Backend,
    /// The entry instances.
    pub nodes: Vec<FleetNode>,
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

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct FleetConfig {
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
        target_flows: 2_000,
        targets: Vec::new(),
    }
}

impl Fleet {
    /// Starts a fleet and waits until every node has its target connections.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be used.
    pub async fn start(plan: FleetConfig) -> io::Result<Self> {
        Self::start_with(plan, Arc::new(TcpNetwork), |options| options).await
    }

    /// Starts a fleet with its own network for the nodes and changed target options.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be used.
    pub async fn start_with(
        plan: FleetConfig,
        network: Arc<dyn Network>,
        adapt: impl Fn(Options) -> Options,
    ) -> io::Result<Self> {
        let mut fleet = Self {
            backend: Backend::start(plan.services, plan.seed, adapt).await?,
            nodes: Vec::new(),
        };
        for i in 0..plan.nodes {
            fleet
                .add_node(ZONES[i % ZONES.len()], Arc::clone(&network))
                .await?;
        }
        fleet.route_to_running_nodes();
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

    /// Returns the entry instances that have not been killed.
    pub fn running(&self) -> impl Iterator<Item = &Arc<Node>> {
        self.nodes
            .iter()
            .filter(|n| n.is_running())
            .map(|n| &n.node)
    }

    /// Makes the fabric use all running entry instances.
    pub fn route_to_running_nodes(&self) {
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
