//! The cost of sending a request to a replica, measured in expected late answers.
//!
//! The unit is a thousandth of a late answer. Between replicas of otherwise equal cost, the lower
//! latency wins.

use super::lateness::LatencyObjective;

/// Cost of one late answer.
const LATE: u64 = 1_000;

/// Extra cost of a late answer for each further multiple of its latency objective.
const EXTRA_LATE: u64 = 200;

/// Number of recomputed prompt tokens that cost as much as one late answer.
const RECOMPUTED_TOKENS_PER_LATE: u64 = 3_000;

/// Latency of the first event, in microseconds, that costs one unit to break ties.
const TIE_BREAK_US: u64 = 2_000;

/// The expected effect of a request on itself and on the streams that run on the same replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Forecast {
    /// Time until its first event, in microseconds.
    pub first_event_us: u64,
    /// Length of the replica's busy period (uninterrupted prefill), in microseconds.
    pub busy_period_us: u64,
    /// Streams on the replica that pause during the busy period.
    pub running: u64,
    /// Tokens of the prompt's shared prefix that the replica recomputes although another one has
    /// them cached.
    pub recomputed_tokens: u64,
}

/// Returns the probability that `us` exceeds `limit_us`, in thousandths: 0 up to half of the limit,
/// rising linearly to certainty at the limit, since the estimates are rough.
fn lateness_risk(us: u64, limit_us: u64) -> u64 {
    let half = limit_us / 2;
    if us <= half {
        return 0;
    }
    if us >= limit_us {
        return LATE;
    }
    LATE * (us - half) / (limit_us - half).max(1)
}

/// Returns the cost of sending a request with this latency objective to a replica.
pub fn cost(f: &Forecast, objective: &LatencyObjective) -> u64 {
    let objective_us = (objective.first_event.as_micros() as u64).max(1);
    let late = lateness_risk(f.first_event_us, objective_us)
        + f.first_event_us.saturating_sub(objective_us) * EXTRA_LATE / objective_us;
    let paused = objective
        .max_pause
        .map_or(0, |limit| lateness_risk(f.busy_period_us, limit.as_micros() as u64) * f.running);
    late + paused
        + f.recomputed_tokens * LATE / RECOMPUTED_TOKENS_PER_LATE
        + f.first_event_us / TIE_BREAK_US
}
