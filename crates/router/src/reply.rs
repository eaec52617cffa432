//! Answers to callers, and the shape of errors.

use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use cypressfork_core::code::{Code, Ran};
use cypressfork_core::unit::Millis;
use cypressfork_http::Body;
use serde_json::json;

/// Says whether a request ran: `no`, `yes` or `unknown`.
pub const RAN: HeaderName = HeaderName::from_static("x-ran");

/// The request's id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// A refusal or failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What.
    pub code: Code,
    /// Whether it ran.
    pub ran: Ran,
    /// More about it.
    pub detail: Option<String>,
    /// When to come back.
    pub after: Option<Millis>,
}

impl Refusal {
    /// A request that was not run.
    pub fn not_run(code: Code) -> Refusal {
        Refusal { code, ran: Ran::No, detail: None, after: None }
    }

    /// The same with when to come back.
    pub fn after(self, span: Millis) -> Refusal {
        Refusal { after: Some(span), ..self }
    }

    /// The same with more about it.
    pub fn detail(self, text: impl Into<String>) -> Refusal {
        Refusal { detail: Some(text.into()), ..self }
    }

    /// The same with another word on whether it ran.
    pub fn ran(self, ran: Ran) -> Refusal {
        Refusal { ran, ..self }
    }

    /// The error object, in the shape that language-model clients expect.
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
        if let Some(span) = self.after {
            error["retry_after_ms"] = span.0.into();
        }
        json!({ "error": error })
    }

    /// The whole answer.
    pub fn response(&self) -> Response<Body> {
        let status = StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut r = json_response(status, &self.json());
        let h = r.headers_mut();
        h.insert(RAN, HeaderValue::from_static(self.ran.as_str()));
        if let Some(span) = self.after {
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

/// An answer with a JSON body.
pub fn json_response(status: StatusCode, v: &serde_json::Value) -> Response<Body> {
    let mut r = Response::with_body(status, Body::Whole(Bytes::from(v.to_string())));
    let json = HeaderValue::from_static("application/json");
    r.headers_mut().insert(header::CONTENT_TYPE, json);
    r
}
