//! Leader election: terms, pre-votes, votes and leadership.

use std::collections::BTreeMap;

use rand::Rng;

use super::{Action, Body, LeaderState, Message, Payload, Position, Progress, Raft, Reads, Role};
use crate::unit::{Millis, NodeId, Term, Time};

/// Shortest and longest election timeout of a member that has just rejoined, in tenths of a
/// heartbeat. The range is wide compared with the time of a vote, about 10 ms with its sync, to avoid
/// split votes.
const RESTART_TIMEOUT_TENTHS: (u64, u64) = (2, 20);

impl Raft {
    /// Sets a random election timeout between one and two times the configured minimum.
    pub(super) fn draw_election_timeout(&mut self) {
        let min = self.settings.election.0;
        self.election_timeout = Millis(self.rng.random_range(min..min * 2));
    }

    /// Sets a short random election timeout for a member that has just rejoined. It cannot disturb a
    /// working leader, whose followers reject a pre-vote.
    pub(super) fn draw_restart_timeout(&mut self) {
        let tenths = self.rng.random_range(RESTART_TIMEOUT_TENTHS.0..=RESTART_TIMEOUT_TENTHS.1);
        self.election_timeout =
            self.settings.heartbeat.scale(tenths, 10).min(self.settings.election);
    }

    /// Extends the election and quorum timeouts by the time since the last call, less one heartbeat
    /// interval.
    ///
    /// While this process is busy or suspended, messages queue up unread and the other members only
    /// seem silent. An entry that is slow to apply would otherwise make all members time out their
    /// leader together. A process that is always slow still counts one heartbeat interval per call.
    pub(super) fn exclude_pause_from_timeouts(&mut self, now: Time) {
        let Millis(passed) = now.since(self.last_run);
        self.last_run = self.last_run.max(now);
        let pause = Millis(passed.saturating_sub(self.settings.heartbeat.0));
        if pause == Millis(0) {
            return;
        }
        self.last_contact = self.last_contact.after(pause).min(now);
        if let Role::Leader(l) = &mut self.role {
            for p in l.followers.values_mut() {
                p.last_response = p.last_response.after(pause).min(now);
            }
        }
    }

    /// Starts a pre-vote if the election timeout has passed without contact from a leader.
    pub(super) fn tick_follower(&mut self, now: Time) {
        if now.since(self.last_contact) < self.election_timeout {
            return;
        }
        self.last_contact = now;
        self.leader = None;
        self.draw_election_timeout();
        if self.is_voter() {
            self.pre_campaign(now);
        }
    }

    /// Asks the other members whether they would vote for this one, without starting a term.
    fn pre_campaign(&mut self, now: Time) {
        self.role = Role::PreCandidate(BTreeMap::from([(self.id, true)]));
        let last = self.last_position();
        let term = self.hard.term + 1;
        for n in self.others() {
            let body = Body::PreVote(last);
            self.actions.push(Action::Send(Message { from: self.id, to: n, term, body }));
        }
        self.count_pre_votes(now);
    }

    /// Returns the position of the last log entry.
    fn last_position(&self) -> Position {
        Position { index: self.log.last_index(), term: self.log.last_term() }
    }

    /// Answers a pre-vote request. It is rejected while a leader is in contact or the candidate's log
    /// is behind.
    pub(super) fn on_pre_vote(&mut self, now: Time, from: NodeId, term: Term, last: Position) {
        let leader_timed_out =
            !self.is_leader() && now.since(self.last_contact) >= self.settings.election;
        let granted = term > self.hard.term
            && (leader_timed_out || self.leader.is_none())
            && self.log.is_covered_by(last);
        let term = if granted { term } else { self.hard.term };
        let body = Body::PreVoteReply(granted);
        self.actions.push(Action::Send(Message { from: self.id, to: from, term, body }));
    }

    /// Counts the answer to a pre-vote request, or steps down if it carries a newer term.
    pub(super) fn on_pre_vote_reply(&mut self, now: Time, from: NodeId, term: Term, granted: bool) {
        if !granted && term > self.hard.term {
            return self.become_follower(now, term, None);
        }
        if term != self.hard.term + 1 && granted {
            return;
        }
        if let Role::PreCandidate(votes) = &mut self.role {
            votes.insert(from, granted);
            self.count_pre_votes(now);
        }
    }

    fn count_pre_votes(&mut self, now: Time) {
        let Role::PreCandidate(votes) = &self.role else { return };
        if self.members().has_quorum(|n| votes.get(&n) == Some(&true)) {
            self.campaign(now);
        }
    }

