//! The members of a group and changes of them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::unit::{Index, NodeId};

/// The members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members that count towards a quorum.
    pub voters: BTreeSet<NodeId>,
    /// Members that receive the log but do not count towards a quorum.
    pub learners: BTreeSet<NodeId>,
    /// Address of each member for the others.
    pub addresses: BTreeMap<NodeId, String>,
}

/// A change of a single member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a learner with this address.
    AddLearner(NodeId, String),
    /// Makes a learner that has caught up a voter.
    Promote(NodeId),
    /// Removes a member for good: its id is never reused.
    Remove(NodeId),
}

impl Members {
    /// Creates a group of voters with these addresses, without learners.
    pub fn from_voters(voters: impl IntoIterator<Item = (NodeId, String)>) -> Members {
        let addresses: BTreeMap<_, _> = voters.into_iter().collect();
        let voters = addresses.keys().copied().collect();
        Members { voters, learners: BTreeSet::new(), addresses }
    }

    /// Returns the number of voters in a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether `yes` holds for a quorum of the voters; false if there are no voters.
    pub fn has_quorum(&self, yes: impl Fn(NodeId) -> bool) -> bool {
        !self.voters.is_empty() && self.voters.iter().filter(|n| yes(**n)).count() >= self.quorum()
    }

    /// Returns the highest index that a quorum of the voters has reached, given the index of each.
    pub fn quorum_index(&self, index_of: impl Fn(NodeId) -> Index) -> Index {
        let mut all: Vec<_> = self.voters.iter().map(|n| index_of(*n)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Iterates over the voters and then the learners.
    pub fn all(&self) -> impl Iterator<Item = NodeId> {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Returns whether `n` is a voter or learner.
    pub fn contains(&self, n: NodeId) -> bool {
        self.voters.contains(&n) || self.learners.contains(&n)
    }

    /// Returns the members after a change, or `None` if it does not apply to the current members or
    /// would leave no voters.
    pub fn with_change(&self, change: &MemberChange) -> Option<Members> {
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
