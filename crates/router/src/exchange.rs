//! One model request's exchange with engines, from the first try to the bill.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::StatusCode;
use awc::error::{ConnectError, SendRequestError};
use cypressfork_core::bill::Bill;
use cypressfork_core::claim::ClaimEnd;
use cypressfork_core::code::{Code, Ran};
use cypressfork_core::unit::Millis;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::metric;
use metrics::counter;
use tokio::time::timeout_at;

use crate::app::App;
use crate::attempt::{Answering, Attempt};
use crate::caller::{Caller, Undelivered};
use crate::chat::{Plan, Started};
use crate::claim::Claim;
use crate::count::Usage;
use crate::hold::Hold;
use crate::reply::Refusal;

/// Engines that one attempt is tried on at most.
const TRIES: usize = 3;

/// Attempts that one answer may consist of.
const ATTEMPTS: usize = 5;

/// When to come back if no engine could be reached.
const NO_UPSTREAM_AFTER: Millis = Millis::seconds(2);

/// When to come back after a deadline that could not be met.
const DEADLINE_AFTER: Millis = Millis::seconds(2);

/// One request on its way.
pub struct Exchange {
    pub(crate) app: Rc<App>,
    pub(crate) plan: Plan,
    pub(crate) claim: Option<Claim>,
    pub(crate) caller: Caller,
    pub(crate) attempt: Attempt,
    /// The attempts that broke off, whose text the caller has.
    pub(crate) before: Vec<Attempt>,
    pub(crate) text: String,
    pub(crate) finish: Option<String>,
    /// Events that the caller was sent.
    pub(crate) events: u64,
    run: u64,
    tried: Vec<SocketAddr>,
}

/// Why a try on one engine failed.
pub(crate) enum Failed {
    /// No byte of the request can have reached the engine.
    NotSent,
    /// The engine refused it whole.
    Refused(String),
    /// It may have run, and did not end well.
    Sent(String),
    /// The deadline has passed.
    Late,
    /// The caller has gone.
    Left,
}

impl From<Undelivered> for Failed {
    fn from(u: Undelivered) -> Failed {
        match u {
            Undelivered::Left => Failed::Left,
            Undelivered::Late => Failed::Late,
        }
    }
}

impl Exchange {
    /// Prepares an exchange.
    pub fn new(
        app: Rc<App>,
        plan: Plan,
        hold: Hold,
        claim: Option<Claim>,
        caller: Caller,
    ) -> Exchange {
        let run = app.next_run();
        let attempt = Attempt::new(hold, plan.ask.prompt_bound, plan.cap, 0);
        Exchange {
            app,
            plan,
            claim,
            caller,
            attempt,
            before: Vec::new(),
            text: String::new(),
            finish: None,
            events: 0,
            run,
            tried: Vec::new(),
        }
    }

    /// Runs it to its end.
    pub async fn run(mut self) {
        let mut answering = match self.dispatch().await {
            Ok(a) => a,
            Err(refusal) => return self.refuse(refusal),
        };
        self.caller.begin();
        loop {
            let stream = self.plan.trace.span("stream");
            let ended = self.relay(&mut answering).await;
            drop(stream);
            let failed = matches!(ended, Err(Failed::Sent(_)));
            self.app.done(&self.plan.service, &answering.choice, failed);
            if let Err(Failed::Sent(why)) = &ended {
                let (service, address) = (&self.plan.service, answering.choice.address);
                emit!(Event::UpstreamFailed, service = service, address = address, why = why);
                if let Some(next) = self.take_up().await {
                    answering = next;
                    continue;
                }
            }
            return self.end(ended, answering.choice.address).await;
        }
    }

