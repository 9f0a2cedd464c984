use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use tanager_core::{InstanceName, RegionName, ResultCode, ZoneName, parse_duration};
use tanager_wire::{KeyNumber, KeyRing, Secret};

use crate::settings::raw::{RawKey, RawKeys, RawLog, RawPlatform};
use crate::settings::{Problem, RawSettings};
use crate::{Error, Result};

const DOCUMENT: &str = "settings";

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
    /// Text or JSON.
    pub format: LogFormat,
    /// Lowest level written.
    pub level: slog::Level,
    /// Lines that may wait for the writer. Invariant: at least 16.
    pub queue: usize,
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
    /// Returns [`Error::Document`] with every problem found.
    pub fn read(text: &str) -> Result<Self> {
        let raw: RawSettings = serde_saphyr::from_str(text).map_err(|e| {
            let problem = Problem::new(ResultCode::DocumentMalformed, DOCUMENT, e);
            Error::Document {
                document: DOCUMENT,
                problems: vec![problem],
            }
        })?;
        raw.try_into()
    }
}

/// Collects problems while values are checked.
#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
    fn parse<T: FromStr>(&mut self, key: &str, text: &str) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        let result = text.parse::<T>();
        result
            .map_err(|e| self.report(ResultCode::ValueMalformed, key, &e.to_string()))
            .ok()
    }

    fn report(&mut self, code: ResultCode, key: &str, message: &str) {
        self.problems.push(Problem::new(code, key, message));
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = Error;

    fn try_from(raw: RawSettings) -> Result<Self> {
        let mut check = Checker::default();
        let settings = check_settings(&raw, &mut check);
        match settings {
            Some(settings) if check.problems.is_empty() => Ok(settings),
            _ => Err(Error::Document {
                document: DOCUMENT,
                problems: check.problems,
            }),
        }
    }
}

fn check_settings(raw: &RawSettings, check: &mut Checker) -> Option<Settings> {
    let name = check.parse("instance.name", &raw.instance.name);
    let zone = check.parse("instance.zone", &raw.instance.zone);
    let region = check.parse("instance.region", &raw.instance.region);
    let callers = check.parse("listen.callers", &raw.listen.callers);
    let peers: Option<SocketAddr> = check.parse("listen.peers", &raw.listen.peers);
    let status = check.parse("listen.status", &raw.listen.status);
    let platform = check_platform(&raw.platform, check);
    let seeds: Vec<SocketAddr> = raw
        .peers
        .iter()
        .filter_map(|text| check.parse("peers", text))
        .collect();
    let keys = check_keys(&raw.keys, check);
    let log = check_log(&raw.log, check);
    // Port 0 lets the system choose, so two listeners with it do not collide.
    if peers == status && peers.is_some_and(|p| p.port() != 0) {
        check.report(
            ResultCode::DocumentDuplicate,
            "listen.status",
            "same as listen.peers",
        );
    }
    Some(Settings {
        name: name?,
        zone: zone?,
        region: region?,
        callers: callers?,
        peers: peers?,
        status: status?,
        platform: platform?,
        seeds: seeds.into_iter().filter(|s| Some(*s) != peers).collect(),
        keys: keys?,
        log: log?,
    })
}

fn check_platform(raw: &RawPlatform, check: &mut Checker) -> Option<PlatformSettings> {
    let address = check.parse("platform.address", &raw.address);
    let wait = parse_duration(&raw.wait)
        .map_err(|e| check.report(e.code(), "platform.wait", &e.to_string()))
        .ok()?;
    if !(Duration::from_secs(1)..=Duration::from_mins(1)).contains(&wait) {
        check.report(ResultCode::ValueOutOfRange, "platform.wait", "1s to 60s");
    }
    Some(PlatformSettings {
        address: address?,
        wait,
    })
}

fn check_keys(raw: &RawKeys, check: &mut Checker) -> Option<KeyRing> {
    let mut key = |name: &str, raw: &RawKey| {
        let secret: Option<Secret> = check.parse(name, &raw.secret);
        secret.map(|secret| (KeyNumber::new(raw.number), secret))
    };
    let current = key("keys.current", &raw.current);
    let previous = raw.previous.as_ref().map(|raw| key("keys.previous", raw));
    Some(KeyRing::new(current?, previous.flatten()))
}

fn check_log(raw: &RawLog, check: &mut Checker) -> Option<LogSettings> {
    let format = match raw.format.as_str() {
        "text" => Some(LogFormat::Text),
        "json" => Some(LogFormat::Json),
        _ => None,
    };
    if format.is_none() {
        check.report(
            ResultCode::ValueMalformed,
            "log.format",
            "expected text or json",
        );
    }
    let level = raw.level.parse().ok();
    if level.is_none() {
        let message = "expected error, warning, info or debug";
        check.report(ResultCode::ValueMalformed, "log.level", message);
    }
    if raw.queue < 16 {
        check.report(
            ResultCode::ValueOutOfRange,
            "log.queue",
            "at least 16 lines",
        );
    }
    Some(LogSettings {
        format: format?,
        level: level?,
        queue: raw.queue as usize,
    })
}
