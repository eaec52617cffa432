//! HTTP/1.1 client connections.
//!
//! A connection carries one exchange at a time. It may be reused only after a complete response with
//! no bytes following it. The pooled client of the library treats an early close as the end of the
//! body, so this module uses its codec directly.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, HeaderName};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, StatusCode, Uri, Version};
use bytes::{Bytes, BytesMut};
use cypressfork_node::metric;
use metrics::counter;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::framing::FramingLimit;

mod dial;
mod joined;
mod open_error;
mod transport;

pub use dial::dial;
use joined::has_inner_status_line;
pub use open_error::OpenError;
pub use transport::Transport;

/// Maximum idle time of a connection whose server sends no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum idle time of a connection without any exchange yet: servers may close such connections
/// sooner, and have announced no timeout.
const UNUSED_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for reading bytes that have already arrived: the runtime reports them only at its next poll.
const BUFFERED_READ_TIMEOUT: Duration = Duration::from_millis(5);

/// Maximum size of a response head, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// Maximum number of interim responses before a final one.
const MAX_INTERIM: usize = 16;

/// Size of a body up to which it is sent in one write with the head, in bytes.
const MAX_COPIED_BODY: usize = 64 * 1024;

/// Buffer space reserved for each read, in bytes.
const READ_SIZE: usize = 16 * 1024;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Why an exchange ended without a complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// No byte of the request was sent, so the server cannot have run it.
    NotSent(String),
    /// A reused connection was closed before any byte of the request was sent.
    Stale,
    /// The connection ended; the server may have run the request.
    Closed(String),
    /// The server's host stopped responding; the server may have run the request.
    Silent(String),
    /// A message is malformed or too large; the server may have run the request.
    Protocol(String),
}

impl From<OpenError> for ExchangeError {
    fn from(error: OpenError) -> ExchangeError {
        ExchangeError::NotSent(error.to_string())
    }
}

impl From<io::Error> for ExchangeError {
    fn from(error: io::Error) -> ExchangeError {
        match error.kind() {
            io::ErrorKind::TimedOut => ExchangeError::Silent(error.to_string()),
            _ => ExchangeError::Closed(error.to_string()),
        }
    }
}

fn closed(why: &str) -> ExchangeError {
    ExchangeError::Closed(why.to_owned())
}

fn protocol_error(e: impl ToString) -> ExchangeError {
    ExchangeError::Protocol(e.to_string())
}

/// A request to send.
pub struct OutboundRequest<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query.
    pub uri: &'a Uri,
    /// Request headers.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: &'a Bytes,
}

/// Decoder for the current state of the connection.
enum Codec {
    /// Between messages, or reading a head.
    Head(ClientCodec),
    /// Reading a body with a length or in chunks.
    Body(ClientPayloadCodec, FramingLimit),
    /// Reading a body of which this many bytes are left.
    Length(u64),
    /// Reading a body that ends with the connection.
    UntilClose,
}

/// Result of probing an address.
pub enum ProbeResult<T = TcpStream> {
    /// A server accepted the connection.
    Listening(Connection<T>),
    /// The host refused the connection: no process listens on the port.
    Refused,
    /// The connection timed out or failed otherwise, which does not show whether a server is running.
    Unknown(String),
}

/// An HTTP/1.1 connection to a server.
pub struct Connection<T = TcpStream> {
    stream: T,
    buf: BytesMut,
    codec: Option<Codec>,
    /// The connection has carried an earlier exchange.
    used: bool,
    /// Bytes that answer no request on the connection have arrived.
    has_shown_surplus: bool,
    /// The first response on the connection, which can be no other's, has a status line in one of its fields.
    names_status_lines: bool,
    /// Maximum time without further bytes inside a head, if there is one.
    max_head_pause: Option<Duration>,
    /// The request is HEAD.
    answers_head: bool,
    /// The current response has no body.
    has_no_body: bool,
    /// The body ends with the connection.
    until_close: bool,
    /// Length of the body by the current response's head, if it has one.
    content_length: Option<u64>,
    /// The server closes the connection after this response.
    closes_after: bool,
    /// Maximum time between two exchanges.
    idle_timeout: Duration,
    idle_since: Instant,
}

