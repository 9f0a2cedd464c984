//! Published routes: which service takes the new flows of an address.

use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanager_core::{FastMap, ServiceName};

use crate::FlowKey;

/// How the requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs once at most; its client does not repeat it once the flow is open.
    NonIdempotent,
}

/// A service and its part of a route's new flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the other parts of the route.
    pub weight: u32,
}

/// Where new flows to one published address go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The address that clients use.
    pub address: SocketAddrV4,
    /// Whether its requests may be repeated.
    pub kind: Kind,
    /// Time after which a request's answer is of no use.
    pub timeout: Duration,
    /// Time within which an answer is wanted.
    pub objective: Duration,
    /// Rank when not everything can be served, 0 first.
    pub priority: u8,
    /// The services that take its flows. Invariant: not empty.
    pub services: Vec<ServiceShare>,
}

impl Route {
    /// Returns the service of a new flow. All instances answer alike for the same flow.
    #[must_use]
    pub fn service(&self, flow: &FlowKey) -> Option<&ServiceName> {
        let total: u32 = self.services.iter().map(|s| s.weight).sum();
        let mut point = flow.distribution_hash().checked_rem(total).unwrap_or(0);
        for share in &self.services {
            if point < share.weight {
                return Some(&share.service);
            }
            point -= share.weight;
        }
        self.services.first().map(|s| &s.service)
    }
}

/// All routes of one published configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RouteTable {
    /// The configuration's version; higher is newer.
    pub version: u64,
    /// The revision at which it was published.
    pub revision: u64,
    /// A flow without packets for this long may be forgotten.
    pub idle_timeout: Duration,
    routes: Vec<Route>,
    #[serde(skip)]
    index: FastMap<SocketAddrV4, usize>,
}

impl RouteTable {
    /// Creates a table; of two routes with one address the first counts.
    #[must_use]
    pub fn new(version: u64, revision: u64, idle_timeout: Duration, routes: Vec<Route>) -> Self {
        let mut table = Self {
            version,
            revision,
            idle_timeout,
            routes,
            index: FastMap::default(),
        };
        table.reindex();
        table
    }

    /// Rebuilds the index, which is not sent between instances.
    pub(crate) fn reindex(&mut self) {
        self.index.clear();
        for (i, route) in self.routes.iter().enumerate() {
            self.index.entry(route.address).or_insert(i);
        }
    }

    /// Returns the route of an address that clients use.
    #[must_use]
    pub fn find(&self, address: SocketAddrV4) -> Option<&Route> {
        self.index.get(&address).map(|i| &self.routes[*i])
    }

    /// Returns the number of routes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there is no route.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
