//! Limits that replicas name in their answers: how many requests a second one takes from all routers
//! together, for as long as it says so.
//!
//! The bound is the fleet's, and no router can keep it alone: it knows nothing of what others send,
//! and a part of one request a second is less than one request at each of eight routers, or of a
//! thousand. So routers ask for a permit before each request to such a replica, and one of them, found by
//! rendezvous hashing, hands out the permits of one replica ([`permits`], [`homes`]). What a limit
//! is, is known from answers and told to all ([`known`]).

pub mod homes;
pub mod known;
pub mod permits;

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::unit::thousandths;

/// A limit: thousandths of a request a second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rate(pub u64);

/// Thousandths of one request.
const WHOLE: u64 = 1_000;

impl Rate {
    /// Reads a decimal number of requests a second, as [`thousandths`] does.
    pub fn parse(text: &str) -> Option<Rate> {
        thousandths(text).map(Rate)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / WHOLE, self.0 % WHOLE)
    }
}

/// A limit or none, as logs show it.
pub struct Named(pub Option<Rate>);

impl fmt::Display for Named {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(rate) => rate.fmt(f),
            None => f.write_str("none"),
        }
    }
}

/// What the head of an answer says of its replica's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Said {
    /// It names none.
    #[default]
    Nothing,
    /// It takes so many requests.
    Limit(Rate),
    /// Something that is no limit, or more than one.
    Unreadable,
}
