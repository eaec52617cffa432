//! Reads that a quorum confirms.
//!
//! A read is answered from the state at the position that was committed when it came, once a
//! quorum has answered a round that began after it: no other leader can have committed more by
//! then.

use std::collections::VecDeque;

use super::{Action, Raft, Role};
use crate::code::Code;
use crate::unit::{Index, NodeId};

#[derive(Clone, Debug)]
struct Read {
    token: u64,
    round: u64,
    index: Index,
}

/// The reads that wait for a leader's confirmation.
#[derive(Clone, Debug, Default)]
pub(super) struct Reads {
    waiting: VecDeque<Read>,
    sent: u64,
}

impl Reads {
    /// The number that the next messages carry.
    pub(super) fn round(&self) -> u64 {
        self.sent
    }

    pub(super) fn drain(&mut self) -> Vec<u64> {
        self.waiting.drain(..).map(|r| r.token).collect()
    }

    /// Adds a read to the next round. Whether that round can begin now.
    fn add(&mut self, token: u64, index: Index) -> bool {
        let busy = self.waiting.front().is_some_and(|r| r.round <= self.sent);
        self.waiting.push_back(Read { token, round: self.sent + 1, index });
        !busy && self.begin()
    }

    /// Begins the next round, if a read waits for it and none before it is open.
    fn begin(&mut self) -> bool {
        let due = self.waiting.front().is_some_and(|r| r.round > self.sent);
        if due {
            self.sent += 1;
        }
        due
    }
}

impl Raft {
    /// Asks for a confirmed read; [`Action::ReadReady`] or [`Action::ReadFailed`] answers it.
    pub fn read(&mut self, token: u64) -> Result<(), Code> {
        let index = self.commit;
        let Role::Leader(l) = &mut self.role else { return Err(Code::NotLeader) };
        let index = index.max(l.first);
        if l.reads.add(token, index) {
            self.heartbeat();
        }
        self.confirm_reads();
        Ok(())
    }

    pub(super) fn confirm_reads(&mut self) {
        while let Some(r) = self.confirmed_read() {
            self.actions.push(Action::ReadReady(r.token, r.index));
        }
        let Role::Leader(l) = &mut self.role else { return };
        if l.reads.begin() {
            self.heartbeat();
            self.confirm_reads();
        }
    }

    fn confirmed_read(&mut self) -> Option<Read> {
        let Role::Leader(l) = &self.role else { return None };
        let round = l.reads.waiting.front()?.round;
        let answered =
            |n: NodeId| n == self.id || l.followers.get(&n).is_some_and(|p| p.round >= round);
        if round > l.reads.sent || self.commit < l.first || !self.members().agree(answered) {
            return None;
        }
        let Role::Leader(l) = &mut self.role else { return None };
        l.reads.waiting.pop_front()
    }
}
