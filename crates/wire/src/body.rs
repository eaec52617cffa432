//! Commands, queries and their answers as bytes.
//!
//! MessagePack with positional fields: a field may be added at the end of a structure with a
//! default, and a variant at the end of an enumeration, without breaking older logs.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// The bytes of `v`.
pub fn pack<T: Serialize>(v: &T) -> Vec<u8> {
    rmp_serde::to_vec(v).expect("every packed type has a serializable shape")
}

/// The value that `bytes` stand for.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(bytes).map_err(|e| Error::Malformed(e.to_string()))
}
