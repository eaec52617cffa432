//! Addresses of control processes and of their leader, learned by gossip.
//!
//! The member list in a process's own log may be outdated or empty: the process may have been removed
//! while it was down, or may have lost its disk. Every watch request carries the requester's address
//! and every answer carries the members' addresses, so a process outside the group finds it as long as
//! it reaches any process that knows the group, and passes the addresses on.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::raft::Members;
use crate::unit::{Millis, NodeId, Term, Time};

/// How long an address is kept after it was last received. A process that was down for longer is
/// recorded again when its next request arrives.
const ADDRESS_TTL: Millis = Millis::seconds(60);

/// How long a leader is kept after it was last reported. Longer than the maximum election
/// timeout (1 s), after which a follower without heartbeats stops reporting it.
const LEADER_TTL: Millis = Millis(1_500);

/// Maximum number of addresses: a region has 9 control processes, plus those that were replaced.
const MAX_ADDRESSES: usize = 64;

/// How long founding members wait for a leader among themselves before they look for another group.
const FOUNDING_TIMEOUT: Millis = Millis::seconds(2);

/// The leader of a control group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// The Raft term in which it leads.
    pub term: Term,
    /// The address on which it listens for other control processes.
    pub address: String,
}

/// Known control processes and the current leader.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    last_heard: BTreeMap<String, Time>,
    leader: Option<(Leader, Time)>,
}

impl Contacts {
    /// Records that a control process was reported at `address`. New addresses are dropped once the
    /// list is full.
    pub fn record(&mut self, now: Time, address: &str) {
        if let Some(at) = self.last_heard.get_mut(address) {
            *at = now;
        } else if self.last_heard.len() < MAX_ADDRESSES {
            self.last_heard.insert(address.to_owned(), now);
        }
    }

    /// Records a reported leader and its address, unless a leader of a higher term is known.
    pub fn record_leader(&mut self, now: Time, leader: &Leader) {
        let is_newer = self.leader(now).is_none_or(|known| leader.term >= known.term);
        if is_newer {
            self.record(now, &leader.address);
            self.leader = Some((leader.clone(), now));
        }
    }

    /// Returns the leader, if one was reported recently.
    pub fn leader(&self, now: Time) -> Option<&Leader> {
        self.leader.as_ref().filter(|(_, at)| now.since(*at) < LEADER_TTL).map(|(leader, _)| leader)
    }

    /// Returns the known addresses in ascending order.
    pub fn addresses(&self) -> impl Iterator<Item = &str> {
        self.last_heard.keys().map(String::as_str)
    }

    /// Removes expired addresses.
    pub fn tick(&mut self, now: Time) {
        self.last_heard.retain(|_, at| now.since(*at) < ADDRESS_TTL);
    }
}

/// A control process's view of its own membership in the control group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupStatus {
    /// The node id stored in its data folder; 0 until it is read.
    pub node: NodeId,
    /// The members named in its log.
    pub members: Members,
    /// Whether it knows a leader.
    pub has_leader: bool,
    /// Whether its log holds no entries beyond the founding members.
    pub log_empty: bool,
    /// Whether it still waits to rejoin the group after a restart.
    pub rejoining: bool,
}

impl GroupStatus {
    /// Returns whether it is a founding member of a group that has not had a leader yet, as far as it
    /// knows.
    pub fn is_founding(&self) -> bool {
        self.log_empty && !self.has_leader && self.members.voters.contains(&self.node)
    }

    /// Returns whether it has to announce itself to the leader because it is not a voter of a led
    /// group. `waited` is the time since its start: founding members wait for each other first.
    pub fn must_announce(&self, waited: Millis) -> bool {
        let is_led_voter = self.has_leader && self.members.voters.contains(&self.node);
        !is_led_voter && (!self.is_founding() || waited >= FOUNDING_TIMEOUT)
    }
}
