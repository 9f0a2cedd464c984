//! Reads the store while this instance is its zone's hub.

mod full_read;
mod publications;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt as _;
use slog::{info, warn};
use tanager_forward::{Role, StoreRevision};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::instance::Instance;
use crate::report::millis;
use crate::source::{Page, PublicationBatch, Source};
use crate::{Error, Result};
use full_read::FullRead;
use publications::{Origin, apply_listed_evacuations, apply_publications};

/// Time for which a watch waits for a change. It bounds the time until an unresponsive connection
/// is detected.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Pause after changes, so that further changes in quick succession are read with one call.
const CHANGE_PAUSE: Duration = Duration::from_millis(200);
/// Pause after the first failed call. It doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Longest pause after failed calls, before the random part.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);
/// How often an instance that is not a hub checks its role.
const ROLE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of pages that an instance reads before it waits for a peer's view.
const PAGES_BEFORE_WAIT: u32 = 8;
/// Time for which an instance waits for a peer to finish its full read and send the view.
const PEER_VIEW_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often a waiting instance checks whether the peer's view has arrived.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Pause between calls of a leaf whose last call failed.
const PROBE_PAUSE: Duration = Duration::from_secs(3);

/// Reads the store until the process ends.
pub async fn run<S: Source + 'static>(instance: Rc<Instance>) {
    let mut reader = Reader::<S>::new(instance);
    loop {
        reader.apply_settings();
        if reader.update_role() == Role::Leaf && !reader.wait_as_leaf().await {
            continue;
        }
        let outcome = reader.read().await;
        reader.handle_outcome(outcome).await;
    }
}

/// Reads the store for one instance.
pub struct Reader<S> {
    instance: Rc<Instance>,
    store: S,
    /// Whether a full read is needed although there is a view: the store no longer has all
    /// changes since the view's revision.
    full_read_needed: bool,
    /// The full read in progress.
    full_read: Option<FullRead>,
    /// Number of consecutive failed calls.
    failures: u32,
    /// The role when it was last determined.
    role: Role,
}

