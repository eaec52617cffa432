//! Chooses membership changes by which the control group grows and replaces lost members without an
//! operator.

use std::collections::BTreeMap;

use super::watch::Announce;
use crate::raft::{MemberChange, Members};
use crate::unit::{Millis, NodeId, Time};

/// A process whose last announcement is at least this old is no longer a candidate.
const CANDIDATE_TTL: Millis = Millis(2_500);

/// A member that has not answered for this long counts as lost and may be removed.
const SILENT_AFTER: Millis = Millis(2_500);

/// The state of a member as its leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    /// Time since its last answer.
    pub silent_for: Millis,
    /// Whether its log contains all committed entries.
    pub caught_up: bool,
}

/// Control processes that have announced that they belong to no group.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    announced: BTreeMap<NodeId, (String, Time)>,
}

impl Candidates {
    /// Records the announcement of a process.
    pub fn record(&mut self, now: Time, a: Announce) {
        self.announced.insert(a.node, (a.address, now));
    }

    /// Removes candidates whose last announcement is too old.
    pub fn tick(&mut self, now: Time) {
        self.announced.retain(|_, (_, at)| now.since(*at) < CANDIDATE_TTL);
    }
}

/// Returns the next membership change for a leader `me` to make in a group that should have
/// `target_voters` voters, or `None` if no change is needed or safe.
///
/// `health` returns the state of each member other than the leader. A change is returned only if
/// the members that answer form a quorum after it, so a repair cannot cost the group its quorum.
pub fn next_change(
    members: &Members,
    me: NodeId,
    health: impl Fn(NodeId) -> Health,
    candidates: &Candidates,
    target_voters: usize,
) -> Option<MemberChange> {
    let answers = |n: NodeId| n == me || health(n).silent_for < SILENT_AFTER;
    let safe = |c: MemberChange| {
        let after = members.with_change(&c)?;
        after.has_quorum(answers).then_some(c)
    };
    find_member_without_disk(members, candidates)
        .and_then(|n| safe(MemberChange::Remove(n)))
        .or_else(|| {
            let ready = |n: &NodeId| answers(*n) && health(*n).caught_up;
            let learner = members.learners.iter().copied().find(ready)?;
            safe(MemberChange::Promote(learner))
        })
        .or_else(|| {
            let lost = members.learners.iter().copied().find(|n| !answers(*n))?;
            safe(MemberChange::Remove(lost))
        })
        .or_else(|| {
            let surplus = members.voters.len() > target_voters;
            let lost = members.voters.iter().copied().find(|n| surplus && !answers(*n))?;
            safe(MemberChange::Remove(lost))
        })
        .or_else(|| {
            let addition =
                add_candidate(members, candidates).filter(|_| members.learners.is_empty());
            addition.and_then(safe)
        })
}

/// Returns a member whose address is announced by a process with another id, which means that the
/// member has lost its disk.
fn find_member_without_disk(members: &Members, candidates: &Candidates) -> Option<NodeId> {
    let mut all = members.addresses.iter();
    let is_reused =
        |n: &NodeId, a: &String| candidates.announced.iter().any(|(c, h)| c != n && h.0 == *a);
    all.find(|(n, a)| !candidates.announced.contains_key(n) && is_reused(n, a)).map(|(n, _)| *n)
}

/// Returns the change that adds the first candidate that is not a member as a learner.
fn add_candidate(members: &Members, candidates: &Candidates) -> Option<MemberChange> {
    let mut all = candidates.announced.iter();
    let (n, (address, _)) = all.find(|(n, _)| !members.contains(**n))?;
    Some(MemberChange::AddLearner(*n, address.clone()))
}
