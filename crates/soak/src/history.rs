//! The observations of callers, replicas and operators in one run. All times are in milliseconds since
//! the start of the run, by the clock of the soak process.

use std::collections::BTreeMap;

/// A point in time, in milliseconds since the run's start.
pub type At = u64;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request that may be retried.
    Safe,
    /// A request that must run at most once.
    Unsafe,
    /// A stream of events that another replica can resume.
    Stream,
    /// A request for the route that this acknowledged document version added. It succeeds only at a gateway
    /// that has this version or a later one in force.
    Probe(u64),
    /// A copy of the poison request with this number, which crashes every replica that runs it.
    Poison(usize),
}

impl Kind {
    /// Returns the service that the request is for. Poison requests with odd numbers are streams.
    pub fn service(self) -> &'static str {
        match self {
            Kind::Stream => "talk",
            Kind::Poison(n) if n % 2 == 1 => "talk",
            _ => "board",
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A success status.
    Answered {
        /// Whether the body is the complete answer to this request.
        whole: bool,
        /// Numbers of the events received, in the order of receipt.
        events: Vec<u64>,
    },
    /// Any other status.
    Refused(u16),
    /// Refused by a gateway because the request is quarantined for crashing replicas.
    Quarantined,
    /// The connection ended before the answer was complete.
    Cut {
        /// Whether part of an answer was received.
        begun: bool,
        /// Numbers of the events received before the end.
        events: Vec<u64>,
    },
    /// The connection could not be opened, so nothing was sent.
    NoConnection,
    /// The caller closed the connection, on purpose or at its timeout.
    Left,
}

/// A request of a caller and its outcome.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request id, distinct for each attempt of a caller.
    pub id: String,
    /// The kind of request.
    pub kind: Kind,
    /// The client account.
    pub account: &'static str,
    /// Tokens in the prompt.
    pub prompt: u64,
    /// Number of events in the complete answer.
    pub events: u64,
    /// The index of the gateway that it was sent to.
    pub gateway: usize,
    /// When it was sent.
    pub sent: At,
    /// When it ended.
    pub ended: At,
    /// How it ended.
    pub outcome: Outcome,
}

/// The arrival of a request at a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request id.
    pub id: String,
    /// The service of the replica.
    pub service: &'static str,
    /// The id of the replica.
    pub replica: String,
    /// When the request arrived.
    pub at: At,
    /// The client account that the gateway named to the replica.
    pub account: String,
    /// Whether the replica ran the request.
    pub run: bool,
}

/// A period in which a fault or planned operation affected the fleet.
#[derive(Clone, Debug)]
pub struct Disruption {
    /// The fault, in its `Debug` form, or a description of the operation.
    pub what: String,
    /// When it began.
    pub from: At,
    /// When it ended, including time for restarted processes to start up.
    pub until: At,
}

/// A configuration document sent by the operator.
#[derive(Clone, Debug)]
pub struct Change {
    /// The version of the document.
    pub version: u64,
    /// When it was acknowledged, or `None` if it was not.
    pub acked: Option<At>,
}

/// A successful read of the document in force.
#[derive(Clone, Debug)]
pub struct Read {
    /// When the read was sent.
    pub sent: At,
    /// The version that was read.
    pub version: u64,
}

/// A failed read of the document in force.
#[derive(Clone, Debug)]
pub struct Unread {
    /// When the read was sent.
    pub sent: At,
    /// When it ended.
    pub ended: At,
}

/// The document version that a gateway reported to have in force.
#[derive(Clone, Debug)]
pub struct Held {
    /// The index of the gateway.
    pub gateway: usize,
    /// How many times the gateway had been started.
    pub incarnation: u32,
    /// When the report arrived.
    pub at: At,
    /// The reported version.
    pub version: u64,
}

/// A planned stop of a gateway.
#[derive(Clone, Debug)]
pub struct Stop {
    /// The index of the gateway.
    pub gateway: usize,
    /// When the stop was requested.
    pub asked: At,
    /// When the process had exited, or `None` if that was not observed.
    pub ended: Option<At>,
}

/// The crash of a replica while it ran a poison request.
#[derive(Clone, Debug)]
pub struct End {
    /// The number of the poison request.
    pub poison: usize,
    /// When the replica crashed.
    pub at: At,
}

/// A replica that reported in its heartbeats that it is draining.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// The id of the replica.
    pub replica: String,
    /// When a control process acknowledged this.
    pub acked: At,
}

/// A replica that announces a rate limit in its answers.
#[derive(Clone, Debug)]
pub struct Limited {
    /// The id of the replica.
    pub replica: String,
    /// The rate limit, in thousandths of a request per second.
    pub thousandths: u64,
    /// When an answer first announced the limit, or `None` before the first answer.
    pub first: Option<At>,
    /// When the replica stopped announcing it, or `None` while it still does.
    pub until: Option<At>,
}

/// A request that a replica rejected with `Retry-After`.
#[derive(Clone, Debug)]
pub struct Rested {
    /// The id of the replica.
    pub replica: String,
    /// The id of the rejected request.
    pub request: String,
    /// When it was rejected.
    pub at: At,
    /// When the backoff period ends: after the `Retry-After` time, or when the replica restarts if that is
    /// earlier.
    pub until: At,
}

/// A replica that announces in the headers of its answers that it is leaving.
#[derive(Clone, Debug)]
pub struct Told {
    /// The id of the replica.
    pub replica: String,
    /// The id of the first request whose answer announced it.
    pub request: String,
    /// When that instance of the replica ended, or `None` while it runs.
    pub until: Option<At>,
}

/// Everything observed in one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Faults and planned operations.
    pub disruptions: Vec<Disruption>,
    /// Requests of callers.
    pub requests: Vec<Request>,
    /// Arrivals at replicas.
    pub arrivals: Vec<Arrival>,
    /// The highest event number that replicas generated, by request id.
    pub made: BTreeMap<String, u64>,
    /// Documents sent by the operator.
    pub changes: Vec<Change>,
    /// Successful reads of the document in force.
    pub reads: Vec<Read>,
    /// Failed reads of the document in force.
    pub unread: Vec<Unread>,
    /// Document versions reported by gateways.
    pub held: Vec<Held>,
    /// Planned stops of gateways.
    pub stops: Vec<Stop>,
    /// Replicas that reported in heartbeats that they are draining.
    pub leaving: Vec<Leaving>,
    /// Crashes of replicas caused by poison requests.
    pub ends: Vec<End>,
    /// Rate limits announced by replicas.
    pub limits: Vec<Limited>,
    /// Requests rejected with `Retry-After`.
    pub rests: Vec<Rested>,
    /// Replicas that announced in answers that they are leaving.
    pub told: Vec<Told>,
    /// When the last fault ended.
    pub healed: At,
    /// When each gateway first answered after that, or `None` if it did not.
    pub back: Vec<Option<At>>,
    /// Names of processes that exited unexpectedly.
    pub ended: Vec<String>,
    /// Tokens that the control group counts as spent at the end, by account. Empty if the query failed.
    pub spent: BTreeMap<&'static str, u64>,
}
