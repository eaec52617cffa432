//! Fingerprints that identify copies of the same request, and parts that several requests have in their
//! prompts, whichever gateway receives them and whatever their request ids are.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::hash::Fnv;

/// The parts of a request that are equal in all its copies. Ids, deadlines and other headers may differ.
#[derive(Clone, Copy, Debug, Hash)]
pub struct RequestIdentity<'a> {
    /// The client account. It is included so that no account can get another's requests rejected.
    pub account: Option<&'a str>,
    /// HTTP method.
    pub method: &'a str,
    /// Requested host.
    pub host: &'a str,
    /// Path and query string.
    pub path: &'a str,
    /// Request body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Returns a hash of all parts, with only the length of the body. It is cheap enough for every
    /// request: requests with different hashes are never copies of each other.
    pub fn brief(&self) -> u64 {
        let length = (self.body.len() as u64).to_be_bytes();
        let account = self.account.unwrap_or_default();
        let parts = [account, self.method, self.host, self.path];
        let hash = parts.iter().fold(Fnv::new(), |h, part| h.add_part(part.as_bytes()));
        hash.add_part(&length).finish()
    }
}

/// Where parts of prompts are compared: within one client account and one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartScope<'a> {
    /// The client account. It is included so that no account can get another's requests rejected.
    pub account: Option<&'a str>,
    /// The service. A part that crashes one model may be harmless to another.
    pub service: &'a str,
}

impl PartScope<'_> {
    /// Returns a hash of the scope, which the fingerprints of its parts share.
    pub fn brief(&self) -> u64 {
        let parts = ["part of a prompt", self.account.unwrap_or_default(), self.service];
        parts.iter().fold(Fnv::new(), |h, part| h.add_part(part.as_bytes())).finish()
    }

    /// Returns the fingerprint of the part with this id.
    pub fn fingerprint(&self, id: u64) -> Fingerprint {
        Fingerprint { brief: self.brief(), digest: id }
    }
}

/// Identifies a request or a part of prompts: equal for all copies of a request, and for all requests
/// that have the part.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint {
    /// Hash without the body's bytes, see [`RequestIdentity::brief`], or that of a part's scope.
    pub brief: u64,
    /// Truncated cryptographic digest of the whole request, or the id of a part.
    pub digest: u64,
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.brief, self.digest)
    }
}

/// Number of hexadecimal digits of each half.
const HALF_DIGITS: usize = 16;

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    /// Parses the format that [`fmt::Display`] writes.
    fn from_str(s: &str) -> Result<Fingerprint, ParseIntError> {
        let brief = s.get(..HALF_DIGITS).unwrap_or_default();
        let digest = s.get(HALF_DIGITS..2 * HALF_DIGITS).filter(|_| s.len() == 2 * HALF_DIGITS);
        Ok(Fingerprint {
            brief: u64::from_str_radix(brief, 16)?,
            digest: u64::from_str_radix(digest.unwrap_or_default(), 16)?,
        })
    }
}
