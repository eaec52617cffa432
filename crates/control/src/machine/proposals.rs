//! Commands on their way into the log, and the callers that wait for them.

use std::sync::Arc;

use cypressfork_core::code::Code;
use cypressfork_core::command::{Answer, Command};
use cypressfork_core::raft::Payload;
use cypressfork_core::unit::{Index, Millis, Term, Time};
use cypressfork_node::metric;
use cypressfork_wire::{MemberOrder, body, member_change};
use metrics::histogram;

use super::{Machine, Moment, STAMP};
use crate::disk::Storage;

/// Routers from which on their reports of spending share commits: 32 and more report each second,
/// and each commit takes a message to and from every follower and a sync at each.
const MANY: usize = 32;

/// How long such a report waits at most for others, or for a command that is committed at once. A
/// request that waits for a higher limit waits for this too.
const GATHER_REPORTS: Millis = Millis(40);

/// An entry that a caller waits for.
pub(super) struct Proposed<T> {
    /// The term that it was proposed in.
    pub(super) term: Term,
    /// When.
    pub(super) at: Time,
    /// Where the answer goes.
    pub(super) to: T,
}

/// A command that waits for others to share its commit.
pub(super) struct Gathered<T> {
    /// When it came.
    pub(super) at: Moment,
    /// The command.
    pub(super) command: Vec<u8>,
    /// Where the answer goes.
    pub(super) to: T,
}

impl<S: Storage, T> Machine<S, T> {
    pub(super) fn propose(&mut self, at: Moment, command: Vec<u8>, from: T) {
        let Ok(c) = body::unpack::<Command>(&command) else {
            return self.reply(from, Err(Code::MessageBad));
        };
        if let Command::Tally { holder, seq, .. } = c
            && self.raft.is_leader()
        {
            self.heartbeats.record_bounds_report(at.now, holder, seq);
        }
        if let Command::Evacuate { data_centre, .. } = &c
            && !self.knows(data_centre)
        {
            return self.reply(from, Err(Code::DataCentreUnknown));
        }
        let is_report = matches!(c, Command::Tally { .. });
        if is_report && self.raft.is_leader() && self.state.routers().len() >= MANY {
            self.reports.push(Gathered { at, command, to: from });
            return;
        }
        self.propose_reports();
        self.propose_now(at, command, from);
    }

    /// Proposes the reports that have been gathered, if the first has waited long enough.
    pub(super) fn tick_reports(&mut self, at: Moment) {
        if self.reports.first().is_some_and(|r| at.now.since(r.at.now) >= GATHER_REPORTS) {
            self.propose_reports();
        }
    }

    /// Proposes the reports that have been gathered, in the order in which they came.
    fn propose_reports(&mut self) {
        for r in std::mem::take(&mut self.reports) {
            self.propose_now(r.at, r.command, r.to);
        }
    }

    fn propose_now(&mut self, at: Moment, command: Vec<u8>, from: T) {
        let mut bytes = Vec::with_capacity(STAMP + command.len());
        bytes.extend_from_slice(&at.wall.0.to_be_bytes());
        bytes.extend_from_slice(&command);
        match self.raft.propose(at.now, Payload::Command(Arc::from(bytes))) {
            Ok(index) => self.wait_for(at, index, from),
            Err(code) => self.reply(from, Err(code)),
        }
    }

    /// Whether there is such a data centre; any name will do where the settings list none.
    fn knows(&self, data_centre: &str) -> bool {
        let all = &self.data_centres;
        !data_centre.is_empty() && (all.is_empty() || all.contains(data_centre))
    }

    /// Takes the names of the data centres that orders may be about.
    pub fn set_data_centres(&mut self, names: impl IntoIterator<Item = String>) {
        self.data_centres = names.into_iter().collect();
    }

    fn wait_for(&mut self, at: Moment, index: Index, to: T) {
        let term = self.raft.term();
        self.proposed.insert(index, Proposed { term, at: at.now, to });
    }

    /// Proposes a command of the leader's own, which nobody waits for.
    pub(crate) fn propose_own(&mut self, at: Moment, c: &Command) {
        let mut bytes = at.wall.0.to_be_bytes().to_vec();
        bytes.extend_from_slice(&body::pack(c));
        // A full log is no harm: the task comes up again.
        let _ = self.raft.propose(at.now, Payload::Command(Arc::from(bytes)));
    }

    pub(super) fn change_members(&mut self, at: Moment, order: &MemberOrder, from: T) {
        let changed = member_change(order)
            .map_err(|_| Code::MessageBad)
            .and_then(|c| self.raft.change(at.now, &c));
        match changed {
            Ok(index) => self.wait_for(at, index, from),
            Err(code) => self.reply(from, Err(code)),
        }
    }

    pub(super) fn answer_proposal(&mut self, at: Moment, index: Index, term: Term, answer: Answer) {
        let Some(p) = self.proposed.remove(&index) else { return };
        histogram!(metric::COMMIT).record(at.now.since(p.at).0 as f64 / 1000.0);
        let result = if p.term == term { Ok(body::pack(&answer)) } else { Err(Code::NotLeader) };
        self.reply(p.to, result);
    }

    /// Tells everybody who waits to ask the next leader. What they sent may still be committed;
    /// they send it again and get the same answer.
    pub(super) fn give_up_calls(&mut self) {
        let proposed = std::mem::take(&mut self.proposed);
        for p in proposed.into_values() {
            self.reply(p.to, Err(Code::NotLeader));
        }
        for r in std::mem::take(&mut self.reports) {
            self.reply(r.to, Err(Code::NotLeader));
        }
        self.fail_reads();
    }
}
