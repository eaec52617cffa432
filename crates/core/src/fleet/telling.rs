//! How much a router tells others of the prompts that it sends.
//!
//! Each prompt is told to many peers, so a router that many callers use at once would fill its own
//! link with it, and answer nobody in time. Peers that are told nothing choose by what they know.

use crate::unit::{Millis, Time};

/// Messages of a router in a second, and at once after a pause. Of some 250 bytes each with their answers
/// they are a tenth of a link of 10 Mbit/s. Routers met so far tell 40 to 110 a second; one that every
/// seventh caller of a fleet of 291 used would have told 10,000.
const MESSAGES: u64 = 400;

/// What a router may tell yet.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Thousandths of messages.
    left: u64,
    since: Time,
}

impl Default for Allowance {
    fn default() -> Allowance {
        Allowance { left: MESSAGES * 1_000, since: Time(0) }
    }
}

impl Allowance {
    /// Takes `n` messages; false if they are too many now.
    pub fn take(&mut self, now: Time, n: u64) -> bool {
        let Millis(span) = now.since(self.since);
        self.left = self.left.saturating_add(span.saturating_mul(MESSAGES)).min(MESSAGES * 1_000);
        self.since = now;
        let wanted = n.saturating_mul(1_000);
        let may = wanted <= self.left;
        self.left -= if may { wanted } else { 0 };
        may
    }
}
