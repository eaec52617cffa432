//! Connections to replicas and the pool of idle ones.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

use bytes::BytesMut;
use cypressfork_http::client::{Connection, Transport};
use cypressfork_node::tunnel::Tunnel;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Maximum number of idle connections kept per replica.
const MAX_IDLE_PER_REPLICA: usize = 32;

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
}

/// Idle direct connections by replica address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<ReplicaConnection>>>,
}

impl ConnectionPool {
    /// Removes and returns an idle connection to a replica.
    pub fn take(&self, now: Instant, address: SocketAddr) -> Option<ReplicaConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(c) = connections.pop() {
            if c.is_fresh(now) {
                return Some(c);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete response. Drops it if it cannot be reused or the pool of
    /// the replica is full. Relayed ones are not reused: the relay checks for each whether the replica accepts
    /// requests from it.
    pub fn put(&self, now: Instant, address: SocketAddr, mut c: ReplicaConnection) {
        if !c.is_reusable() || c.transport().relay().is_some() {
            return;
        }
        c.mark_idle(now);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_REPLICA {
            connections.push(c);
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_all(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Returns whether an idle connection to a replica is still open. Drops those that are not.
    pub fn has_open(&self, now: Instant, address: SocketAddr) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(connections) = idle.get_mut(&address) else { return false };
        connections.retain(|c| c.is_fresh(now));
        !connections.is_empty()
    }

    /// Closes connections that have been idle too long or that the replica has closed.
    pub fn remove_expired(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|c| c.is_fresh(now));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
