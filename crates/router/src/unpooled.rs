//! One HTTP/1.1 exchange on a new connection.
//!
//! The pooled client takes an early close for the end of a response, and cannot detect whether an
//! idle connection was closed before a request was written to it. Here nothing is sent before the
//! connection is established, and an incomplete response is an error.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HOST, HeaderMap, HeaderValue};
use actix_http::{Method, ResponseHead, Uri};
use bytes::{Bytes, BytesMut};
use cypressfork_http::client::{self, Connection, OutboundRequest};
use cypressfork_http::server::client::ResponseBody;
use cypressfork_node::silence;
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

impl From<client::ExchangeError> for ExchangeError {
    fn from(error: client::ExchangeError) -> ExchangeError {
        match error {
            client::ExchangeError::NotSent(why) => ExchangeError::NotSent(why),
            client::ExchangeError::Stale => maybe_sent("the connection was closed"),
            client::ExchangeError::Closed(why)
            | client::ExchangeError::Silent(why)
            | client::ExchangeError::Protocol(why) => ExchangeError::MaybeSent(why),
        }
    }
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
    pub body: ResponseBody,
}

fn maybe_sent(e: impl ToString) -> ExchangeError {
    ExchangeError::MaybeSent(e.to_string())
}

fn not_sent(e: impl ToString) -> ExchangeError {
    ExchangeError::NotSent(e.to_string())
}

async fn connect(address: SocketAddr) -> Result<Connection, ExchangeError> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(opened) => opened.map_err(not_sent)?,
        Err(_) => return Err(not_sent("connect timed out")),
    };
    // An error here is harmless: it only delays small requests.
    let _ = stream.set_nodelay(true);
    silence::PROMPT.apply(&stream).map_err(not_sent)?;
    Ok(Connection::new(stream))
}

/// Sends a request to `address` over a new connection and returns the complete response. Fails if
/// its body is larger than `cap` bytes.
pub async fn exchange(
    address: SocketAddr,
    r: Request,
    cap: usize,
) -> Result<BufferedResponse, ExchangeError> {
    let uri: Uri = r.path.parse().map_err(not_sent)?;
    let mut headers = r.headers;
    headers.insert(HOST, HeaderValue::from_str(&address.to_string()).map_err(not_sent)?);
    let mut connection = connect(address).await?;
    let outbound = OutboundRequest { method: &r.method, uri: &uri, headers, body: &r.body };
    connection.send(outbound).await?;
    let head = connection.read_head().await?;
    let body = read_body(&mut connection, cap).await?;
    let body = match connection.has_no_body() {
        true => ResponseBody::Omitted(connection.content_length()),
        false => ResponseBody::Whole(body),
    };
    Ok(BufferedResponse { head, body })
}

async fn read_body(connection: &mut Connection, cap: usize) -> Result<Bytes, ExchangeError> {
    let mut all = BytesMut::new();
    while let Some(chunk) = connection.read_chunk().await? {
        if all.len() + chunk.len() > cap {
            return Err(maybe_sent("the answer is too large"));
        }
        all.extend_from_slice(&chunk);
    }
    Ok(all.freeze())
}
