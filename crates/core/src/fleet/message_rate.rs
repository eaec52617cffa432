//! Rate limit on the messages by which a gateway announces prompt placements to its peers.
//!
//! Each placement is announced to many peers, so announcements alone could saturate the link of a
//! gateway with many callers. A peer that misses one chooses a replica by what it already knows.

use crate::unit::{Millis, Time};

/// Messages per second, and the burst after a pause. At about 250 bytes per message and reply they
/// use a tenth of a 10 Mbit/s link. Gateways usually send 40 to 110; one that every seventh
/// caller of a fleet of 291 used would send 10,000 without the limit.
const MESSAGES_PER_SECOND: u64 = 400;

/// A token bucket of messages to peers.
#[derive(Clone, Copy, Debug)]
pub struct MessageRateLimit {
    /// Available tokens, in thousandths of a message.
    available: u64,
    refilled_at: Time,
}

impl Default for MessageRateLimit {
    fn default() -> MessageRateLimit {
        MessageRateLimit { available: MESSAGES_PER_SECOND * 1_000, refilled_at: Time(0) }
    }
}

impl MessageRateLimit {
    /// Takes tokens for `n` messages. Returns `false`, and takes none, if there are too few.
    pub fn try_take(&mut self, now: Time, n: u64) -> bool {
        let Millis(elapsed) = now.since(self.refilled_at);
        self.available = self
            .available
            .saturating_add(elapsed.saturating_mul(MESSAGES_PER_SECOND))
            .min(MESSAGES_PER_SECOND * 1_000);
        self.refilled_at = now;
        let wanted = n.saturating_mul(1_000);
        let allowed = wanted <= self.available;
        self.available -= if allowed { wanted } else { 0 };
        allowed
    }
}
