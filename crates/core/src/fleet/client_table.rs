//! Bounds on the connections of clients that a process serves, and on the bytes that it holds for their requests.
//!
//! Any client may connect, and some send slowly, never finish, or send much at once. Above a bound, connections give
//! way that are not being served: above the bound on a listener's connections the one that has waited longest without
//! progress, those without a complete request so far first; above the bound on bytes those without progress, and then
//! the one that holds most. A request that is being served is never given up.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::unit::{Millis, Time};

/// Time without progress after which a connection counts as stalled.
const STALL_TIME: Millis = Millis::seconds(2);

/// Bytes of a request up to which it may use the part of the memory that is reserved for small requests.
const SMALL_REQUEST_BYTES: u64 = 64 * 1024;

/// The process's memory divided by the bound on bytes held for requests.
const MEMORY_DIVISOR: u64 = 4;

/// Memory that a connection takes beside what is held for its request, in bytes.
const CONNECTION_BYTES: u64 = 8 * 1024;

/// Returns how many bytes may be held for requests of clients in a process that may use `memory` bytes.
pub fn max_held_bytes(memory: u64) -> u64 {
    memory / MEMORY_DIVISOR
}

/// Identifies a listener of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListenerId(usize);

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Its listener has too many connections.
    Connections,
    /// Too many bytes are held.
    Memory,
}

/// A connection to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed {
    /// The connection.
    pub id: ConnectionId,
    /// Why it is closed.
    pub reason: CloseReason,
}

/// There is too little memory for a request, or no connection that could give way to a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// The order in which the connections of a listener give way.
type Rank = (bool, Time, ConnectionId);

#[derive(Clone, Debug)]
struct Listener {
    max_connections: usize,
    connections: usize,
    /// The connections that are not being served.
    waiting: BTreeSet<Rank>,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    listener: ListenerId,
    held: u64,
    /// When it was opened, or last sent or accepted bytes.
    progress: Time,
    /// Whether a whole request has been received on it.
    is_proven: bool,
    is_served: bool,
    /// Whether its request was given up for want of memory. It holds nothing until it ends.
    is_refused: bool,
}

impl Connection {
    fn rank(&self, id: ConnectionId) -> Rank {
        (self.is_proven, self.progress, id)
    }
}

/// The connections of clients of a process, and the bytes held for them.
#[derive(Clone, Debug)]
pub struct ClientTable {
    max_bytes: u64,
    /// Bytes held for all connections.
    total: u64,
    /// Bytes held for those that are being served.
    served: u64,
    /// Most memory used since free memory was last returned to the system.
    peak: u64,
    last_id: u64,
    listeners: Vec<Listener>,
    connections: BTreeMap<ConnectionId, Connection>,
}

impl ClientTable {
    /// Returns a table without listeners that allows `max_bytes` to be held in total.
    pub fn new(max_bytes: u64) -> ClientTable {
        ClientTable {
            max_bytes,
            total: 0,
            served: 0,
            peak: 0,
            last_id: 0,
            listeners: Vec::new(),
            connections: BTreeMap::new(),
        }
    }

    /// Adds a listener that may have `max_connections` at once.
    pub fn add_listener(&mut self, max_connections: usize) -> ListenerId {
        let waiting = BTreeSet::new();
        self.listeners.push(Listener { max_connections, connections: 0, waiting });
        ListenerId(self.listeners.len() - 1)
    }

    /// Returns the bytes held for all connections.
    pub fn held_bytes(&self) -> u64 {
        self.total
    }

    /// Returns whether `bytes` more may be held without closing a connection.
    pub fn has_room(&self, bytes: u64) -> bool {
        self.total + bytes <= self.max_bytes
    }

    /// Returns the memory that all connections use, about.
    fn used_bytes(&self) -> u64 {
        self.total + self.connections.len() as u64 * CONNECTION_BYTES
    }

    /// Returns whether so much memory has become free that it should be returned to the system.
    pub fn is_release_due(&self) -> bool {
        self.peak - self.used_bytes() >= self.max_bytes / 2
    }

    /// Records that free memory was returned to the system.
    pub fn record_release(&mut self) {
        self.peak = self.used_bytes();
    }

    /// Returns the number of a listener's connections.
    pub fn connection_count(&self, listener: ListenerId) -> usize {
        self.listeners[listener.0].connections
    }

