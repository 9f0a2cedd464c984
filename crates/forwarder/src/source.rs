//! Interface to the store that publishes targets, evacuations and routes.

use std::net::SocketAddrV4;
use std::time::Duration;

use tanager_forward::{Change, EvacuationChange, RouteTable, StoreRevision, TargetNumber};

use crate::Result;

/// One item that the store publishes.
#[derive(Debug)]
pub enum Publication {
    /// A target was published, changed or removed.
    Target(Change),
    /// The evacuation of a zone was published or removed.
    Evacuation(EvacuationChange),
    /// Routes were published.
    Routes {
        /// The routes.
        routes: RouteTable,
        /// Why other routes of the configuration cannot be used, one text each.
        skipped: Vec<String>,
        /// Why services of the configuration cannot be read, one text each. Their rates in force
        /// stay.
        unread_services: Vec<String>,
    },
    /// An item that cannot be used. If it is a target's entry, the target counts as removed.
    Unusable {
        /// Its key in the store.
        key: String,
        /// The revision at which it was published.
        revision: StoreRevision,
        /// The target, if it is a target's entry.
        target: Option<TargetNumber>,
        /// Why it cannot be used.
        reason: String,
    },
}

/// Result of one read of the store: publications, and the revision up to which they are complete.
#[derive(Debug, Default)]
pub struct PublicationBatch {
    /// The publications.
    pub items: Vec<Publication>,
    /// All changes up to this revision are in `items`, and all of its epoch.
    pub revision: StoreRevision,
}

/// One page of the published targets.
#[derive(Debug)]
pub struct Page {
    /// Its targets, as of the revision of the batch.
    pub batch: PublicationBatch,
    /// Whether more pages follow.
    pub more: bool,
}

/// Client of the store. Each call has a time limit of its own and may be retried.
pub trait Source {
    /// Creates a client for the store at an address.
    fn connect(address: SocketAddrV4) -> Self;

    /// Returns the store's address.
    fn address(&self) -> SocketAddrV4;

    /// Reads the next page of the published targets. After the last page, it starts again with the
    /// first one.
    fn read_page(&mut self) -> impl Future<Output = Result<Page>>;

    /// Reads the published routes and all evacuations.
    fn read_routes(&mut self) -> impl Future<Output = Result<PublicationBatch>>;

    /// Makes the next [`Self::read_page`] return the first page.
    fn rewind(&mut self);

    /// Returns the changes after a revision. If there are none, waits for one for up to `wait`. Fails
    /// with [`crate::Error::HistoryReplaced`] if the store has another epoch.
    fn watch(
        &mut self,
        after: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<PublicationBatch>>;

    /// Returns the number of calls to the store since the last call of this method.
    fn take_calls(&mut self) -> u64;
}
