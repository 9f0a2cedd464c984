//! The platform's configuration service: read and watched by balancers, edited by operators.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tanager_core::FastSet;
use tokio::sync::watch;

use crate::control::{Call, Handler, Reply};

/// How the service misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// It works.
    #[default]
    None,
    /// It refuses every read.
    Down,
    /// It serves each document as it was when the fault began.
    Stale,
}

#[derive(Debug, Clone, Default)]
struct Document {
    revision: u64,
    text: String,
    stale: (u64, String),
}

#[derive(Debug, Default)]
struct State {
    catalogue: Document,
    instances: Document,
    fault: Fault,
    /// Availability zones that cannot reach the service.
    cut: FastSet<String>,
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
        let served = Arc::clone(&shared);
        let handler: Handler = Arc::new(move |call| {
            let shared = Arc::clone(&served);
            Box::pin(async move { shared.answer(call).await })
        });
        let address = crate::control::start(address, handler).await?;
        Ok(Self { address, shared })
    }

    /// Returns where the service listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes a catalogue. Its revision line must be newer than the published one.
    pub fn publish_catalogue(&self, text: &str) {
        self.shared.publish("catalogue", text);
    }

    /// Publishes an instance list.
    pub fn publish_instances(&self, text: &str) {
        self.shared.publish("instances", text);
    }

    /// Starts or ends a fault.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.set_fault(fault);
    }

    /// Sets the availability zones that cannot reach the service.
    pub fn block_zones(&self, zones: impl IntoIterator<Item = String>) {
        self.shared.lock().cut = zones.into_iter().collect();
    }

    /// Returns the calls received so far. A waiting watch counts as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }
}

impl Shared {
    async fn answer(&self, call: Call) -> Reply {
        match (call.path.as_str(), call.put) {
            ("/v1/catalogue", false) => self.watch("catalogue", &call).await,
            ("/v1/instances", false) => self.watch("instances", &call).await,
            ("/v1/catalogue", true) => self.edit("catalogue", &call),
            ("/v1/instances", true) => self.edit("instances", &call),
            _ => (404, "no such page\n".to_owned()),
        }
    }

    async fn watch(&self, name: &str, call: &Call) -> Reply {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let after = call.parameter("after").unwrap_or(0);
        let wait = Duration::from_millis(call.parameter("wait_ms").unwrap_or(0));
        let end = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            if let Some(reply) = self.read(name, after, call) {
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

    fn read(&self, name: &str, after: u64, call: &Call) -> Option<Reply> {
        let state = self.lock();
        let cut = call
            .query
            .get("zone")
            .is_some_and(|z| state.cut.contains(z));
        if state.fault == Fault::Down || cut {
            return Some((503, "the service is down\n".to_owned()));
        }
        let document = state.document(name);
        if state.fault == Fault::Stale {
            let (revision, text) = &document.stale;
            // A stale replica does not know the reader's newer revision and serves what it has.
            return (*revision > 0 && *revision != after).then(|| (200, text.clone()));
        }
        (document.revision > after).then(|| (200, document.text.clone()))
    }

    /// Replaces a document if the operator saw the newest one, so that of two racing edits one
    /// is refused.
    fn edit(&self, name: &str, call: &Call) -> Reply {
        let expected: Option<u64> = call.parameter("expected");
        // One lock for compare and replace: racing edits must not both succeed.
        let mut state = self.lock();
        let current = state.document(name).revision;
        if expected.is_some_and(|e| e != current) {
            return (409, format!("revision {current} is published\n"));
        }
        state.publish(name, &call.body);
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
        document.revision = revision_of(text).unwrap_or(document.revision + 1);
        text.clone_into(&mut document.text);
    }

    fn document(&self, name: &str) -> &Document {
        match name {
            "catalogue" => &self.catalogue,
            _ => &self.instances,
        }
    }
}

/// Reads the revision line of a document without checking the rest.
fn revision_of(text: &str) -> Option<u64> {
    let line = text.lines().find_map(|l| l.strip_prefix("revision:"))?;
    line.trim().parse().ok()
}
