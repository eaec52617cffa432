//! Pool of idle connections to replicas.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use cypressfork_http::client::{Connection, OpenError};
use tokio::time::Instant;

use super::activity::Activity;

/// Maximum number of idle connections kept per replica.
const MAX_IDLE_PER_REPLICA: usize = 32;

/// Idle connections by replica address.
pub struct ConnectionPool {
    /// Local address of new connections.
    source: Option<IpAddr>,
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl ConnectionPool {
    /// Returns an empty pool whose connections have the local address `source`.
    pub fn new(source: Option<IpAddr>) -> ConnectionPool {
        ConnectionPool { source, idle: RefCell::default() }
    }

    /// Returns an idle connection to a replica, or opens a new one.
    pub async fn get(
        &self,
        now: Instant,
        address: SocketAddr,
        activity: &Activity,
    ) -> Result<Connection, OpenError> {
        match self.take_idle(now, address) {
            Some(c) => Ok(c),
            None => self.open(address, activity).await,
        }
    }

    /// Opens a new connection to a replica even if there are idle ones.
    pub async fn open(
        &self,
        address: SocketAddr,
        activity: &Activity,
    ) -> Result<Connection, OpenError> {
        let result = Connection::open_from(self.source, address).await;
        activity.record_open(&result);
        result
    }

    fn take_idle(&self, now: Instant, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(c) = connections.pop() {
            if c.is_fresh(now) {
                return Some(c);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete response. Drops it if it cannot be reused or
    /// the pool of the replica is full.
    pub fn put(&self, now: Instant, address: SocketAddr, mut c: Connection) {
        if !c.is_reusable() {
            return;
        }
        c.mark_idle(now);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_REPLICA {
            connections.push(c);
        }
    }

    /// Closes the idle connections to the address of a replica that no longer exists.
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
