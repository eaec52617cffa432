//! Replication of entries and snapshots from the leader to the followers.

use std::sync::Arc;

use super::progress::SnapshotTransfer;
use super::{
    Action, Append, Body, Entry, Payload, Position, Progress, Raft, Role, SnapshotChunk,
    SnapshotMeta,
};
use crate::unit::{Index, NodeId, Time};

impl Raft {
    /// Appends an entry to the log of a leader, and returns its index.
    pub(super) fn append_entry(&mut self, now: Time, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        let changes = matches!(payload, Payload::Members(_));
        let e = Entry { term: self.hard.term, index, payload };
        self.log.push(e.clone());
        self.actions.push(Action::Append(vec![e]));
        if changes {
            self.update_followers(now);
        }
        index
    }

    /// Updates the followers of a leader after a change of the members.
    fn update_followers(&mut self, now: Time) {
        let others = self.others();
        let next = self.log.last_index();
        let Role::Leader(l) = &mut self.role else { return };
        l.followers.retain(|n, _| others.contains(n));
        for n in others {
            l.followers.entry(n).or_insert_with(|| Progress::new(now, next));
        }
    }

    /// Steps down without a quorum; sends heartbeats that are due.
    pub(super) fn tick_leader(&mut self, now: Time) {
        if !self.check_quorum(now) {
            return;
        }
        let due = match &mut self.role {
            Role::Leader(l) if now >= l.next_heartbeat => {
                l.next_heartbeat = now.after(self.settings.heartbeat);
                true
            }
            _ => false,
        };
        if due {
            self.heartbeat();
        }
    }

    /// Sends the new entries or an empty heartbeat to each follower.
    pub(super) fn heartbeat(&mut self) {
        for n in self.others() {
            self.send_append(n, true);
        }
    }

    /// Sends the new entries to the followers. The caller does this once for each batch of proposals.
    pub fn flush(&mut self) {
        for n in self.others() {
            self.send_append(n, false);
        }
    }

    /// Sends the next entries or snapshot chunk to a follower. With `heartbeat`, it sends an empty
    /// message or repeats the last chunk if nothing is new.
    fn send_append(&mut self, to: NodeId, heartbeat: bool) {
        let Role::Leader(l) = &mut self.role else { return };
        let round = l.reads.round();
        let Some(p) = l.followers.get_mut(&to) else { return };
        if p.transfer.is_some() {
            if heartbeat {
                self.send_chunk(to);
            }
            return;
        }
        let index = p.next - 1;
        let Some(term) = self.log.term(index) else {
            self.actions.push(Action::LoadSnapshot(to));
            return;
        };
        // Each rejection still in flight would otherwise cause the same entries to be sent again.
        let entries = match p.probing {
            true => Vec::new(),
            false => self.log.slice(p.next, self.settings.batch_bytes),
        };
        if entries.is_empty() && !heartbeat {
            return;
        }
        p.next += entries.len() as Index;
        let commit = self.commit;
        let prev = Position { index, term };
        self.send(to, Body::Append(Append { prev, entries, commit, round }));
    }

    /// Appends the entries if they continue the log, or rejects them with a hint where it may match.
    pub(super) fn on_append(&mut self, from: NodeId, a: Append) {
        let round = a.round;
        if !self.has_entry(a.prev) {
            let hint = self.log.last_index().min(a.prev.index.saturating_sub(1));
            return self.send(from, Body::Rejected { hint, round });
        }
        let matched = a.prev.index + a.entries.len() as Index;
        self.append_missing(a.entries);
        self.commit_upto(a.commit.min(matched));
        self.send(from, Body::Appended { matched, round });
    }

    /// Returns whether the log has the entry at `p`; committed entries always match those of a
    /// leader.
    fn has_entry(&self, p: Position) -> bool {
        p.index <= self.commit || self.log.term(p.index) == Some(p.term)
    }

    /// Appends the entries that the log does not have yet, after it removes any that conflict.
    fn append_missing(&mut self, entries: Vec<Entry>) {
        let missing: Vec<_> = entries
            .into_iter()
            .skip_while(|e| e.index <= self.commit || self.log.term(e.index) == Some(e.term))
            .collect();
        let Some(first) = missing.first() else { return };
        if first.index <= self.log.last_index() {
            self.log.truncate(first.index);
            self.synced = self.synced.min(first.index - 1);
            self.actions.push(Action::Truncate(first.index));
        }
        for e in &missing {
            self.log.push(e.clone());
        }
        self.actions.push(Action::Append(missing));
    }

    /// Records that a follower has synced entries, advances the commit index and sends the follower
    /// the next entries.
    pub(super) fn on_appended(&mut self, now: Time, from: NodeId, matched: Index, round: u64) {
        let Role::Leader(l) = &mut self.role else { return };
        let Some(p) = l.followers.get_mut(&from) else { return };
        p.last_response = now;
        p.round = p.round.max(round);
        p.matched = p.matched.max(matched);
        p.next = p.next.max(p.matched + 1);
        p.probing = false;
        self.confirm_reads();
        self.advance_commit(now);
        if self.has_unsent(from) {
            self.send_append(from, false);
        }
    }

    /// Returns whether the log has entries that were not sent to follower `n` yet.
    fn has_unsent(&self, n: NodeId) -> bool {
        let Role::Leader(l) = &self.role else { return false };
        l.followers.get(&n).is_some_and(|p| p.next <= self.log.last_index())
    }

