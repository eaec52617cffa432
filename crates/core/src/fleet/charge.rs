//! What a request is charged once it has ended.
//!
//! An account pays for what it gets: the tokens of its prompt once, and those handed out. A request
//! of which nothing reached this router has given its caller nothing, though a replica may have read
//! its prompt: that work is its operator's loss. Where replicas lose answers and callers leave early,
//! such prompts were 2.0 of 134 and 4.4 of 121 million tokens that accounts of one fleet were charged
//! in a minute, and as much was refused to them at the end.

use crate::unit::Tokens;

/// Events that a replica may have sent unseen when a stream breaks off.
const UNSEEN: u64 = 2;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spent {
    /// A replica may have run it.
    pub ran: bool,
    /// Events that were taken from replicas.
    pub events: u64,
    /// Tokens of one event at most.
    pub stride: Tokens,
    /// The answer ended as it should.
    pub whole: bool,
}

impl Spent {
    /// The tokens to charge for it, where its prompt has `prompt`. A stream that broke off is charged
    /// for events that may have been sent unseen.
    pub fn charge(&self, prompt: Tokens) -> Tokens {
        if !self.ran || !(self.whole || self.events > 0) {
            return 0;
        }
        let events = if self.whole { self.events } else { self.events + UNSEEN };
        prompt + events * self.stride
    }
}
