use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use tanager_core::{ResultCode, Revision, invariant};
use tokio::sync::watch;

use crate::catalogue::Catalogue;
use crate::settings::Problem;
use crate::{Error, Result};

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
    /// Problems of the last refused catalogue, for status.
    refused: Mutex<Vec<Problem>>,
}

impl Default for CatalogueStore {
    fn default() -> Self {
        Self {
            current: ArcSwap::from_pointee(Catalogue::empty()),
            changed: watch::Sender::new(Revision::new(0)),
            refused: Mutex::default(),
        }
    }
}

impl CatalogueStore {
    /// Returns the catalogue in force.
    #[must_use]
    pub fn current(&self) -> Arc<Catalogue> {
        self.current.load_full()
    }

    /// Returns a receiver that sees every later revision.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.changed.subscribe()
    }

    /// Returns the problems of the last refused catalogue.
    #[must_use]
    pub fn refused(&self) -> Vec<Problem> {
        self.refused
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Checks a published catalogue and puts it in force if it is newer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Document`] if it has problems, and [`Error::Revision`] if it is not newer
    /// than the one in force. The one in force stays then.
    pub fn offer(&self, text: &str) -> Result<Arc<Catalogue>> {
        let offered = Catalogue::read(text).inspect_err(|e| self.record(e))?;
        let offered = Arc::new(offered);
        // The lock makes compare and replace one step for concurrent offers.
        let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        let current = self.current.load_full();
        if offered.revision <= current.revision {
            return Err(not_newer(&offered, &current));
        }
        self.current.store(Arc::clone(&offered));
        refused.clear();
        drop(refused);
        self.changed.send_modify(|revision| {
            invariant!(
                offered.revision > *revision,
                "catalogue-revision-increases",
                "{} follows {revision}",
                offered.revision
            );
            *revision = offered.revision;
        });
        Ok(offered)
    }

    fn record(&self, error: &Error) {
        if let Error::Document { problems, .. } = error {
            let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
            refused.clone_from(problems);
        }
    }
}

fn not_newer(offered: &Catalogue, current: &Catalogue) -> Error {
    let conflict = offered.revision == current.revision && offered.digest != current.digest;
    let code = if conflict {
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
