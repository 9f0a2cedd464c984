//! An instance's link to one target: its reported load and clock, and the state of its connection.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use tanager_core::{Clock, Millis, ServiceId};
use tanager_wire::{Load, ToTarget, raw};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::catalogue::Target;
use crate::target::connection::Connection;
use crate::target::{LinkError, RunOutcome, RunRequest};

/// Clock readings are rounded down to milliseconds: the time of the report by up to 1 ms, and the
/// target's clock when it compares it with the deadline by another 1 ms.
const CLOCK_ROUNDING: Duration = Duration::from_millis(2);
/// Time without an expected answer after which the target is suspect. It is shorter than the time
/// after which the connection is closed.
const SUSPECT_AFTER: Duration = Duration::from_secs(1);

/// The last reported load of a target.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadView {
    /// The target's last report.
    pub load: Load,
    /// When it was received, on this instance's clock.
    pub received_at: Millis,
    /// Feeds that this instance has opened at the target since that report.
    pub opened: u32,
}

/// The link to one target as published in the catalogue.
#[derive(Debug)]
pub struct TargetLink {
    /// The target as listed.
    pub target: Target,
    /// The only service whose packets are sent over this link.
    pub service: ServiceId,
    clock: Clock,
    state: Arc<LinkState>,
}

/// State that is kept when the catalogue lists the target with another state or other limits.
#[derive(Debug)]
pub(super) struct LinkState {
    /// Present from the verified `HelloAck` to the end of the connection.
    connection: ArcSwapOption<Connection>,
    load: Mutex<LoadView>,
    mismatched: AtomicBool,
    /// When the connection became ready, on this instance's clock.
    ready_since: AtomicU64,
    /// Makes the link's task connect again after an identity mismatch.
    pub(super) retry: Notify,
    /// Ends the link's task.
    pub(super) stop: CancellationToken,
}

impl TargetLink {
    pub(super) fn new(target: Target, service: ServiceId, clock: Clock) -> Self {
        let state = Arc::new(LinkState {
            connection: ArcSwapOption::empty(),
            load: Mutex::default(),
            mismatched: AtomicBool::new(false),
            ready_since: AtomicU64::new(0),
            retry: Notify::new(),
            stop: CancellationToken::new(),
        });
        Self {
            target,
            service,
            clock,
            state,
        }
    }

    /// Returns a link for changed catalogue data of the target that shares this link's connection.
    /// Service, address and incarnation must be the same.
    pub(super) fn with_target(&self, target: Target) -> Self {
        Self {
            target,
            service: self.service,
            clock: self.clock,
            state: Arc::clone(&self.state),
        }
    }

    pub(super) const fn state(&self) -> &Arc<LinkState> {
        &self.state
    }

    /// Returns whether this is the link of `target` as listed for `service`. A new catalogue may
    /// list a target's number with another service, address or incarnation before the links are
    /// reconciled with it.
    #[must_use]
    pub fn matches(&self, target: &Target, service: ServiceId) -> bool {
        self.service == service
            && self.target.address == target.address
            && self.target.incarnation == target.incarnation
    }

    /// Returns when the connection became ready, on this instance's clock.
    #[must_use]
    pub fn ready_since(&self) -> Millis {
        Millis::new(self.state.ready_since.load(Ordering::Relaxed))
    }

    /// Returns whether there is a connection on which the target has proved its identity.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.connection.load().is_some()
    }

    /// Returns whether another process answered at the target's address.
    #[must_use]
    pub fn is_mismatched(&self) -> bool {
        self.state.mismatched.load(Ordering::Relaxed)
    }

    /// Returns whether an answer of the target is overdue.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        let connection = self.state.connection.load();
        let awaiting_since = connection.as_ref().and_then(|c| c.awaiting_since());
        awaiting_since.is_some_and(|since| self.clock.now().since(since) >= SUSPECT_AFTER)
    }

    /// Returns the target's load.
    #[must_use]
    pub fn load(&self) -> LoadView {
        *self.lock_load()
    }

    /// Returns the number of runs that have not ended.
    #[must_use]
    pub fn inflight(&self) -> u32 {
        let connection = self.state.connection.load();
        let runs = connection.as_ref().map_or(0, |c| c.inflight());
        u32::try_from(runs).unwrap_or(u32::MAX)
    }

    /// Counts a feed that was opened at the target and is not in its load report yet.
    pub fn record_opened_flow(&self) {
        self.lock_load().opened += 1;
    }

    /// Queues a frame without waiting.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no verified connection or its queue is full.
    pub fn send(&self, frame: ToTarget) -> Result<(), LinkError> {
        let connection = self.state.connection.load();
        let connection = connection.as_ref().ok_or(LinkError::Disconnected)?;
        connection.send(frame, self.clock.now())
    }

    /// Runs a request and waits for its end. When `cancelled` completes, the target is asked to
    /// drop the request; the outcome is still the one that the target reports.
    pub async fn run(
        &self,
        request: RunRequest,
        cancelled: impl Future<Output = ()>,
    ) -> RunOutcome {
        let Some(connection) = self.state.connection.load_full() else {
            return RunOutcome::NotSent(LinkError::Disconnected);
        };
        let frame = raw::target::Run {
            run: 0,
            request: Bytes::copy_from_slice(request.request.as_bytes()),
            repeatable: request.repeatable,
            deadline_ms: self.target_deadline(request.deadline).get(),
            body: request.body,
        };
        connection.run(frame, request.deadline, cancelled).await
    }

    /// Converts a deadline to the target's clock. The target read its clock before its load report
    /// was received here, so the result can only be too early.
    pub(super) fn target_deadline(&self, deadline: Millis) -> Millis {
        let view = self.lock_load();
        view.load.clock + deadline.since(view.received_at + CLOCK_ROUNDING)
    }

    pub(super) fn apply_load(&self, load: Load) {
        let received_at = self.clock.now();
        *self.lock_load() = LoadView {
            load,
            received_at,
            opened: 0,
        };
    }

    pub(super) fn set_connection(&self, connection: Option<Arc<Connection>>) {
        if connection.is_some() {
            let now = self.clock.now().get();
            self.state.ready_since.store(now, Ordering::Relaxed);
        }
        self.state.connection.store(connection);
    }

    pub(super) fn set_mismatched(&self, mismatched: bool) {
        self.state.mismatched.store(mismatched, Ordering::Relaxed);
    }

    fn lock_load(&self) -> MutexGuard<'_, LoadView> {
        self.state
            .load
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
