//! How many tokens of its budget a request has used.

use crate::unit::Tokens;

/// Returns the tokens of a request's prompt that are to be charged. `last_event` is the number of the last event
/// that the caller has received, if it resumes a stream.
///
/// The prompt of a resumed stream was charged with its first event, by the gateway that forwarded it or by the
/// bound on that gateway's spending.
pub fn prompt_charge(prompt: Tokens, last_event: Option<u64>) -> Tokens {
    match last_event {
        Some(1..) => 0,
        _ => prompt,
    }
}

/// What a gateway knows of a request after its last attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of its prompt that are charged to it; see [`prompt_charge`].
    pub prompt: Tokens,
    /// Events received from replicas, over all attempts.
    pub events: u64,
    /// Maximum number of tokens per event.
    pub tokens_per_event: Tokens,
    /// Events that a replica may have generated but that were not received; 0 if the response is
    /// complete.
    pub unread: u64,
    /// Whether a replica's complete response was received.
    pub is_complete: bool,
}

impl TokenUsage {
    /// Returns the tokens to charge.
    ///
    /// The prompt is charged once, however many replicas were tried, and only if a replica has
    /// returned a part of the response. Otherwise the account has received nothing: while replicas
    /// reset connections, charging the prompts of such requests used up budgets that callers had
    /// not spent.
    pub fn charge(&self) -> Tokens {
        if self.events == 0 && !self.is_complete {
            return 0;
        }
        let events = self.events.saturating_add(self.unread);
        self.prompt.saturating_add(events.saturating_mul(self.tokens_per_event))
    }
}
