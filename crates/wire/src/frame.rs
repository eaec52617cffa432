//! Encoding of messages, and length-prefixed framing.

use thrift::protocol::{TCompactInputProtocol, TCompactOutputProtocol, TSerializable};

use crate::{Error, Frame};

/// Length of the length prefix of a frame, in bytes.
pub const LENGTH_PREFIX_LEN: usize = 4;

/// Maximum size of a frame on an authenticated link, in bytes.
pub const MAX_FRAME: usize = 8 * 1024 * 1024;

/// Maximum size of a frame before the peer is authenticated, in bytes.
pub const MAX_HANDSHAKE_FRAME: usize = 1024;

/// Encodes a message in the Thrift compact protocol.
pub fn encode(f: &Frame) -> Vec<u8> {
    let mut buf = Vec::with_capacity(256);
    let mut out = TCompactOutputProtocol::new(&mut buf);
    f.write_to_out_protocol(&mut out).expect("writing to a vector cannot fail");
    buf
}

/// Decodes a message; fails with [`Error::Malformed`].
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    let mut rest = bytes;
    let mut input = TCompactInputProtocol::new(&mut rest);
    Frame::read_from_in_protocol(&mut input).map_err(|e| Error::Malformed(e.to_string()))
}

/// Returns the frame length in the prefix `head`, or [`Error::TooLarge`] if it exceeds `cap`.
pub fn parse_length(head: [u8; LENGTH_PREFIX_LEN], cap: usize) -> Result<usize, Error> {
    let len = u32::from_be_bytes(head) as usize;
    if len > cap { Err(Error::TooLarge(len, cap)) } else { Ok(len) }
}

/// Returns the payload with its length prefix.
pub fn add_length_prefix(payload: &[u8]) -> Vec<u8> {
    let len = u32::try_from(payload.len()).expect("a payload is far below 4 GiB");
    let mut out = Vec::with_capacity(LENGTH_PREFIX_LEN + payload.len());
    out.extend_from_slice(&len.to_be_bytes());
    out.extend_from_slice(payload);
    out
}
