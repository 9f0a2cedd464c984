//! Reads the store while this instance is its zone's hub.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt as _;
use slog::{info, warn};
use tanager_core::{FastSet, Millis};
use tanager_forward::{Change, Role, RouteTable, TargetNumber};
use tokio::time::sleep;

use crate::instance::Instance;
use crate::source::{Page, Publication, Source};
use crate::{Error, Result};

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
pub async fn run<S: Source>(instance: Rc<Instance>) {
    let mut reader = Reader {
        store: S::connect(instance.store.get()),
        whole: false,
        partial: None,
        failures: 0,
        instance,
    };
    loop {
        reader.follow_settings();
        if reader.instance.role() == Role::Leaf && !reader.is_probe_due().await {
            continue;
        }
        let outcome = reader.read().await;
        reader.settle(outcome).await;
    }
}

/// How changes of targets are logged.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Detail {
    /// One line for each.
    Each,
    /// The caller logs how many there were. At a start there is one for each target of the fleet,
    /// and small instances would write lines for half a second before they forward anything.
    Summary,
}

/// A reading of everything that is not complete yet.
struct Partial {
    /// When its first call was made.
    begun: Millis,
    /// The revision of its first page.
    revision: u64,
    pages: u32,
    items: usize,
    listed: FastSet<TargetNumber>,
}

impl Partial {
    fn new(first: &Page, begun: Millis) -> Self {
        Self {
            begun,
            revision: first.reading.revision,
            pages: 0,
            items: 0,
            listed: FastSet::default(),
        }
    }
}

struct Reader<S> {
    instance: Rc<Instance>,
    store: S,
    /// Whether everything has to be read although a view is known.
    whole: bool,
    partial: Option<Partial>,
    /// Failed calls in a row.
    failures: u32,
}

impl<S: Source> Reader<S> {
    fn follow_settings(&mut self) {
        let address = self.instance.store.get();
        if address != self.store.address() {
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

    async fn read(&mut self) -> Result<bool> {
        let revision = self.instance.forwarder.borrow().view().revision();
        if self.whole || revision == 0 {
            return self.read_all().await;
        }
        self.restart_reading();
        let begun = self.instance.now();
        let reading = self.store.watch(revision, WATCH_WAIT).await?;
        let changed = !reading.items.is_empty();
        self.apply(reading.items, Detail::Each);
        let mut forwarder = self.instance.forwarder.borrow_mut();
        forwarder.advance(reading.revision);
        // A watch without changes was answered at the end of its wait.
        let waited = if changed { Duration::ZERO } else { WATCH_WAIT };
        forwarder.verify((begun + waited).min(self.instance.now()));
        Ok(changed)
    }

    /// Reads everything. Pages are used as they come; they are no snapshot, so the reading counts
    /// as of its first one. A failed call is made again, and the reading then goes on.
    async fn read_all(&mut self) -> Result<bool> {
        loop {
            let begun = self.instance.now();
            let page = self.store.read_page().await?;
            let whole = self
                .partial
                .get_or_insert_with(|| Partial::new(&page, begun));
            whole.pages += 1;
            whole.items += page.reading.items.len();
            let targets = page.reading.items.iter().filter_map(target_of);
            whole.listed.extend(targets);
            let pages = whole.pages;
            self.apply(page.reading.items, Detail::Summary);
            self.instance.view_changed.notify_one();
            if !page.more {
                break;
            }
            if pages >= PAGES_ALONE && self.peer_reads().await {
                self.restart_reading();
                return Ok(false);
            }
        }
        self.finish_reading();
        Ok(true)
    }

    /// Gives up a reading of everything that is not complete: its first pages grow old.
    fn restart_reading(&mut self) {
        if self.partial.take().is_some() {
            self.store.rewind();
        }
    }

    /// Takes a reading as complete.
    fn finish_reading(&mut self) {
        let Some(whole) = self.partial.take() else {
            return;
        };
        let now = self.instance.now();
        let mut forwarder = self.instance.forwarder.borrow_mut();
        let gone = forwarder.retain(|n| whole.listed.contains(&n), whole.revision, now);
        forwarder.advance(whole.revision);
        forwarder.verify(whole.begun);
        info!(self.instance.reporter.log, "[store] read"; "revision" => whole.revision,
            "items" => whole.items, "gone" => gone.len(),
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

    fn apply(&self, items: Vec<Publication>, detail: Detail) {
        for item in items {
            match item {
                Publication::Target(change) => self.apply_target(change, detail),
                Publication::Routes(routes) => self.apply_routes(routes),
                Publication::Unusable {
                    key,
                    revision,
                    target,
                    reason,
                } => {
                    self.instance.reporter.counters.entries_skipped.increment();
                    warn!(self.instance.reporter.log, "[store] entry skipped"; "key" => key,
                        "revision" => revision, "error" => reason);
                    // It no longer says anything of the target that it named.
                    if let Some(number) = target {
                        self.apply_target(Change::removal(number, revision), detail);
                    }
                }
            }
        }
    }

    fn apply_routes(&self, routes: RouteTable) {
        let (version, count, revision) = (routes.version, routes.len(), routes.revision);
        if self.instance.forwarder.borrow_mut().apply_routes(routes) {
            info!(self.instance.reporter.log, "[catalogue] routes in force"; "config" => version,
                "routes" => count, "revision" => revision);
        }
    }

    fn apply_target(&self, change: Change, detail: Detail) {
        let (number, revision) = (change.number, change.revision);
        let state = match &change.target {
            Some(target) if !change.removed => format!("{:?}", target.state),
            _ => "removed".to_owned(),
        };
        let now = self.instance.now();
        let news = self.instance.forwarder.borrow_mut().apply(change, now);
        if news && detail == Detail::Each {
            info!(self.instance.reporter.log, "[catalogue] target changed"; "target" => %number,
                "state" => state, "revision" => revision);
        }
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

/// Returns the target that a publication names, usable or not.
fn target_of(item: &Publication) -> Option<TargetNumber> {
    match item {
        Publication::Target(change) => Some(change.number),
        Publication::Unusable { target, .. } => *target,
        Publication::Routes(_) => None,
    }
}

/// Returns the pause after some failures in a row, with a random part so that instances do not
/// call together.
fn failure_pause(failures: u32) -> Duration {
    let doubled = FAILURE_PAUSE.saturating_mul(1 << (failures - 1).min(5));
    let random = rand::rng().random_range(0.7..1.3);
    doubled.min(FAILURE_PAUSE_LIMIT).mul_f64(random)
}
