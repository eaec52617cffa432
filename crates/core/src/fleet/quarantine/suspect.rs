//! Suspects: requests that were in flight at replicas that terminated, and the parts of their prompts.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::fleet::fingerprint::Fingerprint;
use crate::unit::{Millis, Time};

/// Strikes at which a suspect is quarantined. More would cost a further replica per suspect; fewer could
/// be coincidence.
pub const STRIKES: usize = 3;

/// Strikes at which a suspect is quarantined although others may have caused all of them.
pub const STRIKES_IF_AMBIGUOUS: usize = 5;

/// Time for which a response with a part continues that shows that the part does not crash replicas. A
/// replica that a part crashes does so when it begins to respond.
pub const SURVIVAL_TIME: Millis = Millis(500);

/// Time between the first and the last strike of a part that was harmless before. It is in many requests,
/// and this is enough for one of them to survive.
const MIN_STRIKE_SPAN: Millis = Millis::seconds(2);

/// How much earlier than the previous termination a request may seem to have been sent, and still get
/// a strike. Covers the differences between the delays of reports.
const ORDER_TOLERANCE: Millis = Millis(100);

/// Maximum number of terminations kept per suspect; more than any threshold needs.
const MAX_TERMINATIONS: usize = 32;

/// What a quarantine applies to.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subject {
    /// Copies of one request.
    #[default]
    Request,
    /// All requests of an account to a service that have a part in their prompts.
    Part {
        /// The service.
        service: String,
        /// The part's id.
        id: u64,
    },
}

impl Subject {
    /// Returns whether this is a part of prompts.
    pub fn is_part(&self) -> bool {
        matches!(self, Subject::Part { .. })
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Subject::Request => f.write_str("request"),
            Subject::Part { service, id } => write!(f, "part {id:x} at {service}"),
        }
    }
}

/// A replica's termination with a given suspect in flight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Termination {
    /// The number of the termination, shared by all suspects in flight.
    pub number: u64,
    /// When the replica terminated.
    pub at: Time,
    /// When the request was sent to it; of several with the same part the last one.
    pub sent: Time,
}

/// A request that was in flight at replicas that terminated, or a part of such requests' prompts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Suspect {
    /// The client account; empty if there is none.
    pub account: String,
    pub subject: Subject,
    /// The latest terminations, oldest first.
    pub ends: Vec<Termination>,
    /// Number of earlier quarantines.
    pub terms: u32,
    /// Whether a gateway had received complete responses to requests with it before.
    pub was_harmless: bool,
    /// Whether the service had responded to other requests.
    pub service_completes: bool,
    /// Whether the part is quarantined in another account.
    pub has_precedent: bool,
    /// The request that gave the part its strikes; the first of several.
    pub request: Option<Fingerprint>,
    /// Whether several different requests gave the part its strikes.
    pub has_several_requests: bool,
}

impl Suspect {
    /// Records the termination of a replica that had this suspect in flight.
    pub fn record(&mut self, termination: Termination) {
        if let Some(known) = self.ends.iter_mut().find(|e| e.number == termination.number) {
            // The replica had several copies of the request: the newest counts.
            known.sent = known.sent.max(termination.sent);
            return;
        }
        self.ends.push(termination);
        self.ends.sort_by_key(|e| e.at);
        let surplus = self.ends.len().saturating_sub(MAX_TERMINATIONS);
        self.ends.drain(..surplus);
    }

    /// Returns whether the threshold would be reached if all terminations were strikes.
    pub fn may_reach_threshold(&self) -> bool {
        self.ends.len() >= self.threshold()
    }

    /// Returns the time of the first termination.
    pub fn first_termination(&self) -> Time {
        self.ends.first().map(|e| e.at).unwrap_or_default()
    }

    /// Returns the time of the last termination.
    pub fn last_termination(&self) -> Time {
        self.ends.iter().map(|e| e.at).max().unwrap_or_default()
    }

    /// Returns the numbers of the terminations that count as strikes, without those for which
    /// `is_explained` returns true.
    pub(super) fn strikes(&self, is_explained: impl Fn(u64) -> bool) -> Vec<u64> {
        let mut strikes = Vec::new();
        let mut last = None;
        for e in self.ends.iter().filter(|e| !is_explained(e.number)) {
            if last.is_none_or(|last| e.sent.after(ORDER_TOLERANCE) >= last) {
                strikes.push(e.number);
                last = Some(e.at);
            }
        }
        strikes
    }

    /// Returns the number of strikes at which the suspect is quarantined: one if it has been quarantined
    /// before or in another account, and more for a part that was harmless before.
    pub(super) fn threshold(&self) -> usize {
        match (self.is_harmless_part(), self.terms > 0 || self.has_precedent) {
            (true, _) => STRIKES_IF_AMBIGUOUS,
            (false, true) => 1,
            (false, false) => STRIKES,
        }
    }

    /// Returns whether it is a part to which replicas responded before.
    pub(super) fn is_harmless_part(&self) -> bool {
        self.was_harmless && self.subject.is_part()
    }

    /// Returns whether its strikes span enough time for another request to survive.
    pub(super) fn spans_survival(&self) -> bool {
        self.last_termination().since(self.first_termination()) >= MIN_STRIKE_SPAN
    }
}
