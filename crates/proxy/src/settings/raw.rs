use serde::{Deserialize, Serialize};

/// Settings as written in YAML, not yet checked. Every value is text or a number.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Who the instance is.
    pub instance: RawInstance,
    /// Where it listens.
    pub listen: RawListen,
    /// Where the platform is.
    pub platform: RawPlatform,
    /// Peer addresses to ask at start, before an instance list is known.
    #[serde(default)]
    pub peers: Vec<String>,
    /// Secrets for tokens.
    pub keys: RawKeys,
    /// How to log.
    #[serde(default)]
    pub log: RawLog,
}

/// Who the instance is.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawInstance {
    /// Unique name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
}

/// Where the instance listens, as `address:port`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawListen {
    /// UDP, for callers.
    pub callers: String,
    /// TCP, for other instances.
    pub peers: String,
    /// TCP, for status and metrics over HTTP.
    pub status: String,
}

/// Where the platform is.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPlatform {
    /// HTTP address of the configuration service.
    pub address: String,
    /// Longest wait of one watch.
    #[serde(default = "default_wait")]
    pub wait: String,
}

/// Secrets for tokens.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawKeys {
    /// Signs and verifies.
    pub current: RawKey,
    /// Only verifies.
    #[serde(default)]
    pub previous: Option<RawKey>,
}

/// One secret.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawKey {
    /// Identifies the secret in tokens, 0 to 255.
    pub number: u8,
    /// 64 hexadecimal digits.
    pub secret: String,
}

/// How to log.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLog {
    /// `text` or `json`.
    #[serde(default = "default_format")]
    pub format: String,
    /// `error`, `warning`, `info` or `debug`.
    #[serde(default = "default_level")]
    pub level: String,
    /// Lines that may wait for the writer; further ones are dropped and counted.
    #[serde(default = "default_queue")]
    pub queue: u32,
}

impl Default for RawLog {
    fn default() -> Self {
        Self {
            format: default_format(),
            level: default_level(),
            queue: default_queue(),
        }
    }
}

fn default_wait() -> String {
    "20s".to_owned()
}

fn default_format() -> String {
    "text".to_owned()
}

fn default_level() -> String {
    "info".to_owned()
}

const fn default_queue() -> u32 {
    4_096
}
