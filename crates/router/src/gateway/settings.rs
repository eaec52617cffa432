//! The gateway's settings.

use std::net::SocketAddr;
use std::time::Duration;

use cypressfork_core::fleet::admission;
use cypressfork_core::fleet::retry::RetryLimit;
use cypressfork_core::unit::Millis;
use cypressfork_node::settings::{Base, Common, Error, Quantity, Raw, address, quantity, range};
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
    /// The address at which they reach it, if it is another: behind a translation of addresses.
    #[serde(default)]
    pub link_advertise: Option<String>,
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
    #[serde(default)]
    pub retry_ratio: Quantity,
    /// The whole fleet's retries besides.
    #[serde(default)]
    pub retry_extra: Quantity,
    /// Seconds of the window.
    #[serde(default)]
    pub retry_window_s: Quantity,
    /// Mebibytes of memory that the process may use; it bounds the requests under way at once.
    #[serde(default)]
    pub memory_mb: Quantity,
    /// Megabits a second that the machine's link bears; where it is half full, callers are led elsewhere.
    #[serde(default)]
    pub link_mbps: Quantity,
    /// Seconds that a planned stop may take.
    #[serde(default)]
    pub stop_within_s: Quantity,
    /// Seconds of it in which callers that still have this address are served.
    #[serde(default)]
    pub stop_serve_s: Quantity,
}

/// What a quantity is where the file gives none.
mod default {
    /// Retries for each request.
    pub const RETRY_RATIO: f64 = 0.2;
    /// Retries of the whole fleet besides.
    pub const RETRY_EXTRA: f64 = 0.0;
    /// Seconds.
    pub const RETRY_WINDOW: f64 = 10.0;
    /// Mebibytes.
    pub const MEMORY: f64 = 512.0;
    /// Megabits a second; 0: nobody knows.
    pub const LINK: f64 = 0.0;
    /// Seconds.
    pub const STOP: f64 = 30.0;
    /// Seconds.
    pub const STOP_SERVE: f64 = 10.0;
}

/// The most that ratios, extras and seconds may be.
const MOST: f64 = 100_000.0;

fn ready_default() -> String {
    "/readyz".to_owned()
}

fn report_default() -> u64 {
    1_000
}

/// The settings, checked.
#[derive(Clone)]
pub struct Settings {
    /// What every process has.
    pub base: Base,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where to listen for other gateways.
    pub link_listen: SocketAddr,
    /// Where other gateways reach this one.
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
    pub retry: RetryLimit,
    /// Requests under way at once.
    pub places: u64,
    /// Bytes a second that the machine's link bears each way; 0: nobody knows.
    pub link_capacity: u64,
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
        let ratio = quantity("retry_ratio", self.retry_ratio, default::RETRY_RATIO, 0.0..=MOST)?;
        let extra = quantity("retry_extra", self.retry_extra, default::RETRY_EXTRA, 0.0..=1e9)?;
        let window =
            quantity("retry_window_s", self.retry_window_s, default::RETRY_WINDOW, 1.0..=3_600.0)?;
        let memory = quantity("memory_mb", self.memory_mb, default::MEMORY, 16.0..=1_048_576.0)?;
        let link = quantity("link_mbps", self.link_mbps, default::LINK, 0.0..=1e9)?;
        let stop = quantity("stop_within_s", self.stop_within_s, default::STOP, 0.0..=MOST)?;
        let serve = quantity("stop_serve_s", self.stop_serve_s, default::STOP_SERVE, 0.0..=MOST)?;
        // Each is rounded to the safe side: fewer retries in a longer window, less memory, a
        // shorter stop.
        let retry = RetryLimit {
            percent: (ratio * 100.0).floor() as u64,
            extra: extra.floor() as u64,
            window: Millis((window * 1_000.0).ceil() as u64),
        };
        Ok(Settings {
            base,
            listen: address("listen", &self.listen)?,
            link: address("link_advertise", self.link_advertise.as_ref().unwrap_or(&self.link))?,
            link_listen: address("link", &self.link)?,
            operators: address("operators", &self.operators)?,
            metrics: self.metrics.map(|a| address("metrics", &a)).transpose()?,
            ready_path: self.ready_path,
            report: Duration::from_millis(range("report_ms", self.report_ms, 10, 60_000)?),
            retry,
            places: admission::max_active_requests((memory * MEBIBYTE).floor() as u64),
            link_capacity: (link * BYTES_OF_MEGABIT).floor() as u64,
            stop_within: millis(stop),
            stop_serve: millis(serve.min(stop)),
        })
    }
}

/// Bytes of a megabit.
const BYTES_OF_MEGABIT: f64 = 125_000.0;

/// Bytes of a mebibyte.
const MEBIBYTE: f64 = 1_048_576.0;

/// Seconds as whole milliseconds, rounded down.
fn millis(seconds: f64) -> Duration {
    Duration::from_millis((seconds * 1_000.0).floor() as u64)
}
