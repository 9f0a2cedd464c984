//! Pulls newer documents from the peers that announced them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::RngExt as _;
use tanager_core::Revision;
use tokio::time::sleep;

use crate::catalogue::{DocumentKind, DocumentReply, DocumentRequest, PublishedDocument, Source};
use crate::membership::Gossip;
use crate::telemetry::Part;

/// Maximum delay before a pull. Several peers announce the same revision at about the same time;
/// the delay distributes the pulls of the fleet over them.
const MAX_PULL_DELAY: Duration = Duration::from_millis(100);
/// Offers kept per document, in case a peer does not deliver the newest one.
const MAX_OFFERS: usize = 8;

/// Pulls of documents that peers have announced.
#[derive(Debug, Default)]
pub struct Pulls {
    catalogue: Mutex<Offers>,
    instances: Mutex<Offers>,
    /// Held during a pull, one lock for each document, so that the bootstrap at start and an
    /// announcement do not transfer the same text twice.
    locks: [tokio::sync::Mutex<()>; 2],
}

/// Peers that offered a newer revision of one document.
#[derive(Debug, Default)]
struct Offers {
    /// Whether a task is pulling. A document may have 1 MB, so there is one task at a time.
    is_pulling: bool,
    /// Invariant: at most [`MAX_OFFERS`].
    pending: Vec<(Revision, SocketAddr)>,
}

impl Pulls {
    /// Records an offer and returns whether a task has to be started for it.
    fn add(&self, kind: DocumentKind, revision: Revision, peer: SocketAddr) -> bool {
        let mut offers = self.offers(kind);
        if !offers.pending.contains(&(revision, peer)) {
            if offers.pending.len() >= MAX_OFFERS {
                offers.pending.remove(0);
            }
            offers.pending.push((revision, peer));
        }
        !std::mem::replace(&mut offers.is_pulling, true)
    }

    /// Removes and returns the newest offer above `current`. If there is none, the task ends.
    fn pop_newest(&self, kind: DocumentKind, current: Revision) -> Option<(Revision, SocketAddr)> {
        let mut offers = self.offers(kind);
        offers.pending.retain(|(revision, _)| *revision > current);
        let newest = offers.pending.iter().enumerate().max_by_key(|(_, o)| o.0);
        if let Some((index, _)) = newest {
            return Some(offers.pending.remove(index));
        }
        offers.is_pulling = false;
        None
    }

    async fn lock(&self, kind: DocumentKind) -> tokio::sync::MutexGuard<'_, ()> {
        self.locks[usize::from(kind == DocumentKind::Instances)]
            .lock()
            .await
    }

    fn offers(&self, kind: DocumentKind) -> MutexGuard<'_, Offers> {
        let offers = match kind {
            DocumentKind::Catalogue => &self.catalogue,
            DocumentKind::Instances => &self.instances,
        };
        offers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gossip {
    /// Pulls a document in the background if `revision`, which a peer offers, is newer.
    pub(super) fn pull_if_newer(
        self: &Arc<Self>,
        kind: DocumentKind,
        revision: Revision,
        peer: SocketAddr,
    ) {
        let newer = revision > self.published(kind).revision;
        if newer && self.pulls.add(kind, revision, peer) {
            let gossip = Arc::clone(self);
            tokio::spawn(async move { gossip.pull_offers(kind).await });
        }
    }

    async fn pull_offers(&self, kind: DocumentKind) {
        let factor = rand::rng().random_range(0.0..1.0);
        sleep(MAX_PULL_DELAY.mul_f64(factor)).await;
        while let Some((revision, peer)) =
            self.pulls.pop_newest(kind, self.published(kind).revision)
        {
            self.pull(kind, revision, peer).await;
        }
    }

    /// Pulls a peer's document unless this instance has or has refused the revision by now.
    pub(super) async fn pull(&self, kind: DocumentKind, revision: Revision, peer: SocketAddr) {
        let _lock = self.pulls.lock(kind).await;
        let own = self.published(kind);
        let refused = kind == DocumentKind::Catalogue && self.catalogue.is_refused(revision);
        if own.revision >= revision || refused {
            return;
        }
        let base = (!own.revision.is_none()).then_some(own.digest);
        let mut reply = self.fetch(kind, &own, base, peer).await;
        if let Some(DocumentReply::Changed(delta)) = reply {
            if let Some(text) = delta.apply(&own.text) {
                self.counters.documents_delta.increment();
                return self.accept(kind, text).await;
            }
            self.counters.deltas_refused.increment();
            reply = self.fetch(kind, &own, None, peer).await;
        }
        if let Some(DocumentReply::Whole(text)) = reply {
            self.counters.documents_whole.increment();
            self.accept(kind, text).await;
        }
    }

    /// Answers a peer's request for a document newer than its own.
    pub fn document(&self, request: &DocumentRequest) -> Option<DocumentReply> {
        let reply = match request.kind {
            DocumentKind::Catalogue => self.catalogue.answer(request),
            DocumentKind::Instances => self.membership.answer(request),
        };
        self.count_received_call(request);
        self.count_sent_reply(&reply);
        reply
    }

    async fn fetch(
        &self,
        kind: DocumentKind,
        own: &PublishedDocument,
        base: Option<[u8; 16]>,
        peer: SocketAddr,
    ) -> Option<DocumentReply> {
        let request = DocumentRequest {
            kind,
            after: own.revision,
            base,
        };
        self.count_sent_call(&request);
        let reply = self.peers.document(peer, request).await.ok()?;
        self.count_received_reply(&reply);
        reply
    }

    async fn accept(&self, kind: DocumentKind, text: String) {
        match kind {
            DocumentKind::Catalogue => {
                let store = Arc::clone(&self.catalogue);
                store.offer_and_log(text, Source::Peer, &self.log).await;
            }
            DocumentKind::Instances => {
                if let Err(error) = self.membership.offer_list(&text) {
                    self.log.warn(Part::Membership, &error);
                }
            }
        }
    }

    pub(super) fn published(&self, kind: DocumentKind) -> PublishedDocument {
        match kind {
            DocumentKind::Catalogue => self.catalogue.published(),
            DocumentKind::Instances => self.membership.published(),
        }
    }
}
