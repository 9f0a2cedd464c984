//! Reads the store while this instance is its zone's hub.

mod partial;
mod publications;

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt as _;
use slog::info;
use tanager_forward::Role;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::instance::Instance;
use crate::source::Source;
use crate::{Error, Result};
use partial::Partial;
use publications::{Detail, take_over};

/// How long a watch waits for a change. Bounds the time in which a silent connection is noticed.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Pause after changes, so that those that follow closely come with one call.
const CHANGE_PAUSE: Duration = Duration::from_millis(200);
/// Pause after the first failed call; it doubles up to [`FAILURE_PAUSE_LIMIT`].
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// The longest pause after failed calls.
const FAILURE_PAUSE_LIMIT: Duration = Duration::from_millis(1_600);
/// How often an instance that is not a hub looks at its role.
const ROLE_INTERVAL: Duration = Duration::from_millis(200);
/// Pages that every instance reads by itself when it knows nothing.
const PAGES_ALONE: u32 = 8;
/// How long an instance waits for the view of a peer that reads more pages.
const PEER_PATIENCE: Duration = Duration::from_millis(1_500);
/// How often an instance that waits looks whether the view has come.
const PEER_CHECK: Duration = Duration::from_millis(20);
/// Pause between the calls of an instance that could not read and is not a hub.
const PROBE_PAUSE: Duration = Duration::from_secs(3);

/// Reads the store until the process ends.
pub async fn run<S: Source + 'static>(instance: Rc<Instance>) {
    let mut reader = Reader::<S>::new(instance);
    loop {
        reader.follow_settings();
        if reader.instance.role() == Role::Leaf && !reader.is_probe_due().await {
            continue;
        }
        let outcome = reader.read().await;
        reader.settle(outcome).await;
    }
}

/// Reads the store for one instance.
pub struct Reader<S> {
    instance: Rc<Instance>,
    store: S,
    /// Whether everything has to be read although a view is known.
    whole: bool,
    partial: Option<Partial>,
    /// Failed calls in a row.
    failures: u32,
}

