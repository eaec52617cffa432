//! Ways to deal with replicas that turn requests away and ask for rest, compared without a network.
//!
//! `cargo run --release -p cypressfork-core --example rests`
//!
//! Three replicas for four routers, each with three places and room for two more that wait; a request takes 300
//! to 600 ms by the replica. What is beyond is turned away with a rest of 3 s. A fifth of all requests comes
//! to one router. Printed for each way, number of routers and load (in hundredths of what the replicas can
//! do): of a hundred sends those turned away, the most sends of one router in a rest from its half second
//! on, the part of what could be served that was served, in hundredths, and messages between routers for
//! each request.

use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use cypressfork_core::config::{Upstream, Vm};
use cypressfork_core::route::{Choice, Pool, RequestProfile};
use cypressfork_core::unit::{Millis, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Requests that run at a replica side by side, and those that wait there.
const PLACES: u32 = 3;
const QUEUE: u32 = 2;

/// How long a request takes at the fastest and at the slowest replica, in milliseconds.
const WORK: (u64, u64) = (300, 600);

/// The rest that a replica asks for, and when in it sends begin to count, in milliseconds.
const REST: u64 = 3_000;
const COUNTS_AFTER: u64 = 500;

/// Of a hundred requests, those at one router.
const CROWD: u32 = 20;

/// How long it is watched, in milliseconds; the first part, while all begins, does not count.
const WATCHED: u64 = 60_000;
const BEGINS: u64 = 10_000;

/// Tries of one request.
const TRIES: usize = 3;

/// How routers deal with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// They do not.
    None,
    /// They keep the rest, and go on as before when it is over.
    Rest,
    /// They keep the rest, then send one request, and more as they are let in; a request that was turned
    /// away is not tried again while half of the replicas rest.
    Pace,
    /// The same, and a router that hands out each replica's places is asked before each send.
    Lent,
    /// Each router has an equal part of all places, and one at least.
    Parts,
}

/// A replica: the requests there, by their ends.
#[derive(Default)]
struct Replica {
    work: u64,
    ends: Vec<u64>,
}

impl Replica {
    /// Takes a request; when it ends, or none if it is turned away.
    fn take(&mut self, now: u64) -> Option<u64> {
        self.ends.retain(|end| *end > now);
        if self.ends.len() as u32 >= PLACES + QUEUE {
            return None;
        }
        let mut ends = self.ends.clone();
        ends.sort_unstable();
        // It begins when only as many are left as leave it a place.
        let ahead = ends.len().checked_sub(PLACES as usize);
        let begins = ahead.map_or(now, |n| ends[n]);
        self.ends.push(begins + self.work);
        Some(begins + self.work)
    }
}

/// What came of it.
#[derive(Default)]
struct Counts {
    requests: u64,
    sends: u64,
    away: u64,
    served: u64,
    messages: u64,
}

struct Model {
    way: Way,
    routers: Vec<Pool>,
    replicas: Vec<Replica>,
    /// Rests by router and replica: when they began.
    rests: BTreeMap<(usize, usize), u64>,
    /// Sends in the present rest of a router and a replica.
    in_rest: BTreeMap<(usize, usize), u32>,
    most_in_rest: u32,
    /// Requests of each router at each replica.
    at: BTreeMap<(usize, usize), u32>,
    /// Requests that end: when, at which router and replica, by which choice.
    ending: BinaryHeap<std::cmp::Reverse<(u64, u64)>>,
    open: BTreeMap<u64, (usize, usize, Choice)>,
    next: u64,
    counts: Counts,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (n / 250) as u8, (n % 250) as u8], 80))
}

