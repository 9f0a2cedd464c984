//! Published routes, which map the addresses that clients use to services.

use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanager_core::{FastMap, PublishedService};

use crate::warmup_rate::read_rates;
use crate::{FlowKey, StoreRevision, WarmupRate, WarmupRates};

/// Whether the requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once; its client does not repeat it once the flow is open.
    NonIdempotent,
}

/// A service and its share of a route's new flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: PublishedService,
    /// Its share, relative to the sum of all weights of the route.
    pub weight: u64,
}

/// The services for new flows to one published address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The address that clients use.
    pub address: SocketAddrV4,
    /// Whether its requests may be repeated.
    pub kind: Kind,
    /// Time after which the answer to a request is useless.
    pub timeout: Duration,
    /// Desired answer time.
    pub objective: Duration,
    /// Priority when not all requests can be served; 0 is the highest.
    pub priority: u64,
    /// The services that receive its flows. Invariant: not empty.
    pub services: Vec<ServiceShare>,
}

impl Route {
    /// Returns the service of a new flow, which is the same on all instances.
    #[must_use]
    pub fn service(&self, flow: &FlowKey) -> Option<&PublishedService> {
        let total: u128 = self.services.iter().map(|s| u128::from(s.weight)).sum();
        let hash = u128::from(flow.distribution_hash());
        let mut point = if total > u128::from(u32::MAX) {
            // The hash has 32 bits only.
            (hash * total) >> 32
        } else {
            hash.checked_rem(total).unwrap_or(0)
        };
        for share in &self.services {
            let weight = u128::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
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
    pub revision: StoreRevision,
    /// Time without packets after which a flow may be removed.
    pub idle_timeout: Duration,
    routes: Vec<Route>,
    /// The rates at which cold targets may receive openings; `None` if an earlier build sent the
    /// table. Invariant: the last field that is sent, which earlier builds ignore.
    #[serde(deserialize_with = "read_rates")]
    rates: Option<WarmupRates>,
    #[serde(skip)]
    index: FastMap<SocketAddrV4, usize>,
}

impl RouteTable {
    /// Creates a table. If several routes have the same address, the first one applies.
    #[must_use]
    pub fn new(
        version: u64,
        revision: StoreRevision,
        idle_timeout: Duration,
        routes: Vec<Route>,
    ) -> Self {
        let mut table = Self {
            version,
            revision,
            idle_timeout,
            routes,
            rates: Some(WarmupRates::default()),
            index: FastMap::default(),
        };
        table.reindex();
        table
    }

    /// Returns the table with the published rates of services.
    #[must_use]
    pub fn with_rates(mut self, rates: WarmupRates) -> Self {
        self.rates = Some(rates);
        self
    }

    /// Returns the rate at which cold targets of a service may receive openings.
    #[must_use]
    pub fn warmup_rate(&self, service: &PublishedService) -> WarmupRate {
        let rates = self.rates.as_ref();
        rates.map_or(WarmupRate::NONE, |rates| rates.get(service))
    }

    /// Returns whether any service publishes a rate.
    #[must_use]
    pub fn has_rates(&self) -> bool {
        self.rates.as_ref().is_some_and(|rates| !rates.is_empty())
    }

    /// Returns whether the table comes from an earlier build, which does not send rates.
    pub(crate) const fn lacks_rates(&self) -> bool {
        self.rates.is_none()
    }

    /// Returns whether this table is to replace another one.
    pub(crate) fn replaces(&self, other: &Self) -> bool {
        let adds_rates = other.lacks_rates() && !self.lacks_rates();
        self.version > other.version || (self.version == other.version && adds_rates)
    }

    /// Adds the rates in force of services whose published ones could not be read.
    pub(crate) fn retain_unread_rates(&mut self, in_force: &Self) {
        if let (Some(rates), Some(earlier)) = (&mut self.rates, &in_force.rates) {
            rates.retain_unread(earlier);
        }
    }

    /// Rebuilds the index, which is not sent between instances.
    pub(crate) fn reindex(&mut self) {
        self.index.clear();
        for (i, route) in self.routes.iter().enumerate() {
            self.index.entry(route.address).or_insert(i);
        }
    }

    /// Returns the route for an address that clients use.
    #[must_use]
    pub fn find(&self, address: SocketAddrV4) -> Option<&Route> {
        self.index.get(&address).map(|i| &self.routes[*i])
    }

    /// Returns the number of routes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether the table has no routes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