impl<S: Source + 'static> Reader<S> {
    /// Creates a reader that has read nothing yet.
    pub fn new(instance: Rc<Instance>) -> Self {
        Self {
            store: S::connect(instance.store.get()),
            whole: false,
            partial: None,
            failures: 0,
            instance,
        }
    }

    fn follow_settings(&mut self) {
        let address = self.instance.store.get();
        if address != self.store.address() {
            self.partial = None;
            self.store = S::connect(address);
        }
    }

    /// Waits while another instance reads for this one. Returns whether to make a call anyway, to
    /// see whether the store answers again.
    async fn is_probe_due(&self) -> bool {
        if self.failures == 0 {
            sleep(ROLE_INTERVAL).await;
            return false;
        }
        sleep(PROBE_PAUSE).await;
        true
    }

    /// Reads everything, or what has changed since. Returns whether something was news.
    pub async fn read(&mut self) -> Result<bool> {
        let revision = self.instance.forwarder.borrow().view().revision();
        if self.whole || revision == 0 {
            return self.read_all().await;
        }
        self.restart_reading();
        let begun = self.instance.now();
        let reading = self.store.watch(revision, WATCH_WAIT).await?;
        let changed = !reading.items.is_empty();
        take_over(&self.instance, reading.items, Detail::Each);
        let mut forwarder = self.instance.forwarder.borrow_mut();
        forwarder.advance(reading.revision);
        // A watch without changes was answered at the end of its wait.
        let waited = if changed { Duration::ZERO } else { WATCH_WAIT };
        forwarder.record_verified((begun + waited).min(self.instance.now()));
        Ok(changed)
    }

    /// Reads everything: targets page by page, and routes at the same time. Pages are used as they
    /// come; they are no snapshot, so the reading counts as of its first one. A failed call is made
    /// again, and the reading then goes on.
    async fn read_all(&mut self) -> Result<bool> {
        let now = self.instance.now();
        let mut partial = self.partial.take().unwrap_or_else(|| Partial::new(now));
        if partial.routes.is_none() {
            // Its connection ends with the call and cannot be asked later.
            self.instance.reporter.counters.store_calls.add(1);
            let mut store = S::connect(self.store.address());
            partial.routes = Some(spawn_local(async move { store.read_routes().await }));
        }
        self.partial = Some(partial);
        if !self.read_targets().await? {
            self.restart_reading();
            return Ok(false);
        }
        self.read_routes().await?;
        Ok(true)
    }

    /// Reads the targets that have not been read yet. Returns whether all were, or a peer's view
    /// came first.
    async fn read_targets(&mut self) -> Result<bool> {
        while self.partial.as_ref().is_some_and(|p| !p.targets) {
            let page = self.store.read_page().await?;
            let pages = self.partial.as_mut().map_or(0, |partial| {
                partial.add(&page);
                partial.pages
            });
            let more = page.more;
            take_over(&self.instance, page.reading.items, Detail::Summary);
            self.instance.view_changed.notify_one();
            if more && pages >= PAGES_ALONE && self.peer_reads().await {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Takes over the routes and with them the whole reading. They come after all targets: a route
    /// whose targets are not known would refuse its flows.
    async fn read_routes(&mut self) -> Result<()> {
        let Some(task) = self.partial.as_mut().and_then(|p| p.routes.take()) else {
            return Ok(());
        };
        let routes = task.await.map_err(Error::answer)??;
        let items = routes.items.len();
        take_over(&self.instance, routes.items, Detail::Summary);
        if let Some(partial) = self.partial.take() {
            self.finish_reading(&partial, routes.revision, items);
        }
        Ok(())
    }

    /// Gives up a reading of everything that is not complete: its first pages grow old.
    fn restart_reading(&mut self) {
        if self.partial.take().is_some() {
            self.store.rewind();
        }
    }

    /// Takes a reading as complete up to the older of its two revisions, so that the watch that
    /// follows tells of all that came between both calls.
    fn finish_reading(&mut self, targets: &Partial, routes: u64, count: usize) {
        let revision = targets.revision.map_or(routes, |r| r.min(routes));
        let now = self.instance.now();
        let mut forwarder = self.instance.forwarder.borrow_mut();
        let gone = forwarder.remove_unlisted(|n| targets.listed.contains(&n), revision, now);
        forwarder.advance(revision);
        forwarder.record_verified(targets.begun);
        info!(self.instance.reporter.log, "[store] read"; "revision" => revision,
            "items" => targets.items + count, "gone" => gone.len(),
            "config" => forwarder.view().routes().version);
        self.whole = false;
    }

    /// Leaves a long reading to the first instances of the zone: if all of a large fleet that
    /// starts at once read it, the store refuses most calls. Returns whether a peer's view came.
    async fn peer_reads(&self) -> bool {
        let end = self.instance.now() + PEER_PATIENCE;
        while self.instance.now() < end {
            if self.instance.forwarder.borrow().view().revision() > 0 {
                return !self.whole;
            }
            let now = self.instance.now();
            if !self.instance.membership.borrow().is_outranked(now) {
                return false;
            }
            sleep(PEER_CHECK).await;
        }
        false
    }

    /// Notes how a call went and waits until the next one.
    async fn settle(&mut self, outcome: Result<bool>) {
        let calls = self.store.take_calls();
        let reporter = &self.instance.reporter;
        reporter.counters.store_calls.add(calls);
        match outcome {
            Ok(changed) => {
                let revision = self.instance.forwarder.borrow().view().revision();
                reporter.store(Ok(revision));
                self.failures = 0;
                self.instance.set_reads(true);
                if changed {
                    self.instance.changed.notify_one();
                    self.instance.view_changed.notify_one();
                    sleep(CHANGE_PAUSE).await;
                }
            }
            Err(Error::HistoryGone(revision)) => {
                info!(reporter.log, "[store] history gone"; "revision" => revision);
                self.whole = true;
                self.restart_reading();
            }
            Err(error) => {
                reporter.store(Err(&error));
                self.failures += 1;
                self.instance.set_reads(false);
                sleep(failure_pause(self.failures)).await;
            }
        }
    }
}

/// Returns the pause after some failures in a row, with a random part so that instances do not
/// call together.
fn failure_pause(failures: u32) -> Duration {
    let doubled = FAILURE_PAUSE.saturating_mul(1 << (failures - 1).min(5));
    let random = rand::rng().random_range(0.7..1.3);
    doubled.min(FAILURE_PAUSE_LIMIT).mul_f64(random)
}
