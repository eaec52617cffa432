//! A caller's connection.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::HeaderMap;
use actix_http::{Request, Response, ServiceConfig, StatusCode};
use bytes::{Bytes, BytesMut};
use cypressfork_core::code::Code;
use cypressfork_core::fleet::document::Limits;
use cypressfork_node::metric;
use metrics::counter;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, timeout_at};

/// Bytes read at a time.
const READ: usize = 16 * 1024;

/// Bytes that a caller may send ahead of the answer to its last request.
const AHEAD: usize = 64 * 1024;

/// What comes next on a connection.
pub enum Next {
    /// A request.
    Request(Request),
    /// Nothing more.
    Closed,
    /// Something that cannot be served; the connection is of no more use.
    Bad(Code),
}

/// A caller's connection.
pub struct Client {
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    buf: BytesMut,
    out: BytesMut,
    codec: Codec,
    /// The connection ends with the present answer.
    closing: bool,
    /// Some of the present answer was written.
    begun: bool,
    /// The present answer ends with the connection.
    unframed: bool,
    /// Bytes from and to all callers of the process.
    served: Rc<Cell<u64>>,
}

fn millis(m: cypressfork_core::unit::Millis) -> Duration {
    Duration::from_millis(m.0)
}

impl Client {
    /// A connection that was accepted; what passes on it is added to `served`.
    pub fn new(stream: TcpStream, config: &ServiceConfig, served: Rc<Cell<u64>>) -> Client {
        // A failure here only makes small pieces slower.
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        Client {
            reader,
            writer,
            buf: BytesMut::new(),
            out: BytesMut::new(),
            codec: Codec::new(config.clone()),
            closing: false,
            begun: false,
            unframed: false,
            served,
        }
    }

    fn count(&self, way: &'static str, bytes: usize) {
        self.served.set(self.served.get() + bytes as u64);
        counter!(metric::SERVED, "way" => way).increment(bytes as u64);
    }

    async fn fill(&mut self) -> io::Result<bool> {
        self.buf.reserve(READ);
        let n = self.reader.read_buf(&mut self.buf).await?;
        self.count("from_callers", n);
        Ok(n > 0)
    }

    /// Waits for the next request: as long as it may rest, and then for its whole head.
    pub async fn next(&mut self, limits: &Limits, stop: impl Future<Output = ()>) -> Next {
        self.begun = false;
        let idle = Instant::now() + millis(limits.idle);
        if self.buf.is_empty() {
            // A connection that rests holds no memory.
            self.buf = BytesMut::new();
            self.out = BytesMut::new();
            let first = timeout_at(idle, self.fill());
            let got = tokio::select! {
                got = first => got,
                () = stop => return Next::Closed,
            };
            if !matches!(got, Ok(Ok(true))) {
                return Next::Closed;
            }
        }
        let until = Instant::now() + millis(limits.head_within);
        loop {
            let before = self.buf.len();
            match self.codec.decode(&mut self.buf) {
                Ok(Some(Message::Item(_))) if before - self.buf.len() > limits.head => {
                    return Next::Bad(Code::HeadTooLarge);
                }
                Ok(Some(Message::Item(req))) => return Next::Request(req),
                Ok(Some(Message::Chunk(_))) => return Next::Bad(Code::RequestBad),
                Ok(None) if self.buf.len() > limits.head => return Next::Bad(Code::HeadTooLarge),
                Ok(None) => {}
                Err(_) => return Next::Bad(Code::RequestBad),
            }
            match timeout_at(until, self.fill()).await {
                Ok(Ok(true)) => {}
                Ok(_) => return Next::Closed,
                Err(_) => return Next::Bad(Code::BodyCut),
            }
        }
    }

