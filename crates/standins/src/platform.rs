//! Stand-in of the platform's configuration service: balancers read and watch its documents,
//! operators edit them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tanager_core::{FastSet, Revision};
use tanagerproxy::catalogue::parse_revision;
use tokio::sync::watch;

use crate::control::{ControlRequest, Handler, Reply};

/// A fault of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// It works correctly.
    #[default]
    None,
    /// It answers every read with status 503.
    Down,
    /// It serves each document as it was when the fault began.
    Stale,
}

#[derive(Debug, Clone, Default)]
struct Document {
    revision: Option<Revision>,
    text: String,
    stale: (Option<Revision>, String),
}

/// The documents at one time, from which the service can be restored.
#[derive(Debug, Clone)]
pub struct Copy {
    catalogue: Document,
    instances: Document,
}

#[derive(Debug, Default)]
struct State {
    catalogue: Document,
    instances: Document,
    fault: Fault,
    /// Availability zones that cannot reach the service.
    unreachable_zones: FastSet<String>,
}

/// The stand-in of the configuration service.
#[derive(Debug, Clone)]
pub struct Platform {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    calls: AtomicU64,
}

impl Platform {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            calls: AtomicU64::new(0),
        });
        let handler_shared = Arc::clone(&shared);
        let handler: Handler = Arc::new(move |request| {
            let shared = Arc::clone(&handler_shared);
            Box::pin(async move { shared.answer(request).await })
        });
        let address = crate::control::start(address, handler).await?;
        Ok(Self { address, shared })
    }

    /// Returns the address of the service.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes a catalogue. Its revision must be newer than the published one.
    pub fn publish_catalogue(&self, text: &str) {
        self.shared.publish("catalogue", text);
    }

    /// Publishes an instance list.
    pub fn publish_instances(&self, text: &str) {
        self.shared.publish("instances", text);
    }

    /// Copies the documents.
    #[must_use]
    pub fn copy(&self) -> Copy {
        let state = self.shared.lock();
        Copy {
            catalogue: state.catalogue.clone(),
            instances: state.instances.clone(),
        }
    }

    /// Replaces the documents by those of a copy; later ones are lost.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.shared.lock();
        state.catalogue = copy.catalogue;
        state.instances = copy.instances;
        drop(state);
        self.shared.changed.send_modify(|n| *n += 1);
    }

    /// Starts or ends a fault.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.set_fault(fault);
    }

    /// Sets the availability zones that cannot reach the service.
    pub fn block_zones(&self, zones: impl IntoIterator<Item = String>) {
        self.shared.lock().unreachable_zones = zones.into_iter().collect();
    }

    /// Returns the number of reads and watches received so far. A pending watch counts as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }
}

impl Shared {
    async fn answer(&self, request: ControlRequest) -> Reply {
        match (request.path.as_str(), request.put) {
            ("/v1/catalogue", false) => self.watch("catalogue", &request).await,
            ("/v1/instances", false) => self.watch("instances", &request).await,
            ("/v1/catalogue", true) => self.edit("catalogue", &request),
            ("/v1/instances", true) => self.edit("instances", &request),
            _ => (404, "no such page\n".to_owned()),
        }
    }

    async fn watch(&self, name: &str, request: &ControlRequest) -> Reply {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let epoch = request.parameter("epoch").unwrap_or(0);
        let number = request.parameter("after").unwrap_or(0);
        let after = Revision::try_new(epoch, number).unwrap_or(Revision::new(0));
        let wait = Duration::from_millis(request.parameter("wait_ms").unwrap_or(0));
        let end = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            if let Some(reply) = self.read(name, after, request) {
                return reply;
            }
            let timed_out = tokio::time::timeout_at(end, changed.changed())
                .await
                .is_err();
            if timed_out {
                return (304, String::new());
            }
        }
    }

    fn read(&self, name: &str, after: Revision, request: &ControlRequest) -> Option<Reply> {
        let state = self.lock();
        let is_blocked = request
            .query
            .get("zone")
            .is_some_and(|z| state.unreachable_zones.contains(z));
        if state.fault == Fault::Down || is_blocked {
            return Some((503, "the service is down\n".to_owned()));
        }
        let document = state.document(name);
        if state.fault == Fault::Stale {
            let (revision, text) = &document.stale;
            // A stale replica compares only for inequality: it serves its document even to readers
            // with a newer revision.
            return revision
                .is_some_and(|r| r != after)
                .then(|| (200, text.clone()));
        }
        document
            .revision
            .is_some_and(|r| r > after)
            .then(|| (200, document.text.clone()))
    }

    /// Replaces a document if the edit is based on the published revision, so that one of two
    /// concurrent edits is refused.
    fn edit(&self, name: &str, request: &ControlRequest) -> Reply {
        let expected: Option<Revision> = request.parameter("expected");
        // Compare and replace under one lock: concurrent edits must not both succeed.
        let mut state = self.lock();
        let current = state.document(name).revision;
        if expected.is_some_and(|e| Some(e) != current) {
            let current = current.unwrap_or(Revision::new(0));
            return (409, format!("revision {current} is published\n"));
        }
        state.publish(name, &request.body);
        drop(state);
        self.changed.send_modify(|n| *n += 1);
        (200, String::new())
    }

    fn publish(&self, name: &str, text: &str) {
        self.lock().publish(name, text);
        self.changed.send_modify(|n| *n += 1);
    }

    fn set_fault(&self, fault: Fault) {
        let mut state = self.lock();
        state.fault = fault;
        let State {
            catalogue,
            instances,
            ..
        } = &mut *state;
        for document in [catalogue, instances] {
            document.stale = (document.revision, document.text.clone());
        }
        drop(state);
        self.changed.send_modify(|n| *n += 1);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn publish(&mut self, name: &str, text: &str) {
        let document = match name {
            "catalogue" => &mut self.catalogue,
            _ => &mut self.instances,
        };
        document.revision = parse_revision(text);
        text.clone_into(&mut document.text);
    }

    fn document(&self, name: &str) -> &Document {
        match name {
            "catalogue" => &self.catalogue,
            _ => &self.instances,
        }
    }
}
