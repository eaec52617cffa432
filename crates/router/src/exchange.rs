//! The exchange of one model request with engines, from the first try to the bill.

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
use crate::attempt::{Attempt, EngineResponse};
use crate::claim::Claim;
use crate::model_handler::{ExchangePlan, ResponseStart};
use crate::reply::Refusal;
use crate::reservation_guard::ReservationGuard;
use crate::response_sender::{ResponseSender, SendError};
use crate::usage::Usage;

/// The most engines that one attempt is tried on.
const MAX_TRIES: usize = 3;

/// The most attempts that one response may consist of.
const MAX_ATTEMPTS: usize = 5;

/// `Retry-After` if no engine responded.
const NO_UPSTREAM_RETRY_AFTER: Millis = Millis::seconds(2);

/// `Retry-After` after a missed deadline.
const DEADLINE_RETRY_AFTER: Millis = Millis::seconds(2);

/// A model request in progress.
pub struct Exchange {
    pub(crate) app: Rc<App>,
    pub(crate) plan: ExchangePlan,
    pub(crate) claim: Option<Claim>,
    pub(crate) sender: ResponseSender,
    pub(crate) attempt: Attempt,
    /// Earlier attempts that broke off; the caller has received their text.
    pub(crate) earlier_attempts: Vec<Attempt>,
    pub(crate) generated_text: String,
    pub(crate) finish_reason: Option<String>,
    /// Number of events sent to the caller.
    pub(crate) sent_events: u64,
    run: u64,
    tried: Vec<SocketAddr>,
}

/// Why a try on one engine failed.
pub(crate) enum AttemptError {
    /// No byte of the request was sent to the engine.
    NotSent,
    /// The engine rejected the request and used no tokens.
    Rejected(String),
    /// The request may have run and failed.
    Failed(String),
    /// The deadline has passed.
    DeadlinePassed,
    /// The caller has disconnected.
    CallerDisconnected,
}

impl From<SendError> for AttemptError {
    fn from(e: SendError) -> AttemptError {
        match e {
            SendError::Disconnected => AttemptError::CallerDisconnected,
            SendError::DeadlinePassed => AttemptError::DeadlinePassed,
        }
    }
}

impl Exchange {
    /// Creates an exchange with its first attempt, not sent yet.
    pub fn new(
        app: Rc<App>,
        plan: ExchangePlan,
        reservation: ReservationGuard,
        claim: Option<Claim>,
        sender: ResponseSender,
    ) -> Exchange {
        let run = app.next_run_id();
        let attempt = Attempt::new(reservation, plan.request.prompt_bound, plan.cap, 0);
        Exchange {
            app,
            plan,
            claim,
            sender,
            attempt,
            earlier_attempts: Vec::new(),
            generated_text: String::new(),
            finish_reason: None,
            sent_events: 0,
            run,
            tried: Vec::new(),
        }
    }

    /// Runs the exchange: sends the request, relays the response, and bills the usage. A response
    /// that breaks off is continued by another attempt where possible.
    pub async fn run(mut self) {
        let mut engine_response = match self.dispatch().await {
            Ok(a) => a,
            Err(refusal) => return self.finish_refused(refusal),
        };
        self.sender.start_stream();
        loop {
            let stream = self.plan.trace.span("stream");
            let result = self.relay(&mut engine_response).await;
            drop(stream);
            let failed = matches!(result, Err(AttemptError::Failed(_)));
            self.app.record_end(&self.plan.service, &engine_response.choice, failed);
            if let Err(AttemptError::Failed(why)) = &result {
                let (service, address) = (&self.plan.service, engine_response.choice.address);
                emit!(Event::UpstreamFailed, service = service, address = address, why = why);
                if let Some(next) = self.resume().await {
                    engine_response = next;
                    continue;
                }
            }
            return self.finish(result, engine_response.choice.address).await;
        }
    }

