//! State that all tasks of one run share.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cypressfork_node::time::unix_time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::history::{History, Timestamp};
use crate::replica::EVENT_INTERVAL;

/// State that all tasks of one run share.
pub struct World {
    started: Instant,
    /// Events observed so far.
    pub history: RefCell<History>,
    /// API addresses of the control processes, for operators, replicas and callers.
    pub apis: Vec<SocketAddr>,
    /// Addresses at which the gateways serve callers.
    pub gateways: Vec<SocketAddr>,
    /// Addresses at which the gateways serve operators.
    pub operator_addresses: Vec<SocketAddr>,
    /// Number of starts of each gateway.
    pub incarnations: Vec<Cell<u32>>,
    /// Whether callers must stop sending requests.
    pub stop_callers: Cell<bool>,
    /// The highest document version that was acknowledged.
    pub acked: Cell<u64>,
    /// The highest document version that was sent.
    pub sent: Cell<u64>,
    /// Local addresses of the gateways that are partitioned from all replicas.
    pub cut_off: RefCell<Vec<Ipv4Addr>>,
    /// Ids of replicas that have crashed and are to be restarted.
    pub crashed: RefCell<Vec<String>>,
    /// Number of software versions that the replicas of `talk` run side by side.
    pub versions: Cell<u64>,
    /// Whether replicas stutter.
    pub stutters: Cell<bool>,
    /// Interval between two events of a stream.
    pub event_interval: Cell<Duration>,
    /// Start time of the last replica, in milliseconds since the Unix epoch.
    born: Cell<u64>,
    rng: RefCell<SmallRng>,
}

impl World {
    /// Returns the state of a run that starts now.
    pub fn new(
        seed: u64,
        apis: Vec<SocketAddr>,
        gateways: Vec<SocketAddr>,
        operator_addresses: Vec<SocketAddr>,
    ) -> World {
        let incarnations = gateways.iter().map(|_| Cell::new(0)).collect();
        World {
            started: Instant::now(),
            history: RefCell::default(),
            apis,
            gateways,
            operator_addresses,
            incarnations,
            stop_callers: Cell::new(false),
            acked: Cell::new(0),
            sent: Cell::new(0),
            cut_off: RefCell::default(),
            crashed: RefCell::default(),
            versions: Cell::new(1),
            stutters: Cell::new(false),
            event_interval: Cell::new(EVENT_INTERVAL),
            born: Cell::new(0),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Returns the milliseconds since the start of the run.
    pub fn now(&self) -> Timestamp {
        self.started.elapsed().as_millis() as Timestamp
    }

    /// Returns the start time of a new replica, in milliseconds since the Unix epoch. Each call
    /// returns a later time than the one before.
    pub fn next_born(&self) -> u64 {
        let born = unix_time().0.max(self.born.get() + 1);
        self.born.set(born);
        born
    }

    /// Ends the announced limits, `Retry-After` periods and drains of a replica's previous
    /// incarnation. Called when a replica starts under the same id.
    pub fn end_announcements(&self, replica: &str) {
        let at = self.now();
        let mut h = self.history.borrow_mut();
        let limits = h.limits.iter_mut().filter(|l| l.replica == replica);
        limits.for_each(|l| l.until = Some(l.until.unwrap_or(at)));
        let backoffs = h.backoffs.iter_mut().filter(|b| b.replica == replica);
        backoffs.for_each(|b| b.until = b.until.min(at));
        let drains = h.announced_drains.iter_mut().filter(|d| d.replica == replica);
        drains.for_each(|d| d.until = Some(d.until.unwrap_or(at)));
    }

    /// Draws a random number below `n`.
    pub fn random_below(&self, n: usize) -> usize {
        self.rng.borrow_mut().random_range(0..n)
    }

    /// Draws `true` with a probability of `percent` percent.
    pub fn random_bool(&self, percent: u32) -> bool {
        self.rng.borrow_mut().random_range(0..100) < percent
    }

    /// Returns the API address of a random control process.
    pub fn random_api(&self) -> SocketAddr {
        self.apis[self.random_below(self.apis.len())]
    }
}
