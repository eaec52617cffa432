//! How long a request waits for a document that its gateway does not have yet.
//!
//! After a loss of power everywhere, callers are back before the control group is. Those whose
//! tries are used up would be refused for good just before a document comes.

use crate::unit::{Millis, Time};

/// How long after its start a gateway lets requests wait: its first document comes within this
/// time unless the control group is out of reach.
const AFTER_START: Millis = Millis(2_000);

/// The longest that one request waits.
const WAIT: Millis = Millis(1_200);

/// The part of its own time that a request waits at most, as a divisor: the rest is for another
/// gateway.
const PART: u64 = 3;

/// The longest that one request waits for a newer document that is on its way.
const WAIT_NEWER: Millis = Millis(500);

/// How long a request that the document in force does not allow waits for the newer one that is on
/// its way; `within` is what its caller gives it.
pub fn for_newer_document(within: Option<Millis>) -> Millis {
    let part = within.map_or(u64::MAX, |w| w.0 / PART);
    Millis(WAIT_NEWER.0.min(part))
}

/// How long a request waits for the first document if it comes `now`, counted from the start of
/// the process; `within` is what its caller gives it.
pub fn for_first_document(now: Time, within: Option<Millis>) -> Millis {
    let left = AFTER_START.0.saturating_sub(now.0);
    let part = within.map_or(u64::MAX, |w| w.0 / PART);
    Millis(left.min(WAIT.0).min(part))
}