impl Connection {
    /// Connects to a server. Fails after 600 ms or if the server is unreachable.
    pub async fn open(address: SocketAddr) -> Result<Connection, OpenError> {
        dial(None, address).await.map(Connection::new)
    }
}

impl<T> From<Result<Connection<T>, OpenError>> for ProbeResult<T> {
    /// Converts the outcome of a connection that was opened to find out whether a server is listening.
    fn from(opened: Result<Connection<T>, OpenError>) -> ProbeResult<T> {
        match opened {
            Ok(c) => ProbeResult::Listening(Connection { idle_timeout: UNUSED_IDLE_TIMEOUT, ..c }),
            Err(OpenError::Refused) => ProbeResult::Refused,
            Err(e) => ProbeResult::Unknown(e.to_string()),
        }
    }
}

impl<T: Transport> Connection<T> {
    /// Wraps a stream to a server that has carried no exchange yet.
    pub fn new(stream: T) -> Connection<T> {
        Connection {
            stream,
            buf: BytesMut::new(),
            codec: Some(Codec::Head(ClientCodec::default())),
            used: false,
            has_shown_surplus: false,
            names_status_lines: false,
            max_head_pause: None,
            answers_head: false,
            has_no_body: false,
            until_close: false,
            content_length: None,
            closes_after: false,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            idle_since: Instant::now(),
        }
    }

    /// Returns the stream that carries the connection.
    pub fn transport(&self) -> &T {
        &self.stream
    }

    /// Returns true if the connection has carried an earlier exchange.
    pub fn is_reused(&self) -> bool {
        self.used
    }