    /// Starts a new term as its candidate, unless this member is no voter or already leads.
    pub(super) fn campaign(&mut self, now: Time) {
        if !self.is_voter() || self.is_leader() {
            return;
        }
        self.hard.term += 1;
        self.hard.vote = Some(self.id);
        self.save_hard_state();
        self.leader = None;
        self.last_contact = now;
        self.draw_election_timeout();
        self.role = Role::Candidate(BTreeMap::from([(self.id, true)]));
        let last = self.last_position();
        for n in self.others() {
            self.send(n, Body::Vote(last));
        }
        self.count_votes(now);
    }

    /// Grants the vote of this term to one candidate with an up-to-date log, unless a leader is
    /// known.
    pub(super) fn on_vote(&mut self, now: Time, from: NodeId, last: Position) {
        let may_vote = self.hard.vote.is_none_or(|v| v == from);
        let granted = may_vote && self.leader.is_none() && self.log.is_covered_by(last);
        if granted && self.hard.vote.is_none() {
            self.hard.vote = Some(from);
            self.save_hard_state();
            self.last_contact = now;
        }
        self.send(from, Body::VoteReply(granted));
    }

    /// Counts a vote.
    pub(super) fn on_vote_reply(&mut self, now: Time, from: NodeId, granted: bool) {
        if let Role::Candidate(votes) = &mut self.role {
            votes.insert(from, granted);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Time) {
        let Role::Candidate(votes) = &self.role else { return };
        if self.members().has_quorum(|n| votes.get(&n) == Some(&true)) {
            self.become_leader(now);
        }
    }

    /// Becomes leader and appends an empty entry, which commits the entries of earlier terms.
    fn become_leader(&mut self, now: Time) {
        let next = self.log.last_index() + 1;
        let followers = self.others().into_iter().map(|n| (n, Progress::new(now, next))).collect();
        let reads = Reads::default();
        self.role =
            Role::Leader(LeaderState { followers, reads, next_heartbeat: now, first_index: next });
        self.leader = Some(self.id);
        self.actions.push(Action::LeaderChanged(true));
        self.append_entry(now, Payload::Noop);
    }

    /// Compares the message's term with this member's and becomes a follower if it is newer. Returns
    /// whether to process the message; one of an older term is dropped, and its leader informed.
    pub(super) fn adopt_term(&mut self, now: Time, m: &Message) -> bool {
        if m.term > self.hard.term {
            let leader = match m.body {
                Body::Append(_) | Body::Snapshot(_) => Some(m.from),
                _ => None,
            };
            self.become_follower(now, m.term, leader);
            return true;
        }
        if m.term < self.hard.term {
            if matches!(m.body, Body::Append(_) | Body::Snapshot(_)) {
                let hint = self.log.last_index();
                self.send(m.from, Body::Rejected { hint, round: 0 });
            }
            return false;
        }
        true
    }

    /// Becomes a follower in `term`, of `leader` if it is known.
    pub(super) fn become_follower(&mut self, now: Time, term: Term, leader: Option<NodeId>) {
        self.stop_leading();
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.save_hard_state();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.last_contact = now;
        self.draw_election_timeout();
    }

    /// Records contact from `leader`, the leader of this term, and follows it.
    pub(super) fn follow_leader(&mut self, now: Time, leader: NodeId) {
        self.last_contact = now;
        self.leader = Some(leader);
        if !matches!(self.role, Role::Follower) {
            self.stop_leading();
            self.role = Role::Follower;
        }
    }

    /// Fails the pending reads and reports the loss of leadership, if this member leads.
    fn stop_leading(&mut self) {
        if let Role::Leader(l) = &mut self.role {
            for token in l.reads.drain() {
                self.actions.push(Action::ReadFailed(token));
            }
            self.actions.push(Action::LeaderChanged(false));
        }
    }

    /// Steps down if no quorum has responded within 1.5 election timeouts. Returns whether this
    /// member still leads.
    pub(super) fn check_quorum(&mut self, now: Time) -> bool {
        let Role::Leader(l) = &self.role else { return false };
        let limit = self.settings.election.scale(3, 2);
        let responsive = |n: NodeId| {
            n == self.id || l.followers.get(&n).is_some_and(|p| now.since(p.last_response) < limit)
        };
        if self.members().has_quorum(responsive) {
            return true;
        }
        self.become_follower(now, self.hard.term, None);
        false
    }

    /// Stops taking part for good, after a failure to store its state.
    pub fn halt(&mut self) {
        self.stop_leading();
        self.role = Role::Outdated;
        self.leader = None;
    }

    /// Asks the most up-to-date voter to start an election, so that a planned stop is short.
    pub fn transfer_leadership(&mut self) {
        let Role::Leader(l) = &self.role else { return };
        let voters = &self.members().voters;
        let voting = l.followers.iter().filter(|(n, _)| voters.contains(n));
        if let Some(to) = voting.max_by_key(|(_, p)| p.matched).map(|(n, _)| *n) {
            self.send(to, Body::TimeoutNow);
        }
    }
}
