//! Estimates which replicas have which prompt prefixes in their KV cache.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::hash::Fnv;
use crate::unit::{Millis, Time};

/// Maximum number of prefixes in a table; beyond it the oldest are discarded.
const MAX_PREFIXES: usize = 50_000;

/// Maximum number of replicas listed for a prefix; beyond it the least recent is discarded.
const MAX_HOLDERS: usize = 4;

/// The age at which the expected size of a cached prefix is halved.
const HALF_LIFE: Millis = Millis::seconds(300);

/// The hashes of a prompt's prefixes, shortest first, each with the size of the prefix in tokens or
/// bytes. Prompts that share a prefix share its hash.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPrefixes {
    /// Hash and size of each prefix.
    steps: Vec<(u64, u64)>,
}

impl PromptPrefixes {
    /// Hashes the prefixes of a prompt that is given by its parts, such as the messages of a chat.
    /// Sizes are in bytes.
    pub fn new<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> PromptPrefixes {
        let (mut hash, mut size) = (Fnv::new(), 0);
        let mut steps = Vec::new();
        for part in parts {
            hash = hash.add_part(part);
            size += part.len() as u64;
            steps.push((hash.finish(), size));
        }
        PromptPrefixes { steps }
    }

    /// Hashes the prefixes of a prompt whose parts are given by id and size in tokens.
    pub fn from_sized_parts(parts: impl IntoIterator<Item = (u64, u64)>) -> PromptPrefixes {
        let (mut hash, mut size) = (Fnv::new(), 0);
        let mut steps = Vec::new();
        for (id, tokens) in parts {
            hash = hash.add_part(&id.to_be_bytes());
            size += tokens;
            steps.push((hash.finish(), size));
        }
        PromptPrefixes { steps }
    }

    /// Returns the hash and size of the longest prefix that other prompts may share: all parts but
    /// the last. `None` if the prompt has fewer than two parts.
    pub fn shared_prefix(&self) -> Option<(u64, u64)> {
        self.steps.iter().rev().nth(1).copied()
    }

    /// Returns the size of the whole prompt.
    pub fn size(&self) -> u64 {
        self.steps.last().map_or(0, |s| s.1)
    }
}

/// A replica that was sent a prefix.
#[derive(Clone, Copy, Debug)]
struct Holder {
    replica: SocketAddr,
    sent_at: Time,
}

/// One router's estimate of the replicas' caches: the prefixes that it sent, without those that
/// replicas report as evicted. Eviction events arrive late and with gaps, so older entries count
/// less.
#[derive(Clone, Debug, Default)]
pub struct PrefixTable {
    /// Replicas that were sent each prefix, by its hash, most recent last.
    holders: HashMap<u64, Vec<Holder>>,
    /// Hashes in the order of insertion.
    order: VecDeque<u64>,
    /// When a gap in a replica's events was last detected.
    gaps: HashMap<SocketAddr, Time>,
    /// When a replica was last assumed to have lost its whole cache.
    cleared_at: HashMap<SocketAddr, Time>,
}

impl PrefixTable {
    /// Records that a replica was sent a prompt.
    pub fn record_sent(&mut self, now: Time, replica: SocketAddr, prompt: &PromptPrefixes) {
        for (hash, _) in &prompt.steps {
            if !self.holders.contains_key(hash) {
                self.order.push_back(*hash);
            }
            let holders = self.holders.entry(*hash).or_default();
            holders.retain(|h| h.replica != replica);
            if holders.len() == MAX_HOLDERS {
                holders.remove(0);
            }
            holders.push(Holder { replica, sent_at: now });
        }
        while self.order.len() > MAX_PREFIXES {
            if let Some(old) = self.order.pop_front() {
                self.holders.remove(&old);
            }
        }
    }

    /// Records that a replica evicted the prefix with this hash from its cache.
    pub fn record_dropped(&mut self, replica: SocketAddr, hash: u64) {
        if let Some(holders) = self.holders.get_mut(&hash) {
            holders.retain(|h| h.replica != replica);
        }
    }

    /// Records a gap in a replica's eviction events: any prefix sent by `now` may have been evicted
    /// without an event.
    pub fn record_gap(&mut self, now: Time, replica: SocketAddr) {
        self.gaps.insert(replica, now);
    }

    /// Discards all prefixes of a replica that restarted or was removed.
    pub fn clear(&mut self, now: Time, replica: SocketAddr) {
        self.cleared_at.insert(replica, now);
    }

    /// Returns whether the replica has kept its cache since it was sent the prefix.
    fn may_hold(&self, h: &Holder) -> bool {
        self.cleared_at.get(&h.replica).is_none_or(|cleared_at| h.sent_at > *cleared_at)
    }

    /// Returns the replicas that may have the prefix with this hash.
    fn holders_of(&self, hash: u64) -> impl Iterator<Item = &Holder> {
        self.holders.get(&hash).into_iter().flatten().filter(|h| self.may_hold(h))
    }

    /// Returns whether any replica may have the prefix with this hash.
    pub fn is_known(&self, hash: u64) -> bool {
        self.holders_of(hash).next().is_some()
    }

    /// Returns the replicas that may have the longest known prefix of a prompt.
    pub fn holders(&self, prompt: &PromptPrefixes) -> impl Iterator<Item = SocketAddr> {
        let known = |(hash, _): &(u64, u64)| self.is_known(*hash).then_some(*hash);
        let longest = prompt.steps.iter().rev().find_map(known);
        longest.into_iter().flat_map(|hash| self.holders_of(hash)).map(|h| h.replica)
    }

    /// Returns how much of a prompt a replica is expected to have cached, in the unit of the
    /// prompt's sizes: the longest prefix sent there, discounted by its age and halved if a gap in
    /// events followed.
    pub fn cached_size(&self, now: Time, replica: SocketAddr, prompt: &PromptPrefixes) -> u64 {
        let sent_here = |(hash, size): &(u64, u64)| {
            let holder = self.holders_of(*hash).find(|h| h.replica == replica)?;
            Some((holder.sent_at, *size))
        };
        let Some((sent_at, size)) = prompt.steps.iter().rev().find_map(sent_here) else { return 0 };
        let age = now.since(sent_at).0;
        let discounted = size * HALF_LIFE.0 / (HALF_LIFE.0 + age);
        let uncertain = self.gaps.get(&replica).is_some_and(|gap| sent_at <= *gap);
        if uncertain { discounted / 2 } else { discounted }
    }
}
