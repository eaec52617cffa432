//! Data centres whose replicas get no new work, by an operator's order.
//!
//! The orders are kept in the replicated log, so that one that was acknowledged outlasts any restart.
//! Each change has a revision, its position in the log: whoever follows several control processes
//! takes the one with the highest revision, in whatever order they come.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::unit::Index;

/// A revision that is never reached: its bearer wants to hear of no evacuation.
pub const NOT_WANTED: Index = Index::MAX;

/// The data centres that are evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Position of the order that changed them last; 0 if there was none.
    pub revision: Index,
    /// Their names.
    pub data_centres: BTreeSet<String>,
}

impl Evacuations {
    /// Carries out the order at position `at`: work is kept from a data centre, or let in again. An
    /// order that is carried out already changes nothing.
    pub fn order(&mut self, at: Index, data_centre: &str, evacuate: bool) -> bool {
        let changed = match evacuate {
            true => self.data_centres.insert(data_centre.to_owned()),
            false => self.data_centres.remove(data_centre),
        };
        if changed {
            self.revision = at;
        }
        changed
    }

    /// Takes what another process tells, if it is newer. Returns whether it is.
    pub fn take(&mut self, told: &Evacuations) -> bool {
        let newer = told.revision > self.revision;
        if newer {
            *self = told.clone();
        }
        newer
    }
}
