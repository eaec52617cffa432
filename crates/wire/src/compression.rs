//! Compression of large texts and lists, for links of low bandwidth.

use std::io::Read;

use flate2::Compression;
use flate2::read::{ZlibDecoder, ZlibEncoder};

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Error, body};

/// Maximum size after decompression, in bytes; guards against decompression bombs.
const MAX_DECOMPRESSED: u64 = 128 * 1024 * 1024;

/// Compresses a text.
pub fn compress_text(text: &str) -> Vec<u8> {
    compress(text.as_bytes())
}

/// Encodes and compresses a value.
pub fn compress_value<T: Serialize>(v: &T) -> Vec<u8> {
    compress(&body::pack(v))
}

/// Decompresses and decodes a value. Fails if the bytes are malformed or too large when
/// decompressed.
pub fn decompress_value<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let mut plain = Vec::new();
    let mut input = ZlibDecoder::new(bytes).take(MAX_DECOMPRESSED + 1);
    input.read_to_end(&mut plain).map_err(|e| Error::Malformed(e.to_string()))?;
    if plain.len() as u64 > MAX_DECOMPRESSED {
        return Err(Error::TooLarge(plain.len(), MAX_DECOMPRESSED as usize));
    }
    body::unpack(&plain)
}

fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(bytes.len() / 8);
    // The fastest level, because control processes have little CPU time.
    ZlibEncoder::new(bytes, Compression::fast())
        .read_to_end(&mut out)
        .expect("reading from a slice and writing to a vector cannot fail");
    out
}

/// Decompresses a text. Fails if the bytes are malformed or too large when decompressed.
pub fn decompress_text(bytes: &[u8]) -> Result<String, Error> {
    let mut text = String::new();
    let mut input = ZlibDecoder::new(bytes).take(MAX_DECOMPRESSED + 1);
    input.read_to_string(&mut text).map_err(|e| Error::Malformed(e.to_string()))?;
    if text.len() as u64 > MAX_DECOMPRESSED {
        return Err(Error::TooLarge(text.len(), MAX_DECOMPRESSED as usize));
    }
    Ok(text)
}
