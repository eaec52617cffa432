//! Changes to the configuration, and the history of the accepted ones.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{Application, Template};
use crate::unit::{Time, Version};

/// Number of accepted changes kept. A resend of an older one is rejected as stale.
pub const MAX_ENTRIES: usize = 2_000;

/// One item of a change.
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
    /// Random id of the operation; a resend has the same one.
    pub op: String,
    /// The version that it is based on; any other version in force rejects it.
    pub base: Version,
    /// Name of the operator.
    pub by: String,
    /// Its items; either all of them are applied or none.
    pub items: Vec<Item>,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The version that it created.
    pub version: Version,
    /// When it was accepted.
    pub at: Time,
    /// The change.
    pub change: Change,
    /// Items that restore the previous version if applied in reverse order.
    undo: Vec<Item>,
}

/// The accepted changes, oldest first.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct History {
    entries: VecDeque<Entry>,
}

impl History {
    /// Appends an accepted change, and drops the oldest one beyond `MAX_ENTRIES`.
    pub(super) fn push(&mut self, at: Time, version: Version, change: Change, undo: Vec<Item>) {
        if self.entries.len() == MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(Entry { version, at, change, undo });
    }

    /// Returns the accepted change of operation `op`, if it is still kept.
    pub(super) fn find(&self, op: &str) -> Option<&Entry> {
        self.entries.iter().rev().find(|e| e.change.op == op)
    }

    /// Returns the items that restore `version`, or `None` if the history does not reach back to it.
    pub(super) fn rollback_items(&self, version: Version) -> Option<Vec<Item>> {
        let oldest = self.entries.front().map_or(Version::MAX, |e| e.version);
        if version + 1 < oldest {
            return None;
        }
        let later = self.entries.iter().rev().take_while(|e| e.version > version);
        Some(later.flat_map(|e| e.undo.iter().rev().cloned()).collect())
    }

    /// Iterates over the entries, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }
}
