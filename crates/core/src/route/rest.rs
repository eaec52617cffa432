//! Replicas that ask for rest: they turn a request away and want nothing from this router for a while.
//!
//! A rest is one router's own. Others may go on sending until they are told the same. Those that were sent
//! away at about the same time come back at the same time, so a rest is followed by one request of each
//! router, and by more only as they are let in.

use crate::unit::{Millis, Time, thousandths};

/// What the head of an answer says of a rest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Said {
    /// Nothing.
    #[default]
    Nothing,
    /// The replica wants nothing for so long.
    Rest(Millis),
    /// Something that is no span of time.
    Unreadable,
}

impl Said {
    /// Reads a number of seconds.
    pub fn parse(text: &str) -> Said {
        thousandths(text).map_or(Said::Unreadable, |ms| Said::Rest(Millis(ms)))
    }

    /// Of two words of one answer the longer rest holds; one that can be read, before one that cannot.
    #[must_use]
    pub fn or_longer(self, other: Said) -> Said {
        match (self, other) {
            (Said::Rest(a), Said::Rest(b)) => Said::Rest(a.max(b)),
            (Said::Rest(_), _) => self,
            (Said::Nothing, _) | (_, Said::Rest(_)) => other,
            (Said::Unreadable, _) => self,
        }
    }
}

/// The part of a router's requests at a replica, as a divisor, up to which their number doubles again after
/// a rest. From there on it rises by one at a time.
const DOUBLED_TO: u32 = 2;

/// What a router keeps to at a replica that has asked it for rest: nothing until the rest is over, then
/// one request, and more as they are let in, until its places no longer bind the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rest {
    pace: Option<Pace>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Pace {
    /// When the rest is over.
    until: Time,
    /// The last request that was sent before it.
    before: u64,
    /// Requests sent since that are under way.
    under_way: u32,
    /// How many of them there may be.
    room: u32,
    /// Up to here `room` doubles.
    doubles_to: u32,
    /// Requests that were let in since `room` last rose.
    let_in: u32,
}

impl Rest {
    /// Takes the word that the replica wants nothing for `span`. `outstanding` requests of this router are
    /// there, the last of them with the number `last`. Of two rests the later end holds.
    pub fn begin(&mut self, now: Time, span: Millis, outstanding: u32, last: u64) {
        if span == Millis(0) {
            return;
        }
        let until = now.after(span);
        match &mut self.pace {
            Some(p) if now < p.until => p.until = p.until.max(until),
            _ => {
                let doubles_to = (outstanding / DOUBLED_TO).max(1);
                self.pace = Some(Pace {
                    until,
                    before: last,
                    under_way: 0,
                    room: 1,
                    doubles_to,
                    let_in: 0,
                });
            }
        }
    }

    /// Whether the replica wants nothing at `now`.
    pub fn is_on(&self, now: Time) -> bool {
        self.pace.is_some_and(|p| now < p.until)
    }

    /// How much longer it wants nothing.
    pub fn left(&self, now: Time) -> Millis {
        self.pace.map_or(Millis(0), |p| p.until.since(now))
    }

    /// Whether it binds the router: it is on, or was of late.
    pub fn binds(&self) -> bool {
        self.pace.is_some()
    }

    /// Whether one more request may go there.
    pub fn allows(&self, now: Time) -> bool {
        self.pace.is_none_or(|p| now >= p.until && p.under_way < p.room)
    }

    /// Counts a request that goes there.
    pub fn sent(&mut self) {
        if let Some(p) = &mut self.pace {
            p.under_way += 1;
        }
    }

    /// Notes that the request with this number was let in. Once as many may run as the replica has places,
    /// nothing binds the router any more.
    pub fn let_in(&mut self, number: u64, places: u32) {
        let Some(p) = self.pace.as_mut().filter(|p| number > p.before) else { return };
        p.let_in += 1;
        if p.room < p.doubles_to || p.let_in >= p.room {
            p.room += 1;
            p.let_in = 0;
        }
        if p.room >= places {
            self.pace = None;
        }
    }

    /// Notes the end of the request with this number.
    pub fn ended(&mut self, number: u64) {
        if let Some(p) = self.pace.as_mut().filter(|p| number > p.before) {
            p.under_way = p.under_way.saturating_sub(1);
        }
    }
}
