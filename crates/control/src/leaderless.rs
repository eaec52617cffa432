//! Measures how long a control process is without a known leader of its group.

use cypressfork_core::unit::{Millis, Time};
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::counter;

/// Measures the time without a known leader.
#[derive(Debug, Default)]
pub struct LeaderlessTimer {
    /// Start of the current period without a leader.
    since: Option<Time>,
    /// Time up to which the metric is updated.
    counted_until: Time,
}

impl LeaderlessTimer {
    /// Adds the time without a leader since the last call to the metric, and logs the whole period once
    /// a leader is known again.
    pub fn update(&mut self, now: Time, has_leader: bool) {
        let Some(since) = self.since else {
            if !has_leader {
                self.since = Some(now);
                self.counted_until = now;
            }
            return;
        };
        counter!(metric::WITHOUT_LEADER).increment(now.since(self.counted_until).0);
        self.counted_until = now;
        if has_leader {
            let Millis(span) = now.since(since);
            emit!(Event::LeaderKnown, without_ms = span);
            self.since = None;
        }
    }
}
