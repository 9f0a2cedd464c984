//! Keeps published texts, and answers readers with a delta or the whole.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use tanager_core::Revision;

use crate::catalogue::{Delta, Digest};

/// Texts kept as bases of deltas. At the design size 8 catalogues and 8 instance lists have about
/// 5 MB; a catalogue changes every 150 s on average, so that 8 cover short bursts.
const KEPT: usize = 8;

/// The published documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentKind {
    /// The catalogue.
    Catalogue,
    /// The list of instances.
    Instances,
}

/// Asks a peer for a document that is newer than the own one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRequest {
    /// Which document.
    pub kind: DocumentKind,
    /// Revision of the own one; 0 if there is none.
    pub after: Revision,
    /// Digest of the own one, or `None` to get the whole text.
    pub base: Option<Digest>,
}

/// A newer document of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentReply {
    /// The whole text.
    Whole(String),
    /// What differs from the text that the request named.
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
    /// Oldest first. Invariant: at most [`KEPT`].
    texts: Mutex<VecDeque<(Digest, Arc<str>)>>,
}

impl History {
    /// Remembers a text that has come into force.
    pub fn push(&self, digest: Digest, text: Arc<str>) {
        let mut texts = self.texts.lock().unwrap_or_else(PoisonError::into_inner);
        if texts.len() >= KEPT {
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
        let whole = || DocumentReply::Whole(current.text.to_string());
        Some(delta.map_or_else(whole, DocumentReply::Changed))
    }

    fn find(&self, digest: Digest) -> Option<Arc<str>> {
        let texts = self.texts.lock().unwrap_or_else(PoisonError::into_inner);
        let found = texts.iter().find(|(known, _)| *known == digest);
        found.map(|(_, text)| Arc::clone(text))
    }
}
