//! Fingerprints that identify copies of the same request, whichever gateway receives them and whatever
//! their request ids are.

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

/// Identifies a request: equal for all its copies and different for other requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Hash without the body's bytes, see [`RequestIdentity::brief`].
    pub brief: u64,
    /// Truncated cryptographic digest of the whole request.
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
