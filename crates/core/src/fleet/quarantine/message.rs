//! Messages between gateways and control processes on quarantined requests.

use serde::{Deserialize, Serialize};

use crate::fleet::fingerprint::Fingerprint;
use crate::unit::{Index, Millis};

/// A request that was in flight at a replica when it terminated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightRequest {
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// The client account; empty if there is none.
    pub account: String,
    /// Time between sending the request and the termination.
    pub age: Millis,
}

/// A gateway's report on a replica that terminated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TerminationReport {
    /// The replica's id.
    pub replica: String,
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
    /// Quarantined requests, which gateways send to no replica.
    pub quarantined: Vec<Fingerprint>,
    /// Requests with several terminations: gateways report each complete response.
    pub suspects: Vec<Fingerprint>,
    /// Requests with one termination. Most are never repeated, so gateways report a complete response
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

/// The start of a request's quarantine, or why it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// The request is quarantined.
    Quarantined,
    /// Released: another request explains the terminations.
    Explained,
    /// Released: a replica completed the request.
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
