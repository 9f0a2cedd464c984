//! The load that instances report for themselves, and hubs for their zones.

use tanager_core::{FastMap, Millis};

use super::{MEMBER_LIFETIME, Member, Membership, Role};
use crate::{Cookie, LoadReport};

/// Loads of one beacon at most; in larger fleets the busiest targets are reported.
const LOAD_LIMIT: usize = 128;

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
        let report = |(cookie, (busy, flows)): (Cookie, (f64, f64))| {
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a sum of counts"
            )]
            LoadReport::new(cookie, busy, flows.max(0.0) as u32)
        };
        let mut loads: Vec<_> = sums.into_iter().map(report).collect();
        if loads.len() > LOAD_LIMIT {
            loads.sort_unstable_by(|a, b| b.busy().total_cmp(&a.busy()));
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
            if !speaks_twice && now.since(direct.heard) <= MEMBER_LIFETIME {
                add(&mut sums, &direct.loads, 1.0);
            }
        }
        sums
    }

    /// Returns the load of all instances but this one, as far as it was reported lately.
    #[must_use]
    pub fn loads_of_others(&self, role: Role, now: Millis) -> LoadSums {
        if role == Role::Hub {
            return self.sum(now, |_| true);
        }
        let mut sums = LoadSums::default();
        let own = self.members.values().filter(|m| m.zone == self.own.zone);
        let hubs = own.filter_map(|m| m.direct.as_ref()).filter(|d| d.hub);
        if let Some(hub) = hubs.max_by_key(|d| d.heard) {
            add(&mut sums, &hub.loads, 1.0);
            add(&mut sums, &self.reported, -1.0);
        }
        sums
    }
}

/// Running requests and flows by target.
pub type LoadSums = FastMap<Cookie, (f64, f64)>;

fn add(sums: &mut LoadSums, loads: &[LoadReport], factor: f64) {
    for load in loads {
        let sum = sums.entry(load.cookie).or_default();
        sum.0 = (sum.0 + load.busy() * factor).max(0.0);
        sum.1 = (sum.1 + f64::from(load.flows()) * factor).max(0.0);
    }
}
