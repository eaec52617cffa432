//! One model request's exchange with an engine.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::StatusCode;
use awc::error::{ConnectError, SendRequestError};
use bytes::Bytes;
use cypressfork_core::bill::Bill;
use cypressfork_core::claim::{BODY_KEPT, End, Outcome};
use cypressfork_core::code::{Code, Ran};
use cypressfork_core::route::Choice;
use cypressfork_core::unit::Millis;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::metric;
use futures_util::StreamExt;
use metrics::{counter, histogram};
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout, timeout_at};

use crate::app::App;
use crate::ask::Form;
use crate::chat::{KEEP_ALIVE, Plan, Started};
use crate::claim::Claim;
use crate::count::{Counter, Usage, text_of, usage_of};
use crate::hold::Hold;
use crate::reply::Refusal;
use crate::sse::Parser;

/// Engines that one request is tried on at most.
const TRIES: usize = 3;

/// When to come back if no engine could be reached.
const NO_UPSTREAM_AFTER: Millis = Millis::seconds(2);

/// When to come back after a deadline that could not be met.
const DEADLINE_AFTER: Millis = Millis::seconds(2);

type EngineResponse = awc::ClientResponse;

/// The whole answer, for a caller that wants no stream.
pub struct Whole {
    /// The answer.
    pub json: Value,
}

/// One request on its way.
pub struct Exchange {
    app: Rc<App>,
    plan: Plan,
    hold: Hold,
    claim: Option<Claim>,
    tx: mpsc::Sender<Bytes>,
    run: u64,
    counter: Counter,
    text: String,
    finish: Option<String>,
    engine_id: Option<String>,
    events: u64,
    dispatched: bool,
    /// When the try under way began.
    sent_at: Instant,
    /// The engine has sent something.
    began: bool,
}

/// Why a try on one engine failed.
enum Failed {
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

impl Exchange {
    /// Prepares an exchange whose pieces go to `tx`.
    pub fn new(
        app: Rc<App>,
        plan: Plan,
        hold: Hold,
        claim: Option<Claim>,
        tx: mpsc::Sender<Bytes>,
    ) -> Exchange {
        let run = app.next_run();
        let counter = Counter::new(plan.ask.prompt_bound, plan.cap);
        Exchange {
            app,
            plan,
            hold,
            claim,
            tx,
            run,
            counter,
            text: String::new(),
            finish: None,
            engine_id: None,
            events: 0,
            dispatched: false,
            sent_at: Instant::now(),
            began: false,
        }
    }

    /// Runs it to its end. `first` gets the first word; the pieces follow on the channel.
    pub async fn run(mut self, mut first: oneshot::Sender<Result<Started, Refusal>>) {
        let mut tried = Vec::new();
        let (choice, response) = match self.dispatch(&mut tried, &mut first).await {
            Ok(found) => found,
            Err(refusal) => {
                self.close(false, refusal.ran);
                // The caller may have gone.
                let _ = first.send(Err(refusal));
                return;
            }
        };
        let stream = self.plan.ask.stream;
        let mut first = Some(first);
        if stream && let Some(tx) = first.take() {
            let _ = tx.send(Ok(Started::Streaming));
        }
        let address = choice.address;
        let ended = self.relay(&choice, response, first.as_mut()).await;
        let failed = matches!(ended, Err(Failed::Sent(_)));
        self.app.done(&self.plan.service, &choice, failed);
        self.finish(ended, address, first).await;
    }

    /// Tries engines until one answers.
    async fn dispatch(
        &mut self,
        tried: &mut Vec<SocketAddr>,
        first: &mut oneshot::Sender<Result<Started, Refusal>>,
    ) -> Result<(Choice, EngineResponse), Refusal> {
        let mut why = String::new();
        while tried.len() < TRIES {
            let chosen = self.app.choose(&self.plan.service, &self.plan.work, tried);
            let Some(choice) = chosen else { break };
            let address = choice.address;
            tried.push(address);
            self.sent_at = Instant::now();
            let tried_one = tokio::select! {
                r = self.send(address) => r,
                () = first.closed() => Err(Failed::Left),
            };
            let failed = match tried_one {
                Ok(response) => return Ok((choice, response)),
                Err(f) => f,
            };
            let fault = !matches!(failed, Failed::Late | Failed::Left);
            self.app.done(&self.plan.service, &choice, fault);
            match failed {
                Failed::NotSent => {}
                Failed::Refused(text) => why = text,
                Failed::Sent(text) if self.claim.is_none() => why = text,
                Failed::Sent(text) => return Err(failure(Code::UpstreamFailed, text)),
                Failed::Late => return Err(late(self.ran())),
                Failed::Left => return Err(failure(Code::UpstreamFailed, "the caller has gone")),
            }
            emit!(Event::UpstreamFailed, service = self.plan.service, address = address, why = why);
        }
        if self.dispatched || !why.is_empty() {
            return Err(failure(Code::UpstreamFailed, why).after(NO_UPSTREAM_AFTER));
        }
        Err(Refusal::from(Code::NoUpstream).after(NO_UPSTREAM_AFTER))
    }

