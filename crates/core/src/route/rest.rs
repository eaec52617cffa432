//! Replicas that ask for rest: they turn a request away and want nothing from this router for a while.
//!
//! A rest is one router's own. Others may go on sending until they are told the same.

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

/// What a router knows of one replica's rest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rest {
    until: Time,
}

impl Rest {
    /// Takes the word that the replica wants nothing for `span`. Of two rests the later end holds.
    pub fn begin(&mut self, now: Time, span: Millis) {
        self.until = self.until.max(now.after(span));
    }

    /// Whether it wants nothing at `now`.
    pub fn is_on(&self, now: Time) -> bool {
        now < self.until
    }

    /// How much longer it lasts.
    pub fn left(&self, now: Time) -> Millis {
        self.until.since(now)
    }
}
