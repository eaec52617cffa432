//! Claims of requests that may run at most once.

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

/// How long a claim may take before the request is refused as not run.
const CLAIM_WITHIN: Duration = Duration::from_secs(2);

/// How long one try to tell an end may take.
const CONCLUDE_WITHIN: Duration = Duration::from_secs(10);

/// How long to keep trying to tell an end. After this the group has long since taken the claim
/// for one of unknown outcome.
const CONCLUDE_FOR: Duration = Duration::from_secs(24 * 3600);

/// When to come back while the control group is out of reach.
const UNREACHABLE_AFTER: Millis = Millis::seconds(5);

/// When to come back while another copy of the request runs.
const RUNNING_AFTER: Millis = Millis::seconds(1);

/// A claim that was granted. Its end must be told; if it is dropped untold, the request has not run
/// as long as it was not started, and has an unknown outcome after that.
pub struct Claim {
    app: Rc<App>,
    holder: HolderId,
    seq: u64,
    id: RequestId,
    started: Cell<bool>,
    told: Cell<bool>,
}

/// What a claim came to.
pub enum Claimed {
    /// The request may be sent, once.
    Run(Claim),
    /// It has run; this was the answer.
    Done(Outcome),
}

/// Claims a request before any byte of it goes upstream.
pub async fn claim(
    app: &Rc<App>,
    id: RequestId,
    body: BodyDigest,
    deadline: Instant,
) -> Result<Claimed, Refusal> {
    let token_store = app.token_store().ok_or(Code::NotReady)?;
    let seq = app.next_run();
    let holder = token_store.holder();
    let mine = Claim {
        app: app.clone(),
        holder,
        seq,
        id,
        started: Cell::new(false),
        told: Cell::new(false),
    };
    let within = CLAIM_WITHIN.min(deadline.saturating_duration_since(Instant::now()));
    let c = Command::Claim { holder, seq, id, body };
    let answer = app.group.command(&c, within).await;
    let verdict = match answer {
        Ok(Answer::Claimed(v)) => v,
        _ => {
            // Should the claim be committed yet, it must not stand in a retry's way.
            mine.tell(ClaimEnd::NotRun);
            return Err(Refusal::from(Code::ClaimUnreachable).after(UNREACHABLE_AFTER));
        }
    };
    if verdict != ClaimDecision::Run {
        mine.told.set(true);
    }
    match verdict {
        ClaimDecision::Run => Ok(Claimed::Run(mine)),
        ClaimDecision::Done(o) => Ok(Claimed::Done(o)),
        ClaimDecision::Running => {
            Err(Refusal::from(Code::ClaimRunning).ran(Ran::Unknown).after(RUNNING_AFTER))
        }
        ClaimDecision::Unknown => Err(Refusal::from(Code::ClaimUnknown).ran(Ran::Unknown)),
        ClaimDecision::Expired => Err(Refusal::from(Code::ClaimExpired).ran(Ran::Yes)),
        ClaimDecision::OtherBody => Err(Refusal::from(Code::ClaimOtherBody)),
    }
}

impl Claim {
    /// Notes that bytes of the request may go upstream from now on.
    pub fn start(&self) {
        self.started.set(true);
    }

    /// Tells how the request ended, in the background and until it is committed.
    pub fn tell(&self, end: ClaimEnd) {
        if self.told.replace(true) {
            return;
        }
        let (holder, seq, id) = (self.holder, self.seq, self.id);
        let c = Command::Conclude { holder, seq, id, end };
        let group = self.app.group.clone();
        actix_rt::spawn(async move {
            let until = Instant::now() + CONCLUDE_FOR;
            while group.command(&c, CONCLUDE_WITHIN).await.is_err() && Instant::now() < until {
                sleep(Duration::from_secs(1)).await;
            }
        });
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.tell(if self.started.get() { ClaimEnd::Unknown } else { ClaimEnd::NotRun });
    }
}
