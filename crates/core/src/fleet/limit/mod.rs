//! Rate limits that replicas announce in their responses.
//!
//! A limit bounds the requests per second that a replica accepts from all routers together. No router
//! can enforce it alone, and an equal share of it may be less than one request per second. Routers
//! therefore obtain a permit before each request to a limited replica. One router per replica, chosen
//! by rendezvous hashing, issues the permits ([`permits`], [`issuers`]). Limits are learned from
//! responses and shared between processes ([`rate_limits`]).

pub mod issuers;
pub mod permits;
pub mod rate_limits;

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::unit::parse_thousandths;

/// A rate limit in thousandths of a request per second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rate(pub u64);

/// Number of thousandths in one request per second.
const THOUSANDTHS: u64 = 1_000;

impl Rate {
    /// Parses a decimal number of requests per second, with the syntax of [`parse_thousandths`].
    pub fn parse(text: &str) -> Option<Rate> {
        parse_thousandths(text).map(Rate)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / THOUSANDTHS, self.0 % THOUSANDTHS)
    }
}

/// Formats an optional limit for logs: the rate, or `none`.
pub struct DisplayLimit(pub Option<Rate>);

impl fmt::Display for DisplayLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(rate) => rate.fmt(f),
            None => f.write_str("none"),
        }
    }
}

/// The parsed rate limit header of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitHeader {
    /// The response has no such header.
    #[default]
    Absent,
    /// The replica's limit.
    Limit(Rate),
    /// The header is malformed, or there are several.
    Invalid,
}
