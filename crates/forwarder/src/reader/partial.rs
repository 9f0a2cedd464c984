//! A reading of everything that takes several calls.

use tanager_core::{FastSet, Millis};
use tanager_forward::TargetNumber;
use tokio::task::JoinHandle;

use super::publications::target_of;
use crate::Result;
use crate::source::{Page, Reading};

/// A reading of everything that is not complete yet.
pub struct Partial {
    /// When its first calls were made.
    pub begun: Millis,
    /// The revision of the first page of targets.
    pub revision: Option<u64>,
    /// Pages of targets so far.
    pub pages: u32,
    /// Targets and unusable entries so far.
    pub items: usize,
    /// Targets that it has listed so far.
    pub listed: FastSet<TargetNumber>,
    /// Whether all targets were read.
    pub targets: bool,
    /// The routes, which are read on a connection of their own at the same time.
    pub routes: Option<JoinHandle<Result<Reading>>>,
}

impl Partial {
    /// Begins a reading.
    pub fn new(begun: Millis) -> Self {
        Self {
            begun,
            revision: None,
            pages: 0,
            items: 0,
            listed: FastSet::default(),
            targets: false,
            routes: None,
        }
    }

    /// Counts a page of targets.
    pub fn add(&mut self, page: &Page) {
        self.revision.get_or_insert(page.reading.revision);
        self.pages += 1;
        self.items += page.reading.items.len();
        let targets = page.reading.items.iter().filter_map(target_of);
        self.listed.extend(targets);
        self.targets = !page.more;
    }
}

impl Drop for Partial {
    fn drop(&mut self) {
        if let Some(routes) = &self.routes {
            routes.abort();
        }
    }
}
