//! Checks that a restarted member passes before it takes part.
//!
//! Each member stores the last known incarnation, term and synced index of the others. A data folder
//! that is behind them is an old copy: its member could vote twice in a term or lose entries that it
//! acknowledged, so it stops for good.

use std::collections::BTreeSet;

use super::{Action, Body, Members, Message, PeerState, Raft, Role};
use crate::unit::{Index, Millis, NodeId, Time};

/// Interval between requests of a member that waits to rejoin.
const REQUEST_INTERVAL: Millis = Millis(100);

/// Time for which a rejoin waits for the remaining members, once a quorum has accepted it.
const FULL_RESPONSE_TIMEOUT: Millis = Millis(600);

/// Progress of a rejoin.
#[derive(Clone, Debug, Default)]
pub(super) struct Rejoin {
    /// Newer members than those of the log, if the leader has sent them.
    members: Option<Members>,
    /// Members that have accepted the rejoin.
    accepted_by: BTreeSet<NodeId>,
    since: Time,
    next_request: Time,
}

impl Raft {
    /// Returns the state that this member presents to the others.
    fn own_state(&self) -> PeerState {
        let (incarnation, boot) = (self.incarnation, self.boot);
        PeerState { incarnation, boot, term: self.hard.term, last: self.synced }
    }

    /// Starts to rejoin, unless this member is alone in its group or in none yet.
    pub(super) fn begin_rejoin(&mut self, now: Time) {
        if self.others().is_empty() || self.members().voters.is_empty() {
            return;
        }
        self.role = Role::Rejoining(Rejoin { since: now, ..Rejoin::default() });
        self.tick_rejoin(now);
    }

    /// Ends the rejoin if possible, or else repeats the request to the members that have not accepted
    /// it.
    pub(super) fn tick_rejoin(&mut self, now: Time) {
        self.try_end_rejoin(now);
        let Role::Rejoining(r) = &mut self.role else { return };
        if now < r.next_request {
            return;
        }
        r.next_request = now.after(REQUEST_INTERVAL);
        let accepted_by = r.accepted_by.clone();
        let state = self.own_state();
        let unanswered = |n: &NodeId| *n != self.id && !accepted_by.contains(n);
        let targets: Vec<_> = self.rejoin_members().all().filter(unanswered).collect();
        for n in targets {
            self.send(n, Body::Rejoin(state));
        }
    }

    /// Returns the members that have to accept the rejoin: those sent by the leader, or those of the
    /// log.
    fn rejoin_members(&self) -> &Members {
        let newer = match &self.role {
            Role::Rejoining(r) => r.members.as_ref(),
            _ => None,
        };
        newer.unwrap_or(self.members())
    }

    /// Sets the members that have to accept the rejoin, as sent by the leader with a quorum's
    /// confirmation. All members in the local log may have been replaced and never respond.
    ///
    /// The current voters hold everything that was committed while this member was a voter, so a
    /// quorum of them detects an old copy just as well.
    pub fn set_rejoin_members(&mut self, now: Time, members: Members) {
        let Role::Rejoining(r) = &mut self.role else { return };
        if members.voters.is_empty() {
            return;
        }
        r.members = Some(members);
        r.next_request = now;
        self.tick_rejoin(now);
    }

    /// Returns the address of a member, if it is known.
    pub fn address(&self, n: NodeId) -> Option<&str> {
        let in_log = self.members().addresses.get(&n);
        in_log.or_else(|| self.rejoin_members().addresses.get(&n)).map(String::as_str)
    }

    /// Accepts a rejoin unless the stored state of the member is newer than the one that it presents.
    pub(super) fn on_rejoin(&mut self, from: NodeId, state: PeerState) {
        let stored = self.peers.get(&from).copied().unwrap_or_default();
        let is_resend = state.boot == stored.boot;
        let newer = state.incarnation > stored.incarnation;
        let up_to_date = (state.term, state.last) >= (stored.term, stored.last);
        let accepted = is_resend || (newer && up_to_date);
        if accepted && !is_resend {
            self.peers.insert(from, state);
            self.actions.push(Action::SavePeer(from, state));
        }
        self.send(from, Body::RejoinReply { boot: state.boot, accepted });
    }

    /// Counts an acceptance, or stops this member for good if its state is rejected.
    pub(super) fn on_rejoin_reply(&mut self, now: Time, from: NodeId, boot: u64, accepted: bool) {
        if boot != self.boot {
            return;
        }
        if !accepted {
            self.role = Role::Outdated;
            self.actions.push(Action::Outdated(from));
            return;
        }
        if let Role::Rejoining(r) = &mut self.role {
            r.accepted_by.insert(from);
            self.try_end_rejoin(now);
        }
    }

    /// Becomes a follower once all members have accepted the rejoin, or once a quorum has and the
    /// time for the remaining responses has passed.
    fn try_end_rejoin(&mut self, now: Time) {
        let Role::Rejoining(r) = &self.role else { return };
        let accepted = |n: NodeId| n == self.id || r.accepted_by.contains(&n);
        let all = self.rejoin_members().all().all(accepted);
        let quorum = self.rejoin_members().has_quorum(accepted);
        if all || (quorum && now.since(r.since) >= FULL_RESPONSE_TIMEOUT) {
            self.role = Role::Follower;
            self.last_contact = now;
            self.draw_restart_timeout();
        }
    }

    pub(super) fn is_voter(&self) -> bool {
        self.members().voters.contains(&self.id)
    }

    /// Records the term and synced index of another member as shown by its message. They are only
    /// kept in memory until the member rejoins.
    pub(super) fn record_peer_state(&mut self, m: &Message) {
        let last = match &m.body {
            Body::Appended { matched, .. } => *matched,
            // A leader sends only what it has synced.
            Body::Append(a) => a.prev.index + a.entries.len() as Index,
            Body::Vote(_) | Body::VoteReply(true) => 0,
            _ => return,
        };
        let stored = self.peers.entry(m.from).or_default();
        if m.term > stored.term {
            stored.term = m.term;
            stored.last = last;
        } else if m.term == stored.term {
            stored.last = stored.last.max(last);
        }
    }
}
