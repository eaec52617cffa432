//! The gateway's settings.

use std::net::SocketAddr;
use std::time::Duration;

use cypressfork_core::fleet::admission;
use cypressfork_core::fleet::retry::Bound;
use cypressfork_core::unit::Millis;
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
    /// Where other gateways connect.
    pub link: String,
    /// Where operators read health and metrics.
    pub operators: String,
    /// Where metrics are served besides, on an address of their own.
    #[serde(default)]
    pub metrics: Option<String>,
    /// The path that tells whether this gateway takes callers.
    #[serde(default = "ready_default")]
    pub ready_path: String,
    /// Milliseconds between reports of what was spent.
    #[serde(default = "report_default")]
    pub report_ms: u64,
    /// The whole fleet's retries, as a part of a service's requests in a window.
    #[serde(default = "retry_ratio_default")]
    pub retry_ratio: f64,
    /// The whole fleet's retries besides.
    #[serde(default)]
    pub retry_extra: u64,
    /// Seconds of the window.
    #[serde(default = "retry_window_default")]
    pub retry_window_s: u64,
    /// Mebibytes of memory that the process may use; it bounds the requests under way at once.
    #[serde(default = "memory_default")]
    pub memory_mb: u64,
    /// Seconds that a planned stop may take.
    #[serde(default = "stop_default")]
    pub stop_within_s: f64,
    /// Seconds of it in which callers that still have this address are served.
    #[serde(default = "stop_serve_default")]
    pub stop_serve_s: f64,
}

fn ready_default() -> String {
    "/readyz".to_owned()
}

fn report_default() -> u64 {
    1_000
}

fn retry_ratio_default() -> f64 {
    0.2
}

fn retry_window_default() -> u64 {
    10
}

fn memory_default() -> u64 {
    512
}

fn stop_default() -> f64 {
    30.0
}

fn stop_serve_default() -> f64 {
    10.0
}

/// The settings, checked.
#[derive(Clone)]
pub struct Settings {
    /// What every process has.
    pub base: Base,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where other gateways connect.
    pub link: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where metrics are served besides.
    pub metrics: Option<SocketAddr>,
    /// The path that tells whether this gateway takes callers.
    pub ready_path: String,
    /// Time between reports of what was spent.
    pub report: Duration,
    /// The whole fleet's bound on retries.
    pub retry: Bound,
    /// Requests under way at once.
    pub places: u64,
    /// How long a planned stop may take.
    pub stop_within: Duration,
    /// How much of it callers that still have this address are served.
    pub stop_serve: Duration,
}

impl Raw for File {
    type Checked = Settings;

    fn check(self) -> Result<Settings, Error> {
        let base = self.common.check()?;
        if base.control.is_empty() {
            return Err(Error::value("common.control", "[]", "name at least one control process"));
        }
        let ratio = hundredths("retry_ratio", self.retry_ratio)?;
        let window = Millis::seconds(range("retry_window_s", self.retry_window_s, 1, 3_600)?);
        let memory = range("memory_mb", self.memory_mb, 16, 1024 * 1024)? * 1024 * 1024;
        let stop = hundredths("stop_within_s", self.stop_within_s)?;
        let serve = hundredths("stop_serve_s", self.stop_serve_s)?;
        Ok(Settings {
            base,
            listen: address("listen", &self.listen)?,
            link: address("link", &self.link)?,
            operators: address("operators", &self.operators)?,
            metrics: self.metrics.map(|a| address("metrics", &a)).transpose()?,
            ready_path: self.ready_path,
            report: Duration::from_millis(range("report_ms", self.report_ms, 10, 60_000)?),
            retry: Bound { hundredths: ratio, extra: self.retry_extra, window },
            places: admission::places(memory),
            stop_within: Duration::from_millis(stop * 10),
            stop_serve: Duration::from_millis(serve.min(stop) * 10),
        })
    }
}

/// A number of at most two decimals, in hundredths.
fn hundredths(key: &str, n: f64) -> Result<u64, Error> {
    if (0.0..=100_000.0).contains(&n) {
        return Ok((n * 100.0).floor() as u64);
    }
    Err(Error::value(key, n, "take a number from 0 to 100000"))
}
