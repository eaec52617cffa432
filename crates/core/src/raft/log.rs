//! The log in memory: the entries after the last snapshot.

use std::collections::VecDeque;
use std::sync::Arc;

use super::{Members, Position};
use crate::unit::{Index, Term};

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// Nothing; a new leader's first entry.
    Nothing,
    /// A command of the state machine, opaque here.
    Command(Arc<[u8]>),
    /// The members from this entry on.
    Members(Members),
}

impl Payload {
    /// Its rough size, in bytes.
    pub fn size(&self) -> usize {
        match self {
            Payload::Nothing => 1,
            Payload::Command(b) => b.len(),
            Payload::Members(m) => 8 * (m.voters.len() + m.learners.len()),
        }
    }
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Term of the leader that made it.
    pub term: Term,
    /// Its position.
    pub index: Index,
    /// What it carries.
    pub payload: Payload,
}

/// The last entry that a snapshot covers, and the members then.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SnapshotMeta {
    /// Position of the entry.
    pub index: Index,
    /// Its term.
    pub term: Term,
    /// The members as of it.
    pub members: Members,
}

/// The entries after a snapshot.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base: SnapshotMeta,
    entries: VecDeque<Entry>,
    /// Positions of the entries that change the members. The members are asked for with each message,
    /// and a log holds thousands of entries.
    changes: VecDeque<Index>,
}

impl Log {
    /// A log that continues a snapshot; the entries must follow it without a gap.
    pub fn new(base: SnapshotMeta, entries: Vec<Entry>) -> Log {
        let entries: VecDeque<_> = entries.into();
        let changes = entries.iter().filter(|e| changes_members(e)).map(|e| e.index).collect();
        Log { base, entries, changes }
    }

    /// The snapshot that it continues.
    pub fn base(&self) -> &SnapshotMeta {
        &self.base
    }

    /// Position of the last entry.
    pub fn last_index(&self) -> Index {
        self.base.index + self.entries.len() as Index
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base.term, |e| e.term)
    }

    /// Term of the entry at `i`, if it is known here.
    pub fn term(&self, i: Index) -> Option<Term> {
        if i == self.base.index {
            return Some(self.base.term);
        }
        self.get(i).map(|e| e.term)
    }

    /// The entry at `i`.
    pub fn get(&self, i: Index) -> Option<&Entry> {
        let at = i.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// Entries from `from` on, up to `bytes` of payload but at least one if there is any.
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

    /// Adds an entry at the end.
    pub fn push(&mut self, e: Entry) {
        debug_assert_eq!(e.index, self.last_index() + 1);
        if changes_members(&e) {
            self.changes.push_back(e.index);
        }
        self.entries.push_back(e);
    }

    /// Drops the entries from `from` on.
    pub fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.base.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        while self.changes.back().is_some_and(|i| *i >= from) {
            self.changes.pop_back();
        }
    }

    /// Drops the entries up to and including `i`, which a snapshot now covers.
    pub fn compact(&mut self, i: Index) {
        let Some(term) = self.term(i) else { return };
        if i <= self.base.index {
            return;
        }
        let members = self.members_at(i).clone();
        self.entries.drain(..(i - self.base.index) as usize);
        while self.changes.front().is_some_and(|c| *c <= i) {
            self.changes.pop_front();
        }
        self.base = SnapshotMeta { index: i, term, members };
    }

    /// Puts a snapshot in place of everything.
    pub fn reset(&mut self, base: SnapshotMeta) {
        self.base = base;
        self.entries.clear();
        self.changes.clear();
    }

    /// The members as of entry `i`.
    pub fn members_at(&self, i: Index) -> &Members {
        let change = self.changes.iter().rev().find(|c| **c <= i);
        let entry = change.and_then(|c| self.get(*c));
        match entry.map(|e| &e.payload) {
            Some(Payload::Members(m)) => m,
            _ => &self.base.members,
        }
    }

    /// Position of the last entry that changes the members, 0 if none after the snapshot.
    pub fn last_change(&self) -> Index {
        self.changes.back().copied().unwrap_or(0)
    }

    /// Whether a log that ends at `last` has all that this one may have committed.
    pub fn covered_by(&self, last: Position) -> bool {
        (last.term, last.index) >= (self.last_term(), self.last_index())
    }

    /// How many entries are held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn changes_members(e: &Entry) -> bool {
    matches!(e.payload, Payload::Members(_))
}
