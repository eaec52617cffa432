//! Changes, and the record of those accepted.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{Application, Template};
use crate::unit::{Time, Version};

/// How many accepted changes are kept. An older one that is sent again is refused as stale.
pub const KEPT: usize = 2_000;

/// One part of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// Adds or replaces a template.
    Template(Template),
    /// Adds or replaces an application of a template.
    Application(Application),
    /// Removes a template.
    RemoveTemplate(String),
    /// Removes an application and all that it rendered.
    RemoveApplication(String),
}

/// A change that an operator submits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The operation's id, drawn once and kept for resends.
    pub op: String,
    /// The version that it was made from.
    pub base: Version,
    /// Who made it.
    pub by: String,
    /// Its parts; all of them are applied or none.
    pub items: Vec<Item>,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The version that it made.
    pub version: Version,
    /// When it was accepted.
    pub at: Time,
    /// The change.
    pub change: Change,
    undo: Vec<Item>,
}

/// The accepted changes, oldest first.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct History {
    entries: VecDeque<Entry>,
}

impl History {
    pub(super) fn push(&mut self, at: Time, version: Version, change: Change, undo: Vec<Item>) {
        if self.entries.len() == KEPT {
            self.entries.pop_front();
        }
        self.entries.push_back(Entry { version, at, change, undo });
    }

    pub(super) fn find(&self, op: &str) -> Option<&Entry> {
        self.entries.iter().rev().find(|e| e.change.op == op)
    }

    pub(super) fn back_to(&self, version: Version) -> Option<Vec<Item>> {
        let oldest = self.entries.front().map_or(Version::MAX, |e| e.version);
        if version + 1 < oldest {
            return None;
        }
        let later = self.entries.iter().rev().take_while(|e| e.version > version);
        Some(later.flat_map(|e| e.undo.iter().rev().cloned()).collect())
    }

    /// The entries, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }
}
