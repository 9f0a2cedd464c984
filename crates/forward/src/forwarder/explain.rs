//! Explains what would happen to a new request, without changing anything.

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tanager_core::Millis;

use super::{Forwarder, route_of};
use crate::{Candidate, Explanation, FlowKey, ResetReason};

/// Maximum number of targets that an explanation lists.
const CANDIDATE_LIMIT: usize = 64;

impl Forwarder {
    /// Returns what would happen now to the opening of a flow. The sample of targets is drawn with a
    /// generator of its own, so that the next decision is the same as without this call.
    #[must_use]
    pub fn explain(&self, flow: &FlowKey, now: Millis) -> Explanation {
        let mut explanation = Explanation {
            flow: flow.to_string(),
            route: None,
            service: None,
            targets: 0,
            candidates: Vec::new(),
            chosen: None,
            admitted: false,
            refusal: None,
        };
        let Some((route, service)) = route_of(&self.view, flow) else {
            explanation.refusal = Some(ResetReason::NoRoute.to_string());
            return explanation;
        };
        explanation.route = Some(route.name.clone());
        explanation.service = Some(service.to_string());
        let seed = u64::from(flow.distribution_hash()) ^ now.get();
        let mut rng = StdRng::seed_from_u64(seed);
        let explained = self
            .placement
            .explain(&self.observations(now), service, &mut rng);
        explanation.targets = explained.candidates.len();
        explanation.candidates = sorted(explained.candidates);
        explanation.candidates.truncate(CANDIDATE_LIMIT);
        let choice = explained.choice;
        let refusal = match choice {
            None => Some(self.no_target_reason(service, now)),
            Some(choice) => self
                .would_shed(flow, choice.target, None, now)
                .then_some(ResetReason::Overloaded),
        };
        explanation.chosen = choice.map(|c| c.target.to_string());
        explanation.admitted = refusal.is_none();
        explanation.refusal = refusal.map(|r| r.to_string());
        explanation
    }
}

/// Sorts the targets of a service: compared ones, excluded ones, and others, each by load.
fn sorted(mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    candidates.sort_by(|a, b| {
        let rank = |c: &Candidate| (!c.compared, c.excluded.is_none());
        let ranks = rank(a).cmp(&rank(b));
        ranks.then(a.load.total_cmp(&b.load))
    });
    candidates
}
