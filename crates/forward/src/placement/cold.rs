//! Limits the openings that all instances together send to a cold target whose service publishes a
//! rate. The load: targets that start under full load, and services whose targets all restart.
//!
//! Only instances of the target's own zone may open flows to it, and of these only those that hold a
//! grant of the zone's hub, which lasts for [`GRANT_TIME`] on the holder's clock. The hub grants each
//! target to so few instances that their openings stay within the bound even if all of them coincide.
//! An instance that hears from nobody holds no grant, and divided zones divide the number of grants.
//! `docs/design/cold-targets.md` derives the constants.

mod grantor;
mod message;
mod pace;

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use tanager_core::{FastMap, Incarnation, Millis, PublishedService};

use crate::view::{TargetEntry, View};
use crate::{Cookie, TargetNumber, WarmupRate};
use grantor::{Grantor, Requester};
pub use message::{WarmupGrant, WarmupMessage, WarmupRequest};
pub use pace::WarmupBounds;

/// Time for which a grant is valid, from the request that it answers. Three rounds of beacons.
const GRANT_TIME: Duration = Duration::from_millis(1_500);
/// Time after its last request to a hub before an instance sends one to another hub. Until then, the
/// first hub may count it and may have granted targets on that account.
const SUPPORT_TIME: Duration = Duration::from_secs(5);
/// Time for which an instance has to hear from others before it requests grants, so that it does not
/// request them from one that is not the hub.
const REQUEST_DELAY: Duration = Duration::from_secs(1);
/// Time for which an instance has to hear from others before it grants targets. Instances that start
/// at the same time find each other within it.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time between two rounds from which the process counts as paused. It may then read messages that
/// have waited, so it has to settle again.
const PAUSE_TIME: Duration = Duration::from_secs(1);
/// Time for which the largest number of instances of the zone counts. Longer than most network
/// partitions; after instances were removed, grants are fewer for this time.
const SIZE_MEMORY: Duration = Duration::from_mins(10);

/// What an instance knows of its own zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneStanding {
    /// Address at which the instance receives beacons.
    pub own: SocketAddrV4,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Position of its zone among all zones.
    pub zone: u8,
    /// The highest ranked instance of the zone, perhaps itself.
    pub hub: SocketAddrV4,
    /// Number of instances of the zone, with itself.
    pub members: u32,
    /// Whether it has recently heard from another instance, or knows of no other one.
    pub connected: bool,
}

/// A cold target of the local zone whose service publishes a rate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdTarget {
    /// The target.
    pub number: TargetNumber,
    /// Its service.
    pub service: PublishedService,
    /// The rate that its service publishes.
    pub rate: WarmupRate,
}

/// Returns whether openings to a target are limited: it is cold, and its service publishes a rate.
#[must_use]
pub fn is_limited(entry: &TargetEntry, view: &View, now: Millis) -> bool {
    entry.warmup(now) > Duration::ZERO
        && !view.routes().warmup_rate(&entry.target.service).is_none()
}

/// The right to open flows to a target.
#[derive(Debug, Clone, Copy)]
struct Lease {
    /// When it ends.
    until: Millis,
    /// Minimum time between two openings.
    interval: Duration,
}

/// The hub from which this instance requests grants.
#[derive(Debug, Clone, Copy)]
struct Support {
    hub: SocketAddrV4,
    /// When the last request was sent.
    requested: Millis,
}

/// Largest number of instances of the zone within [`SIZE_MEMORY`].
#[derive(Debug, Default)]
struct ZoneSize {
    /// Invariant: later entries are smaller.
    sizes: VecDeque<(Millis, u32)>,
}

impl ZoneSize {
    fn record(&mut self, size: u32, now: Millis) {
        while self.sizes.back().is_some_and(|(_, last)| *last <= size) {
            self.sizes.pop_back();
        }
        self.sizes.push_back((now, size));
        while self.sizes.len() > 1 && now.since(self.sizes[0].0) > SIZE_MEMORY {
            self.sizes.pop_front();
        }
    }

    fn largest(&self) -> u32 {
        self.sizes.front().map_or(1, |(_, size)| *size)
    }
}

/// Decides which openings this instance may send to cold targets, and, on the hub of a zone, which
/// instances may send some.
#[derive(Debug, Default)]
pub struct WarmupLimiter {
    bounds: WarmupBounds,
    leases: FastMap<TargetNumber, Lease>,
    /// When the last opening was sent to each target, for [`Lease::interval`].
    last_openings: FastMap<TargetNumber, Millis>,
    support: Option<Support>,
    /// Since when the instance has heard from others without a pause.
    connected_since: Option<Millis>,
    last_round: Option<Millis>,
    zone_size: ZoneSize,
    grantor: Grantor,
}

impl WarmupLimiter {
    /// Sets the bounds on the openings to a target.
    pub const fn set_bounds(&mut self, bounds: WarmupBounds) {
        self.bounds = bounds;
    }

    /// Returns whether an opening may be sent now to a cold target with a rate.
    #[must_use]
    pub fn allows(&self, target: TargetNumber, now: Millis) -> bool {
        let Some(lease) = self.leases.get(&target).filter(|l| now < l.until) else {
            return false;
        };
        let last = self.last_openings.get(&target);
        last.is_none_or(|at| now.since(*at) >= lease.interval)
    }

