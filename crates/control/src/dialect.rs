//! The interface between the control process and the formats of its HTTP API.

use actix_http::{Method, Response};
use cypressfork_core::code::Code;
use cypressfork_core::fleet::format::DocumentFormat;
use cypressfork_core::fleet::registry::Record;
use cypressfork_core::fleet::rollout::Rollout;
use cypressfork_core::unit::{Millis, Version};
use cypressfork_http::Body;

use crate::listener::{CallKind, Listener, Route, excerpt};

/// An HTTP request.
pub struct Incoming<'a> {
    /// Method.
    pub method: &'a Method,
    /// Path.
    pub path: &'a str,
    /// Query string, without the question mark.
    pub query: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// A call to the control process.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Put this document into force.
    Publish(String),
    /// Return the document in force.
    Document,
    /// Apply the heartbeat of a replica.
    Heartbeat(Record),
    /// Mark the replica with this id as left.
    Leave(String),
    /// Start (true) or end (false) the evacuation of this data centre, whose replicas get no new requests
    /// meanwhile.
    Evacuate(String, bool),
    /// Start a rollout: move this service's requests to replicas of this version within this time.
    StartRollout(String, String, Millis),
    /// Roll back the rollout of this service.
    AbortRollout(String),
    /// Return the state of this service's rollout.
    Rollout(String),
    /// Return router addresses for a caller in this data centre.
    Entry(String),
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq)]
pub enum CallAnswer {
    /// A document of this version or a higher one is in force.
    Published(Version),
    /// The document in force, as submitted.
    Document(String),
    /// The call was carried out.
    Accepted,
    /// Router addresses, and the time for which they may be cached.
    Entry(Vec<String>, Millis),
    /// The state of a rollout.
    Rollout(Rollout),
    /// The call was refused with this code, for this reason.
    Refused(Code, String),
}

/// A format of calls and answers over HTTP.
pub trait Dialect: DocumentFormat {
    /// The method and path of each call.
    const ROUTES: &'static [Route];
    /// Parses a request into a call of this kind. `name` is the rest of the path after that of the route. Returns the
    /// answer to send if it is refused.
    fn parse_kind(kind: CallKind, name: &str, r: &Incoming) -> Result<Call, CallAnswer>;
    /// Parses a request into any call. Returns the answer to send if it is refused.
    fn parse_call(r: &Incoming) -> Result<Call, CallAnswer>
    where
        Self: Sized,
    {
        match Listener::Shared.find_call::<Self>(r.method.as_str(), r.path) {
            Some((kind, name)) => Self::parse_kind(kind, name, r),
            None => Err(foreign_call(r)),
        }
    }
    /// Encodes an answer as an HTTP response.
    fn encode_answer(a: CallAnswer) -> Response<Body>;
}

/// Returns the answer to a call that the listener does not take.
pub fn foreign_call(r: &Incoming) -> CallAnswer {
    let call = format!("{} {}", excerpt(r.method.as_str()), excerpt(r.path));
    CallAnswer::Refused(Code::CallForeign, call)
}
