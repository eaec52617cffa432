//! One call over HTTP, on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, ResponseHead, Uri};
use bytes::{Bytes, BytesMut};
use cypressfork_http::client::{Connection, ExchangeError, Outbound};
use tokio::time::timeout;

/// The host that callers name.
pub const CALLERS_HOST: &str = "club.example";

/// The largest answer that is read.
const CAP: usize = 16 * 1024 * 1024;

/// A request's headers, the host among them.
pub fn headers(all: &[(&'static str, String)]) -> HeaderMap {
    let mut h = HeaderMap::new();
    h.insert(HOST, HeaderValue::from_static(CALLERS_HOST));
    for (name, value) in all {
        let value = HeaderValue::from_str(value).expect("the soak writes plain values");
        h.insert(HeaderName::from_static(name), value);
    }
    h
}

/// Sends a request and waits for the answer's head.
pub async fn exchange(
    c: &mut Connection,
    method: &Method,
    path: &str,
    headers: HeaderMap,
    body: &Bytes,
) -> Result<ResponseHead, ExchangeError> {
    let uri: Uri = path.parse().expect("the soak writes plain paths");
    c.send(Outbound { method, uri: &uri, headers, body }).await?;
    c.head().await
}

/// The rest of an answer.
pub async fn rest(c: &mut Connection) -> Result<Bytes, ExchangeError> {
    let mut all = BytesMut::new();
    while let Some(piece) = c.read_chunk().await? {
        all.extend_from_slice(&piece);
        if all.len() > CAP {
            return Err(ExchangeError::Sent("the answer is too large".to_owned()));
        }
    }
    Ok(all.freeze())
}

/// A whole call: the status and the body, or none if there is no whole answer in time.
pub async fn call(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    within: Duration,
) -> Option<(u16, Bytes)> {
    let whole = async {
        let mut c = Connection::open(to).await?;
        let head = exchange(&mut c, &method, path, headers(&[]), &body).await?;
        Ok::<_, ExchangeError>((head.status.as_u16(), rest(&mut c).await?))
    };
    timeout(within, whole).await.ok()?.ok()
}
