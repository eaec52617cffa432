//! Byte streams that carry HTTP/1.1 connections.

use std::io;
use std::mem::MaybeUninit;

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A byte stream to a server. Reads can be cancelled without losing bytes.
pub trait Transport {
    /// Appends received bytes to `buf`. Returns their number; 0 at the end of the stream.
    fn read(&mut self, buf: &mut BytesMut) -> impl Future<Output = io::Result<usize>>;

    /// Sends some of the bytes and returns their number. Nothing was sent if it fails, unless
    /// [`Transport::sends_partly`] returns true.
    fn write(&mut self, bytes: &[u8]) -> impl Future<Output = io::Result<usize>>;

    /// Returns whether a failed write may have sent bytes.
    fn sends_partly(&self) -> bool;

    /// Returns whether the stream is open and has no unread bytes.
    fn is_silent(&self) -> bool;

    /// Returns whether the stream has unread bytes, as far as the system knows.
    fn has_unread(&self) -> bool;
}

impl Transport for TcpStream {
    async fn read(&mut self, buf: &mut BytesMut) -> io::Result<usize> {
        self.read_buf(buf).await
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        AsyncWriteExt::write(self, bytes).await
    }

    fn sends_partly(&self) -> bool {
        false
    }

    fn is_silent(&self) -> bool {
        matches!(peek(self), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    fn has_unread(&self) -> bool {
        matches!(peek(self), Ok(n) if n > 0)
    }
}

/// Asks the system for the next byte, because the runtime only knows what it has polled.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()])
}
