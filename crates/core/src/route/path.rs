//! Which way a router takes to a replica: a direct connection, or one that another router relays.
//!
//! A path is a property of one router and one replica. It counts as lost once a relay has reached the
//! replica while the direct connection failed: this distinguishes a lost path from a dead replica. What
//! happened to one path casts doubt on the others: a replica from which nothing was received directly since
//! then gets a new connection, so that no request is sent on one that may have fallen silent.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use crate::unit::{Millis, Time};

/// Delay after which a relay is tried beside a direct connection that has not opened. Longer than a round
/// trip between regions.
const RELAY_DELAY: Millis = Millis(100);

/// The same if the path is in doubt.
const DOUBTFUL_RELAY_DELAY: Millis = Millis(20);

/// Delay until a lost path is tried again; doubles with each further failure.
const RETRY_BASE: Millis = Millis(250);

/// The longest such delay.
const RETRY_MAX: Millis = Millis::seconds(2);

/// How long a failure casts doubt on other paths. By then their idle connections have expired.
const DOUBT_TTL: Millis = Millis::seconds(10);

/// How to open a connection to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenPlan {
    /// Directly. A relay is tried as well if the direct connection fails or takes longer than this.
    Direct {
        /// Delay of the relayed connection.
        relay_after: Millis,
    },
    /// Only through a relay.
    Relayed,
}

/// A direct path that is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostPath {
    /// Since when.
    pub since: Time,
    /// Time of the next direct connection.
    retry_at: Time,
    /// Delay of the one after that.
    backoff: Millis,
}

/// One router's direct paths to replicas.
#[derive(Clone, Debug, Default)]
pub struct Paths {
    lost: HashMap<SocketAddr, LostPath>,
    /// When each replica last accepted a direct connection or responded on one.
    reached: HashMap<SocketAddr, Time>,
    /// When a replica of each service last sent something on a direct connection.
    heard: HashMap<String, Time>,
    /// Services of which a replica is being checked.
    checked: HashSet<String>,
    /// Start of the last direct exchange or connection that failed without a sign of the replica.
    doubt_since: Option<Time>,
}

impl Paths {
    /// Returns how to open the next connection to a replica. While its path is lost, one connection at a time
    /// tries it again.
    pub fn plan(&mut self, now: Time, replica: SocketAddr) -> OpenPlan {
        if let Some(path) = self.lost.get_mut(&replica) {
            if path.retry_at > now {
                return OpenPlan::Relayed;
            }
            path.retry_at = now.after(path.backoff);
            path.backoff = Millis((path.backoff.0 * 2).min(RETRY_MAX.0));
            return OpenPlan::Direct { relay_after: DOUBTFUL_RELAY_DELAY };
        }
        let relay_after =
            if self.is_doubtful(now, replica) { DOUBTFUL_RELAY_DELAY } else { RELAY_DELAY };
        OpenPlan::Direct { relay_after }
    }

    /// Returns whether an idle direct connection to a replica may carry a request. Open connections may work
    /// although no new one can be opened.
    pub fn may_reuse(&self, now: Time, replica: SocketAddr) -> bool {
        let reached = self.reached.get(&replica);
        let lost = self.lost.get(&replica);
        !self.is_doubtful(now, replica)
            && lost.is_none_or(|path| reached.is_some_and(|at| *at > path.since))
    }

    /// Returns whether the direct path to a replica is lost.
    pub fn is_lost(&self, replica: SocketAddr) -> bool {
        self.lost.contains_key(&replica)
    }

    /// Returns whether another path failed since the replica was last reached.
    fn is_doubtful(&self, now: Time, replica: SocketAddr) -> bool {
        let doubt = self.doubt_since.filter(|since| now.since(*since) < DOUBT_TTL);
        doubt.is_some_and(|since| self.reached.get(&replica).is_none_or(|at| *at <= since))
    }

    /// Records that a replica of a service sent something on a direct connection.
    pub fn record_response(&mut self, now: Time, service: &str, replica: SocketAddr) {
        self.reached.insert(replica, now);
        match self.heard.get_mut(service) {
            Some(at) => *at = now,
            None => {
                self.heard.insert(service.to_owned(), now);
            }
        }
    }

    /// Returns whether to check the path to a replica of a service that has not responded since `sent`: no other
    /// one has either, and none is being checked. [`Paths::end_check`] must follow.
    pub fn begin_check(&mut self, service: &str, sent: Time) -> bool {
        let is_heard = self.heard.get(service).is_some_and(|at| *at >= sent);
        !is_heard && self.checked.insert(service.to_owned())
    }

    /// Ends the check of a path.
    pub fn end_check(&mut self, service: &str) {
        self.checked.remove(service);
    }

    /// Records that a replica accepted a direct connection. Returns for how long its path had been lost. Other
    /// lost paths are then tried again at once.
    pub fn record_opened(&mut self, now: Time, replica: SocketAddr) -> Option<Millis> {
        self.reached.insert(replica, now);
        let path = self.lost.remove(&replica)?;
        for other in self.lost.values_mut() {
            other.retry_at = now;
            other.backoff = RETRY_BASE;
        }
        Some(now.since(path.since))
    }

    /// Records that a relay reached a replica while a direct connection begun at `since` did not open. Returns
    /// whether the path was not known to be lost.
    pub fn record_lost(&mut self, now: Time, since: Time, replica: SocketAddr) -> bool {
        self.record_doubt(since);
        if self.lost.contains_key(&replica) {
            return false;
        }
        let path = LostPath { since, retry_at: now.after(RETRY_BASE), backoff: RETRY_BASE };
        self.lost.insert(replica, path);
        true
    }

    /// Records that nothing was received on a direct connection since a request was sent on it at `since`.
    pub fn record_silence(&mut self, since: Time) {
        self.record_doubt(since);
    }

    fn record_doubt(&mut self, since: Time) {
        self.doubt_since = Some(self.doubt_since.map_or(since, |known| known.max(since)));
    }

    /// Removes a replica that no longer exists.
    pub fn remove(&mut self, replica: SocketAddr) {
        self.lost.remove(&replica);
        self.reached.remove(&replica);
    }

    /// Returns the lost paths.
    pub fn lost(&self) -> impl Iterator<Item = (SocketAddr, LostPath)> {
        self.lost.iter().map(|(replica, path)| (*replica, *path))
    }
}