    /// Returns the targets to which an opening may be sent now if they are cold and have a rate.
    pub fn allowed(&self, now: Millis) -> impl Iterator<Item = TargetNumber> {
        let targets = self.leases.keys().copied();
        targets.filter(move |target| self.allows(*target, now))
    }

    /// Records that an opening was sent to a cold target with a rate.
    pub fn record_opening(&mut self, target: TargetNumber, now: Millis) {
        self.last_openings.insert(target, now);
    }

    /// Returns the number of targets to which this instance may open flows.
    #[must_use]
    pub fn granted(&self, now: Millis) -> usize {
        self.leases.values().filter(|l| now < l.until).count()
    }

    /// Removes all targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(TargetNumber) -> bool) {
        self.leases.retain(|target, _| keep(*target));
        self.last_openings.retain(|target, _| keep(*target));
        self.grantor.retain(keep);
    }

    /// Renews the grants for the cold targets of the zone; called in each round of beacons. Returns
    /// a request to be sent to the zone's hub.
    pub fn renew(
        &mut self,
        standing: &ZoneStanding,
        cold: &[ColdTarget],
        now: Millis,
    ) -> Option<(SocketAddrV4, WarmupMessage)> {
        self.update_connection(standing, now);
        self.zone_size.record(standing.members, now);
        if cold.is_empty() || !self.is_connected_for(REQUEST_DELAY, now) {
            return None;
        }
        let committed = self
            .support
            .is_some_and(|s| s.hub != standing.hub && now.since(s.requested) < SUPPORT_TIME);
        if committed {
            return None;
        }
        self.support = Some(Support {
            hub: standing.hub,
            requested: now,
        });
        let request = WarmupRequest {
            from: standing.own,
            incarnation: standing.incarnation,
            zone: standing.zone,
            sent: now,
            zone_size: self.zone_size.largest(),
        };
        if standing.hub != standing.own {
            return Some((standing.hub, WarmupMessage::Request(request)));
        }
        if let Some(grant) = self.answer(&request, standing, cold, now) {
            self.apply(&grant, standing, cold, now);
        }
        None
    }

    /// Handles a message of another instance. Returns the answer, if there is one.
    pub fn handle(
        &mut self,
        message: &WarmupMessage,
        standing: &ZoneStanding,
        cold: &[ColdTarget],
        now: Millis,
    ) -> Option<(SocketAddrV4, WarmupMessage)> {
        match message {
            WarmupMessage::Request(request) => {
                let grant = self.answer(request, standing, cold, now)?;
                Some((request.from, WarmupMessage::Grant(grant)))
            }
            WarmupMessage::Grant(grant) => {
                self.apply(grant, standing, cold, now);
                None
            }
        }
    }

    fn update_connection(&mut self, standing: &ZoneStanding, now: Millis) {
        let paused = self.last_round.is_none_or(|at| now.since(at) >= PAUSE_TIME);
        self.last_round = Some(now);
        if paused || !standing.connected {
            self.connected_since = None;
        }
        if standing.connected && self.connected_since.is_none() {
            self.connected_since = Some(now);
        }
    }

    fn is_connected_for(&self, time: Duration, now: Millis) -> bool {
        let running = self.last_round.is_some_and(|at| now.since(at) < PAUSE_TIME);
        running
            && self
                .connected_since
                .is_some_and(|since| now.since(since) >= time)
    }

    /// Grants targets to an instance, if this one is the hub of the zone.
    fn answer(
        &mut self,
        request: &WarmupRequest,
        standing: &ZoneStanding,
        cold: &[ColdTarget],
        now: Millis,
    ) -> Option<WarmupGrant> {
        if request.zone != standing.zone || standing.hub != standing.own {
            return None;
        }
        self.zone_size.record(request.zone_size, now);
        if !self.is_connected_for(REQUEST_DELAY, now) {
            return None;
        }
        let requester = Requester {
            address: request.from,
            incarnation: request.incarnation,
        };
        self.grantor.record_request(requester, now);
        if !self.is_connected_for(SETTLE_TIME, now) {
            return None;
        }
        let size = self.zone_size.largest();
        let targets = self.grantor.grant(requester, cold, size, self.bounds, now);
        Some(WarmupGrant {
            from: standing.own,
            to: request.incarnation,
            requested: request.sent,
            zone_size: self.zone_size.largest(),
            targets,
        })
    }

    /// Applies a grant, unless it is too old or not of the hub that this instance supports.
    fn apply(
        &mut self,
        grant: &WarmupGrant,
        standing: &ZoneStanding,
        cold: &[ColdTarget],
        now: Millis,
    ) {
        let supported = self.support.is_some_and(|s| s.hub == grant.from);
        let until = grant.requested + GRANT_TIME;
        if grant.to != standing.incarnation || !supported || now >= until || grant.requested > now {
            return;
        }
        self.zone_size.record(grant.zone_size, now);
        self.leases.retain(|_, lease| now < lease.until);
        let intervals: FastMap<Cookie, u32> = grant.targets.iter().copied().collect();
        for target in cold {
            let Some(interval) = intervals.get(&target.number.cookie()) else {
                continue;
            };
            let lease = Lease {
                until,
                interval: Duration::from_millis(u64::from(*interval)),
            };
            self.leases.insert(target.number, lease);
        }
    }
}
