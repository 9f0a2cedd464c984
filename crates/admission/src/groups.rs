//! Rates at which classes are served, and fair shares of the groups in each class.
//!
//! Without shares, a route at many times its usual rate would take most of its class's capacity from
//! another route that demands no more than before.

use std::collections::BTreeMap;
use std::time::Duration;

use tanager_core::Millis;

use crate::demand::{Class, Demand};
use crate::{FairShares, GroupId, RateMeter};

/// Time over which rates are averaged. Long enough for some requests of a small instance, which
/// serves some 20 a second.
const WINDOW: Duration = Duration::from_millis(500);
/// Interval between two calculations of the shares of a class.
const SHARE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a group may save up its share.
const BURST_TIME: Duration = Duration::from_millis(200);
/// Factor by which a group may exceed its present demand within its share. A share of no more than the
/// demand would be exceeded by chance half of the time.
const HEADROOM: f64 = 1.3;
/// Maximum number of groups in a class. Further ones count as within their share.
const GROUP_LIMIT: usize = 64;
/// Maximum number of classes. The rates of further ones are not measured.
const CLASS_LIMIT: usize = 16;
/// Work per second below which a group is forgotten.
const IDLE_RATE: f64 = 1e-4;

/// Work offered by one group of a class.
#[derive(Debug, Clone)]
struct Group {
    offered: RateMeter,
    /// Work per second; `None` until it is calculated for the first time.
    share: Option<f64>,
    /// Work that the group may still demand within its share.
    tokens: f64,
    refilled: Millis,
}

impl Group {
    fn new(now: Millis) -> Self {
        Self {
            offered: RateMeter::new(WINDOW),
            share: None,
            tokens: 0.0,
            refilled: now,
        }
    }

    /// Uses up a part of the share. Returns whether the share covers the work.
    fn consume(&mut self, work: f64, now: Millis) -> bool {
        let Some(share) = self.share else {
            return true;
        };
        let limit = (share * BURST_TIME.as_secs_f64()).max(work);
        let gained = share * now.since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.tokens = (self.tokens + gained).min(limit);
        let covered = self.tokens >= work;
        if covered {
            self.tokens -= work;
        }
        covered
    }
}

#[derive(Debug, Clone)]
struct ClassLoad {
    served: RateMeter,
    /// Invariant: at most [`GROUP_LIMIT`] groups.
    groups: BTreeMap<GroupId, Group>,
    shared: Millis,
}

impl ClassLoad {
    fn new() -> Self {
        Self {
            served: RateMeter::new(WINDOW),
            groups: BTreeMap::new(),
            shared: Millis::default(),
        }
    }

    fn update_shares(&mut self, now: Millis) {
        if now.since(self.shared) < SHARE_INTERVAL {
            return;
        }
        self.shared = now;
        self.groups
            .retain(|_, g| g.offered.per_second(now) > IDLE_RATE);
        let demand = |(id, g): (&GroupId, &Group)| (*id, g.offered.per_second(now) * HEADROOM);
        let demands = self.groups.iter().map(demand);
        let shares = FairShares::new(self.served.per_second(now), demands);
        for (id, group) in &mut self.groups {
            group.share = Some(shares.share(*id));
        }
    }
}

/// What each class and group has demanded and received recently.
#[derive(Debug, Default)]
pub struct ClassLoads {
    /// Invariant: at most [`CLASS_LIMIT`] classes.
    classes: BTreeMap<Class, ClassLoad>,
}

impl ClassLoads {
    /// Records that a request was offered. Returns whether it exceeds the share of its group.
    pub fn offer(&mut self, demand: &Demand, now: Millis) -> bool {
        let Some(class) = self.class(demand.class()) else {
            return false;
        };
        class.update_shares(now);
        let full = class.groups.len() >= GROUP_LIMIT;
        if full && !class.groups.contains_key(&demand.group) {
            return false;
        }
        let groups = &mut class.groups;
        let group = groups
            .entry(demand.group)
            .or_insert_with(|| Group::new(now));
        group.offered.add(demand.weight(), now);
        let covered = group.consume(demand.weight(), now);
        !covered && class.groups.len() > 1
    }

    /// Records that a request is served.
    pub fn serve(&mut self, demand: &Demand, now: Millis) {
        if let Some(class) = self.class(demand.class()) {
            class.served.add(demand.weight(), now);
        }
    }

    /// Returns the work per second that was left for a class by more urgent ones.
    pub fn rate_for(&self, class: Class, now: Millis) -> f64 {
        let classes = self.classes.range(class..);
        classes.map(|(_, c)| c.served.per_second(now)).sum()
    }

    fn class(&mut self, class: Class) -> Option<&mut ClassLoad> {
        if self.classes.len() >= CLASS_LIMIT && !self.classes.contains_key(&class) {
            return None;
        }
        Some(self.classes.entry(class).or_insert_with(ClassLoad::new))
    }
}
