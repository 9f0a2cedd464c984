use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;
use tanager_core::{Clock, Incarnation, Millis, ServiceId};
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;

use super::lending::divide;
use super::{Demand, Lending, LimitKey, Loan, ROWS_LIMIT};
use crate::Identity;
use crate::catalogue::CatalogueStore;
use crate::membership::Membership;

/// Services in a catalogue of the design size.
const SERVICES: u32 = 620;
/// Peers contacted in a round of heartbeats, once a second.
const PEERS: usize = 3;
/// An instance's budget for control traffic in bytes per second, sent and received.
const CONTROL_LIMIT: usize = 8_000;

/// Returns the lending of an instance in a fleet of 3, with a catalogue of 620 services with 300/s
/// each.
fn lending() -> Arc<Lending> {
    let mut text = "revision: 1\nowners:\n- { name: abay, limits: { requests: 100000/s, \
                    flows: 30 } }\nentries:\n"
        .to_owned();
    for number in 1..=SERVICES {
        let limits = "{ requests: 300/s, minimum: 0/s, flows: 1, queue: 8 }";
        let _ = writeln!(
            text,
            "- {{ service: s{number}, number: {number}, owner: abay, class: urgent, \
             limits: {limits}, targets: [] }}"
        );
    }
    let catalogue = Arc::new(CatalogueStore::default());
    catalogue.offer(&text).expect("a valid catalogue");
    let membership = Membership::new(Identity {
        name: "node-0".parse().expect("name"),
        zone: "a".parse().expect("zone"),
        region: "addis".parse().expect("region"),
        incarnation: Incarnation::new(2),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
    });
    let mut list = "revision: 1\ninstances:\n".to_owned();
    for i in 0..3 {
        let _ = writeln!(
            list,
            "- {{ name: node-{i}, zone: a, region: addis, address: \"127.0.0.1:{}\", state: live }}",
            i + 1
        );
    }
    membership.offer_list(&list).expect("a valid list");
    Lending::new(catalogue, Arc::new(membership), Clock::start())
}

/// Returns the demand of an instance that lacks rate for all services.
fn demand() -> Vec<Demand> {
    let row = |number| Demand {
        key: LimitKey::Service(ServiceId::new(number)),
        rate: 30.0,
        borrower: Incarnation::new(u64::MAX),
        asked: Millis::new(1 << 40),
    };
    (1..=SERVICES).map(row).collect()
}

fn size(rows: &impl Serialize) -> usize {
    let codec = std::pin::pin!(Bincode::<(), _>::default());
    codec.serialize(&rows).expect("serializable").len()
}

/// Guards against heartbeats that grow with the number of services, and against a lender that
/// answers more rows than a heartbeat may have.
#[test]
fn rows_stay_within_the_control_budget_at_620_services() {
    let lender = lending();

    let demands = divide(demand(), PEERS);
    let loans: Vec<Vec<Loan>> = demands.iter().map(|d| lender.lend(d)).collect();

    assert!(demands.iter().all(|d| d.len() == ROWS_LIMIT), "{demands:?}");
    // An instance sends its demand to 3 peers per second, and receives that of 3 on average.
    let bytes = 2 * (size(&demands) + size(&loans));
    println!("{bytes} B/s");
    assert!(bytes < CONTROL_LIMIT / 2, "{bytes} B/s");
    assert_eq!(loans.concat().len(), PEERS * ROWS_LIMIT, "{loans:?}");
    assert_eq!(lending().lend(&demand()).len(), ROWS_LIMIT);
}

/// Guards against several peers that each lend the full rate that an instance lacks. Neither it nor
/// the lenders could use the surplus.
#[test]
fn demand_is_divided_between_peers() {
    let demand = demand().split_off(SERVICES as usize - ROWS_LIMIT);
    let lacking: f64 = demand.iter().map(|d| d.rate).sum();

    let demanded = divide(demand, PEERS).concat();

    let demanded: f64 = demanded.iter().map(|d| d.rate).sum();
    assert!((demanded - lacking).abs() < 1e-9, "{demanded} of {lacking}");
}
