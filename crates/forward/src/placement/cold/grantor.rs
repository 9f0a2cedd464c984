//! Grants cold targets to the instances of a zone; used by the zone's hub.

use std::net::SocketAddrV4;
use std::time::Duration;

use tanager_core::{FastMap, Incarnation, Millis, PublishedService};

use super::pace::{Pace, WINDOW};
use super::{ColdTarget, GRANT_TIME, WarmupBounds};
use crate::{Cookie, TargetNumber};

/// Time for which an instance counts as reachable after a request; requests are sent every 400 ms.
const REQUEST_LIFETIME: Duration = Duration::from_secs(1);
/// Difference between the clocks of two instances over the time of a grant, with a large margin.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);
/// Maximum number of targets granted to an instance, so that the message fits into one packet.
const GRANT_LIMIT: usize = 140;

/// The instance that requests grants. A new incarnation does not know what the previous one sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Requester {
    pub address: SocketAddrV4,
    pub incarnation: Incarnation,
}

/// A grant to an instance.
#[derive(Debug, Clone, Copy)]
struct Holder {
    requester: Requester,
    granted: Millis,
    /// Number of openings that the instance can send within [`WINDOW`] on this grant, and on earlier
    /// ones that may still be in use.
    weight: u32,
    /// When `weight` was last granted.
    weight_granted: Millis,
}

impl Holder {
    /// Time for which a grant counts. The last opening may be sent at its end, so it counts for
    /// another window.
    const LIFETIME: Duration = GRANT_TIME
        .saturating_add(WINDOW)
        .saturating_add(CLOCK_MARGIN);

    fn is_counted(&self, now: Millis) -> bool {
        now.since(self.granted) < Self::LIFETIME
    }

    fn renew(&mut self, weight: u32, now: Millis) {
        let lapsed = now.since(self.weight_granted) >= Self::LIFETIME;
        if weight >= self.weight || lapsed {
            self.weight = weight;
            self.weight_granted = now;
        }
        self.granted = now;
    }
}

/// The grants of a zone's hub.
#[derive(Debug, Default)]
pub(super) struct Grantor {
    /// When each instance last sent a request.
    requests: FastMap<SocketAddrV4, Millis>,
    /// The instances that hold or recently held a grant.
    holders: FastMap<TargetNumber, Vec<Holder>>,
}

impl Grantor {
    /// Records a request. The sender counts as reachable for [`REQUEST_LIFETIME`].
    pub fn record_request(&mut self, requester: Requester, now: Millis) {
        self.requests.insert(requester.address, now);
        self.requests
            .retain(|_, at| now.since(*at) < REQUEST_LIFETIME);
    }

    /// Returns the position of an instance among those that count as reachable.
    fn position(&self, address: SocketAddrV4) -> u32 {
        let lower = self.requests.keys().filter(|a| **a < address).count();
        u32::try_from(lower).unwrap_or(u32::MAX)
    }

    /// Removes all targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(TargetNumber) -> bool) {
        self.holders.retain(|target, _| keep(*target));
    }

    /// Returns the targets that are granted to an instance of a zone that has had up to `zone_size`
    /// instances. If some cannot be reached, another hub may grant targets to them, so the number of
    /// grants is reduced in proportion.
    pub fn grant(
        &mut self,
        requester: Requester,
        cold: &[ColdTarget],
        zone_size: u32,
        bounds: WarmupBounds,
        now: Millis,
    ) -> Vec<(Cookie, u32)> {
        let reachable = u32::try_from(self.requests.len()).unwrap_or(u32::MAX);
        let zone_size = zone_size.max(reachable).max(1);
        let share = |count: u32| {
            let share = u64::from(count) * u64::from(reachable) / u64::from(zone_size);
            u32::try_from(share).unwrap_or(u32::MAX)
        };
        let pace = |target: &ColdTarget| Pace::new(target.rate, bounds, zone_size);
        let paces: Vec<_> = cold.iter().map(pace).collect();
        let mut quotas = Quotas::default();
        for (target, pace) in cold.iter().zip(&paces) {
            quotas.add(&target.service, share(pace.senders));
        }
        quotas.divide(self.position(requester.address), reachable);
        let mut granted = Vec::new();
        // Existing grants are renewed before new ones are made, so that they stay where they are.
        for renews in [true, false] {
            for i in rotation(requester.address, cold.len()) {
                let (target, pace) = (&cold[i], paces[i]);
                if granted.len() >= GRANT_LIMIT || !quotas.is_left(&target.service) {
                    continue;
                }
                let holders = self.holders.entry(target.number).or_default();
                holders.retain(|h| h.is_counted(now));
                let held = if renews {
                    renew(holders, requester, pace.weight, share(pace.bound), now)
                } else {
                    add(holders, requester, pace.weight, share(pace.bound), now)
                };
                if held {
                    quotas.consume(&target.service);
                    granted.push((target.number.cookie(), pace.interval_ms));
                }
            }
        }
        granted
    }
}

