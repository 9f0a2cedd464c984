//! The load that instances report for themselves, and hubs for their zones.

use tanager_core::{FastMap, Millis};

use super::{MEMBER_LIFETIME, Member, Membership, Role};
use crate::{Cookie, LoadReport, TargetLoad};

/// Loads of one beacon at most, so that it fits into one packet; in larger fleets failing targets
/// and the busiest are reported.
const LOAD_LIMIT: usize = 95;

impl Membership {
    /// Returns the load that a hub speaks for: its zone's, for its zone also the other zones'.
    pub(super) fn summed(
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
        let mut loads: Vec<_> = reports.collect();
        if loads.len() > LOAD_LIMIT {
            loads.sort_unstable_by_key(|l| std::cmp::Reverse(l.priority()));
            loads.truncate(LOAD_LIMIT);
        }
        loads
    }

    /// Adds up what members reported for themselves or their zone.
    fn sum(&self, now: Millis, counts: impl Fn(&Member) -> bool) -> LoadSums {
        let mut sums = LoadSums::default();
        for member in self.members.values().filter(|m| counts(m)) {
            let Some(direct) = &member.direct else {
                continue;
            };
            // A second hub of the own zone speaks for the same instances again.
            let speaks_twice = direct.hub && member.zone == self.own.zone;
            if !speaks_twice && now.since(direct.last_seen) <= MEMBER_LIFETIME {
                add(&mut sums, &direct.loads, 1.0);
            }
        }
        sums
    }

    /// Returns the load of all instances but this one, as far as it was reported lately.
    #[must_use]
    pub fn peer_loads(&self, role: Role, now: Millis) -> LoadSums {
        if role == Role::Hub {
            return self.sum(now, |_| true);
        }
        let mut sums = LoadSums::default();
        let own = self.members.values().filter(|m| m.zone == self.own.zone);
        let hubs = own.filter_map(|m| m.direct.as_ref()).filter(|d| d.hub);
        if let Some(hub) = hubs.max_by_key(|d| d.last_seen) {
            add(&mut sums, &hub.loads, 1.0);
            add(&mut sums, &self.reported, -1.0);
        }
        sums
    }
}

/// What instances together have at each target.
pub type LoadSums = FastMap<Cookie, TargetLoad>;

/// Adds reports to sums, or takes them away.
fn add(sums: &mut LoadSums, reports: &[LoadReport], sign: f64) {
    for report in reports {
        let sum = sums.entry(report.cookie).or_default();
        sum.add(&report.load(), sign);
    }
}
