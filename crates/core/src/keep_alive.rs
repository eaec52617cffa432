//! Keep-alive probes on a link whose messages get no responses.
//!
//! A connection can stop carrying bytes without an error at either end. Probes of the operating system
//! do not show this if something between the two processes acknowledges them, so the process at the
//! other end has to answer.

use crate::unit::{Millis, Time};

/// Time without an unanswered probe after which the next one is sent.
pub const PROBE_INTERVAL: Millis = Millis(1_000);

/// Time that the peer has to answer a probe. Longer than a process may be paused.
pub const ANSWER_TIMEOUT: Millis = Millis(1_500);

/// Interval at which [`KeepAlive::tick`] is to be called.
pub const TICK_INTERVAL: Millis = Millis(250);

/// Maximum time that counts between two calls of [`KeepAlive::tick`].
const MAX_STEP: Millis = Millis(2 * TICK_INTERVAL.0);

/// What to do on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing.
    Wait,
    /// Send a probe.
    Probe,
    /// Give the link up: the peer has not answered the last probe in time.
    GiveUp,
}

/// The probes on one link.
#[derive(Clone, Debug)]
pub struct KeepAlive {
    last_tick: Time,
    /// Time since the last probe or its answer, without pauses of this process.
    waited: Millis,
    awaits_answer: bool,
}

impl KeepAlive {
    /// Starts on a link that was opened at `now`.
    pub fn new(now: Time) -> KeepAlive {
        KeepAlive { last_tick: now, waited: Millis(0), awaits_answer: false }
    }

    /// Returns what to do at `now`. After [`Action::Probe`] the answer is awaited.
    pub fn tick(&mut self, now: Time) -> Action {
        // An answer that arrived while this process was paused has not been read yet.
        let step = now.since(self.last_tick).0.min(MAX_STEP.0);
        self.last_tick = now;
        self.waited.0 += step;
        match self.awaits_answer {
            true if self.waited >= ANSWER_TIMEOUT => Action::GiveUp,
            false if self.waited >= PROBE_INTERVAL => {
                self.awaits_answer = true;
                self.waited = Millis(0);
                Action::Probe
            }
            _ => Action::Wait,
        }
    }

    /// Records that the peer has answered.
    pub fn record_answer(&mut self) {
        self.awaits_answer = false;
        self.waited = Millis(0);
    }
}
