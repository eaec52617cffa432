//! Proposal of commands to the replicated log, and the callers that wait for their answers.

use std::sync::Arc;

use cypressfork_core::code::Code;
use cypressfork_core::command::{Answer, Command};
use cypressfork_core::raft::Payload;
use cypressfork_core::unit::{Index, Millis, Term, Time};
use cypressfork_node::metric;
use cypressfork_wire::{MemberOrder, body, member_change};
use metrics::histogram;

use super::{ClockReading, GroupMember, STAMP_BYTES};
use crate::disk::Storage;

/// Minimum number of routers for which spending reports are batched into shared commits. Every router
/// reports once a second, and a commit takes a round trip to and a sync on each follower.
const MIN_ROUTERS_TO_BATCH: usize = 32;

/// Maximum time that a spending report waits to share a commit. It delays requests that wait for a
/// higher limit.
const MAX_REPORT_DELAY: Millis = Millis(40);

/// A proposed entry whose caller waits for an answer.
pub(super) struct PendingEntry<T> {
    /// Term in which it was proposed.
    pub(super) term: Term,
    /// Time of the proposal.
    pub(super) at: Time,
    /// Where the answer goes.
    pub(super) to: T,
}

/// A spending report that waits to share a commit.
pub(super) struct QueuedReport<T> {
    /// Time of arrival.
    pub(super) at: ClockReading,
    /// The encoded command.
    pub(super) command: Vec<u8>,
    /// Where the answer goes.
    pub(super) to: T,
}

impl<S: Storage, T> GroupMember<S, T> {
    /// Proposes a caller's command. A spending report may wait to share a commit with others.
    pub(super) fn propose(&mut self, at: ClockReading, command: Vec<u8>, from: T) {
        let Ok(c) = body::unpack::<Command>(&command) else {
            return self.reply(from, Err(Code::MessageBad));
        };
        if let Command::Tally { holder, seq, .. } = c
            && self.raft.is_leader()
        {
            self.heartbeats.record_bounds_report(at.now, holder, seq);
        }
        if let Command::Evacuate { data_centre, .. } = &c
            && !self.is_known_data_centre(data_centre)
        {
            return self.reply(from, Err(Code::DataCentreUnknown));
        }
        let is_report = matches!(c, Command::Tally { .. });
        if is_report && self.raft.is_leader() && self.state.routers().len() >= MIN_ROUTERS_TO_BATCH
        {
            self.queued_reports.push(QueuedReport { at, command, to: from });
            return;
        }
        self.propose_reports();
        self.propose_now(at, command, from);
    }

    /// Proposes the queued reports if the oldest has waited long enough.
    pub(super) fn tick_reports(&mut self, at: ClockReading) {
        if self.queued_reports.first().is_some_and(|r| at.now.since(r.at.now) >= MAX_REPORT_DELAY) {
            self.propose_reports();
        }
    }

    /// Proposes the queued reports in order of arrival.
    fn propose_reports(&mut self) {
        for r in std::mem::take(&mut self.queued_reports) {
            self.propose_now(r.at, r.command, r.to);
        }
    }

    fn propose_now(&mut self, at: ClockReading, command: Vec<u8>, from: T) {
        let mut bytes = Vec::with_capacity(STAMP_BYTES + command.len());
        bytes.extend_from_slice(&at.wall.0.to_be_bytes());
        bytes.extend_from_slice(&command);
        match self.raft.propose(at.now, Payload::Command(Arc::from(bytes))) {
            Ok(index) => self.add_pending(at, index, from),
            Err(code) => self.reply(from, Err(code)),
        }
    }

    /// Returns whether this data centre may be evacuated. Any name is valid if the settings list none.
    fn is_known_data_centre(&self, data_centre: &str) -> bool {
        let all = &self.data_centres;
        !data_centre.is_empty() && (all.is_empty() || all.contains(data_centre))
    }

    /// Sets the data centres that may be evacuated; an empty list allows any name.
    pub fn set_data_centres(&mut self, names: impl IntoIterator<Item = String>) {
        self.data_centres = names.into_iter().collect();
    }

    /// Keeps the caller of a proposal until its entry is applied.
    fn add_pending(&mut self, at: ClockReading, index: Index, to: T) {
        let term = self.raft.term();
        self.pending.insert(index, PendingEntry { term, at: at.now, to });
    }

    /// Proposes a command of the leader itself, whose answer is not needed.
    pub(crate) fn propose_internal(&mut self, at: ClockReading, c: &Command) {
        let mut bytes = at.wall.0.to_be_bytes().to_vec();
        bytes.extend_from_slice(&body::pack(c));
        // If the proposal fails, a later run of the task repeats it.
        let _ = self.raft.propose(at.now, Payload::Command(Arc::from(bytes)));
    }

    pub(super) fn change_members(&mut self, at: ClockReading, order: &MemberOrder, from: T) {
        let changed = member_change(order)
            .map_err(|_| Code::MessageBad)
            .and_then(|c| self.raft.propose_member_change(at.now, &c));
        match changed {
            Ok(index) => self.add_pending(at, index, from),
            Err(code) => self.reply(from, Err(code)),
        }
    }

    /// Answers the caller of the entry at `index` once that is applied. The answer is
    /// [`Code::NotLeader`] if an entry of another term has replaced the caller's.
    pub(super) fn answer_proposal(
        &mut self,
        at: ClockReading,
        index: Index,
        term: Term,
        answer: Answer,
    ) {
        let Some(p) = self.pending.remove(&index) else { return };
        histogram!(metric::COMMIT).record(at.now.since(p.at).0 as f64 / 1000.0);
        let result = if p.term == term { Ok(body::pack(&answer)) } else { Err(Code::NotLeader) };
        self.reply(p.to, result);
    }

    /// Answers all waiting callers with [`Code::NotLeader`]. Their commands may still be committed: a
    /// caller that repeats its command at the next leader gets the same answer.
    pub(super) fn fail_pending_calls(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        for p in pending.into_values() {
            self.reply(p.to, Err(Code::NotLeader));
        }
        for r in std::mem::take(&mut self.queued_reports) {
            self.reply(r.to, Err(Code::NotLeader));
        }
        self.fail_reads();
    }
}
