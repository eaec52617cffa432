//! What all tasks of one run share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use cypressfork_node::time::unix_time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::history::{At, History};

/// What all tasks of one run share.
pub struct World {
    started: Instant,
    /// What was seen.
    pub history: RefCell<History>,
    /// Where the control processes take calls of operators, replicas and callers.
    pub apis: Vec<SocketAddr>,
    /// Where the gateways take callers.
    pub gateways: Vec<SocketAddr>,
    /// Where the gateways tell operators of themselves.
    pub operators: Vec<SocketAddr>,
    /// How often each gateway has been started.
    pub incarnations: Vec<Cell<u32>>,
    /// Callers send no more requests.
    pub over: Cell<bool>,
    /// The highest version that was acknowledged.
    pub acked: Cell<u64>,
    /// The highest version that was sent.
    pub sent: Cell<u64>,
    /// Replicas that have ended and are to start again.
    pub ended: RefCell<Vec<String>>,
    /// When the last replica started, in milliseconds since 1970.
    born: Cell<u64>,
    rng: RefCell<SmallRng>,
}

impl World {
    /// A run that begins now.
    pub fn new(
        seed: u64,
        apis: Vec<SocketAddr>,
        gateways: Vec<SocketAddr>,
        operators: Vec<SocketAddr>,
    ) -> World {
        let incarnations = gateways.iter().map(|_| Cell::new(0)).collect();
        World {
            started: Instant::now(),
            history: RefCell::default(),
            apis,
            gateways,
            operators,
            incarnations,
            over: Cell::new(false),
            acked: Cell::new(0),
            sent: Cell::new(0),
            ended: RefCell::default(),
            born: Cell::new(0),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Milliseconds since the run's start.
    pub fn at(&self) -> At {
        self.started.elapsed().as_millis() as At
    }

    /// When a replica that starts now has started: later than any before.
    pub fn next_born(&self) -> u64 {
        let born = unix_time().0.max(self.born.get() + 1);
        self.born.set(born);
        born
    }

    /// Notes that what the former life of a replica said is over: another begins under its id.
    pub fn end_words_of(&self, replica: &str) {
        let at = self.at();
        let mut h = self.history.borrow_mut();
        let limits = h.limits.iter_mut().filter(|l| l.replica == replica);
        limits.for_each(|l| l.until = Some(l.until.unwrap_or(at)));
        let rests = h.rests.iter_mut().filter(|r| r.replica == replica);
        rests.for_each(|r| r.until = r.until.min(at));
        let told = h.told.iter_mut().filter(|t| t.replica == replica);
        told.for_each(|t| t.until = Some(t.until.unwrap_or(at)));
    }

    /// A number below `n`.
    pub fn below(&self, n: usize) -> usize {
        self.rng.borrow_mut().random_range(0..n)
    }

    /// Whether something happens that does so in `percent` of all cases.
    pub fn happens(&self, percent: u32) -> bool {
        self.rng.borrow_mut().random_range(0..100) < percent
    }

    /// Any of the control processes.
    pub fn any_api(&self) -> SocketAddr {
        self.apis[self.below(self.apis.len())]
    }
}
