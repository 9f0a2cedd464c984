//! Holds the catalogue in force and takes over newer ones.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use tanager_core::{ResultCode, Revision, invariant};
use tokio::sync::watch;

use crate::catalogue::{Catalogue, Digest, DocumentReply, DocumentRequest, digest};
use crate::catalogue::{History, PublishedDocument};
use crate::settings::Problem;
use crate::telemetry::{Log, Part};
use crate::{Error, Result};

/// Documents remembered as reported. A platform that flaps between some stale replicas serves the
/// same few documents again and again.
const REPORTED_LIMIT: usize = 16;
/// A refused revision is not read again until a newer one is published, unless it is further ahead
/// than this; a wrong number must not hide later edits.
const SKIP_LIMIT: u64 = 1_000;

/// Where a catalogue came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The configuration service.
    Platform,
    /// Another instance.
    Peer,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Platform => "platform",
            Self::Peer => "peer",
        })
    }
}

/// Holds the catalogue in force. Its revision never goes back.
#[derive(Debug)]
pub struct CatalogueStore {
    current: ArcSwap<Catalogue>,
    changed: watch::Sender<Revision>,
    refusals: Mutex<Refusals>,
    history: History,
}

/// What was refused, for status and to report each document once.
#[derive(Debug, Default)]
struct Refusals {
    /// Problems of the last refused catalogue.
    problems: Vec<Problem>,
    /// Its digest and, if it has one, its revision.
    last: Option<(Digest, Option<Revision>)>,
    /// Whether another catalogue with the revision in force was seen.
    conflict: bool,
    /// Digests of reported documents. Invariant: at most [`REPORTED_LIMIT`].
    reported: VecDeque<Digest>,
}

impl Default for CatalogueStore {
    fn default() -> Self {
        Self {
            current: ArcSwap::from_pointee(Catalogue::empty()),
            changed: watch::Sender::new(Revision::new(0)),
            refusals: Mutex::default(),
            history: History::default(),
        }
    }
}

impl CatalogueStore {
    /// Returns the catalogue in force.
    #[must_use]
    pub fn current(&self) -> Arc<Catalogue> {
        self.current.load_full()
    }

    /// Returns the text in force with its revision.
    #[must_use]
    pub fn published(&self) -> PublishedDocument {
        let current = self.current.load();
        PublishedDocument {
            revision: current.revision,
            digest: current.digest,
            text: Arc::clone(&current.text),
        }
    }

    /// Answers a peer that asks for a newer catalogue.
    #[must_use]
    pub fn answer(&self, request: &DocumentRequest) -> Option<DocumentReply> {
        self.history.answer(&self.published(), request)
    }

    /// Returns a receiver that sees every later revision.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.changed.subscribe()
    }

    /// Returns the problems of the last refused catalogue.
    #[must_use]
    pub fn refused(&self) -> Vec<Problem> {
        self.refusals().problems.clone()
    }

    /// Returns whether another catalogue with the revision in force was seen.
    #[must_use]
    pub fn has_conflict(&self) -> bool {
        self.refusals().conflict
    }

    /// Returns whether the last refused catalogue has this revision.
    #[must_use]
    pub fn is_refused(&self, revision: Revision) -> bool {
        let last = self.refusals().last;
        last.is_some_and(|(_, refused)| refused == Some(revision))
    }

    /// Returns the revision after which the platform has something new to offer.
    #[must_use]
    pub fn watch_after(&self) -> Revision {
        let current = self.current.load().revision;
        let limit = current.get().saturating_add(SKIP_LIMIT);
        match self.refusals().last {
            Some((_, Some(refused))) if refused.get() <= limit => current.max(refused),
            _ => current,
        }
    }

    /// Offers a catalogue on a thread for blocking work and logs the outcome, each document once.
    /// Reading a large catalogue takes tens of milliseconds.
    ///
    /// Returns whether the catalogue is now in force.
    pub async fn offer_and_log(self: Arc<Self>, text: String, source: Source, log: &Log) -> bool {
        let store = Arc::clone(&self);
        let offer = tokio::task::spawn_blocking(move || (store.offer(&text), digest(&text)));
        match offer.await {
            Ok((Ok(catalogue), _)) => {
                let revision = catalogue.revision;
                let message = format_args!("revision {revision} from the {source} is in force");
                log.info(Part::Catalogue, message);
                true
            }
            Ok((Err(error), digest)) => {
                // The catalogue in force arrives again by other ways; that is no fault.
                if digest != self.current().digest && self.refusals().is_new(digest) {
                    let message = format_args!("catalogue from the {source}: {error}");
                    log.warn(Part::Catalogue, message);
                }
                false
            }
            Err(_) => false,
        }
    }

    /// Checks a published catalogue and puts it in force if it is newer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Document`] if it has problems, and [`Error::Revision`] if it is not newer
    /// than the one in force. The one in force stays then.
    pub fn offer(&self, text: &str) -> Result<Arc<Catalogue>> {
        let current = self.current();
        // The catalogue in force need not be read again, however often it is served.
        if digest(text) == current.digest {
            return Err(not_newer(&current, &current));
        }
        let offered = Catalogue::read(text).inspect_err(|e| self.record(text, e))?;
        let offered = Arc::new(offered);
        // The lock makes compare and replace one step for concurrent offers.
        let mut refusals = self.refusals();
        let current = self.current.load_full();
        if offered.revision <= current.revision {
            refusals.conflict |= is_conflict(&offered, &current);
            return Err(not_newer(&offered, &current));
        }
        self.history.push(offered.digest, Arc::clone(&offered.text));
        self.current.store(Arc::clone(&offered));
        refusals.problems.clear();
        refusals.last = None;
        refusals.conflict = false;
        self.changed.send_modify(|revision| {
            invariant!(
                offered.revision > *revision,
                "catalogue-revision-increases",
                "{} follows {revision}",
                offered.revision
            );
            *revision = offered.revision;
        });
        drop(refusals);
        Ok(offered)
    }

    /// Notes that a peer has another catalogue with the revision in force, and returns whether
    /// this is new and should be reported.
    pub fn record_conflict(&self, digest: Digest) -> bool {
        let mut refusals = self.refusals();
        refusals.conflict = true;
        refusals.is_new(digest)
    }

    fn record(&self, text: &str, error: &Error) {
        if let Error::Document { problems, .. } = error {
            let mut refusals = self.refusals();
            refusals.problems.clone_from(problems);
            refusals.last = Some((digest(text), revision_line(text)));
        }
    }

    fn refusals(&self) -> MutexGuard<'_, Refusals> {
        self.refusals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Refusals {
    /// Returns whether a document was not reported yet, and remembers it as reported.
    fn is_new(&mut self, digest: Digest) -> bool {
        if self.reported.contains(&digest) {
            return false;
        }
        if self.reported.len() >= REPORTED_LIMIT {
            self.reported.pop_front();
        }
        self.reported.push_back(digest);
        true
    }
}

fn is_conflict(offered: &Catalogue, current: &Catalogue) -> bool {
    offered.revision == current.revision && offered.digest != current.digest
}

fn not_newer(offered: &Catalogue, current: &Catalogue) -> Error {
    let code = if is_conflict(offered, current) {
        ResultCode::RevisionConflict
    } else {
        ResultCode::RevisionNotNewer
    };
    Error::Revision {
        code,
        offered: offered.revision.get(),
        current: current.revision.get(),
    }
}

/// Reads the revision of a document that may be invalid otherwise.
fn revision_line(text: &str) -> Option<Revision> {
    let line = text.lines().find_map(|l| l.strip_prefix("revision:"))?;
    line.trim().parse().ok()
}
