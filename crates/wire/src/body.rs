//! Encoding of commands, queries and their answers.
//!
//! The encoding is MessagePack with positional fields. To stay compatible with stored logs, append new
//! fields at the end of a struct with a default, and new variants at the end of an enum.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// Encodes `v`.
pub fn pack<T: Serialize>(v: &T) -> Vec<u8> {
    rmp_serde::to_vec(v).expect("every packed type is serializable")
}

/// Decodes a value from `bytes`; fails with [`Error::Malformed`].
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(bytes).map_err(|e| Error::Malformed(e.to_string()))
}
