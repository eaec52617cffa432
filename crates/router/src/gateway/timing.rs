//! Where the time of a stream goes, measured as it passes.

use std::time::Duration;

use cypressfork_core::budget::UnreadEstimate;
use cypressfork_core::route::lateness::{LatencyBreakdown, LatencyObjective, late_cause};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::metric;
use metrics::counter;
use tokio::time::Instant;

/// The times of one stream.
#[derive(Debug)]
pub struct Timing {
    arrived: Instant,
    /// When its tokens were set aside.
    funded: Instant,
    /// When events first and last came from a replica.
    first: Option<Instant>,
    event: Option<Instant>,
    pace: UnreadEstimate,
    spans: LatencyBreakdown,
}

impl Timing {
    /// Times of a request that arrived at `arrived` and has its tokens now.
    pub fn new(arrived: Instant) -> Timing {
        let funded = Instant::now();
        let spans =
            LatencyBreakdown { reservation: funded - arrived, ..LatencyBreakdown::default() };
        Timing { arrived, funded, first: None, event: None, pace: UnreadEstimate::default(), spans }
    }

    /// The pace at which its events came.
    pub fn pace(&self) -> &UnreadEstimate {
        &self.pace
    }

    /// Notes what had come already when the stream broke off: so many events, and whether those were all.
    pub fn left(&mut self, events: u64, all: bool) {
        self.pace.record_events(events, self.first.map_or(Duration::ZERO, |first| first.elapsed()));
        if !all {
            self.pace.mark_unbounded();
        }
    }

    /// Notes that whole events came from a replica that was sent the request at `sent`.
    pub fn came(&mut self, sent: Instant, events: u64) {
        let now = Instant::now();
        self.pace.record_events(events, now - *self.first.get_or_insert(now));
        match self.event.replace(now) {
            Some(before) => self.spans.pause = self.spans.pause.max(now - before),
            None => {
                self.spans.gateway = sent.saturating_duration_since(self.funded);
                self.spans.first_event = now.saturating_duration_since(sent);
            }
        }
    }

    /// Notes that the caller's connection has taken the events that came last, or was waited for in vain.
    pub fn passed(&mut self, took: Duration) {
        self.pace.record_stall(took);
        if let Some(came) = self.event {
            self.spans.forwarding = self.spans.forwarding.max(came.elapsed());
        }
    }

    /// Tells of a stream that was answered late, and why.
    pub fn report(&self, id: &str, replica: &str, aim: &LatencyObjective) {
        let Some(cause) = late_cause(&self.spans, aim) else { return };
        counter!(metric::LATE, "cause" => cause.as_str()).increment(1);
        let ms = |span: Duration| span.as_millis();
        emit!(
            Event::StreamLate,
            id = id,
            replica = replica,
            cause = cause.as_str(),
            tokens_ms = ms(self.spans.reservation),
            gateway_ms = ms(self.spans.gateway),
            first_ms = ms(self.spans.first_event),
            pause_ms = ms(self.spans.pause),
            passing_ms = ms(self.spans.forwarding),
            whole_ms = ms(self.arrived.elapsed()),
        );
    }
}
