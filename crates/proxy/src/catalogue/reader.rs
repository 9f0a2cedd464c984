use std::sync::Arc;

use rand::RngExt as _;
use reqwest::StatusCode;
use std::time::Duration;
use tanager_core::Revision;

use crate::catalogue::pace::Pace;
use crate::catalogue::{CatalogueStore, Digest, Source, digest};
use crate::membership::Membership;
use crate::settings::PlatformSettings;
use crate::telemetry::{Counters, Log, Part};
use crate::{Error, Result};

/// Added to the wait of a watch before the call counts as failed.
const REPLY_MARGIN: Duration = Duration::from_secs(2);
/// Largest document accepted, in bytes. The platform publishes values of up to 1 MB.
const DOCUMENT_LIMIT: usize = 1 << 20;
/// Bytes of a request and of the head of its reply, about; they count as control traffic.
const HEAD_BYTES: u64 = 150;

/// Watches the platform's catalogue and instance list.
pub struct Reader {
    platform: PlatformSettings,
    client: reqwest::Client,
    store: Arc<CatalogueStore>,
    membership: Arc<Membership>,
    counters: Arc<Counters>,
    log: Log,
}

impl Reader {
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

    /// Watches the catalogue for as long as the process lives.
    pub async fn watch_catalogue(self: Arc<Self>) {
        let mut watch = Watch::default();
        loop {
            let read = self.read("catalogue", self.store.watch_after()).await;
            watch.note(&read, &self.log);
            let used = match &read {
                Ok(Some(text)) => Some(self.accept_catalogue(text.clone()).await),
                _ => None,
            };
            tokio::time::sleep(self.delay(&mut watch, &read, used)).await;
        }
    }

    /// Watches the instance list for as long as the process lives.
    pub async fn watch_instances(self: Arc<Self>) {
        let mut watch = Watch::default();
        loop {
            let after = self.membership.list().revision;
            let read = self.read("instances", after).await;
            // Failures are logged by the watch on the catalogue already.
            let used = match &read {
                Ok(Some(text)) => Some(self.accept_list(text, after, &mut watch)),
                _ => None,
            };
            tokio::time::sleep(self.delay(&mut watch, &read, used)).await;
        }
    }

    async fn accept_catalogue(&self, text: String) -> bool {
        let before = self.store.current().revision;
        let store = Arc::clone(&self.store);
        let accepted = store.take(text, Source::Platform, &self.log).await;
        // A peer may have delivered the same revision while the call was waiting.
        let used = accepted || self.store.current().revision > before;
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
        watch: &mut Watch,
        read: &Result<Option<String>>,
        used: Option<bool>,
    ) -> Duration {
        let rng = &mut rand::rng();
        let instances = self.membership.instance_count();
        let known = self.membership.list().revision.get() > 0 || instances > 1;
        match (read, used) {
            (Err(_), _) => watch.pace.after_failure(known.then_some(instances), rng),
            (_, Some(false)) => watch.pace.after_unusable(instances, rng),
            _ => watch.pace.after_answer(instances, rng),
        }
    }

    async fn read(&self, document: &str, after: Revision) -> Result<Option<String>> {
        let address = self.platform.address;
        // Jitter keeps watches that began together from ending together.
        let wait = self
            .platform
            .wait
            .mul_f64(rand::rng().random_range(0.8..1.0));
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