    /// Adds a connection. Returns its id and the connection that has to be closed for it, if any.
    ///
    /// # Errors
    /// Fails if the listener has too many connections and all of them are being served.
    pub fn open(
        &mut self,
        now: Time,
        listener: ListenerId,
    ) -> Result<(ConnectionId, Option<Closed>), Full> {
        let l = &self.listeners[listener.0];
        let first = l.waiting.first().map(|(_, _, id)| *id);
        let closed = match l.connections >= l.max_connections {
            true => Some(Closed { id: first.ok_or(Full)?, reason: CloseReason::Connections }),
            false => None,
        };
        if let Some(c) = closed {
            self.remove(c.id);
        }
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        let c = Connection {
            listener,
            held: 0,
            progress: now,
            is_proven: false,
            is_served: false,
            is_refused: false,
        };
        self.connections.insert(id, c);
        let l = &mut self.listeners[listener.0];
        l.connections += 1;
        l.waiting.insert(c.rank(id));
        self.peak = self.peak.max(self.used_bytes());
        Ok((id, closed))
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        let Some(c) = self.connections.remove(&id) else { return };
        self.total -= c.held;
        if c.is_served {
            self.served -= c.held;
        }
        let l = &mut self.listeners[c.listener.0];
        l.connections -= 1;
        l.waiting.remove(&c.rank(id));
    }

    /// Changes a connection, and keeps the sums and the order in step. Does nothing if it was removed.
    fn update(&mut self, id: ConnectionId, change: impl FnOnce(&mut Connection)) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        let before = *c;
        change(c);
        if c.is_refused {
            (c.held, c.is_served) = (0, false);
        }
        let after = *c;
        self.total = self.total - before.held + after.held;
        let served = |c: &Connection| if c.is_served { c.held } else { 0 };
        self.served = self.served - served(&before) + served(&after);
        self.peak = self.peak.max(self.used_bytes());
        let waiting = &mut self.listeners[after.listener.0].waiting;
        waiting.remove(&before.rank(id));
        if !after.is_served {
            waiting.insert(after.rank(id));
        }
    }

    /// Records that the client sent or accepted bytes, and that `held` bytes are held for it.
    pub fn record_progress(&mut self, now: Time, id: ConnectionId, held: u64) {
        self.update(id, |c| {
            c.held = held;
            c.progress = now;
        });
    }

    /// Records that `held` bytes are held for a connection.
    pub fn record_held(&mut self, id: ConnectionId, held: u64) {
        self.update(id, |c| c.held = held);
    }

    /// Records that a whole request was received, which uses `held` bytes while it is being served.
    ///
    /// # Errors
    /// Fails if there is too little memory for the request.
    pub fn begin_request(&mut self, now: Time, id: ConnectionId, held: u64) -> Result<(), Full> {
        let bound = match held <= SMALL_REQUEST_BYTES {
            true => self.max_bytes,
            false => self.max_bytes / 4 * 3,
        };
        let may_begin = self.connections.get(&id).is_some_and(|c| !c.is_refused);
        if !may_begin || self.served + held > bound {
            return Err(Full);
        }
        self.update(id, |c| {
            c.held = held;
            c.progress = now;
            c.is_proven = true;
            c.is_served = true;
        });
        Ok(())
    }

    /// Records that a request is no longer being served: its response was sent, or is being sent without further
    /// work.
    pub fn end_request(&mut self, now: Time, id: ConnectionId, held: u64) {
        self.update(id, |c| {
            c.held = held;
            c.progress = now;
            c.is_served = false;
        });
    }

    /// Returns the next connection whose request to give up if more bytes are held than allowed. Its bytes no longer
    /// count, and it is closed once its client has been told.
    pub fn next_closed(&mut self, now: Time) -> Option<Closed> {
        if self.total <= self.max_bytes {
            return None;
        }
        let waiting = self.connections.iter().filter(|(_, c)| !c.is_served && c.held > 0);
        let is_stalled = |c: &Connection| now.since(c.progress) >= STALL_TIME;
        let (id, _) = waiting.max_by_key(|(id, c)| (is_stalled(c), c.held, Reverse(**id)))?;
        let id = *id;
        self.update(id, |c| c.is_refused = true);
        Some(Closed { id, reason: CloseReason::Memory })
    }
}
