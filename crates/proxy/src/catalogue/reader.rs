//! Reads published documents from the platform, by watching (long polling) or by polling.

use std::sync::Arc;

use rand::RngExt as _;
use reqwest::StatusCode;
use std::time::Duration;
use tanager_core::Revision;
use tokio::time::Instant;

use crate::catalogue::DOCUMENT_LIMIT;
use crate::catalogue::poll_schedule::{PollSchedule, fallback_interval, hold_time, watch_pause};
use crate::catalogue::{CatalogueStore, Digest, DocumentKind, PublishedDocument, Source, digest};
use crate::membership::{Membership, WatchRole};
use crate::settings::PlatformSettings;
use crate::telemetry::{Counters, Log, Part};
use crate::{Error, Result};

/// Time after the end of a requested wait at which a call without an answer has failed.
const REPLY_MARGIN: Duration = Duration::from_secs(2);
/// How often an instance that does not watch checks whether it has to. An instance without answers
/// from peers is detected after 3 s; a change must be in force within 6 s.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time since its last answer for which a connection is used again. Something on the way may forget an
/// idle connection, and only the time-out of a call would show it.
const IDLE_LIMIT: Duration = Duration::from_secs(1);
/// Approximate bytes of a request, and of the head of its response; they count as control traffic.
const HTTP_OVERHEAD_BYTES: u64 = 150;

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
            client: client(),
            store,
            membership,
            counters,
            log,
        }
    }

    /// Reads a document whenever its schedule and role require, for as long as the process runs.
    pub async fn follow(self: Arc<Self>, kind: DocumentKind) {
        let mut watch = WatchState::default();
        loop {
            let hold_time = self.wait_until_due(kind).await;
            let after = self.after(kind);
            let read = self.read(kind, after, hold_time).await;
            // An outage affects both documents; one of them logs it.
            if kind == DocumentKind::Catalogue {
                watch.log_outage(&read, &self.log);
            }
            let usable = match &read {
                Ok(Some(text)) => Some(self.accept(kind, text, after, &mut watch).await),
                _ => None,
            };
            tokio::time::sleep(self.delay(kind, &mut watch, &read, usable)).await;
        }
    }

    /// Waits until this instance has to call, and returns how long the platform may hold the call.
    async fn wait_until_due(&self, kind: DocumentKind) -> Duration {
        let start = Instant::now();
        let interval = |instances| fallback_interval(instances, &mut rand::rng());
        let mut next = None;
        loop {
            let bytes = self.published(kind).text.len();
            match self.membership.watch_role() {
                WatchRole::Informed { instances } if bytes > 0 => {
                    let next = *next.get_or_insert_with(|| start + interval(instances));
                    if Instant::now() >= next {
                        return Duration::ZERO;
                    }
                }
                WatchRole::Watcher { .. } => return hold_time(bytes, self.platform.wait),
                WatchRole::Alone { .. } | WatchRole::Informed { .. } => return self.platform.wait,
            }
            let period = ROLE_CHECK_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.0));
            tokio::time::sleep(period).await;
        }
    }

    fn after(&self, kind: DocumentKind) -> Revision {
        match kind {
            DocumentKind::Catalogue => self.store.watch_after(),
            DocumentKind::Instances => self.membership.list().revision,
        }
    }

    fn published(&self, kind: DocumentKind) -> PublishedDocument {
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
        watch: &mut WatchState,
    ) -> bool {
        self.counters.platform_documents.increment();
        match kind {
            DocumentKind::Catalogue => self.accept_catalogue(text.to_owned(), after).await,
            DocumentKind::Instances => self.accept_list(text, after, watch),
        }
    }

    async fn accept_catalogue(&self, text: String, after: Revision) -> bool {
        let store = Arc::clone(&self.store);
        let accepted = store.offer_and_log(text, Source::Platform, &self.log).await;
        // A peer may have delivered the same revision while the call was waiting.
        let usable = accepted || self.store.current().revision > after;
        if !usable {
            self.counters.platform_unusable.increment();
        }
        usable
    }

    fn accept_list(&self, text: &str, after: Revision, watch: &mut WatchState) -> bool {
        let offered = self.membership.offer_list(text);
        let usable = offered.as_ref().is_ok_and(|revision| *revision > after);
        if let Err(error) = offered {
            if watch.last_refused != Some(digest(text)) {
                self.log.warn(Part::Membership, &error);
            }
            watch.last_refused = Some(digest(text));
        }
        if !usable {
            self.counters.platform_unusable.increment();
        }
        usable
    }

    fn delay(
        &self,
        kind: DocumentKind,
        watch: &mut WatchState,
        read: &Result<Option<String>>,
        usable: Option<bool>,
    ) -> Duration {
        let rng = &mut rand::rng();
        let (callers, watch_pause) = match self.membership.watch_role() {
            WatchRole::Watcher { watchers } => {
                (watchers, watch_pause(self.published(kind).text.len(), rng))
            }
            WatchRole::Alone { instances } | WatchRole::Informed { instances } => {
                (instances, Duration::ZERO)
            }
        };
        let size_known = !self.membership.list().revision.is_none() || callers > 1;
        match (read, usable) {
            (Err(_), _) => watch
                .schedule
                .after_failure(size_known.then_some(callers), rng),
            (_, Some(false)) => watch.schedule.after_unusable(callers, rng),
            _ => watch.schedule.after_answer(callers, rng).max(watch_pause),
        }
    }

    async fn read(
        &self,
        kind: DocumentKind,
        after: Revision,
        hold_time: Duration,
    ) -> Result<Option<String>> {
        let address = self.platform.address;
        let document = match kind {
            DocumentKind::Catalogue => "catalogue",
            DocumentKind::Instances => "instances",
        };
        // Jitter keeps watches that started at the same time from ending at the same time.
        let wait = hold_time.mul_f64(rand::rng().random_range(0.8..1.0));
        let url = format!(
            "http://{address}/v1/{document}?after={}&epoch={}&wait_ms={}&zone={}",
            after.number(),
            after.epoch(),
            wait.as_millis(),
            self.membership.identity().zone
        );
        self.counters.platform_calls.increment();
        self.counters.control_sent_bytes.add(HTTP_OVERHEAD_BYTES);
        let request = self.client.get(url).timeout(wait + REPLY_MARGIN);
        let reply = request
            .send()
            .await
            .map_err(|e| Error::platform(address, &e))?;
        self.counters
            .control_received_bytes
            .add(HTTP_OVERHEAD_BYTES);
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

/// Returns a client that replaces idle connections. Without TLS, building it does not fail.
fn client() -> reqwest::Client {
    let builder = reqwest::Client::builder().pool_idle_timeout(IDLE_LIMIT);
    builder.build().unwrap_or_default()
}

/// State of the reads of one document.
#[derive(Default)]
struct WatchState {
    schedule: PollSchedule,
    /// Whether the last call failed. An outage is logged at its start and at its end.
    failing: bool,
    /// Digest of the last refused document, so that it is logged once.
    last_refused: Option<Digest>,
}

impl WatchState {
    fn log_outage(&mut self, read: &Result<Option<String>>, log: &Log) {
        match read {
            Err(error) if !self.failing => log.warn(Part::Catalogue, error),
            Ok(_) if self.failing => log.info(Part::Catalogue, "the platform can be read again"),
            _ => {}
        }
        self.failing = read.is_err();
    }
}
