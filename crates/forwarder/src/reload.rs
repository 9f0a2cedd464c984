//! Reloads the settings on SIGHUP and when their file has changed.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tanagerproxy::settings::ForwarderSettings;
use tokio::signal::unix::Signal;
use tokio::time::timeout;

use crate::instance::{Instance, beacon_addresses, warmup_bounds};

/// How often the settings file is checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings until the process ends.
pub async fn run(mut hangup: Signal, path: PathBuf, instance: Rc<Instance>) {
    let mut last_text = read(&path, &instance);
    loop {
        let signalled = timeout(CHECK_INTERVAL, hangup.recv()).await.is_ok();
        let text = read(&path, &instance);
        if text.is_some() && (signalled || text != last_text) {
            last_text = text;
            apply(
                last_text.as_deref().unwrap_or_default(),
                signalled,
                &instance,
            );
        }
    }
}

fn read(path: &Path, instance: &Instance) -> Option<String> {
    let text = std::fs::read_to_string(path);
    if let Err(error) = &text {
        warn!(instance.reporter.log, "[node] settings not read, the old ones stay";
            "error" => %error);
    }
    text.ok()
}

/// Applies the settings that may change while the process runs: seeds, the store's address and the
/// bounds for cold targets.
fn apply(text: &str, signalled: bool, instance: &Instance) {
    let log = &instance.reporter.log;
    let settings = match ForwarderSettings::read(text) {
        Ok(settings) => settings,
        Err(error) => {
            warn!(log, "[node] settings refused, the old ones stay"; "error" => %error);
            return;
        }
    };
    let seeds = beacon_addresses(&settings);
    info!(log, "[node] settings reloaded"; "signalled" => signalled,
        "seeds" => seeds.len(), "store" => %settings.store);
    instance.membership.borrow_mut().set_seeds(seeds);
    instance.store.set(settings.store);
    instance
        .forwarder
        .borrow_mut()
        .set_warmup_bounds(warmup_bounds(&settings));
}
