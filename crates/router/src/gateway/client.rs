//! HTTP/1 connections of callers.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::HeaderMap;
use actix_http::{Request, Response, ServiceConfig, StatusCode, Version};
use bytes::{Buf, Bytes, BytesMut};
use cypressfork_core::code::Code;
use cypressfork_core::fleet::document::Limits;
use cypressfork_core::fleet::output_buffer;
use cypressfork_http::framing::FramingLimit;
use cypressfork_node::metric;
use metrics::counter;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use super::caller_buffers::HeldOutput;

/// Buffer space reserved for one read, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Bytes that are buffered from a caller while a response is in progress. Above that, reading stops.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// Step by which the output buffer grows while bytes are held in it. Growth by doubling would use up to twice
/// the memory that is accounted for.
const OUTPUT_STEP: usize = 1024;

/// Framing of a chunk of a response, in bytes, at most: its length in hexadecimal and two line ends.
const CHUNK_FRAMING: usize = 20;

/// The result of waiting for the next request on a connection.
pub enum NextRequest {
    /// The head of a request.
    Request(Request),
    /// No further request: the connection was closed or idle too long, or the gateway stops accepting.
    Closed,
    /// Invalid input; the connection cannot be reused.
    Bad(Code),
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
    buf: BytesMut,
    out: BytesMut,
    codec: Codec,
    /// Whether the connection closes after the current response.
    closing: bool,
    /// Whether a part of the current response was sent.
    started: bool,
    /// Version of HTTP in the current request.
    version: Version,
    /// The end of a response that only the end of the connection marks.
    connection_end: Option<ConnectionEnd>,
    /// Bytes received from and sent to all callers of this process.
    bytes_served: Rc<Cell<u64>>,
    /// Accounts for bytes held in `out`; none if responses are sent without holding any.
    held: Option<HeldOutput>,
    /// Since when `out` has held bytes that the caller did not accept at once.
    held_since: Option<Instant>,
    /// Bytes that were sent from the start of `out` and whose memory is not free yet.
    sent_prefix: usize,
}

fn millis(m: cypressfork_core::unit::Millis) -> Duration {
    Duration::from_millis(m.0)
}

impl Client {
    /// Wraps an accepted connection. Its traffic in bytes is added to `bytes_served`. With `held`, bytes
    /// that the caller does not accept at once are held within its bounds.
    pub fn new(
        stream: TcpStream,
        config: &ServiceConfig,
        bytes_served: Rc<Cell<u64>>,
        held: Option<HeldOutput>,
    ) -> Client {
        // Failure only delays small writes.
        let _ = stream.set_nodelay(true);
        Client {
            stream,
            buf: BytesMut::new(),
            out: BytesMut::new(),
            codec: Codec::new(config.clone()),
            closing: false,
            started: false,
            version: Version::HTTP_11,
            connection_end: None,
            bytes_served,
            held,
            held_since: None,
            sent_prefix: 0,
        }
    }

    fn count_bytes(&self, direction: &'static str, bytes: usize) {
        self.bytes_served.set(self.bytes_served.get() + bytes as u64);
        counter!(metric::SERVED, "way" => direction).increment(bytes as u64);
    }

    /// Reads more input into the buffer. Returns whether there was any.
    async fn fill(&mut self) -> io::Result<bool> {
        self.buf.reserve(READ_BYTES);
        let n = self.stream.read_buf(&mut self.buf).await?;
        self.count_bytes("from_callers", n);
        Ok(n > 0)
    }

