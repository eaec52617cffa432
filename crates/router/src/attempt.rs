//! One run of a request on one engine. An answer that breaks off is taken up by another attempt.

use std::time::Duration;

use cypressfork_core::route::Choice;
use cypressfork_core::unit::Tokens;
use tokio::time::Instant;

use crate::count::{Counter, Usage};
use crate::hold::Hold;

/// One run on one engine, with the tokens reserved for it.
pub struct Attempt {
    hold: Hold,
    counter: Counter,
    /// The most tokens that it may generate.
    pub cap: Tokens,
    /// Bytes of the answer that came from the attempts before it.
    pub text_before: usize,
    /// It was sent to an engine that may have run it.
    pub dispatched: bool,
    sent_at: Instant,
    began: bool,
    engine_id: Option<String>,
}

impl Attempt {
    /// A attempt that has not begun.
    pub fn new(hold: Hold, prompt_bound: Tokens, cap: Tokens, text_before: usize) -> Attempt {
        Attempt {
            hold,
            counter: Counter::new(prompt_bound, cap),
            cap,
            text_before,
            dispatched: false,
            sent_at: Instant::now(),
            began: false,
            engine_id: None,
        }
    }

    /// The tokens reserved for it.
    pub fn hold(&self) -> &Hold {
        &self.hold
    }

    /// Notes a try.
    pub fn sending(&mut self) {
        self.sent_at = Instant::now();
    }

    /// Notes the engine's first bytes; returns the time they took, the first time.
    pub fn begin(&mut self) -> Option<Duration> {
        let first = !std::mem::replace(&mut self.began, true);
        first.then(|| self.sent_at.elapsed())
    }

    /// Counts an event's text and usage.
    pub fn add(&mut self, text: usize, usage: Option<Usage>) {
        self.counter.add(text, usage);
        self.hold.charge(self.counter.charge().total());
    }

    /// Whether the engine generates more than was asked for.
    pub fn is_over(&self) -> bool {
        self.counter.is_over()
    }

    /// Whether the engine's count cannot be right.
    pub fn is_odd(&self) -> bool {
        self.counter.is_odd()
    }

    /// Whether an event with this id belongs to this attempt's answer: all carry one.
    pub fn is_own(&mut self, id: &str) -> bool {
        self.engine_id.get_or_insert_with(|| id.to_owned()) == id
    }

    /// The engine's id of the answer.
    pub fn engine_id(&self) -> Option<&str> {
        self.engine_id.as_deref()
    }

    /// What it used, once it was dispatched.
    pub fn usage(&self) -> Usage {
        if self.dispatched { self.counter.charge() } else { Usage::default() }
    }

    /// Charges what it used: nothing more will come.
    pub fn close(&mut self) {
        self.hold.charge(self.usage().total());
    }
}

/// An engine that answers.
pub struct Answering {
    /// Where, and what was expected of it.
    pub choice: Choice,
    /// Its answer, whose body is still to come.
    pub response: awc::ClientResponse,
}
