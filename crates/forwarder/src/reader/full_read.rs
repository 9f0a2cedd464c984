//! State of a full read of the store, which takes several calls.

use tanager_core::{FastSet, Millis};
use tanager_forward::{StoreRevision, TargetNumber};
use tokio::task::JoinHandle;

use super::publications::target_of;
use crate::Result;
use crate::source::{Page, PublicationBatch};

/// An incomplete full read of targets and routes.
pub struct FullRead {
    /// When its first calls were made.
    pub started: Millis,
    /// The revision of the first page of targets.
    pub revision: Option<StoreRevision>,
    /// Number of pages of targets read so far.
    pub pages: u32,
    /// Number of targets and unusable entries read so far.
    pub items: usize,
    /// Targets listed by the pages read so far.
    pub listed: FastSet<TargetNumber>,
    /// Whether the last page of targets has been read.
    pub targets_done: bool,
    /// The task that reads routes and evacuations concurrently, on a connection of its own.
    pub routes: Option<JoinHandle<Result<PublicationBatch>>>,
}

impl FullRead {
    /// Creates a full read of which nothing has been read yet.
    pub fn new(started: Millis) -> Self {
        Self {
            started,
            revision: None,
            pages: 0,
            items: 0,
            listed: FastSet::default(),
            targets_done: false,
            routes: None,
        }
    }

    /// Records a page of targets.
    pub fn add(&mut self, page: &Page) {
        self.revision.get_or_insert(page.batch.revision);
        self.pages += 1;
        self.items += page.batch.items.len();
        let targets = page.batch.items.iter().filter_map(target_of);
        self.listed.extend(targets);
        self.targets_done = !page.more;
    }
}

impl Drop for FullRead {
    fn drop(&mut self) {
        if let Some(routes) = &self.routes {
            routes.abort();
        }
    }
}
