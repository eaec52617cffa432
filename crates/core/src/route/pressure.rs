//! Who goes first where there is less room than is wanted.

use std::collections::BTreeMap;

use crate::unit::{Millis, Time};

/// How long after a more urgent request was refused a less urgent one is refused as well.
const PRESSED: Millis = Millis(500);

/// One place in so many goes to whoever asks: less urgent requests are never shut out for good.
const FOR_ANYBODY: u64 = 4;

/// What was refused lately, by priority.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    refused: BTreeMap<u8, Time>,
    taken: u64,
}

impl Pressure {
    /// Whether a request of this priority may have a place; 0 is the most urgent.
    pub fn allows(&self, now: Time, priority: u8) -> bool {
        let for_anybody = self.taken % FOR_ANYBODY == FOR_ANYBODY - 1;
        let is_pressed = || self.refused.range(..priority).any(|(_, at)| now.since(*at) < PRESSED);
        for_anybody || !is_pressed()
    }

    /// Notes that a place was taken.
    pub fn took(&mut self) {
        self.taken += 1;
    }

    /// Notes that a request was refused for want of a place.
    pub fn refuse(&mut self, now: Time, priority: u8) {
        self.refused.insert(priority, now);
    }
}
