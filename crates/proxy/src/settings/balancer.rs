//! Validated settings of `tanager-balancer`.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use tanager_core::{InstanceName, RegionName, ResultCode, ZoneName, parse_duration};
use tanager_wire::{KeyNumber, KeyRing, Secret};

use crate::Result;
use crate::settings::{Checker, Problem, Section, problems_of};

const DOCUMENT: &str = "settings";
/// Default of the maximum wait of one watch.
const DEFAULT_WAIT: Duration = Duration::from_secs(20);
/// Allowed waits. Shorter ones exceed the platform's call limit; longer ones outlive connections.
const WAIT_RANGE: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_mins(1);
/// Allowed lengths of the log queue in lines; a million lines take about 200 MB.
const QUEUE_RANGE: RangeInclusive<u64> = 16..=1_000_000;

/// Validated settings of an instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Unique name of the instance.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// UDP address for callers.
    pub callers: SocketAddr,
    /// TCP address for other instances.
    pub peers: SocketAddr,
    /// TCP address for status and metrics.
    pub status: SocketAddr,
    /// Connection to the platform.
    pub platform: PlatformSettings,
    /// Peers to contact at start. Invariant: does not contain the instance's own address.
    pub seeds: Vec<SocketAddr>,
    /// Secrets for tokens.
    pub keys: KeyRing,
    /// Log settings.
    pub log: LogSettings,
}

/// Settings of the connection to the platform.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// HTTP address of the configuration service.
    pub address: SocketAddr,
    /// Maximum wait of one watch. Invariant: 1 s to 60 s.
    pub wait: Duration,
}

/// Settings of the log.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// Destination of log lines.
    pub output: LogOutput,
    /// Format of log lines.
    pub format: LogFormat,
    /// Lowest level that is written.
    pub level: slog::Level,
    /// Length of the queue to the log writer, in lines. Invariant: at least 16.
    pub queue: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            output: LogOutput::Stderr,
            format: LogFormat::Text,
            level: slog::Level::Info,
            queue: 4_096,
        }
    }
}

/// Destination of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error.
    Stderr,
    /// Standard output.
    Stdout,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for people.
    Text,
    /// JSON for programs.
    Json,
}