/// Renews the grant of an instance, if it holds one that stays within the bound together with those
/// before it. Returns whether it does.
fn renew(
    holders: &mut [Holder],
    requester: Requester,
    weight: u32,
    bound: u32,
    now: Millis,
) -> bool {
    let Some(position) = holders.iter().position(|h| h.requester == requester) else {
        return false;
    };
    let sum = |holders: &[Holder]| holders.iter().map(|h| h.weight).sum::<u32>();
    let before = sum(&holders[..position]);
    let all = sum(holders) - holders[position].weight;
    let grows = weight > holders[position].weight;
    let others = if grows { all } else { before };
    let fits = weight > 0 && others + weight <= bound;
    if fits {
        holders[position].renew(weight, now);
    }
    fits
}

/// Grants a target to another instance, if it stays within the bound together with all holders.
/// Returns whether it does.
fn add(
    holders: &mut Vec<Holder>,
    requester: Requester,
    weight: u32,
    bound: u32,
    now: Millis,
) -> bool {
    let sum: u32 = holders.iter().map(|h| h.weight).sum();
    let holds = holders.iter().any(|h| h.requester == requester);
    let fits = weight > 0 && !holds && sum + weight <= bound;
    if fits {
        holders.push(Holder {
            requester,
            granted: now,
            weight,
            weight_granted: now,
        });
    }
    fits
}

/// Returns the order in which targets are granted to an instance. It differs between instances.
fn rotation(address: SocketAddrV4, count: usize) -> impl Iterator<Item = usize> {
    let hash = u32::from(*address.ip()).wrapping_mul(0x9e37_79b1) >> 8;
    let start = (hash as usize).checked_rem(count).unwrap_or(0);
    (0..count).map(move |i| (start + i) % count)
}

/// Number of targets of each service that one instance may hold.
#[derive(Debug, Default)]
struct Quotas<'a>(Vec<(&'a PublishedService, u32)>);

impl<'a> Quotas<'a> {
    fn add(&mut self, service: &'a PublishedService, senders: u32) {
        match self.0.iter_mut().find(|(s, _)| *s == service) {
            Some((_, sum)) => *sum += senders,
            None => self.0.push((service, senders)),
        }
    }

    /// Divides the grants of each service among the instances and leaves the part of the one at a
    /// position. The remainder of each service goes to other positions.
    fn divide(&mut self, position: u32, instances: u32) {
        let instances = instances.max(1);
        let services = u32::try_from(self.0.len()).unwrap_or(u32::MAX).max(1);
        let distance = instances / services;
        for (service, (_, quota)) in (0..).zip(&mut self.0) {
            let start = distance.wrapping_mul(service);
            let place = position.wrapping_add(start) % instances;
            let remainder = *quota % instances;
            *quota = *quota / instances + u32::from(place < remainder);
        }
    }

    fn is_left(&self, service: &PublishedService) -> bool {
        self.0.iter().any(|(s, quota)| *s == service && *quota > 0)
    }

    fn consume(&mut self, service: &PublishedService) {
        if let Some((_, quota)) = self.0.iter_mut().find(|(s, _)| *s == service) {
            *quota -= 1;
        }
    }
}
