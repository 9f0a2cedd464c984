//! Sums of the loads that leaves report for themselves and hubs for their zones.

use tanager_core::{FastMap, Millis};

use super::{MEMBER_TIMEOUT, Member, Membership, Role};
use crate::{Cookie, LoadReport, TargetLoad};

impl Membership {
    /// Returns the load that a hub reports: that of its own zone, or of all zones if the receiver
    /// is in its zone.
    pub(super) fn hub_loads(
        &self,
        own_loads: &[LoadReport],
        all_zones: bool,
        now: Millis,
    ) -> Vec<LoadReport> {
        let mut sums = self.sum(now, |m| all_zones || m.zone == self.own.zone);
        add(&mut sums, own_loads, 1.0);
        let reports = sums
            .iter()
            .filter_map(|(c, load)| LoadReport::new(*c, load));
        reports.collect()
    }

    /// Sums the loads that the members selected by `counts` reported for themselves or their zone.
    fn sum(&self, now: Millis, counts: impl Fn(&Member) -> bool) -> LoadSums {
        let mut sums = LoadSums::default();
        for member in self.members.values().filter(|m| counts(m)) {
            let Some(direct) = &member.direct else {
                continue;
            };
            // A second hub of the local zone reports the load of the same instances again.
            let is_duplicate = direct.hub && member.zone == self.own.zone;
            if !is_duplicate && now.since(direct.last_seen) <= MEMBER_TIMEOUT {
                add(&mut sums, direct.loads.iter().map(|h| &h.report), 1.0);
            }
        }
        sums
    }

    /// Returns the recently reported load of all instances except this one.
    #[must_use]
    pub fn peer_loads(&self, role: Role, now: Millis) -> LoadSums {
        if role == Role::Hub {
            return self.sum(now, |_| true);
        }
        let mut sums = LoadSums::default();
        let own = self.members.values().filter(|m| m.zone == self.own.zone);
        let hubs = own.filter_map(|m| m.direct.as_ref()).filter(|d| d.hub);
        if let Some(hub) = hubs.max_by_key(|d| d.last_seen) {
            add(&mut sums, hub.loads.iter().map(|h| &h.report), 1.0);
            add(
                &mut sums,
                hub.loads.iter().filter_map(|h| h.own.as_ref()),
                -1.0,
            );
        }
        sums
    }
}

/// Total load of several instances on each target.
pub type LoadSums = FastMap<Cookie, TargetLoad>;

/// Adds reports to sums, or subtracts them if `sign` is negative.
fn add<'r>(sums: &mut LoadSums, reports: impl IntoIterator<Item = &'r LoadReport>, sign: f64) {
    for report in reports {
        let sum = sums.entry(report.cookie).or_default();
        sum.add(&report.load(), sign);
    }
}
