//! The words in which callers and replicas speak to a gateway.

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead};
use cypressfork_core::code::Code;
use cypressfork_core::fleet::format::DocumentFormat;
use cypressfork_core::fleet::limit::LimitHeader;
use cypressfork_core::route::{PromptPrefixes, rest};
use cypressfork_core::unit::{Millis, Tokens};

use crate::reply::Refusal;

/// What a request says of the work that it asks of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: Tokens,
    /// The most tokens that the answer has.
    pub most: Tokens,
    /// The prompt's parts.
    pub trail: PromptPrefixes,
}

/// What a caller's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inbound {
    /// The host that it names.
    pub host: String,
    /// The request's id.
    pub id: String,
    /// Its bearer key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Millis>,
    /// The work that it asks for.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has of the stream that it goes on with.
    pub last_event: Option<u64>,
}

/// What a replica is told besides the caller's own headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told<'a> {
    /// How long it may work.
    pub deadline: Millis,
    /// The replica that is meant.
    pub replica: &'a str,
    /// The client account.
    pub account: Option<&'a str>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// How urgent it is; 0 is the most.
    pub urgency: Option<u8>,
}

/// What the head of a replica's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head<'a> {
    /// The request that it answers.
    pub id: Option<&'a str>,
    /// The replica says that it did not run the request.
    pub not_run: bool,
    /// The replica is not the one that was meant.
    pub another: bool,
    /// The answer is in the form that was asked for.
    pub sound: bool,
    /// What it says of the replica's limit.
    pub limit: LimitHeader,
    /// What it says of a rest.
    pub rest: rest::RetryAfter,
    /// The replica says that it leaves.
    pub leaving: bool,
}

/// A way to write requests and answers on the wire.
pub trait Dialect: DocumentFormat {
    /// Reads a caller's head.
    fn inbound(head: &RequestHead) -> Result<Inbound, Code>;
    /// Writes what a replica is told into the caller's headers, and takes out what it is not to
    /// see.
    fn outbound(headers: &mut HeaderMap, told: &Told);
    /// Reads the head of a replica's answer.
    fn head(head: &ResponseHead) -> Head<'_>;
    /// The status, and more headers, of a refusal or failure of this system's own.
    fn refusal(r: &Refusal, headers: &mut HeaderMap) -> u16;
}
