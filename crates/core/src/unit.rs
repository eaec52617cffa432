//! Units and identities that every other module uses.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A point in time, in milliseconds since an origin that the caller chooses and keeps.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

/// A span of time in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

/// A count of tokens of a model.
pub type Tokens = u64;

/// The number of an accepted configuration; each accepted change takes the next one.
pub type Version = u64;

/// The term of a replicated log's leader.
pub type Term = u64;

/// A position in a replicated log; the first entry has 1.
pub type Index = u64;

/// The identity of one replica of a control group; never used again once its disk is lost.
pub type NodeId = u64;

impl Time {
    /// The time `span` after this one.
    pub fn after(self, span: Millis) -> Time {
        Time(self.0.saturating_add(span.0))
    }

    /// The time `span` before this one, the origin at the earliest.
    pub fn before(self, span: Millis) -> Time {
        Time(self.0.saturating_sub(span.0))
    }

    /// How long ago `earlier` was, zero if it lies ahead.
    pub fn since(self, earlier: Time) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Millis {
    /// A span of whole seconds.
    pub const fn seconds(n: u64) -> Millis {
        Millis(n * 1000)
    }

    /// `self * num / den`, without overflow for any span below 500 million years.
    pub fn scale(self, num: u64, den: u64) -> Millis {
        Millis((u128::from(self.0) * u128::from(num) / u128::from(den.max(1))) as u64)
    }

    /// Whole seconds, rounded up and at least one: the form of a `Retry-After` header.
    pub fn retry_after(self) -> u64 {
        self.0.div_ceil(1000).max(1)
    }
}

/// The largest whole part of a decimal number that is told apart from larger ones.
const DECIMAL_MOST: u64 = 1_000_000;

/// Digits of a fraction that count.
const DECIMAL_DIGITS: usize = 3;

/// Reads a decimal number in thousandths: digits, and a fraction if there is one. Nothing else is a
/// number here: no sign, exponent or unit.
pub fn thousandths(text: &str) -> Option<u64> {
    let text = text.trim();
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_number = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit());
    if !is_number(whole) || !is_number(fraction) {
        return None;
    }
    // More digits than a number holds are more than any.
    let whole = whole.parse().unwrap_or(DECIMAL_MOST).min(DECIMAL_MOST);
    let digits: String = fraction.chars().chain("000".chars()).take(DECIMAL_DIGITS).collect();
    let rest: u64 = digits.parse().ok()?;
    Some(whole * 1_000 + rest)
}

/// The identity of a lease: the log position that granted it, which no other entry ever has.
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

/// The identity of one registration of a router, or of a region's group at a budget's home.
///
/// It is the log index that registered it. A restarted process on the same `Vm` gets another
/// and so owns nothing of its predecessor's.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HolderId(pub u64);

impl fmt::Display for HolderId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The digest of a client account's name and the request id that its caller chose.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId(pub [u8; 16]);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}
