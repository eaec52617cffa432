//! Connections to replicas and the pool of idle ones.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use cypressfork_http::client::{Connection, Transport};
use cypressfork_node::metric;
use cypressfork_node::tunnel::Tunnel;
use metrics::counter;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Maximum number of idle connections kept per replica.
const MAX_IDLE_PER_REPLICA: usize = 32;

/// Time after a response in which more of what its replica sends may arrive.
const REST_TIME: Duration = Duration::from_millis(250);

/// Time after surplus bytes in which connections to replicas of the service are used only after a rest.
const STUTTER_MEMORY: Duration = Duration::from_secs(60);

/// A connection to a replica.
pub type ReplicaConnection = Connection<ReplicaStream>;

/// The way of the bytes of a connection to a replica.
pub enum ReplicaStream {
    /// A direct connection.
    Direct(TcpStream),
    /// A connection that another gateway relays.
    Relayed {
        /// The tunnel to that gateway.
        tunnel: Box<Tunnel>,
        /// Its address.
        relay: SocketAddr,
    },
}

impl ReplicaStream {
    /// Returns the gateway that relays the connection; none if it is direct.
    pub fn relay(&self) -> Option<SocketAddr> {
        match self {
            ReplicaStream::Direct(_) => None,
            ReplicaStream::Relayed { relay, .. } => Some(*relay),
        }
    }
}

impl Transport for ReplicaStream {
    async fn read(&mut self, buf: &mut BytesMut) -> io::Result<usize> {
        match self {
            ReplicaStream::Direct(stream) => stream.read(buf).await,
            ReplicaStream::Relayed { tunnel, .. } => tunnel.read(buf).await,
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            ReplicaStream::Direct(stream) => Transport::write(stream, bytes).await,
            ReplicaStream::Relayed { tunnel, .. } => tunnel.write(bytes).await,
        }
    }

    fn sends_partly(&self) -> bool {
        matches!(self, ReplicaStream::Relayed { .. })
    }

    fn is_silent(&self) -> bool {
        match self {
            ReplicaStream::Direct(stream) => stream.is_silent(),
            ReplicaStream::Relayed { tunnel, .. } => tunnel.is_silent(),
        }
    }

    fn has_unread(&self) -> bool {
        match self {
            ReplicaStream::Direct(stream) => stream.has_unread(),
            // A tunnel is not kept, so nobody asks for bytes behind its response.
            ReplicaStream::Relayed { .. } => false,
        }
    }
}

/// The idle connections to one replica, the one that has been idle longest first.
struct IdleConnections {
    service: String,
    connections: Vec<ReplicaConnection>,
}

impl IdleConnections {
    /// Removes and returns the connection that has rested and was used last. If none has, returns the one that has been
    /// idle longest, unless it has to have rested.
    fn take(&mut self, now: Instant, has_to_rest: bool) -> Option<ReplicaConnection> {
        let has_rested = |c: &ReplicaConnection| c.idle_for(now) >= REST_TIME;
        let rested = self.connections.iter().rposition(has_rested);
        let any = (!has_to_rest && !self.connections.is_empty()).then_some(0);
        rested.or(any).map(|n| self.connections.remove(n))
    }

    /// Drops connections that cannot be used. Returns whether one has shown surplus bytes.
    fn remove_expired(&mut self, now: Instant) -> bool {
        let has_surplus = self.connections.iter().any(ReplicaConnection::has_surplus);
        self.connections.retain(|c| c.is_fresh(now));
        has_surplus
    }
}

/// Idle direct connections by replica address.
///
/// A replica may send more than its response, such as a part of it once more. The surplus stands in front of the next
/// response on the connection and may hide it, so connections rest if possible until it has arrived and shows.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, IdleConnections>>,
    /// Services with replicas that have sent surplus bytes, and when they last did.
    stuttering: RefCell<HashMap<String, Instant>>,
}

impl ConnectionPool {
    /// Removes and returns an idle connection to a replica of a service.
    pub fn take(
        &self,
        now: Instant,
        service: &str,
        address: SocketAddr,
    ) -> Option<ReplicaConnection> {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&address)?;
        while let Some(c) = idle.take(now, self.is_stuttering(now, service)) {
            if c.is_fresh(now) {
                return Some(c);
            }
            if c.has_surplus() {
                self.record_surplus(now, service);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete response. Drops it if it cannot be reused or the pool of
    /// the replica is full. Relayed ones are not reused: the relay checks for each whether the replica accepts
    /// requests from it.
    pub fn put(&self, now: Instant, service: &str, address: SocketAddr, mut c: ReplicaConnection) {
        if c.has_surplus() {
            return self.record_surplus(now, service);
        }
        if !c.is_reusable() || c.transport().relay().is_some() {
            return;
        }
        c.mark_idle(now);
        let mut idle = self.idle.borrow_mut();
        let new = || IdleConnections { service: service.to_owned(), connections: Vec::new() };
        let connections = &mut idle.entry(address).or_insert_with(new).connections;
        if connections.len() < MAX_IDLE_PER_REPLICA {
            connections.push(c);
        }
    }

    /// Records that a replica of a service has sent bytes that answer no request.
    pub fn record_surplus(&self, now: Instant, service: &str) {
        counter!(metric::SURPLUS).increment(1);
        self.stuttering.borrow_mut().insert(service.to_owned(), now);
    }

    /// Returns whether a replica of the service has lately sent bytes that answer no request.
    fn is_stuttering(&self, now: Instant, service: &str) -> bool {
        let stuttering = self.stuttering.borrow();
        stuttering.get(service).is_some_and(|at| now.duration_since(*at) < STUTTER_MEMORY)
    }

    /// Closes the idle connections to an address.
    pub fn close_all(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Returns whether an idle connection to a replica is still open. Drops those that are not.
    pub fn has_open(&self, now: Instant, address: SocketAddr) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(idle) = idle.get_mut(&address) else { return false };
        if idle.remove_expired(now) {
            self.record_surplus(now, &idle.service);
        }
        !idle.connections.is_empty()
    }

    /// Closes connections that have been idle too long or that the replica has closed.
    pub fn remove_expired(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        for idle in idle.values_mut() {
            if idle.remove_expired(now) {
                self.record_surplus(now, &idle.service);
            }
        }
        idle.retain(|_, idle| !idle.connections.is_empty());
        let is_recent = |at: &Instant| now.duration_since(*at) < STUTTER_MEMORY;
        self.stuttering.borrow_mut().retain(|_, at| is_recent(at));
    }
}
