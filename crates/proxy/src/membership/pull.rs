//! Reads newer documents from peers that announced them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::RngExt as _;
use tanager_core::Revision;
use tokio::time::sleep;

use crate::catalogue::{DocumentKind, DocumentReply, DocumentRequest, Published, Source};
use crate::membership::Gossip;
use crate::telemetry::Part;

/// Longest delay before a pull. Some peers announce the same revision at about the same moment;
/// the delay spreads the pulls over them.
const PULL_DELAY: Duration = Duration::from_millis(100);
/// Offers of newer documents kept for the case that a peer does not deliver.
const OFFERS: usize = 8;

/// Pulls of documents that peers have announced.
#[derive(Debug, Default)]
pub struct Pulls {
    catalogue: Mutex<Offers>,
    instances: Mutex<Offers>,
    /// Held during a pull. The survey at start and announcements must not both transfer a text.
    turns: [tokio::sync::Mutex<()>; 2],
}

/// Offers of one document.
#[derive(Debug, Default)]
struct Offers {
    /// Whether a task is pulling; a document may have 1 MB.
    running: bool,
    /// Invariant: at most [`OFFERS`].
    waiting: Vec<(Revision, SocketAddr)>,
}

impl Pulls {
    /// Notes an offer and returns whether a task has to be started for it.
    fn note(&self, kind: DocumentKind, revision: Revision, peer: SocketAddr) -> bool {
        let mut offers = self.offers(kind);
        if !offers.waiting.contains(&(revision, peer)) {
            if offers.waiting.len() >= OFFERS {
                offers.waiting.remove(0);
            }
            offers.waiting.push((revision, peer));
        }
        !std::mem::replace(&mut offers.running, true)
    }

    /// Takes out the newest offer that is newer than `current`. The task ends if there is none.
    fn next(&self, kind: DocumentKind, current: Revision) -> Option<(Revision, SocketAddr)> {
        let mut offers = self.offers(kind);
        offers.waiting.retain(|(revision, _)| *revision > current);
        let newest = offers.waiting.iter().enumerate().max_by_key(|(_, o)| o.0);
        if let Some((index, _)) = newest {
            return Some(offers.waiting.remove(index));
        }
        offers.running = false;
        None
    }

    async fn turn(&self, kind: DocumentKind) -> tokio::sync::MutexGuard<'_, ()> {
        self.turns[usize::from(kind == DocumentKind::Instances)]
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
    /// Pulls a document in the background if a peer has a newer one.
    pub(super) fn consider(
        self: &Arc<Self>,
        kind: DocumentKind,
        revision: Revision,
        peer: SocketAddr,
    ) {
        let newer = revision > self.published(kind).revision;
        if newer && self.pulls.note(kind, revision, peer) {
            let gossip = Arc::clone(self);
            tokio::spawn(async move { gossip.pull_offers(kind).await });
        }
    }

    async fn pull_offers(&self, kind: DocumentKind) {
        let factor = rand::rng().random_range(0.0..1.0);
        sleep(PULL_DELAY.mul_f64(factor)).await;
        while let Some((revision, peer)) = self.pulls.next(kind, self.published(kind).revision) {
            self.pull(kind, revision, peer).await;
        }
    }

    /// Fetches a peer's document unless this instance has the revision by now.
    pub(super) async fn pull(&self, kind: DocumentKind, revision: Revision, peer: SocketAddr) {
        let _turn = self.pulls.turn(kind).await;
        let own = self.published(kind);
        let refused = kind == DocumentKind::Catalogue && self.catalogue.is_refused(revision);
        if own.revision >= revision || refused {
            return;
        }
        let base = (own.revision.get() > 0).then_some(own.digest);
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

    /// Answers a peer that asks for a document newer than its own.
    pub fn document(&self, request: &DocumentRequest) -> Option<DocumentReply> {
        let reply = match request.kind {
            DocumentKind::Catalogue => self.catalogue.answer(request),
            DocumentKind::Instances => self.membership.answer(request),
        };
        self.received_call(request);
        self.sent_reply(&reply);
        reply
    }

    async fn fetch(
        &self,
        kind: DocumentKind,
        own: &Published,
        base: Option<[u8; 16]>,
        peer: SocketAddr,
    ) -> Option<DocumentReply> {
        let request = DocumentRequest {
            kind,
            after: own.revision,
            base,
        };
        self.sent_call(&request);
        let reply = self.peers.document(peer, request).await.ok()?;
        self.received_reply(&reply);
        reply
    }

    async fn accept(&self, kind: DocumentKind, text: String) {
        match kind {
            DocumentKind::Catalogue => {
                let store = Arc::clone(&self.catalogue);
                store.take(text, Source::Peer, &self.log).await;
            }
            DocumentKind::Instances => {
                if let Err(error) = self.membership.offer_list(&text) {
                    self.log.warn(Part::Membership, &error);
                }
            }
        }
    }

    pub(super) fn published(&self, kind: DocumentKind) -> Published {
        match kind {
            DocumentKind::Catalogue => self.catalogue.published(),
            DocumentKind::Instances => self.membership.published(),
        }
    }
}
