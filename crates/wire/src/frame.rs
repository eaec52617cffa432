//! A message as bytes, and its length in front.

use thrift::protocol::{TCompactInputProtocol, TCompactOutputProtocol, TSerializable};

use crate::{Error, Frame};

/// Bytes of the length in front of a frame.
pub const HEAD: usize = 4;

/// The largest frame between processes that know each other, in bytes.
pub const CAP: usize = 8 * 1024 * 1024;

/// The largest frame before the peer has proved itself, in bytes.
pub const CAP_STRANGER: usize = 1024;

/// The bytes of a message.
pub fn encode(f: &Frame) -> Vec<u8> {
    let mut buf = Vec::with_capacity(256);
    let mut out = TCompactOutputProtocol::new(&mut buf);
    f.write_to_out_protocol(&mut out).expect("a vector takes all bytes");
    buf
}

/// The message that `bytes` stand for, all of them.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    let mut rest = bytes;
    let mut input = TCompactInputProtocol::new(&mut rest);
    Frame::read_from_in_protocol(&mut input).map_err(|e| Error::Malformed(e.to_string()))
}

/// The length that `head` announces, if it is within `cap`.
pub fn length(head: [u8; HEAD], cap: usize) -> Result<usize, Error> {
    let len = u32::from_be_bytes(head) as usize;
    if len > cap { Err(Error::TooLarge(len, cap)) } else { Ok(len) }
}

/// A payload with its length in front.
pub fn prefixed(payload: &[u8]) -> Vec<u8> {
    let len = u32::try_from(payload.len()).expect("a payload is far below 4 GiB");
    let mut out = Vec::with_capacity(HEAD + payload.len());
    out.extend_from_slice(&len.to_be_bytes());
    out.extend_from_slice(payload);
    out
}
