//! Attribution of late answers: which part of a request's processing made it miss its latency
//! objective.

use std::time::Duration;

/// The time that one answered stream spent in each phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spans {
    /// From its arrival until its tokens were reserved.
    pub tokens: Duration,
    /// From the reservation until the request was sent to the replica that sent the first event.
    pub gateway: Duration,
    /// From sending until the first event.
    pub first: Duration,
    /// The longest pause between two events from replicas.
    pub pause: Duration,
    /// The longest time that an event took from its replica's connection to the caller's.
    pub passing: Duration,
}

/// The latency objective of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aim {
    /// The longest time until the first event.
    pub first: Duration,
    /// The longest pause between events; none: unlimited.
    pub pause: Option<Duration>,
}

/// The main cause of a late stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It waited for the reservation of its tokens.
    Tokens,
    /// It waited at the gateway, or earlier attempts failed.
    Gateway,
    /// The replica took too long to send the first event.
    First,
    /// The replica paused between events.
    Pause,
    /// The gateway delayed an event.
    Passing,
}

impl Cause {
    /// Returns its name in metrics and log lines.
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

/// Returns the main cause of a late stream; none if the stream met its objective.
pub fn cause(s: &Spans, objective: &Aim) -> Option<Cause> {
    if s.tokens + s.gateway + s.first > objective.first {
        let spans =
            [(s.tokens, Cause::Tokens), (s.gateway, Cause::Gateway), (s.first, Cause::First)];
        return spans.into_iter().max_by_key(|(span, _)| *span).map(|(_, cause)| cause);
    }
    let max_pause = objective.pause?;
    if s.pause > max_pause {
        return Some(Cause::Pause);
    }
    (s.pause + s.passing > max_pause).then_some(Cause::Passing)
}
