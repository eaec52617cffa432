//! Whether a replica whose connections ended has ended itself, or only they have.
//!
//! One look at its address does not tell: whoever holds the listening socket, a process that takes a
//! while to exit, a supervisor or a proxy, accepts connections although nobody is left to answer. So
//! each loss opens a case, which the first of these signs closes:
//!
//! - nobody listens at the address: it has ended;
//! - a connection from before the loss is still open: it lives;
//! - another replica is at its address, or a later life of it is heard of: it has ended;
//! - it falls silent, while what accepts connections in its place says nothing: it has ended;
//! - it says that it leaves: its end is planned, and nothing that ran there is to blame;
//! - none of these for [`HEARD_WITHIN`]: it lives.

use std::net::SocketAddr;

use crate::unit::{Millis, Time};

/// How long a case stays open for news of the replica. Silence is noticed after four heartbeats; those
/// of large fleets are 3 s apart, and news travel for a second more.
pub const HEARD_WITHIN: Millis = Millis::seconds(15);

/// Open cases of one gateway. Each holds some hundred bytes for each request that was lost.
const CASES_MOST: usize = 256;

/// What shows that a replica has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shown {
    /// Nobody listens at its address.
    Refused,
    /// Another replica is there.
    Another,
    /// It has started again under its id.
    LaterLife,
    /// It has said nothing for several heartbeats.
    Silent,
}

impl Shown {
    /// Its words in logs.
    pub fn text(self) -> &'static str {
        match self {
            Shown::Refused => "nobody listens at its address",
            Shown::Another => "another replica is at its address",
            Shown::LaterLife => "it has started again under its id",
            Shown::Silent => "it has fallen silent",
        }
    }
}

/// News of a replica that bear on open cases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign<'a> {
    /// This replica, of which nothing was known before, is at an address.
    Arrived(SocketAddr, &'a str),
    /// What answers at its address says that this replica is not there.
    NotThere(&'a str),
    /// It has started again under its id.
    LaterLife(&'a str),
    /// It has said nothing for several heartbeats.
    Silent(&'a str),
    /// It has said that it leaves, or has left.
    Leaves(&'a str),
}

/// A loss of connections to one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss<V> {
    /// Where it listened.
    pub address: SocketAddr,
    /// Its id.
    pub replica: String,
    /// When the first of them was lost.
    pub since: Time,
    /// What was under way on them.
    pub lost: Vec<V>,
}

struct Case<V> {
    loss: Loss<V>,
    /// Somebody still looks at its address.
    looked_at: bool,
}

/// The losses of which it is not known yet what they were.
pub struct Ends<V> {
    cases: Vec<Case<V>>,
}

impl<V> Default for Ends<V> {
    fn default() -> Ends<V> {
        Ends { cases: Vec::new() }
    }
}

impl<V> Ends<V> {
    /// Notes that a connection was lost. True if its address is to be looked at: it was the first, or
    /// the look before is over.
    pub fn lost(&mut self, now: Time, address: SocketAddr, replica: &str, v: V) -> bool {
        let is_it = |c: &&mut Case<V>| c.looked_at && c.loss.is_of(address, replica);
        if let Some(c) = self.cases.iter_mut().find(is_it) {
            c.loss.lost.push(v);
            return false;
        }
        if self.cases.len() >= CASES_MOST {
            self.cases.remove(0);
        }
        let loss = Loss { address, replica: replica.to_owned(), since: now, lost: vec![v] };
        self.cases.push(Case { loss, looked_at: true });
        true
    }

    /// Nobody listens at the replica's address.
    pub fn refused(&mut self, address: SocketAddr, replica: &str) -> Vec<Loss<V>> {
        self.close(|l| l.is_of(address, replica))
    }

    /// A connection from before the loss is open: the loss was of connections only.
    pub fn lives(&mut self, address: SocketAddr, replica: &str) -> Vec<Loss<V>> {
        self.close(|l| l.is_of(address, replica))
    }

    /// Somebody goes on listening at the replica's address: only news of it can tell.
    pub fn listens(&mut self, address: SocketAddr, replica: &str) {
        let is_it = |c: &&mut Case<V>| c.loss.is_of(address, replica);
        self.cases.iter_mut().filter(is_it).for_each(|c| c.looked_at = false);
    }

    /// Whether a loss of this replica's connections is open.
    pub fn is_open(&self, address: SocketAddr, replica: &str) -> bool {
        self.cases.iter().any(|c| c.loss.is_of(address, replica))
    }

    /// Takes news of a replica. Returns the losses that they explain, and what they show.
    pub fn take(&mut self, sign: Sign<'_>) -> Option<(Shown, Vec<Loss<V>>)> {
        let (shown, closed) = match sign {
            Sign::Arrived(at, id) => {
                (Shown::Another, self.close(|l| l.address == at && l.replica != id))
            }
            Sign::NotThere(id) => (Shown::Another, self.close(|l| l.replica == id)),
            Sign::LaterLife(id) => (Shown::LaterLife, self.close(|l| l.replica == id)),
            Sign::Silent(id) => (Shown::Silent, self.close(|l| l.replica == id)),
            Sign::Leaves(id) => {
                self.close(|l| l.replica == id);
                return None;
            }
        };
        (!closed.is_empty()).then_some((shown, closed))
    }

    /// Closes the cases of which nothing was heard in time. Returns how many requests they held.
    pub fn forget(&mut self, now: Time) -> usize {
        let old = self.close(|l| now.since(l.since) >= HEARD_WITHIN);
        old.iter().map(|l| l.lost.len()).sum()
    }

    fn close(&mut self, which: impl Fn(&Loss<V>) -> bool) -> Vec<Loss<V>> {
        let closed = self.cases.extract_if(.., |c| which(&c.loss));
        closed.map(|c| c.loss).collect()
    }
}

impl<V> Loss<V> {
    fn is_of(&self, address: SocketAddr, replica: &str) -> bool {
        self.address == address && self.replica == replica
    }
}
