//! The gateway's settings.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use cypressfork_core::fleet::admission;
use cypressfork_core::fleet::output_buffer::CALLER_BOUND;
use cypressfork_core::fleet::response_buffer;
use cypressfork_core::fleet::retry::RetryLimit;
use cypressfork_core::unit::Millis;
use cypressfork_node::settings::{
    CheckedCommon, ClientBounds, Common, DEFAULT_MEMORY_MB, Error, Quantity, RawSettings,
    check_quantity, check_range, parse_address,
};
use serde::{Deserialize, Serialize};

/// The settings file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Settings common to all processes.
    pub common: Common,
    /// Address that callers connect to.
    pub listen: String,
    /// Address that other gateways connect to.
    pub link: String,
    /// Address under which other gateways reach `link`, if different, for example behind NAT.
    #[serde(default)]
    pub link_advertise: Option<String>,
    /// Local IP address of connections to replicas; the system chooses if it is empty.
    #[serde(default)]
    pub replica_source: Option<String>,
    /// Address of health checks and metrics for operators.
    pub operators: String,
    /// Additional address that serves only metrics.
    #[serde(default)]
    pub metrics: Option<String>,
    /// Path of the readiness check.
    #[serde(default = "ready_default")]
    pub ready_path: String,
    /// Interval between reports of spent tokens, in milliseconds.
    #[serde(default = "report_default")]
    pub report_ms: u64,
    /// Maximum retries of the whole fleet, as a fraction of a service's requests in a window.
    #[serde(default)]
    pub retry_ratio: Quantity,
    /// Retries of the whole fleet allowed in addition per window.
    #[serde(default)]
    pub retry_extra: Quantity,
    /// Length of the window in seconds.
    #[serde(default)]
    pub retry_window_s: Quantity,
    /// Memory that the process may use, in MiB. Determines the maximum number of active requests, and how much of it
    /// requests may use.
    #[serde(default)]
    pub memory_mb: Quantity,
    /// Files that the process may have open; the limit of the system by default. Determines the number of callers'
    /// connections.
    #[serde(default)]
    pub max_files: Quantity,
    /// Memory for bytes held for callers that read slowly, in MiB. If empty, answers are read only as fast
    /// as callers read.
    #[serde(default)]
    pub caller_buffer_mb: Quantity,
    /// Capacity of the machine's network link in Mbit/s. Above half of it, callers are directed to other
    /// gateways.
    #[serde(default)]
    pub link_mbps: Quantity,
    /// Maximum duration of a graceful shutdown in seconds.
    #[serde(default)]
    pub stop_within_s: Quantity,
    /// Part of that time, in seconds, during which new connections are still accepted.
    #[serde(default)]
    pub stop_serve_s: Quantity,
    /// Whether the spending limits of this gateway grow only after a hold-off, so that a power failure
    /// strands fewer tokens and a partition refuses more requests.
    #[serde(default)]
    pub spending_hold_off: bool,
}

/// Defaults of the quantities in [`File`].
mod default {
    pub const RETRY_RATIO: f64 = 0.2;
    pub const RETRY_EXTRA: f64 = 100.0;
    pub const RETRY_WINDOW_S: f64 = 10.0;
    /// 0 means unknown.
    pub const LINK_MBPS: f64 = 0.0;
    pub const STOP_WITHIN_S: f64 = 30.0;
    pub const STOP_SERVE_S: f64 = 10.0;
}

/// Part of the process's memory that a deployment without a figure of its own holds for callers. Active
/// requests may use half of it, see [`admission::max_active_requests`].
const CALLER_BUFFER_SHARE: f64 = 1.0 / 8.0;

/// Least `caller_buffer_mb`: what is held for a single caller.
const MIN_CALLER_BUFFER_MB: f64 = CALLER_BOUND as f64 / BYTES_PER_MEBIBYTE;

/// Maximum of `retry_ratio`, `stop_within_s` and `stop_serve_s`.
const MAX_QUANTITY: f64 = 100_000.0;

fn ready_default() -> String {
    "/readyz".to_owned()
}

fn report_default() -> u64 {
    1_000
}

