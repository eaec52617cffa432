//! An HTTP client for the soak: requests on a given connection, and calls that open one each.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, ResponseHead, Uri};
use bytes::{Bytes, BytesMut};
use cypressfork_http::client::{Connection, ExchangeError, OutboundRequest};
use tokio::time::timeout;

/// The value of the `Host` header of all requests.
pub const CALLERS_HOST: &str = "club.example";

/// Maximum size of an answer's body, in bytes.
const MAX_BODY: usize = 16 * 1024 * 1024;

/// Returns the given headers and a `Host` header.
pub fn headers(all: &[(&'static str, String)]) -> HeaderMap {
    let mut h = HeaderMap::new();
    h.insert(HOST, HeaderValue::from_static(CALLERS_HOST));
    for (name, value) in all {
        let value = HeaderValue::from_str(value).expect("the soak writes plain values");
        h.insert(HeaderName::from_static(name), value);
    }
    h
}

/// Sends a request on `c` and returns the head of the answer.
pub async fn exchange(
    c: &mut Connection,
    method: &Method,
    path: &str,
    headers: HeaderMap,
    body: &Bytes,
) -> Result<ResponseHead, ExchangeError> {
    let uri: Uri = path.parse().expect("the soak writes plain paths");
    c.send(OutboundRequest { method, uri: &uri, headers, body }).await?;
    c.read_head().await
}

/// Reads the body of the current answer. Fails on a connection error or a body of more than 16 MiB.
pub async fn read_body(c: &mut Connection) -> Result<Bytes, ExchangeError> {
    let mut all = BytesMut::new();
    while let Some(chunk) = c.read_chunk().await? {
        all.extend_from_slice(&chunk);
        if all.len() > MAX_BODY {
            return Err(ExchangeError::Protocol("the answer is too large".to_owned()));
        }
    }
    Ok(all.freeze())
}

/// Sends a request on a new connection. Returns the status and body, or `None` if there is no complete answer
/// within `within`.
pub async fn call(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    within: Duration,
) -> Option<(u16, Bytes)> {
    let answer = async {
        let mut c = Connection::open(to).await?;
        let head = exchange(&mut c, &method, path, headers(&[]), &body).await?;
        Ok::<_, ExchangeError>((head.status.as_u16(), read_body(&mut c).await?))
    };
    timeout(within, answer).await.ok()?.ok()
}
