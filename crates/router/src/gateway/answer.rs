//! Error responses that the gateway itself generates.

use std::io;

use actix_http::StatusCode;
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use bytes::Bytes;

use super::dialect::Dialect;
use crate::reply::{REQUEST_ID, Refusal};
use cypressfork_http::server::client::{Client, ResponseBody};

/// Sends the response to a request that was refused or has failed. Fails if the caller's connection
/// does.
pub async fn send_refusal<D: Dialect>(
    client: &mut Client,
    id: &str,
    r: &Refusal,
) -> io::Result<()> {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(v) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, v);
    }
    let status = StatusCode::from_u16(D::set_refusal_headers(r, &mut headers))
        .unwrap_or(StatusCode::BAD_GATEWAY);
    let body = ResponseBody::Whole(Bytes::from(r.json().to_string()));
    client.send_response(status, headers, body).await?;
    client.flush().await
}
