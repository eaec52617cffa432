//! How long a request waits for a document that its gateway has not received yet.
//!
//! After a full power loss, callers may be back before the control group. Without the wait, they could
//! use up their retries just before a document arrives.

use crate::unit::{Millis, Time};

/// How long after its start a gateway lets requests wait. Its first document arrives within this time
/// unless the control group is unreachable.
const STARTUP_WINDOW: Millis = Millis(2_000);

/// Maximum wait of one request for the first document.
const MAX_FIRST_WAIT: Millis = Millis(1_200);

/// A request waits for at most its deadline divided by this. The rest is left for a retry at another
/// gateway.
const DEADLINE_DIVISOR: u64 = 3;

/// Maximum wait of one request for a newer document.
const MAX_NEWER_WAIT: Millis = Millis(500);

/// Returns how long a request that the current document rejects waits for a newer one that is being
/// fetched. `within` is the time the caller allows for the request.
pub fn newer_document_wait(within: Option<Millis>) -> Millis {
    let limit = within.map_or(u64::MAX, |w| w.0 / DEADLINE_DIVISOR);
    Millis(MAX_NEWER_WAIT.0.min(limit))
}

/// Returns how long a request that arrives at `now`, counted from the start of the process, waits for the
/// first document. `within` is the time the caller allows for the request.
pub fn first_document_wait(now: Time, within: Option<Millis>) -> Millis {
    let left = STARTUP_WINDOW.0.saturating_sub(now.0);
    let limit = within.map_or(u64::MAX, |w| w.0 / DEADLINE_DIVISOR);
    Millis(left.min(MAX_FIRST_WAIT.0).min(limit))
}