impl<S: Source + 'static> Reader<S> {
    /// Creates a reader. Nothing is read yet.
    pub fn new(instance: Rc<Instance>) -> Self {
        Self {
            store: S::connect(instance.store.get()),
            full_read_needed: false,
            full_read: None,
            failures: 0,
            role: Role::Leaf,
            instance,
        }
    }

    /// Connects to the store's current address, if the settings have changed it.
    fn apply_settings(&mut self) {
        let address = self.instance.store.get();
        if address != self.store.address() {
            self.full_read = None;
            self.store = S::connect(address);
        }
    }

    /// Determines the role of the instance, and logs a change.
    fn update_role(&mut self) -> Role {
        let role = self.instance.role();
        if std::mem::replace(&mut self.role, role) != role {
            let age = self
                .instance
                .forwarder
                .borrow()
                .view_age(self.instance.now());
            info!(self.instance.reporter.log, "[store] reading for the zone";
                "reads" => role == Role::Hub, "view_age_ms" => age.map(millis));
        }
        role
    }

    /// Pauses while the zone's hub reads the store. Returns whether this instance has to call the
    /// store too: after a failed call, to find out whether the store answers again.
    async fn wait_as_leaf(&self) -> bool {
        if self.failures == 0 {
            sleep(ROLE_INTERVAL).await;
            return false;
        }
        sleep(PROBE_PAUSE).await;
        true
    }

    /// Reads the changes since the view's revision, or everything if there is no view, the store no
    /// longer has these changes, or entries of an earlier epoch have to be confirmed. Returns
    /// whether anything changed.
    pub async fn read(&mut self) -> Result<bool> {
        let revision = self.revision();
        let unsettled = self.instance.is_settle_due();
        if self.full_read_needed || revision.is_none() || unsettled {
            return self.read_all().await;
        }
        self.discard_full_read();
        let started = self.instance.now();
        let batch = self.store.watch(revision, WATCH_WAIT).await?;
        let changed = !batch.items.is_empty();
        apply_publications(&self.instance, batch.items, Origin::Watch);
        let mut forwarder = self.instance.forwarder.borrow_mut();
        forwarder.advance(batch.revision);
        // Without changes, the store answers at the end of the wait; the view was complete then.
        let waited = if changed { Duration::ZERO } else { WATCH_WAIT };
        forwarder.record_verified((started + waited).min(self.instance.now()));
        Ok(changed)
    }

    /// Starts or continues a full read: targets page by page, routes and evacuations concurrently.
    /// Each page is applied when it arrives. The pages are no consistent snapshot, so the full read
    /// only counts as complete as of its start. After a failed call, the next call of this method
    /// continues it. Returns whether it was completed; `false` if a peer's view arrived first.
    async fn read_all(&mut self) -> Result<bool> {
        let now = self.instance.now();
        let mut full_read = self.full_read.take().unwrap_or_else(|| FullRead::new(now));
        if full_read.routes.is_none() {
            full_read.routes = Some(spawn_local(self.routes_call()));
        }
        self.full_read = Some(full_read);
        if !self.read_targets().await? {
            self.discard_full_read();
            return Ok(false);
        }
        self.read_routes().await?;
        Ok(true)
    }

    /// Returns the call that reads the routes and evacuations, on a connection of its own.
    fn routes_call(&self) -> impl Future<Output = Result<PublicationBatch>> + 'static {
        let counters = Arc::clone(&self.instance.reporter.counters);
        let mut store = S::connect(self.store.address());
        // The first call is counted here, since the task may be aborted.
        counters.store_calls.add(1);
        async move {
            let routes = store.read_routes().await;
            counters
                .store_calls
                .add(store.take_calls().saturating_sub(1));
            routes
        }
    }

    /// Reads the remaining pages of targets. Returns `false` if a peer's view arrived first.
    async fn read_targets(&mut self) -> Result<bool> {
        while self.full_read.as_ref().is_some_and(|p| !p.targets_done) {
            let page = self.store.read_page().await?;
            self.check_page(&page)?;
            let pages = self.full_read.as_mut().map_or(0, |full_read| {
                full_read.add(&page);
                full_read.pages
            });
            let more = page.more;
            apply_publications(&self.instance, page.batch.items, Origin::FullRead);
            self.instance.held_released.notify_one();
            if more && pages >= PAGES_BEFORE_WAIT && self.wait_for_peer_view().await {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Checks that a page belongs to the same history as the pages before it, and to none that the
    /// view has already left. Discards the full read otherwise.
    fn check_page(&mut self, page: &Page) -> Result<()> {
        let view = self.revision().epoch;
        let first = self.full_read.as_ref().and_then(|p| p.revision);
        let received = page.batch.revision.epoch;
        let expected = first.map_or(view.max(received), |r| r.epoch.max(view));
        Error::check_epoch(expected, received).inspect_err(|_| self.discard_full_read())
    }

    fn revision(&self) -> StoreRevision {
        self.instance.forwarder.borrow().view().revision()
    }

    /// Applies the evacuations and routes and completes the full read. Routes are applied last, since
    /// new flows are reset while their route has no targets, and must not go to an evacuated zone.
    async fn read_routes(&mut self) -> Result<()> {
        let Some(task) = self.full_read.as_mut().and_then(|p| p.routes.take()) else {
            return Ok(());
        };
        let routes = task.await.map_err(Error::answer)??;
        let targets = self.full_read.as_ref().and_then(|p| p.revision);
        if let Some(revision) = targets {
            Error::check_epoch(revision.epoch, routes.revision.epoch)
                .inspect_err(|_| self.discard_full_read())?;
        }
        let items = routes.items.len();
        let others = apply_listed_evacuations(&self.instance, routes.items, routes.revision);
        apply_publications(&self.instance, others, Origin::FullRead);
        if let Some(full_read) = self.full_read.take() {
            self.finish_full_read(&full_read, routes.revision, items);
        }
        Ok(())
    }

    /// Discards an incomplete full read, so that the next one starts with the first page: the
    /// pages read so far become stale.
    fn discard_full_read(&mut self) {
        if self.full_read.take().is_some() {
            self.store.rewind();
        }
    }

    /// Completes a full read. The view counts as complete up to the older of the revisions of
    /// targets and routes, so that the next watch returns all changes made between both calls.
    fn finish_full_read(
        &mut self,
        full_read: &FullRead,
        routes_revision: StoreRevision,
        routes_count: usize,
    ) {
        let revision = full_read
            .revision
            .map_or(routes_revision, |r| r.min(routes_revision));
        let now = self.instance.now();
        let mut forwarder = self.instance.forwarder.borrow_mut();
        let before = forwarder.view().revision();
        let removed = forwarder.remove_unlisted(|n| full_read.listed.contains(&n), revision, now);
        forwarder.advance(revision);
        forwarder.finish_settling(now);
        if !before.is_none() && before.epoch < revision.epoch {
            warn!(self.instance.reporter.log, "[store] restored"; "revision" => %revision,
                "before" => %before, "provisional" => forwarder.view().provisional().count());
        }
        forwarder.record_verified(full_read.started);
        info!(self.instance.reporter.log, "[store] read"; "revision" => %revision,
            "items" => full_read.items + routes_count, "gone" => removed.len(),
            "config" => forwarder.view().routes().version);
        self.full_read_needed = false;
    }

    /// Waits for a peer's view while an instance of the zone with a higher rank can read the store,
    /// so that few instances of each zone do a long full read: if all instances of a large fleet do
    /// so when they start at once, the store refuses most calls. A peer whose view cannot be decoded
    /// is not waited for. Returns whether a view arrived that makes the full read unnecessary.
    async fn wait_for_peer_view(&self) -> bool {
        let end = self.instance.now() + PEER_VIEW_TIMEOUT;
        while self.instance.now() < end {
            let epoch = self.full_read.as_ref().and_then(|p| p.revision);
            let epoch = epoch.map(|r| r.epoch);
            let revision = self.revision();
            if !revision.is_none() && epoch.is_none_or(|epoch| epoch <= revision.epoch) {
                return !self.full_read_needed && !self.instance.is_settle_due();
            }
            let now = self.instance.now();
            let outranked = self.instance.membership.borrow().is_outranked(now);
            if !outranked || self.instance.view_unreadable.get() {
                return false;
            }
            sleep(PEER_CHECK_INTERVAL).await;
        }
        false
    }

    /// Records the outcome of a call and pauses until the next one is due.
    async fn handle_outcome(&mut self, outcome: Result<bool>) {
        let calls = self.store.take_calls();
        let reporter = &self.instance.reporter;
        reporter.counters.store_calls.add(calls);
        match outcome {
            Ok(changed) => {
                reporter.log_store_outcome(Ok(self.revision()));
                self.failures = 0;
                self.instance.set_store_reachable(true);
                if changed {
                    self.instance.beacon_requested.notify_one();
                    self.instance.held_released.notify_one();
                    sleep(CHANGE_PAUSE).await;
                }
            }
            Err(error @ (Error::HistoryGone(_) | Error::HistoryReplaced { .. })) => {
                info!(reporter.log, "[store] history gone"; "error" => %error,
                    "revision" => %self.revision());
                self.full_read_needed = true;
                self.discard_full_read();
            }
            Err(error) => {
                reporter.log_store_outcome(Err(&error));
                self.failures += 1;
                self.instance.set_store_reachable(false);
                sleep(backoff(self.failures)).await;
            }
        }
    }
}

/// Returns the pause after a number of consecutive failures, with a random part so that instances
/// do not call at the same time.
fn backoff(failures: u32) -> Duration {
    let doubled = INITIAL_BACKOFF.saturating_mul(1 << (failures - 1).min(5));
    let random = rand::rng().random_range(0.7..1.3);
    doubled.min(MAX_BACKOFF).mul_f64(random)
}
