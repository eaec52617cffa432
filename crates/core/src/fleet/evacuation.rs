//! Data centres that an operator has evacuated: their replicas get no new requests.
//!
//! Orders are stored in the replicated log, so an acknowledged order survives restarts. The revision of
//! a change is its log index: a process that follows several control processes keeps the highest
//! revision, whatever the order of arrival.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::unit::Index;

/// Sentinel revision in a watch request: the requester wants no updates.
pub const NOT_WANTED: Index = Index::MAX;

/// The set of evacuated data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Log index of the last order that changed the set; 0 if there was none.
    pub revision: Index,
    /// Names of the evacuated data centres.
    pub data_centres: BTreeSet<String>,
}

impl Evacuations {
    /// Applies the order at log index `at`, which begins (`evacuate`) or ends the evacuation of a data
    /// centre. Returns whether the set has changed.
    pub fn apply(&mut self, at: Index, data_centre: &str, evacuate: bool) -> bool {
        let changed = match evacuate {
            true => self.data_centres.insert(data_centre.to_owned()),
            false => self.data_centres.remove(data_centre),
        };
        if changed {
            self.revision = at;
        }
        changed
    }

    /// Replaces this set by one received from another process if that is newer. Returns whether it is.
    pub fn replace_if_newer(&mut self, received: &Evacuations) -> bool {
        let is_newer = received.revision > self.revision;
        if is_newer {
            *self = received.clone();
        }
        is_newer
    }
}
