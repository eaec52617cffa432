//! Relays an engine's event stream to the caller: counts, checks and forwards each event.

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

use crate::attempt::EngineResponse;
use crate::exchange::{AttemptError, Exchange};
use crate::model_request::Api;
use crate::sse::Parser;
use crate::usage::{event_text, event_usage};

/// Interval at which comments are sent on an idle stream to keep connections alive.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// The event that ends a complete stream.
const END_OF_STREAM: &str = "data: [DONE]\n\n";

impl Exchange {
    /// Relays the engine's events until the end of its stream. Returns an error if it fails before.
    pub(crate) async fn relay(
        &mut self,
        engine_response: &mut EngineResponse,
    ) -> Result<(), AttemptError> {
        let mut parser = Parser::default();
        loop {
            let next = tokio::select! {
                p = timeout_at(
                    self.plan.deadline,
                    timeout(KEEP_ALIVE_INTERVAL, engine_response.response.next()),
                ) => p,
                () = self.sender.closed() => return Err(AttemptError::CallerDisconnected),
            };
            let bytes = match next {
                Err(_) => return Err(AttemptError::DeadlinePassed),
                Ok(Err(_)) => {
                    let comment = Bytes::from_static(b": keep-alive\n\n");
                    self.sender.send_chunk(comment, self.plan.deadline).await?;
                    continue;
                }
                Ok(Ok(None)) => {
                    return Err(AttemptError::Failed(
                        "the stream ended before its end mark".into(),
                    ));
                }
                Ok(Ok(Some(Err(e)))) => return Err(AttemptError::Failed(e.to_string())),
                Ok(Ok(Some(Ok(bytes)))) => bytes,
            };
            self.record_first_chunk(engine_response);
            let events = parser.feed(&bytes);
            for event in events.map_err(|_| AttemptError::Failed("an event is too large".into()))? {
                if event == b"[DONE]" {
                    return self.check_finish();
                }
                self.process_event(&event).await?;
            }
        }
    }

    fn record_first_chunk(&mut self, engine_response: &EngineResponse) {
        if let Some(span) = self.attempt.record_first_byte() {
            let service = self.plan.service.clone();
            histogram!(metric::FIRST_TOKEN, "service" => service).record(span);
            self.app.record_first_token(&self.plan.service, &engine_response.choice, span);
        }
    }

    fn check_finish(&self) -> Result<(), AttemptError> {
        match self.finish_reason {
            Some(_) => Ok(()),
            None => Err(AttemptError::Failed("the stream ended without a finish reason".into())),
        }
    }

    async fn process_event(&mut self, event: &[u8]) -> Result<(), AttemptError> {
        let mut v: Value = serde_json::from_slice(event)
            .map_err(|e| AttemptError::Failed(format!("an event is not JSON: {e}")))?;
        if !self.attempt.accept_event_id(v["id"].as_str().unwrap_or_default()) {
            return Err(AttemptError::Failed("an event belongs to another answer".into()));
        }
        let usage = event_usage(&v);
        let (text, finish) = event_text(&v);
        self.attempt.add_event(text.len(), usage);
        if self.attempt.exceeds_cap() {
            emit!(Event::OutputLimitExceeded, service = self.plan.service, cap = self.attempt.cap);
            return Err(AttemptError::Failed(
                "the engine generates more than was asked for".into(),
            ));
        }
        self.generated_text.push_str(text);
        if let Some(f) = finish {
            self.finish_reason = Some(f.to_owned());
        }
        let is_usage_only = v["choices"].as_array().is_some_and(Vec::is_empty);
        if !self.plan.request.stream || is_usage_only {
            return Ok(());
        }
        if let Some(o) = v.as_object_mut() {
            o.remove("usage");
            o.insert("id".into(), self.answer_id().into());
        }
        self.sent_events += 1;
        let chunk = Bytes::from(format!("id: {}\ndata: {v}\n\n", self.sent_events));
        Ok(self.sender.send_chunk(chunk, self.plan.deadline).await?)
    }

    /// Returns the answer's id for the caller: that of the first attempt, also if another engine
    /// continues the answer.
    fn answer_id(&self) -> &str {
        let first = self.earlier_attempts.iter().chain([&self.attempt]).next();
        first.and_then(|a| a.engine_id()).unwrap_or_default()
    }

    /// Returns the events that end a complete stream: the billed usage, if the caller requested it,
    /// and `[DONE]`.
    pub(crate) fn stream_end(&self) -> String {
        if !self.plan.request.include_usage {
            return END_OF_STREAM.to_owned();
        }
        let mut v = self.completion();
        v["object"] = "chat.completion.chunk".into();
        v["choices"] = json!([]);
        format!("id: {}\ndata: {v}\n\n{END_OF_STREAM}", self.sent_events + 1)
    }

    /// Returns the outcome to store for a claimed request. It has the body only if the request is
    /// not streamed and the body is at most `MAX_STORED_BODY` bytes.
    pub(crate) fn stored_outcome(&self) -> Outcome {
        let body = self.completion().to_string().into_bytes();
        let is_storable = !self.plan.request.stream && body.len() <= MAX_STORED_BODY;
        Outcome { status: 200, kind: "application/json".into(), body: is_storable.then_some(body) }
    }

    /// Returns the complete answer as a response body that is not streamed.
    pub(crate) fn completion(&self) -> Value {
        let usage = self.usage();
        let (object, choice) = match self.plan.request.api {
            Api::Chat => (
                "chat.completion",
                json!({ "index": 0, "finish_reason": self.finish_reason,
                    "message": { "role": "assistant", "content": self.generated_text } }),
            ),
            Api::Text => (
                "text_completion",
                json!({ "index": 0, "finish_reason": self.finish_reason, "text": self.generated_text }),
            ),
        };
        json!({
            "id": self.answer_id(),
            "object": object,
            "model": self.plan.request.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": usage.prompt,
                "completion_tokens": usage.output,
                "total_tokens": usage.total(),
            },
        })
    }
}
