//! The border to whatever publishes targets and routes.

use std::net::SocketAddrV4;
use std::time::Duration;

use tanager_forward::{Change, RouteTable, TargetNumber};

use crate::Result;

/// One published fact.
#[derive(Debug)]
pub enum Publication {
    /// A target was published, changed or removed.
    Target(Change),
    /// A configuration was published.
    Routes(RouteTable),
    /// Something that cannot be used. If it was a target's entry, it names no target any more.
    Unusable {
        /// The key under which it is published.
        key: String,
        /// The revision at which it was published.
        revision: u64,
        /// The target that the key names, if it names one.
        target: Option<TargetNumber>,
        /// Why it cannot be used.
        reason: String,
    },
}

/// Published facts with the revision up to which they are complete.
#[derive(Debug, Default)]
pub struct Reading {
    /// What was read.
    pub items: Vec<Publication>,
    /// All changes up to this revision are in `items`.
    pub revision: u64,
}

/// A part of all published targets.
#[derive(Debug)]
pub struct Page {
    /// What it contains, as of its revision.
    pub reading: Reading,
    /// Whether more pages follow.
    pub more: bool,
}

/// Reads what is published. Calls have limits of their own; a failed one may be made again.
pub trait Source {
    /// Creates a client for an address.
    fn connect(address: SocketAddrV4) -> Self;

    /// Returns the address that is read.
    fn address(&self) -> SocketAddrV4;

    /// Reads the next page of the published targets. After the last page it begins anew.
    fn read_page(&mut self) -> impl Future<Output = Result<Page>>;

    /// Reads the published routes.
    fn read_routes(&mut self) -> impl Future<Output = Result<Reading>>;

    /// Begins anew with the first page.
    fn rewind(&mut self);

    /// Returns the changes after a revision, waiting up to `wait` for one.
    fn watch(&mut self, after: u64, wait: Duration) -> impl Future<Output = Result<Reading>>;

    /// Returns the number of calls since the last time.
    fn take_calls(&mut self) -> u64;
}
