//! What an engine's stream has used so far.

use cypressfork_core::unit::Tokens;
use serde_json::Value;

/// Prompt and generated tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Of the prompt.
    pub prompt: Tokens,
    /// Generated.
    pub output: Tokens,
}

impl Usage {
    /// Both together.
    pub fn total(self) -> Tokens {
        self.prompt + self.output
    }

    /// The sum of two runs.
    pub fn plus(self, other: Usage) -> Usage {
        Usage { prompt: self.prompt + other.prompt, output: self.output + other.output }
    }
}

/// Counts along with a stream.
#[derive(Clone, Copy, Debug)]
pub struct Counter {
    prompt_bound: Tokens,
    output_cap: Tokens,
    reported: Option<Usage>,
    /// Events with text; each stands for one token at least.
    events: u64,
    /// Bytes of text since the last report; no tokenizer makes more tokens than bytes.
    unreported: u64,
}

impl Counter {
    /// Starts a count under the bounds that were reserved.
    pub fn new(prompt_bound: Tokens, output_cap: Tokens) -> Counter {
        Counter { prompt_bound, output_cap, reported: None, events: 0, unreported: 0 }
    }

    /// Takes the text and the usage of one event.
    pub fn add(&mut self, text: usize, usage: Option<Usage>) {
        if text > 0 {
            self.events += 1;
            self.unreported += text as u64;
        }
        if let Some(u) = usage {
            let last = self.reported.unwrap_or_default();
            let output = last.output.max(u.output);
            self.reported = Some(Usage { prompt: last.prompt.max(u.prompt), output });
            self.unreported = 0;
        }
    }

    /// Whether more was generated than was asked for.
    pub fn is_over(&self) -> bool {
        self.events > self.output_cap || self.reported.is_some_and(|u| u.output > self.output_cap)
    }

    /// Whether the engine's count cannot be right.
    pub fn is_odd(&self) -> bool {
        self.reported.is_none_or(|u| u.output < self.events || u.prompt > self.prompt_bound)
    }

    /// What is charged: the engine's count, never below what was seen and never above what was
    /// reserved. Text after the last report, and all of it if there was none, counts by its bytes.
    pub fn charge(&self) -> Usage {
        let (prompt, base) = match self.reported {
            Some(u) => (u.prompt, u.output),
            None => (self.prompt_bound, 0),
        };
        let output = (base + self.unreported).max(self.events);
        Usage { prompt: prompt.min(self.prompt_bound), output: output.min(self.output_cap) }
    }
}

/// The text of an event in either form, and its finish reason.
pub fn text_of(event: &Value) -> (&str, Option<&str>) {
    let Some(choice) = event["choices"].get(0) else { return ("", None) };
    let text = choice["delta"]["content"].as_str().or(choice["text"].as_str()).unwrap_or("");
    (text, choice["finish_reason"].as_str())
}

/// The usage that an event reports.
pub fn usage_of(event: &Value) -> Option<Usage> {
    let u = event.get("usage")?;
    Some(Usage { prompt: u["prompt_tokens"].as_u64()?, output: u["completion_tokens"].as_u64()? })
}
