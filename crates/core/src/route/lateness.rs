//! Why the answer to a request was late: where its time went, against what its route aims at.

use std::time::Duration;

/// Where the time of one answered stream went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spans {
    /// From its arrival until its tokens were set aside.
    pub tokens: Duration,
    /// From then until it was sent to the replica that sent the first event.
    pub gateway: Duration,
    /// From then until the first event came.
    pub first: Duration,
    /// The longest pause between two events from replicas.
    pub pause: Duration,
    /// The longest time that an event took from its replica's connection to the caller's.
    pub passing: Duration,
}

/// What a route aims at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aim {
    /// The time until the first event.
    pub first: Duration,
    /// The longest pause between events; none: any is in time.
    pub pause: Option<Duration>,
}

/// The largest cause of a late stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It waited for its tokens.
    Tokens,
    /// It waited at the gateway, or attempts before the last failed.
    Gateway,
    /// The replica took long to send the first event.
    First,
    /// The replica paused between events.
    Pause,
    /// The gateway passed an event on late.
    Passing,
}

impl Cause {
    /// Its name in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Tokens => "tokens",
            Cause::Gateway => "gateway",
            Cause::First => "first_event",
            Cause::Pause => "pause",
            Cause::Passing => "passing",
        }
    }
}

/// Why a stream was late; none if it was in time.
pub fn cause(s: &Spans, aim: &Aim) -> Option<Cause> {
    if s.tokens + s.gateway + s.first > aim.first {
        let spans =
            [(s.tokens, Cause::Tokens), (s.gateway, Cause::Gateway), (s.first, Cause::First)];
        return spans.into_iter().max_by_key(|(span, _)| *span).map(|(_, cause)| cause);
    }
    let most = aim.pause?;
    if s.pause > most {
        return Some(Cause::Pause);
    }
    (s.pause + s.passing > most).then_some(Cause::Passing)
}
