//! The in-memory log: the entries after the last snapshot.

use std::collections::VecDeque;
use std::sync::Arc;

use super::{Members, Position};
use crate::unit::{Index, Term};

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// No content: the first entry of a new leader.
    Noop,
    /// An encoded command for the state machine.
    Command(Arc<[u8]>),
    /// The members in force from this entry on.
    Members(Members),
}

impl Payload {
    /// Returns the approximate size in bytes.
    pub fn size(&self) -> usize {
        match self {
            Payload::Noop => 1,
            Payload::Command(b) => b.len(),
            Payload::Members(m) => 8 * (m.voters.len() + m.learners.len()),
        }
    }
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: Term,
    /// Its index in the log.
    pub index: Index,
    /// Its content.
    pub payload: Payload,
}

/// The last entry that a snapshot covers, and the members in force at it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SnapshotMeta {
    /// Index of the entry.
    pub index: Index,
    /// Term of the entry.
    pub term: Term,
    /// The members in force at the entry.
    pub members: Members,
}

/// The log entries after a snapshot.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base: SnapshotMeta,
    entries: VecDeque<Entry>,
    /// Indices of the entries that change the members, since each message needs the members and a
    /// scan of the log is slow.
    member_changes: VecDeque<Index>,
}

impl Log {
    /// Creates a log from a snapshot and the entries that follow it without a gap.
    pub fn new(base: SnapshotMeta, entries: Vec<Entry>) -> Log {
        let entries: VecDeque<_> = entries.into();
        let member_changes =
            entries.iter().filter(|e| changes_members(e)).map(|e| e.index).collect();
        Log { base, entries, member_changes }
    }

    /// Returns what the snapshot before the first entry covers.
    pub fn base(&self) -> &SnapshotMeta {
        &self.base
    }

    /// Returns the index of the last entry, or that of the snapshot if there are none.
    pub fn last_index(&self) -> Index {
        self.base.index + self.entries.len() as Index
    }

    /// Returns the term of the last entry, or that of the snapshot if there are none.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base.term, |e| e.term)
    }

    /// Returns the term of the entry at `i`, if it is held or the last one of the snapshot.
    pub fn term(&self, i: Index) -> Option<Term> {
        if i == self.base.index {
            return Some(self.base.term);
        }
        self.get(i).map(|e| e.term)
    }

    /// Returns the entry at `i`, if it is held.
    pub fn get(&self, i: Index) -> Option<&Entry> {
        let at = i.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// Returns the entries from `from` on, up to `bytes` of payload but at least one if there is any.
    pub fn slice(&self, from: Index, bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let mut out = Vec::new();
        let mut i = from;
        while let Some(e) = self.get(i) {
            size += e.payload.size();
            if size > bytes && !out.is_empty() {
                break;
            }
            out.push(e.clone());
            i += 1;
        }
        out
    }

    /// Appends an entry; its index must be the next one.
    pub fn push(&mut self, e: Entry) {
        debug_assert_eq!(e.index, self.last_index() + 1);
        if changes_members(&e) {
            self.member_changes.push_back(e.index);
        }
        self.entries.push_back(e);
    }

    /// Removes the entries from `from` on.
    pub fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.base.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        while self.member_changes.back().is_some_and(|i| *i >= from) {
            self.member_changes.pop_back();
        }
    }

    /// Removes the entries up to and including `i`, which a snapshot now covers.
    pub fn compact(&mut self, i: Index) {
        let Some(term) = self.term(i) else { return };
        if i <= self.base.index {
            return;
        }
        let members = self.members_at(i).clone();
        self.entries.drain(..(i - self.base.index) as usize);
        while self.member_changes.front().is_some_and(|c| *c <= i) {
            self.member_changes.pop_front();
        }
        self.base = SnapshotMeta { index: i, term, members };
    }

    /// Replaces the whole log by a snapshot.
    pub fn reset(&mut self, base: SnapshotMeta) {
        self.base = base;
        self.entries.clear();
        self.member_changes.clear();
    }

    /// Returns the members in force at entry `i`.
    pub fn members_at(&self, i: Index) -> &Members {
        let change = self.member_changes.iter().rev().find(|c| **c <= i);
        let entry = change.and_then(|c| self.get(*c));
        match entry.map(|e| &e.payload) {
            Some(Payload::Members(m)) => m,
            _ => &self.base.members,
        }
    }

    /// Returns the index of the last entry that changes the members, 0 if the snapshot covers it.
    pub fn last_member_change(&self) -> Index {
        self.member_changes.back().copied().unwrap_or(0)
    }

    /// Returns whether a log that ends at `last` is at least as up to date as this one: the later
    /// term wins, then the higher index.
    pub fn is_covered_by(&self, last: Position) -> bool {
        (last.term, last.index) >= (self.last_term(), self.last_index())
    }

    /// Returns the number of entries held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entries are held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn changes_members(e: &Entry) -> bool {
    matches!(e.payload, Payload::Members(_))
}