    /// Moves the follower's next index back to the entry after `hint`, the last one that may match,
    /// and probes it with an empty message.
    pub(super) fn on_rejected(&mut self, now: Time, from: NodeId, hint: Index, round: u64) {
        let Role::Leader(l) = &mut self.role else { return };
        let Some(p) = l.followers.get_mut(&from) else { return };
        p.last_response = now;
        p.round = p.round.max(round);
        let next = (hint + 1).max(p.matched + 1);
        self.confirm_reads();
        if let Role::Leader(l) = &mut self.role
            && let Some(p) = l.followers.get_mut(&from)
            && next < p.next
        {
            p.next = next;
            p.probing = true;
            self.send_append(from, true);
        }
    }

    /// Commits the entries that a quorum has synced, if the last of them is of the current term.
    pub(super) fn advance_commit(&mut self, now: Time) {
        let Role::Leader(l) = &self.role else { return };
        let synced = |n: NodeId| match l.followers.get(&n) {
            Some(p) => p.matched,
            None if n == self.id => self.synced,
            None => 0,
        };
        let reached = self.members().quorum_index(synced);
        if reached > self.commit && self.log.term(reached) == Some(self.hard.term) {
            self.commit_upto(reached);
            self.step_down_if_removed(now);
            self.confirm_reads();
        }
    }

    /// Steps down if the removal of this member is committed.
    fn step_down_if_removed(&mut self, now: Time) {
        if !self.is_voter() && self.log.last_member_change() <= self.commit {
            self.heartbeat();
            self.become_follower(now, self.hard.term, None);
        }
    }

    /// Advances the commit index to `index`, but not beyond the end of the log.
    fn commit_upto(&mut self, index: Index) {
        let index = index.min(self.log.last_index());
        if index > self.commit {
            self.commit = index;
            self.actions.push(Action::Commit(index));
        }
    }

    /// Starts to send the snapshot that [`Action::LoadSnapshot`] requested, unless a transfer to this
    /// follower is in progress.
    pub fn snapshot_loaded(&mut self, to: NodeId, meta: SnapshotMeta, data: Arc<[u8]>) {
        let Role::Leader(l) = &mut self.role else { return };
        let Some(p) = l.followers.get_mut(&to).filter(|p| p.transfer.is_none()) else { return };
        p.transfer = Some(SnapshotTransfer { meta, data, offset: 0 });
        self.send_chunk(to);
    }

    /// Sends the chunk that starts at the last acknowledged offset.
    fn send_chunk(&mut self, to: NodeId) {
        let Role::Leader(l) = &self.role else { return };
        let Some(s) = l.followers.get(&to).and_then(|p| p.transfer.as_ref()) else { return };
        let start = s.offset as usize;
        let end = (start + self.settings.chunk_bytes).min(s.data.len());
        let bytes = Arc::from(&s.data[start..end]);
        let last = end == s.data.len();
        let chunk = SnapshotChunk { meta: s.meta.clone(), offset: s.offset, bytes, last };
        self.send(to, Body::Snapshot(chunk));
    }

    /// Stores a chunk of a snapshot and installs the snapshot once it is complete.
    pub(super) fn on_snapshot(&mut self, from: NodeId, chunk: SnapshotChunk) {
        let index = chunk.meta.index;
        if index <= self.commit {
            let done = Body::SnapshotReply { index, offset: 0, done: true };
            return self.send(from, done);
        }
        let continues = matches!(&self.incoming, Some((m, b)) if *m == chunk.meta && b.len() as u64 == chunk.offset);
        if chunk.offset == 0 {
            self.incoming = Some((chunk.meta.clone(), chunk.bytes.to_vec()));
        } else if let (true, Some((_, b))) = (continues, &mut self.incoming) {
            b.extend_from_slice(&chunk.bytes);
        }
        let received = match &self.incoming {
            Some((m, b)) if *m == chunk.meta => b.len() as u64,
            _ => 0,
        };
        let complete = chunk.last && received == chunk.offset + chunk.bytes.len() as u64;
        if complete {
            self.install();
        }
        self.send(from, Body::SnapshotReply { index, offset: received, done: complete });
    }

    /// Replaces the log by the received snapshot.
    fn install(&mut self) {
        let Some((meta, data)) = self.incoming.take() else { return };
        self.log.reset(meta.clone());
        self.commit = meta.index;
        self.synced = meta.index;
        self.actions.push(Action::Install(meta, data));
    }

    /// Sends the next chunk of a snapshot, or resumes with entries once it is installed.
    pub(super) fn on_snapshot_reply(
        &mut self,
        now: Time,
        from: NodeId,
        index: Index,
        offset: u64,
        done: bool,
    ) {
        let Role::Leader(l) = &mut self.role else { return };
        let Some(p) = l.followers.get_mut(&from) else { return };
        p.last_response = now;
        if p.transfer.as_ref().is_none_or(|s| s.meta.index != index) {
            return;
        }
        if done {
            p.transfer = None;
            p.probing = false;
            p.matched = p.matched.max(index);
            p.next = index + 1;
            return self.send_append(from, true);
        }
        if let Some(s) = &mut p.transfer {
            s.offset = offset.min(s.data.len() as u64);
        }
        self.send_chunk(from);
    }
}
