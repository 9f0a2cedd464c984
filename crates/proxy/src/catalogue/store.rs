//! Holds the catalogue in force and replaces it by newer ones.

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

/// Number of documents recorded as reported. A platform that alternates between stale replicas
/// serves the same few documents repeatedly.
const REPORTED_LIMIT: usize = 16;
/// A refused revision that is at most this far ahead is not read again until a newer one is
/// published. One further ahead does not count, since a mistyped number must not hide later edits.
const MAX_REVISION_SKIP: u64 = 1_000;

/// The sender of a catalogue.
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

/// Holds the catalogue in force. Its revision never decreases.
#[derive(Debug)]
pub struct CatalogueStore {
    current: ArcSwap<Catalogue>,
    revision: watch::Sender<Revision>,
    refusals: Mutex<Refusals>,
    history: History,
}

/// Refused documents, shown by the status page and logged once each.
#[derive(Debug, Default)]
struct Refusals {
    /// Problems of the last refused catalogue.
    problems: Vec<Problem>,
    /// Digest of the last refused catalogue and, if it can be read, its revision.
    last_refused: Option<(Digest, Option<Revision>)>,
    /// Whether a different catalogue with the revision in force was received.
    conflict: bool,
    /// Digests of reported documents. Invariant: at most [`REPORTED_LIMIT`].
    reported: VecDeque<Digest>,
}

impl Default for CatalogueStore {
    fn default() -> Self {
        Self {
            current: ArcSwap::from_pointee(Catalogue::empty()),
            revision: watch::Sender::new(Revision::new(0)),
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

    /// Answers a peer's request for a newer catalogue.
    #[must_use]
    pub fn answer(&self, request: &DocumentRequest) -> Option<DocumentReply> {
        self.history.answer(&self.published(), request)
    }

    /// Returns a receiver that sees every later revision.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Returns the problems of the last refused catalogue.
    #[must_use]
    pub fn refused_problems(&self) -> Vec<Problem> {
        self.refusals().problems.clone()
    }

    /// Returns whether a different catalogue with the revision in force was received.
    #[must_use]
    pub fn has_conflict(&self) -> bool {
        self.refusals().conflict
    }

    /// Returns whether the last refused catalogue has this revision.
    #[must_use]
    pub fn is_refused(&self, revision: Revision) -> bool {
        let last_refused = self.refusals().last_refused;
        last_refused.is_some_and(|(_, refused)| refused == Some(revision))
    }

    /// Returns the revision above which a document of the platform is worth reading: the one in
    /// force, or that of a newer refused catalogue.
    #[must_use]
    pub fn watch_after(&self) -> Revision {
        let current = self.current.load().revision;
        let limit = current.number().saturating_add(MAX_REVISION_SKIP);
        match self.refusals().last_refused {
            Some((_, Some(refused)))
                if refused.epoch() == current.epoch() && refused.number() <= limit =>
            {
                current.max(refused)
            }
            _ => current,
        }
    }

    /// Offers a catalogue on a thread for blocking work, since parsing a large one takes tens of
    /// milliseconds, and logs the outcome, refusals once for each document.
    ///
    /// Returns whether the offered catalogue came into force.
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
                // The catalogue in force may also arrive from another sender; that is not an error.
                if digest != self.current().digest && self.refusals().mark_reported(digest) {
                    let message = format_args!("catalogue from the {source}: {error}");
                    log.warn(Part::Catalogue, message);
                }
                false
            }
            Err(_) => false,
        }
    }

    /// Checks a published catalogue and puts it into force if it is newer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Document`] if it has problems, and [`Error::Revision`] if it is not newer
    /// than the one in force. In both cases the one in force stays.
    pub fn offer(&self, text: &str) -> Result<Arc<Catalogue>> {
        let current = self.current();
        // The catalogue in force is not parsed again, however often it is served.
        if digest(text) == current.digest {
            return Err(not_newer(&current, &current));
        }
        let offered = Catalogue::read(text).inspect_err(|e| self.record_refusal(text, e))?;
        let offered = Arc::new(offered);
        // The lock makes comparison and replacement atomic for concurrent offers.
        let mut refusals = self.refusals();
        let current = self.current.load_full();
        if offered.revision <= current.revision {
            refusals.conflict |= is_conflict(&offered, &current);
            return Err(not_newer(&offered, &current));
        }
        self.history.push(offered.digest, Arc::clone(&offered.text));
        self.current.store(Arc::clone(&offered));
        refusals.problems.clear();
        refusals.last_refused = None;
        refusals.conflict = false;
        self.revision.send_modify(|revision| {
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

    /// Records that a peer has a different catalogue with the revision in force. Returns whether
    /// this was not reported yet and should be.
    pub fn record_conflict(&self, digest: Digest) -> bool {
        let mut refusals = self.refusals();
        refusals.conflict = true;
        refusals.mark_reported(digest)
    }

    fn record_refusal(&self, text: &str, error: &Error) {
        if let Error::Document { problems, .. } = error {
            let mut refusals = self.refusals();
            refusals.problems.clone_from(problems);
            refusals.last_refused = Some((digest(text), parse_revision(text)));
        }
    }

    fn refusals(&self) -> MutexGuard<'_, Refusals> {
        self.refusals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Refusals {
    /// Marks a document as reported. Returns whether it was not reported before.
    fn mark_reported(&mut self, digest: Digest) -> bool {
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
        offered: offered.revision,
        current: current.revision,
    }
}

/// Reads the revision of a document that may be invalid in other respects.
#[must_use]
pub fn parse_revision(text: &str) -> Option<Revision> {
    let field = |name| text.lines().find_map(|l: &str| l.strip_prefix(name));
    let epoch = field("epoch:").map_or(Ok(0), |epoch| epoch.trim().parse());
    let number = field("revision:")?.trim().parse();
    Revision::try_new(epoch.ok()?, number.ok()?).ok()
}
