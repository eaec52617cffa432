//! The interface of a dialect: how requests, responses and documents are written on the wire.

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead};
use cypressfork_core::code::Code;
use cypressfork_core::fleet::format::DocumentFormat;
use cypressfork_core::fleet::limit::LimitHeader;
use cypressfork_core::route::{PromptPrefixes, backoff};
use cypressfork_core::unit::{Millis, Tokens};

use crate::reply::Refusal;

/// The size of a prompt as declared by the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptSize {
    /// Tokens of the prompt.
    pub tokens: Tokens,
    /// Maximum tokens of the response.
    pub max_output: Tokens,
    /// Cumulative prefixes of the prompt, from its parts.
    pub prefixes: PromptPrefixes,
    /// Distinct ids of its parts without the last, which is the request's own.
    pub shared_parts: Vec<u64>,
}

/// The parsed headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerRequest {
    /// Value of the `Host` header.
    pub host: String,
    /// The request's id.
    pub id: String,
    /// The API key.
    pub key: Option<String>,
    /// The caller's timeout.
    pub timeout: Option<Millis>,
    /// The size of the prompt.
    pub prompt: Option<PromptSize>,
    /// Id of the last event that the caller received, to resume its stream.
    pub last_event: Option<u64>,
    /// Id of the attempt that brought the first event of the stream that the caller resumes.
    pub resumes: Option<String>,
}

/// The values that the gateway adds to the caller's headers when it forwards a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardHeaders<'a> {
    /// Time left for the request.
    pub time_left: Millis,
    /// Id of the replica that the request is sent to.
    pub replica: &'a str,
    /// Start time of the replica's process, in milliseconds since 1970; 0 if unknown.
    pub born: u64,
    /// Name of the client account.
    pub account: Option<&'a str>,
    /// Id of the last event that the caller received.
    pub last_event: Option<u64>,
    /// Priority of the request; 0 is the most urgent.
    pub urgency: Option<u8>,
}

/// The parsed headers of a replica's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaResponse<'a> {
    /// Id of the request that it answers.
    pub id: Option<&'a str>,
    /// Whether the replica did not run the request.
    pub not_run: bool,
    /// Whether another replica than the intended one responded.
    pub wrong_replica: bool,
    /// Whether the body is in the requested form.
    pub well_formed: bool,
    /// The replica's rate limit.
    pub limit: LimitHeader,
    /// The backoff that the replica requests.
    pub retry_after: backoff::RetryAfter,
    /// Whether the replica announces that it is about to leave.
    pub draining: bool,
    /// The most requests a second that the replica can reject for lack of capacity without failing, of all
    /// gateways together. `None` if it names no such number.
    pub max_rejections: Option<u32>,
}

/// The wire format of requests, responses and documents at a gateway.
pub trait Dialect: DocumentFormat {
    /// Parses the headers of a caller's request. Fails if a required header is missing or one is malformed.
    fn parse_request(head: &RequestHead) -> Result<CallerRequest, Code>;
    /// Turns the caller's headers into those of the forwarded request: removes what the replica must not
    /// receive, and adds `values`.
    fn set_forward_headers(headers: &mut HeaderMap, values: &ForwardHeaders);
    /// Parses the headers of a replica's response.
    fn parse_response(head: &ResponseHead) -> ReplicaResponse<'_>;
    /// Returns the status of a refusal or failure that the gateway itself responds with, and adds its
    /// headers.
    fn set_refusal_headers(r: &Refusal, headers: &mut HeaderMap) -> u16;
}
