//! Decides whether a replica whose connections were lost has ended, or only the connections have.
//!
//! A single probe of its address is not enough: an exiting process, a supervisor or a proxy may hold the
//! listening socket and accept connections although nothing answers them. So each loss opens a case,
//! which the first of these events closes:
//!
//! - a probe of the address is refused: the replica has ended;
//! - a connection from before the loss is still open: it is alive;
//! - another replica is at its address, or it has restarted under its id: it has ended;
//! - its heartbeats stop: it has ended;
//! - it is draining or has left: its end is planned and no request is suspected of causing it;
//! - none of these for [`CASE_TIMEOUT`]: it is alive.
//!
//! The end of a response with neither a length nor chunks opens a case too, because its connection ends
//! either way. A later response of the replica closes it.

use std::net::SocketAddr;

use crate::unit::{Millis, Time};

/// How long a case stays open. A replica is silent after four missed heartbeats, which are 3 s apart in
/// large fleets, and the change takes up to a second to arrive.
pub const CASE_TIMEOUT: Millis = Millis::seconds(15);

/// Maximum number of open cases of one gateway; the oldest is dropped. A case takes some hundred bytes
/// per lost request.
const MAX_CASES: usize = 256;

/// Evidence that a replica has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndEvidence {
    /// Its address refuses connections.
    Refused,
    /// Another replica is at its address.
    AddressReused,
    /// It has restarted under the same id.
    Restarted,
    /// It has missed several heartbeats.
    Silent,
}

impl EndEvidence {
    /// Returns the text for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            EndEvidence::Refused => "its address refuses connections",
            EndEvidence::AddressReused => "another replica is at its address",
            EndEvidence::Restarted => "it has restarted under the same id",
            EndEvidence::Silent => "it has missed several heartbeats",
        }
    }
}

