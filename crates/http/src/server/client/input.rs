//! Reading from a client's connection: heads and bodies of requests, within the limits of the process.

use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;

use actix_http::h1::{Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap};
use actix_http::{HttpMessage, Request};
use bytes::{Bytes, BytesMut};
use cypressfork_core::code::Code;
use cypressfork_core::fleet::client_table::Full;
use cypressfork_core::fleet::document::Limits;
use cypressfork_core::unit::Millis;
use cypressfork_node::silence;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::{Client, MAX_READ_AHEAD_BYTES, MIN_SPACE, READ_BYTES};
use crate::body_buffer::BodyBuffer;
use crate::framing::FramingLimit;
use crate::server::clients::{LongHeadTurn, RECEIVE_BUFFER};
use crate::server::head;

/// Buffer space for a head that is as short as most, in bytes.
pub(super) const HEAD_BYTES: usize = 2 * 1024;

/// Interval at which a connection is checked for its end while nothing is read from it.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Memory of one header field of a request that is being served, in bytes.
const FIELD_BYTES: usize = 1024;

/// Number of fields above which a head is long.
const LONG_HEAD_FIELDS: usize = 96;

/// Time in which any body may arrive, and the least bytes per second of one that takes longer.
const BODY_TIME: Duration = Duration::from_secs(10);
const MIN_BODY_PACE: usize = 16 * 1024;

/// Size of the rest of a body up to which it is read and dropped, so that the connection can be kept, and the time for
/// that.
const MAX_SKIPPED_BYTES: usize = 64 * 1024;
const SKIP_TIME: Duration = Duration::from_millis(250);

/// Input that is discarded while a connection closes whose client may not be inside the limits, in bytes.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// Time that a pass of the event loop takes at least in a busy process.
const BUSY_PASS: Duration = Duration::from_millis(5);

/// For how many passes a request that was sent ahead, and each read of a large body, wait in a busy process.
const SENT_AHEAD_PASSES: u32 = 8;
const BODY_PASSES: u32 = 2;

/// The result of waiting for the next request on a connection.
pub enum NextRequest {
    /// The head of a request.
    Request(Request),
    /// No further request: the connection was closed or idle too long, or the gateway stops accepting.
    Closed,
    /// Invalid input; the connection cannot be reused.
    Bad(Code),
}

/// Why no more of a request was read.
enum ReadError {
    /// The connection has ended.
    Ended,
    /// It took too long.
    Late,
    /// The connection has to make room for others.
    NoRoom,
}

impl From<ReadError> for Code {
    fn from(e: ReadError) -> Code {
        match e {
            ReadError::Ended | ReadError::Late => Code::BodyCut,
            ReadError::NoRoom => Code::Overloaded,
        }
    }
}

/// A part of a body.
enum Decoded {
    Chunk(Bytes),
    End,
    /// More bytes are needed.
    Incomplete,
}

fn millis(m: Millis) -> Duration {
    Duration::from_millis(m.0)
}

