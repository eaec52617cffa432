//! A model request's body: what it asks for, and how many tokens it can cost at most.

use cypressfork_core::code::Code;
use cypressfork_core::route::PromptPrefixes;
use cypressfork_core::unit::Tokens;
use serde_json::{Map, Value, json};

use crate::reply::Refusal;

/// Tokens that an engine's chat template may add for one message.
const MESSAGE_OVERHEAD: u64 = 16;

/// Tokens that an engine may add for a whole prompt.
const PROMPT_OVERHEAD: u64 = 16;

/// Bytes of a text prompt that make one step of its trail.
const PIECE: usize = 256;

/// Which of the two forms a request has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl Form {
    /// The path, the same towards engines.
    pub fn path(self) -> &'static str {
        match self {
            Form::Chat => "/v1/chat/completions",
            Form::Text => "/v1/completions",
        }
    }
}

/// A model request.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// Its form.
    pub form: Form,
    /// The model's name.
    pub model: String,
    /// The caller wants a stream.
    pub stream: bool,
    /// The caller wants the usage in the stream.
    pub usage: bool,
    /// The most tokens that the prompt can have: no tokenizer makes more tokens than bytes.
    pub prompt_bound: Tokens,
    /// The most tokens that the caller wants generated.
    pub max_output: Option<Tokens>,
    body: Map<String, Value>,
}

fn bad(detail: impl Into<String>) -> Refusal {
    Refusal::from(Code::BodyNotJson).detail(detail)
}

fn bytes_of(v: &Value) -> u64 {
    match v {
        Value::Null => 0,
        Value::Bool(_) => 8,
        Value::Number(n) => n.to_string().len() as u64,
        Value::String(s) => s.len() as u64,
        Value::Array(a) => a.iter().map(bytes_of).sum(),
        Value::Object(o) => o.iter().map(|(k, v)| k.len() as u64 + 8 + bytes_of(v)).sum(),
    }
}

fn number(body: &Map<String, Value>, key: &str) -> Result<Option<u64>, Refusal> {
    match body.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(v) => match v.as_u64() {
            Some(n) if n > 0 => Ok(Some(n)),
            _ => Err(bad(format!("{key} must be a whole number above 0"))),
        },
    }
}

fn flag(body: &Map<String, Value>, key: &str) -> Result<bool, Refusal> {
    match body.get(key) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(b)) => Ok(*b),
        Some(_) => Err(bad(format!("{key} must be true or false"))),
    }
}

fn prompt_bound(form: Form, body: &Map<String, Value>) -> Result<Tokens, Refusal> {
    let extra = ["tools", "functions", "response_format", "suffix"];
    let extra: u64 = extra.iter().filter_map(|k| body.get(*k)).map(bytes_of).sum();
    let main = match (form, body.get("messages"), body.get("prompt")) {
        (Form::Chat, Some(Value::Array(m)), _)
            if !m.is_empty() && m.iter().all(Value::is_object) =>
        {
            m.iter().map(|m| bytes_of(m) + MESSAGE_OVERHEAD).sum()
        }
        (Form::Chat, ..) => return Err(bad("messages must be a list of objects, not empty")),
        (Form::Text, _, Some(Value::String(s))) => s.len() as u64,
        (Form::Text, ..) => return Err(bad("prompt must be a text")),
    };
    Ok(main + extra + PROMPT_OVERHEAD)
}

impl Ask {
    /// Reads a body.
    pub fn read(form: Form, bytes: &[u8]) -> Result<Ask, Refusal> {
        let body: Value = serde_json::from_slice(bytes).map_err(|e| bad(e.to_string()))?;
        let Value::Object(body) = body else { return Err(bad("expected an object")) };
        let Some(Value::String(model)) = body.get("model") else {
            return Err(bad("model must be a text"));
        };
        for key in ["n", "best_of"] {
            if number(&body, key)?.is_some_and(|n| n > 1) {
                return Err(bad(format!("{key} above 1 is not supported")));
            }
        }
        let usage = body.get("stream_options").and_then(|o| o.get("include_usage"));
        let completion = number(&body, "max_completion_tokens")?;
        Ok(Ask {
            form,
            model: model.clone(),
            stream: flag(&body, "stream")?,
            usage: usage == Some(&Value::Bool(true)),
            prompt_bound: prompt_bound(form, &body)?,
            max_output: completion.or(number(&body, "max_tokens")?),
            body,
        })
    }

    /// The prompt's growing prefixes, by message or by piece of text.
    pub fn trail(&self) -> PromptPrefixes {
        let messages = self.body.get("messages").and_then(Value::as_array);
        if let Some(messages) = messages {
            let parts: Vec<_> = messages.iter().map(Value::to_string).collect();
            return PromptPrefixes::new(parts.iter().map(String::as_bytes));
        }
        let prompt = self.body.get("prompt").and_then(Value::as_str).unwrap_or_default();
        PromptPrefixes::new(prompt.as_bytes().chunks(PIECE))
    }

    /// The most tokens to generate under a service's limit.
    pub fn output_cap(&self, limit: Tokens) -> Tokens {
        self.max_output.map_or(limit, |n| n.min(limit))
    }

    /// The body for an engine: always a stream, with the usage in every event where the engine
    /// can, and no more tokens than `cap`. With a `text` the engine goes on from it, as the last
    /// message that it is to continue.
    pub fn for_engine(&self, cap: Tokens, text: &str) -> Vec<u8> {
        let mut body = self.body.clone();
        body.remove("max_completion_tokens");
        body.insert("max_tokens".into(), cap.into());
        body.insert("stream".into(), true.into());
        let options = json!({ "include_usage": true, "continuous_usage_stats": true });
        body.insert("stream_options".into(), options);
        if !text.is_empty() {
            self.go_on(&mut body, text);
        }
        Value::Object(body).to_string().into_bytes()
    }

    fn go_on(&self, body: &mut Map<String, Value>, text: &str) {
        match self.form {
            Form::Chat => {
                if let Some(Value::Array(messages)) = body.get_mut("messages") {
                    messages.push(json!({ "role": "assistant", "content": text }));
                }
                body.insert("continue_final_message".into(), true.into());
                body.insert("add_generation_prompt".into(), false.into());
            }
            Form::Text => {
                let prompt = body.get("prompt").and_then(Value::as_str).unwrap_or_default();
                let longer = format!("{prompt}{text}");
                body.insert("prompt".into(), longer.into());
            }
        }
    }
}
