//! Whether a gateway takes one more request.
//!
//! Callers may stay with one gateway whatever they are told, so that it gets many times its part.
//! What it cannot bear is refused at once, the less urgent first, before its memory is used up.

/// The memory of one request under way, in bytes: its connections' buffers on both sides, and its
/// body. An open stream was measured at 40 KiB.
const REQUEST_BYTES: u64 = 128 * 1024;

/// The part of a process's memory that requests may use, as a divisor.
const MEMORY_PART: u64 = 2;

/// Eighths of the places that requests may use, by priority; those that are less urgent still have
/// the last.
const EIGHTHS: [u64; 3] = [8, 7, 6];

/// Requests under way at once, for a process that may use `memory` bytes.
pub fn places(memory: u64) -> u64 {
    (memory / MEMORY_PART / REQUEST_BYTES).max(1)
}

/// Whether a request of `priority`, 0 being the most urgent, is taken while `active` are under way,
/// itself included, of `places`.
pub fn may_begin(active: u64, places: u64, priority: u8) -> bool {
    let rank = usize::from(priority).min(EIGHTHS.len() - 1);
    active <= (places * EIGHTHS[rank]).div_ceil(8)
}
