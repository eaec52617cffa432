//! A connection to a server of HTTP/1.1.
//!
//! One exchange at a time runs on it. It may be kept for the next only after an answer that was
//! whole, with no byte behind it. The pooled client of the library takes an early close for the end
//! of a body, so its codec is used directly.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, HeaderName};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, Uri};
use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// How long a server may take to accept a connection.
const CONNECT_WITHIN: Duration = Duration::from_millis(600);

/// How long a connection may rest if the server does not say.
const REST: Duration = Duration::from_secs(5);

/// How long a connection may rest on which nothing was said yet: a server may give such a one less
/// time than others, and has not told how much.
const UNUSED_REST: Duration = Duration::from_secs(1);

/// How long it is looked for bytes that have come already: the process learns of them when it next waits.
const ARRIVED_WITHIN: Duration = Duration::from_millis(5);

/// The largest head of an answer.
const HEAD_CAP: usize = 64 * 1024;

/// Bytes read at a time.
const READ: usize = 16 * 1024;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Why there is no answer, or no whole one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Broken {
    /// No byte of the request was sent.
    NotSent(String),
    /// The connection had rested, and ended without a byte of an answer.
    Stale,
    /// Some of it may have been run: the connection ended.
    Closed(String),
    /// Some of it may have been run: what came is no answer.
    Sent(String),
}

fn sent(e: impl ToString) -> Broken {
    Broken::Sent(e.to_string())
}

/// A request as it goes to a server.
pub struct Outbound<'a> {
    /// The method.
    pub method: &'a Method,
    /// Path and query.
    pub uri: &'a Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: &'a Bytes,
}

/// What reads the connection.
enum Codec {
    Heads(ClientCodec),
    Pieces(ClientPayloadCodec),
    /// All that comes until the connection ends.
    Rest,
}

/// What is found at a server's address.
pub enum Presence {
    /// A server that accepts connections.
    There(Connection),
    /// Nobody: the machine answers that nothing listens there.
    Nobody,
    /// No answer, or none that tells anything of the server.
    Unknown(String),
}

/// A connection to a server.
pub struct Connection {
    stream: TcpStream,
    buf: BytesMut,
    codec: Option<Codec>,
    /// It carried an exchange before.
    used: bool,
    /// Bytes came since the last request was sent.
    answered: bool,
    /// The body ends with the connection.
    until_close: bool,
    /// The server wants it closed after this answer.
    last: bool,
    rest: Duration,
    resting_since: Instant,
}