/// A change of a replica that may close open cases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaEvent<'a> {
    /// A replica with a new id has registered at this address.
    Registered(SocketAddr, &'a str),
    /// The process at its address has answered that it is not this replica.
    NotThere(&'a str),
    /// It has restarted under the same id.
    Restarted(&'a str),
    /// It has missed several heartbeats.
    Silent(&'a str),
    /// It is draining or has left.
    Leaving(&'a str),
}

/// Lost connections to one replica; `V` describes a request that was active on one of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss<V> {
    /// Address of the replica.
    pub address: SocketAddr,
    /// Id of the replica.
    pub replica: String,
    /// When the first connection was lost.
    pub since: Time,
    /// Requests that were active on the connections.
    pub requests: Vec<V>,
}

struct Case<V> {
    loss: Loss<V>,
    /// Whether a probe of the address is running.
    probing: bool,
    /// Whether the connection ended where a response may end.
    may_be_response_end: bool,
}

/// Losses whose cause is not decided yet.
pub struct ConnectionLosses<V> {
    cases: Vec<Case<V>>,
}

impl<V> Default for ConnectionLosses<V> {
    fn default() -> ConnectionLosses<V> {
        ConnectionLosses { cases: Vec::new() }
    }
}

impl<V> ConnectionLosses<V> {
    /// Records that a connection to `replica` with request `v` was lost at `now`.
    ///
    /// Returns whether the caller has to probe the address, because no probe for this replica is running.
    pub fn record_loss(&mut self, now: Time, address: SocketAddr, replica: &str, v: V) -> bool {
        let matches = |c: &&mut Case<V>| c.probing && c.loss.is_of(address, replica);
        if let Some(c) = self.cases.iter_mut().find(matches) {
            c.loss.requests.push(v);
            return false;
        }
        let loss = Loss { address, replica: replica.to_owned(), since: now, requests: vec![v] };
        self.push(Case { loss, probing: true, may_be_response_end: false });
        true
    }

    /// Records that a connection to `replica` ended where the response to request `v` may end, because the
    /// response has neither a length nor chunks. `probing` tells whether the caller probes the address.
    pub fn record_response_end(
        &mut self,
        now: Time,
        address: SocketAddr,
        replica: &str,
        v: V,
        probing: bool,
    ) {
        let loss = Loss { address, replica: replica.to_owned(), since: now, requests: vec![v] };
        self.push(Case { loss, probing, may_be_response_end: true });
    }

    fn push(&mut self, case: Case<V>) {
        if self.cases.len() >= MAX_CASES {
            let least = self.cases.iter().position(|c| c.may_be_response_end).unwrap_or(0);
            self.cases.remove(least);
        }
        self.cases.push(case);
    }

    /// Returns whether no case is open.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Closes and returns the response ends before `sent` of a replica that has responded to a request that
    /// was sent then.
    pub fn confirm_responses(
        &mut self,
        address: SocketAddr,
        replica: &str,
        sent: Time,
    ) -> Vec<Loss<V>> {
        let is_alive = |c: &Case<V>| {
            c.may_be_response_end && c.loss.is_of(address, replica) && c.loss.since <= sent
        };
        let closed = self.cases.extract_if(.., |c| is_alive(c));
        closed.map(|c| c.loss).collect()
    }

    /// Closes and returns the losses of a replica whose address refuses connections: it has ended.
    pub fn confirm_ended(&mut self, address: SocketAddr, replica: &str) -> Vec<Loss<V>> {
        self.close(|l| l.is_of(address, replica))
    }

    /// Closes and returns the losses of a replica that is alive: a connection from before them is open.
    pub fn confirm_alive(&mut self, address: SocketAddr, replica: &str) -> Vec<Loss<V>> {
        self.close(|l| l.is_of(address, replica))
    }

    /// Ends the probe of a replica's address that keeps accepting connections. Its losses stay open until
    /// a change of the replica or the timeout closes them.
    pub fn end_probe(&mut self, address: SocketAddr, replica: &str) {
        let matches = |c: &&mut Case<V>| c.loss.is_of(address, replica);
        self.cases.iter_mut().filter(matches).for_each(|c| c.probing = false);
    }

    /// Returns whether a loss of this replica is open.
    pub fn is_open(&self, address: SocketAddr, replica: &str) -> bool {
        self.cases.iter().any(|c| c.loss.is_of(address, replica))
    }

    /// Closes the losses that a change of a replica decides. Returns them with the evidence that the
    /// replica has ended; `None` if there are none or the replica leaves as planned.
    pub fn apply(&mut self, event: ReplicaEvent<'_>) -> Option<(EndEvidence, Vec<Loss<V>>)> {
        let (evidence, closed) = match event {
            ReplicaEvent::Registered(at, id) => {
                (EndEvidence::AddressReused, self.close(|l| l.address == at && l.replica != id))
            }
            ReplicaEvent::NotThere(id) => {
                (EndEvidence::AddressReused, self.close(|l| l.replica == id))
            }
            ReplicaEvent::Restarted(id) => {
                (EndEvidence::Restarted, self.close(|l| l.replica == id))
            }
            ReplicaEvent::Silent(id) => (EndEvidence::Silent, self.close(|l| l.replica == id)),
            ReplicaEvent::Leaving(id) => {
                self.close(|l| l.replica == id);
                return None;
            }
        };
        (!closed.is_empty()).then_some((evidence, closed))
    }

    /// Closes the cases older than [`CASE_TIMEOUT`], whose replicas count as alive. Returns the number of
    /// requests in them.
    pub fn expire(&mut self, now: Time) -> usize {
        let expired = self.close(|l| now.since(l.since) >= CASE_TIMEOUT);
        expired.iter().map(|l| l.requests.len()).sum()
    }

    fn close(&mut self, matches: impl Fn(&Loss<V>) -> bool) -> Vec<Loss<V>> {
        let closed = self.cases.extract_if(.., |c| matches(&c.loss));
        closed.map(|c| c.loss).collect()
    }
}

impl<V> Loss<V> {
    fn is_of(&self, address: SocketAddr, replica: &str) -> bool {
        self.address == address && self.replica == replica
    }
}
