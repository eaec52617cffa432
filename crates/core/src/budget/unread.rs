//! Upper bound on the events that an engine generated for a broken stream but the router has not
//! read.
//!
//! An engine generates until it notices that its connection is closed. Events also accumulate in
//! buffers while the caller, and therefore the router, does not read. The bound follows from the
//! rate at which the engine generated the events that were read.

use std::time::Duration;

/// Time within which an engine notices that its connection is closed.
const CLOSE_NOTICE_TIME: Duration = Duration::from_millis(50);

/// Assumed time between two events before two have been read.
const DEFAULT_GAP: Duration = Duration::from_millis(20);

/// Factor by which an engine may exceed its earlier rate of events.
const MAX_SPEEDUP: u32 = 2;

/// Least number of events assumed to be in flight.
const MIN_IN_FLIGHT: u64 = 2;

/// Estimates the unread events of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnreadEstimate {
    /// Events read.
    events: u64,
    /// Time from the first event to the last.
    span: Duration,
    /// Time in which the stream was not read.
    stalled: Duration,
    /// Whether an unknown number of events was received but not read.
    unbounded: bool,
}

impl UnreadEstimate {
    /// Records `events` more events, the last of them `span` after the first of the stream.
    pub fn record_events(&mut self, events: u64, span: Duration) {
        self.events += events;
        self.span = span;
    }

    /// Records that the stream was not read for `span` because the caller did not read.
    pub fn record_stall(&mut self, span: Duration) {
        self.stalled += span;
    }

    /// Records that an unknown number of events was received but not read.
    pub fn mark_unbounded(&mut self) {
        self.unbounded = true;
    }

    /// Returns the most events that may have been generated but not read; `u64::MAX` if unknown.
    ///
    /// The engine's rate is taken from the time in which the stream was read.
    pub fn max_unread(&self) -> u64 {
        if self.unbounded {
            return u64::MAX;
        }
        let gap = match self.events {
            0 | 1 => DEFAULT_GAP,
            n => self.span.saturating_sub(self.stalled) / (n - 1).min(u64::from(u32::MAX)) as u32,
        };
        let unread_time = (self.stalled + CLOSE_NOTICE_TIME) * MAX_SPEEDUP;
        let generated = unread_time.as_micros().div_ceil(gap.as_micros().max(1));
        u64::try_from(generated).unwrap_or(u64::MAX).max(MIN_IN_FLIGHT)
    }
}
