//! Attribution of late answers: which part of a request's processing made it miss its latency
//! objective.

use std::time::Duration;

/// The time that one answered streaming request spent in each phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencyBreakdown {
    /// From the request's arrival until its tokens were reserved.
    pub reservation: Duration,
    /// From the reservation until the request was sent to the replica that sent the first event.
    pub gateway: Duration,
    /// From sending until the first event.
    pub first_event: Duration,
    /// The longest pause between two events from replicas.
    pub pause: Duration,
    /// The longest time that an event took from its replica's connection to the caller's.
    pub forwarding: Duration,
}

/// The latency objective of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyObjective {
    /// The longest time until the first event.
    pub first_event: Duration,
    /// The longest pause between events; `None` if unlimited.
    pub max_pause: Option<Duration>,
}

/// The main cause of a late stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateCause {
    /// It waited for the reservation of its tokens.
    Reservation,
    /// It waited at the gateway, or earlier attempts failed.
    Gateway,
    /// The replica took too long to send the first event.
    FirstEvent,
    /// The replica paused between events.
    Pause,
    /// The gateway delayed an event.
    Forwarding,
}

impl LateCause {
    /// Returns its name in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            LateCause::Reservation => "tokens",
            LateCause::Gateway => "gateway",
            LateCause::FirstEvent => "first_event",
            LateCause::Pause => "pause",
            LateCause::Forwarding => "passing",
        }
    }
}

/// Returns the main cause of a late stream, or `None` if the stream met its objective.
pub fn late_cause(s: &LatencyBreakdown, objective: &LatencyObjective) -> Option<LateCause> {
    if s.reservation + s.gateway + s.first_event > objective.first_event {
        let spans = [
            (s.reservation, LateCause::Reservation),
            (s.gateway, LateCause::Gateway),
            (s.first_event, LateCause::FirstEvent),
        ];
        return spans.into_iter().max_by_key(|(span, _)| *span).map(|(_, cause)| cause);
    }
    let max_pause = objective.max_pause?;
    if s.pause > max_pause {
        return Some(LateCause::Pause);
    }
    (s.pause + s.forwarding > max_pause).then_some(LateCause::Forwarding)
}
