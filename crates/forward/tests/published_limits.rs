//! Published values without upper limits: large numbers and names of any syntax.

mod common;

use std::time::Duration;

use common::{
    Client, FEED_PORT, REVISION, at, flow, forwarder, later, published, route, sent_to, service,
    service_end, target, zone,
};
use tanager_forward::{
    Delta, Forwarder, Kind, Route, RouteTable, ServiceShare, TargetNumber, ViewVersion,
};

/// Returns a route that divides its flows between two services by these weights.
fn weighted(weights: [u64; 2]) -> Route {
    let shares = ["feeds", "Other Feeds"].into_iter().zip(weights);
    Route {
        services: shares
            .map(|(name, weight)| ServiceShare {
                service: service(name),
                weight,
            })
            .collect(),
        ..route(FEED_PORT, Kind::Idempotent, "feeds")
    }
}

/// Returns how many of 1,000 flows go to the first service.
fn flows_to_first(weights: [u64; 2]) -> usize {
    let route = weighted(weights);
    let first = service("feeds");
    let flows = (0..1_000).map(|port| flow(port, FEED_PORT));
    flows
        .filter(|flow| route.service(flow) == Some(&first))
        .count()
}

/// Guards against a sum of weights that overflows: the process ended, or all flows went to one
/// service.
#[test]
fn large_weights_divide_flows_as_small_ones_do() {
    let small = flows_to_first([3, 1]);
    let large = flows_to_first([u64::MAX, u64::MAX / 3]);

    assert!((700..800).contains(&small), "{small} of 1,000");
    assert!((700..800).contains(&large), "{large} of 1,000");
}

/// Guards against large values that end the process while packets are forwarded.
#[test]
fn the_largest_values_are_served() {
    let longest = Duration::from_millis(u64::MAX);
    let mut large = target(1, "feeds", "a");
    large.slots = u32::MAX;
    large.warmup = longest;
    large.sequence = u64::MAX;
    let mut forwarder = Forwarder::new(zone("a"), 1);
    forwarder.apply(published(large, REVISION), at(0));
    let slow = Route {
        timeout: longest,
        objective: longest,
        priority: u64::MAX,
        ..route(FEED_PORT, Kind::Idempotent, "feeds")
    };
    forwarder.apply_routes(RouteTable::new(u64::MAX, REVISION, longest, vec![slow]));
    let mut client = Client::new(1, FEED_PORT);

    let opened = sent_to(client.opening(&mut forwarder, 0, at(10)));
    client.accept(opened);
    client.send(&mut forwarder, 100, at(20));
    client.acknowledge(&mut forwarder, 2_000, at(60));
    forwarder.sweep(at(90_000));

    assert_eq!(opened, TargetNumber::new(1));
    assert_eq!(forwarder.gauges(at(90_000)).flows, 1);
}

/// Guards against peers that refuse a view because of a name or number that the store accepts.
#[test]
fn a_peer_takes_over_names_and_numbers_of_any_size() {
    let mut before = forwarder(1);
    before.apply(
        published(target(2, "Other Feeds", "Zone Ω"), later(1)),
        at(0),
    );
    let large = Route {
        priority: 1_000,
        ..weighted([u64::MAX, 1 << 40])
    };
    let table = RouteTable::new(9, later(1), Duration::from_secs(15), vec![large]);
    before.apply_routes(table);
    let mut started = Forwarder::new(zone("a"), 1);

    let sent = postcard::to_stdvec(&before.view().delta(ViewVersion::default()));
    let delta: Delta = postcard::from_bytes(&sent.expect("a delta")).expect("the same delta");
    started.merge(delta, at(10));

    let found = started.view().routes().find(service_end(FEED_PORT));
    assert_eq!(found.map(|r| r.priority), Some(1_000));
    let zones = started.view().published().map(|e| &e.target.zone);
    assert!(zones.into_iter().any(|z| *z == zone("Zone Ω")));
}
