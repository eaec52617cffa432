//! An engine's stream on its way to the caller: counted, checked, passed on event by event.

use std::time::Duration;

use bytes::Bytes;
use cypressfork_core::claim::{MAX_STORED_BODY, Outcome};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::metric;
use futures_util::StreamExt;
use metrics::histogram;
use serde_json::{Value, json};
use tokio::time::{timeout, timeout_at};

use crate::ask::Form;
use crate::attempt::Answering;
use crate::count::{text_of, usage_of};
use crate::exchange::{Exchange, Failed};
use crate::sse::Parser;

/// How long a stream may be silent before a comment keeps idle links alive.
const KEEP_ALIVE: Duration = Duration::from_secs(10);

/// What ends a whole stream.
const MARK: &str = "data: [DONE]\n\n";

impl Exchange {
    /// Passes the engine's events on until the stream's end.
    pub(crate) async fn relay(&mut self, a: &mut Answering) -> Result<(), Failed> {
        let mut parser = Parser::default();
        loop {
            let piece = tokio::select! {
                p = timeout_at(self.plan.deadline, timeout(KEEP_ALIVE, a.response.next())) => p,
                () = self.caller.gone() => return Err(Failed::Left),
            };
            let bytes = match piece {
                Err(_) => return Err(Failed::Late),
                Ok(Err(_)) => {
                    let comment = Bytes::from_static(b": keep-alive\n\n");
                    self.caller.pass(comment, self.plan.deadline).await?;
                    continue;
                }
                Ok(Ok(None)) => {
                    return Err(Failed::Sent("the stream ended before its end mark".into()));
                }
                Ok(Ok(Some(Err(e)))) => return Err(Failed::Sent(e.to_string())),
                Ok(Ok(Some(Ok(bytes)))) => bytes,
            };
            self.note_first(a);
            let events = parser.feed(&bytes);
            for event in events.map_err(|_| Failed::Sent("an event is too large".into()))? {
                if event == b"[DONE]" {
                    return self.check_end();
                }
                self.take(&event).await?;
            }
        }
    }

    fn note_first(&mut self, a: &Answering) {
        if let Some(span) = self.attempt.begin() {
            let service = self.plan.service.clone();
            histogram!(metric::FIRST_TOKEN, "service" => service).record(span);
            self.app.learn(&self.plan.service, &a.choice, span);
        }
    }

    fn check_end(&self) -> Result<(), Failed> {
        match self.finish {
            Some(_) => Ok(()),
            None => Err(Failed::Sent("the stream ended without a finish reason".into())),
        }
    }

    async fn take(&mut self, event: &[u8]) -> Result<(), Failed> {
        let mut v: Value = serde_json::from_slice(event)
            .map_err(|e| Failed::Sent(format!("an event is not JSON: {e}")))?;
        if !self.attempt.is_own(v["id"].as_str().unwrap_or_default()) {
            return Err(Failed::Sent("an event belongs to another answer".into()));
        }
        let usage = usage_of(&v);
        let (text, finish) = text_of(&v);
        self.attempt.add(text.len(), usage);
        if self.attempt.is_over() {
            emit!(Event::UpstreamOverCap, service = self.plan.service, cap = self.attempt.cap);
            return Err(Failed::Sent("the engine generates more than was asked for".into()));
        }
        self.text.push_str(text);
        if let Some(f) = finish {
            self.finish = Some(f.to_owned());
        }
        let usage_alone = v["choices"].as_array().is_some_and(Vec::is_empty);
        if !self.plan.ask.stream || usage_alone {
            return Ok(());
        }
        if let Some(o) = v.as_object_mut() {
            o.remove("usage");
            o.insert("id".into(), self.answer_id().into());
        }
        self.events += 1;
        let piece = Bytes::from(format!("id: {}\ndata: {v}\n\n", self.events));
        Ok(self.caller.pass(piece, self.plan.deadline).await?)
    }

    /// The answer's id for the caller: the first attempt's, whichever engine goes on with it.
    fn answer_id(&self) -> &str {
        let first = self.before.iter().chain([&self.attempt]).next();
        first.and_then(|l| l.engine_id()).unwrap_or_default()
    }

    /// What ends a whole stream: the usage as it was billed, if it was asked for, and the mark.
    pub(crate) fn end_mark(&self) -> String {
        if !self.plan.ask.usage {
            return MARK.to_owned();
        }
        let mut v = self.whole();
        v["object"] = "chat.completion.chunk".into();
        v["choices"] = json!([]);
        format!("id: {}\ndata: {v}\n\n{MARK}", self.events + 1)
    }

    /// What is recorded of a claimed request's answer.
    pub(crate) fn outcome(&self) -> Outcome {
        let body = self.whole().to_string().into_bytes();
        let keep = !self.plan.ask.stream && body.len() <= MAX_STORED_BODY;
        Outcome { status: 200, kind: "application/json".into(), body: keep.then_some(body) }
    }

    /// The answer in the form of a caller that wants no stream.
    pub(crate) fn whole(&self) -> Value {
        let usage = self.usage();
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
            "id": self.answer_id(),
            "object": object,
            "model": self.plan.ask.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": usage.prompt,
                "completion_tokens": usage.output,
                "total_tokens": usage.total(),
            },
        })
    }
}
