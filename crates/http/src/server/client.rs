//! HTTP/1 connections of clients. [`input`] reads requests; responses are written here.

mod input;

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_codec::Encoder;
use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::{CONTENT_LENGTH, HeaderMap};
use actix_http::{Response, ServiceConfig, StatusCode, Version};
use bytes::{Buf, Bytes, BytesMut};
use cypressfork_core::fleet::output_buffer;
use cypressfork_node::metric;
use metrics::counter;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use input::{HEAD_BYTES, reserve};

pub use input::NextRequest;

use super::clients::ConnectionAccount;
use super::output::HeldOutput;

/// Buffer space for one read of a body, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Unused space of a buffer, in bytes, below which it grows before a read.
const MIN_SPACE: usize = 512;

/// Bytes that are buffered from a client while a response is in progress. Above that, reading stops.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// Time without progress after which a response that is complete is no longer sent.
const SEND_STALL_TIME: Duration = Duration::from_secs(5);

/// Time in which the refusal to a connection that has to be closed is accepted, or is dropped.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Step by which the output buffer grows while bytes are held in it. Growth by doubling would use up to twice
/// the memory that is accounted for.
const OUTPUT_STEP: usize = 1024;

/// Framing of a chunk of a response, in bytes, at most: its length in hexadecimal and two line ends.
const CHUNK_FRAMING: usize = 20;

/// The body of a response that is sent at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseBody {
    /// All of it.
    Whole(Bytes),
    /// None, by the request's method or the response's status, with the length that the head names.
    Omitted(Option<u64>),
}

/// Whether a response that ends with its connection is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// More of it follows.
    Partial,
    /// All of it was buffered.
    Complete,
}

/// A caller's connection. Responses are written to a buffer and sent by [`Client::flush`], or by
/// [`Client::forward`] where bytes that the caller does not accept at once may be held.
pub struct Client {
    stream: TcpStream,
    account: ConnectionAccount,
    /// Memory of the current request's head and body.
    request_bytes: usize,
    buf: BytesMut,
    out: BytesMut,
    codec: Codec,
    /// Whether the options of the socket are set, as they are once the client has sent something.
    is_configured: bool,
    /// Whether the connection closes after the current response.
    closing: bool,
    /// Whether a part of the current response was sent.
    started: bool,
    /// Version of HTTP in the current request.
    version: Version,
    /// Length of the current request's body, if its head has one.
    declared: Option<u64>,
    /// Whether the client sends the body of the current request once it is asked for it.
    expects_continue: bool,
    /// Largest rest of a body that is discarded when the connection closes, in bytes.
    max_discarded: usize,
    /// The end of a response that only the end of the connection marks.
    connection_end: Option<ConnectionEnd>,
    /// Bytes received from and sent to all callers of this process, if they are counted.
    bytes_served: Option<Rc<Cell<u64>>>,
    /// Accounts for bytes held in `out`; none if responses are sent without holding any.
    held: Option<HeldOutput>,
    /// Since when `out` has held bytes that the caller did not accept at once.
    held_since: Option<Instant>,
    /// Bytes that were sent from the start of `out` and whose memory is not free yet.
    sent_prefix: usize,
}

impl Client {
    /// Wraps an accepted connection. Its traffic in bytes is added to `bytes_served`. With `held`, bytes
    /// that the caller does not accept at once are held within its bounds.
    pub fn new(
        stream: TcpStream,
        account: ConnectionAccount,
        config: &ServiceConfig,
        bytes_served: Option<Rc<Cell<u64>>>,
        held: Option<HeldOutput>,
    ) -> Client {
        Client {
            stream,
            account,
            request_bytes: 0,
            buf: BytesMut::new(),
            out: BytesMut::new(),
            codec: Codec::new(config.clone()),
            is_configured: false,
            closing: false,
            started: false,
            version: Version::HTTP_11,
            declared: None,
            expects_continue: false,
            max_discarded: 0,
            connection_end: None,
            bytes_served,
            held,
            held_since: None,
            sent_prefix: 0,
        }
    }

    fn count_bytes(&self, direction: &'static str, bytes: usize) {
        if let Some(total) = &self.bytes_served {
            total.set(total.get() + bytes as u64);
            counter!(metric::SERVED, "way" => direction).increment(bytes as u64);
        }
    }

    /// Closes the connection after the current response.
    pub fn close_after_response(&mut self) {
        self.closing = true;
    }

    /// Returns whether another request may follow on the connection.
    pub fn is_open(&self) -> bool {
        !self.closing && self.codec.keep_alive()
    }

