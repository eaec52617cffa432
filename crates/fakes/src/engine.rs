//! Fake model engine that streams `/v1/chat/completions` and `/v1/completions`; each word is a token.
//!
//! With `continue_final_message`, or a prompt that ends with words the engine generated, it continues
//! after them.
//!
//! Faults: `overrun` generates twice as many tokens as requested, `silent` reports no usage,
//! `undercount` reports half of it, `break` ends every stream after three tokens, `mute` accepts
//! requests and never answers, `cross` inserts an event of another response, `busy` answers 503.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use cypressfork_http::{Body, Received};
use getopts::Matches;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::{json_response, number};

/// Settings and counters of an engine.
pub struct Engine {
    tokens: u64,
    token_time: Duration,
    fault: String,
    started: Cell<u64>,
    finished: Cell<u64>,
    cancelled: Cell<u64>,
    generated: Cell<u64>,
    prompted: Cell<u64>,
}

impl Engine {
    /// Returns an engine with the command-line options. Fails if a number is malformed.
    pub fn new(m: &Matches) -> Result<Engine, String> {
        Ok(Engine {
            tokens: number(m, "tokens", 24)?,
            token_time: Duration::from_millis(number(m, "token-ms", 0)?),
            fault: m.opt_str("fault").unwrap_or_default(),
            started: Cell::new(0),
            finished: Cell::new(0),
            cancelled: Cell::new(0),
            generated: Cell::new(0),
            prompted: Cell::new(0),
        })
    }

    fn stats(&self) -> Value {
        json!({
            "started": self.started.get(),
            "finished": self.finished.get(),
            "cancelled": self.cancelled.get(),
            "generated": self.generated.get(),
            "prompted": self.prompted.get(),
        })
    }
}

fn add(cell: &Cell<u64>, n: u64) {
    cell.set(cell.get() + n);
}

/// Counts the words in a prompt or in the contents of messages.
fn count_words(v: &Value) -> u64 {
    match v {
        Value::String(s) => s.split_whitespace().count() as u64,
        Value::Array(a) => a.iter().map(count_words).sum(),
        Value::Object(o) => o.get("content").map_or(0, count_words),
        _ => 0,
    }
}

/// Streams a completion, returns the counters for `/stats`, or misbehaves as the fault demands.
pub async fn handle(engine: Rc<Engine>, req: Received) -> Response<Body> {
    let chat = match req.head.path() {
        "/v1/chat/completions" => true,
        "/v1/completions" => false,
        "/stats" => return json_response(StatusCode::OK, &engine.stats()),
        _ => return json_response(StatusCode::NOT_FOUND, &json!({ "error": "no such path" })),
    };
    let Ok(request) = serde_json::from_slice::<Value>(&req.body.unwrap_or_default()) else {
        return json_response(StatusCode::BAD_REQUEST, &json!({ "error": "not JSON" }));
    };
    match engine.fault.as_str() {
        "busy" => {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": "busy" }));
        }
        "mute" => std::future::pending().await,
        _ => {}
    }
    add(&engine.started, 1);
    let (tx, rx) = mpsc::channel(1);
    actix_rt::spawn(generate(engine, request, chat, tx));
    let mut r = Response::with_body(StatusCode::OK, Body::Stream(rx));
    r.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    r
}

/// Counts the generated tokens at the end of the prompt that the response continues.
fn count_previous_tokens(request: &Value) -> u64 {
    let last = match request["continue_final_message"] {
        Value::Bool(true) => {
            request["messages"].as_array().and_then(|m| m.last()?["content"].as_str())
        }
        _ => request["prompt"].as_str(),
    };
    let words = last.unwrap_or_default().split_whitespace().rev();
    let is_generated = |w: &str| w.strip_prefix('w').is_some_and(|n| n.parse::<u64>().is_ok());
    words.take_while(|w| is_generated(w)).count() as u64
}

/// Streams the tokens of a response and updates the counters.
async fn generate(engine: Rc<Engine>, request: Value, chat: bool, tx: mpsc::Sender<Bytes>) {
    let prompt = count_words(&request["messages"]) + count_words(&request["prompt"]);
    let previous = count_previous_tokens(&request);
    add(&engine.prompted, prompt);
    let max_tokens = request["max_tokens"].as_u64().unwrap_or(u64::MAX);
    let count = match engine.fault.as_str() {
        "overrun" => max_tokens.saturating_mul(2),
        _ => engine.tokens.saturating_sub(previous).min(max_tokens),
    };
    let id = format!("gen-{}", engine.started.get());
    for n in 1..=count {
        if !engine.token_time.is_zero() {
            sleep(engine.token_time).await;
        }
        add(&engine.generated, 1);
        if engine.fault == "break" && n > 3 {
            return;
        }
        let is_foreign = engine.fault == "cross" && n == 3;
        let id = if is_foreign { "gen-of-another" } else { &id };
        let finish = (n == count).then_some(if count == max_tokens { "length" } else { "stop" });
        let event = event(&engine, id, chat, (previous, n), prompt, finish);
        let chunk = Bytes::from(format!("data: {event}\n\n"));
        if tx.send(chunk).await.is_err() {
            return add(&engine.cancelled, 1);
        }
    }
    add(&engine.finished, 1);
    // The client may have disconnected after the last token.
    let _ = tx.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
}

/// Returns the stream event for token `n` after `previous` tokens of an earlier response.
fn event(
    engine: &Engine,
    id: &str,
    chat: bool,
    (previous, n): (u64, u64),
    prompt: u64,
    finish: Option<&str>,
) -> Value {
    let text = format!("w{} ", previous + n);
    let choice = match chat {
        true => json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish }),
        false => json!({ "index": 0, "text": text, "finish_reason": finish }),
    };
    let mut v = json!({ "id": id, "object": "chat.completion.chunk", "choices": [choice] });
    let output = if engine.fault == "undercount" { n / 2 } else { n };
    if engine.fault != "silent" {
        v["usage"] = json!({ "prompt_tokens": prompt, "completion_tokens": output });
    }
    v
}
