//! The words in which operators, replicas and callers speak to a control process over HTTP.

use actix_http::{Method, Response};
use cypressfork_core::code::Code;
use cypressfork_core::fleet::format::DocumentFormat;
use cypressfork_core::fleet::registry::Record;
use cypressfork_core::fleet::rollout::Rollout;
use cypressfork_core::unit::{Millis, Version};
use cypressfork_http::Body;

/// A request, as it arrived.
pub struct Incoming<'a> {
    /// Its method.
    pub method: &'a Method,
    /// Its path.
    pub path: &'a str,
    /// Its query, without the question mark.
    pub query: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

/// What is asked for.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Put this document in force.
    Publish(String),
    /// The document in force.
    Current,
    /// A replica tells of itself.
    Beat(Record),
    /// The replica with this id has left.
    Leave(String),
    /// Keep new work from the replicas of this data centre, or let it in again.
    Evacuate(String, bool),
    /// Move a service's requests to replicas of a version, within this time.
    StartRollout(String, String, Millis),
    /// Take a service's roll-out back.
    AbortRollout(String),
    /// How the roll-out of a service stands.
    Rollout(String),
    /// Which routers a caller in this data centre should use.
    Entry(String),
}

/// What it came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A document of this version or a higher one is in force.
    Published(Version),
    /// The document in force.
    Current(String),
    /// It is noted.
    Noted,
    /// Addresses of routers, and how long to keep them.
    Entry(Vec<String>, Millis),
    /// A roll-out.
    Rollout(Rollout),
    /// It is refused.
    Refused(Code, String),
}

/// A way to write calls and answers over HTTP.
pub trait Dialect: DocumentFormat {
    /// Reads a request.
    fn call(r: &Incoming) -> Result<Call, Answer>;
    /// Writes an answer.
    fn write(a: Answer) -> Response<Body>;
}
