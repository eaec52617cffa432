//! Control processes that one has heard of from others, and who leads them.
//!
//! The members in a process's own log may be old, or none: it was removed while it was away, or its
//! disk was lost. Every control process therefore tells the others where its members are, and every
//! question tells where its asker is, so that one that belongs to no group finds the group as long
//! as it reaches anybody who does, and passes on to others where that is.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::raft::Members;
use crate::unit::{Millis, NodeId, Term, Time};

/// How long an address is tried after it was last told of. A process that was away for that long is
/// told of again as soon as it asks anybody.
const KEPT: Millis = Millis::seconds(60);

/// How long a leader is believed in after it was last told of: a follower that hears nothing of it
/// doubts it after two election timeouts, 1 s.
const LEADER_KEPT: Millis = Millis(1_500);

/// Addresses kept at most: a region has 9 control processes, and replaced ones come on top.
const MOST: usize = 64;

/// How long the founders of a group look for a leader among themselves before they look elsewhere.
const FOUNDING: Millis = Millis::seconds(2);

/// Who leads a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lead {
    /// Its term.
    pub term: Term,
    /// Where it listens for the others.
    pub address: String,
}

/// The control processes that one has heard of.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    heard: BTreeMap<String, Time>,
    lead: Option<(Lead, Time)>,
}

impl Contacts {
    /// Notes that a control process is said to be at `address`.
    pub fn hear(&mut self, now: Time, address: &str) {
        if let Some(at) = self.heard.get_mut(address) {
            *at = now;
        } else if self.heard.len() < MOST {
            self.heard.insert(address.to_owned(), now);
        }
    }

    /// Notes who is said to lead, unless a newer term is known.
    pub fn hear_lead(&mut self, now: Time, lead: &Lead) {
        let newer = self.lead(now).is_none_or(|known| lead.term >= known.term);
        if newer {
            self.hear(now, &lead.address);
            self.lead = Some((lead.clone(), now));
        }
    }

    /// Who leads, if somebody has said so lately.
    pub fn lead(&self, now: Time) -> Option<&Lead> {
        self.lead.as_ref().filter(|(_, at)| now.since(*at) < LEADER_KEPT).map(|(lead, _)| lead)
    }

    /// The addresses.
    pub fn addresses(&self) -> impl Iterator<Item = &str> {
        self.heard.keys().map(String::as_str)
    }

    /// Forgets what was not told of for long.
    pub fn tick(&mut self, now: Time) {
        self.heard.retain(|_, at| now.since(*at) < KEPT);
    }
}

/// How a control process stands with its group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// The identity in its data folder; 0 until it is known.
    pub node: NodeId,
    /// The members that its log names.
    pub members: Members,
    /// It knows a leader.
    pub led: bool,
    /// Its log holds nothing but who founded the group.
    pub empty: bool,
    /// It waits to be welcomed back after its start.
    pub rejoining: bool,
}

impl Place {
    /// It is one of a group's founders, which has had no leader as far as it knows.
    pub fn is_founding(&self) -> bool {
        self.empty && !self.led && self.members.voters.contains(&self.node)
    }

    /// It does not count in a group that it hears of: it has to tell the leader that it is there.
    /// `waited` is for how long it has been running. Founders look for each other first.
    pub fn seeks_group(&self, waited: Millis) -> bool {
        let counts = self.led && self.members.voters.contains(&self.node);
        !counts && (!self.is_founding() || waited >= FOUNDING)
    }
}
