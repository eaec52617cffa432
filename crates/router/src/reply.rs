//! Responses to callers and the format of errors.

use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use cypressfork_core::code::{Code, Ran};
use cypressfork_core::unit::Millis;
use cypressfork_http::Body;
use serde_json::json;

/// Header with whether the request was executed: `no`, `yes` or `unknown`.
pub const RAN: HeaderName = HeaderName::from_static("x-ran");

/// Header with the request id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// The refusal or failure of a request, for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The error code.
    pub code: Code,
    /// Whether the request was executed.
    pub ran: Ran,
    /// Additional text for the error message.
    pub detail: Option<String>,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Millis>,
}

/// `Retry-After` of a router that stops. Others may serve the request at once.
const STOPPING_RETRY_AFTER: Millis = Millis(0);

impl Refusal {
    /// Returns the refusal of a request that was sent to no replica because the router stops.
    pub fn stopping() -> Refusal {
        Refusal::from(Code::Stopping).retry_after(STOPPING_RETRY_AFTER)
    }

    /// Returns the failure of a request that may have been sent to a replica and outlasts a planned stop.
    pub fn cut_by_stop() -> Refusal {
        Refusal::from(Code::UpstreamFailed).ran(Ran::Unknown).detail("the router stops")
    }

    /// Creates a refusal of a request that was not executed.
    pub fn not_run(code: Code) -> Refusal {
        Refusal { code, ran: Ran::No, detail: None, retry_after: None }
    }

    /// Sets the delay after which the caller may retry.
    pub fn retry_after(self, span: Millis) -> Refusal {
        Refusal { retry_after: Some(span), ..self }
    }

    /// Sets the additional text for the error message.
    pub fn detail(self, text: impl Into<String>) -> Refusal {
        Refusal { detail: Some(text.into()), ..self }
    }

    /// Sets whether the request was executed.
    pub fn ran(self, ran: Ran) -> Refusal {
        Refusal { ran, ..self }
    }

    /// Returns the error object in the format that language-model clients expect.
    pub fn json(&self) -> serde_json::Value {
        let message = match &self.detail {
            Some(d) => format!("{}: {d}", self.code.text()),
            None => self.code.text().to_owned(),
        };
        let mut error = json!({
            "message": message,
            "type": self.code.kind(),
            "code": format!("CF{}", self.code.number()),
            "ran": self.ran.as_str(),
        });
        if let Some(span) = self.retry_after {
            error["retry_after_ms"] = span.0.into();
        }
        json!({ "error": error })
    }

    /// Returns the response: status, headers and the error object.
    pub fn response(&self) -> Response<Body> {
        let status = StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut r = json_response(status, &self.json());
        let h = r.headers_mut();
        h.insert(RAN, HeaderValue::from_static(self.ran.as_str()));
        if let Some(span) = self.retry_after {
            h.insert(header::RETRY_AFTER, HeaderValue::from(span.as_retry_after_secs()));
        }
        r
    }
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Refusal {
        Refusal::not_run(code)
    }
}

/// Returns a response with a JSON body.
pub fn json_response(status: StatusCode, v: &serde_json::Value) -> Response<Body> {
    let mut r = Response::with_body(status, Body::Full(Bytes::from(v.to_string())));
    let json = HeaderValue::from_static("application/json");
    r.headers_mut().insert(header::CONTENT_TYPE, json);
    r
}
