//! What makes two requests the same, whichever gateway they come to and under whatever id.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::hash::Fnv;

/// The parts of a request in which all its copies agree. Ids, deadlines and other headers differ
/// from copy to copy.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Identity<'a> {
    /// The client account. Another account's request is never the same: nobody can have another's
    /// requests refused.
    pub account: Option<&'a str>,
    /// The method.
    pub method: &'a str,
    /// The host that it names.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

impl Identity<'_> {
    /// A hash of all but the body's bytes: requests of which it differs are not the same. It costs
    /// no more than the names are long, so that it can be drawn for every request.
    pub fn brief(&self) -> u64 {
        let length = (self.body.len() as u64).to_be_bytes();
        let account = self.account.unwrap_or_default();
        let names = [account, self.method, self.host, self.path];
        let named = names.iter().fold(Fnv::new(), |h, name| h.part(name.as_bytes()));
        named.part(&length).value()
    }
}

/// What all copies of one request have in common, and others have not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    /// [`Identity::brief`].
    pub brief: u64,
    /// A part of a cryptographic digest over all of it.
    pub digest: u64,
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.brief, self.digest)
    }
}

/// Hexadecimal digits of each half.
const DIGITS: usize = 16;

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    /// Reads what [`fmt::Display`] writes.
    fn from_str(s: &str) -> Result<Fingerprint, ParseIntError> {
        let brief = s.get(..DIGITS).unwrap_or_default();
        let digest = s.get(DIGITS..2 * DIGITS).filter(|_| s.len() == 2 * DIGITS);
        Ok(Fingerprint {
            brief: u64::from_str_radix(brief, 16)?,
            digest: u64::from_str_radix(digest.unwrap_or_default(), 16)?,
        })
    }
}