    /// The body of the request that came last.
    pub async fn body(&mut self, cap: usize, within: Duration) -> Result<Bytes, Code> {
        use actix_http::h1::MessageType;
        if self.codec.message_type() == MessageType::None {
            return Ok(Bytes::new());
        }
        let until = Instant::now() + within;
        let mut all = BytesMut::new();
        loop {
            match self.codec.decode(&mut self.buf) {
                Ok(Some(Message::Chunk(Some(piece)))) => all.extend_from_slice(&piece),
                Ok(Some(Message::Chunk(None))) => return Ok(all.freeze()),
                Ok(Some(Message::Item(_))) => return Err(Code::RequestBad),
                Ok(None) => match timeout_at(until, self.fill()).await {
                    Ok(Ok(true)) => {}
                    _ => return Err(Code::BodyCut),
                },
                Err(_) => return Err(Code::RequestBad),
            }
            if all.len() > cap {
                return Err(Code::BodyTooLarge);
            }
        }
    }

    /// Returns once the caller has closed the connection.
    pub async fn gone(&mut self) {
        loop {
            if self.buf.len() > AHEAD {
                return std::future::pending().await;
            }
            if !matches!(self.fill().await, Ok(true)) {
                return;
            }
        }
    }

    /// Ends the connection with the present answer.
    pub fn close_after(&mut self) {
        self.closing = true;
    }

    /// Whether another request may follow.
    pub fn is_open(&self) -> bool {
        !self.closing && self.codec.keep_alive()
    }

    /// Whether the present answer was begun in a form that tells its end.
    pub fn is_framed(&self) -> bool {
        self.begun && !self.unframed
    }

    /// Whether some of the present answer was written.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Writes the head of an answer into the buffer.
    pub fn head(
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

    /// Writes the head of an answer that ends with the connection: nobody can tell whether it is
    /// whole, so it must not look so.
    pub fn unframed_head(&mut self, status: StatusCode, headers: HeaderMap) -> io::Result<()> {
        self.closing = true;
        self.unframed = true;
        let mut r = Response::new(status).drop_body();
        *r.headers_mut() = headers;
        r.head_mut().no_chunking(true);
        r.head_mut().set_connection_type(actix_http::ConnectionType::Close);
        self.codec.encode(Message::Item((r, BodySize::Stream)), &mut self.out)
    }

    /// Writes a piece of the body into the buffer.
    pub fn piece(&mut self, bytes: Bytes) -> io::Result<()> {
        self.codec.encode(Message::Chunk(Some(bytes)), &mut self.out)
    }

    /// Writes the end of the body into the buffer.
    pub fn end(&mut self) -> io::Result<()> {
        self.codec.encode(Message::Chunk(None), &mut self.out)
    }

    /// Sends what is in the buffer.
    pub async fn flush(&mut self) -> io::Result<()> {
        if self.out.is_empty() {
            return Ok(());
        }
        self.begun = true;
        self.count("to_callers", self.out.len());
        self.writer.write_all(&self.out).await?;
        self.out.clear();
        Ok(())
    }

    /// Sends a whole answer.
    pub async fn whole(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    ) -> io::Result<()> {
        self.head(status, headers, BodySize::Sized(body.len() as u64))?;
        if !body.is_empty() {
            self.piece(body)?;
        }
        self.end()?;
        self.flush().await
    }

    /// Sends a whole answer of which the replica did not tell where it ends.
    pub async fn unframed(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    ) -> io::Result<()> {
        self.unframed_head(status, headers)?;
        if !body.is_empty() {
            self.piece(body)?;
        }
        self.end()?;
        self.flush().await
    }

    /// Says that nothing more comes, and reads what the caller still sends for a short while, so
    /// that closing does not take the last answer away from it.
    pub async fn close(mut self, within: Duration) {
        // The connection is of no more use, whatever comes.
        let _ = self.writer.shutdown().await;
        let until = Instant::now() + within;
        let mut rest = BytesMut::with_capacity(READ);
        while let Ok(Ok(n)) = timeout_at(until, self.reader.read_buf(&mut rest)).await {
            if n == 0 {
                return;
            }
            rest.clear();
        }
    }
}
