//! Linearizable reads, confirmed by a quorum.
//!
//! A read returns the state as of the commit index when it arrived, or a later state. It waits for
//! responses from a quorum to messages sent after its arrival, which prove that no other leader had
//! committed anything by then.

use std::collections::VecDeque;

use super::{Action, Raft, Role};
use crate::code::Code;
use crate::unit::{Index, NodeId};

/// A read that waits for its round to be confirmed.
#[derive(Clone, Debug)]
struct Read {
    token: u64,
    round: u64,
    /// Index that must be applied before the read.
    index: Index,
}

/// The unconfirmed reads of a leader. Reads that arrive during a round share the next one.
#[derive(Clone, Debug, Default)]
pub(super) struct Reads {
    pending: VecDeque<Read>,
    /// Number of the last round begun.
    last_round: u64,
}

impl Reads {
    /// Returns the number of the current round, which messages to followers carry.
    pub(super) fn round(&self) -> u64 {
        self.last_round
    }

    /// Removes all reads and returns their tokens.
    pub(super) fn drain(&mut self) -> Vec<u64> {
        self.pending.drain(..).map(|r| r.token).collect()
    }

    /// Adds a read to the next round, and begins that round if none is in progress. Returns whether
    /// it began.
    fn add(&mut self, token: u64, index: Index) -> bool {
        let in_progress = self.pending.front().is_some_and(|r| r.round <= self.last_round);
        self.pending.push_back(Read { token, round: self.last_round + 1, index });
        !in_progress && self.begin_round()
    }

    /// Begins the next round if its reads are first in the queue. Returns whether it began.
    fn begin_round(&mut self) -> bool {
        let due = self.pending.front().is_some_and(|r| r.round > self.last_round);
        if due {
            self.last_round += 1;
        }
        due
    }
}

impl Raft {
    /// Requests a linearizable read; [`Action::ReadReady`] or [`Action::ReadFailed`] with the same
    /// token reports the result. Fails with `NotLeader`.
    pub fn read(&mut self, token: u64) -> Result<(), Code> {
        let index = self.commit;
        let Role::Leader(l) = &mut self.role else { return Err(Code::NotLeader) };
        let index = index.max(l.first_index);
        if l.reads.add(token, index) {
            self.heartbeat();
        }
        self.confirm_reads();
        Ok(())
    }

    /// Reports the reads that a quorum has confirmed, and begins the next round if one is due.
    pub(super) fn confirm_reads(&mut self) {
        while let Some(r) = self.pop_confirmed_read() {
            self.actions.push(Action::ReadReady(r.token, r.index));
        }
        let Role::Leader(l) = &mut self.role else { return };
        if l.reads.begin_round() {
            self.heartbeat();
            self.confirm_reads();
        }
    }

    /// Removes and returns the first pending read, if a quorum has confirmed its round.
    fn pop_confirmed_read(&mut self) -> Option<Read> {
        let Role::Leader(l) = &self.role else { return None };
        let round = l.reads.pending.front()?.round;
        let confirmed =
            |n: NodeId| n == self.id || l.followers.get(&n).is_some_and(|p| p.round >= round);
        if round > l.reads.last_round
            || self.commit < l.first_index
            || !self.members().has_quorum(confirmed)
        {
            return None;
        }
        let Role::Leader(l) = &mut self.role else { return None };
        l.reads.pending.pop_front()
    }
}
