//! Grants for cold targets: how long they are valid, from which hub they are requested, and when a
//! hub makes none.

mod common;

use std::net::{Ipv4Addr, SocketAddrV4};

use common::{at, service};
use tanager_core::Incarnation;
use tanager_forward::{
    ColdTarget, TargetNumber, WarmupLimiter, WarmupMessage, WarmupRate, WarmupRequest, ZoneStanding,
};

/// Time between two rounds of beacons.
const ROUND_MS: u64 = 400;
/// Time for which the fixtures run before a test acts.
const SETTLED: u64 = 8_000;
const HUB: u8 = 1;
const LEAF: u8 = 2;
const OTHER_HUB: u8 = 3;

fn address(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 7_720)
}

fn standing(own: u8, hub: u8, members: u32) -> ZoneStanding {
    ZoneStanding {
        own: address(own),
        incarnation: Incarnation::new(u64::from(own)),
        zone: 0,
        hub: address(hub),
        members,
        connected: true,
    }
}

fn cold() -> [ColdTarget; 1] {
    [ColdTarget {
        number: TargetNumber::new(9),
        service: service("feeds"),
        rate: WarmupRate::try_from(4.0).expect("a valid rate"),
    }]
}

/// A hub and a leaf of a zone.
struct Pair {
    hub: WarmupLimiter,
    leaf: WarmupLimiter,
}

impl Pair {
    /// Returns a pair that has exchanged messages until [`SETTLED`].
    fn settled() -> Self {
        let mut pair = Self {
            hub: WarmupLimiter::default(),
            leaf: WarmupLimiter::default(),
        };
        for round in (0..SETTLED).step_by(usize::try_from(ROUND_MS).expect("small")) {
            let grant = pair.round(round);
            if let Some(grant) = grant {
                pair.deliver(&grant, round);
            }
        }
        assert!(pair.leaf.allows(TargetNumber::new(9), at(SETTLED)));
        pair
    }

    /// Runs a round of both. Returns the grant for the leaf, which has not received it yet.
    fn round(&mut self, now: u64) -> Option<WarmupMessage> {
        self.hub.renew(&standing(HUB, HUB, 2), &cold(), at(now));
        let (_, request) = self.leaf.renew(&standing(LEAF, HUB, 2), &cold(), at(now))?;
        let answer = self
            .hub
            .handle(&request, &standing(HUB, HUB, 2), &cold(), at(now));
        answer.map(|(_, grant)| grant)
    }

    fn deliver(&mut self, grant: &WarmupMessage, now: u64) {
        self.leaf
            .handle(grant, &standing(LEAF, HUB, 2), &cold(), at(now));
    }
}

/// Guards against a grant that was delayed, or read late by a paused process, and is used after the
/// hub has given it to another instance.
#[test]
fn a_late_grant_ends_when_a_timely_one_would() {
    let mut pair = Pair::settled();
    let grant = pair.round(SETTLED).expect("a grant");

    pair.deliver(&grant, SETTLED + 1_400);

    assert!(pair.leaf.allows(TargetNumber::new(9), at(SETTLED + 1_400)));
    assert!(!pair.leaf.allows(TargetNumber::new(9), at(SETTLED + 1_600)));
}

/// Guards against grants of two hubs at once: the first one still counts an instance for some seconds
/// after its last request.
#[test]
fn another_hub_is_asked_late() {
    let mut pair = Pair::settled();
    let last = SETTLED - ROUND_MS;
    let mut asked = None;

    for now in (SETTLED..SETTLED + 8_000).step_by(100) {
        let request = pair
            .leaf
            .renew(&standing(LEAF, OTHER_HUB, 2), &cold(), at(now));
        asked = asked.or(request.map(|(to, _)| (to, now)));
    }

    assert_eq!(asked, Some((address(OTHER_HUB), last + 5_000)));
}

/// Guards against a hub that was paused and grants targets by what it knew before, while another one
/// has taken over.
#[test]
fn a_hub_grants_nothing_for_some_time_after_a_pause() {
    let mut pair = Pair::settled();
    let resumed = SETTLED + 3_000;
    let mut first = None;

    for now in (resumed..resumed + 8_000).step_by(usize::try_from(ROUND_MS).expect("small")) {
        let grant = pair.round(now).map(|_| now);
        first = first.or(grant);
    }

    assert!(first.is_some_and(|at| at >= resumed + 5_000), "{first:?}");
}

/// Guards against a zone that is divided into groups, each of which makes all the grants.
#[test]
fn a_hub_that_reaches_half_of_its_zone_makes_half_of_the_grants() {
    let mut hub = WarmupLimiter::default();
    let members = 40;
    let mut weight = 0.0;
    for round in (0..SETTLED).step_by(usize::try_from(ROUND_MS).expect("small")) {
        let own = standing(HUB, HUB, members / 2);
        hub.renew(&own, &cold(), at(round));
        for host in 2..=20 {
            let request = WarmupRequest {
                from: address(host),
                incarnation: Incarnation::new(1),
                zone: 0,
                sent: at(round),
                zone_size: members,
            };
            let message = WarmupMessage::Request(request);
            let answer = hub.handle(&message, &own, &cold(), at(round));
            if let Some((_, WarmupMessage::Grant(grant))) = answer
                && round + ROUND_MS >= SETTLED
            {
                let rates = grant.targets.iter().map(|(_, ms)| 1_000.0 / f64::from(*ms));
                weight += rates.sum::<f64>();
            }
        }
    }

    // Half of the rate of 4 a second.
    assert!((0.5..=2.0).contains(&weight), "{weight} openings a second");
}