    /// Returns whether a part of the current response was sent.
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// Buffers the head of a response.
    pub fn write_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        size: BodySize,
    ) -> io::Result<()> {
        let mut r = Response::new(status).drop_body();
        *r.headers_mut() = headers;
        self.closing |= self.account.is_closing();
        if self.closing {
            r.head_mut().set_connection_type(actix_http::ConnectionType::Close);
        }
        self.codec.encode(Message::Item((r, size)), &mut self.out)
    }

    /// Buffers the head of a response whose length is not known. Its end is marked by the last chunk; for a caller
    /// of HTTP/1.0 it is the regular end of the connection, which is reset if the response is incomplete.
    pub fn write_stream_head(&mut self, status: StatusCode, headers: HeaderMap) -> io::Result<()> {
        if self.version >= Version::HTTP_11 {
            return self.write_head(status, headers, BodySize::Stream);
        }
        self.closing = true;
        // Set in advance, because the system closes the sockets of a process that is killed.
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
        self.connection_end = Some(ConnectionEnd::Partial);
        let mut r = Response::new(status).drop_body();
        *r.headers_mut() = headers;
        r.head_mut().no_chunking(true);
        r.head_mut().set_connection_type(actix_http::ConnectionType::Close);
        self.codec.encode(Message::Item((r, BodySize::Stream)), &mut self.out)
    }

    /// Buffers a part of the body.
    pub fn write_chunk(&mut self, bytes: Bytes) -> io::Result<()> {
        self.grow_output(bytes.len() + CHUNK_FRAMING);
        self.codec.encode(Message::Chunk(Some(bytes)), &mut self.out)
    }

    /// Buffers the end of the body.
    pub fn write_end(&mut self) -> io::Result<()> {
        if let Some(end) = &mut self.connection_end {
            *end = ConnectionEnd::Complete;
        }
        self.grow_output(CHUNK_FRAMING);
        self.codec.encode(Message::Chunk(None), &mut self.out)
    }

    /// Makes room for `bytes` more in an output buffer that holds some already.
    fn grow_output(&mut self, bytes: usize) {
        let is_held = self.held.is_some() && !self.out.is_empty();
        if !is_held || self.out.capacity() - self.out.len() >= bytes {
            return;
        }
        let size = (self.out.len() + bytes).next_multiple_of(OUTPUT_STEP);
        self.copy_output(size);
    }

    /// Moves the unsent bytes to a buffer of `size` bytes, and frees the present one.
    fn copy_output(&mut self, size: usize) {
        let mut copy = BytesMut::with_capacity(size);
        copy.extend_from_slice(&self.out);
        self.out = copy;
        self.sent_prefix = 0;
    }

    /// Sends buffered bytes without waiting for the caller if they may be held, else all of them.
    pub async fn forward(&mut self) -> io::Result<()> {
        if !self.may_hold() {
            return self.flush().await;
        }
        if self.is_cut() {
            return Err(self.discard_output());
        }
        if self.out.is_empty() {
            return Ok(());
        }
        self.started = true;
        match self.stream.try_write(&self.out) {
            Ok(n) => self.remove_sent(n),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.remove_sent(0),
            Err(e) => return Err(e),
        }
        Ok(())
    }

    /// Waits until more may be read from a replica for this caller. Fails if the caller closes its
    /// connection or is cut.
    pub async fn wait_for_room(&mut self) -> io::Result<()> {
        self.drain_to(output_buffer::CALLER_BOUND as usize - 1).await
    }

    /// Sends held bytes until at most `max_left` are left. Fails if the caller closes its connection or is
    /// cut.
    async fn drain_to(&mut self, max_left: usize) -> io::Result<()> {
        while self.out.len() > max_left {
            self.send_some().await?;
        }
        Ok(())
    }

    /// Sends a part of the held bytes. Reads from the caller meanwhile to notice that it closes the
    /// connection.
    async fn send_some(&mut self) -> io::Result<()> {
        let may_read = self.buf.len() <= MAX_READ_AHEAD_BYTES;
        if may_read {
            reserve(&mut self.buf, HEAD_BYTES);
        }
        let Client { stream, buf, out, held, .. } = self;
        let (mut reader, mut writer) = stream.split();
        tokio::select! {
            biased;
            () = wait_cut(held.as_ref()) => Err(self.discard_output()),
            read = reader.read_buf(buf), if may_read => match read? {
                0 => Err(io::ErrorKind::UnexpectedEof.into()),
                n => {
                    self.count_bytes("from_callers", n);
                    Ok(())
                }
            },
            sent = writer.write(out) => {
                let n = sent?;
                self.remove_sent(n);
                Ok(())
            }
        }
    }

    /// Removes the first `n` bytes of the output buffer, which were sent, and accounts for the rest.
    fn remove_sent(&mut self, n: usize) {
        self.count_bytes("to_callers", n);
        if n == self.out.len() && self.out.capacity() <= READ_BYTES {
            self.out.clear();
            self.sent_prefix = 0;
        } else {
            self.out.advance(n);
            self.sent_prefix += n;
        }
        // Copies each byte at most once for each byte sent.
        if self.sent_prefix > self.out.len() {
            self.copy_output(self.out.len());
        }
        let since = self.held_since.unwrap_or_else(Instant::now);
        self.held_since = (!self.out.is_empty()).then_some(since);
        if let Some(held) = &self.held {
            held.record(self.out.len() + self.sent_prefix, n);
        }
    }

    /// Returns whether bytes may be held for the caller.
    pub fn may_hold(&self) -> bool {
        self.held.is_some()
    }

    /// Returns whether the caller was cut because too many bytes were held for all callers.
    pub fn is_cut(&self) -> bool {
        self.held.as_ref().is_some_and(HeldOutput::is_cut)
    }

    /// Returns for how long bytes have been held for the caller.
    pub fn held_for(&self) -> Duration {
        self.held_since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Frees the output buffer of a caller that was cut, and returns the error for it.
    fn discard_output(&mut self) -> io::Error {
        self.out = BytesMut::new();
        io::ErrorKind::ConnectionAborted.into()
    }

    /// Sends the buffered bytes.
    pub async fn flush(&mut self) -> io::Result<()> {
        if self.out.is_empty() {
            return Ok(());
        }
        self.started = true;
        if self.held.is_some() {
            return self.drain_to(0).await;
        }
        self.count_bytes("to_callers", self.out.len());
        self.stream.write_all(&self.out).await?;
        self.out.clear();
        Ok(())
    }

    /// Sends the buffered bytes of a response that needs no further work. Fails if the client accepts none for some
    /// time, or if the connection has to make room for others.
    pub async fn flush_steadily(&mut self) -> io::Result<()> {
        self.started = true;
        // A refusal is sent although the connection has to be closed.
        let (is_last, stall_time) = match self.account.is_closed() {
            true => (true, REFUSAL_TIME),
            false => (false, SEND_STALL_TIME),
        };
        while !self.out.is_empty() {
            let sent = {
                let Client { account, stream, out, .. } = self;
                tokio::select! {
                    biased;
                    () = account.wait_closed(), if !is_last => {
                        return Err(io::ErrorKind::ConnectionAborted.into());
                    }
                    sent = timeout(stall_time, stream.write(out)) => sent,
                }
            };
            let n = sent.map_err(|_| io::ErrorKind::TimedOut)??;
            self.count_bytes("to_callers", n);
            self.out.advance(n);
            if !self.out.is_empty() {
                self.account.record_progress(self.held_bytes() + self.out.capacity());
            }
        }
        Ok(())
    }

    /// Drops what is buffered of a response that the client does not accept, and closes the connection.
    pub fn abandon_output(&mut self) {
        self.out = BytesMut::new();
        self.closing = true;
    }

    /// Buffers a complete response.
    pub fn write_response(
        &mut self,
        status: StatusCode,
        mut headers: HeaderMap,
        body: ResponseBody,
    ) -> io::Result<()> {
        let (size, body) = match body {
            ResponseBody::Whole(bytes) => (BodySize::Sized(bytes.len() as u64), bytes),
            ResponseBody::Omitted(length) => {
                (omitted_size(status, length, &mut headers), Bytes::new())
            }
        };
        self.write_head(status, headers, size)?;
        if !body.is_empty() {
            self.write_chunk(body)?;
        }
        self.write_end()
    }

    /// Sends a complete response. Bytes of it may be held, see [`Client::forward`].
    pub async fn send_response(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: ResponseBody,
    ) -> io::Result<()> {
        self.write_response(status, headers, body)?;
        self.forward().await
    }

    /// Shuts the connection down for writing, and discards some input until none has come for `within`. Unread input
    /// at the close would reset the connection and could lose the last response. Resets it at once if a regular
    /// end would make an incomplete response look complete.
    pub async fn close(mut self, within: Duration) {
        match self.connection_end {
            Some(ConnectionEnd::Complete) if self.out.is_empty() => {
                // If this fails, the caller sees a reset and may repeat the request.
                let _ = SockRef::from(&self.stream).set_linger(None);
            }
            Some(_) => return,
            None => {}
        }
        // Errors do not matter on a connection that is closed anyway.
        let _ = self.stream.shutdown().await;
        self.discard(within).await;
    }
}

/// Returns the size for the codec of a response without a body, whose head names `length`.
fn omitted_size(status: StatusCode, length: Option<u64>, headers: &mut HeaderMap) -> BodySize {
    match (status, length) {
        (StatusCode::NO_CONTENT, _) | (_, None) => BodySize::None,
        (StatusCode::NOT_MODIFIED, Some(length)) => {
            headers.insert(CONTENT_LENGTH, length.into());
            BodySize::None
        }
        // In a response to HEAD, for which the codec writes no body.
        (_, Some(length)) => BodySize::Sized(length),
    }
}

/// Waits until the caller is cut.
async fn wait_cut(held: Option<&HeldOutput>) {
    match held {
        Some(held) => held.wait_cut().await,
        None => std::future::pending().await,
    }
}
