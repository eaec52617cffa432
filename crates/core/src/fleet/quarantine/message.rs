//! Messages between gateways and control processes on quarantined requests and parts of prompts.

use serde::{Deserialize, Serialize};

use crate::fleet::fingerprint::Fingerprint;
use crate::unit::{Index, Millis};

/// A part of the prompt of a request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightPart {
    /// The part's id.
    pub id: u64,
    /// Whether the gateway has lately received a complete response to a request with the part.
    pub completed: bool,
}

/// A request that was in flight at a replica when it terminated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightRequest {
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// The client account; empty if there is none.
    pub account: String,
    /// Time between sending the request and the termination.
    pub age: Millis,
    /// Whether the gateway has lately received a complete response to a copy of it: then only its parts are
    /// suspected.
    pub completed: bool,
    /// Time between the start of the response and the termination; `None` if there was no response.
    pub answering: Option<Millis>,
    /// The parts of its prompt that other requests may share.
    pub parts: Vec<InFlightPart>,
}

/// A gateway's report on a replica that terminated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TerminationReport {
    /// The replica's id.
    pub replica: String,
    /// Its service.
    pub service: String,
    /// Time since the gateway last received a complete response from the service; `None` if that is long ago.
    pub completed_ago: Option<Millis>,
    /// Time since the termination.
    pub ago: Millis,
    /// The requests from this gateway that were in flight.
    pub under_way: Vec<InFlightRequest>,
}

/// The requests that gateways have to refuse or to observe.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineList {
    /// Log position of the last change.
    pub revision: Index,
    /// Quarantined requests and parts. Gateways send neither the requests nor any request with one of the
    /// parts to a replica.
    pub quarantined: Vec<Fingerprint>,
    /// Requests and parts with several terminations: gateways report each complete response to such a
    /// request, and the first request with such a part that survives.
    pub suspects: Vec<Fingerprint>,
    /// Requests and parts with one termination. Most are never repeated, so gateways report a complete response
    /// only from the second on.
    pub struck: Vec<Fingerprint>,
}

impl QuarantineList {
    /// Replaces this list by `other` if that is newer. Returns whether it is.
    pub fn replace_if_newer(&mut self, other: QuarantineList) -> bool {
        let newer = other.revision > self.revision;
        if newer {
            *self = other;
        }
        newer
    }
}

/// The start of the quarantine of a request or part, or why it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// The request is quarantined.
    Quarantined,
    /// Released: another request or part explains the terminations.
    Explained,
    /// Released: a replica completed the request, or one with the part.
    Completed,
    /// Released: the quarantine expired.
    Expired,
    /// Released by an operator.
    Lifted,
    /// Released: too many requests are quarantined.
    Evicted,
}

impl QuarantineChange {
    /// Returns the text for log lines.
    pub fn name(self) -> &'static str {
        match self {
            QuarantineChange::Quarantined => "quarantined",
            QuarantineChange::Explained => "released: explained by another request",
            QuarantineChange::Completed => "released: request completed",
            QuarantineChange::Expired => "released: quarantine expired",
            QuarantineChange::Lifted => "lifted by an operator",
            QuarantineChange::Evicted => "released: too many requests are quarantined",
        }
    }
}
