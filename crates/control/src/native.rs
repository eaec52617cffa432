//! The project's own HTTP API: documents, registrations and router addresses as JSON.

use actix_http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use cypressfork_core::code::Code;
use cypressfork_core::fleet::document::{Document, InvalidDocument};
use cypressfork_core::fleet::format::{self, DocumentFormat};
use cypressfork_core::fleet::registry::{Record, Registration, ReplicaStatus};
use cypressfork_core::unit::Millis;
use cypressfork_http::Body;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::dialect::{Call, CallAnswer, Dialect, Incoming, foreign_call};
use crate::listener::{CallKind, Route};

/// `Retry-After` of a control process without a quorum.
const RETRY_DELAY: Millis = Millis::seconds(1);

/// The project's own HTTP API.
pub struct Native;

impl DocumentFormat for Native {
    fn parse(source: &str) -> Result<Document, InvalidDocument> {
        format::parse_json(source)
    }
}

/// Body of a replica's heartbeat; the replica's id is in the path.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Beat {
    service: String,
    address: String,
    data_centre: String,
    #[serde(default)]
    version: String,
    #[serde(default = "one")]
    slots: u32,
    #[serde(default)]
    cold_ms: u64,
    #[serde(default)]
    draining: bool,
    sequence: u64,
    #[serde(default)]
    born: u64,
}

fn one() -> u32 {
    1
}

impl Dialect for Native {
    const ROUTES: &'static [Route] = &[
        Route::new(CallKind::Publish, "PUT", "/v1/document"),
        Route::new(CallKind::Document, "GET", "/v1/document"),
        Route::new(CallKind::Heartbeat, "PUT", "/v1/replicas/"),
        Route::new(CallKind::Leave, "DELETE", "/v1/replicas/"),
        Route::new(CallKind::Evacuate, "PUT", "/v1/evacuations/"),
        Route::new(CallKind::EndEvacuation, "DELETE", "/v1/evacuations/"),
        Route::new(CallKind::StartRollout, "PUT", "/v1/rollouts/"),
        Route::new(CallKind::AbortRollout, "DELETE", "/v1/rollouts/"),
        Route::new(CallKind::Rollout, "GET", "/v1/rollouts/"),
        Route::new(CallKind::Entry, "GET", "/v1/entry"),
    ];

    fn parse_kind(kind: CallKind, name: &str, r: &Incoming) -> Result<Call, CallAnswer> {
        match kind {
            CallKind::Publish => String::from_utf8(r.body.to_vec())
                .map(Call::Publish)
                .map_err(|e| invalid_json(e.to_string())),
            CallKind::Document => Ok(Call::Document),
            CallKind::Heartbeat | CallKind::Leave if name.is_empty() => Err(foreign_call(r)),
            CallKind::Heartbeat => parse_heartbeat(name, r.body),
            CallKind::Leave => Ok(Call::Leave(name.to_owned())),
            CallKind::Evacuate => parse_evacuation(name, r, true),
            CallKind::EndEvacuation => parse_evacuation(name, r, false),
            CallKind::StartRollout => parse_rollout(service_name(name)?, r.body),
            CallKind::AbortRollout => Ok(Call::AbortRollout(service_name(name)?)),
            CallKind::Rollout => Ok(Call::Rollout(service_name(name)?)),
            CallKind::Entry => Ok(Call::Entry(query_field(r.query, "data_centre"))),
        }
    }

    fn encode_answer(a: CallAnswer) -> Response<Body> {
        match a {
            CallAnswer::Published(version) => {
                respond(StatusCode::OK, json!({ "version": version }))
            }
            CallAnswer::Document(source) => json_response(StatusCode::OK, source),
            CallAnswer::Accepted => respond(StatusCode::OK, json!({})),
            CallAnswer::Entry(addresses, ttl) => {
                respond(StatusCode::OK, json!({ "addresses": addresses, "keep_ms": ttl.0 }))
            }
            CallAnswer::Rollout(r) => respond(StatusCode::OK, json!(r)),
            CallAnswer::Refused(code, reason) => error_response(code, &reason),
        }
    }
}

/// Returns the call that evacuates the data centre `name`, or with `evacuate` false ends its evacuation.
///
/// # Errors
///
/// Refuses an empty name, and a request with a body.
pub fn parse_evacuation(name: &str, r: &Incoming, evacuate: bool) -> Result<Call, CallAnswer> {
    if name.is_empty() {
        let reason = "the path names no data centre".to_owned();
        return Err(CallAnswer::Refused(Code::DataCentreUnknown, reason));
    }
    if !r.body.is_empty() {
        return Err(CallAnswer::Refused(Code::BodyUnexpected, format!("{} bytes", r.body.len())));
    }
    Ok(Call::Evacuate(name.to_owned(), evacuate))
}

/// Body of a request for a rollout; the service is in the path.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RolloutOrder {
    version: String,
    within_ms: u64,
}

fn service_name(name: &str) -> Result<String, CallAnswer> {
    if name.is_empty() {
        return Err(CallAnswer::Refused(Code::RolloutBad, "the path names no service".to_owned()));
    }
    Ok(name.to_owned())
}

fn parse_rollout(service: String, body: &[u8]) -> Result<Call, CallAnswer> {
    let o: RolloutOrder = serde_json::from_slice(body).map_err(|e| invalid_json(e.to_string()))?;
    Ok(Call::StartRollout(service, o.version, Millis(o.within_ms)))
}

fn invalid_json(reason: String) -> CallAnswer {
    CallAnswer::Refused(Code::BodyNotJson, reason)
}

fn parse_heartbeat(id: &str, body: &[u8]) -> Result<Call, CallAnswer> {
    let b: Beat = serde_json::from_slice(body).map_err(|e| invalid_json(e.to_string()))?;
    let standing = if b.draining { ReplicaStatus::Draining } else { ReplicaStatus::Ready };
    let registration = Registration {
        id: id.to_owned(),
        service: b.service,
        address: b.address,
        data_centre: b.data_centre,
        version: b.version,
        slots: b.slots,
        cold: Millis(b.cold_ms),
        sequence: b.sequence,
        born: b.born,
    };
    Ok(Call::Heartbeat(Record { registration, standing }))
}

/// Returns the value of a query parameter, without decoding it; empty if it is missing.
pub fn query_field(query: &str, name: &str) -> String {
    let params = query.split('&').filter_map(|p| p.split_once('='));
    params.into_iter().find(|(n, _)| *n == name).map_or(String::new(), |(_, v)| v.to_owned())
}

/// Returns a response with a JSON body.
pub fn json_response(status: StatusCode, text: String) -> Response<Body> {
    let mut r = Response::with_body(status, Body::Full(Bytes::from(text)));
    r.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    r
}

fn respond(status: StatusCode, v: Value) -> Response<Body> {
    json_response(status, v.to_string())
}

fn error_response(code: Code, reason: &str) -> Response<Body> {
    let error =
        json!({ "code": format!("CF{}", code.number()), "message": code.text(), "why": reason });
    // A code without a status of its own means that the group cannot answer now.
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut r = respond(status, json!({ "error": error }));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let delay = HeaderValue::from(RETRY_DELAY.as_retry_after_secs());
        r.headers_mut().insert(RETRY_AFTER, delay);
    }
    r
}
