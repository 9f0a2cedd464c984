//! The order in which an instance gives equally loaded targets their flows, by start-time fair
//! queueing: each flow moves its target back by the work of a request divided by the target's speed
//! and slots. Targets then get shares in proportion to their speed. A target that was passed over,
//! as after a failure, has no claim to the flows that it missed.

use tanager_core::{FastMap, PublishedService};

use crate::TargetNumber;

/// Turns of the targets of all services.
#[derive(Debug, Default)]
pub struct Turns {
    /// Turn of the last flow of each service.
    services: FastMap<PublishedService, f64>,
    /// Next turn of each target.
    targets: FastMap<TargetNumber, f64>,
}

impl Turns {
    /// Returns the turn of the last flow of a service.
    pub fn current(&self, service: &PublishedService) -> f64 {
        self.services.get(service).copied().unwrap_or(0.0)
    }

    /// Returns by how much a target's next turn is after `current`.
    pub fn delay(&self, target: TargetNumber, current: f64) -> f64 {
        let turn = self.targets.get(&target);
        turn.map_or(0.0, |turn| (turn - current).max(0.0))
    }

    /// Records that a target got a flow whose cost is `cost`.
    pub fn take(&mut self, service: &PublishedService, target: TargetNumber, cost: f64) {
        let current = self.current(service);
        let turn = current + self.delay(target, current);
        self.targets.insert(target, turn + cost);
        match self.services.get_mut(service) {
            Some(last) => *last = turn,
            None => {
                self.services.insert(service.clone(), turn);
            }
        }
    }

    /// Removes all targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(TargetNumber) -> bool) {
        self.targets.retain(|target, _| keep(*target));
    }
}