    /// Waits for the head of the next request until the idle timeout or `stop`. From its first bytes on, the
    /// head timeout applies instead.
    pub async fn next_request(
        &mut self,
        limits: &Limits,
        stop: impl Future<Output = ()>,
    ) -> NextRequest {
        self.started = false;
        let idle = Instant::now() + millis(limits.idle);
        if self.buf.is_empty() {
            // Idle connections keep no buffers.
            self.buf = BytesMut::new();
            self.out = BytesMut::new();
            let first = timeout_at(idle, self.fill());
            let filled = tokio::select! {
                filled = first => filled,
                () = stop => return NextRequest::Closed,
            };
            if !matches!(filled, Ok(Ok(true))) {
                return NextRequest::Closed;
            }
        }
        let until = Instant::now() + millis(limits.head_within);
        loop {
            let before = self.buf.len();
            match self.codec.decode(&mut self.buf) {
                Ok(Some(Message::Item(_))) if before - self.buf.len() > limits.head => {
                    return NextRequest::Bad(Code::HeadTooLarge);
                }
                Ok(Some(Message::Item(req))) => {
                    self.version = req.head().version;
                    return NextRequest::Request(req);
                }
                Ok(Some(Message::Chunk(_))) => return NextRequest::Bad(Code::RequestBad),
                Ok(None) if self.buf.len() > limits.head => {
                    return NextRequest::Bad(Code::HeadTooLarge);
                }
                Ok(None) => {}
                Err(_) => return NextRequest::Bad(Code::RequestBad),
            }
            match timeout_at(until, self.fill()).await {
                Ok(Ok(true)) => {}
                Ok(_) => return NextRequest::Closed,
                Err(_) => return NextRequest::Bad(Code::BodyCut),
            }
        }
    }

    /// Reads the body of the current request: at most `max_bytes`, until `within` has passed.
    pub async fn read_body(&mut self, max_bytes: usize, within: Duration) -> Result<Bytes, Code> {
        use actix_http::h1::MessageType;
        if self.codec.message_type() == MessageType::None {
            return Ok(Bytes::new());
        }
        let until = Instant::now() + within;
        let mut body = BytesMut::new();
        let mut framing = FramingLimit::default();
        loop {
            let before = self.buf.len();
            let decoded = self.codec.decode(&mut self.buf);
            let consumed = before - self.buf.len();
            let within_limit = match &decoded {
                Ok(Some(Message::Chunk(Some(chunk)))) => framing.record(consumed, chunk.len()),
                _ => framing.record(consumed, 0),
            };
            match decoded {
                _ if !within_limit => return Err(Code::RequestBad),
                Ok(Some(Message::Chunk(Some(chunk)))) => body.extend_from_slice(&chunk),
                Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
                Ok(Some(Message::Item(_))) => return Err(Code::RequestBad),
                Ok(None) => match timeout_at(until, self.fill()).await {
                    Ok(Ok(true)) => {}
                    _ => return Err(Code::BodyCut),
                },
                Err(_) => return Err(Code::RequestBad),
            }
            if body.len() > max_bytes {
                return Err(Code::BodyTooLarge);
            }
        }
    }

    /// Returns once the caller has closed the connection or was cut. Never returns if the caller has sent more
    /// than the maximum read-ahead. Sends held bytes meanwhile.
    pub async fn closed(&mut self) {
        if self.drain_to(0).await.is_err() {
            return;
        }
        loop {
            if self.buf.len() > MAX_READ_AHEAD_BYTES {
                return std::future::pending().await;
            }
            if !matches!(self.fill().await, Ok(true)) {
                return;
            }
        }
    }

    /// Returns whether the caller has closed the connection or was cut, without waiting.
    pub async fn is_closed(&mut self) -> bool {
        timeout(Duration::ZERO, self.closed()).await.is_ok()
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
        self.buf.reserve(READ_BYTES);
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

    /// Sends a complete response. Bytes of it may be held, see [`Client::forward`].
    pub async fn send_response(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    ) -> io::Result<()> {
        self.write_head(status, headers, BodySize::Sized(body.len() as u64))?;
        if !body.is_empty() {
            self.write_chunk(body)?;
        }
        self.write_end()?;
        self.forward().await
    }

    /// Shuts the connection down for writing, and reads and discards input for up to `within`. Unread input
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
        let until = Instant::now() + within;
        let mut discarded = BytesMut::with_capacity(READ_BYTES);
        while let Ok(Ok(n)) = timeout_at(until, self.stream.read_buf(&mut discarded)).await {
            if n == 0 {
                return;
            }
            discarded.clear();
        }
    }
}

/// Waits until the caller is cut.
async fn wait_cut(held: Option<&HeldOutput>) {
    match held {
        Some(held) => held.wait_cut().await,
        None => std::future::pending().await,
    }
}
