//! When callers that were refused are to come back.

use rand::Rng;

use crate::unit::{Millis, Time};

/// The turns of the callers of one service at one router: they come back one after the other, so that
/// each finds room.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turns {
    last: Time,
}

/// What a turn goes by.
#[derive(Clone, Copy, Debug)]
pub struct Back {
    /// When there is room again.
    pub first: Millis,
    /// The time between two callers.
    pub each: Millis,
    /// The longest that a caller is told: until then others that went away have made room.
    pub most: Millis,
}

impl Turns {
    /// The time until the next caller's turn. Once the turns reach as far as callers are told at most, the
    /// others are spread by chance.
    pub fn next(&mut self, now: Time, b: &Back, rng: &mut impl Rng) -> Millis {
        self.last = self.last.max(now.after(b.first)).after(b.each);
        let after = self.last.since(now);
        if after <= b.most {
            return after;
        }
        self.last = now.after(b.most);
        let least = b.first.min(b.most).max(Millis(b.most.0 / 2));
        Millis(rng.random_range(least.0..=b.most.0))
    }

    /// Whether the last turn is over.
    pub fn is_over(&self, now: Time) -> bool {
        self.last <= now
    }
}
