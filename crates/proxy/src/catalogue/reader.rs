//! Reads published documents from the platform, with a watch or by polling.

use std::sync::Arc;

use rand::RngExt as _;
use reqwest::StatusCode;
use std::time::Duration;
use tanager_core::Revision;
use tokio::time::Instant;

use crate::catalogue::DOCUMENT_LIMIT;
use crate::catalogue::pace::{Pace, check_interval, hold, rest};
use crate::catalogue::{CatalogueStore, Digest, DocumentKind, Published, Source, digest};
use crate::membership::{Membership, Watching};
use crate::settings::PlatformSettings;
use crate::telemetry::{Counters, Log, Part};
use crate::{Error, Result};

/// Added to the wait of a watch before the call counts as failed.
const REPLY_MARGIN: Duration = Duration::from_secs(2);
/// How often an instance that does not watch looks whether it has to. An instance without peers
/// is noticed after 3 s; a change must be in force within 6 s.
const ROLE_PERIOD: Duration = Duration::from_millis(500);
/// Bytes of a request and of the head of its reply, about; they count as control traffic.
const HEAD_BYTES: u64 = 150;

/// Reads the platform's catalogue and instance list.
pub struct PlatformReader {
    platform: PlatformSettings,
    client: reqwest::Client,
    store: Arc<CatalogueStore>,
    membership: Arc<Membership>,
    counters: Arc<Counters>,
    log: Log,
}

impl PlatformReader {
    /// Creates a reader. Nothing is read yet.
    #[must_use]
    pub fn new(
        platform: PlatformSettings,
        store: Arc<CatalogueStore>,
        membership: Arc<Membership>,
        counters: Arc<Counters>,
        log: Log,
    ) -> Self {
        Self {
            platform,
            client: reqwest::Client::new(),
            store,
            membership,
            counters,
            log,
        }
    }

    /// Reads a document whenever it is this instance's turn, for as long as the process lives.
    pub async fn follow(self: Arc<Self>, kind: DocumentKind) {
        let mut watch = Watch::default();
        loop {
            let hold = self.turn(kind).await;
            let after = self.after(kind);
            let read = self.read(kind, after, hold).await;
            // One log line for an outage is enough.
            if kind == DocumentKind::Catalogue {
                watch.note(&read, &self.log);
            }
            let used = match &read {
                Ok(Some(text)) => Some(self.accept(kind, text, after, &mut watch).await),
                _ => None,
            };
            tokio::time::sleep(self.delay(kind, &mut watch, &read, used)).await;
        }
    }

    /// Waits until this instance has to call, and returns how long the platform may hold the call.
    async fn turn(&self, kind: DocumentKind) -> Duration {
        let start = Instant::now();
        let interval = |instances| check_interval(instances, &mut rand::rng());
        let mut next = None;
        loop {
            let bytes = self.published(kind).text.len();
            match self.membership.watching() {
                Watching::Informed { instances } if bytes > 0 => {
                    let next = *next.get_or_insert_with(|| start + interval(instances));
                    if Instant::now() >= next {
                        return Duration::ZERO;
                    }
                }
                Watching::Watcher { .. } => return hold(bytes, self.platform.wait),
                Watching::Alone { .. } | Watching::Informed { .. } => return self.platform.wait,
            }
            let period = ROLE_PERIOD.mul_f64(rand::rng().random_range(0.5..1.0));
            tokio::time::sleep(period).await;
        }
    }

    fn after(&self, kind: DocumentKind) -> Revision {
        match kind {
            DocumentKind::Catalogue => self.store.watch_after(),
            DocumentKind::Instances => self.membership.list().revision,
        }
    }

    fn published(&self, kind: DocumentKind) -> Published {
        match kind {
            DocumentKind::Catalogue => self.store.published(),
            DocumentKind::Instances => self.membership.published(),
        }
    }

    async fn accept(
        &self,
        kind: DocumentKind,
        text: &str,
        after: Revision,
        watch: &mut Watch,
    ) -> bool {
        self.counters.platform_documents.increment();
        match kind {
            DocumentKind::Catalogue => self.accept_catalogue(text.to_owned(), after).await,
            DocumentKind::Instances => self.accept_list(text, after, watch),
        }
    }

