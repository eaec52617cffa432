//! Tunnels: links that carry the bytes of one connection instead of messages.
//!
//! Each frame is authenticated like a message and holds a part of the stream. An empty one marks its regular
//! end, so that a tunnel that breaks off cannot be mistaken for the end of the stream.

use std::io;
use std::net::SocketAddr;

use bytes::{Buf, BytesMut};
use cypressfork_wire::auth::{Opener, Sealer};
use cypressfork_wire::frame::{self, LENGTH_PREFIX_LEN};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::link::Link;

/// Maximum number of bytes of the stream in one frame.
pub const MAX_PART: usize = 16 * 1024;

/// Maximum size of a frame with its authentication code.
const MAX_FRAME: usize = MAX_PART + 64;

/// Space reserved for each read, in bytes.
const READ_SIZE: usize = 4 * 1024;

/// The end of a tunnel at which the connection is used.
pub struct Tunnel {
    stream: TcpStream,
    /// Bytes of frames that are not complete yet.
    received: BytesMut,
    opener: Opener,
    sealer: Sealer,
    has_ended: bool,
}

impl Tunnel {
    /// Turns a link into a tunnel, after the peer has agreed to it.
    pub fn new(link: Link) -> Tunnel {
        let (stream, received, opener, sealer) = link.into_parts();
        Tunnel { stream, received, opener, sealer, has_ended: false }
    }

    /// Returns the address of the process at the other end.
    ///
    /// # Errors
    /// Fails if the connection has ended.
    pub fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.stream.peer_addr()
    }

    /// Appends received bytes of the stream to `buf`. Returns their number; 0 at its regular end. Can be cancelled
    /// without losing bytes.
    ///
    /// # Errors
    /// Fails if the tunnel breaks off.
    pub async fn read(&mut self, buf: &mut BytesMut) -> io::Result<usize> {
        loop {
            if self.has_ended {
                return Ok(0);
            }
            if let Some(frame) = self.take_frame()? {
                let part = self.opener.open(&frame).map_err(io::Error::other)?;
                self.has_ended = part.is_empty();
                buf.extend_from_slice(part);
                return Ok(part.len());
            }
            self.received.reserve(READ_SIZE);
            if self.stream.read_buf(&mut self.received).await? == 0 {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
    }

    /// Removes the first complete frame from the received bytes and returns it without its length prefix.
    fn take_frame(&mut self) -> io::Result<Option<BytesMut>> {
        let Some(head) = self.received.first_chunk::<LENGTH_PREFIX_LEN>() else { return Ok(None) };
        let len = frame::parse_length(*head, MAX_FRAME).map_err(io::Error::other)?;
        if self.received.len() < LENGTH_PREFIX_LEN + len {
            return Ok(None);
        }
        self.received.advance(LENGTH_PREFIX_LEN);
        Ok(Some(self.received.split_to(len)))
    }

    /// Sends some of the bytes and returns their number. A failed write may have sent a part of them.
    ///
    /// # Errors
    /// Fails if the tunnel breaks off.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let part = &bytes[..bytes.len().min(MAX_PART)];
        let sealed = frame::add_length_prefix(&self.sealer.seal(part.to_vec()));
        self.stream.write_all(&sealed).await?;
        Ok(part.len())
    }

    /// Returns whether the tunnel is open and has no unread bytes.
    pub fn is_silent(&self) -> bool {
        let mut byte = [0];
        let is_silent = matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        is_silent && self.received.is_empty() && !self.has_ended
    }
}