    /// Returns true if an idle connection has received no bytes, was not closed, and is within its idle
    /// timeout.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.stream.is_silent() && self.buf.is_empty() && self.idle_for(now) < self.idle_timeout
    }

    /// Returns true if bytes have arrived since the end of the last response.
    pub fn has_surplus(&self) -> bool {
        self.is_between_messages() && (!self.buf.is_empty() || self.stream.has_unread())
    }

    /// Records that bytes on the connection answer no request, so that it is not reused.
    pub fn mark_surplus(&mut self) {
        self.has_shown_surplus = true;
    }

    /// Sets the maximum time without further bytes inside the next heads, until the connection is idle.
    pub fn limit_head_pause(&mut self, max: Duration) {
        self.max_head_pause = Some(max);
    }

    /// Returns how long the connection has been idle.
    pub fn idle_for(&self, now: Instant) -> Duration {
        now.duration_since(self.idle_since)
    }

    /// Waits until the server closes a connection on which no request was sent.
    pub async fn wait_closed(&mut self) {
        while matches!(self.fill().await, Ok(true)) {}
    }

    /// Sends a request. An error may leave the request partly or wholly sent.
    pub async fn send(&mut self, o: OutboundRequest<'_>) -> Result<(), ExchangeError> {
        self.answers_head = o.method == Method::HEAD;
        let mut head = RequestHead::default();
        head.method = o.method.clone();
        head.uri = o.uri.clone();
        head.headers = o.headers;
        let size = match (o.body.is_empty(), o.method) {
            (true, &Method::GET | &Method::HEAD | &Method::DELETE) => BodySize::None,
            _ => BodySize::Sized(o.body.len() as u64),
        };
        let is_copied = o.body.len() <= MAX_COPIED_BODY;
        let copied = if is_copied { o.body.len() } else { 0 };
        let mut out = BytesMut::with_capacity(1024 + copied);
        let Some(Codec::Head(codec)) = &mut self.codec else {
            return Err(protocol_error("out of step"));
        };
        let item = Message::Item((RequestHeadType::Owned(head), size));
        codec.encode(item, &mut out).map_err(protocol_error)?;
        if is_copied && !o.body.is_empty() {
            codec.encode(Message::Chunk(Some(o.body.clone())), &mut out).map_err(protocol_error)?;
        }
        if is_copied {
            codec.encode(Message::Chunk(None), &mut out).map_err(protocol_error)?;
        }
        self.write(&out).await?;
        if is_copied {
            return Ok(());
        }
        // A body with a length is sent as it is.
        match self.write(o.body).await {
            Err(ExchangeError::Stale) => Err(closed("nothing more can be sent")),
            sent => sent,
        }
    }

    /// Sends bytes. Fails with [`ExchangeError::Stale`] if the connection was reused and none was sent.
    async fn write(&mut self, bytes: &[u8]) -> Result<(), ExchangeError> {
        let mut sent = 0;
        while sent < bytes.len() {
            match self.stream.write(&bytes[sent..]).await {
                Ok(n) if n > 0 => sent += n,
                _ if self.used && sent == 0 && !self.stream.sends_partly() => {
                    return Err(ExchangeError::Stale);
                }
                Ok(_) => return Err(closed("nothing more can be sent")),
                Err(e) => return Err(e.into()),
            }
        }
        Ok(())
    }

    /// Reads more bytes into the buffer. Returns false at the end of the connection.
    async fn fill(&mut self) -> Result<bool, ExchangeError> {
        self.buf.reserve(READ_SIZE);
        Ok(self.stream.read(&mut self.buf).await? > 0)
    }

    /// Reads the head of the next final response. Interim ones (1xx) before it are skipped.
    pub async fn read_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        for _ in 0..=MAX_INTERIM {
            let head = self.read_any_head().await?;
            if head.status == StatusCode::SWITCHING_PROTOCOLS {
                return Err(protocol_error("the server switches to another protocol"));
            }
            if !head.status.is_informational() {
                self.begin_body(&head);
                return Ok(head);
            }
            counter!(metric::INTERIM_RESPONSES).increment(1);
            if self.reads_body() {
                // It has no body, whatever its head says.
                self.codec = Some(Codec::Head(ClientCodec::default()));
            }
        }
        Err(protocol_error("too many interim responses"))
    }

    /// Reads the head of the next response, which may be an interim one.
    async fn read_any_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        loop {
            let Some(Codec::Head(codec)) = &mut self.codec else {
                return Err(protocol_error("out of step"));
            };
            let has_inner_status_line = has_inner_status_line(&self.buf);
            if has_inner_status_line && self.used && !self.names_status_lines {
                return Err(protocol_error("a response begins inside the head of another one"));
            }
            if let Some(head) = codec.decode(&mut self.buf).map_err(protocol_error)? {
                self.names_status_lines |= has_inner_status_line;
                return Ok(head);
            }
            if self.buf.len() > MAX_HEAD {
                return Err(protocol_error("the head of the answer is too large"));
            }
            if !self.fill_head().await? {
                return Err(closed("the connection closed before an answer"));
            }
        }
    }

    /// Reads more bytes of a head. Returns false at the end of the connection.
    async fn fill_head(&mut self) -> Result<bool, ExchangeError> {
        match self.max_head_pause {
            Some(max) if !self.buf.is_empty() => timeout(max, self.fill())
                .await
                .unwrap_or_else(|_| Err(protocol_error("the rest of a head does not arrive"))),
            _ => self.fill().await,
        }
    }

    /// Returns whether the decoder expects a body after the head that it has returned.
    fn reads_body(&self) -> bool {
        let Some(Codec::Head(codec)) = &self.codec else { return false };
        codec.message_type() != MessageType::None
    }

    /// Selects the decoder for the body that follows `head`.
    fn begin_body(&mut self, head: &ResponseHead) {
        let Some(Codec::Head(codec)) = self.codec.take() else { return };
        self.closes_after = !codec.keep_alive();
        self.content_length = content_length(head);
        self.has_no_body = self.answers_head || is_bodiless(head.status);
        // The library knows neither a body that ends with the connection nor one beside an offer to upgrade, and takes
        // a length for none in HTTP/1.0 if it is 0.
        let has_framing = codec.message_type() != MessageType::None;
        let is_old = head.version < Version::HTTP_11;
        self.until_close =
            !self.has_no_body && self.content_length.is_none() && (is_old || !has_framing);
        if let Some(timeout) = idle_timeout(head) {
            self.idle_timeout = timeout;
        }
        self.codec = Some(match self.content_length {
            _ if self.has_no_body => Codec::Head(ClientCodec::default()),
            None if self.until_close => Codec::UntilClose,
            Some(length) if is_old || !has_framing => Codec::Length(length),
            _ => Codec::Body(codec.into_payload_codec(), FramingLimit::default()),
        });
    }

    /// Returns true if the current response has no body by its status or because it is one to HEAD. A length in its
    /// head is then that of another response.
    pub fn has_no_body(&self) -> bool {
        self.has_no_body
    }

    /// Returns the length of the current response's body, if its head has one.
    pub fn content_length(&self) -> Option<u64> {
        self.content_length
    }

    /// Reads the next chunk of the response body. Returns `None` at its end.
    pub async fn read_chunk(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match &mut self.codec {
                Some(Codec::Body(codec, framing)) => {
                    let before = self.buf.len();
                    let decoded = codec.decode(&mut self.buf).map_err(protocol_error)?;
                    let body = decoded.iter().flatten().map(Bytes::len).sum();
                    if !framing.record(before - self.buf.len(), body) {
                        return Err(protocol_error("the chunk framing of the answer is too large"));
                    }
                    match decoded {
                        Some(Some(chunk)) => return Ok(Some(chunk)),
                        Some(None) => {
                            self.end_body();
                            return Ok(None);
                        }
                        None => {}
                    }
                }
                Some(Codec::Length(0)) => {
                    self.codec = Some(Codec::Head(ClientCodec::default()));
                    return Ok(None);
                }
                Some(Codec::Length(left)) if !self.buf.is_empty() => {
                    let chunk = self.buf.split_to(self.buf.len().min(*left as usize));
                    *left -= chunk.len() as u64;
                    return Ok(Some(chunk.freeze()));
                }
                Some(Codec::Length(_)) => {}
                Some(Codec::UntilClose) if !self.buf.is_empty() => {
                    return Ok(Some(self.buf.split().freeze()));
                }
                Some(Codec::UntilClose) => {}
                _ => return Ok(None),
            }
            if !self.fill().await? {
                if self.until_close {
                    return Ok(None);
                }
                return Err(closed("the connection closed before the answer was whole"));
            }
        }
    }

    /// Reads the part of the response body that has already arrived, and stops once it has `max` bytes or
    /// more. Returns its chunks, and false if it stopped at `max`.
    pub async fn read_buffered(&mut self, max: usize) -> (Vec<Bytes>, bool) {
        let mut chunks = Vec::new();
        let mut bytes = 0;
        // The timeout below ends this at the first read that has to wait.
        let reading = async {
            while let Ok(Some(chunk)) = self.read_chunk().await {
                bytes += chunk.len();
                chunks.push(chunk);
                if bytes >= max {
                    return false;
                }
            }
            true
        };
        let is_all = timeout(BUFFERED_READ_TIMEOUT, reading).await.unwrap_or(true);
        (chunks, is_all)
    }

    /// Returns to decoding heads after the end of a body.
    fn end_body(&mut self) {
        if let Some(Codec::Body(codec, _)) = self.codec.take() {
            self.codec = Some(Codec::Head(codec.into_message_codec()));
        }
    }

    /// Returns true if the response ends with the connection, so that truncation cannot be detected.
    pub fn is_unframed(&self) -> bool {
        self.until_close
    }

    /// Marks the connection as idle until the next exchange.
    pub fn mark_idle(&mut self, now: Instant) {
        self.used = true;
        self.max_head_pause = None;
        // Frees the buffer, because many connections may be idle at once.
        self.buf = BytesMut::new();
        self.idle_since = now;
    }

    /// Returns true if the last response was complete and the connection can carry another exchange. One that has
    /// carried HEAD cannot: a late second response to it would take the next response for its body.
    pub fn is_reusable(&self) -> bool {
        let is_complete = self.is_between_messages() && self.buf.is_empty();
        let may_continue = !self.closes_after && !self.until_close && !self.answers_head;
        is_complete && may_continue && !self.has_shown_surplus
    }

    fn is_between_messages(&self) -> bool {
        matches!(self.codec, Some(Codec::Head(_)))
    }
}

/// Returns true if a final response with this status has no body.
fn is_bodiless(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

fn content_length(head: &ResponseHead) -> Option<u64> {
    head.headers.get(CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

/// Fraction of the server's keep-alive timeout in which a connection is reused. The remainder is a
/// margin for requests in transit.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;

/// Returns how long the connection may stay idle, from the `Keep-Alive` header of the response.
fn idle_timeout(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).mul_f64(IDLE_TIMEOUT_FRACTION))
}
