//! The router's settings.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cypressfork_node::settings::{Base, Common, Error, Raw, address, range};
use serde::{Deserialize, Serialize};

/// The settings file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// What every process has.
    pub common: Common,
    /// Where callers connect.
    pub listen: String,
    /// The address that entry answers name; `listen` if not given.
    #[serde(default)]
    pub public: Option<String>,
    /// Where operators read health and metrics.
    pub operators: String,
    /// The control process of this data centre that keeps its reserve.
    #[serde(default)]
    pub reserve: Option<String>,
    /// Where the platform lists its VMs, as http://ADDRESS/PATH.
    #[serde(default)]
    pub platform: Option<String>,
    /// File that traces are appended to, as OTLP JSON lines.
    #[serde(default)]
    pub trace_file: Option<String>,
    /// The largest body of a request, in bytes.
    #[serde(default = "body_default")]
    pub body_cap: u64,
    /// The largest headers of a request, in bytes.
    #[serde(default = "head_default")]
    pub head_cap: u64,
    /// Seconds that callers keep an entry answer.
    #[serde(default = "keep_default")]
    pub entry_keep_s: u64,
    /// Milliseconds that a request may take if it names no deadline.
    #[serde(default = "deadline_default")]
    pub deadline_ms: u64,
    /// Milliseconds between tallies to the control group.
    #[serde(default = "tally_default")]
    pub tally_ms: u64,
    /// Seconds that a planned stop waits for open streams at most.
    #[serde(default = "drain_default")]
    pub drain_s: u64,
}

fn body_default() -> u64 {
    1024 * 1024
}

fn head_default() -> u64 {
    16 * 1024
}

fn keep_default() -> u64 {
    10
}

fn deadline_default() -> u64 {
    120_000
}

fn tally_default() -> u64 {
    250
}

fn drain_default() -> u64 {
    300
}

/// The settings, checked.
#[derive(Clone)]
pub struct Settings {
    /// What every process has.
    pub base: Base,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// The address that entry answers name.
    pub public: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Who keeps the reserve of this data centre.
    pub reserve: Option<SocketAddr>,
    /// Where the platform lists its VMs.
    pub platform: Option<String>,
    /// File that traces are appended to.
    pub trace_file: Option<PathBuf>,
    /// The largest body of a request, in bytes.
    pub body_cap: usize,
    /// The largest headers of a request, in bytes.
    pub head_cap: usize,
    /// How long callers keep an entry answer.
    pub entry_keep: Duration,
    /// How long a request may take if it names no deadline.
    pub deadline: Duration,
    /// Time between tallies.
    pub tally: Duration,
    /// How long a planned stop waits for open streams at most.
    pub drain: Duration,
}

impl Raw for File {
    type Checked = Settings;

    fn check(self) -> Result<Settings, Error> {
        let listen = address("listen", &self.listen)?;
        let public = match &self.public {
            Some(a) => address("public", a)?,
            None => listen,
        };
        let base = self.common.check()?;
        if base.control.is_empty() {
            return Err(Error::value("common.control", "[]", "name at least one control process"));
        }
        Ok(Settings {
            base,
            listen,
            public,
            operators: address("operators", &self.operators)?,
            reserve: self.reserve.as_deref().map(|a| address("reserve", a)).transpose()?,
            platform: self.platform.map(platform).transpose()?,
            trace_file: self.trace_file.map(PathBuf::from),
            body_cap: range("body_cap", self.body_cap, 1024, 64 * 1024 * 1024)? as usize,
            head_cap: range("head_cap", self.head_cap, 1024, 64 * 1024)? as usize,
            entry_keep: Duration::from_secs(range("entry_keep_s", self.entry_keep_s, 1, 3600)?),
            deadline: Duration::from_millis(range("deadline_ms", self.deadline_ms, 10, 3_600_000)?),
            tally: Duration::from_millis(range("tally_ms", self.tally_ms, 10, 10_000)?),
            drain: Duration::from_secs(range("drain_s", self.drain_s, 1, 86_400)?),
        })
    }
}

fn platform(url: String) -> Result<String, Error> {
    let rest = url.strip_prefix("http://").unwrap_or_default();
    let host = rest.split('/').next().unwrap_or_default();
    if host.parse::<SocketAddr>().is_ok() {
        return Ok(url);
    }
    Err(Error::value("platform", url, "take http://, an IP address, a port and a path"))
}
