//! Admission control: rejects requests by priority before a gateway runs out of memory.
//!
//! Callers may keep using one gateway although the control group lists others, so a single gateway
//! can receive much more than its share. Requests beyond its capacity are rejected at once, the
//! lowest priority first.

/// Memory reserved for one active request, in bytes: socket buffers on both sides and the body.
const REQUEST_BYTES: u64 = 128 * 1024;

/// Active requests may use the process's memory divided by this.
const MEMORY_DIVISOR: u64 = 2;

/// Share of the request limit open to each priority, in eighths. Lower priorities use the last entry.
const PRIORITY_EIGHTHS: [u64; 3] = [8, 7, 6];

/// Returns how many requests may be active at once in a process that may use `memory` bytes; at
/// least 1.
pub fn max_active_requests(memory: u64) -> u64 {
    (memory / MEMORY_DIVISOR / REQUEST_BYTES).max(1)
}

/// Returns whether a request of `priority` (0 is the most urgent) is admitted. `active` counts the
/// active requests including this one, `max_active` is the limit of the process.
pub fn admits(active: u64, max_active: u64, priority: u8) -> bool {
    let rank = usize::from(priority).min(PRIORITY_EIGHTHS.len() - 1);
    active <= (max_active * PRIORITY_EIGHTHS[rank]).div_ceil(8)
}
