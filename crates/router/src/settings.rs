//! The router's settings.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cypressfork_node::settings::{
    CheckedCommon, ClientBounds, Common, Error, Quantity, RawSettings, check_range, parse_address,
};
use serde::{Deserialize, Serialize};

/// The settings file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Settings common to all processes.
    pub common: Common,
    /// Address for callers.
    pub listen: String,
    /// Address that is returned to callers by `/v1/entry`; `listen` if not given.
    #[serde(default)]
    pub public: Option<String>,
    /// Address for health checks and metrics.
    pub operators: String,
    /// Address of the control process that keeps the reserve of this data centre.
    #[serde(default)]
    pub reserve: Option<String>,
    /// URL of the platform's list of VMs, as http://ADDRESS/PATH.
    #[serde(default)]
    pub platform: Option<String>,
    /// File to which traces are appended as OTLP JSON lines.
    #[serde(default)]
    pub trace_file: Option<String>,
    /// Memory that the process may use, in MiB. Determines how much of it requests of clients may use.
    #[serde(default)]
    pub memory_mb: Quantity,
    /// Files that the process may have open; the limit of the system by default. Determines the number of clients'
    /// connections.
    #[serde(default)]
    pub max_files: Quantity,
    /// Maximum size of a request body in bytes.
    #[serde(default = "body_default")]
    pub body_cap: u64,
    /// Maximum size of request headers in bytes.
    #[serde(default = "head_default")]
    pub head_cap: u64,
    /// Seconds for which callers may cache a response of `/v1/entry`.
    #[serde(default = "keep_default")]
    pub entry_keep_s: u64,
    /// Deadline in milliseconds of a request without one of its own.
    #[serde(default = "deadline_default")]
    pub deadline_ms: u64,
    /// Milliseconds between reports to the control group.
    #[serde(default = "tally_default")]
    pub tally_ms: u64,
    /// Maximum seconds for which a graceful shutdown waits for requests to finish and slices to be
    /// returned.
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

/// The checked settings.
#[derive(Clone)]
pub struct Settings {
    /// Settings common to all processes.
    pub base: CheckedCommon,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address that is returned to callers by `/v1/entry`.
    pub public: SocketAddr,
    /// Address for health checks and metrics.
    pub operators: SocketAddr,
    /// Address of the control process that keeps the reserve of this data centre.
    pub reserve: Option<SocketAddr>,
    /// URL of the platform's list of VMs.
    pub platform: Option<String>,
    /// File to which traces are appended.
    pub trace_file: Option<PathBuf>,
    /// Bounds of what clients may use.
    pub clients: ClientBounds,
    /// Maximum size of a request body in bytes.
    pub body_cap: usize,
    /// Maximum size of request headers in bytes.
    pub head_cap: usize,
    /// How long callers may cache a response of `/v1/entry`.
    pub entry_max_age: Duration,
    /// Deadline of a request without one of its own.
    pub default_deadline: Duration,
    /// Interval between reports to the control group.
    pub report_interval: Duration,
    /// Maximum time for which a graceful shutdown waits for requests to finish and slices to be
    /// returned.
    pub drain_timeout: Duration,
}

impl RawSettings for File {
    type Checked = Settings;

    fn check(self) -> Result<Settings, Error> {
        let listen = parse_address("listen", &self.listen)?;
        let public = match &self.public {
            Some(a) => parse_address("public", a)?,
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
            operators: parse_address("operators", &self.operators)?,
            reserve: self.reserve.as_deref().map(|a| parse_address("reserve", a)).transpose()?,
            platform: self.platform.map(check_platform_url).transpose()?,
            trace_file: self.trace_file.map(PathBuf::from),
            clients: ClientBounds::check(self.memory_mb, self.max_files)?,
            body_cap: check_range("body_cap", self.body_cap, 1024, 64 * 1024 * 1024)? as usize,
            head_cap: check_range("head_cap", self.head_cap, 1024, 64 * 1024)? as usize,
            entry_max_age: Duration::from_secs(check_range(
                "entry_keep_s",
                self.entry_keep_s,
                1,
                3600,
            )?),
            default_deadline: Duration::from_millis(check_range(
                "deadline_ms",
                self.deadline_ms,
                10,
                3_600_000,
            )?),
            report_interval: Duration::from_millis(check_range(
                "tally_ms",
                self.tally_ms,
                10,
                10_000,
            )?),
            drain_timeout: Duration::from_secs(check_range("drain_s", self.drain_s, 1, 86_400)?),
        })
    }
}

fn check_platform_url(url: String) -> Result<String, Error> {
    let rest = url.strip_prefix("http://").unwrap_or_default();
    let host = rest.split('/').next().unwrap_or_default();
    if host.parse::<SocketAddr>().is_ok() {
        return Ok(url);
    }
    Err(Error::value("platform", url, "take http://, an IP address, a port and a path"))
}
