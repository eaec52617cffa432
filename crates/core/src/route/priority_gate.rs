//! Admission by priority while demand exceeds capacity.

use std::collections::BTreeMap;

use crate::unit::{Millis, Time};

/// How long the refusal of a request blocks requests of lower priority.
const REFUSAL_WINDOW: Millis = Millis(500);

/// One request in this many is admitted whatever its priority, so that low priorities do not
/// starve.
const UNCONDITIONAL_EVERY: u64 = 4;

/// Admits requests of a priority only while none of a higher priority was refused recently.
#[derive(Clone, Debug, Default)]
pub struct PriorityGate {
    last_refused: BTreeMap<u8, Time>,
    admitted: u64,
}

impl PriorityGate {
    /// Returns whether a request of this priority is admitted; 0 is the highest priority.
    pub fn admits(&self, now: Time, priority: u8) -> bool {
        let unconditional = self.admitted % UNCONDITIONAL_EVERY == UNCONDITIONAL_EVERY - 1;
        let is_blocked =
            || self.last_refused.range(..priority).any(|(_, at)| now.since(*at) < REFUSAL_WINDOW);
        unconditional || !is_blocked()
    }

    /// Records an admitted request.
    pub fn record_admitted(&mut self) {
        self.admitted += 1;
    }

    /// Records a request that was refused for lack of capacity.
    pub fn record_refused(&mut self, now: Time, priority: u8) {
        self.last_refused.insert(priority, now);
    }
}
