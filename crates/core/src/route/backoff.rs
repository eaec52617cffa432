//! Backoff requested by replicas: a replica that rejects a request may ask the router to send
//! nothing for some time.
//!
//! A backoff applies to one router; others continue until they receive their own. Routers that were
//! rejected at about the same time resume at the same time, so each one resumes with a single
//! request and sends more only as the replica accepts them (slow start).

use crate::unit::{Millis, Time, parse_thousandths};

/// The `Retry-After` header of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryAfter {
    /// The response has none.
    #[default]
    Absent,
    /// Send nothing for this time.
    Delay(Millis),
    /// The header is not a valid duration.
    Invalid,
}

impl RetryAfter {
    /// Parses a number of seconds, which may have a fraction.
    pub fn parse(text: &str) -> RetryAfter {
        parse_thousandths(text).map_or(RetryAfter::Invalid, |ms| RetryAfter::Delay(Millis(ms)))
    }

    /// Combines two headers of one response: the longer backoff wins, and a valid one wins over an
    /// invalid one.
    #[must_use]
    pub fn merge(self, other: RetryAfter) -> RetryAfter {
        match (self, other) {
            (RetryAfter::Delay(a), RetryAfter::Delay(b)) => RetryAfter::Delay(a.max(b)),
            (RetryAfter::Delay(_), _) => self,
            (RetryAfter::Absent, _) | (_, RetryAfter::Delay(_)) => other,
            (RetryAfter::Invalid, _) => self,
        }
    }
}

/// The longest backoff after a rejection by a replica that bears only so many.
const MAX_REJECTION_BACKOFF: Millis = Millis::seconds(10);

/// The router that was rejected backs off for this many times as long as the others.
const REJECTED_FACTOR: u64 = 8;

/// Returns the backoffs of `routers` routers after a rejection by a replica that fails if it rejects more than
/// `max_per_second` requests a second of all routers together: that of the router that was rejected, and the longest
/// of the others, which draw theirs. Each router may be rejected as often as its share of that number allows; the
/// others pause only until a request has probably ended.
pub fn rejection_backoff(routers: u64, max_per_second: u32) -> (Millis, Millis) {
    let share = Millis(1_000 * routers.max(1) / u64::from(max_per_second.max(1)));
    let own = share.min(MAX_REJECTION_BACKOFF);
    (own, Millis(own.0 / REJECTED_FACTOR))
}

/// Slow start doubles the concurrency limit up to the number of requests outstanding when the
/// backoff began, divided by this. Above that the limit grows by one per round of accepted
/// requests.
const SLOW_START_DIVISOR: u32 = 2;

/// One router's limits at a replica that requested a backoff: no requests until it ends, then a
/// single one, and more as they are accepted, until the limit reaches the replica's slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    state: Option<State>,
}

/// The state of a backoff or of the slow start after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct State {
    /// When the backoff ends.
    until: Time,
    /// Ticket of the last request sent before the backoff.
    last_before: u64,
    /// Outstanding requests that were sent after the backoff.
    in_flight: u32,
    /// The most requests that may be in flight.
    max_in_flight: u32,
    /// `max_in_flight` doubles per round up to here, and then grows by one per round.
    slow_start_threshold: u32,
    /// Requests accepted since `max_in_flight` last rose.
    accepted: u32,
}

impl Backoff {
    /// Starts a backoff of `span`, or extends the current one to the later end. `outstanding` is
    /// the number of this router's requests at the replica, and `last_ticket` the ticket of the last
    /// of them.
    pub fn start(&mut self, now: Time, span: Millis, outstanding: u32, last_ticket: u64) {
        if span == Millis(0) {
            return;
        }
        let until = now.after(span);
        match &mut self.state {
            Some(s) if now < s.until => s.until = s.until.max(until),
            _ => {
                let slow_start_threshold = (outstanding / SLOW_START_DIVISOR).max(1);
                self.state = Some(State {
                    until,
                    last_before: last_ticket,
                    in_flight: 0,
                    max_in_flight: 1,
                    slow_start_threshold,
                    accepted: 0,
                });
            }
        }
    }

    /// Returns whether the backoff is in effect at `now`.
    pub fn is_active(&self, now: Time) -> bool {
        self.state.is_some_and(|s| now < s.until)
    }

    /// Returns the time until the backoff ends.
    pub fn remaining(&self, now: Time) -> Millis {
        self.state.map_or(Millis(0), |s| s.until.since(now))
    }

    /// Returns whether requests are limited, by the backoff or by the slow start after it.
    pub fn limits_requests(&self) -> bool {
        self.state.is_some()
    }

    /// Returns whether one more request may be sent at `now`.
    pub fn allows_request(&self, now: Time) -> bool {
        self.state.is_none_or(|s| now >= s.until && s.in_flight < s.max_in_flight)
    }

    /// Records a request sent to the replica.
    pub fn record_sent(&mut self) {
        if let Some(s) = &mut self.state {
            s.in_flight += 1;
        }
    }

    /// Records that the replica accepted the request with this ticket. Lifts all limits once as
    /// many requests may be in flight as the replica has `slots`.
    pub fn record_accepted(&mut self, ticket: u64, slots: u32) {
        let Some(s) = self.state.as_mut().filter(|s| ticket > s.last_before) else { return };
        s.accepted += 1;
        if s.max_in_flight < s.slow_start_threshold || s.accepted >= s.max_in_flight {
            s.max_in_flight += 1;
            s.accepted = 0;
        }
        if s.max_in_flight >= slots {
            self.state = None;
        }
    }

    /// Records the end of the request with this ticket.
    pub fn record_ended(&mut self, ticket: u64) {
        if let Some(s) = self.state.as_mut().filter(|s| ticket > s.last_before) {
            s.in_flight = s.in_flight.saturating_sub(1);
        }
    }
}
