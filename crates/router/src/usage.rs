//! Counts the tokens that a run on an engine has used.

use cypressfork_core::unit::Tokens;
use serde_json::Value;

/// The token usage of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Generated tokens.
    pub output: Tokens,
}

impl Usage {
    /// Returns the sum of prompt and generated tokens.
    pub fn total(self) -> Tokens {
        self.prompt + self.output
    }

    /// Returns the sum of two usages.
    pub fn plus(self, other: Usage) -> Usage {
        Usage { prompt: self.prompt + other.prompt, output: self.output + other.output }
    }
}

/// Counts the tokens of a stream from its events and the usage that the engine reports.
#[derive(Clone, Copy, Debug)]
pub struct UsageCounter {
    prompt_bound: Tokens,
    output_cap: Tokens,
    reported: Option<Usage>,
    /// Events with text, each of which holds at least one token.
    text_events: u64,
    /// Bytes of text since the last reported usage. A tokenizer never produces more tokens than
    /// bytes.
    unreported_bytes: u64,
}

impl UsageCounter {
    /// Creates a counter for a stream with tokens reserved up to these bounds.
    pub fn new(prompt_bound: Tokens, output_cap: Tokens) -> UsageCounter {
        UsageCounter {
            prompt_bound,
            output_cap,
            reported: None,
            text_events: 0,
            unreported_bytes: 0,
        }
    }

    /// Counts an event with `text_len` bytes of text and the usage it reports.
    pub fn add_event(&mut self, text_len: usize, usage: Option<Usage>) {
        if text_len > 0 {
            self.text_events += 1;
            self.unreported_bytes += text_len as u64;
        }
        if let Some(u) = usage {
            let last = self.reported.unwrap_or_default();
            let output = last.output.max(u.output);
            self.reported = Some(Usage { prompt: last.prompt.max(u.prompt), output });
            self.unreported_bytes = 0;
        }
    }

    /// Returns whether more tokens were generated than the output cap.
    pub fn exceeds_cap(&self) -> bool {
        self.text_events > self.output_cap
            || self.reported.is_some_and(|u| u.output > self.output_cap)
    }

    /// Returns whether the engine reported no usage, fewer output tokens than events with text, or
    /// more prompt tokens than the bound.
    pub fn is_implausible(&self) -> bool {
        self.reported.is_none_or(|u| u.output < self.text_events || u.prompt > self.prompt_bound)
    }

    /// Returns the usage to charge: the engine's count, at least the number of events with text and
    /// at most the reserved amount. Text without a later reported usage is charged by its bytes.
    pub fn charged_usage(&self) -> Usage {
        let (prompt, reported_output) = match self.reported {
            Some(u) => (u.prompt, u.output),
            None => (self.prompt_bound, 0),
        };
        let output = (reported_output + self.unreported_bytes).max(self.text_events);
        Usage { prompt: prompt.min(self.prompt_bound), output: output.min(self.output_cap) }
    }
}

/// Returns the text of an event of either API, and its finish reason.
pub fn event_text(event: &Value) -> (&str, Option<&str>) {
    let Some(choice) = event["choices"].get(0) else { return ("", None) };
    let text = choice["delta"]["content"].as_str().or(choice["text"].as_str()).unwrap_or("");
    (text, choice["finish_reason"].as_str())
}

/// Returns the usage that an event reports, if any.
pub fn event_usage(event: &Value) -> Option<Usage> {
    let u = event.get("usage")?;
    Some(Usage { prompt: u["prompt_tokens"].as_u64()?, output: u["completion_tokens"].as_u64()? })
}
