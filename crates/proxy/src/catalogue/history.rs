//! Keeps published texts and answers requests with a delta or the full text.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use tanager_core::Revision;

use crate::catalogue::{Delta, Digest};

/// Texts of a document kept as bases of deltas. At the design size 8 catalogues and 8 instance
/// lists take about 5 MB. A catalogue changes every 150 s on average, so 8 of them cover short
/// bursts.
const HISTORY_LIMIT: usize = 8;

/// The published documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentKind {
    /// The catalogue.
    Catalogue,
    /// The list of instances.
    Instances,
}

/// A request to a peer for a document that is newer than the requester's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRequest {
    /// Which document.
    pub kind: DocumentKind,
    /// Revision of the requester's document; 0 if there is none.
    pub after: Revision,
    /// Digest of the requester's document, or `None` to get the full text.
    pub base: Option<Digest>,
}

/// A peer's newer document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentReply {
    /// The full text.
    Whole(String),
    /// The difference from the text that the request names as its base.
    Changed(Delta),
}

/// A document in force.
#[derive(Debug, Clone)]
pub struct PublishedDocument {
    /// Its revision; 0 if there is none.
    pub revision: Revision,
    /// Digest of the text.
    pub digest: Digest,
    /// The text as published.
    pub text: Arc<str>,
}

/// The last texts of a document, as bases of deltas.
#[derive(Debug, Default)]
pub struct History {
    /// Oldest first. Invariant: at most [`HISTORY_LIMIT`].
    texts: Mutex<VecDeque<(Digest, Arc<str>)>>,
}

impl History {
    /// Adds a text that has come into force, and evicts the oldest one if there are too many.
    pub fn push(&self, digest: Digest, text: Arc<str>) {
        let mut texts = self.texts.lock().unwrap_or_else(PoisonError::into_inner);
        if texts.len() >= HISTORY_LIMIT {
            texts.pop_front();
        }
        texts.push_back((digest, text));
    }

    /// Answers a request for a newer document.
    #[must_use]
    pub fn answer(
        &self,
        current: &PublishedDocument,
        request: &DocumentRequest,
    ) -> Option<DocumentReply> {
        if current.revision <= request.after {
            return None;
        }
        let base = request.base.and_then(|digest| self.find(digest));
        let delta = base.and_then(|base| Delta::between(&base, &current.text));
        let full = || DocumentReply::Whole(current.text.to_string());
        Some(delta.map_or_else(full, DocumentReply::Changed))
    }

    fn find(&self, digest: Digest) -> Option<Arc<str>> {
        let texts = self.texts.lock().unwrap_or_else(PoisonError::into_inner);
        let found = texts.iter().find(|(candidate, _)| *candidate == digest);
        found.map(|(_, text)| Arc::clone(text))
    }
}
