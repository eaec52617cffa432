//! Staggered `Retry-After` times for refused callers.

use rand::Rng;

use crate::unit::{Millis, Time};

/// Schedules the retries of one service's refused callers at one router, spaced so that each finds
/// free capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySchedule {
    /// Time of the last scheduled retry.
    last: Time,
}

/// The spacing of retries.
#[derive(Clone, Copy, Debug)]
pub struct RetrySpacing {
    /// Time until capacity is free again.
    pub earliest: Millis,
    /// Time between two callers.
    pub interval: Millis,
    /// The longest time returned to a caller. By then other callers have given up and freed
    /// capacity.
    pub max: Millis,
}

impl RetrySchedule {
    /// Returns the time after which the next caller is to retry. Once the schedule exceeds the
    /// longest time, returns a random time instead, to spread the remaining callers.
    pub fn next_delay(&mut self, now: Time, spacing: &RetrySpacing, rng: &mut impl Rng) -> Millis {
        self.last = self.last.max(now.after(spacing.earliest)).after(spacing.interval);
        let delay = self.last.since(now);
        if delay <= spacing.max {
            return delay;
        }
        self.last = now.after(spacing.max);
        let min_delay = spacing.earliest.min(spacing.max).max(Millis(spacing.max.0 / 2));
        Millis(rng.random_range(min_delay.0..=spacing.max.0))
    }

    /// Returns whether the last scheduled retry is in the past.
    pub fn is_idle(&self, now: Time) -> bool {
        self.last <= now
    }
}
