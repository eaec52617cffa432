//! Where the time of a stream goes, measured as it passes.

use std::time::Duration;

use cypressfork_core::route::lateness::{Aim, Spans, cause};
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
    /// When events last came from a replica.
    event: Option<Instant>,
    spans: Spans,
}

impl Timing {
    /// Times of a request that arrived at `arrived` and has its tokens now.
    pub fn new(arrived: Instant) -> Timing {
        let funded = Instant::now();
        let spans = Spans { tokens: funded - arrived, ..Spans::default() };
        Timing { arrived, funded, event: None, spans }
    }

    /// Notes that whole events came from a replica that was sent the request at `sent`.
    pub fn came(&mut self, sent: Instant) {
        let now = Instant::now();
        match self.event.replace(now) {
            Some(before) => self.spans.pause = self.spans.pause.max(now - before),
            None => {
                self.spans.gateway = sent.saturating_duration_since(self.funded);
                self.spans.first = now.saturating_duration_since(sent);
            }
        }
    }

    /// Notes that the caller's connection has taken the events that came last.
    pub fn passed(&mut self) {
        if let Some(came) = self.event {
            self.spans.passing = self.spans.passing.max(came.elapsed());
        }
    }

    /// Tells of a stream that was answered late, and why.
    pub fn report(&self, id: &str, replica: &str, aim: &Aim) {
        let Some(cause) = cause(&self.spans, aim) else { return };
        counter!(metric::LATE, "cause" => cause.as_str()).increment(1);
        let ms = |span: Duration| span.as_millis();
        emit!(
            Event::StreamLate,
            id = id,
            replica = replica,
            cause = cause.as_str(),
            tokens_ms = ms(self.spans.tokens),
            gateway_ms = ms(self.spans.gateway),
            first_ms = ms(self.spans.first),
            pause_ms = ms(self.spans.pause),
            passing_ms = ms(self.spans.passing),
            whole_ms = ms(self.arrived.elapsed()),
        );
    }
}