/// Returns the length of a request's body, if its head has one.
fn content_length(req: &Request) -> Option<u64> {
    req.headers().get(CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

/// Lets other tasks run, and in a busy process waits for some more `passes` of its event loop, so that short requests of
/// clients that wait for their responses come first.
async fn give_way(passes: u32) {
    let started = Instant::now();
    yield_now().await;
    let pass = started.elapsed();
    if pass >= BUSY_PASS {
        sleep(pass * passes).await;
    }
}

/// Moves headers to a map of their number. The library makes room for 16 in each request, which takes more memory than
/// all else of a request with a short body.
fn shrink(headers: &mut HeaderMap) {
    let all = std::mem::take(headers);
    headers.reserve(all.len_keys());
    for (name, value) in all {
        headers.append(name, value);
    }
}

/// Makes room for `room` bytes, or for as many as it holds, in a buffer that is nearly full.
pub(super) fn reserve(buf: &mut BytesMut, room: usize) {
    if buf.capacity() - buf.len() < MIN_SPACE {
        buf.reserve(room.max(buf.len().min(READ_BYTES)));
    }
}

impl Client {
    /// Reads more input into the buffer, which has room for `room` bytes unless it holds some. Returns whether there
    /// was any.
    async fn fill(&mut self, room: usize) -> io::Result<bool> {
        reserve(&mut self.buf, room);
        let n = self.stream.read_buf(&mut self.buf).await?;
        self.count_bytes("from_callers", n);
        Ok(n > 0)
    }

    /// Returns the memory that the connection holds for requests.
    pub(super) fn held_bytes(&self) -> usize {
        // A full buffer means that more has arrived.
        let unread = if self.buf.len() >= MAX_READ_AHEAD_BYTES { RECEIVE_BUFFER } else { 0 };
        self.request_bytes + self.buf.capacity() + unread
    }

    /// Reads more of a request until `until`.
    async fn fill_request(&mut self, room: usize, until: Instant) -> Result<(), ReadError> {
        self.account.record_progress(self.held_bytes());
        if self.account.is_closed() {
            return Err(ReadError::NoRoom);
        }
        let filled = {
            let Client { account, stream, buf, .. } = self;
            reserve(buf, room);
            tokio::select! {
                biased;
                () = account.wait_closed() => return Err(ReadError::NoRoom),
                filled = timeout_at(until, stream.read_buf(buf)) => filled,
            }
        };
        match filled {
            Ok(Ok(n)) if n > 0 => {
                self.count_bytes("from_callers", n);
                Ok(())
            }
            Ok(_) => Err(ReadError::Ended),
            Err(_) => Err(ReadError::Late),
        }
    }

    /// Waits for the head of the next request until the idle timeout or `stop`. From its first bytes on, the
    /// head timeout applies instead.
    pub async fn next_request(
        &mut self,
        limits: &Limits,
        stop: impl Future<Output = ()>,
    ) -> NextRequest {
        self.started = false;
        self.request_bytes = 0;
        if self.buf.is_empty() {
            // Idle connections keep no buffers.
            self.buf = BytesMut::new();
            self.out = BytesMut::new();
            self.account.record_held(0);
            self.account.end_exchange();
            let readable = tokio::select! {
                biased;
                () = self.account.wait_closed() => return NextRequest::Closed,
                readable = timeout(millis(limits.idle), self.stream.readable()) => readable,
                // The event loop may not have been told yet of what has arrived.
                () = stop => match self.has_arrived() {
                    true => Ok(Ok(())),
                    false => return NextRequest::Closed,
                },
            };
            if !matches!(readable, Ok(Ok(()))) {
                return NextRequest::Closed;
            }
            self.account.begin_exchange();
            if !std::mem::replace(&mut self.is_configured, true) {
                // Failure only delays small writes, or keeps the connection of a client that is gone for longer.
                let _ = self.stream.set_nodelay(true);
                let _ = silence::RELAXED.apply(&self.stream);
            }
        } else {
            give_way(SENT_AHEAD_PASSES).await;
        }
        let until = Instant::now() + millis(limits.head_within);
        loop {
            let before = self.buf.len();
            // A parsed head takes many times its bytes.
            let fields = if before > HEAD_BYTES { head::field_count(&self.buf) } else { 0 };
            let turn = match fields > LONG_HEAD_FIELDS {
                true => match self.wait_for_long_head_turn(until).await {
                    Some(turn) if self.account.has_room(fields * FIELD_BYTES) => Some(turn),
                    _ => return NextRequest::Bad(Code::Overloaded),
                },
                false => None,
            };
            let decoded = head::decode(&mut self.codec, &mut self.buf);
            drop(turn);
            match decoded {
                Ok(Some(Message::Item(_))) if before - self.buf.len() > limits.head => {
                    return NextRequest::Bad(Code::HeadTooLarge);
                }
                Ok(Some(Message::Item(req))) => {
                    self.version = req.head().version;
                    self.declared = content_length(&req);
                    self.expects_continue = req.head().expect();
                    let fields = req.head().headers.len();
                    self.request_bytes = before - self.buf.len() + fields * FIELD_BYTES;
                    self.account.record_progress(self.held_bytes());
                    return NextRequest::Request(req);
                }
                Ok(Some(Message::Chunk(_))) => return NextRequest::Bad(Code::RequestBad),
                Ok(None) if self.buf.len() > limits.head => {
                    return NextRequest::Bad(Code::HeadTooLarge);
                }
                Ok(None) => {}
                Err(_) => return NextRequest::Bad(Code::RequestBad),
            }
            match self.fill_request(HEAD_BYTES, until).await {
                Ok(()) => {}
                Err(ReadError::Late) => return NextRequest::Bad(Code::BodyCut),
                Err(ReadError::Ended | ReadError::NoRoom) => return NextRequest::Closed,
            }
        }
    }

    /// Waits for the turn to decode a long head. Returns none if the connection has to be closed first, or if the turn
    /// does not come in time.
    async fn wait_for_long_head_turn(&self, until: Instant) -> Option<LongHeadTurn> {
        tokio::select! {
            () = self.account.wait_closed() => None,
            turn = timeout_at(until, self.account.long_head_turn()) => turn.ok(),
        }
    }

    /// Returns whether the connection is closed without a response because its listener has too many.
    pub fn is_crowded_out(&self) -> bool {
        self.account.is_crowded_out()
    }

    /// Returns whether bytes wait to be read.
    fn has_arrived(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&self.stream).peek(&mut byte).is_ok_and(|n| n > 0)
    }

    /// Returns whether bytes were read that belong to no complete request.
    pub fn has_input(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Returns whether the current request has a body that is not read yet.
    pub fn has_body(&self) -> bool {
        self.codec.message_type() != MessageType::None
    }

    /// Reads the body of the current request, of at most `max_bytes`. Asks for it if the client waits for that.
    /// `headers` are those of the request, which are kept in little memory until the body has arrived.
    ///
    /// # Errors
    /// Fails if the body is too large, arrives too slowly or not whole, or if there is too little memory for it.
    pub async fn read_body(
        &mut self,
        headers: &mut HeaderMap,
        max_bytes: usize,
    ) -> Result<Bytes, Code> {
        if !self.has_body() {
            return Ok(Bytes::new());
        }
        let declared = self.declared;
        if declared.is_some_and(|n| n > max_bytes as u64) {
            return Err(Code::BodyTooLarge);
        }
        if self.expects_continue && self.buf.is_empty() {
            // An error shows when the body is read.
            let _ = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        }
        let head_bytes = self.request_bytes;
        let started = Instant::now();
        let mut body = BodyBuffer::new(declared, max_bytes);
        let mut framing = FramingLimit::default();
        loop {
            match self.decode_chunk(&mut framing)? {
                Decoded::Chunk(chunk) => {
                    body.push(&chunk)?;
                    self.request_bytes = head_bytes + body.capacity();
                }
                Decoded::End => return Ok(body.into_bytes()),
                Decoded::Incomplete => {
                    if body.is_empty() {
                        shrink(headers);
                    }
                    if body.len() > MAX_SKIPPED_BYTES {
                        give_way(BODY_PASSES).await;
                    }
                    let pace = Duration::from_millis((body.len() * 1_000 / MIN_BODY_PACE) as u64);
                    let left = declared.map_or(READ_BYTES, |n| n as usize - body.len());
                    self.fill_request(left.min(READ_BYTES), started + BODY_TIME + pace).await?;
                }
            }
        }
    }

    /// Decodes a part of the body from the buffer.
    fn decode_chunk(&mut self, framing: &mut FramingLimit) -> Result<Decoded, Code> {
        let before = self.buf.len();
        let decoded = head::decode(&mut self.codec, &mut self.buf);
        let consumed = before - self.buf.len();
        let within_limit = match &decoded {
            Ok(Some(Message::Chunk(Some(chunk)))) => framing.record(consumed, chunk.len()),
            _ => framing.record(consumed, 0),
        };
        match decoded {
            _ if !within_limit => Err(Code::RequestBad),
            Ok(Some(Message::Chunk(Some(chunk)))) => Ok(Decoded::Chunk(chunk)),
            Ok(Some(Message::Chunk(None))) => Ok(Decoded::End),
            Ok(Some(Message::Item(_))) | Err(_) => Err(Code::RequestBad),
            Ok(None) => Ok(Decoded::Incomplete),
        }
    }

    /// Reads and drops the rest of the current request's body if it is short and arrives soon. Otherwise, the
    /// connection closes after the response, and a body of at most `max_bytes` is discarded meanwhile.
    pub async fn skip_body(&mut self, max_bytes: usize) {
        // A client inside the limits reads the response once it has sent its body.
        if self.declared.is_none_or(|n| n <= max_bytes as u64) {
            self.max_discarded = max_bytes;
        }
        let is_short = self.declared.is_none_or(|n| n <= MAX_SKIPPED_BYTES as u64);
        let waits = self.expects_continue && self.buf.is_empty();
        if self.has_body() && (!is_short || waits || !self.drop_body().await) {
            self.closing = true;
        }
    }

    /// Reads and discards what the client sends until none has come for `pause`, up to the limits.
    pub(super) async fn discard(&mut self, pause: Duration) {
        self.buf = BytesMut::new();
        self.out = BytesMut::new();
        self.account.record_held(0);
        let until = Instant::now() + if self.max_discarded > 0 { BODY_TIME } else { pause };
        let mut left = self.max_discarded.max(MAX_DISCARDED_BYTES);
        let mut discarded = BytesMut::with_capacity(READ_BYTES);
        loop {
            let end = until.min(Instant::now() + pause);
            let read = tokio::select! {
                biased;
                () = self.account.wait_crowded_out() => return,
                read = timeout_at(end, self.stream.read_buf(&mut discarded)) => read,
            };
            match read {
                Ok(Ok(n)) if n > 0 && n <= left => left -= n,
                _ => return,
            }
            discarded.clear();
            give_way(BODY_PASSES).await;
        }
    }

    /// Reads and drops the rest of a body. Returns whether that has ended.
    async fn drop_body(&mut self) -> bool {
        let until = Instant::now() + SKIP_TIME;
        let mut framing = FramingLimit::default();
        let mut dropped = 0;
        loop {
            match self.decode_chunk(&mut framing) {
                Ok(Decoded::Chunk(chunk)) => dropped += chunk.len(),
                Ok(Decoded::End) => return true,
                Ok(Decoded::Incomplete) => {
                    if self.fill_request(READ_BYTES, until).await.is_err() {
                        return false;
                    }
                }
                Err(_) => return false,
            }
            if dropped > MAX_SKIPPED_BYTES {
                return false;
            }
        }
    }

    /// Records that the current request has been received and is being served, with `extra` bytes in addition to its
    /// own.
    ///
    /// # Errors
    /// Fails if there is too little memory.
    pub fn begin_request(&mut self, extra: usize) -> Result<(), Full> {
        self.request_bytes += extra;
        self.account.begin_request(self.held_bytes())
    }

    /// Records that the current request is no longer being served, and that its response is buffered.
    pub fn end_request(&mut self) {
        self.request_bytes = 0;
        self.account.end_request(self.held_bytes() + self.out.capacity());
    }

    /// Returns once the client has closed the connection or was cut. Sends held bytes meanwhile.
    pub async fn closed(&mut self) {
        if self.drain_to(0).await.is_err() {
            return;
        }
        while self.buf.len() <= MAX_READ_AHEAD_BYTES {
            if !matches!(self.fill(HEAD_BYTES).await, Ok(true)) {
                return;
            }
        }
        while !self.is_read_closed().await {
            sleep(END_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether the client has closed its side of the connection, although bytes before that are not read.
    async fn is_read_closed(&self) -> bool {
        let ready = timeout(Duration::ZERO, self.stream.ready(Interest::READABLE)).await;
        matches!(ready, Ok(Ok(r)) if r.is_read_closed()) || matches!(ready, Ok(Err(_)))
    }

    /// Returns once the connection was reset. A client that has closed its side only may still wait for a response.
    pub async fn reset(&mut self) {
        while self.buf.len() <= MAX_READ_AHEAD_BYTES {
            match self.fill(HEAD_BYTES).await {
                Ok(true) => {}
                Ok(false) => break,
                Err(_) => return,
            }
        }
        std::future::pending().await
    }

    /// Returns whether the client has closed the connection or was cut, without waiting.
    pub async fn is_closed(&mut self) -> bool {
        timeout(Duration::ZERO, self.closed()).await.is_ok()
    }
}
