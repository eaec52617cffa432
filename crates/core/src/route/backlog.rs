//! The prompts that a replica is still to take in, as one router reckons it.
//!
//! An engine reads prompts one after the other, in pieces between the tokens of the streams that
//! it runs. So what was sent to it lately delays the next first event, and a long stretch of
//! reading without a break makes every stream that runs beside it pause.

use std::collections::BTreeMap;

use crate::unit::Time;

/// The time that a token of a prompt takes until it was measured, in microseconds: by their sheets the
/// engines met so far take 16 to 26.
const TOKEN_GUESS: u64 = 25;

/// What the guess weighs against measured prompts, in tokens.
const GUESS_WEIGHT: u64 = 2_000;

/// Weight of what was measured before, in sixteenths, as each first event comes.
const KEPT: u64 = 15;

/// How fast the quickest first event is forgotten: the next ones raise it by this part of what they
/// take longer, as a divisor.
const FORGET: u64 = 64;

/// A request of this router's own whose first event has not come.
#[derive(Clone, Copy, Debug)]
struct Reading {
    /// All work ever sent to the replica, this request's included, in microseconds.
    placed: u64,
    /// Tokens to be read from when this one was sent until its first event.
    tokens: u64,
    /// When its first event is expected, in microseconds.
    due: u64,
}

/// What one replica is to read.
#[derive(Clone, Debug)]
pub struct Backlog {
    /// All work ever sent to the replica, in microseconds.
    placed: u64,
    /// When the present stretch of reading began and when it ends, in microseconds.
    since: u64,
    until: u64,
    reading: BTreeMap<u64, Reading>,
    /// The quickest first event of late, in microseconds: what comes besides reading.
    quickest: Option<u64>,
    /// Measured times and the tokens that were read in them; their quotient is the speed.
    measured_us: u64,
    measured_tokens: u64,
}

impl Default for Backlog {
    fn default() -> Backlog {
        Backlog {
            placed: 0,
            since: 0,
            until: 0,
            reading: BTreeMap::new(),
            quickest: None,
            measured_us: TOKEN_GUESS * GUESS_WEIGHT,
            measured_tokens: GUESS_WEIGHT,
        }
    }
}

fn micros(now: Time) -> u64 {
    now.0 * 1_000
}

impl Backlog {
    /// How long the replica reads `tokens` of a prompt, in microseconds.
    pub fn span(&self, tokens: u64) -> u64 {
        tokens * self.measured_us / self.measured_tokens.max(1)
    }

    /// How long the replica still reads what it has, in microseconds. Where a first event is
    /// overdue it takes at least as long again: it is slower than was reckoned, or stuck.
    pub fn left(&self, now: Time) -> u64 {
        let now = micros(now);
        let overdue = self.reading.values().next().map_or(0, |r| now.saturating_sub(r.due));
        self.until.saturating_sub(now).max(overdue)
    }

    /// How long the replica would read without a break if it were sent `more` microseconds of
    /// work now.
    pub fn stretch(&self, now: Time, more: u64) -> u64 {
        let now = micros(now);
        let begun = if self.until > now { now - self.since.min(now) } else { 0 };
        begun + self.until.saturating_sub(now) + more
    }

    /// Notes that the replica was sent `tokens` to read.
    pub fn add(&mut self, now: Time, tokens: u64) {
        let (at, work) = (micros(now), self.span(tokens));
        if self.until <= at {
            self.since = at;
            self.until = at;
        }
        self.until += work;
        self.placed += work;
    }

    /// Notes that this router's request `ticket` brings the replica `tokens` to read.
    pub fn send(&mut self, now: Time, ticket: u64, tokens: u64) {
        let ahead = self.until.saturating_sub(micros(now)) / self.span(1).max(1);
        self.add(now, tokens);
        let (placed, due) = (self.placed, self.until);
        self.reading.insert(ticket, Reading { placed, tokens: tokens + ahead, due });
    }

    /// Takes the first event of a request, `first_us` after it was sent: the replica has read all
    /// that came before it. Returns how long that was reckoned to take, if it was waited for.
    pub fn first_event(&mut self, now: Time, ticket: u64, first_us: u64) -> Option<u64> {
        let r = self.reading.remove(&ticket)?;
        let reckoned = self.span(r.tokens);
        self.until = micros(now) + (self.placed - r.placed);
        let quickest = self.quickest.unwrap_or(first_us).min(first_us);
        self.quickest = Some(quickest + (first_us - quickest) / FORGET);
        self.measured_us = self.measured_us * KEPT / (KEPT + 1) + (first_us - quickest);
        self.measured_tokens = self.measured_tokens * KEPT / (KEPT + 1) + r.tokens;
        Some(reckoned)
    }

    /// Forgets a request that has ended.
    pub fn end(&mut self, ticket: u64) {
        self.reading.remove(&ticket);
    }
}
