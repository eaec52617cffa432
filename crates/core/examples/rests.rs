//! Simulates ways for routers to handle replicas that reject requests and ask for a backoff, without a
//! network.
//!
//! `cargo run --release -p cypressfork-core --example rests`
//!
//! There are three replicas for every four routers. Each replica runs three requests at a time and
//! queues two; a request takes 300 to 600 ms, depending on the replica. Any more are rejected with a
//! backoff of 3 s. One router receives a fifth of all requests. For each strategy, number of routers
//! and load (as a percentage of the replicas' capacity), prints the percentage of rejected attempts,
//! the most attempts by one router during a backoff after its first half second, the percentage of
//! the achievable requests that were served, and the messages between routers per request.

use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use cypressfork_core::config::{Upstream, Vm};
use cypressfork_core::route::{Choice, Pool, RequestProfile};
use cypressfork_core::unit::{Millis, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Concurrent requests of a replica.
const SLOTS: u32 = 3;

/// Requests that a replica queues besides the running ones.
const MAX_QUEUED: u32 = 2;

/// Duration of a request at the fastest and at the slowest replica.
const WORK_MS: (u64, u64) = (300, 600);

/// Backoff that a replica asks for.
const BACKOFF_MS: u64 = 3_000;

/// Attempts count as sent during a backoff only after this time, which covers concurrent requests.
const COUNT_AFTER_MS: u64 = 500;

/// Percentage of the requests that arrive at router 0; the rest is spread evenly over all routers.
const BUSY_ROUTER_PERCENT: u32 = 20;

/// Simulated time.
const RUN_MS: u64 = 60_000;

/// Time at the start that does not count towards the results.
const WARM_UP_MS: u64 = 10_000;

/// Attempts of one request.
const MAX_ATTEMPTS: usize = 3;

/// How routers handle rejections. The names of the variants are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strategy {
    /// Ignore backoffs.
    None,
    /// Observe the backoff, and resume at full rate when it ends.
    Rest,
    /// Observe the backoff, then resume with slow start. A rejected request is not retried while half of
    /// the replicas are backing off.
    Pace,
    /// Like `Pace`, and ask the router that allocates the replica's slots before each attempt.
    Lent,
    /// Give each router an equal share of each replica's slots, at least one.
    Parts,
}

/// A replica and the end times of its running and queued requests.
#[derive(Default)]
struct Replica {
    work_ms: u64,
    end_times: Vec<u64>,
}

impl Replica {
    /// Accepts a request and returns when it ends, or returns `None` if the replica is full.
    fn accept(&mut self, now: u64) -> Option<u64> {
        self.end_times.retain(|end| *end > now);
        if self.end_times.len() as u32 >= SLOTS + MAX_QUEUED {
            return None;
        }
        let mut end_times = self.end_times.clone();
        end_times.sort_unstable();
        // The request begins when enough earlier ones have ended to free a slot.
        let ahead = end_times.len().checked_sub(SLOTS as usize);
        let begins = ahead.map_or(now, |n| end_times[n]);
        self.end_times.push(begins + self.work_ms);
        Some(begins + self.work_ms)
    }
}

/// Totals of the run; only `requests` and `messages` include the warm-up.
#[derive(Default)]
struct Counts {
    requests: u64,
    attempts: u64,
    rejected: u64,
    served: u64,
    messages: u64,
}

struct Model {
    strategy: Strategy,
    routers: Vec<Pool>,
    replicas: Vec<Replica>,
    /// Start of the last backoff, by router and replica.
    backoffs: BTreeMap<(usize, usize), u64>,
    /// Attempts during the current backoff, by router and replica.
    attempts_in_backoff: BTreeMap<(usize, usize), u32>,
    max_in_backoff: u32,
    /// Running and queued requests, by router and replica.
    outstanding: BTreeMap<(usize, usize), u32>,
    /// End times of accepted requests with their ids, earliest first.
    completions: BinaryHeap<std::cmp::Reverse<(u64, u64)>>,
    /// Router, replica and choice of each accepted request, by id.
    running: BTreeMap<u64, (usize, usize, Choice)>,
    last_id: u64,
    counts: Counts,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (n / 250) as u8, (n % 250) as u8], 80))
}

