//! Request rate of one budget at this router.
//!
//! All callers of an account may use the same router. A router with a high request rate for a budget
//! holds a slice of its own: asking a home router for every request would add latency, take bandwidth
//! and fail once the link is saturated.

use crate::unit::{Millis, Time};

/// Requests per window at which a router becomes its own home for the budget. In a fleet of 291, a
/// router serves about 3 requests per second of all budgets together, but 150 of an account whose
/// callers all use it.
const HEAVY_REQUESTS: u32 = 20;

/// The window over which requests are counted.
const WINDOW: Millis = Millis(1_000);

/// How long a router stays its own home after it last reached [`HEAVY_REQUESTS`].
const HEAVY_TTL: Millis = Millis::seconds(5);

/// Counts the requests of one budget at this router.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    window_start: Time,
    count: u32,
    last_heavy: Option<Time>,
}

impl Demand {
    /// Counts a request at `now`.
    pub fn record(&mut self, now: Time) {
        if now.since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.count = 0;
        }
        self.count += 1;
        if self.count >= HEAVY_REQUESTS {
            self.last_heavy = Some(now);
        }
    }

    /// Returns whether the rate was recently high enough for this router to hold its own tokens.
    pub fn is_heavy(&self, now: Time) -> bool {
        self.last_heavy.is_some_and(|at| now.since(at) < HEAVY_TTL)
    }
}
