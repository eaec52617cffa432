//! Staggered `Retry-After` times for refused callers.

use rand::Rng;

use crate::unit::{Millis, Time};

/// Schedules the retries of one service's refused callers at one router, spaced so that each finds free
/// capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turns {
    last: Time,
}

/// The spacing of retries.
#[derive(Clone, Copy, Debug)]
pub struct Back {
    /// Time until capacity is free again.
    pub first: Millis,
    /// Time between two callers.
    pub each: Millis,
    /// The longest time returned to a caller. By then other callers have given up and freed capacity.
    pub most: Millis,
}

impl Turns {
    /// Returns the time after which the next caller is to retry. Once the schedule exceeds the
    /// longest time, returns a random time instead, to spread the remaining callers.
    pub fn next(&mut self, now: Time, b: &Back, rng: &mut impl Rng) -> Millis {
        self.last = self.last.max(now.after(b.first)).after(b.each);
        let delay = self.last.since(now);
        if delay <= b.most {
            return delay;
        }
        self.last = now.after(b.most);
        let min_delay = b.first.min(b.most).max(Millis(b.most.0 / 2));
        Millis(rng.random_range(min_delay.0..=b.most.0))
    }

    /// Returns whether the last scheduled retry is in the past.
    pub fn is_over(&self, now: Time) -> bool {
        self.last <= now
    }
}
