//! Checked settings of `tanager-balancer`.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use tanager_core::{InstanceName, RegionName, ResultCode, ZoneName, parse_duration};
use tanager_wire::{KeyNumber, KeyRing, Secret};

use crate::Result;
use crate::settings::{Checker, Problem, Section, problems_of};

const DOCUMENT: &str = "settings";
/// The longest wait of a watch unless the settings have another.
const DEFAULT_WAIT: Duration = Duration::from_secs(20);
/// Shorter waits exceed the platform's call limit; longer ones outlive connections.
const WAIT_RANGE: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_mins(1);
/// Lines that may wait for the writer; a million lines take some 200 MB.
const QUEUE_RANGE: RangeInclusive<u64> = 16..=1_000_000;

/// Checked settings of an instance.
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
    /// The platform.
    pub platform: PlatformSettings,
    /// Peers to ask at start. Invariant: does not contain the instance's own address.
    pub seeds: Vec<SocketAddr>,
    /// Secrets for tokens.
    pub keys: KeyRing,
    /// How to log.
    pub log: LogSettings,
}

/// Where the platform is.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// HTTP address of the configuration service.
    pub address: SocketAddr,
    /// Longest wait of one watch. Invariant: 1 s to 60 s.
    pub wait: Duration,
}

/// How to log.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// Where lines go.
    pub output: LogOutput,
    /// Text or JSON.
    pub format: LogFormat,
    /// Lowest level written.
    pub level: slog::Level,
    /// Lines that may wait for the writer. Invariant: at least 16.
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

/// Where log lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error.
    Stderr,
    /// Standard output.
    Stdout,
}

/// The form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// For programs.
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

fn check_settings(top: &Section<'_>, check: &mut Checker) -> Option<Settings> {
    let required = ["instance", "listen", "platform", "keys"];
    top.check_keys(check, &required, &["peers", "log"]);
    let identity = top
        .section(check, "instance")
        .and_then(|section| check_instance(&section, check));
    let listen = top
        .section(check, "listen")
        .and_then(|section| check_listen(&section, check));
    let platform = top
        .section(check, "platform")
        .and_then(|section| check_platform(&section, check));
    let seeds = check_seeds(top, check);
    let keys = top
        .section(check, "keys")
        .and_then(|section| check_keys(&section, check));
    let log = match top.section(check, "log") {
        Some(section) => check_log(&section, check),
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
    check: &mut Checker,
) -> Option<(InstanceName, ZoneName, RegionName)> {
    section.check_keys(check, &["name", "zone", "region"], &[]);
    let name = section.parse(check, "name");
    let zone = section.parse(check, "zone");
    let region = section.parse(check, "region");
    Some((name?, zone?, region?))
}

fn check_listen(section: &Section<'_>, check: &mut Checker) -> Option<[SocketAddr; 3]> {
    section.check_keys(check, &["callers", "peers", "status"], &[]);
    let callers: Option<SocketAddr> = section.parse(check, "callers");
    let peers: Option<SocketAddr> = section.parse(check, "peers");
    let status: Option<SocketAddr> = section.parse(check, "status");
    // Port 0 lets the system choose, so two listeners with it do not collide. `callers` is UDP.
    for (key, address) in [("peers", peers), ("status", status)] {
        if let Some(address) = address.filter(|a| a.port() != 0) {
            let span = section.span_of(key);
            check.unique(
                "TCP address",
                &section.path(key),
                span,
                &address.to_string(),
            );
        }
    }
    Some([callers?, peers?, status?])
}

fn check_platform(section: &Section<'_>, check: &mut Checker) -> Option<PlatformSettings> {
    section.check_keys(check, &["address"], &["wait"]);
    let address = section.address(check, "address");
    let wait = match section.text(check, "wait") {
        None => Some(DEFAULT_WAIT),
        Some(value) => {
            let path = section.path("wait");
            match parse_duration(value.text) {
                Ok(wait) if WAIT_RANGE.contains(&wait) => Some(wait),
                Ok(_) => {
                    let message = format!("{} is not 1s to 60s", value.text);
                    check.report(ResultCode::ValueOutOfRange, &path, value.span, message);
                    None
                }
                Err(error) => {
                    check.report(error.code(), &path, value.span, error);
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

fn check_seeds(top: &Section<'_>, check: &mut Checker) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    for (i, tree) in top.list(check, "peers").iter().enumerate() {
        let path = format!("peers[{i}]");
        if let Some(address) = tree.address(check, &path) {
            check.unique("peer", &path, tree.span, &address.to_string());
            seeds.push(address);
        }
    }
    seeds
}

fn check_keys(section: &Section<'_>, check: &mut Checker) -> Option<KeyRing> {
    section.check_keys(check, &["current"], &["previous"]);
    let current = check_key(section, check, "current");
    let previous = check_key(section, check, "previous");
    Some(KeyRing::new(current?, previous))
}

fn check_key(parent: &Section<'_>, check: &mut Checker, key: &str) -> Option<(KeyNumber, Secret)> {
    let section = parent.section(check, key)?;
    section.check_keys(check, &["number", "secret"], &[]);
    let number = section.number(check, "number", 0..=u64::from(u8::MAX));
    let secret: Option<Secret> = section.parse(check, "secret");
    let number = u8::try_from(number?).ok()?;
    let span = section.span_of("number");
    // Tokens name their secret by number.
    check.unique(
        "key number",
        &section.path("number"),
        span,
        &number.to_string(),
    );
    Some((KeyNumber::new(number), secret?))
}

pub(super) fn check_log(section: &Section<'_>, check: &mut Checker) -> Option<LogSettings> {
    section.check_keys(check, &[], &["output", "format", "level", "queue"]);
    let LogSettings {
        mut output,
        mut format,
        mut level,
        mut queue,
    } = LogSettings::default();
    let outputs = [("stderr", LogOutput::Stderr), ("stdout", LogOutput::Stdout)];
    if let Some(chosen) = section.choice(check, "output", &outputs) {
        output = chosen;
    }
    let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    let levels = [
        ("error", slog::Level::Error),
        ("warning", slog::Level::Warning),
        ("info", slog::Level::Info),
        ("debug", slog::Level::Debug),
    ];
    if let Some(chosen) = section.choice(check, "format", &formats) {
        format = chosen;
    }
    if let Some(chosen) = section.choice(check, "level", &levels) {
        level = chosen;
    }
    if let Some(lines) = section.number(check, "queue", QUEUE_RANGE) {
        queue = usize::try_from(lines).ok()?;
    }
    Some(LogSettings {
        output,
        format,
        level,
        queue,
    })
}
