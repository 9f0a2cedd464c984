//! Explains a choice without making it.

use rand::rngs::StdRng;
use tanager_core::PublishedService;

use super::candidates::Candidates;
use super::{Choice, Examined, Observations, Placement, sample};
use crate::placement::cold::is_limited;
use crate::view::TargetEntry;
use crate::{Candidate, Exclusion, TargetNumber};

/// A choice and the targets that it could be made from.
pub struct ExplainedChoice {
    /// The choice, if there is one.
    pub choice: Option<Choice>,
    /// All published targets of the service, in no particular order.
    pub candidates: Vec<Candidate>,
}

impl Placement {
    /// Returns the choice that would be made now for a new flow. The generator must not be
    /// the one of the instance. The index of targets is built anew, so that nothing changes.
    pub fn explain(
        &self,
        seen: &Observations<'_>,
        service: &PublishedService,
        rng: &mut StdRng,
    ) -> ExplainedChoice {
        let mut index = Candidates::default();
        index.refresh(seen.view, seen.now);
        let mut examined = Examined {
            count: 0,
            compared: Some(Vec::new()),
        };
        let decision = self.decide(&index, seen, service, &[], rng, &mut examined);
        let compared = examined.compared.unwrap_or_default();
        let published = seen.view.published();
        let entries: Vec<_> = published.filter(|e| e.target.service == *service).collect();
        let mean_flows = sample::mean_flows(seen, &entries);
        let describe = |e: &&TargetEntry| self.describe(seen, e, mean_flows, &compared);
        ExplainedChoice {
            choice: decision.map(|(choice, _)| choice),
            candidates: entries.iter().map(describe).collect(),
        }
    }

    fn describe(
        &self,
        seen: &Observations<'_>,
        entry: &TargetEntry,
        mean_flows: f64,
        compared: &[TargetNumber],
    ) -> Candidate {
        let number = entry.target.number;
        Candidate {
            target: number.to_string(),
            zone: entry.target.zone.to_string(),
            speed: self.speeds.get(number),
            load: sample::load(seen, entry, mean_flows),
            wait_ms: self.expected_wait(seen, entry) * 1_000.0,
            liveness: seen.liveness_of(entry).to_string(),
            failing: seen.is_failing(number),
            refusing: seen.is_refusing(number),
            compared: compared.contains(&number),
            excluded: seen.exclusion(entry),
        }
    }

    /// Returns the expected wait for a free slot in seconds, by the requests of all instances.
    fn expected_wait(&self, seen: &Observations<'_>, entry: &TargetEntry) -> f64 {
        let target = &entry.target;
        let slots = f64::from(target.slots);
        let running = self.usage(seen, target.number).running * slots;
        let time = self.speeds.request_time(&target.service, target.number) / slots;
        (running + 1.0 - slots).max(0.0) * time
    }
}

impl Observations<'_> {
    /// Returns why a target cannot be chosen at all.
    fn exclusion(&self, entry: &TargetEntry) -> Option<Exclusion> {
        let target = &entry.target;
        if !entry.accepts_flows() {
            return Some(Exclusion::Draining);
        }
        if self.view.evacuation(&target.zone).is_some() {
            return Some(Exclusion::Evacuated);
        }
        let limited = is_limited(entry, self.view, self.now);
        let withheld = limited && !self.warmup.allows(target.number, self.now);
        withheld.then_some(Exclusion::Cold)
    }
}