impl Settings {
    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Document`] with every problem found.
    pub fn read(text: &str) -> Result<Self> {
        Checker::read_document(text, DOCUMENT, check_settings)
    }
}

/// Returns the problems of a settings file, each with its line.
#[must_use]
pub fn check(text: &str) -> Vec<Problem> {
    problems_of(Settings::read(text))
}

fn check_settings(top: &Section<'_>, checker: &mut Checker) -> Option<Settings> {
    let required = ["instance", "listen", "platform", "keys"];
    top.check_keys(checker, &required, &["peers", "log"]);
    let identity = top
        .section(checker, "instance")
        .and_then(|section| check_instance(&section, checker));
    let listen = top
        .section(checker, "listen")
        .and_then(|section| check_listen(&section, checker));
    let platform = top
        .section(checker, "platform")
        .and_then(|section| check_platform(&section, checker));
    let seeds = check_seeds(top, checker);
    let keys = top
        .section(checker, "keys")
        .and_then(|section| check_keys(&section, checker));
    let log = match top.section(checker, "log") {
        Some(section) => check_log(&section, checker),
        None => Some(LogSettings::default()),
    };
    let (name, zone, region) = identity?;
    let [callers, peers, status] = listen?;
    Some(Settings {
        name,
        zone,
        region,
        callers,
        peers,
        status,
        platform: platform?,
        seeds: seeds.into_iter().filter(|s| *s != peers).collect(),
        keys: keys?,
        log: log?,
    })
}

fn check_instance(
    section: &Section<'_>,
    checker: &mut Checker,
) -> Option<(InstanceName, ZoneName, RegionName)> {
    section.check_keys(checker, &["name", "zone", "region"], &[]);
    let name = section.parse(checker, "name");
    let zone = section.parse(checker, "zone");
    let region = section.parse(checker, "region");
    Some((name?, zone?, region?))
}

fn check_listen(section: &Section<'_>, checker: &mut Checker) -> Option<[SocketAddr; 3]> {
    section.check_keys(checker, &["callers", "peers", "status"], &[]);
    let callers: Option<SocketAddr> = section.parse(checker, "callers");
    let peers: Option<SocketAddr> = section.parse(checker, "peers");
    let status: Option<SocketAddr> = section.parse(checker, "status");
    // With port 0 the system chooses a free port, so two listeners may both have it. `callers` uses
    // UDP and cannot conflict with them.
    for (key, address) in [("peers", peers), ("status", status)] {
        if let Some(address) = address.filter(|a| a.port() != 0) {
            let span = section.span_of(key);
            checker.unique(
                "TCP address",
                &section.path(key),
                span,
                &address.to_string(),
            );
        }
    }
    Some([callers?, peers?, status?])
}

fn check_platform(section: &Section<'_>, checker: &mut Checker) -> Option<PlatformSettings> {
    section.check_keys(checker, &["address"], &["wait"]);
    let address = section.address(checker, "address");
    let wait = match section.text(checker, "wait") {
        None => Some(DEFAULT_WAIT),
        Some(value) => {
            let path = section.path("wait");
            match parse_duration(value.text) {
                Ok(wait) if WAIT_RANGE.contains(&wait) => Some(wait),
                Ok(_) => {
                    let message = format!("{} is outside the range 1s to 60s", value.text);
                    checker.report(ResultCode::ValueOutOfRange, &path, value.span, message);
                    None
                }
                Err(error) => {
                    checker.report(error.code(), &path, value.span, error);
                    None
                }
            }
        }
    };
    Some(PlatformSettings {
        address: address?,
        wait: wait?,
    })
}

fn check_seeds(top: &Section<'_>, checker: &mut Checker) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    for (i, tree) in top.list(checker, "peers").iter().enumerate() {
        let path = format!("peers[{i}]");
        if let Some(address) = tree.address(checker, &path) {
            checker.unique("peer", &path, tree.span, &address.to_string());
            seeds.push(address);
        }
    }
    seeds
}

fn check_keys(section: &Section<'_>, checker: &mut Checker) -> Option<KeyRing> {
    section.check_keys(checker, &["current"], &["previous"]);
    let current = check_key(section, checker, "current");
    let previous = check_key(section, checker, "previous");
    Some(KeyRing::new(current?, previous))
}

fn check_key(
    parent: &Section<'_>,
    checker: &mut Checker,
    key: &str,
) -> Option<(KeyNumber, Secret)> {
    let section = parent.section(checker, key)?;
    section.check_keys(checker, &["number", "secret"], &[]);
    let number = section.number(checker, "number", 0..=u64::from(u8::MAX));
    let secret: Option<Secret> = section.parse(checker, "secret");
    let number = u8::try_from(number?).ok()?;
    let span = section.span_of("number");
    // Tokens refer to their secret by this number.
    checker.unique(
        "key number",
        &section.path("number"),
        span,
        &number.to_string(),
    );
    Some((KeyNumber::new(number), secret?))
}

pub(super) fn check_log(section: &Section<'_>, checker: &mut Checker) -> Option<LogSettings> {
    section.check_keys(checker, &[], &["output", "format", "level", "queue"]);
    let LogSettings {
        mut output,
        mut format,
        mut level,
        mut queue,
    } = LogSettings::default();
    let outputs = [("stderr", LogOutput::Stderr), ("stdout", LogOutput::Stdout)];
    if let Some(chosen) = section.choice(checker, "output", &outputs) {
        output = chosen;
    }
    let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    let levels = [
        ("error", slog::Level::Error),
        ("warning", slog::Level::Warning),
        ("info", slog::Level::Info),
        ("debug", slog::Level::Debug),
    ];
    if let Some(chosen) = section.choice(checker, "format", &formats) {
        format = chosen;
    }
    if let Some(chosen) = section.choice(checker, "level", &levels) {
        level = chosen;
    }
    if let Some(lines) = section.number(checker, "queue", QUEUE_RANGE) {
        queue = usize::try_from(lines).ok()?;
    }
    Some(LogSettings {
        output,
        format,
        level,
        queue,
    })
}
