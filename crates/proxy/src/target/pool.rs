//! The links to all targets of the catalogue in force.

use std::sync::Arc;

use arc_swap::ArcSwap;
use tanager_core::{Clock, FastMap, ServiceId, TargetId};

use crate::Identity;
use crate::catalogue::{Catalogue, Target};
use crate::flow::ReturnPath;
use crate::peer::Network;
use crate::target::TargetLink;
use crate::target::ping::PingBudget;
use crate::target::session::Sessions;
use crate::telemetry::{Counters, Log};

/// The links to all targets of the catalogue in force.
pub struct TargetPool {
    links: ArcSwap<FastMap<TargetId, Arc<TargetLink>>>,
    sessions: Arc<Sessions>,
}

impl TargetPool {
    /// Creates a pool without links.
    #[must_use]
    pub fn new(
        identity: Identity,
        network: Arc<dyn Network>,
        return_path: Arc<ReturnPath>,
        counters: Arc<Counters>,
        clock: Clock,
        log: Log,
    ) -> Self {
        let sessions = Arc::new(Sessions {
            identity,
            network,
            return_path,
            counters,
            budget: PingBudget::new(clock.now()),
            clock,
            log,
        });
        Self {
            links: ArcSwap::default(),
            sessions,
        }
    }

    /// Returns the link to a target of the catalogue in force.
    #[must_use]
    pub fn link(&self, target: TargetId) -> Option<Arc<TargetLink>> {
        self.links.load().get(&target).cloned()
    }

    /// Returns all links.
    #[must_use]
    pub fn links(&self) -> Vec<Arc<TargetLink>> {
        self.links.load().values().cloned().collect()
    }

    /// Adapts the links to a catalogue. Must be called by one task only.
    ///
    /// A link stays if service, address and incarnation are unchanged; a change of state or limits
    /// does not break it. Links with an identity mismatch try again.
    pub fn reconcile(&self, catalogue: &Catalogue) {
        let old = self.links.load_full();
        let mut links = FastMap::default();
        for entry in catalogue.entries.values() {
            for target in &entry.targets {
                let kept = old.get(&target.id);
                let kept = kept.filter(|l| l.matches(target, entry.service));
                let link = match kept {
                    Some(link) if link.target == *target => Arc::clone(link),
                    Some(link) => Arc::new(link.relist(target.clone())),
                    None => self.start(target, entry.service),
                };
                // Also kept for a task that is still finding the mismatch out.
                link.state().retry.notify_one();
                links.insert(target.id, link);
            }
        }
        self.links.store(Arc::new(links));
        let links = self.links.load();
        for (id, link) in old.iter() {
            let kept = links.get(id);
            if !kept.is_some_and(|k| Arc::ptr_eq(k.state(), link.state())) {
                link.state().stop.cancel();
            }
        }
    }
}

impl TargetPool {
    fn start(&self, target: &Target, service: ServiceId) -> Arc<TargetLink> {
        let link = TargetLink::new(target.clone(), service, self.sessions.clock);
        let link = Arc::new(link);
        tokio::spawn(Arc::clone(&self.sessions).keep(Arc::clone(&link)));
        link
    }
}

impl Drop for TargetPool {
    fn drop(&mut self) {
        for link in self.links.load().values() {
            link.state().stop.cancel();
        }
    }
}
