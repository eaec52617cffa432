//! Parses the body of a model request and computes the upper bound of its token usage.

use cypressfork_core::code::Code;
use cypressfork_core::route::PromptPrefixes;
use cypressfork_core::unit::Tokens;
use serde_json::{Map, Value, json};

use crate::reply::Refusal;

/// The most tokens that an engine's chat template adds per message.
const MESSAGE_OVERHEAD: u64 = 16;

/// The most tokens that an engine adds per prompt.
const PROMPT_OVERHEAD: u64 = 16;

/// Length by which successive prefixes of a text prompt grow, in bytes.
const PREFIX_STEP_BYTES: usize = 256;

/// The API that a model request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Api {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl Api {
    /// Returns the request path, which is the same at the router and at engines.
    pub fn path(self) -> &'static str {
        match self {
            Api::Chat => "/v1/chat/completions",
            Api::Text => "/v1/completions",
        }
    }
}

/// A parsed model request.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelRequest {
    /// The API it uses.
    pub api: Api,
    /// The model's name.
    pub model: String,
    /// Whether the caller requested a streamed response.
    pub stream: bool,
    /// Whether the caller requested a usage event at the end of the stream
    /// (`stream_options.include_usage`).
    pub include_usage: bool,
    /// Upper bound of the prompt's tokens. A tokenizer never produces more tokens than bytes.
    pub prompt_bound: Tokens,
    /// The caller's limit for generated tokens, if given.
    pub max_output: Option<Tokens>,
    body: Map<String, Value>,
}

fn invalid_body(detail: impl Into<String>) -> Refusal {
    Refusal::from(Code::BodyNotJson).detail(detail)
}

/// Returns an upper bound of the bytes that a JSON value adds to a prompt.
fn text_bytes(v: &Value) -> u64 {
    match v {
        Value::Null => 0,
        Value::Bool(_) => 8,
        Value::Number(n) => n.to_string().len() as u64,
        Value::String(s) => s.len() as u64,
        Value::Array(a) => a.iter().map(text_bytes).sum(),
        Value::Object(o) => o.iter().map(|(k, v)| k.len() as u64 + 8 + text_bytes(v)).sum(),
    }
}

fn positive_field(body: &Map<String, Value>, key: &str) -> Result<Option<u64>, Refusal> {
    match body.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(v) => match v.as_u64() {
            Some(n) if n > 0 => Ok(Some(n)),
            _ => Err(invalid_body(format!("{key} must be a whole number above 0"))),
        },
    }
}

fn bool_field(body: &Map<String, Value>, key: &str) -> Result<bool, Refusal> {
    match body.get(key) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(b)) => Ok(*b),
        Some(_) => Err(invalid_body(format!("{key} must be true or false"))),
    }
}

fn prompt_bound(api: Api, body: &Map<String, Value>) -> Result<Tokens, Refusal> {
    let extra = ["tools", "functions", "response_format", "suffix"];
    let extra: u64 = extra.iter().filter_map(|k| body.get(*k)).map(text_bytes).sum();
    let prompt = match (api, body.get("messages"), body.get("prompt")) {
        (Api::Chat, Some(Value::Array(m)), _)
            if !m.is_empty() && m.iter().all(Value::is_object) =>
        {
            m.iter().map(|m| text_bytes(m) + MESSAGE_OVERHEAD).sum()
        }
        (Api::Chat, ..) => {
            return Err(invalid_body("messages must be a list of objects, not empty"));
        }
        (Api::Text, _, Some(Value::String(s))) => s.len() as u64,
        (Api::Text, ..) => return Err(invalid_body("prompt must be a text")),
    };
    Ok(prompt + extra + PROMPT_OVERHEAD)
}

impl ModelRequest {
    /// Parses a request body. Returns a refusal if it is not JSON, a field has the wrong type, or
    /// more than one completion is requested.
    pub fn parse(api: Api, bytes: &[u8]) -> Result<ModelRequest, Refusal> {
        let body: Value = serde_json::from_slice(bytes).map_err(|e| invalid_body(e.to_string()))?;
        let Value::Object(body) = body else { return Err(invalid_body("expected an object")) };
        let Some(Value::String(model)) = body.get("model") else {
            return Err(invalid_body("model must be a text"));
        };
        for key in ["n", "best_of"] {
            if positive_field(&body, key)?.is_some_and(|n| n > 1) {
                return Err(invalid_body(format!("{key} above 1 is not supported")));
            }
        }
        let usage = body.get("stream_options").and_then(|o| o.get("include_usage"));
        let completion = positive_field(&body, "max_completion_tokens")?;
        Ok(ModelRequest {
            api,
            model: model.clone(),
            stream: bool_field(&body, "stream")?,
            include_usage: usage == Some(&Value::Bool(true)),
            prompt_bound: prompt_bound(api, &body)?,
            max_output: completion.or(positive_field(&body, "max_tokens")?),
            body,
        })
    }

    /// Returns the prompt's prefixes, one per message or per fixed-length step of text.
    pub fn prompt_prefixes(&self) -> PromptPrefixes {
        let messages = self.body.get("messages").and_then(Value::as_array);
        if let Some(messages) = messages {
            let parts: Vec<_> = messages.iter().map(Value::to_string).collect();
            return PromptPrefixes::new(parts.iter().map(String::as_bytes));
        }
        let prompt = self.body.get("prompt").and_then(Value::as_str).unwrap_or_default();
        PromptPrefixes::new(prompt.as_bytes().chunks(PREFIX_STEP_BYTES))
    }

    /// Returns the most tokens to generate: the caller's limit, but at most the service's.
    pub fn output_cap(&self, limit: Tokens) -> Tokens {
        self.max_output.map_or(limit, |n| n.min(limit))
    }

    /// Builds the body for an engine. It always requests a stream with at most `cap` tokens and
    /// with usage in every event, where the engine supports it. If `text` is not empty, the engine
    /// continues the response from that text.
    pub fn engine_body(&self, cap: Tokens, text: &str) -> Vec<u8> {
        let mut body = self.body.clone();
        body.remove("max_completion_tokens");
        body.insert("max_tokens".into(), cap.into());
        body.insert("stream".into(), true.into());
        let options = json!({ "include_usage": true, "continuous_usage_stats": true });
        body.insert("stream_options".into(), options);
        if !text.is_empty() {
            self.continue_from(&mut body, text);
        }
        Value::Object(body).to_string().into_bytes()
    }

    fn continue_from(&self, body: &mut Map<String, Value>, text: &str) {
        match self.api {
            Api::Chat => {
                if let Some(Value::Array(messages)) = body.get_mut("messages") {
                    messages.push(json!({ "role": "assistant", "content": text }));
                }
                body.insert("continue_final_message".into(), true.into());
                body.insert("add_generation_prompt".into(), false.into());
            }
            Api::Text => {
                let prompt = body.get("prompt").and_then(Value::as_str).unwrap_or_default();
                let prompt = format!("{prompt}{text}");
                body.insert("prompt".into(), prompt.into());
            }
        }
    }
}
