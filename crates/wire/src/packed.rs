//! Large texts and lists as compressed bytes, for links that carry little.

use std::io::Read;

use flate2::Compression;
use flate2::read::{ZlibDecoder, ZlibEncoder};

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Error, body};

/// The largest text, in bytes: what claims to be more is refused before it fills the memory.
const MOST: u64 = 128 * 1024 * 1024;

/// The bytes of a text.
pub fn pack(text: &str) -> Vec<u8> {
    compress(text.as_bytes())
}

/// The bytes of a value, compressed.
pub fn pack_value<T: Serialize>(v: &T) -> Vec<u8> {
    compress(&body::pack(v))
}

/// The value that compressed bytes stand for.
pub fn unpack_value<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let mut plain = Vec::new();
    let mut input = ZlibDecoder::new(bytes).take(MOST + 1);
    input.read_to_end(&mut plain).map_err(|e| Error::Malformed(e.to_string()))?;
    if plain.len() as u64 > MOST {
        return Err(Error::TooLarge(plain.len(), MOST as usize));
    }
    body::unpack(&plain)
}

fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(bytes.len() / 8);
    // A control process has a small part of a core: the fastest level takes most of the gain.
    ZlibEncoder::new(bytes, Compression::fast())
        .read_to_end(&mut out)
        .expect("a slice can be read and a vector takes all bytes");
    out
}

/// The text that `bytes` stand for.
pub fn unpack(bytes: &[u8]) -> Result<String, Error> {
    let mut text = String::new();
    let mut input = ZlibDecoder::new(bytes).take(MOST + 1);
    input.read_to_string(&mut text).map_err(|e| Error::Malformed(e.to_string()))?;
    if text.len() as u64 > MOST {
        return Err(Error::TooLarge(text.len(), MOST as usize));
    }
    Ok(text)
}
