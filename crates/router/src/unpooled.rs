//! One HTTP/1.1 exchange on a new connection.
//!
//! The pooled client takes an early close for the end of a response, and cannot detect whether an
//! idle connection was closed before a request was written to it. Here nothing is sent before the
//! connection is established, and an incomplete response is an error.

use std::net::SocketAddr;
use std::time::Duration;

use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message, MessageType};
use actix_http::header::{HOST, HeaderMap, HeaderValue};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, Uri};
use bytes::{Bytes, BytesMut};
use cypressfork_node::silence;
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout for connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an exchange failed, with a description.
pub enum ExchangeError {
    /// No byte of the request was sent.
    NotSent(String),
    /// Some bytes of the request may have been sent.
    MaybeSent(String),
}

/// An HTTP request.
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers without `Host` and `Content-Length`.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

/// A complete HTTP response.
pub struct BufferedResponse {
    /// Status and headers.
    pub head: ResponseHead,
    /// Response body.
    pub body: Bytes,
}

fn maybe_sent(e: impl ToString) -> ExchangeError {
    ExchangeError::MaybeSent(e.to_string())
}

fn request_head(address: SocketAddr, r: &Request) -> Result<RequestHead, ExchangeError> {
    let not_sent = |e: String| ExchangeError::NotSent(e);
    let mut head = RequestHead::default();
    head.method = r.method.clone();
    head.uri = r.path.parse::<Uri>().map_err(|e| not_sent(e.to_string()))?;
    head.headers = r.headers.clone();
    let host = HeaderValue::from_str(&address.to_string()).map_err(|e| not_sent(e.to_string()))?;
    head.headers.insert(HOST, host);
    head.set_connection_type(actix_http::ConnectionType::Close);
    Ok(head)
}

async fn connect(address: SocketAddr) -> Result<TcpStream, ExchangeError> {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(e)) => Err(ExchangeError::NotSent(e.to_string())),
        Err(_) => Err(ExchangeError::NotSent("connect timed out".into())),
    }
}

/// Sends a request to `address` over a new connection and returns the complete response. Fails if
/// its body is larger than `cap` bytes.
pub async fn exchange(
    address: SocketAddr,
    r: Request,
    cap: usize,
) -> Result<BufferedResponse, ExchangeError> {
    let head = request_head(address, &r)?;
    let stream = connect(address).await?;
    // An error here is harmless: it only delays small requests.
    let _ = stream.set_nodelay(true);
    silence::PROMPT.apply(&stream).map_err(|e| ExchangeError::NotSent(e.to_string()))?;
    let mut framed = Framed::new(stream, ClientCodec::default());
    let size = BodySize::Sized(r.body.len() as u64);
    let item = Message::Item((RequestHeadType::Owned(head), size));
    framed.feed(item).await.map_err(maybe_sent)?;
    if !r.body.is_empty() {
        framed.feed(Message::Chunk(Some(r.body))).await.map_err(maybe_sent)?;
    }
    framed.feed(Message::Chunk(None)).await.map_err(maybe_sent)?;
    framed.flush().await.map_err(maybe_sent)?;
    let head = match framed.next().await {
        Some(Ok(head)) => head,
        Some(Err(e)) => return Err(maybe_sent(e)),
        None => return Err(maybe_sent("the connection closed before an answer")),
    };
    let body = match framed.codec_ref().message_type() {
        MessageType::None => Bytes::new(),
        _ => read_body(framed, cap).await?,
    };
    Ok(BufferedResponse { head, body })
}

async fn read_body(
    framed: Framed<TcpStream, ClientCodec>,
    cap: usize,
) -> Result<Bytes, ExchangeError> {
    // Without a length or chunked encoding, the body ends when the connection is closed.
    let until_close = framed.codec_ref().message_type() == MessageType::Stream;
    let mut framed = framed.into_map_codec(ClientCodec::into_payload_codec);
    let mut all = BytesMut::new();
    loop {
        match framed.next().await {
            Some(Ok(Some(chunk))) if all.len() + chunk.len() > cap => {
                return Err(maybe_sent("the answer is too large"));
            }
            Some(Ok(Some(chunk))) => all.extend_from_slice(&chunk),
            Some(Ok(None)) => return Ok(all.freeze()),
            Some(Err(e)) => return Err(maybe_sent(e)),
            None if until_close => return Ok(all.freeze()),
            None => return Err(maybe_sent("the connection closed before the answer was whole")),
        }
    }
}