    async fn accept_catalogue(&self, text: String, after: Revision) -> bool {
        let store = Arc::clone(&self.store);
        let accepted = store.take(text, Source::Platform, &self.log).await;
        // A peer may have delivered the same revision while the call was waiting.
        let used = accepted || self.store.current().revision > after;
        if !used {
            self.counters.platform_unusable.increment();
        }
        used
    }

    fn accept_list(&self, text: &str, after: Revision, watch: &mut Watch) -> bool {
        let offered = self.membership.offer_list(text);
        let used = offered.as_ref().is_ok_and(|revision| *revision > after);
        if let Err(error) = offered {
            if watch.refused != Some(digest(text)) {
                self.log.warn(Part::Membership, &error);
            }
            watch.refused = Some(digest(text));
        }
        if !used {
            self.counters.platform_unusable.increment();
        }
        used
    }

    fn delay(
        &self,
        kind: DocumentKind,
        watch: &mut Watch,
        read: &Result<Option<String>>,
        used: Option<bool>,
    ) -> Duration {
        let rng = &mut rand::rng();
        let (callers, rest) = match self.membership.watching() {
            Watching::Watcher { watchers } => {
                (watchers, rest(self.published(kind).text.len(), rng))
            }
            Watching::Alone { instances } | Watching::Informed { instances } => {
                (instances, Duration::ZERO)
            }
        };
        let known = self.membership.list().revision.get() > 0 || callers > 1;
        match (read, used) {
            (Err(_), _) => watch.pace.after_failure(known.then_some(callers), rng),
            (_, Some(false)) => watch.pace.after_unusable(callers, rng),
            _ => watch.pace.after_answer(callers, rng).max(rest),
        }
    }

    async fn read(
        &self,
        kind: DocumentKind,
        after: Revision,
        hold: Duration,
    ) -> Result<Option<String>> {
        let address = self.platform.address;
        let document = match kind {
            DocumentKind::Catalogue => "catalogue",
            DocumentKind::Instances => "instances",
        };
        // Jitter keeps watches that began together from ending together.
        let wait = hold.mul_f64(rand::rng().random_range(0.8..1.0));
        let url = format!(
            "http://{address}/v1/{document}?after={after}&wait_ms={}&zone={}",
            wait.as_millis(),
            self.membership.identity().zone
        );
        self.counters.platform_calls.increment();
        self.counters.control_sent_bytes.add(HEAD_BYTES);
        let request = self.client.get(url).timeout(wait + REPLY_MARGIN);
        let reply = request
            .send()
            .await
            .map_err(|e| Error::platform(address, &e))?;
        self.counters.control_received_bytes.add(HEAD_BYTES);
        match reply.status() {
            StatusCode::NOT_MODIFIED => return Ok(None),
            StatusCode::OK => {}
            status => return Err(Error::platform(address, &status)),
        }
        let body = self.read_body(document, reply).await?;
        let text = String::from_utf8(body).map_err(|e| Error::platform(address, &e))?;
        Ok(Some(text))
    }

    async fn read_body(&self, document: &str, mut reply: reqwest::Response) -> Result<Vec<u8>> {
        let address = self.platform.address;
        let mut body = Vec::new();
        while let Some(chunk) = reply
            .chunk()
            .await
            .map_err(|e| Error::platform(address, &e))?
        {
            self.counters.control_received_bytes.add(chunk.len() as u64);
            body.extend_from_slice(&chunk);
            if body.len() > DOCUMENT_LIMIT {
                let message = format!("{document} exceeds {DOCUMENT_LIMIT} bytes");
                return Err(Error::platform(address, &message));
            }
        }
        Ok(body)
    }
}

/// The state of one watch.
#[derive(Default)]
struct Watch {
    pace: Pace,
    /// Whether the last call failed; an outage is logged at its start and its end.
    failing: bool,
    /// Digest of the last refused document; it is logged once.
    refused: Option<Digest>,
}

impl Watch {
    fn note(&mut self, read: &Result<Option<String>>, log: &Log) {
        match read {
            Err(error) if !self.failing => log.warn(Part::Catalogue, error),
            Ok(_) if self.failing => log.info(Part::Catalogue, "the platform can be read again"),
            _ => {}
        }
        self.failing = read.is_err();
    }
}
