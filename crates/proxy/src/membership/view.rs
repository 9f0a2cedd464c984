use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use tanager_core::Revision;

use crate::membership::{InstanceList, ListedInstance};
use crate::{Identity, Result};

/// What this instance knows about the fleet.
#[derive(Debug)]
pub struct Membership {
    identity: Identity,
    list: ArcSwap<InstanceList>,
    leaving: AtomicBool,
}

impl Membership {
    /// Creates a view that knows only this instance.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        let list = InstanceList {
            revision: Revision::new(0),
            instances: Vec::new(),
        };
        Self {
            identity,
            list: ArcSwap::from_pointee(list),
            leaving: AtomicBool::new(false),
        }
    }

    /// Returns who this instance is.
    #[must_use]
    pub const fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Takes over a published list if it is newer, and returns the revision now known.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Document`] if the list is not valid; the old one stays.
    pub fn offer_list(&self, text: &str) -> Result<Revision> {
        let offered = InstanceList::read(text)?;
        if offered.revision > self.list.load().revision {
            self.list.store(Arc::new(offered));
        }
        Ok(self.list.load().revision)
    }

    /// Returns the published list.
    #[must_use]
    pub fn list(&self) -> Arc<InstanceList> {
        self.list.load_full()
    }

    /// Returns how many instances share the limits; at least 1.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.list.load().instances.len().max(1)
    }

    /// Returns the other instances of the list.
    #[must_use]
    pub fn others(&self) -> Vec<ListedInstance> {
        let own: SocketAddr = self.identity.address;
        let list = self.list.load();
        list.instances
            .iter()
            .filter(|i| i.address != own)
            .cloned()
            .collect()
    }

    /// Returns whether this instance is stopping.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks this instance as stopping. It never takes new work again.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }
}
