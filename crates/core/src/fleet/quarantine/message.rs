//! What gateways report, and what they are told.

use serde::{Deserialize, Serialize};

use crate::fleet::fingerprint::Fingerprint;
use crate::unit::{Index, Millis};

/// A request that was under way at a replica that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnderWay {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Its client account; empty if it has none.
    pub account: String,
    /// How long before the end it had been sent.
    pub age: Millis,
}

/// A gateway's report of a replica that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedReplica {
    /// The replica's id.
    pub replica: String,
    /// How long ago.
    pub ago: Millis,
    /// What the gateway had sent there.
    pub under_way: Vec<UnderWay>,
}

/// What gateways go by.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Position of the command that changed it last.
    pub revision: Index,
    /// Requests that are sent to no replica.
    pub quarantined: Vec<Fingerprint>,
    /// Requests with several strikes: it matters to hear that one was answered whole.
    pub suspects: Vec<Fingerprint>,
    /// Requests with one strike. Most never come again; it matters to hear of those that are answered
    /// whole again and again.
    pub struck: Vec<Fingerprint>,
}

impl Told {
    /// Takes what another process tells, if it is newer. Returns whether it is.
    pub fn take(&mut self, told: Told) -> bool {
        let newer = told.revision > self.revision;
        if newer {
            *self = told;
        }
        newer
    }
}

/// What changed for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is quarantined.
    Begun,
    /// It is not any more: another request explains what ended under it.
    Explained,
    /// It is not any more: it was answered whole.
    Answered,
    /// It is not any more: its time is over.
    Over,
    /// It is not any more: an operator's word.
    Lifted,
    /// It is not any more: there are too many.
    Dropped,
}

impl Change {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Change::Begun => "quarantined",
            Change::Explained => "another request explains it",
            Change::Answered => "it was answered whole",
            Change::Over => "its time is over",
            Change::Lifted => "lifted by an operator",
            Change::Dropped => "too many are quarantined",
        }
    }
}
