//! Replicas that are cold: for some seconds after a start one bears few requests a second, and
//! collapses when it gets many more. The bound is the fleet's, while each router decides alone.
//!
//! A cold replica is no prompt's home and counts as holding nothing. It is met in the random sample of a
//! choice alone, and stays in it by chance: the chance is such that all routers together send it half
//! of what it bears even if each of them takes it whenever it may, since each router's part is one of
//! the routers' number, however many requests it has itself. No message is needed, and routers that
//! are cut off keep to it.

use crate::unit::{Millis, Time};

/// Parts of a second in which requests are counted.
const SLICES: usize = 5;

/// How long one of them is. Together they cover at least the last second: more is counted than came in
/// a second, never less.
const SLICE: Millis = Millis(250);

/// So many of them are a second.
const SLICES_A_SECOND: u64 = 1_000 / SLICE.0;

/// Each replica's bound is aimed at with one part in so many: requests meet by chance. Where 6.6 a
/// second are borne and more than 14 break the promise, a mean of 3.3 comes to 15 in one second of
/// 500,000, a mean of 6.6 in one of 295 (Poisson distributions). Routers whose number is not known
/// yet are covered by it too.
const MARGIN: u64 = 2;

/// Seconds of a minute.
const MINUTE: u64 = 60;

/// Requests of this router, counted by time.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    counts: [u64; SLICES],
    slice: u64,
}

impl Demand {
    /// Counts a request.
    pub(super) fn note(&mut self, now: Time) {
        let slice = now.0 / SLICE.0;
        let passed = slice.saturating_sub(self.slice).min(SLICES as u64);
        for n in 0..passed {
            self.counts[((slice - n) % SLICES as u64) as usize] = 0;
        }
        self.slice = self.slice.max(slice);
        self.counts[(self.slice % SLICES as u64) as usize] += 1;
    }

    /// Requests a second: those of the last one, or more if that is what the last two slices come to,
    /// so that a burst is not taken for few requests while it begins.
    pub(super) fn per_second(&self) -> u64 {
        let last = self.counts[(self.slice % SLICES as u64) as usize];
        let before = self.counts[((self.slice + SLICES as u64 - 1) % SLICES as u64) as usize];
        let all: u64 = self.counts.iter().sum();
        all.max((last + before) * SLICES_A_SECOND)
    }
}

/// What decides on the chance of a cold replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crowd {
    /// Requests a minute that one bears.
    pub per_minute: u64,
    /// Replicas that a sample is drawn from.
    pub replicas: u64,
    /// Replicas in a sample.
    pub sample: u64,
    /// Routers that send to them.
    pub routers: u64,
}

/// The chance with which a cold replica stays in a sample: so many of so many.
pub(super) fn chance(d: &Demand, c: &Crowd) -> (u64, u64) {
    let bears = c.per_minute * c.replicas;
    let met = c.sample.min(c.replicas) * d.per_second().max(1) * c.routers.max(1);
    (bears, (met * MINUTE * MARGIN).max(1))
}
