//! Recently completed requests. A request that completes often must not be suspected of crashing
//! the replicas that it runs on.

use std::collections::HashSet;

/// Maximum number of requests per generation: 30 to 60 seconds of history at 30 requests per
/// second, in about 20 kB.
const MAX_PER_GENERATION: usize = 1_024;

/// A set of recently completed requests, identified by a hash with a per-process key. It holds two
/// generations and drops the older one when the newer one is full.
#[derive(Clone, Debug, Default)]
pub struct CompletedRequests {
    newer: HashSet<u64>,
    older: HashSet<u64>,
}

impl CompletedRequests {
    /// Records that the request with this hash completed.
    pub fn record(&mut self, hash: u64) {
        if self.newer.len() >= MAX_PER_GENERATION {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(hash);
    }

    /// Returns whether the request with this hash completed recently.
    pub fn contains(&self, hash: u64) -> bool {
        self.newer.contains(&hash) || self.older.contains(&hash)
    }
}
