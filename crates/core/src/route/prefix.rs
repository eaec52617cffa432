//! Which replica is likely to have which prompt prefix in its cache.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::hash::Fnv;
use crate::unit::{Millis, Time};

/// Steps of a trail that are remembered in all.
const KEPT: usize = 50_000;

/// Replicas that are remembered for one step, the last that were sent it.
const HOLDERS: usize = 4;

/// The age at which a remembered prefix counts half.
const HALF_LIFE: Millis = Millis::seconds(300);

/// The hashes of a prompt's growing prefixes, each with its size in tokens or bytes. Two prompts
/// that begin alike have trails that begin alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trail {
    steps: Vec<(u64, u64)>,
}

impl Trail {
    /// The trail of a prompt's parts, such as the messages of a chat.
    pub fn new<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Trail {
        let (mut hash, mut size) = (Fnv::new(), 0);
        let mut steps = Vec::new();
        for part in parts {
            hash = hash.part(part);
            size += part.len() as u64;
            steps.push((hash.value(), size));
        }
        Trail { steps }
    }

    /// The trail of a prompt whose parts are known by an id and a size in tokens.
    pub fn of_parts(parts: impl IntoIterator<Item = (u64, u64)>) -> Trail {
        let (mut hash, mut size) = (Fnv::new(), 0);
        let mut steps = Vec::new();
        for (id, tokens) in parts {
            hash = hash.part(&id.to_be_bytes());
            size += tokens;
            steps.push((hash.value(), size));
        }
        Trail { steps }
    }

    /// The longest prefix that other prompts may begin with too: all but the last part. Its hash
    /// and size; none if there is but one part.
    pub fn shared(&self) -> Option<(u64, u64)> {
        self.steps.iter().rev().nth(1).copied()
    }

    /// The size of the whole prompt.
    pub fn size(&self) -> u64 {
        self.steps.last().map_or(0, |s| s.1)
    }
}

/// A replica that was sent a prefix.
#[derive(Clone, Copy, Debug)]
struct Known {
    replica: SocketAddr,
    at: Time,
}

/// What a router remembers of replicas' caches: what it sent there, less what it hears was
/// dropped. Events about drops come late and with gaps, so that old knowledge counts less.
#[derive(Clone, Debug, Default)]
pub struct Prefixes {
    known: HashMap<u64, Vec<Known>>,
    order: VecDeque<u64>,
    /// Since when a replica's events have a gap.
    gaps: HashMap<SocketAddr, Time>,
    /// When a replica was last known to have lost all.
    emptied: HashMap<SocketAddr, Time>,
}

impl Prefixes {
    /// Notes that a replica was sent a prompt.
    pub fn sent(&mut self, now: Time, replica: SocketAddr, t: &Trail) {
        for (hash, _) in &t.steps {
            if !self.known.contains_key(hash) {
                self.order.push_back(*hash);
            }
            let holders = self.known.entry(*hash).or_default();
            holders.retain(|k| k.replica != replica);
            if holders.len() == HOLDERS {
                holders.remove(0);
            }
            holders.push(Known { replica, at: now });
        }
        while self.order.len() > KEPT {
            if let Some(old) = self.order.pop_front() {
                self.known.remove(&old);
            }
        }
    }

    /// Takes a replica's word that it dropped a prefix.
    pub fn dropped(&mut self, replica: SocketAddr, hash: u64) {
        if let Some(holders) = self.known.get_mut(&hash) {
            holders.retain(|k| k.replica != replica);
        }
    }

    /// Notes that a replica's events have a gap: what was known before may be gone.
    pub fn gap(&mut self, now: Time, replica: SocketAddr) {
        self.gaps.insert(replica, now);
    }

    /// Notes that a replica has lost all: it has restarted, or is gone.
    pub fn forget(&mut self, now: Time, replica: SocketAddr) {
        self.emptied.insert(replica, now);
    }

    /// Whether what a replica was sent may be there still.
    fn may_hold(&self, k: &Known) -> bool {
        self.emptied.get(&k.replica).is_none_or(|emptied| k.at > *emptied)
    }

    /// The replicas that were sent this step of a trail.
    fn sent_to(&self, hash: u64) -> impl Iterator<Item = &Known> {
        self.known.get(&hash).into_iter().flatten().filter(|k| self.may_hold(k))
    }

    /// Whether any replica is remembered to have been sent this step of a trail.
    pub fn is_known(&self, hash: u64) -> bool {
        self.sent_to(hash).next().is_some()
    }

    /// The replicas that were sent the longest remembered prefix of a prompt.
    pub fn holders(&self, t: &Trail) -> impl Iterator<Item = SocketAddr> {
        let held = |(hash, _): &(u64, u64)| self.is_known(*hash).then_some(*hash);
        let longest = t.steps.iter().rev().find_map(held);
        longest.into_iter().flat_map(|hash| self.sent_to(hash)).map(|k| k.replica)
    }

    /// How much of a prompt a replica is expected to have, in the trail's sizes: the longest
    /// remembered prefix, discounted by its age, and by half if it is older than a gap.
    pub fn cover(&self, now: Time, replica: SocketAddr, t: &Trail) -> u64 {
        let held = |(hash, size): &(u64, u64)| {
            let known = self.sent_to(*hash).find(|k| k.replica == replica)?;
            Some((known.at, *size))
        };
        let Some((at, size)) = t.steps.iter().rev().find_map(held) else { return 0 };
        let age = now.since(at).0;
        let aged = size * HALF_LIFE.0 / (HALF_LIFE.0 + age);
        let doubtful = self.gaps.get(&replica).is_some_and(|gap| at <= *gap);
        if doubtful { aged / 2 } else { aged }
    }
}
