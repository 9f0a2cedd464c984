use std::sync::Arc;
use std::time::Duration;

use rand::RngExt as _;
use reqwest::StatusCode;
use tanager_core::Revision;

use crate::catalogue::CatalogueStore;
use crate::membership::Membership;
use crate::settings::PlatformSettings;
use crate::telemetry::{Counters, Log, Part};
use crate::{Error, Result};

/// First delay after a failed read; doubled up to [`BACKOFF_LIMIT`].
const BACKOFF_START: Duration = Duration::from_millis(200);
/// Longest delay between reads while the platform is down. With the fleet at 670 instances this
/// keeps retries at about 130 a second.
const BACKOFF_LIMIT: Duration = Duration::from_secs(5);
/// Added to the wait of a watch before the call counts as failed.
const REPLY_MARGIN: Duration = Duration::from_secs(2);

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
        let mut backoff = BACKOFF_START;
        loop {
            let after = self.store.current().revision;
            match self.read("catalogue", after).await {
                Ok(Some(text)) => {
                    self.accept(&text);
                    backoff = BACKOFF_START;
                    // A platform serving old data answers at once; this bounds the call rate.
                    if self.store.current().revision <= after {
                        pause(Duration::from_secs(1)).await;
                    }
                }
                Ok(None) => backoff = BACKOFF_START,
                Err(error) => {
                    self.log.warn(Part::Catalogue, &error);
                    pause(backoff).await;
                    backoff = (backoff * 2).min(BACKOFF_LIMIT);
                }
            }
        }
    }

    /// Watches the instance list for as long as the process lives.
    pub async fn watch_instances(self: Arc<Self>) {
        let mut backoff = BACKOFF_START;
        let mut after = Revision::new(0);
        loop {
            match self.read("instances", after).await {
                Ok(Some(text)) => match self.membership.offer_list(&text) {
                    Ok(revision) => {
                        after = revision;
                        backoff = BACKOFF_START;
                    }
                    Err(error) => {
                        self.log.warn(Part::Membership, &error);
                        pause(BACKOFF_LIMIT).await;
                    }
                },
                Ok(None) => backoff = BACKOFF_START,
                Err(_) => {
                    pause(backoff).await;
                    backoff = (backoff * 2).min(BACKOFF_LIMIT);
                }
            }
        }
    }

    fn accept(&self, text: &str) {
        match self.store.offer(text) {
            Ok(catalogue) => {
                let revision = catalogue.revision;
                self.log.info(
                    Part::Catalogue,
                    format_args!("revision {revision} from the platform is in force"),
                );
            }
            Err(error) => self.log.warn(Part::Catalogue, &error),
        }
    }

    async fn read(&self, document: &str, after: Revision) -> Result<Option<String>> {
        let address = self.platform.address;
        let wait = self.platform.wait;
        let url = format!(
            "http://{address}/v1/{document}?after={after}&wait_ms={}&zone={}",
            wait.as_millis(),
            self.membership.identity().zone
        );
        self.counters.platform_calls.increment();
        let request = self.client.get(url).timeout(wait + REPLY_MARGIN);
        let reply = request
            .send()
            .await
            .map_err(|e| Error::platform(address, &e))?;
        match reply.status() {
            StatusCode::NOT_MODIFIED => Ok(None),
            StatusCode::OK => {
                let text = reply
                    .text()
                    .await
                    .map_err(|e| Error::platform(address, &e))?;
                self.counters.control_received_bytes.add(text.len() as u64);
                Ok(Some(text))
            }
            status => Err(Error::platform(address, &status)),
        }
    }
}

/// Waits between half and all of `delay`, so that instances do not retry in step.
async fn pause(delay: Duration) {
    let factor = rand::rng().random_range(0.5..1.0);
    tokio::time::sleep(delay.mul_f64(factor)).await;
}
