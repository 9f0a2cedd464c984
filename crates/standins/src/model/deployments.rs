//! The deployments whose load the tests stand for. Their work is assumed. A full queue delays a
//! request by less than the objectives, except at slow targets, and instances take no time for a
//! packet, so that goodput alone tells policies apart only in the fleet with two routes.

use std::time::Duration;

use tanager_forward::Kind;

use super::{RouteSettings, Settings, Spread};

/// Position of the route of idempotent requests in all deployments.
pub const FEEDS: usize = 0;
/// Position of the route of requests that must not run twice.
pub const ORDERS: usize = 1;
/// Position of the route of downloads, which have a service of their own.
pub const DOWNLOADS: usize = 2;

/// Mean work of requests in the fleet with two routes.
const SHORT_WORK: Duration = Duration::from_millis(30);
/// Mean work of requests other than downloads in the deployments.
const WORK: Duration = Duration::from_millis(45);
/// Mean work of downloads.
const DOWNLOAD_WORK: Duration = Duration::from_millis(180);
/// Share of the arrivals that are downloads. One target in five serves them, and each takes four
/// times as long as another request.
const DOWNLOAD_SHARE: f64 = 1.0 / 17.0;
/// Share of the arrivals that must not run twice.
const ORDER_SHARE: f64 = 0.2;

fn route(name: &'static str, kind: Kind, share: f64, times_ms: (u64, u64)) -> RouteSettings {
    RouteSettings {
        name,
        priority: if kind == Kind::Idempotent { 2 } else { 1 },
        kind,
        objective: Duration::from_millis(times_ms.0),
        deadline: Duration::from_millis(times_ms.1),
        share,
        work: WORK,
        long_flows: false,
        service: 0,
    }
}

/// Returns a route of idempotent requests on long flows and one of other requests.
#[must_use]
pub fn two_routes(objective: Duration) -> Vec<RouteSettings> {
    let feeds = route("feeds", Kind::Idempotent, 0.75, (0, 2_500));
    let orders = route("orders", Kind::NonIdempotent, 0.25, (0, 2_500));
    let mut routes = vec![feeds, orders];
    for route in &mut routes {
        route.objective = objective;
        route.priority = 1;
        route.work = SHORT_WORK;
    }
    routes[FEEDS].long_flows = true;
    routes
}

fn deployment(instances: u16, targets: u16, times_ms: [(u64, u64); 3]) -> Settings {
    let [feeds, orders, downloads] = times_ms;
    let feed_share = 1.0 - ORDER_SHARE - DOWNLOAD_SHARE;
    let mut routes = vec![
        route("feeds", Kind::Idempotent, feed_share, feeds),
        route("orders", Kind::NonIdempotent, ORDER_SHARE, orders),
        route("downloads", Kind::Idempotent, DOWNLOAD_SHARE, downloads),
    ];
    routes[DOWNLOADS].work = DOWNLOAD_WORK;
    routes[DOWNLOADS].service = 1;
    Settings {
        instances,
        targets: targets + targets / 4,
        second: targets / 4,
        routes,
        spread: Spread::LogNormal(0.5),
        ..Settings::default()
    }
}

/// Returns the deployment with long flows. `targets` are those of the first service.
#[must_use]
pub fn long_flows(instances: u16, targets: u16) -> Settings {
    let times_ms = [(400, 2_000), (500, 2_000), (1_200, 6_000)];
    let mut settings = deployment(instances, targets, times_ms);
    for route in [FEEDS, ORDERS] {
        settings.routes[route].long_flows = true;
    }
    settings
}

/// Returns the deployment with a flow for each request and targets of unequal speed. `targets` are
/// those of the first service.
#[must_use]
pub fn short_flows(instances: u16, targets: u16) -> Settings {
    let times_ms = [(500, 2_500), (600, 2_500), (1_500, 6_000)];
    Settings {
        speeds: vec![0.6, 1.0, 1.6],
        tail: (0.03, 7.0),
        ..deployment(instances, targets, times_ms)
    }
}
