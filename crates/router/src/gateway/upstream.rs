//! Connections to replicas that rest between two exchanges.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use cypressfork_http::client::{Broken, Connection};
use tokio::time::Instant;

/// Connections kept for one replica.
const KEPT: usize = 32;

/// The connections that rest.
#[derive(Default)]
pub struct Connections {
    resting: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Connections {
    /// A connection to a replica: one that rests, or a new one.
    pub async fn get(&self, now: Instant, address: SocketAddr) -> Result<Connection, Broken> {
        match self.take(now, address) {
            Some(c) => Ok(c),
            None => Connection::open(address).await,
        }
    }

    /// A new connection to a replica.
    pub async fn fresh(&self, address: SocketAddr) -> Result<Connection, Broken> {
        Connection::open(address).await
    }

    fn take(&self, now: Instant, address: SocketAddr) -> Option<Connection> {
        let mut resting = self.resting.borrow_mut();
        let kept = resting.get_mut(&address)?;
        while let Some(c) = kept.pop() {
            if c.is_fresh(now) {
                return Some(c);
            }
        }
        None
    }

    /// Lays a connection aside after a whole answer, if it can be used again.
    pub fn put(&self, now: Instant, address: SocketAddr, mut c: Connection) {
        if !c.is_reusable() {
            return;
        }
        c.lay_aside(now);
        let mut resting = self.resting.borrow_mut();
        let kept = resting.entry(address).or_default();
        if kept.len() < KEPT {
            kept.push(c);
        }
    }

    /// Closes those with a replica that is not there any more.
    pub fn forget(&self, address: SocketAddr) {
        self.resting.borrow_mut().remove(&address);
    }

    /// Whether a connection that rests with a replica is still open. Those that are not are dropped.
    pub fn any_open(&self, now: Instant, address: SocketAddr) -> bool {
        let mut resting = self.resting.borrow_mut();
        let Some(kept) = resting.get_mut(&address) else { return false };
        kept.retain(|c| c.is_fresh(now));
        !kept.is_empty()
    }

    /// Closes those that have rested too long.
    pub fn trim(&self, now: Instant) {
        let mut resting = self.resting.borrow_mut();
        for kept in resting.values_mut() {
            kept.retain(|c| c.is_fresh(now));
        }
        resting.retain(|_, kept| !kept.is_empty());
    }
}