    /// Begins another attempt with the text so far, if the answer may be taken up.
    async fn take_up(&mut self) -> Option<Answering> {
        let made = self.attempt.usage().output;
        let cap = self.attempt.cap.saturating_sub(made);
        let may = self.claim.is_none() && self.before.len() + 1 < ATTEMPTS && self.finish.is_none();
        let fresh = self.text.len() > self.attempt.text_before || self.before.is_empty();
        if !may || !fresh || cap == 0 || self.text.is_empty() || self.attempt.is_over() {
            return None;
        }
        let bound = self.plan.ask.prompt_bound + self.text.len() as u64;
        let (token_store, budget) =
            (self.attempt.hold().token_store().clone(), self.attempt.hold().budget());
        let policy = self.plan.policy;
        let held =
            token_store.reserve(budget, policy, bound + cap, self.plan.deadline).await.ok()?;
        let hold = Hold::new(token_store.clone(), budget.to_owned(), held);
        let next = Attempt::new(hold, bound, cap, self.text.len());
        let mut broken = std::mem::replace(&mut self.attempt, next);
        broken.close();
        self.before.push(broken);
        // Another engine if there is one, else the same again.
        let last = self.tried.last().copied();
        self.tried = last.into_iter().collect();
        match self.dispatch().await {
            Ok(a) => Some(a),
            Err(r) if r.code == Code::NoUpstream => {
                self.tried.clear();
                self.dispatch().await.ok()
            }
            Err(_) => None,
        }
    }

    /// Tries engines until one answers.
    async fn dispatch(&mut self) -> Result<Answering, Refusal> {
        let mut why = String::new();
        for n in 0..TRIES {
            if !self.app.may_try(&self.plan.service, n) {
                break;
            }
            let chosen = self.app.choose(&self.plan.service, &self.plan.work, &self.tried);
            let Some(choice) = chosen else { break };
            self.tried.push(choice.address);
            let failed = match self.send(choice.address).await {
                Ok(response) => return Ok(Answering { choice, response }),
                Err(f) => f,
            };
            let fault = !matches!(failed, Failed::Late | Failed::Left);
            self.app.done(&self.plan.service, &choice, fault);
            match failed {
                Failed::NotSent => {}
                Failed::Late => return Err(late(self.ran())),
                Failed::Left => return Err(failure(Code::UpstreamFailed, "the caller has gone")),
                // A claimed request goes to one engine, whatever its answer.
                Failed::Refused(text) | Failed::Sent(text) if self.claim.is_some() => {
                    return Err(failure(Code::UpstreamFailed, text));
                }
                Failed::Refused(text) | Failed::Sent(text) => why = text,
            }
            let (service, address) = (&self.plan.service, choice.address);
            emit!(Event::UpstreamFailed, service = service, address = address, why = why);
        }
        if self.attempt.dispatched || !why.is_empty() {
            return Err(failure(Code::UpstreamFailed, why).after(NO_UPSTREAM_AFTER));
        }
        Err(Refusal::from(Code::NoUpstream).after(NO_UPSTREAM_AFTER))
    }

    fn ran(&self) -> Ran {
        if self.attempt.dispatched { Ran::Unknown } else { Ran::No }
    }

    async fn send(&mut self, address: SocketAddr) -> Result<awc::ClientResponse, Failed> {
        let plan = &self.plan;
        let url = format!("http://{address}{}", plan.ask.form.path());
        let client = if self.claim.is_some() { &self.app.once_client } else { &self.app.client };
        let mut req = client
            .post(url)
            .insert_header(("content-type", "application/json"))
            .insert_header(("x-request-id", format!("{:016x}", self.run)));
        let mut hop = plan.trace.span("dispatch");
        hop.note(address.to_string());
        req = req.insert_header(("traceparent", hop.traceparent()));
        if let Some(c) = &self.claim {
            c.start();
        }
        let sending = req.send_body(plan.ask.for_engine(self.attempt.cap, &self.text));
        self.attempt.sending();
        let sent = tokio::select! {
            sent = timeout_at(plan.deadline, sending) => sent,
            () = self.caller.gone() => {
                self.attempt.dispatched = true;
                return Err(Failed::Left);
            }
        };
        let not_sent = matches!(&sent, Ok(Err(e)) if is_not_sent(e));
        let refused = matches!(&sent, Ok(Ok(r)) if is_refusal(r.status()));
        self.attempt.dispatched |= !not_sent && !refused;
        match sent {
            Err(_) => Err(Failed::Late),
            Ok(Err(_)) if not_sent => Err(Failed::NotSent),
            Ok(Err(e)) => Err(Failed::Sent(e.to_string())),
            Ok(Ok(r)) if r.status().is_success() => Ok(r),
            Ok(Ok(r)) => {
                let text = format!("the engine answered {}", r.status());
                Err(if refused { Failed::Refused(text) } else { Failed::Sent(text) })
            }
        }
    }

