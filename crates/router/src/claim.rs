//! Claims for requests that may run at most once.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::claim::{BodyDigest, ClaimDecision, ClaimEnd, Outcome};
use cypressfork_core::code::{Code, Ran};
use cypressfork_core::command::{Answer, Command};
use cypressfork_core::unit::{HolderId, Millis, RequestId};
use tokio::time::{Instant, sleep};

use crate::app::App;
use crate::reply::Refusal;

/// Timeout of a claim; after it the request is refused as not run.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of one try to report a claim's end.
const CONCLUDE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long to retry reporting a claim's end. By then the control group has long recorded the
/// outcome as unknown.
const CONCLUDE_RETRY_PERIOD: Duration = Duration::from_secs(24 * 3600);

/// `Retry-After` while the control group is unreachable.
const UNREACHABLE_RETRY_AFTER: Millis = Millis::seconds(5);

/// `Retry-After` while another copy of the request runs.
const RUNNING_RETRY_AFTER: Millis = Millis::seconds(1);

/// A granted claim, whose end must be reported. If it is dropped without a report, the request is
/// reported as not run, or with an unknown outcome if it was started.
pub struct Claim {
    app: Rc<App>,
    holder: HolderId,
    seq: u64,
    id: RequestId,
    started: Cell<bool>,
    reported: Cell<bool>,
}

/// The result of a claim that was not refused.
pub enum ClaimResult {
    /// The request may be sent, once.
    Run(Claim),
    /// The request has run, with this outcome.
    Done(Outcome),
}

/// Claims a request, which must happen before any byte of it is sent upstream. Returns a refusal
/// if the control group is unreachable or does not grant the claim, for example because another
/// copy of the request runs.
pub async fn claim(
    app: &Rc<App>,
    id: RequestId,
    body: BodyDigest,
    deadline: Instant,
) -> Result<ClaimResult, Refusal> {
    let token_store = app.token_store().ok_or(Code::NotReady)?;
    let seq = app.next_run_id();
    let holder = token_store.holder();
    let claim = Claim {
        app: app.clone(),
        holder,
        seq,
        id,
        started: Cell::new(false),
        reported: Cell::new(false),
    };
    let timeout = CLAIM_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
    let c = Command::Claim { holder, seq, id, body };
    let answer = app.group.command(&c, timeout).await;
    let decision = match answer {
        Ok(Answer::Claimed(v)) => v,
        _ => {
            // The claim may still be committed, and must then not block a retry.
            claim.report_end(ClaimEnd::NotRun);
            return Err(Refusal::from(Code::ClaimUnreachable).retry_after(UNREACHABLE_RETRY_AFTER));
        }
    };
    if decision != ClaimDecision::Run {
        claim.reported.set(true);
    }
    match decision {
        ClaimDecision::Run => Ok(ClaimResult::Run(claim)),
        ClaimDecision::Done(o) => Ok(ClaimResult::Done(o)),
        ClaimDecision::Running => Err(Refusal::from(Code::ClaimRunning)
            .ran(Ran::Unknown)
            .retry_after(RUNNING_RETRY_AFTER)),
        ClaimDecision::Unknown => Err(Refusal::from(Code::ClaimUnknown).ran(Ran::Unknown)),
        ClaimDecision::Expired => Err(Refusal::from(Code::ClaimExpired).ran(Ran::Yes)),
        ClaimDecision::OtherBody => Err(Refusal::from(Code::ClaimOtherBody)),
    }
}

impl Claim {
    /// Marks the request as started: bytes of it may have been sent upstream.
    pub fn mark_started(&self) {
        self.started.set(true);
    }

    /// Reports how the request ended. A background task retries until the report is committed. Only
    /// the first call has an effect.
    pub fn report_end(&self, end: ClaimEnd) {
        if self.reported.replace(true) {
            return;
        }
        let (holder, seq, id) = (self.holder, self.seq, self.id);
        let c = Command::Conclude { holder, seq, id, end };
        let group = self.app.group.clone();
        actix_rt::spawn(async move {
            let until = Instant::now() + CONCLUDE_RETRY_PERIOD;
            while group.command(&c, CONCLUDE_TIMEOUT).await.is_err() && Instant::now() < until {
                sleep(Duration::from_secs(1)).await;
            }
        });
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.report_end(if self.started.get() { ClaimEnd::Unknown } else { ClaimEnd::NotRun });
    }
}
