//! The observations of callers, replicas and operators in one run. All times are in milliseconds since
//! the start of the run, by the clock of the soak process.

use std::collections::{BTreeMap, BTreeSet};

use crate::plan::FIRST_POISON_PART;

/// A point in time, in milliseconds since the run's start.
pub type Timestamp = u64;

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
    /// A copy of the poison request with this number, or a request with the poison part with this number. It
    /// crashes every replica that runs it.
    Poison(usize),
}

impl Kind {
    /// Returns the number of the poison part that the request has.
    pub fn poison_part(self) -> Option<usize> {
        match self {
            Kind::Poison(n) if n >= FIRST_POISON_PART => Some(n),
            _ => None,
        }
    }

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
    Left {
        /// Whether an event was received before.
        begun: bool,
    },
}

/// A stream that a caller resumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resumption {
    /// The id of the attempt that brought the first event.
    pub first: String,
    /// The number of the last event that the caller received.
    pub after: u64,
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
    /// The stream that it resumes, if it does.
    pub resumes: Option<Resumption>,
    /// The software versions of the replicas whose events were received.
    pub versions: BTreeSet<String>,
    /// The index of the gateway that it was sent to.
    pub gateway: usize,
    /// When it was sent.
    pub sent: Timestamp,
    /// When it ended.
    pub ended: Timestamp,
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
    pub at: Timestamp,
    /// The client account that the gateway named to the replica.
    pub account: String,
    /// Whether the replica ran the request.
    pub run: bool,
}

/// The time for which a replica accepted requests.
#[derive(Clone, Debug)]
pub struct ReplicaLife {
    /// The service of the replica.
    pub service: &'static str,
    /// The version of its software.
    pub version: String,
    /// When it started.
    pub from: Timestamp,
    /// When it announced its drain or crashed, or `None` if it did not.
    pub until: Option<Timestamp>,
}

/// A period in which a fault or planned operation affected the fleet.
#[derive(Clone, Debug)]
pub struct Disruption {
    /// The fault, in its `Debug` form, or a description of the operation.
    pub what: String,
    /// When it began.
    pub from: Timestamp,
    /// When it ended, including time for restarted processes to start up.
    pub until: Timestamp,
}

/// A configuration document sent by the operator.
#[derive(Clone, Debug)]
pub struct Change {
    /// The version of the document.
    pub version: u64,
    /// When it was acknowledged, or `None` if it was not.
    pub acked: Option<Timestamp>,
}

/// A successful read of the document in force.
#[derive(Clone, Debug)]
pub struct Read {
    /// When the read was sent.
    pub sent: Timestamp,
    /// The version that was read.
    pub version: u64,
}

/// A failed read of the document in force.
#[derive(Clone, Debug)]
pub struct FailedRead {
    /// When the read was sent.
    pub sent: Timestamp,
    /// When it ended.
    pub ended: Timestamp,
}

/// The document version that a gateway reported to have in force.
#[derive(Clone, Debug)]
pub struct VersionReport {
    /// The index of the gateway.
    pub gateway: usize,
    /// How many times the gateway had been started.
    pub incarnation: u32,
    /// When the report arrived.
    pub at: Timestamp,
    /// The reported version.
    pub version: u64,
}

/// A planned stop of a process.
#[derive(Clone, Debug)]
pub struct Stop {
    /// The name of the process.
    pub process: String,
    /// The index of the gateway, or `None` for a control process.
    pub gateway: Option<usize>,
    /// When the stop was requested.
    pub requested: Timestamp,
    /// When the process had exited.
    pub ended: Timestamp,
    /// Time for which the process stood still meanwhile, in milliseconds.
    pub suspended_ms: u64,
    /// Whether the process had time to start before.
    pub served: bool,
}

/// A period in which a replica broke off responses: it crashed or reset its connections.
#[derive(Clone, Debug)]
pub struct ReplicaBreak {
    /// The id of the replica.
    pub replica: String,
    /// When it began.
    pub from: Timestamp,
    /// When it ended.
    pub until: Timestamp,
}

