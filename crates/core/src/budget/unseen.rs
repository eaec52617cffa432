//! What an engine may have made of a stream that broke off, beyond what its router has read.
//!
//! An engine goes on until it notices that its connection is closed, and what it made while its router read
//! nothing, as the caller took nothing, lies on the way. How much that is follows from the pace at which it
//! made what was read.

use std::time::Duration;

/// How long an engine may take to notice that its connection is closed.
const NOTICED_WITHIN: Duration = Duration::from_millis(50);

/// The time between two events, until some have come.
const GAP_GUESS: Duration = Duration::from_millis(20);

/// An engine may make events faster than it did before, so many times.
const FASTER: u32 = 2;

/// Events that are on their way, at least.
const ON_THEIR_WAY: u64 = 2;

/// The pace of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    events: u64,
    /// From the first event to the last.
    span: Duration,
    /// For how long nothing was read.
    held_up: Duration,
    /// More had come than was read.
    lost_track: bool,
}

impl Pace {
    /// Notes that so many events have come until `span` after the first.
    pub fn came(&mut self, events: u64, span: Duration) {
        self.events += events;
        self.span = span;
    }

    /// Notes that nothing was read for a while, as the caller took nothing.
    pub fn held_up(&mut self, span: Duration) {
        self.held_up += span;
    }

    /// Notes that more had come than was read: nobody knows how much.
    pub fn lose_track(&mut self) {
        self.lost_track = true;
    }

    /// The most events that may have been made unseen. The engine went on while nothing was read: the time in
    /// which what came was made is without that.
    pub fn unseen(&self) -> u64 {
        if self.lost_track {
            return u64::MAX;
        }
        let gap = match self.events {
            0 | 1 => GAP_GUESS,
            n => self.span.saturating_sub(self.held_up) / (n - 1).min(u64::from(u32::MAX)) as u32,
        };
        let made_in = (self.held_up + NOTICED_WITHIN) * FASTER;
        let made = made_in.as_micros().div_ceil(gap.as_micros().max(1));
        u64::try_from(made).unwrap_or(u64::MAX).max(ON_THEIR_WAY)
    }
}