    fn ran(&self) -> Ran {
        if self.dispatched { Ran::Unknown } else { Ran::No }
    }

    async fn send(&mut self, address: SocketAddr) -> Result<EngineResponse, Failed> {
        let plan = &self.plan;
        let url = format!("http://{address}{}", plan.ask.form.path());
        let client = if self.claim.is_some() { &self.app.once_client } else { &self.app.client };
        let mut req = client
            .post(url)
            .insert_header(("content-type", "application/json"))
            .insert_header(("x-request-id", format!("{:016x}", self.run)));
        if let Some(t) = &plan.traceparent {
            req = req.insert_header(("traceparent", t.as_str()));
        }
        let sending = req.send_body(plan.ask.for_engine(plan.cap));
        let sent = timeout_at(plan.deadline, sending).await;
        let not_sent = matches!(&sent, Ok(Err(e)) if is_not_sent(e));
        let refused = matches!(&sent, Ok(Ok(r)) if is_refusal(r.status()));
        self.dispatched |= !not_sent && !refused;
        match sent {
            Err(_) => Err(Failed::Late),
            Ok(Err(_)) if not_sent => Err(Failed::NotSent),
            Ok(Err(e)) => Err(Failed::Sent(e.to_string())),
            Ok(Ok(r)) if r.status().is_success() => Ok(r),
            Ok(Ok(r)) if refused => {
                Err(Failed::Refused(format!("the engine answered {}", r.status())))
            }
            Ok(Ok(r)) => Err(Failed::Sent(format!("the engine answered {}", r.status()))),
        }
    }

    /// Passes the engine's events on until the stream's end.
    async fn relay(
        &mut self,
        choice: &Choice,
        mut response: EngineResponse,
        mut first: Option<&mut oneshot::Sender<Result<Started, Refusal>>>,
    ) -> Result<(), Failed> {
        let mut parser = Parser::default();
        loop {
            let gone = async {
                match &mut first {
                    Some(f) => f.closed().await,
                    None => self.tx.closed().await,
                }
            };
            let piece = tokio::select! {
                p = timeout_at(self.plan.deadline, timeout(KEEP_ALIVE, response.next())) => p,
                () = gone => return Err(Failed::Left),
            };
            let bytes = match piece {
                Err(_) => return Err(Failed::Late),
                Ok(Err(_)) => {
                    self.pass(Bytes::from_static(b": keep-alive\n\n")).await?;
                    continue;
                }
                Ok(Ok(None)) => {
                    return Err(Failed::Sent("the stream ended before its end mark".into()));
                }
                Ok(Ok(Some(Err(e)))) => return Err(Failed::Sent(e.to_string())),
                Ok(Ok(Some(Ok(bytes)))) => bytes,
            };
            let events = parser.feed(&bytes);
            if !std::mem::replace(&mut self.began, true) {
                let first = self.sent_at.elapsed();
                let service = self.plan.service.clone();
                histogram!(metric::FIRST_TOKEN, "service" => service).record(first);
                self.app.learn(&self.plan.service, choice, first);
            }
            for event in events.map_err(|_| Failed::Sent("an event is too large".into()))? {
                if event == b"[DONE]" {
                    return self.end_of_stream();
                }
                self.take(&event).await?;
            }
        }
    }

    fn end_of_stream(&self) -> Result<(), Failed> {
        match self.finish {
            Some(_) => Ok(()),
            None => Err(Failed::Sent("the stream ended without a finish reason".into())),
        }
    }

    async fn take(&mut self, event: &[u8]) -> Result<(), Failed> {
        let mut v: Value = serde_json::from_slice(event)
            .map_err(|e| Failed::Sent(format!("an event is not JSON: {e}")))?;
        self.check_id(&v)?;
        let usage = usage_of(&v);
        let (text, finish) = text_of(&v);
        self.counter.add(text.len(), usage);
        self.hold.charge(total(self.counter.charge()));
        if self.counter.is_over() {
            emit!(Event::UpstreamOverCap, service = self.plan.service, cap = self.plan.cap);
            return Err(Failed::Sent("the engine generates more than was asked for".into()));
        }
        if let Some(f) = finish {
            self.finish = Some(f.to_owned());
        }
        if !self.plan.ask.stream {
            self.text.push_str(text);
            return Ok(());
        }
        let usage_alone = v["choices"].as_array().is_some_and(Vec::is_empty);
        if usage_alone {
            return Ok(());
        }
        if let Some(o) = v.as_object_mut() {
            o.remove("usage");
        }
        self.events += 1;
        self.pass(Bytes::from(format!("id: {}\ndata: {v}\n\n", self.events))).await
    }