/// The crash of a replica while it ran a poison request.
#[derive(Clone, Debug)]
pub struct PoisonCrash {
    /// The number of the poison request.
    pub poison: usize,
    /// When the replica crashed.
    pub at: Timestamp,
}

/// The drain of a replica that it reported in its heartbeats.
#[derive(Clone, Debug)]
pub struct AckedDrain {
    /// The id of the replica.
    pub replica: String,
    /// When a control process acknowledged the report.
    pub acked: Timestamp,
}

/// A rate limit that a replica announces in its answers.
#[derive(Clone, Debug)]
pub struct AnnouncedLimit {
    /// The id of the replica.
    pub replica: String,
    /// The rate limit, in thousandths of a request per second.
    pub thousandths: u64,
    /// When an answer first announced the limit, or `None` before the first answer.
    pub first: Option<Timestamp>,
    /// When the replica stopped announcing it, or `None` while it still does.
    pub until: Option<Timestamp>,
}

/// A period in which a gateway must not send requests to a replica that rejected one with `Retry-After`.
#[derive(Clone, Debug)]
pub struct Backoff {
    /// The id of the replica.
    pub replica: String,
    /// The id of the rejected request.
    pub request: String,
    /// When it was rejected.
    pub at: Timestamp,
    /// When the backoff period ends: after the `Retry-After` time, or when the replica restarts if that is
    /// earlier.
    pub until: Timestamp,
}

/// An answer in whose headers a replica announced that it is draining.
#[derive(Clone, Debug)]
pub struct AnnouncedDrain {
    /// The id of the replica.
    pub replica: String,
    /// The id of the answered request.
    pub request: String,
    /// When that instance of the replica ended, or `None` while it runs.
    pub until: Option<Timestamp>,
}

/// A partition of gateways from all replicas.
#[derive(Clone, Debug)]
pub struct ReplicaCutPeriod {
    /// The indexes of the gateways that were cut off.
    pub gateways: Vec<usize>,
    /// When it began.
    pub from: Timestamp,
    /// When it ended.
    pub until: Timestamp,
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
    /// Replicas that were started.
    pub replica_lives: Vec<ReplicaLife>,
    /// The highest event number that replicas generated, by request id.
    pub generated: BTreeMap<String, u64>,
    /// Documents sent by the operator.
    pub changes: Vec<Change>,
    /// Successful reads of the document in force.
    pub reads: Vec<Read>,
    /// Failed reads of the document in force.
    pub failed_reads: Vec<FailedRead>,
    /// Document versions reported by gateways.
    pub version_reports: Vec<VersionReport>,
    /// Planned stops of processes.
    pub stops: Vec<Stop>,
    /// Periods in which replicas broke off responses.
    pub replica_breaks: Vec<ReplicaBreak>,
    /// Replicas that reported in heartbeats that they are draining.
    pub acked_drains: Vec<AckedDrain>,
    /// Crashes of replicas caused by poison requests.
    pub poison_crashes: Vec<PoisonCrash>,
    /// Rate limits announced by replicas.
    pub limits: Vec<AnnouncedLimit>,
    /// Backoff periods that replicas requested with `Retry-After`.
    pub backoffs: Vec<Backoff>,
    /// Answers in which replicas announced that they are draining.
    pub announced_drains: Vec<AnnouncedDrain>,
    /// Partitions of gateways from all replicas.
    pub replica_cuts: Vec<ReplicaCutPeriod>,
    /// When the last fault ended.
    pub healed: Timestamp,
    /// When each gateway first answered a request after the last fault ended, or `None` if it did not.
    pub recovered_at: Vec<Option<Timestamp>>,
    /// Names of processes that exited unexpectedly.
    pub unexpected_exits: Vec<String>,
    /// Most memory that each process was seen to use, in bytes, by the name of its process.
    pub memory: BTreeMap<String, u64>,
    /// Tokens that the control group counts as spent at the end, by account. Empty if the query failed.
    pub spent: BTreeMap<&'static str, u64>,
}
