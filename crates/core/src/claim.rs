//! Claims: what makes a request marked not repeatable run at most once.
//!
//! A claim is committed to the log of the account's home group before any byte of the request
//! goes upstream. Its outcome is kept for a while and answers every later copy; after that a
//! mark remains, so that an old id is refused rather than run again.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::unit::{HolderId, Millis, RequestId, Time};

/// How long an outcome is kept whole.
pub const OUTCOME_KEPT: Millis = Millis::seconds(24 * 3600);

/// How long the mark of a used id is kept.
pub const MARK_KEPT: Millis = Millis::seconds(30 * 24 * 3600);

/// The largest body that is kept with an outcome, in bytes.
pub const BODY_KEPT: usize = 16 * 1024;

/// A digest of a request's method, path and body.
pub type BodyDigest = [u8; 16];

/// What an upstream answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`, empty if there was none.
    pub kind: String,
    /// The body, if it is no larger than [`BODY_KEPT`].
    pub body: Option<Vec<u8>>,
}

/// How a claimed request ended, as far as its router can tell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// No byte of it can have reached an upstream: the id is free again.
    NotRun,
    /// The upstream answered.
    Answered(Outcome),
    /// Bytes were sent and no whole answer came.
    Unknown,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The claimant may send the request, once.
    Run,
    /// A live router is running it.
    Running,
    /// It was started and its outcome is not known.
    Unknown,
    /// It has run; this was the answer.
    Done(Outcome),
    /// It has run; the answer is no longer kept.
    Expired,
    /// The id was used with another body.
    OtherBody,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Stage {
    Started { holder: HolderId, seq: u64 },
    Unknown,
    Done(Outcome),
    Mark,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Claim {
    body: BodyDigest,
    stage: Stage,
}

/// All claims of one group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Claims {
    by_id: BTreeMap<RequestId, Claim>,
    outcomes: VecDeque<(Time, RequestId)>,
    marks: VecDeque<(Time, RequestId)>,
    /// The claims under way of each holder.
    open: BTreeMap<HolderId, BTreeSet<RequestId>>,
    /// Claims that were given up before they came here.
    void: BTreeSet<(HolderId, u64)>,
}

impl Claims {
    /// Claims `id` for `holder`. `seq` numbers the claim at its holder, so that a resend of the
    /// same claim gets the same answer.
    pub fn claim(
        &mut self,
        now: Time,
        holder: HolderId,
        seq: u64,
        id: RequestId,
        body: BodyDigest,
    ) -> Verdict {
        self.forget(now);
        if let Some(c) = self.by_id.get(&id) {
            return c.verdict(holder, seq, &body);
        }
        if self.void.contains(&(holder, seq)) {
            return Verdict::Running;
        }
        self.by_id.insert(id, Claim { body, stage: Stage::Started { holder, seq } });
        self.open.entry(holder).or_default().insert(id);
        Verdict::Run
    }

    /// Records how a claimed request ended; only its claimant's word counts.
    pub fn conclude(&mut self, now: Time, holder: HolderId, seq: u64, id: RequestId, end: End) {
        let Some(c) = self.by_id.get_mut(&id) else {
            if end == End::NotRun {
                self.void.insert((holder, seq));
            }
            return;
        };
        let mine =
            matches!(c.stage, Stage::Started { holder: h, seq: q } if (h, q) == (holder, seq));
        let late = matches!(c.stage, Stage::Unknown) && matches!(end, End::Answered(_));
        if !mine && !late {
            return;
        }
        self.close(holder, id);
        match end {
            End::NotRun => {
                self.by_id.remove(&id);
            }
            End::Answered(o) => self.end(now, id, Stage::Done(o)),
            End::Unknown => self.end(now, id, Stage::Unknown),
        }
    }

    fn close(&mut self, holder: HolderId, id: RequestId) {
        if let Some(open) = self.open.get_mut(&holder) {
            open.remove(&id);
        }
        self.open.retain(|_, ids| !ids.is_empty());
    }

    fn end(&mut self, now: Time, id: RequestId, stage: Stage) {
        if let Some(c) = self.by_id.get_mut(&id) {
            let first = matches!(c.stage, Stage::Started { .. });
            c.stage = stage;
            if first {
                self.outcomes.push_back((now, id));
            }
        }
    }

    /// Marks every claim that `holder` has not concluded as of unknown outcome: it may not be
    /// heard of again.
    pub fn abandon(&mut self, now: Time, holder: HolderId) {
        for id in self.open.remove(&holder).unwrap_or_default() {
            self.end(now, id, Stage::Unknown);
        }
        self.void.retain(|(h, _)| *h != holder);
    }

    /// How many ids are remembered.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    fn forget(&mut self, now: Time) {
        while self.outcomes.front().is_some_and(|(at, _)| now.since(*at) > OUTCOME_KEPT) {
            let Some((_, id)) = self.outcomes.pop_front() else { break };
            if let Some(c) = self.by_id.get_mut(&id) {
                c.stage = Stage::Mark;
                self.marks.push_back((now, id));
            }
        }
        while self.marks.front().is_some_and(|(at, _)| now.since(*at) > MARK_KEPT) {
            let Some((_, id)) = self.marks.pop_front() else { break };
            self.by_id.remove(&id);
        }
    }
}

impl Claim {
    fn verdict(&self, holder: HolderId, seq: u64, body: &BodyDigest) -> Verdict {
        if self.body != *body {
            return Verdict::OtherBody;
        }
        match &self.stage {
            Stage::Started { holder: h, seq: q } if (*h, *q) == (holder, seq) => Verdict::Run,
            Stage::Started { .. } => Verdict::Running,
            Stage::Unknown => Verdict::Unknown,
            Stage::Done(o) => Verdict::Done(o.clone()),
            Stage::Mark => Verdict::Expired,
        }
    }
}
