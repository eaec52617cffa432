//! Claims, which run a request marked not repeatable at most once.
//!
//! A claim is committed to the log of the account's home group before any byte of the request
//! is sent upstream. Its outcome is stored and answers later copies of the request; when that
//! expires, a tombstone remains, so that a copy is refused instead of run again.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::unit::{HolderId, Millis, RequestId, Time};

/// How long an outcome is stored.
pub const OUTCOME_RETENTION: Millis = Millis::seconds(24 * 3600);

/// How long the tombstone of a request id is kept after its outcome has expired.
pub const TOMBSTONE_RETENTION: Millis = Millis::seconds(30 * 24 * 3600);

/// Largest response body that is stored with an outcome, in bytes.
pub const MAX_STORED_BODY: usize = 16 * 1024;

/// A digest of a request's method, path and body.
pub type BodyDigest = [u8; 16];

/// A stored response of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status code.
    pub status: u16,
    /// Value of `Content-Type`; empty if there is none.
    pub kind: String,
    /// The body, unless it is larger than [`MAX_STORED_BODY`].
    pub body: Option<Vec<u8>>,
}

/// How a claimed request ended, as observed by its router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimEnd {
    /// No byte of it reached an upstream; the id may be claimed again.
    NotRun,
    /// The upstream answered.
    Answered(Outcome),
    /// Bytes were sent, but no complete response was received.
    Unknown,
}

/// The result of claiming a request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimDecision {
    /// The claimant may send the request upstream once.
    Run,
    /// Another claim on it is in progress.
    Running,
    /// It was started and its outcome is unknown.
    Unknown,
    /// It has run, with this response.
    Done(Outcome),
    /// It has run; its response is no longer stored.
    Expired,
    /// The id was used with another method, path or body.
    OtherBody,
}

/// State of a claim.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Stage {
    Started {
        holder: HolderId,
        seq: u64,
    },
    Unknown,
    Done(Outcome),
    /// Tombstone of a request whose outcome has expired.
    Mark,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Claim {
    body: BodyDigest,
    stage: Stage,
}

/// The claims of one control group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Claims {
    by_id: BTreeMap<RequestId, Claim>,
    /// Requests that have ended, oldest first.
    outcomes: VecDeque<(Time, RequestId)>,
    /// Tombstones, oldest first.
    marks: VecDeque<(Time, RequestId)>,
    /// Requests with a claim in progress, by holder.
    open: BTreeMap<HolderId, BTreeSet<RequestId>>,
    /// Claims that their holder cancelled before they were received.
    void: BTreeSet<(HolderId, u64)>,
}

impl Claims {
    /// Claims `id` for `holder` and returns the result. `seq` numbers the claim at its holder, so
    /// that a resend of the same claim gets the same result.
    pub fn claim(
        &mut self,
        now: Time,
        holder: HolderId,
        seq: u64,
        id: RequestId,
        body: BodyDigest,
    ) -> ClaimDecision {
        self.remove_expired(now);
        if let Some(c) = self.by_id.get(&id) {
            return c.decision(holder, seq, &body);
        }
        if self.void.contains(&(holder, seq)) {
            return ClaimDecision::Running;
        }
        self.by_id.insert(id, Claim { body, stage: Stage::Started { holder, seq } });
        self.open.entry(holder).or_default().insert(id);
        ClaimDecision::Run
    }

    /// Records how a claimed request ended. Ignored if another claim holds the id, except for a
    /// response that arrives after the claim was marked as unknown.
    pub fn record_end(
        &mut self,
        now: Time,
        holder: HolderId,
        seq: u64,
        id: RequestId,
        end: ClaimEnd,
    ) {
        let Some(c) = self.by_id.get_mut(&id) else {
            if end == ClaimEnd::NotRun {
                self.void.insert((holder, seq));
            }
            return;
        };
        let is_claimant =
            matches!(c.stage, Stage::Started { holder: h, seq: q } if (h, q) == (holder, seq));
        let is_late_answer =
            matches!(c.stage, Stage::Unknown) && matches!(end, ClaimEnd::Answered(_));
        if !is_claimant && !is_late_answer {
            return;
        }
        self.remove_open(holder, id);
        match end {
            ClaimEnd::NotRun => {
                self.by_id.remove(&id);
            }
            ClaimEnd::Answered(o) => self.set_outcome(now, id, Stage::Done(o)),
            ClaimEnd::Unknown => self.set_outcome(now, id, Stage::Unknown),
        }
    }

    fn remove_open(&mut self, holder: HolderId, id: RequestId) {
        if let Some(open) = self.open.get_mut(&holder) {
            open.remove(&id);
        }
        self.open.retain(|_, ids| !ids.is_empty());
    }

    fn set_outcome(&mut self, now: Time, id: RequestId, stage: Stage) {
        if let Some(c) = self.by_id.get_mut(&id) {
            let was_in_progress = matches!(c.stage, Stage::Started { .. });
            c.stage = stage;
            if was_in_progress {
                self.outcomes.push_back((now, id));
            }
        }
    }

    /// Sets the outcome of all claims of `holder` in progress to unknown, because the holder may be
    /// dead.
    pub fn abandon(&mut self, now: Time, holder: HolderId) {
        for id in self.open.remove(&holder).unwrap_or_default() {
            self.set_outcome(now, id, Stage::Unknown);
        }
        self.void.retain(|(h, _)| *h != holder);
    }

    /// Returns the number of request ids kept.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether no request id is kept.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    fn remove_expired(&mut self, now: Time) {
        while self.outcomes.front().is_some_and(|(at, _)| now.since(*at) > OUTCOME_RETENTION) {
            let Some((_, id)) = self.outcomes.pop_front() else { break };
            if let Some(c) = self.by_id.get_mut(&id) {
                c.stage = Stage::Mark;
                self.marks.push_back((now, id));
            }
        }
        while self.marks.front().is_some_and(|(at, _)| now.since(*at) > TOMBSTONE_RETENTION) {
            let Some((_, id)) = self.marks.pop_front() else { break };
            self.by_id.remove(&id);
        }
    }
}

impl Claim {
    fn decision(&self, holder: HolderId, seq: u64, body: &BodyDigest) -> ClaimDecision {
        if self.body != *body {
            return ClaimDecision::OtherBody;
        }
        match &self.stage {
            Stage::Started { holder: h, seq: q } if (*h, *q) == (holder, seq) => ClaimDecision::Run,
            Stage::Started { .. } => ClaimDecision::Running,
            Stage::Unknown => ClaimDecision::Unknown,
            Stage::Done(o) => ClaimDecision::Done(o.clone()),
            Stage::Mark => ClaimDecision::Expired,
        }
    }
}
