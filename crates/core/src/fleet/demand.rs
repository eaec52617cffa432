//! How much of a budget's demand comes to one router.
//!
//! Callers of one account may all use the same router. One that serves so much of an account keeps
//! a slice of its own: a message to a home for each request would take a part of its link and of
//! each request's time, and be lost once the link is full.

use crate::unit::{Millis, Time};

/// Requests of one budget in a second from which on a router is its own home. Routers of a fleet of
/// 291 met so far serve 3 of all budgets together, and one to which a whole account keeps 150 of it.
const HEAVY: u32 = 20;

/// The span over which requests are counted.
const SPAN: Millis = Millis(1_000);

/// How long a router stays its own home after the last span with so many.
const KEPT: Millis = Millis::seconds(5);

/// The requests of one budget at this router.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    since: Time,
    count: u32,
    heavy: Option<Time>,
}

impl Demand {
    /// Counts a request.
    pub fn note(&mut self, now: Time) {
        if now.since(self.since) >= SPAN {
            self.since = now;
            self.count = 0;
        }
        self.count += 1;
        if self.count >= HEAVY {
            self.heavy = Some(now);
        }
    }

    /// Whether this router serves so much of the budget that it keeps tokens of its own.
    pub fn is_heavy(&self, now: Time) -> bool {
        self.heavy.is_some_and(|at| now.since(at) < KEPT)
    }
}