impl Connection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> Result<Connection, Broken> {
        match timeout(CONNECT_WITHIN, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => Ok(Connection::new(stream)),
            Ok(Err(e)) => Err(Broken::NotSent(e.to_string())),
            Err(_) => Err(Broken::NotSent("no connection in time".to_owned())),
        }
    }

    /// Looks whether anybody listens at an address.
    pub async fn probe(address: SocketAddr) -> Presence {
        match timeout(CONNECT_WITHIN, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                let rest = UNUSED_REST;
                Presence::There(Connection { rest, ..Connection::new(stream) })
            }
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => Presence::Nobody,
            Ok(Err(e)) => Presence::Unknown(e.to_string()),
            Err(_) => Presence::Unknown("no connection in time".to_owned()),
        }
    }

    fn new(stream: TcpStream) -> Connection {
        // A failure here only makes small requests slower.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buf: BytesMut::new(),
            codec: Some(Codec::Heads(ClientCodec::default())),
            used: false,
            answered: false,
            until_close: false,
            last: false,
            rest: REST,
            resting_since: Instant::now(),
        }
    }

    /// Whether nothing has come since it was laid aside, and it has not rested too long.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let mut byte = [0];
        let quiet = matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        quiet && self.buf.is_empty() && now.duration_since(self.resting_since) < self.rest
    }

    /// Waits until the server ends a connection on which nothing was said.
    pub async fn ended_unused(&mut self) {
        while matches!(self.fill().await, Ok(true)) {}
    }

    /// Sends a request.
    pub async fn send(&mut self, o: Outbound<'_>) -> Result<(), Broken> {
        let mut head = RequestHead::default();
        head.method = o.method.clone();
        head.uri = o.uri.clone();
        head.headers = o.headers;
        let size = match (o.body.is_empty(), o.method) {
            (true, &Method::GET | &Method::HEAD | &Method::DELETE) => BodySize::None,
            _ => BodySize::Sized(o.body.len() as u64),
        };
        let mut out = BytesMut::with_capacity(1024 + o.body.len());
        let Some(Codec::Heads(codec)) = &mut self.codec else { return Err(sent("out of step")) };
        let item = Message::Item((RequestHeadType::Owned(head), size));
        codec.encode(item, &mut out).map_err(sent)?;
        if !o.body.is_empty() {
            codec.encode(Message::Chunk(Some(o.body.clone())), &mut out).map_err(sent)?;
        }
        codec.encode(Message::Chunk(None), &mut out).map_err(sent)?;
        self.answered = false;
        self.stream.write_all(&out).await.map_err(|e| self.ended(&e.to_string()))
    }

    /// How an exchange that ended without an answer is to be taken.
    fn ended(&self, why: &str) -> Broken {
        if self.used && !self.answered { Broken::Stale } else { Broken::Closed(why.to_owned()) }
    }

    /// Reads more bytes; false at the end of the connection.
    async fn fill(&mut self) -> Result<bool, Broken> {
        self.buf.reserve(READ);
        match self.stream.read_buf(&mut self.buf).await {
            Ok(0) => Ok(false),
            Ok(_) => {
                self.answered = true;
                Ok(true)
            }
            Err(e) => Err(self.ended(&e.to_string())),
        }
    }

    /// The head of the next answer.
    pub async fn head(&mut self) -> Result<ResponseHead, Broken> {
        loop {
            let Some(Codec::Heads(codec)) = &mut self.codec else {
                return Err(sent("out of step"));
            };
            if let Some(head) = codec.decode(&mut self.buf).map_err(sent)? {
                self.begin_body(&head);
                return Ok(head);
            }
            if self.buf.len() > HEAD_CAP {
                return Err(sent("the head of the answer is too large"));
            }
            if !self.fill().await? {
                return Err(self.ended("the connection closed before an answer"));
            }
        }
    }

    fn begin_body(&mut self, head: &ResponseHead) {
        let Some(Codec::Heads(codec)) = self.codec.take() else { return };
        self.last = !codec.keep_alive();
        // The library takes an answer that does not tell its length for one without a body.
        self.until_close = codec.message_type() == MessageType::None && may_have_body(head);
        if let Some(rest) = rest(head) {
            self.rest = rest;
        }
        self.codec = Some(match codec.message_type() {
            MessageType::None if self.until_close => Codec::Rest,
            MessageType::None => Codec::Heads(codec),
            _ => Codec::Pieces(codec.into_payload_codec()),
        });
    }

    /// The next piece of the answer's body; none at its end.
    pub async fn piece(&mut self) -> Result<Option<Bytes>, Broken> {
        loop {
            match &mut self.codec {
                Some(Codec::Pieces(codec)) => match codec.decode(&mut self.buf).map_err(sent)? {
                    Some(Some(piece)) => return Ok(Some(piece)),
                    Some(None) => {
                        self.end_body();
                        return Ok(None);
                    }
                    None => {}
                },
                Some(Codec::Rest) if !self.buf.is_empty() => {
                    return Ok(Some(self.buf.split().freeze()));
                }
                Some(Codec::Rest) => {}
                _ => return Ok(None),
            }
            if !self.fill().await? {
                if self.until_close {
                    return Ok(None);
                }
                return Err(self.ended("the connection closed before the answer was whole"));
            }
        }
    }

    /// Reads what has come already of the answer's body, at most `most` bytes. Returns its pieces, and whether
    /// that was all.
    pub async fn arrived(&mut self, most: usize) -> (Vec<Bytes>, bool) {
        let mut pieces = Vec::new();
        let mut bytes = 0;
        // Ends at the first moment at which there is nothing to read.
        let reading = async {
            while let Ok(Some(piece)) = self.piece().await {
                bytes += piece.len();
                pieces.push(piece);
                if bytes >= most {
                    return false;
                }
            }
            true
        };
        let all = timeout(ARRIVED_WITHIN, reading).await.unwrap_or(true);
        (pieces, all)
    }

    fn end_body(&mut self) {
        if let Some(Codec::Pieces(codec)) = self.codec.take() {
            self.codec = Some(Codec::Heads(codec.into_message_codec()));
        }
    }

    /// Whether the answer ends with the connection, so that it may have been cut short.
    pub fn is_unframed(&self) -> bool {
        self.until_close
    }

    /// Lays it aside until the next exchange.
    pub fn lay_aside(&mut self, now: Instant) {
        self.used = true;
        // Many rest, with many servers: their buffers are made anew when they are needed.
        self.buf = BytesMut::new();
        self.resting_since = now;
    }

    /// Whether another exchange may run on it.
    pub fn is_reusable(&self) -> bool {
        let between = matches!(self.codec, Some(Codec::Heads(_)));
        between && !self.last && !self.until_close && self.buf.is_empty()
    }
}

/// Whether an answer without a length has a body that ends with the connection.
fn may_have_body(head: &ResponseHead) -> bool {
    let bodiless = matches!(head.status.as_u16(), 100..=199 | 204 | 304);
    !bodiless && !head.headers.contains_key(CONTENT_LENGTH)
}

/// The part of the time a server keeps a connection in which it is used: the rest is a margin for
/// what is under way.
const REST_PART: f64 = 0.6;

/// How long the server keeps the connection.
fn rest(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).mul_f64(REST_PART))
}