fn replica_index(a: SocketAddr) -> usize {
    let SocketAddr::V4(a) = a else { return 0 };
    let [_, _, high, low] = a.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

impl Model {
    fn new(strategy: Strategy, routers: usize) -> Model {
        let n = routers * 3 / 4;
        let upstream = |n: usize| {
            let vm = Vm { name: format!("r-{n}"), data_centre: "a".to_owned() };
            Upstream { vm, address: address(n), checks_orders: false }
        };
        let all: Vec<_> = (0..n).map(upstream).collect();
        let mut pool = Pool::default();
        pool.set_upstreams(Time(0), &all, SLOTS);
        pool.set_peer_count(routers as u64 - 1);
        let work_ms = |n: usize| WORK_MS.0 + (WORK_MS.1 - WORK_MS.0) * (n as u64 % 4) / 3;
        Model {
            strategy,
            routers: vec![pool; routers],
            replicas: (0..n)
                .map(|n| Replica { work_ms: work_ms(n), end_times: Vec::new() })
                .collect(),
            backoffs: BTreeMap::new(),
            attempts_in_backoff: BTreeMap::new(),
            max_in_backoff: 0,
            outstanding: BTreeMap::new(),
            completions: BinaryHeap::new(),
            running: BTreeMap::new(),
            last_id: 0,
            counts: Counts::default(),
        }
    }

    /// Returns the requests per second that all replicas can serve together.
    fn capacity(&self) -> f64 {
        self.replicas.iter().map(|r| f64::from(SLOTS) * 1_000.0 / r.work_ms as f64).sum()
    }

    /// Ends the requests that are due by `now`.
    fn complete_due(&mut self, now: u64) {
        while self.completions.peek().is_some_and(|e| e.0.0 <= now) {
            let Some(std::cmp::Reverse((_, id))) = self.completions.pop() else { return };
            let Some((router, replica, c)) = self.running.remove(&id) else { continue };
            self.routers[router].finish(Time(now), &c, false);
            *self.outstanding.entry((router, replica)).or_default() -= 1;
            self.counts.served += u64::from(now >= WARM_UP_MS);
        }
    }

    /// Returns whether the strategy lets a router send to the replica that it has chosen.
    fn may_send(&mut self, now: u64, router: usize, replica: usize) -> bool {
        match self.strategy {
            Strategy::None | Strategy::Pace => true,
            Strategy::Rest => {
                self.backoffs.get(&(router, replica)).is_none_or(|at| now >= at + BACKOFF_MS)
            }
            Strategy::Lent => {
                // A request for a slot, its answer, and its release.
                self.counts.messages += 3;
                let occupied =
                    self.replicas[replica].end_times.iter().filter(|end| **end > now).count();
                (occupied as u32) < SLOTS + MAX_QUEUED
            }
            Strategy::Parts => {
                let share = (SLOTS + MAX_QUEUED).div_ceil(self.routers.len() as u32);
                self.outstanding.get(&(router, replica)).copied().unwrap_or(0) < share.max(1)
            }
        }
    }

    /// Sends one request to up to [`MAX_ATTEMPTS`] replicas.
    fn request(&mut self, now: u64, router: usize, rng: &mut SmallRng) {
        self.counts.requests += 1;
        let mut tried = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            let profile = RequestProfile::default();
            let pool = &mut self.routers[router];
            let Some(mut c) = pool.pick(Time(now), "a", &profile, &tried, rng) else { return };
            tried.push(c.address);
            let replica = replica_index(c.address);
            if !self.may_send(now, router, replica) {
                continue;
            }
            self.routers[router].commit(Time(now), &profile, &mut c);
            self.count_attempt(now, router, replica);
            if let Some(end) = self.replicas[replica].accept(now) {
                self.routers[router].record_accepted(Time(now), &c);
                *self.outstanding.entry((router, replica)).or_default() += 1;
                self.last_id += 1;
                self.completions.push(std::cmp::Reverse((end, self.last_id)));
                self.running.insert(self.last_id, (router, replica, c));
                return;
            }
            self.counts.rejected += u64::from(now >= WARM_UP_MS);
            let is_over =
                self.backoffs.get(&(router, replica)).is_none_or(|at| now >= at + BACKOFF_MS);
            if is_over {
                self.backoffs.insert((router, replica), now);
                self.attempts_in_backoff.remove(&(router, replica));
            }
            if matches!(self.strategy, Strategy::Pace | Strategy::Lent) {
                self.routers[router].back_off(Time(now), c.address, Millis(BACKOFF_MS));
            }
            self.routers[router].finish(Time(now), &c, false);
            let pool = &self.routers[router];
            if matches!(self.strategy, Strategy::Pace | Strategy::Lent)
                && pool.is_mostly_backing_off(Time(now))
            {
                return;
            }
        }
    }

    fn count_attempt(&mut self, now: u64, router: usize, replica: usize) {
        self.counts.attempts += u64::from(now >= WARM_UP_MS);
        let Some(at) = self.backoffs.get(&(router, replica)) else { return };
        if now > at + COUNT_AFTER_MS && now < at + BACKOFF_MS {
            let n = self.attempts_in_backoff.entry((router, replica)).or_default();
            *n += 1;
            self.max_in_backoff = self.max_in_backoff.max(*n);
        }
    }

    /// Runs the simulation at a load in per cent of the capacity. Returns the four printed figures.
    fn simulate(mut self, load: u64) -> [f64; 4] {
        let mut rng = SmallRng::seed_from_u64(7);
        let capacity = self.capacity();
        let requests_per_ms = capacity * load as f64 / 100.0 / 1_000.0;
        for now in 0..RUN_MS {
            self.complete_due(now);
            let n = requests_per_ms as u64 + u64::from(rng.random_bool(requests_per_ms.fract()));
            for _ in 0..n {
                let is_busy_router = rng.random_range(0..100) < BUSY_ROUTER_PERCENT;
                let router =
                    if is_busy_router { 0 } else { rng.random_range(0..self.routers.len()) };
                self.request(now, router, &mut rng);
            }
        }
        let c = &self.counts;
        let achievable = capacity * (load as f64 / 100.0).min(1.0) * (RUN_MS - WARM_UP_MS) as f64;
        [
            c.rejected as f64 * 100.0 / c.attempts as f64,
            f64::from(self.max_in_backoff),
            c.served as f64 * 100_000.0 / achievable,
            c.messages as f64 / c.requests as f64,
        ]
    }
}

fn main() {
    println!("routers  load  way    turned away %  most in a rest  served %  messages a request");
    for routers in [8, 64, 984] {
        for load in [80, 102, 200] {
            for strategy in
                [Strategy::None, Strategy::Rest, Strategy::Pace, Strategy::Parts, Strategy::Lent]
            {
                let [rejected, most, served, messages] =
                    Model::new(strategy, routers).simulate(load);
                let strategy = format!("{strategy:?}");
                println!(
                    "{routers:>7}  {load:>4}  {strategy:<5}  {rejected:>13.1}  {most:>14}  {served:>8.1}  {messages:>18.1}"
                );
            }
        }
    }
}
