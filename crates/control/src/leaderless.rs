//! For how long a control process has known no leader of its group.

use cypressfork_core::unit::{Millis, Time};
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::counter;

/// The time that a process spends without knowing a leader.
#[derive(Debug, Default)]
pub struct Leaderless {
    since: Option<Time>,
    counted: Time,
}

impl Leaderless {
    /// Takes whether a leader is known at `now`, and counts the time for which none was.
    pub fn note(&mut self, now: Time, led: bool) {
        let Some(since) = self.since else {
            if !led {
                self.since = Some(now);
                self.counted = now;
            }
            return;
        };
        counter!(metric::WITHOUT_LEADER).increment(now.since(self.counted).0);
        self.counted = now;
        if led {
            let Millis(span) = now.since(since);
            emit!(Event::LeaderKnown, without_ms = span);
            self.since = None;
        }
    }
}
