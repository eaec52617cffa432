//! Terms, votes, and who leads.

use std::collections::BTreeMap;

use rand::Rng;

use super::{Action, Body, Leading, Message, Payload, Position, Progress, Raft, Reads, Role};
use crate::unit::{Millis, NodeId, Term, Time};

/// How long a replica that has just restarted waits for a leader's word, in tenths of a heartbeat:
/// the least and the most. The spread keeps two from standing at the same time, as a vote takes
/// some 10 ms with its sync.
const FIRST_WAIT: (u64, u64) = (2, 20);

impl Raft {
    pub(super) fn draw_timeout(&mut self) {
        let least = self.settings.election.0;
        self.timeout = Millis(self.rng.random_range(least..least * 2));
    }

    /// Draws a short wait for a leader's word, for a replica that has just restarted: if there is a
    /// leader, those that hear it refuse a pre-vote, and without one nobody does.
    pub(super) fn draw_first_timeout(&mut self) {
        let tenths = self.rng.random_range(FIRST_WAIT.0..=FIRST_WAIT.1);
        self.timeout = self.settings.heartbeat.scale(tenths, 10).min(self.settings.election);
    }

    /// Takes the time for which this process did not listen, but for a heartbeat of it, out of what others
    /// have been silent for. A process that was busy or suspended finds what came meanwhile still waiting, and
    /// its clock says that nobody has spoken. All replicas apply the same entries: if one of those takes long,
    /// they would all give up their leader at once, and elect without end.
    ///
    /// A process that is held up all the time still counts a heartbeat of silence at each tick.
    pub(super) fn forgive_own_pause(&mut self, now: Time) {
        let Millis(passed) = now.since(self.ticked);
        self.ticked = self.ticked.max(now);
        let pause = Millis(passed.saturating_sub(self.settings.heartbeat.0));
        if pause == Millis(0) {
            return;
        }
        self.heard = self.heard.after(pause).min(now);
        if let Role::Leader(l) = &mut self.role {
            for p in l.followers.values_mut() {
                p.heard = p.heard.after(pause).min(now);
            }
        }
    }

    pub(super) fn tick_follower(&mut self, now: Time) {
        if now.since(self.heard) < self.timeout {
            return;
        }
        self.heard = now;
        self.leader = None;
        self.draw_timeout();
        if self.is_voter() {
            self.pre_campaign(now);
        }
    }

    fn pre_campaign(&mut self, now: Time) {
        self.role = Role::PreCandidate(BTreeMap::from([(self.id, true)]));
        let last = self.last();
        let term = self.hard.term + 1;
        for n in self.others() {
            let body = Body::PreVote(last);
            self.actions.push(Action::Send(Message { from: self.id, to: n, term, body }));
        }
        self.count_pre_votes(now);
    }

    fn last(&self) -> Position {
        Position { index: self.log.last_index(), term: self.log.last_term() }
    }

    pub(super) fn on_pre_vote(&mut self, now: Time, from: NodeId, term: Term, last: Position) {
        let quiet = !self.leads() && now.since(self.heard) >= self.settings.election;
        let granted =
            term > self.hard.term && (quiet || self.leader.is_none()) && self.log.covered_by(last);
        let term = if granted { term } else { self.hard.term };
        let body = Body::PreVoteReply(granted);
        self.actions.push(Action::Send(Message { from: self.id, to: from, term, body }));
    }

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
        if self.members().agree(|n| votes.get(&n) == Some(&true)) {
            self.campaign(now);
        }
    }

    pub(super) fn campaign(&mut self, now: Time) {
        if !self.is_voter() || self.leads() {
            return;
        }
        self.hard.term += 1;
        self.hard.vote = Some(self.id);
        self.save();
        self.leader = None;
        self.heard = now;
        self.draw_timeout();
        self.role = Role::Candidate(BTreeMap::from([(self.id, true)]));
        let last = self.last();
        for n in self.others() {
            self.send(n, Body::Vote(last));
        }
        self.count_votes(now);
    }

    pub(super) fn on_vote(&mut self, now: Time, from: NodeId, last: Position) {
        let free = self.hard.vote.is_none_or(|v| v == from);
        let granted = free && self.leader.is_none() && self.log.covered_by(last);
        if granted && self.hard.vote.is_none() {
            self.hard.vote = Some(from);
            self.save();
            self.heard = now;
        }
        self.send(from, Body::VoteReply(granted));
    }

    pub(super) fn on_vote_reply(&mut self, now: Time, from: NodeId, granted: bool) {
        if let Role::Candidate(votes) = &mut self.role {
            votes.insert(from, granted);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Time) {
        let Role::Candidate(votes) = &self.role else { return };
        if self.members().agree(|n| votes.get(&n) == Some(&true)) {
            self.lead(now);
        }
    }

    fn lead(&mut self, now: Time) {
        let next = self.log.last_index() + 1;
        let followers = self.others().into_iter().map(|n| (n, Progress::new(now, next))).collect();
        let reads = Reads::default();
        self.role = Role::Leader(Leading { followers, reads, next_heartbeat: now, first: next });
        self.leader = Some(self.id);
        self.actions.push(Action::Lead(true));
        self.append_own(now, Payload::Nothing);
    }

    /// Deals with the message's term; false if the message must be ignored.
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

    pub(super) fn become_follower(&mut self, now: Time, term: Term, leader: Option<NodeId>) {
        self.stop_leading();
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.save();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.heard = now;
        self.draw_timeout();
    }

    /// Notes that `leader` leads this term.
    pub(super) fn follow(&mut self, now: Time, leader: NodeId) {
        self.heard = now;
        self.leader = Some(leader);
        if !matches!(self.role, Role::Follower) {
            self.stop_leading();
            self.role = Role::Follower;
        }
    }

    fn stop_leading(&mut self) {
        if let Role::Leader(l) = &mut self.role {
            for token in l.reads.drain() {
                self.actions.push(Action::ReadFailed(token));
            }
            self.actions.push(Action::Lead(false));
        }
    }

    /// Steps down when no quorum has answered for an election timeout.
    pub(super) fn check_quorum(&mut self, now: Time) -> bool {
        let Role::Leader(l) = &self.role else { return false };
        let span = self.settings.election.scale(3, 2);
        let heard = |n: NodeId| {
            n == self.id || l.followers.get(&n).is_some_and(|p| now.since(p.heard) < span)
        };
        if self.members().agree(heard) {
            return true;
        }
        self.become_follower(now, self.hard.term, None);
        false
    }

    /// Takes no part any more: what it says could not be stored.
    pub fn halt(&mut self) {
        self.stop_leading();
        self.role = Role::Outdated;
        self.leader = None;
    }

    /// Hands the lead to the follower that is furthest, for a planned stop.
    pub fn hand_over(&mut self) {
        let Role::Leader(l) = &self.role else { return };
        let voters = &self.members().voters;
        let ready = l.followers.iter().filter(|(n, _)| voters.contains(n));
        if let Some(to) = ready.max_by_key(|(_, p)| p.matched).map(|(n, _)| *n) {
            self.send(to, Body::TakeOver);
        }
    }
}