    /// Ends an exchange that no engine answered.
    fn refuse(mut self, refusal: Refusal) {
        self.close(false, refusal.ran);
        self.caller.answer(Err(refusal));
    }

    async fn end(mut self, ended: Result<(), Failed>, address: SocketAddr) {
        if self.attempt.is_odd() && ended.is_ok() {
            emit!(Event::UpstreamMiscounted, service = self.plan.service, address = address);
        }
        self.close(ended.is_ok(), Ran::Unknown);
        let (word, last) = match ended {
            Ok(()) => (Ok(Started::Whole(self.whole())), self.end_mark()),
            Err(f) => {
                let refusal = refusal(f);
                let event = format!("event: error\ndata: {}\n\n", refusal.json());
                (Err(refusal), event)
            }
        };
        if !self.caller.answer(word) {
            // A caller that has gone needs no end.
            let _ = self.caller.pass(last.into(), self.plan.deadline).await;
        }
    }

    /// What all attempts used.
    pub(crate) fn usage(&self) -> Usage {
        let attempts = self.before.iter().chain([&self.attempt]);
        attempts.map(Attempt::usage).fold(Usage::default(), Usage::plus)
    }

    /// Bills what was used and tells the claim's end, before the caller hears of it.
    fn close(&mut self, whole: bool, ran: Ran) {
        let _settling = self.plan.trace.span("settlement");
        self.attempt.close();
        let usage = self.usage();
        if self.attempt.dispatched || !self.before.is_empty() {
            counter!(metric::TOKENS, "kind" => "prompt").increment(usage.prompt);
            counter!(metric::TOKENS, "kind" => "output").increment(usage.output);
            let hold = self.attempt.hold();
            hold.token_store().bill(Bill {
                id: self.plan.id,
                run: self.run,
                budget: hold.budget().to_owned(),
                prompt: usage.prompt,
                output: usage.output,
                whole,
            });
        }
        let Some(claim) = self.claim.take() else { return };
        claim.tell(match (whole, ran) {
            (true, _) => ClaimEnd::Answered(self.outcome()),
            (false, Ran::No) => ClaimEnd::NotRun,
            (false, _) => ClaimEnd::Unknown,
        });
    }
}

fn failure(code: Code, why: impl Into<String>) -> Refusal {
    Refusal::from(code).ran(Ran::Unknown).detail(why)
}

fn late(ran: Ran) -> Refusal {
    Refusal::from(Code::DeadlinePassed).ran(ran).after(DEADLINE_AFTER)
}

fn refusal(f: Failed) -> Refusal {
    match f {
        Failed::Late => late(Ran::Unknown),
        Failed::Left => failure(Code::UpstreamFailed, "the caller has gone"),
        Failed::Sent(why) | Failed::Refused(why) => {
            failure(Code::UpstreamFailed, why).after(NO_UPSTREAM_AFTER)
        }
        Failed::NotSent => Refusal::from(Code::NoUpstream).after(NO_UPSTREAM_AFTER),
    }
}

/// Whether an engine says by this status that it used nothing up.
fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

/// Whether the error proves that no byte of the request was sent.
fn is_not_sent(e: &SendRequestError) -> bool {
    match e {
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => true,
        _ => false,
    }
}
