use std::sync::Arc;

use rand::seq::IteratorRandom as _;
use tanager_core::{ResultCode, ServiceId, TargetId};

use crate::catalogue::{CatalogueStore, TargetState};
use crate::target::{TargetLink, TargetPool};

/// Random candidates that are compared for one choice.
const CANDIDATES: usize = 2;

/// What is to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// A feed, compared by open feeds.
    Flow,
    /// A request, compared by running and queued requests.
    Request,
}

/// What happened to work at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// It was done in the given time.
    Done(std::time::Duration),
    /// It was shed before it started.
    Shed,
    /// It failed or was lost.
    Failed,
}

/// A chosen target.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The link to the target.
    pub link: Arc<TargetLink>,
    /// The values compared, for the decision log.
    pub inputs: String,
    /// Why this one, for the decision log.
    pub reason: &'static str,
}

/// Chooses targets.
pub struct Router {
    catalogue: Arc<CatalogueStore>,
    targets: Arc<TargetPool>,
}

impl Router {
    /// Creates a router.
    #[must_use]
    pub const fn new(catalogue: Arc<CatalogueStore>, targets: Arc<TargetPool>) -> Self {
        Self { catalogue, targets }
    }

    /// Chooses a target of the service that is not excluded.
    ///
    /// # Errors
    ///
    /// Returns a code if the service is unknown or has no usable target.
    pub fn choose(
        &self,
        service: ServiceId,
        placement: Placement,
        excluded: &[TargetId],
    ) -> Result<Choice, ResultCode> {
        let catalogue = self.catalogue.current();
        let entry = catalogue.entry(service).ok_or(ResultCode::ServiceUnknown)?;
        let usable = entry
            .targets
            .iter()
            .filter(|t| t.state == TargetState::Active && !excluded.contains(&t.id))
            .filter_map(|t| self.targets.link(t.id))
            .filter(|l| l.is_ready() && !l.load().load.leaving);
        let candidates = usable.sample(&mut rand::rng(), CANDIDATES);
        let inputs = describe(&candidates, placement);
        let best = candidates.into_iter().min_by_key(|l| load_of(l, placement));
        let link = best.ok_or(match placement {
            Placement::Flow => ResultCode::FlowNoTarget,
            Placement::Request => ResultCode::RequestNoTarget,
        })?;
        Ok(Choice {
            link,
            inputs,
            reason: "least loaded of the sampled targets",
        })
    }

    /// Learns from the end of work at a target.
    pub fn observe(&self, _link: &TargetLink, _observation: Observation) {}

    /// Returns whether the target takes no new work.
    #[must_use]
    pub fn is_leaving(&self, link: &TargetLink) -> bool {
        let catalogue = self.catalogue.current();
        let listed = catalogue
            .target(link.target.id)
            .map(|(_, target)| target.state);
        listed != Some(TargetState::Active) || link.load().load.leaving
    }
}

fn load_of(link: &TargetLink, placement: Placement) -> u32 {
    let view = link.load();
    match placement {
        Placement::Flow => view.load.flows + view.opened,
        Placement::Request => link.inflight().max(view.load.running + view.load.queued),
    }
}

fn describe(candidates: &[Arc<TargetLink>], placement: Placement) -> String {
    let part = |l: &Arc<TargetLink>| format!("{}={}", l.target.name, load_of(l, placement));
    candidates.iter().map(part).collect::<Vec<_>>().join(" ")
}