    /// All events of one answer carry one id; another one belongs to another answer.
    fn check_id(&mut self, v: &Value) -> Result<(), Failed> {
        let id = v["id"].as_str().unwrap_or_default();
        match &self.engine_id {
            None => self.engine_id = Some(id.to_owned()),
            Some(known) if known != id => {
                return Err(Failed::Sent("an event belongs to another answer".into()));
            }
            Some(_) => {}
        }
        Ok(())
    }

    async fn pass(&self, piece: Bytes) -> Result<(), Failed> {
        if !self.plan.ask.stream {
            return Ok(());
        }
        match timeout_at(self.plan.deadline, self.tx.send(piece)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(Failed::Left),
            Err(_) => Err(Failed::Late),
        }
    }

    async fn finish(
        mut self,
        ended: Result<(), Failed>,
        address: SocketAddr,
        first: Option<oneshot::Sender<Result<Started, Refusal>>>,
    ) {
        if self.counter.is_odd() && ended.is_ok() {
            emit!(Event::UpstreamMiscounted, service = self.plan.service, address = address);
        }
        let refusal = match &ended {
            Ok(()) => None,
            Err(Failed::Late) => Some(late(Ran::Unknown)),
            Err(Failed::Left) => Some(failure(Code::UpstreamFailed, "the caller has gone")),
            Err(Failed::Sent(why)) => {
                emit!(Event::UpstreamFailed, address = address, why = why);
                Some(failure(Code::UpstreamFailed, why.clone()).after(NO_UPSTREAM_AFTER))
            }
            Err(Failed::NotSent | Failed::Refused(_)) => Some(Code::UpstreamFailed.into()),
        };
        self.close(ended.is_ok(), Ran::Unknown);
        match (first, refusal) {
            (Some(tx), None) => {
                let _ = tx.send(Ok(Started::Whole(Whole { json: self.whole() })));
            }
            (Some(tx), Some(r)) => {
                let _ = tx.send(Err(r));
            }
            (None, None) => {
                let _ = self.pass(Bytes::from(self.end())).await;
            }
            (None, Some(r)) => {
                let event = format!("event: error\ndata: {}\n\n", r.json());
                let _ = self.pass(Bytes::from(event)).await;
            }
        }
    }

    /// What ends a whole stream: the usage as it was billed, if it was asked for, and the mark.
    fn end(&self) -> String {
        let mark = "data: [DONE]\n\n";
        if !self.plan.ask.usage {
            return mark.to_owned();
        }
        let mut v = self.whole();
        v["object"] = "chat.completion.chunk".into();
        v["choices"] = json!([]);
        format!("id: {}\ndata: {v}\n\n{mark}", self.events + 1)
    }

    /// Bills what was used and tells the claim's end, before the caller hears of it.
    fn close(&mut self, whole: bool, ran: Ran) {
        if self.dispatched {
            let usage = self.counter.charge();
            self.hold.charge(total(usage));
            counter!(metric::TOKENS, "kind" => "prompt").increment(usage.prompt);
            counter!(metric::TOKENS, "kind" => "output").increment(usage.output);
            self.hold.wallet().bill(Bill {
                id: self.plan.id,
                run: self.run,
                budget: self.hold.budget().to_owned(),
                prompt: usage.prompt,
                output: usage.output,
                whole,
            });
        }
        let Some(claim) = self.claim.take() else { return };
        claim.tell(match (whole, ran) {
            (true, _) => End::Answered(self.outcome()),
            (false, Ran::No) => End::NotRun,
            (false, _) => End::Unknown,
        });
    }

    fn outcome(&self) -> Outcome {
        let body = self.whole().to_string().into_bytes();
        let keep = !self.plan.ask.stream && body.len() <= BODY_KEPT;
        Outcome { status: 200, kind: "application/json".into(), body: keep.then_some(body) }
    }

    /// The answer in the form of a caller that wants no stream.
    fn whole(&self) -> Value {
        let usage = self.counter.charge();
        let (object, choice) = match self.plan.ask.form {
            Form::Chat => (
                "chat.completion",
                json!({ "index": 0, "finish_reason": self.finish,
                    "message": { "role": "assistant", "content": self.text } }),
            ),
            Form::Text => (
                "text_completion",
                json!({ "index": 0, "finish_reason": self.finish, "text": self.text }),
            ),
        };
        json!({
            "id": self.engine_id,
            "object": object,
            "model": self.plan.ask.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": usage.prompt,
                "completion_tokens": usage.output,
                "total_tokens": total(usage),
            },
        })
    }
}

fn total(u: Usage) -> u64 {
    u.prompt + u.output
}

fn failure(code: Code, why: impl Into<String>) -> Refusal {
    Refusal::from(code).ran(Ran::Unknown).detail(why)
}

fn late(ran: Ran) -> Refusal {
    Refusal::from(Code::DeadlinePassed).ran(ran).after(DEADLINE_AFTER)
}

/// Whether an engine says by this status that it used nothing up.
fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

/// Whether the error proves that no byte of the request was sent.
pub fn is_not_sent(e: &SendRequestError) -> bool {
    match e {
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => true,
        _ => false,
    }
}
