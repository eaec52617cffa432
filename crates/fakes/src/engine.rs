//! A model engine: `/v1/chat/completions` and `/v1/completions`, streamed; a token is a word.
//!
//! With `continue_final_message`, or a prompt that ends in its own words, it goes on after them.
//!
//! Faults: `overrun` generates twice what was asked for, `silent` reports no usage, `undercount`
//! reports half, `break` ends every stream after three tokens, `mute` accepts and never answers,
//! `cross` mixes an event of another answer in, `busy` answers 503.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use cypressfork_http::Body;
use getopts::Matches;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::{body, json as answer, number};

/// What an engine has done.
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
    /// An engine with the options of the command line.
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

fn words(v: &Value) -> u64 {
    match v {
        Value::String(s) => s.split_whitespace().count() as u64,
        Value::Array(a) => a.iter().map(words).sum(),
        Value::Object(o) => o.get("content").map_or(0, words),
        _ => 0,
    }
}

/// Serves one request.
pub async fn handle(engine: Rc<Engine>, req: Request) -> Response<Body> {
    let chat = match req.path() {
        "/v1/chat/completions" => true,
        "/v1/completions" => false,
        "/stats" => return answer(StatusCode::OK, &engine.stats()),
        _ => return answer(StatusCode::NOT_FOUND, &json!({ "error": "no such path" })),
    };
    let Ok(ask) = serde_json::from_slice::<Value>(&body(req).await) else {
        return answer(StatusCode::BAD_REQUEST, &json!({ "error": "not JSON" }));
    };
    match engine.fault.as_str() {
        "busy" => return answer(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": "busy" })),
        "mute" => std::future::pending().await,
        _ => {}
    }
    add(&engine.started, 1);
    let (tx, rx) = mpsc::channel(1);
    actix_rt::spawn(generate(engine, ask, chat, tx));
    let mut r = Response::with_body(StatusCode::OK, Body::Pieces(rx));
    r.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    r
}

/// Tokens of its answer that the request already holds.
fn made_before(ask: &Value) -> u64 {
    let last = match ask["continue_final_message"] {
        Value::Bool(true) => ask["messages"].as_array().and_then(|m| m.last()?["content"].as_str()),
        _ => ask["prompt"].as_str(),
    };
    let words = last.unwrap_or_default().split_whitespace().rev();
    let own = |w: &str| w.strip_prefix('w').is_some_and(|n| n.parse::<u64>().is_ok());
    words.take_while(|w| own(w)).count() as u64
}

async fn generate(engine: Rc<Engine>, ask: Value, chat: bool, tx: mpsc::Sender<Bytes>) {
    let prompt = words(&ask["messages"]) + words(&ask["prompt"]);
    let made = made_before(&ask);
    add(&engine.prompted, prompt);
    let asked = ask["max_tokens"].as_u64().unwrap_or(u64::MAX);
    let count = match engine.fault.as_str() {
        "overrun" => asked.saturating_mul(2),
        _ => engine.tokens.saturating_sub(made).min(asked),
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
        let crossed = engine.fault == "cross" && n == 3;
        let id = if crossed { "gen-of-another" } else { &id };
        let finish = (n == count).then_some(if count == asked { "length" } else { "stop" });
        let event = event(&engine, id, chat, (made, n), prompt, finish);
        let piece = Bytes::from(format!("data: {event}\n\n"));
        if tx.send(piece).await.is_err() {
            return add(&engine.cancelled, 1);
        }
    }
    add(&engine.finished, 1);
    // A caller that has gone does not matter any more.
    let _ = tx.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
}

fn event(
    engine: &Engine,
    id: &str,
    chat: bool,
    (made, n): (u64, u64),
    prompt: u64,
    finish: Option<&str>,
) -> Value {
    let text = format!("w{} ", made + n);
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
