//! One router's view of a replica: health, load and expected latency.

use std::collections::VecDeque;

use super::backlog::Backlog;
use super::backoff::Backoff;
use crate::config::Upstream;
use crate::fleet::rollout::split::Side;
use crate::unit::{Millis, Time};

/// Latency added for a replica in another data centre, in microseconds.
const OTHER_DATA_CENTRE_US: u64 = 3_000;

/// Latency added for a replica in another region, in microseconds: a round trip of about 40 ms, and
/// half as much again as a margin for the shared link.
const OTHER_REGION_US: u64 = 60_000;

/// The newest sample enters the moving average with weight `1 / SMOOTHING`.
const SMOOTHING: u64 = 8;

/// Delay that each running request adds to the next one in microseconds, assumed before the first
/// measurement.
const INITIAL_DELAY_PER_REQUEST_US: u64 = 20_000;

/// Concurrent requests that a replica can run, assumed until their number is known.
const INITIAL_SLOTS: u32 = 8;

/// Greatest age of a load report from which this router's own requests can be subtracted.
const MAX_REPORT_AGE: Millis = Millis::seconds(15);

/// One router's view of a replica.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Its `Vm` and address.
    pub upstream: Upstream,
    /// Requests of this router that are outstanding there.
    pub outstanding: u32,
    /// Prompts that it has yet to process.
    pub(super) backlog: Backlog,
    /// Requests that it can run concurrently.
    pub(super) slots: u32,
    /// Version of its software.
    pub version: String,
    /// Its side in the rollout of its service.
    pub side: Side,
    /// Consecutive failures.
    pub(super) failures: u32,
    /// Until when it gets no new work because of its failures.
    pub(super) ejected_until: Time,
    /// It is draining.
    pub(super) leaving: bool,
    /// Until when it is limited to the cold request rate.
    pub(super) cold_until: Time,
    /// Its data centre is evacuated.
    pub(super) evacuated: bool,
    /// It is in another region than this router.
    pub(super) other_region: bool,
    /// It advertises a rate limit.
    pub(super) rate_limited: bool,
    /// Until when requests of this priority or lower are denied because of its rate limit.
    pub(super) denied: Option<(Time, u8)>,
    /// The backoff that it requested from this router.
    pub(super) backoff: Backoff,
    /// Recent values of `outstanding`, to subtract this router's requests from a late report.
    history: VecDeque<(Time, u32)>,
    /// When its last load report was made.
    reported_at: Time,
    /// Requests of other routers in the last report.
    others: u32,
    /// Delay that each running request adds to the next one, in microseconds.
    delay_per_request_us: u64,
}

impl Replica {
    pub(super) fn new(upstream: &Upstream) -> Replica {
        Replica {
            upstream: upstream.clone(),
            outstanding: 0,
            backlog: Backlog::default(),
            slots: INITIAL_SLOTS,
            version: String::new(),
            side: Side::default(),
            failures: 0,
            ejected_until: Time(0),
            leaving: false,
            cold_until: Time(0),
            evacuated: false,
            other_region: false,
            rate_limited: false,
            denied: None,
            backoff: Backoff::default(),
            history: VecDeque::new(),
            reported_at: Time(0),
            others: 0,
            delay_per_request_us: INITIAL_DELAY_PER_REQUEST_US,
        }
    }

    pub(super) fn set_outstanding(&mut self, now: Time, n: u32) {
        self.outstanding = n;
        self.history.push_back((now, n));
        while self.history.get(1).is_some_and(|(at, _)| now.since(*at) > MAX_REPORT_AGE) {
            self.history.pop_front();
        }
    }

    /// Returns the number of requests of this router that were outstanding at `at`.
    fn outstanding_at(&self, at: Time) -> u32 {
        self.history.iter().rev().find(|(t, _)| *t <= at).map_or(0, |(_, n)| *n)
    }

    /// Records a load report made at `at`, unless a newer one was recorded.
    pub(super) fn record_load_report(&mut self, at: Time, running: u32, waiting: u32) {
        if at > self.reported_at {
            self.reported_at = at;
            self.others = (running + waiting).saturating_sub(self.outstanding_at(at));
        }
    }

    /// Returns its estimated number of requests: this router's outstanding ones, and those of other
    /// routers in the last report.
    pub(super) fn load(&self) -> u64 {
        u64::from(self.outstanding) + u64::from(self.others)
    }

    /// Returns the expected time until the first event of a request with `uncached` prompt tokens,
    /// in microseconds: queueing, sharing of the replica, prefill of the backlog and of its own
    /// prompt, and network latency.
    pub(super) fn expected_first_event_us(
        &self,
        now: Time,
        data_centre: &str,
        uncached: u64,
    ) -> u64 {
        let load = self.load();
        let queueing = load.saturating_sub(u64::from(self.slots)) * u64::from(self.slots);
        let network = match self.other_region {
            true => OTHER_REGION_US,
            false if self.upstream.vm.data_centre == data_centre => 0,
            false => OTHER_DATA_CENTRE_US,
        };
        let prefill = self.backlog.remaining_us(now) + self.backlog.prefill_us(uncached);
        (load + queueing) * self.delay_per_request_us + prefill + network
    }

    /// Records the first event of the request `ticket`, `first_us` after it was sent.
    pub(super) fn record_first_event(&mut self, now: Time, ticket: u64, first_us: u64) {
        let Some(prefill) = self.backlog.record_first_event(now, ticket, first_us) else { return };
        let others = self.load().saturating_sub(1);
        if let Some(sample) = first_us.saturating_sub(prefill).checked_div(others) {
            self.delay_per_request_us = self.delay_per_request_us
                - self.delay_per_request_us / SMOOTHING
                + sample.div_ceil(SMOOTHING);
        }
    }

    /// Returns whether it accepts new work: neither it nor its data centre is being drained.
    pub(super) fn accepts_work(&self) -> bool {
        !self.leaving && !self.evacuated
    }

    /// Returns whether its rate limit denies requests of this priority at `now`.
    pub(super) fn is_denied(&self, now: Time, priority: u8) -> bool {
        self.rate_limited
            && self.denied.is_some_and(|(until, threshold)| until > now && priority >= threshold)
    }

    /// Returns whether it gets no new work at `now`: it is draining or ejected.
    pub fn is_unavailable(&self, now: Time) -> bool {
        !self.accepts_work() || self.ejected_until > now
    }
}
