//! One router's estimate of the prompts that a replica has yet to process (prefill).
//!
//! A replica processes prompts one after the other, in chunks interleaved with token generation.
//! Prompts sent recently therefore delay the next first event, and a long uninterrupted prefill
//! pauses every stream that runs on the same replica.

use std::collections::BTreeMap;

use crate::unit::Time;

/// Prefill time per prompt token in microseconds, assumed before the first measurement. Engines are
/// specified at 16 to 26.
const INITIAL_US_PER_TOKEN: u64 = 25;

/// Weight of [`INITIAL_US_PER_TOKEN`] against measured prompts, in tokens.
const INITIAL_WEIGHT_TOKENS: u64 = 2_000;

/// Each first event scales the earlier measurements by `DECAY / (DECAY + 1)`.
const DECAY: u64 = 15;

/// Each slower first event raises the recorded fastest one by `1 / FASTEST_DECAY` of the
/// difference, so that it follows a replica that becomes slower.
const FASTEST_DECAY: u64 = 64;

/// A request of this router that has not had its first event.
#[derive(Clone, Copy, Debug)]
struct Pending {
    /// All work ever sent to the replica up to and including this request, in microseconds.
    cumulative_us: u64,
    /// Tokens that the replica processes between the sending of this request and its first event.
    tokens: u64,
    /// When its first event is expected, in microseconds.
    due_us: u64,
}

/// The estimated prefill work that one replica has yet to do.
#[derive(Clone, Debug)]
pub struct Backlog {
    /// All work ever sent to the replica, in microseconds.
    cumulative_us: u64,
    /// Start and expected end of the current busy period, in microseconds.
    busy_since: u64,
    busy_until: u64,
    pending: BTreeMap<u64, Pending>,
    /// The fastest recent first event in microseconds: the latency without any prefill.
    fastest_us: Option<u64>,
    /// Prefill time and the tokens processed in it; their quotient is the time per token.
    measured_us: u64,
    measured_tokens: u64,
}

impl Default for Backlog {
    fn default() -> Backlog {
        Backlog {
            cumulative_us: 0,
            busy_since: 0,
            busy_until: 0,
            pending: BTreeMap::new(),
            fastest_us: None,
            measured_us: INITIAL_US_PER_TOKEN * INITIAL_WEIGHT_TOKENS,
            measured_tokens: INITIAL_WEIGHT_TOKENS,
        }
    }
}

fn micros(now: Time) -> u64 {
    now.0 * 1_000
}

impl Backlog {
    /// Returns the time that the replica takes to process `tokens` of a prompt, in microseconds.
    pub fn prefill_us(&self, tokens: u64) -> u64 {
        tokens * self.measured_us / self.measured_tokens.max(1)
    }

    /// Returns the time until the replica has processed its backlog, in microseconds. If a first
    /// event is overdue, it is at least the delay so far: the replica is slower than estimated, or
    /// stuck.
    pub fn remaining_us(&self, now: Time) -> u64 {
        let now = micros(now);
        let overdue = self.pending.values().next().map_or(0, |p| now.saturating_sub(p.due_us));
        self.busy_until.saturating_sub(now).max(overdue)
    }

    /// Returns the length of the replica's busy period in microseconds, from the start of the
    /// current one, if it were sent `more` microseconds of work now. During a busy period the
    /// replica processes prompts without interruption.
    pub fn busy_period_us(&self, now: Time, more: u64) -> u64 {
        let now = micros(now);
        let elapsed = if self.busy_until > now { now - self.busy_since.min(now) } else { 0 };
        elapsed + self.busy_until.saturating_sub(now) + more
    }

    /// Adds `tokens` of a prompt that was sent to the replica, without tracking its first event.
    pub fn add_prompt(&mut self, now: Time, tokens: u64) {
        let (at, work) = (micros(now), self.prefill_us(tokens));
        if self.busy_until <= at {
            self.busy_since = at;
            self.busy_until = at;
        }
        self.busy_until += work;
        self.cumulative_us += work;
    }

    /// Adds `tokens` of this router's request `ticket`, which is pending until its first event.
    pub fn add_request(&mut self, now: Time, ticket: u64, tokens: u64) {
        let ahead = self.busy_until.saturating_sub(micros(now)) / self.prefill_us(1).max(1);
        self.add_prompt(now, tokens);
        let (cumulative_us, due_us) = (self.cumulative_us, self.busy_until);
        self.pending.insert(ticket, Pending { cumulative_us, tokens: tokens + ahead, due_us });
    }

    /// Records the first event of a request, `first_us` after it was sent: the replica has
    /// processed all prompts before it. Returns the estimated prefill time of the request in
    /// microseconds, or `None` if the request is not pending.
    pub fn record_first_event(&mut self, now: Time, ticket: u64, first_us: u64) -> Option<u64> {
        let p = self.pending.remove(&ticket)?;
        let estimated = self.prefill_us(p.tokens);
        self.busy_until = micros(now) + (self.cumulative_us - p.cumulative_us);
        let fastest = self.fastest_us.unwrap_or(first_us).min(first_us);
        self.fastest_us = Some(fastest + (first_us - fastest) / FASTEST_DECAY);
        self.measured_us = self.measured_us * DECAY / (DECAY + 1) + (first_us - fastest);
        self.measured_tokens = self.measured_tokens * DECAY / (DECAY + 1) + p.tokens;
        Some(estimated)
    }

    /// Removes a request that ended.
    pub fn remove(&mut self, ticket: u64) {
        self.pending.remove(&ticket);
    }
}
