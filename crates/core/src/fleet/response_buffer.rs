//! Bound on the bytes that a gateway holds of responses that it has not received in full.
//!
//! A response that may be repeated elsewhere is received before any of it is sent, and an event of a stream
//! before it is forwarded. A replica that sends without end could fill a gateway's memory with a few responses.
//! Over the bound for all of them, the one that holds most is given up, until the rest fits.

use std::collections::BTreeMap;

/// Maximum size of the body of a response that is not a stream, in bytes.
pub const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;

/// The process's memory divided by the bound for all responses.
const MEMORY_DIVISOR: u64 = 16;

/// Returns the bound for all responses, in bytes, of a process that may use `memory` bytes. A single response
/// always fits.
pub fn bound(memory: u64) -> u64 {
    (memory / MEMORY_DIVISOR).max(MAX_BODY_BYTES)
}

/// Identifies a response that is being received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResponseId(u64);

/// The bytes held of all responses of a process.
#[derive(Clone, Debug)]
pub struct ResponseBuffers {
    bound: u64,
    total: u64,
    last_id: u64,
    /// Only responses of which bytes are held.
    held: BTreeMap<ResponseId, u64>,
}

impl ResponseBuffers {
    /// Returns buffers that may hold `bound` bytes in total.
    pub fn new(bound: u64) -> ResponseBuffers {
        ResponseBuffers { bound, total: 0, last_id: 0, held: BTreeMap::new() }
    }

    /// Returns the id for another response.
    pub fn register(&mut self) -> ResponseId {
        self.last_id += 1;
        ResponseId(self.last_id)
    }

    /// Returns the bytes held of all responses.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Records that `held` bytes of a response are held.
    pub fn record(&mut self, id: ResponseId, held: u64) {
        let before = match held {
            0 => self.held.remove(&id),
            _ => self.held.insert(id, held),
        };
        self.total = self.total - before.unwrap_or(0) + held;
    }

    /// Returns the next response to give up if more is held than allowed. Its bytes no longer count.
    pub fn next_rejected(&mut self) -> Option<ResponseId> {
        if self.total <= self.bound {
            return None;
        }
        let (id, _) = self.held.iter().max_by_key(|(_, held)| **held)?;
        let id = *id;
        self.record(id, 0);
        Some(id)
    }
}
