//! Who belongs to a group.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::unit::{Index, NodeId};

/// The replicas of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Those whose votes and acknowledgements count.
    pub voters: BTreeSet<NodeId>,
    /// Those that are catching up.
    pub learners: BTreeSet<NodeId>,
    /// Where each of them listens for the others.
    pub addresses: BTreeMap<NodeId, String>,
}

/// A change of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a replica that does not count yet, and tells where it listens.
    AddLearner(NodeId, String),
    /// Makes a learner that has caught up count.
    Promote(NodeId),
    /// Removes a replica for good: its identity is never taken back.
    Remove(NodeId),
}

impl Members {
    /// A group of voters alone, with their addresses.
    pub fn of(voters: impl IntoIterator<Item = (NodeId, String)>) -> Members {
        let addresses: BTreeMap<_, _> = voters.into_iter().collect();
        let voters = addresses.keys().copied().collect();
        Members { voters, learners: BTreeSet::new(), addresses }
    }

    /// How many voters make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether `yes` holds for a quorum of the voters.
    pub fn agree(&self, yes: impl Fn(NodeId) -> bool) -> bool {
        !self.voters.is_empty() && self.voters.iter().filter(|n| yes(**n)).count() >= self.quorum()
    }

    /// The highest value that a quorum of the voters has reached.
    pub fn reached(&self, at: impl Fn(NodeId) -> Index) -> Index {
        let mut all: Vec<_> = self.voters.iter().map(|n| at(*n)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Voters and learners.
    pub fn all(&self) -> impl Iterator<Item = NodeId> {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Whether `n` belongs to the group.
    pub fn contains(&self, n: NodeId) -> bool {
        self.voters.contains(&n) || self.learners.contains(&n)
    }

    /// The members after a change, if it makes sense.
    pub fn with(&self, change: &MemberChange) -> Option<Members> {
        let mut m = self.clone();
        let changed = match change {
            MemberChange::AddLearner(n, address) => {
                m.addresses.insert(*n, address.clone());
                !self.contains(*n) && m.learners.insert(*n)
            }
            MemberChange::Promote(n) => m.learners.remove(n) && m.voters.insert(*n),
            MemberChange::Remove(n) => {
                m.addresses.remove(n);
                m.learners.remove(n) || m.voters.remove(n)
            }
        };
        (changed && !m.voters.is_empty()).then_some(m)
    }
}
