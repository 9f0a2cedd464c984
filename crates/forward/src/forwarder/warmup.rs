//! Openings to cold targets whose services publish a rate.

use std::net::SocketAddrV4;

use tanager_core::{Millis, PublishedService};

use super::Forwarder;
use crate::placement::cold::is_limited;
use crate::{
    ColdTarget, Cookie, DropReason, Event, Forward, ResetReason, TargetNumber, WarmupBounds,
    WarmupMessage, ZoneStanding,
};

impl Forwarder {
    /// Sets the bounds on the openings that a cold target with a rate receives.
    pub const fn set_warmup_bounds(&mut self, bounds: WarmupBounds) {
        self.warmup.set_bounds(bounds);
    }

    /// Renews the grants for cold targets; called in each round of beacons. Returns a request to be
    /// sent to the zone's hub.
    pub fn renew_grants(
        &mut self,
        standing: &ZoneStanding,
        now: Millis,
    ) -> Option<(SocketAddrV4, WarmupMessage)> {
        self.cold = self.find_cold_targets(now);
        let request = self.warmup.renew(standing, &self.cold, now);
        self.record_grants(now);
        request
    }

    /// Handles a message about grants for cold targets. Returns the answer, if there is one.
    pub fn handle_warmup(
        &mut self,
        message: &WarmupMessage,
        standing: &ZoneStanding,
        now: Millis,
    ) -> Option<(SocketAddrV4, WarmupMessage)> {
        let answer = self.warmup.handle(message, standing, &self.cold, now);
        self.record_grants(now);
        answer
    }

    /// Returns the cold targets of the local zone whose services publish a rate.
    fn find_cold_targets(&self, now: Millis) -> Vec<ColdTarget> {
        let routes = self.view.routes();
        if !routes.has_rates() {
            return Vec::new();
        }
        let limited = self.view.published().filter(|e| {
            e.target.zone == self.zone && e.accepts_flows() && is_limited(e, &self.view, now)
        });
        let mut cold: Vec<_> = limited
            .map(|e| ColdTarget {
                number: e.target.number,
                service: e.target.service.clone(),
                rate: routes.warmup_rate(&e.target.service),
            })
            .collect();
        cold.sort_unstable_by_key(|t| t.number);
        cold
    }

    /// Records when this instance starts or stops holding grants.
    fn record_grants(&mut self, now: Millis) {
        let cold = self.cold.len();
        let granted = self.warmup.granted(now);
        if (granted > 0) != self.holds_grants {
            self.holds_grants = granted > 0;
            self.record_event(Event::Grants { granted, cold });
        }
    }

    /// Returns why an opening is reset for which no target can be chosen.
    pub(super) fn no_target_reason(&self, service: &PublishedService, now: Millis) -> ResetReason {
        let withheld = self.view.published().any(|e| {
            e.target.service == *service
                && self.view.takes_flows(e)
                && is_limited(e, &self.view, now)
        });
        if withheld {
            ResetReason::ColdTargets
        } else {
            ResetReason::NoTarget
        }
    }

    /// Forwards an opening packet with a cookie, unless its target is cold and its rate does not
    /// permit it.
    pub(super) fn send_opening(
        &mut self,
        target: TargetNumber,
        cookie: Cookie,
        now: Millis,
    ) -> Result<Forward, DropReason> {
        let forward = self.forward_with(target, cookie)?;
        if self.consume_opening(target, now) {
            Ok(forward)
        } else {
            Err(DropReason::ColdTarget)
        }
    }

    /// Returns whether an opening may be sent to a target, and records that it is sent if the target
    /// is cold.
    pub(super) fn consume_opening(&mut self, target: TargetNumber, now: Millis) -> bool {
        let entry = self.view.get(target);
        if !entry.is_some_and(|e| is_limited(e, &self.view, now)) {
            return true;
        }
        let allowed = self.warmup.allows(target, now);
        if allowed {
            self.warmup.record_opening(target, now);
        }
        allowed
    }
}
