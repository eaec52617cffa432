//! Measures how long a stream spends in each phase, and reports streams that miss their objective.

use std::time::Duration;

use cypressfork_core::budget::UnreadEstimate;
use cypressfork_core::route::lateness::{LatencyBreakdown, LatencyObjective, late_cause};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::metric;
use metrics::counter;
use tokio::time::Instant;

/// Timing of one stream.
#[derive(Debug)]
pub struct StreamTiming {
    arrived: Instant,
    /// When its tokens were reserved.
    reserved: Instant,
    /// When the first and the last event were received from a replica.
    first_event: Option<Instant>,
    last_event: Option<Instant>,
    unread: UnreadEstimate,
    breakdown: LatencyBreakdown,
}

impl StreamTiming {
    /// Starts the timing of a request that arrived at `arrived` and whose tokens were reserved just now.
    pub fn new(arrived: Instant) -> StreamTiming {
        let reserved = Instant::now();
        let breakdown =
            LatencyBreakdown { reservation: reserved - arrived, ..LatencyBreakdown::default() };
        StreamTiming {
            arrived,
            reserved,
            first_event: None,
            last_event: None,
            unread: UnreadEstimate::default(),
            breakdown,
        }
    }

    /// Returns the estimate of the events that were generated but not read.
    pub fn unread(&self) -> &UnreadEstimate {
        &self.unread
    }

    /// Records the events that were received but not forwarded when the stream was cut off. `all` is false
    /// if there may be more of them.
    pub fn record_buffered(&mut self, events: u64, all: bool) {
        self.unread.record_events(
            events,
            self.first_event.map_or(Duration::ZERO, |first| first.elapsed()),
        );
        if !all {
            self.unread.mark_unbounded();
        }
    }

    /// Records that `events` events were received from a replica to which the request was sent at `sent`.
    pub fn record_events(&mut self, sent: Instant, events: u64) {
        let now = Instant::now();
        self.unread.record_events(events, now - *self.first_event.get_or_insert(now));
        match self.last_event.replace(now) {
            Some(previous) => self.breakdown.pause = self.breakdown.pause.max(now - previous),
            None => {
                self.breakdown.gateway = sent.saturating_duration_since(self.reserved);
                self.breakdown.first_event = now.saturating_duration_since(sent);
            }
        }
    }

    /// Records that the gateway spent `took` on writing the last events to the caller's connection,
    /// whether it succeeded or not.
    pub fn record_forwarded(&mut self, took: Duration) {
        self.unread.record_stall(took);
        if let Some(received) = self.last_event {
            self.breakdown.forwarding = self.breakdown.forwarding.max(received.elapsed());
        }
    }

    /// Records that events have been held for the caller for `span`. The replica's stream was read meanwhile.
    pub fn record_held(&mut self, span: Duration) {
        self.breakdown.forwarding = self.breakdown.forwarding.max(span);
    }

    /// Logs and counts the stream with the main cause if it missed `objective`.
    pub fn report(&self, id: &str, replica: &str, objective: &LatencyObjective) {
        let Some(cause) = late_cause(&self.breakdown, objective) else { return };
        counter!(metric::LATE, "cause" => cause.as_str()).increment(1);
        let ms = |span: Duration| span.as_millis();
        emit!(
            Event::StreamLate,
            id = id,
            replica = replica,
            cause = cause.as_str(),
            tokens_ms = ms(self.breakdown.reservation),
            gateway_ms = ms(self.breakdown.gateway),
            first_ms = ms(self.breakdown.first_event),
            pause_ms = ms(self.breakdown.pause),
            passing_ms = ms(self.breakdown.forwarding),
            whole_ms = ms(self.arrived.elapsed()),
        );
    }
}
