//! Units of time and tokens, and the identity types shared by all modules.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A point in time, in milliseconds since an origin chosen by the caller.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

/// A span of time in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

/// A number of language-model tokens.
pub type Tokens = u64;

/// The number of a configuration; each accepted change increments it.
pub type Version = u64;

/// A Raft term.
pub type Term = u64;

/// The index of an entry in a replicated log, from 1.
pub type Index = u64;

/// The identity of a member of a control group; not reused after its disk is lost.
pub type NodeId = u64;

impl Time {
    /// Returns the time `span` after this one.
    pub fn after(self, span: Millis) -> Time {
        Time(self.0.saturating_add(span.0))
    }

    /// Returns the time `span` before this one, or the origin if that is later.
    pub fn before(self, span: Millis) -> Time {
        Time(self.0.saturating_sub(span.0))
    }

    /// Returns the span from `earlier` to this time, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Millis {
    /// Creates a span of `n` seconds.
    pub const fn seconds(n: u64) -> Millis {
        Millis(n * 1000)
    }

    /// Returns `self * num / den`, rounded down. The result has to fit in 64 bits.
    pub fn scale(self, num: u64, den: u64) -> Millis {
        Millis((u128::from(self.0) * u128::from(num) / u128::from(den.max(1))) as u64)
    }

    /// Returns the value of a `Retry-After` header: whole seconds, rounded up, at least one.
    pub fn as_retry_after_secs(self) -> u64 {
        self.0.div_ceil(1000).max(1)
    }
}

/// Largest whole part of a decimal number; larger ones are clamped.
const MAX_WHOLE_PART: u64 = 1_000_000;

/// Number of fraction digits that are read; further digits are dropped.
const FRACTION_DIGITS: usize = 3;

/// Parses a decimal number with an optional fraction, and returns it in thousandths. Returns
/// `None` for any other text, such as one with a sign, exponent or unit.
pub fn parse_thousandths(text: &str) -> Option<u64> {
    let text = text.trim();
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_number = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit());
    if !is_number(whole) || !is_number(fraction) {
        return None;
    }
    // Parsing fails only on overflow, as all bytes are digits.
    let whole = whole.parse().unwrap_or(MAX_WHOLE_PART).min(MAX_WHOLE_PART);
    let digits: String = fraction.chars().chain("000".chars()).take(FRACTION_DIGITS).collect();
    let rest: u64 = digits.parse().ok()?;
    Some(whole * 1_000 + rest)
}

/// The identity of a lease: the unique log position of the entry that granted it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LeaseId {
    /// Term of the leader that granted it.
    pub term: Term,
    /// Log position of the grant.
    pub index: Index,
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.index)
    }
}

/// The identity of a registration: of a router, a reserve, or a region's group at a budget's home.
///
/// It is the index of the log entry that registered it. A restarted router on the same `Vm` gets a
/// new one, and holds none of its predecessor's leases and claims.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HolderId(pub u64);

impl fmt::Display for HolderId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The identity of a request: a digest of the client account's name and the client's request id.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId(pub [u8; 16]);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}