/// The validated settings.
#[derive(Clone)]
pub struct Settings {
    /// Settings common to all processes.
    pub base: CheckedCommon,
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Address on which to listen for other gateways.
    pub link_listen: SocketAddr,
    /// Address under which other gateways reach this one.
    pub link_advertise: SocketAddr,
    /// Local IP address of connections to replicas; none if the system chooses it.
    pub replica_source: Option<IpAddr>,
    /// Address that operators connect to.
    pub operators: SocketAddr,
    /// Additional address that serves only metrics.
    pub metrics: Option<SocketAddr>,
    /// Path of the readiness check.
    pub ready_path: String,
    /// Interval between reports of spent tokens.
    pub report_interval: Duration,
    /// Limit on the retries of the whole fleet.
    pub retry: RetryLimit,
    /// Bounds of what callers may use.
    pub clients: ClientBounds,
    /// Maximum number of active requests.
    pub max_active_requests: u64,
    /// Maximum number of bytes held for all callers; none if answers are read only as fast as callers read.
    pub caller_buffer: Option<u64>,
    /// Bytes held of all responses that are not received in full, at most.
    pub response_buffer: u64,
    /// Capacity of the machine's network link in bytes per second and direction; 0 if unknown.
    pub link_capacity: u64,
    /// Maximum duration of a graceful shutdown.
    pub stop_within: Duration,
    /// Part of that time during which new connections are still accepted.
    pub stop_serve: Duration,
    /// Whether the spending limits of this gateway grow only after a hold-off.
    pub spending_hold_off: bool,
}

impl File {
    /// Sets `caller_buffer_mb` to its usual share of the memory unless it is set.
    pub fn enable_caller_buffer(&mut self) {
        let memory = self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        self.caller_buffer_mb.get_or_insert(memory * CALLER_BUFFER_SHARE);
    }
}

impl RawSettings for File {
    type Checked = Settings;

    fn check(self) -> Result<Settings, Error> {
        let base = self.common.check()?;
        if base.control.is_empty() {
            return Err(Error::value("common.control", "[]", "name at least one control process"));
        }
        let ratio = check_quantity(
            "retry_ratio",
            self.retry_ratio,
            default::RETRY_RATIO,
            0.0..=MAX_QUANTITY,
        )?;
        let extra =
            check_quantity("retry_extra", self.retry_extra, default::RETRY_EXTRA, 0.0..=1e9)?;
        let window = check_quantity(
            "retry_window_s",
            self.retry_window_s,
            default::RETRY_WINDOW_S,
            1.0..=3_600.0,
        )?;
        let clients = ClientBounds::check(self.memory_mb, self.max_files)?;
        let memory = self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        let caller_buffer = self
            .caller_buffer_mb
            .map(|n| check_quantity("caller_buffer_mb", Some(n), n, MIN_CALLER_BUFFER_MB..=memory))
            .transpose()?;
        let link = check_quantity("link_mbps", self.link_mbps, default::LINK_MBPS, 0.0..=1e9)?;
        let stop = check_quantity(
            "stop_within_s",
            self.stop_within_s,
            default::STOP_WITHIN_S,
            0.0..=MAX_QUANTITY,
        )?;
        let serve = check_quantity(
            "stop_serve_s",
            self.stop_serve_s,
            default::STOP_SERVE_S,
            0.0..=MAX_QUANTITY,
        )?;
        // Rounded towards the stricter limit: fewer retries, a longer window, less memory, a shorter
        // shutdown.
        let retry = RetryLimit {
            percent: (ratio * 100.0).floor() as u64,
            extra: extra.floor() as u64,
            window: Millis((window * 1_000.0).ceil() as u64),
        };
        Ok(Settings {
            base,
            listen: parse_address("listen", &self.listen)?,
            link_advertise: parse_address(
                "link_advertise",
                self.link_advertise.as_ref().unwrap_or(&self.link),
            )?,
            link_listen: parse_address("link", &self.link)?,
            replica_source: self
                .replica_source
                .map(|a| parse_ip("replica_source", &a))
                .transpose()?,
            operators: parse_address("operators", &self.operators)?,
            metrics: self.metrics.map(|a| parse_address("metrics", &a)).transpose()?,
            ready_path: self.ready_path,
            report_interval: Duration::from_millis(check_range(
                "report_ms",
                self.report_ms,
                10,
                60_000,
            )?),
            retry,
            clients,
            max_active_requests: admission::max_active_requests(clients.memory),
            response_buffer: response_buffer::bound(clients.memory),
            caller_buffer: caller_buffer.map(|n| (n * BYTES_PER_MEBIBYTE).floor() as u64),
            link_capacity: (link * BYTES_PER_MEGABIT).floor() as u64,
            stop_within: duration_from_secs(stop),
            stop_serve: duration_from_secs(serve.min(stop)),
            spending_hold_off: self.spending_hold_off,
        })
    }
}

const BYTES_PER_MEGABIT: f64 = 125_000.0;

const BYTES_PER_MEBIBYTE: f64 = 1_048_576.0;

fn parse_ip(key: &'static str, text: &str) -> Result<IpAddr, Error> {
    text.parse().map_err(|_| Error::value(key, text, "an IP address without a port"))
}

/// Converts seconds to a duration of whole milliseconds, rounded down.
fn duration_from_secs(seconds: f64) -> Duration {
    Duration::from_millis((seconds * 1_000.0).floor() as u64)
}
