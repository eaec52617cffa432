//! Rate limiting for cold replicas. For some seconds after its start a replica serves only a few
//! requests a second, and fails under a much higher rate. The limit holds for the whole fleet, but
//! each router enforces it alone.
//!
//! A cold replica is no prompt's home and is assumed to have an empty cache. It becomes a candidate
//! only by random sampling, and then stays in the sample with a probability such that all routers
//! together send it at most half of its capacity, even if each of them picks it whenever it can.
//! Each router assumes that it sends an equal share of all requests, so the routers need no
//! coordination and stay within the limit when partitioned.

use crate::unit::{Millis, Time};

/// Number of time slices in the counting window.
const SLICES: usize = 5;

/// Length of a slice. The window covers more than one second, so its count is never less than the
/// requests of the last second.
const SLICE: Millis = Millis(250);

/// Slices per second.
const SLICES_PER_SECOND: u64 = 1_000 / SLICE.0;

/// Divides a replica's capacity to get the target rate: arrivals cluster at random, and some
/// routers may not be counted yet. For example, Poisson arrivals with a mean of 6.6 per second exceed
/// 14 in one second of 295, and with half that mean in one of about 500,000.
const SAFETY_FACTOR: u64 = 2;

const SECONDS_PER_MINUTE: u64 = 60;

/// Counts requests in a sliding window of time slices.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestCounter {
    counts: [u64; SLICES],
    slice: u64,
}

impl RequestCounter {
    /// Counts a request.
    pub(super) fn record(&mut self, now: Time) {
        let slice = now.0 / SLICE.0;
        let passed = slice.saturating_sub(self.slice).min(SLICES as u64);
        for n in 0..passed {
            self.counts[((slice - n) % SLICES as u64) as usize] = 0;
        }
        self.slice = self.slice.max(slice);
        self.counts[(self.slice % SLICES as u64) as usize] += 1;
    }

    /// Returns the request rate per second: the count over all slices, or the rate of the last two
    /// slices if that is higher, so that the start of a burst is not underestimated.
    pub(super) fn per_second(&self) -> u64 {
        let last = self.counts[(self.slice % SLICES as u64) as usize];
        let before = self.counts[((self.slice + SLICES as u64 - 1) % SLICES as u64) as usize];
        let all: u64 = self.counts.iter().sum();
        all.max((last + before) * SLICES_PER_SECOND)
    }
}

/// Inputs to the probability that a cold replica stays in a sample.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdParams {
    /// Capacity of a cold replica in requests a minute.
    pub per_minute: u64,
    /// Replicas that a sample is drawn from.
    pub replicas: u64,
    /// Replicas in a sample.
    pub sample: u64,
    /// Routers that send to the replicas.
    pub routers: u64,
}

/// Returns the probability that a cold replica stays in a sample, as numerator and denominator.
pub(super) fn keep_probability(demand: &RequestCounter, p: &ColdParams) -> (u64, u64) {
    let capacity = p.per_minute * p.replicas;
    let sampled = p.sample.min(p.replicas) * demand.per_second().max(1) * p.routers.max(1);
    (capacity, (sampled * SECONDS_PER_MINUTE * SAFETY_FACTOR).max(1))
}
