//! Requests that were answered whole lately, so that one that is asked for again and again is not
//! suspected of ending replicas that it runs on.

use std::collections::HashSet;

/// Requests of one generation. A gateway that answers thirty a second remembers half a minute to a
/// minute of them, in some 20 kB.
const GENERATION: usize = 1_024;

/// The requests, by a hash that the process keys for itself, in two generations: the older one goes
/// when the newer is full.
#[derive(Clone, Debug, Default)]
pub struct Sound {
    new: HashSet<u64>,
    old: HashSet<u64>,
}

impl Sound {
    /// Notes that a request was answered whole.
    pub fn note(&mut self, hash: u64) {
        if self.new.len() >= GENERATION {
            self.old = std::mem::take(&mut self.new);
        }
        self.new.insert(hash);
    }

    /// Whether a request was answered whole lately.
    pub fn has(&self, hash: u64) -> bool {
        self.new.contains(&hash) || self.old.contains(&hash)
    }
}
