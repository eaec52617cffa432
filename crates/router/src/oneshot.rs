//! One HTTP/1.1 exchange on a connection made for it.
//!
//! The pooled client takes a connection that closes early for the end of an answer, and cannot tell
//! whether a kept connection had been closed before a request was written to it. Here both are
//! known: nothing is sent before the connection stands, and an answer is whole or an error.

use std::net::SocketAddr;
use std::time::Duration;

use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message, MessageType};
use actix_http::header::{HOST, HeaderMap, HeaderValue};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, Uri};
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long an upstream may take to accept a connection.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);

/// Why there is no whole answer.
pub enum Failed {
    /// No byte of the request was sent.
    NotSent(String),
    /// Some may have been.
    Sent(String),
}

/// A request.
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The headers, without `Host` and the length.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A whole answer.
pub struct Answer {
    /// Status and headers.
    pub head: ResponseHead,
    /// The body.
    pub body: Bytes,
}

fn sent(e: impl ToString) -> Failed {
    Failed::Sent(e.to_string())
}

fn head(address: SocketAddr, r: &Request) -> Result<RequestHead, Failed> {
    let bad = |e: String| Failed::NotSent(e);
    let mut head = RequestHead::default();
    head.method = r.method.clone();
    head.uri = r.path.parse::<Uri>().map_err(|e| bad(e.to_string()))?;
    head.headers = r.headers.clone();
    let host = HeaderValue::from_str(&address.to_string()).map_err(|e| bad(e.to_string()))?;
    head.headers.insert(HOST, host);
    head.set_connection_type(actix_http::ConnectionType::Close);
    Ok(head)
}

async fn connect(address: SocketAddr) -> Result<TcpStream, Failed> {
    match timeout(CONNECT_WITHIN, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(e)) => Err(Failed::NotSent(e.to_string())),
        Err(_) => Err(Failed::NotSent("no connection in time".into())),
    }
}

/// Sends a request and reads the whole answer, of at most `cap` bytes.
pub async fn exchange(address: SocketAddr, r: Request, cap: usize) -> Result<Answer, Failed> {
    let head = head(address, &r)?;
    let stream = connect(address).await?;
    // A failure here only makes small requests slower.
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, ClientCodec::default());
    let size = BodySize::Sized(r.body.len() as u64);
    let first = Message::Item((RequestHeadType::Owned(head), size));
    framed.feed(first).await.map_err(sent)?;
    if !r.body.is_empty() {
        framed.feed(Message::Chunk(Some(r.body))).await.map_err(sent)?;
    }
    framed.feed(Message::Chunk(None)).await.map_err(sent)?;
    framed.flush().await.map_err(sent)?;
    let head = match framed.next().await {
        Some(Ok(head)) => head,
        Some(Err(e)) => return Err(sent(e)),
        None => return Err(sent("the connection closed before an answer")),
    };
    let body = match framed.codec_ref().message_type() {
        MessageType::None => Bytes::new(),
        _ => body(framed, cap).await?,
    };
    Ok(Answer { head, body })
}

async fn body(framed: Framed<TcpStream, ClientCodec>, cap: usize) -> Result<Bytes, Failed> {
    // Without a length or chunks the end of the connection is the end of the body.
    let until_close = framed.codec_ref().message_type() == MessageType::Stream;
    let mut framed = framed.into_map_codec(ClientCodec::into_payload_codec);
    let mut all = BytesMut::new();
    loop {
        match framed.next().await {
            Some(Ok(Some(piece))) if all.len() + piece.len() > cap => {
                return Err(sent("the answer is too large"));
            }
            Some(Ok(Some(piece))) => all.extend_from_slice(&piece),
            Some(Ok(None)) => return Ok(all.freeze()),
            Some(Err(e)) => return Err(sent(e)),
            None if until_close => return Ok(all.freeze()),
            None => return Err(sent("the connection closed before the answer was whole")),
        }
    }
}