    /// Starts another attempt that continues from the text generated so far. Returns `None` if the
    /// response may not be continued or no engine responds.
    async fn resume(&mut self) -> Option<EngineResponse> {
        let generated = self.attempt.usage().output;
        let cap = self.attempt.cap.saturating_sub(generated);
        let allowed = self.claim.is_none()
            && self.earlier_attempts.len() + 1 < MAX_ATTEMPTS
            && self.finish_reason.is_none();
        let progressed = self.generated_text.len() > self.attempt.earlier_text_len
            || self.earlier_attempts.is_empty();
        if !allowed
            || !progressed
            || cap == 0
            || self.generated_text.is_empty()
            || self.attempt.exceeds_cap()
        {
            return None;
        }
        let prompt_bound = self.plan.request.prompt_bound + self.generated_text.len() as u64;
        let (token_store, budget) =
            (self.attempt.reservation().token_store().clone(), self.attempt.reservation().budget());
        let policy = self.plan.policy;
        let reserved = token_store
            .reserve(budget, policy, prompt_bound + cap, self.plan.deadline)
            .await
            .ok()?;
        let reservation = ReservationGuard::new(token_store.clone(), budget.to_owned(), reserved);
        let next = Attempt::new(reservation, prompt_bound, cap, self.generated_text.len());
        let mut failed = std::mem::replace(&mut self.attempt, next);
        failed.charge_final_usage();
        self.earlier_attempts.push(failed);
        // Prefer another engine; use the same one only if there is no other.
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

    /// Sends the request to one engine after the other until one responds.
    async fn dispatch(&mut self) -> Result<EngineResponse, Refusal> {
        let mut why = String::new();
        for n in 0..MAX_TRIES {
            if !self.app.allow_send(&self.plan.service, n) {
                break;
            }
            let chosen = self.app.choose(&self.plan.service, &self.plan.profile, &self.tried);
            let Some(choice) = chosen else { break };
            self.tried.push(choice.address);
            let failed = match self.send(choice.address).await {
                Ok(response) => return Ok(EngineResponse { choice, response }),
                Err(f) => f,
            };
            let is_fault =
                !matches!(failed, AttemptError::DeadlinePassed | AttemptError::CallerDisconnected);
            self.app.record_end(&self.plan.service, &choice, is_fault);
            match failed {
                AttemptError::NotSent => {}
                AttemptError::DeadlinePassed => return Err(deadline_refusal(self.ran_so_far())),
                AttemptError::CallerDisconnected => {
                    return Err(upstream_failure(Code::UpstreamFailed, "the caller has gone"));
                }
                // A claimed request is sent to one engine only, as it may run at most once.
                AttemptError::Rejected(text) | AttemptError::Failed(text)
                    if self.claim.is_some() =>
                {
                    return Err(upstream_failure(Code::UpstreamFailed, text));
                }
                AttemptError::Rejected(text) | AttemptError::Failed(text) => why = text,
            }
            let (service, address) = (&self.plan.service, choice.address);
            emit!(Event::UpstreamFailed, service = service, address = address, why = why);
        }
        if self.attempt.dispatched || !why.is_empty() {
            return Err(
                upstream_failure(Code::UpstreamFailed, why).retry_after(NO_UPSTREAM_RETRY_AFTER)
            );
        }
        Err(Refusal::from(Code::NoUpstream).retry_after(NO_UPSTREAM_RETRY_AFTER))
    }

    fn ran_so_far(&self) -> Ran {
        if self.attempt.dispatched { Ran::Unknown } else { Ran::No }
    }

    async fn send(&mut self, address: SocketAddr) -> Result<awc::ClientResponse, AttemptError> {
        let plan = &self.plan;
        let url = format!("http://{address}{}", plan.request.api.path());
        let client =
            if self.claim.is_some() { &self.app.unpooled_client } else { &self.app.pooled_client };
        let mut req = client
            .post(url)
            .insert_header(("content-type", "application/json"))
            .insert_header(("x-request-id", format!("{:016x}", self.run)));
        let mut span = plan.trace.span("dispatch");
        span.set_note(address.to_string());
        req = req.insert_header(("traceparent", span.traceparent()));
        if let Some(c) = &self.claim {
            c.mark_started();
        }
        let sending =
            req.send_body(plan.request.engine_body(self.attempt.cap, &self.generated_text));
        self.attempt.mark_sent();
        let sent = tokio::select! {
            sent = timeout_at(plan.deadline, sending) => sent,
            () = self.sender.closed() => {
                self.attempt.dispatched = true;
                return Err(AttemptError::CallerDisconnected);
            }
        };
        let not_sent = matches!(&sent, Ok(Err(e)) if is_not_sent(e));
        let rejected = matches!(&sent, Ok(Ok(r)) if is_rejection(r.status()));
        self.attempt.dispatched |= !not_sent && !rejected;
        match sent {
            Err(_) => Err(AttemptError::DeadlinePassed),
            Ok(Err(_)) if not_sent => Err(AttemptError::NotSent),
            Ok(Err(e)) => Err(AttemptError::Failed(e.to_string())),
            Ok(Ok(r)) if r.status().is_success() => Ok(r),
            Ok(Ok(r)) => {
                let text = format!("the engine answered {}", r.status());
                Err(if rejected {
                    AttemptError::Rejected(text)
                } else {
                    AttemptError::Failed(text)
                })
            }
        }
    }

    /// Settles an exchange without a response and sends the refusal.
    fn finish_refused(mut self, refusal: Refusal) {
        self.settle(false, refusal.ran);
        self.sender.respond(Err(refusal));
    }

    async fn finish(mut self, result: Result<(), AttemptError>, address: SocketAddr) {
        if self.attempt.is_implausible() && result.is_ok() {
            emit!(Event::UpstreamMiscounted, service = self.plan.service, address = address);
        }
        self.settle(result.is_ok(), Ran::Unknown);
        let (response, last) = match result {
            Ok(()) => (Ok(ResponseStart::Whole(self.completion())), self.stream_end()),
            Err(f) => {
                let refusal = refusal_for(f);
                let event = format!("event: error\ndata: {}\n\n", refusal.json());
                (Err(refusal), event)
            }
        };
        if !self.sender.respond(response) {
            // Fails only if the caller has disconnected or the deadline has passed.
            let _ = self.sender.send_chunk(last.into(), self.plan.deadline).await;
        }
    }

    /// Returns the total usage of all attempts.
    pub(crate) fn usage(&self) -> Usage {
        let attempts = self.earlier_attempts.iter().chain([&self.attempt]);
        attempts.map(Attempt::usage).fold(Usage::default(), Usage::plus)
    }

    /// Bills the usage and reports the claim's end. Called before the end of the response is sent.
    fn settle(&mut self, whole: bool, ran: Ran) {
        let _settling = self.plan.trace.span("settlement");
        self.attempt.charge_final_usage();
        let usage = self.usage();
        if self.attempt.dispatched || !self.earlier_attempts.is_empty() {
            counter!(metric::TOKENS, "kind" => "prompt").increment(usage.prompt);
            counter!(metric::TOKENS, "kind" => "output").increment(usage.output);
            let reservation = self.attempt.reservation();
            reservation.token_store().add_bill(Bill {
                id: self.plan.id,
                run: self.run,
                budget: reservation.budget().to_owned(),
                prompt: usage.prompt,
                output: usage.output,
                whole,
            });
        }
        let Some(claim) = self.claim.take() else { return };
        claim.report_end(match (whole, ran) {
            (true, _) => ClaimEnd::Answered(self.stored_outcome()),
            (false, Ran::No) => ClaimEnd::NotRun,
            (false, _) => ClaimEnd::Unknown,
        });
    }
}

fn upstream_failure(code: Code, why: impl Into<String>) -> Refusal {
    Refusal::from(code).ran(Ran::Unknown).detail(why)
}

fn deadline_refusal(ran: Ran) -> Refusal {
    Refusal::from(Code::DeadlinePassed).ran(ran).retry_after(DEADLINE_RETRY_AFTER)
}

fn refusal_for(e: AttemptError) -> Refusal {
    match e {
        AttemptError::DeadlinePassed => deadline_refusal(Ran::Unknown),
        AttemptError::CallerDisconnected => {
            upstream_failure(Code::UpstreamFailed, "the caller has gone")
        }
        AttemptError::Failed(why) | AttemptError::Rejected(why) => {
            upstream_failure(Code::UpstreamFailed, why).retry_after(NO_UPSTREAM_RETRY_AFTER)
        }
        AttemptError::NotSent => {
            Refusal::from(Code::NoUpstream).retry_after(NO_UPSTREAM_RETRY_AFTER)
        }
    }
}

/// Returns whether the status means that the engine rejected the request without using tokens.
fn is_rejection(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

/// Returns whether the error guarantees that no byte of the request was sent.
fn is_not_sent(e: &SendRequestError) -> bool {
    match e {
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => true,
        _ => false,
    }
}
