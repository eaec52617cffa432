//! What callers, replicas and operators have seen in one run. All times are milliseconds since the
//! run's start, by the clock of the soak's own process.

use std::collections::BTreeMap;

/// A point in time, in milliseconds since the run's start.
pub type At = u64;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may be repeated.
    Safe,
    /// It runs at most once.
    Unsafe,
    /// A stream of events that may go on at another replica.
    Stream,
    /// A request on the route of a version that was acknowledged: it shows what is in force.
    Probe(u64),
    /// A copy of the poison request of this number, which ends every replica that runs it.
    Poison(usize),
}

impl Kind {
    /// The service that it is for. Poison requests of odd numbers are streams.
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
    /// A success: whether it was the whole answer to this request, and the events it had.
    Answered {
        /// The body is the whole one of this request.
        whole: bool,
        /// Events that came, by their numbers, in their order.
        events: Vec<u64>,
    },
    /// Another status.
    Refused(u16),
    /// Refused, as it is said to end the replicas that run it.
    Quarantined,
    /// The connection ended; events that had come.
    Cut {
        /// A part of an answer had come.
        begun: bool,
        /// Events that had come.
        events: Vec<u64>,
    },
    /// No connection came up, so nothing was sent.
    NoConnection,
    /// The caller has left, on purpose or at its time limit.
    Left,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id; another for each try.
    pub id: String,
    /// What it asks for.
    pub kind: Kind,
    /// The client account.
    pub account: &'static str,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Events of its whole answer.
    pub events: u64,
    /// The gateway that it was sent to.
    pub gateway: usize,
    /// When.
    pub sent: At,
    /// When it ended.
    pub ended: At,
    /// How.
    pub outcome: Outcome,
}

/// One arrival at a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's id.
    pub id: String,
    /// The replica's service.
    pub service: &'static str,
    /// The replica.
    pub replica: String,
    /// When.
    pub at: At,
    /// The client account that the replica was told.
    pub account: String,
    /// Whether it was run.
    pub run: bool,
}

/// A span in which something was done to the fleet.
#[derive(Clone, Debug)]
pub struct Disruption {
    /// What.
    pub what: String,
    /// From when.
    pub from: At,
    /// Until when; a process that was started is given some time.
    pub until: At,
}

/// A document that was sent.
#[derive(Clone, Debug)]
pub struct Change {
    /// Its version.
    pub version: u64,
    /// When it was acknowledged, if it was.
    pub acked: Option<At>,
}

/// A read of the document in force that was answered.
#[derive(Clone, Debug)]
pub struct Read {
    /// When it was sent.
    pub sent: At,
    /// The version.
    pub version: u64,
}

/// A read of the document in force that was not answered with it.
#[derive(Clone, Debug)]
pub struct Unread {
    /// When it was sent.
    pub sent: At,
    /// When it ended.
    pub ended: At,
}

/// The version that a gateway said it had in force.
#[derive(Clone, Debug)]
pub struct Held {
    /// The gateway.
    pub gateway: usize,
    /// How often it had been started.
    pub incarnation: u32,
    /// When it said so.
    pub at: At,
    /// The version.
    pub version: u64,
}

/// A planned stop of a gateway.
#[derive(Clone, Debug)]
pub struct Stop {
    /// The gateway.
    pub gateway: usize,
    /// When it was asked.
    pub asked: At,
    /// When it had ended.
    pub ended: Option<At>,
}

/// The end of a replica under a poison request.
#[derive(Clone, Debug)]
pub struct End {
    /// The request's number.
    pub poison: usize,
    /// When.
    pub at: At,
}

/// A replica that has said that it leaves.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// The replica.
    pub replica: String,
    /// When that was acknowledged.
    pub acked: At,
}

/// A replica that names a limit in its answers.
#[derive(Clone, Debug)]
pub struct Limited {
    /// The replica.
    pub replica: String,
    /// Thousandths of a request a second.
    pub thousandths: u64,
    /// When it named it first; none: it has not answered yet.
    pub first: Option<At>,
    /// When it ceased to; none: it has not.
    pub until: Option<At>,
}

/// A replica turned a request away and asked for rest.
#[derive(Clone, Debug)]
pub struct Rested {
    /// The replica.
    pub replica: String,
    /// The request that it turned away.
    pub request: String,
    /// When.
    pub at: At,
    /// When the rest ends: with that life of the replica at the latest.
    pub until: At,
}

/// A replica says in its answers that it leaves.
#[derive(Clone, Debug)]
pub struct Told {
    /// The replica.
    pub replica: String,
    /// The first request that it told so.
    pub request: String,
    /// When that life of the replica ended; none: it has not.
    pub until: Option<At>,
}

/// All of it.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// What was done to the fleet.
    pub disruptions: Vec<Disruption>,
    /// Requests of callers.
    pub requests: Vec<Request>,
    /// Arrivals at replicas.
    pub arrivals: Vec<Arrival>,
    /// Events that replicas have made, by request: the highest number.
    pub made: BTreeMap<String, u64>,
    /// Documents that were sent.
    pub changes: Vec<Change>,
    /// Reads of the document in force.
    pub reads: Vec<Read>,
    /// Reads that failed.
    pub unread: Vec<Unread>,
    /// What gateways had in force.
    pub held: Vec<Held>,
    /// Planned stops.
    pub stops: Vec<Stop>,
    /// Replicas that have said that they leave.
    pub leaving: Vec<Leaving>,
    /// Replicas that poison requests have ended.
    pub ends: Vec<End>,
    /// Replicas that name limits.
    pub limits: Vec<Limited>,
    /// Rests that replicas asked for.
    pub rests: Vec<Rested>,
    /// Answers in which replicas said that they leave.
    pub told: Vec<Told>,
    /// When the last fault had ended.
    pub healed: At,
    /// From when on each gateway answered again after that; none: it did not.
    pub back: Vec<Option<At>>,
    /// Processes that ended without being asked.
    pub ended: Vec<String>,
    /// Tokens that the group counts as spent at the end, by account, if it could be asked.
    pub spent: BTreeMap<&'static str, u64>,
}