fn number(a: SocketAddr) -> usize {
    let SocketAddr::V4(a) = a else { return 0 };
    let [_, _, high, low] = a.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

impl Model {
    fn new(way: Way, routers: usize) -> Model {
        let n = routers * 3 / 4;
        let upstream = |n: usize| {
            let vm = Vm { name: format!("r-{n}"), data_centre: "a".to_owned() };
            Upstream { vm, address: address(n), checks_orders: false }
        };
        let all: Vec<_> = (0..n).map(upstream).collect();
        let mut pool = Pool::default();
        pool.set_upstreams(Time(0), &all, PLACES);
        pool.set_peer_count(routers as u64 - 1);
        let work = |n: usize| WORK.0 + (WORK.1 - WORK.0) * (n as u64 % 4) / 3;
        Model {
            way,
            routers: vec![pool; routers],
            replicas: (0..n).map(|n| Replica { work: work(n), ends: Vec::new() }).collect(),
            rests: BTreeMap::new(),
            in_rest: BTreeMap::new(),
            most_in_rest: 0,
            at: BTreeMap::new(),
            ending: BinaryHeap::new(),
            open: BTreeMap::new(),
            next: 0,
            counts: Counts::default(),
        }
    }

    /// Requests a second that the replicas can do.
    fn capacity(&self) -> f64 {
        self.replicas.iter().map(|r| f64::from(PLACES) * 1_000.0 / r.work as f64).sum()
    }

    fn end_due(&mut self, now: u64) {
        while self.ending.peek().is_some_and(|e| e.0.0 <= now) {
            let Some(std::cmp::Reverse((_, id))) = self.ending.pop() else { return };
            let Some((router, replica, c)) = self.open.remove(&id) else { continue };
            self.routers[router].finish(Time(now), &c, false);
            *self.at.entry((router, replica)).or_default() -= 1;
            self.counts.served += u64::from(now >= BEGINS);
        }
    }

    /// Whether a router may send to a replica that it has chosen.
    fn may_send(&mut self, now: u64, router: usize, replica: usize) -> bool {
        match self.way {
            Way::None | Way::Pace => true,
            Way::Rest => self.rests.get(&(router, replica)).is_none_or(|at| now >= at + REST),
            Way::Lent => {
                // An ask, its answer, and the word that the request has ended.
                self.counts.messages += 3;
                let taken = self.replicas[replica].ends.iter().filter(|end| **end > now).count();
                (taken as u32) < PLACES + QUEUE
            }
            Way::Parts => {
                let part = (PLACES + QUEUE).div_ceil(self.routers.len() as u32);
                self.at.get(&(router, replica)).copied().unwrap_or(0) < part.max(1)
            }
        }
    }

    fn request(&mut self, now: u64, router: usize, rng: &mut SmallRng) {
        self.counts.requests += 1;
        let mut tried = Vec::new();
        for _ in 0..TRIES {
            let work = RequestProfile::default();
            let pool = &mut self.routers[router];
            let Some(mut c) = pool.pick(Time(now), "a", &work, &tried, rng) else { return };
            tried.push(c.address);
            let replica = number(c.address);
            if !self.may_send(now, router, replica) {
                continue;
            }
            self.routers[router].commit(Time(now), &work, &mut c);
            self.count_send(now, router, replica);
            if let Some(end) = self.replicas[replica].take(now) {
                self.routers[router].record_accepted(Time(now), &c);
                *self.at.entry((router, replica)).or_default() += 1;
                self.next += 1;
                self.ending.push(std::cmp::Reverse((end, self.next)));
                self.open.insert(self.next, (router, replica, c));
                return;
            }
            self.counts.away += u64::from(now >= BEGINS);
            let ended = self.rests.get(&(router, replica)).is_none_or(|at| now >= at + REST);
            if ended {
                self.rests.insert((router, replica), now);
                self.in_rest.remove(&(router, replica));
            }
            if matches!(self.way, Way::Pace | Way::Lent) {
                self.routers[router].back_off(Time(now), c.address, Millis(REST));
            }
            self.routers[router].finish(Time(now), &c, false);
            let pool = &self.routers[router];
            if matches!(self.way, Way::Pace | Way::Lent) && pool.is_mostly_backing_off(Time(now)) {
                return;
            }
        }
    }

    fn count_send(&mut self, now: u64, router: usize, replica: usize) {
        self.counts.sends += u64::from(now >= BEGINS);
        let Some(at) = self.rests.get(&(router, replica)) else { return };
        if now > at + COUNTS_AFTER && now < at + REST {
            let n = self.in_rest.entry((router, replica)).or_default();
            *n += 1;
            self.most_in_rest = self.most_in_rest.max(*n);
        }
    }

    fn play(mut self, load: u64) -> [f64; 4] {
        let mut rng = SmallRng::seed_from_u64(7);
        let capacity = self.capacity();
        let a_ms = capacity * load as f64 / 100.0 / 1_000.0;
        for now in 0..WATCHED {
            self.end_due(now);
            let n = a_ms as u64 + u64::from(rng.random_bool(a_ms.fract()));
            for _ in 0..n {
                let crowd = rng.random_range(0..100) < CROWD;
                let router = if crowd { 0 } else { rng.random_range(0..self.routers.len()) };
                self.request(now, router, &mut rng);
            }
        }
        let c = &self.counts;
        let possible = capacity * (load as f64 / 100.0).min(1.0) * (WATCHED - BEGINS) as f64;
        [
            c.away as f64 * 100.0 / c.sends as f64,
            f64::from(self.most_in_rest),
            c.served as f64 * 100_000.0 / possible,
            c.messages as f64 / c.requests as f64,
        ]
    }
}

fn main() {
    println!("routers  load  way    turned away %  most in a rest  served %  messages a request");
    for routers in [8, 64, 984] {
        for load in [80, 102, 200] {
            for way in [Way::None, Way::Rest, Way::Pace, Way::Parts, Way::Lent] {
                let [away, most, served, messages] = Model::new(way, routers).play(load);
                let way = format!("{way:?}");
                println!(
                    "{routers:>7}  {load:>4}  {way:<5}  {away:>13.1}  {most:>14}  {served:>8.1}  {messages:>18.1}"
                );
            }
        }
    }
}
