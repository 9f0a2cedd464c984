use std::sync::Arc;

use arc_swap::ArcSwap;
use tanager_core::{Clock, FastMap, TargetId};

use crate::Identity;
use crate::catalogue::Catalogue;
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
                let kept = old.get(&target.id).filter(|l| {
                    l.service == entry.service
                        && l.target.address == target.address
                        && l.target.incarnation == target.incarnation
                });
                let link = kept.cloned().unwrap_or_else(|| {
                    let clock = self.sessions.clock;
                    let link = Arc::new(TargetLink::new(target.clone(), entry.service, clock));
                    tokio::spawn(Arc::clone(&self.sessions).keep(Arc::clone(&link)));
                    link
                });
                // Also kept for a task that is still finding the mismatch out.
                link.retry.notify_one();
                links.insert(target.id, link);
            }
        }
        self.links.store(Arc::new(links));
        let links = self.links.load();
        for (id, link) in old.iter() {
            if !links.get(id).is_some_and(|kept| Arc::ptr_eq(kept, link)) {
                link.stop.cancel();
            }
        }
    }
}

impl Drop for TargetPool {
    fn drop(&mut self) {
        for link in self.links.load().values() {
            link.stop.cancel();
        }
    }
}
