use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use tanager_core::{Clock, FastMap, ServiceId, TargetId};
use tokio::task::JoinHandle;

use crate::Identity;
use crate::catalogue::{Catalogue, Target};
use crate::flow::ReturnPath;
use crate::peer::Network;
use crate::target::TargetLink;
use crate::target::connection::{Connector, keep_connected};
use crate::telemetry::Log;

/// The links to all targets of the catalogue in force.
pub struct TargetPool {
    links: ArcSwap<FastMap<TargetId, Arc<TargetLink>>>,
    tasks: Mutex<FastMap<TargetId, JoinHandle<()>>>,
    connector: Arc<Connector>,
    clock: Clock,
}

impl TargetPool {
    /// Creates a pool without links.
    #[must_use]
    pub fn new(
        identity: Identity,
        network: Arc<dyn Network>,
        return_path: Arc<ReturnPath>,
        clock: Clock,
        log: Log,
    ) -> Self {
        let connector = Arc::new(Connector {
            identity,
            network,
            return_path,
            log,
        });
        Self {
            links: ArcSwap::default(),
            tasks: Mutex::default(),
            connector,
            clock,
        }
    }

    /// Returns the link to a target.
    #[must_use]
    pub fn link(&self, id: TargetId) -> Option<Arc<TargetLink>> {
        self.links.load().get(&id).cloned()
    }

    /// Returns all links.
    #[must_use]
    pub fn links(&self) -> Vec<Arc<TargetLink>> {
        self.links.load().values().cloned().collect()
    }

    /// Opens links to new targets, closes those to removed ones, and replaces the link of a
    /// target whose address or incarnation changed.
    pub fn reconcile(&self, catalogue: &Catalogue) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        let old = self.links.load_full();
        let mut links = FastMap::default();
        for entry in catalogue.entries.values() {
            for target in &entry.targets {
                let kept = old
                    .get(&target.id)
                    .filter(|l| is_same(l, entry.service, target));
                let link = kept.cloned().unwrap_or_else(|| {
                    let link = TargetLink::new(target.clone(), entry.service, self.clock);
                    let link = Arc::new(link);
                    let task = keep_connected(Arc::clone(&link), Arc::clone(&self.connector));
                    if let Some(old) = tasks.insert(target.id, tokio::spawn(task)) {
                        old.abort();
                    }
                    link
                });
                links.insert(target.id, link);
            }
        }
        tasks.retain(|id, task| {
            let wanted = links.contains_key(id);
            if !wanted {
                task.abort();
            }
            wanted
        });
        close_replaced(&old, &links);
        self.links.store(Arc::new(links));
    }
}

/// Ends the runs of links that are no longer used; their task was aborted.
fn close_replaced(
    old: &FastMap<TargetId, Arc<TargetLink>>,
    links: &FastMap<TargetId, Arc<TargetLink>>,
) {
    for (id, link) in old {
        if !links.get(id).is_some_and(|new| Arc::ptr_eq(new, link)) {
            link.disconnected();
        }
    }
}

fn is_same(link: &TargetLink, service: ServiceId, target: &Target) -> bool {
    link.service == service
        && link.target.address == target.address
        && link.target.incarnation == target.incarnation
        && link.target.zone == target.zone
}
