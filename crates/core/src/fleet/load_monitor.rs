//! Overload detection by event loop latency and link utilisation.
//!
//! Callers may keep using one gateway although the control group lists others, and overload its CPU.
//! All its tasks share one run queue, so an overloaded gateway that keeps accepting requests also
//! receives documents and token loans late, detects disconnected callers late and misses its latency
//! targets. The time of one pass through the run queue is measured at each request; new requests are
//! rejected while passes take too long.

use std::collections::VecDeque;

use crate::unit::{Millis, Time};

/// Maximum pass time at which new requests are accepted. Stream events wait for one pass and have to be
/// forwarded within 200 ms; opening a link to a control process takes three passes and times out after
/// 600 ms.
pub const MAX_PASS: Millis = Millis(200);

/// How long a pass affects admission: requests that arrive meanwhile wait in the same queue.
const PASS_WINDOW: Millis = Millis(300);

/// How long after a pass above [`MAX_PASS`] a gateway without contact to the control group counts as
/// overloaded rather than cut off: reconnecting the links that broke meanwhile takes about a second.
const OVERLOAD_TTL: Millis = Millis::seconds(3);

/// Divisor of the newest pass in the exponential moving average.
const SMOOTHING_DIVISOR: u64 = 16;

/// Mean pass time, in microseconds, at which a gateway reports itself busy. A request waits for about
/// eight passes, 200 ms in all at 25 ms each, while most responses are due within one second.
const BUSY_PASS_US: u64 = 25_000;

/// Link utilisation, in percent, at which a gateway reports itself busy. The rest is left for bursts,
/// which delay messages from the control group.
const BUSY_LINK_PERCENT: u64 = 50;

/// Link utilisation, in percent, at which new connections are rejected. The rest is left for traffic on
/// existing connections.
const FULL_LINK_PERCENT: u64 = 80;

/// Minimum window over which link utilisation is measured.
const LINK_WINDOW: Millis = Millis(300);

/// How long the mean pass time stays valid after the last request.
const MEAN_TTL: Millis = Millis::seconds(2);

/// Minimum interval between two log lines about rejected requests.
const LOG_INTERVAL: Millis = Millis::seconds(1);

/// Recent pass times, link utilisation and rejected requests of one process.
#[derive(Clone, Debug, Default)]
pub struct LoadMonitor {
    /// End and duration of recent passes. Those followed by an equal or longer one are dropped, so the
    /// front is the longest.
    passes: VecDeque<(Time, Millis)>,
    overloaded_at: Option<Time>,
    mean_us: u64,
    last_pass: Time,
    /// Requests rejected since the last log line.
    rejected: u64,
    logged_at: Time,
    /// Start of the current link window, and the total number of bytes served by then.
    window_start: (Time, u64),
    /// Link utilisation in the previous window, in percent.
    link_percent: u64,
}

impl LoadMonitor {
    /// Records a pass that ended at `now` and took `took_us` microseconds.
    pub fn record_pass(&mut self, now: Time, took_us: u64) {
        let took = Millis(took_us / 1_000);
        while self.passes.back().is_some_and(|(_, t)| *t <= took) {
            self.passes.pop_back();
        }
        self.passes.push_back((now, took));
        if took > MAX_PASS {
            self.overloaded_at = Some(now);
        }
        self.mean_us =
            self.mean_us - self.mean_us / SMOOTHING_DIVISOR + took_us / SMOOTHING_DIVISOR;
        self.last_pass = now;
    }

    /// Returns whether a recent pass was too long for new requests to be accepted.
    pub fn is_overloaded(&mut self, now: Time) -> bool {
        while self.passes.front().is_some_and(|(at, _)| now.since(*at) > PASS_WINDOW) {
            self.passes.pop_front();
        }
        self.passes.front().is_some_and(|(_, took)| *took > MAX_PASS)
    }

    /// Records whether a request was rejected. Returns the number of requests rejected since the last
    /// log line, if another line is due.
    pub fn record_admission(&mut self, now: Time, rejected: bool) -> Option<u64> {
        self.rejected += u64::from(rejected);
        if self.rejected == 0 || now.since(self.logged_at) < LOG_INTERVAL {
            return None;
        }
        self.logged_at = now;
        Some(std::mem::take(&mut self.rejected))
    }

    /// Returns whether a pass was too long within the last few seconds.
    pub fn was_overloaded(&self, now: Time) -> bool {
        self.overloaded_at.is_some_and(|at| now.since(at) < OVERLOAD_TTL)
    }

    /// Returns the moving average of the pass time in microseconds; 0 if no pass was recorded recently.
    pub fn mean_pass_us(&self, now: Time) -> u64 {
        if now.since(self.last_pass) < MEAN_TTL { self.mean_us } else { 0 }
    }

    /// Updates the link utilisation once per window. `bytes` is the total sent to and received from
    /// callers since the start, `capacity` the link's bytes per second, 0 if unknown. Each byte crosses
    /// the link once in each direction.
    pub fn record_bytes(&mut self, now: Time, bytes: u64, capacity: u64) {
        let (since, before) = self.window_start;
        let elapsed = now.since(since);
        if elapsed < LINK_WINDOW {
            return;
        }
        self.window_start = (now, bytes);
        let capacity = capacity * elapsed.0 / 1_000;
        self.link_percent = ((bytes - before.min(bytes)) * 100).checked_div(capacity).unwrap_or(0);
    }

    /// Returns the link utilisation in the previous window, in percent.
    pub fn link_utilisation(&self) -> u64 {
        self.link_percent
    }

    /// Returns whether the link is too full for new connections.
    pub fn is_link_full(&self) -> bool {
        self.link_percent >= FULL_LINK_PERCENT
    }

    /// Returns whether callers should prefer other gateways.
    pub fn is_busy(&self, now: Time) -> bool {
        self.mean_pass_us(now) >= BUSY_PASS_US || self.link_percent >= BUSY_LINK_PERCENT
    }
}
