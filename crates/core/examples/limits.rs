//! Simulates ways for routers to share the rate limit of a replica, without a network.
//!
//! `cargo run --release -p cypressfork-core --example limits`
//!
//! Six replicas accept two requests per second each. The offered load is ten times that, and one router
//! receives a fifth of it. For each way and number of routers, prints the most requests that a
//! replica received within 4 s (at most 17 are allowed), the percentage of the permitted requests that
//! were sent, and the messages per second between routers. In the last row of each group, the first
//! permit issuer of every replica is down from second 30 to 40, which the others detect by timeouts.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use cypressfork_core::fleet::limit::Rate;
use cypressfork_core::fleet::limit::issuers::PermitIssuers;
use cypressfork_core::fleet::limit::permits::{PermitBuckets, PermitRequest};
use cypressfork_core::unit::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const REPLICAS: usize = 6;

/// Rate limit of each replica, in thousandths of a request per second.
const RATE: Rate = Rate(2_000);

/// Offered load, in requests per second.
const REQUESTS_PER_SECOND: u64 = 120;

/// Percentage of the requests that arrive at router 0; the rest is spread evenly over all routers.
const BUSY_ROUTER_PERCENT: u32 = 20;

/// Simulated time.
const RUN_MS: u64 = 120_000;

/// Window in which the requests to a replica are counted.
const WINDOW_MS: u64 = 4_000;

/// Time after which an unanswered permit request fails.
const ANSWER_TIMEOUT_MS: u64 = 100;

/// Time for which a router that did not answer is not asked again.
const SUSPECT_MS: u64 = 1_500;

/// When the first issuers are down.
const OUTAGE_MS: std::ops::Range<u64> = 30_000..40_000;

/// A way to share the limits of replicas among routers.
trait Limiter {
    /// Returns whether a router may send a request to a replica at `now`.
    fn may_send(&mut self, now: u64, router: usize, replica: usize, rng: &mut SmallRng) -> bool;

    /// Returns the number of messages exchanged between routers.
    fn messages(&self) -> u64 {
        0
    }
}

/// Each router has an equal share of the limit, with a burst of one request.
struct EqualShares {
    routers: u64,
    next_send: BTreeMap<(usize, usize), u64>,
}

impl Limiter for EqualShares {
    fn may_send(&mut self, now: u64, router: usize, replica: usize, _: &mut SmallRng) -> bool {
        let next_send = self.next_send.entry((router, replica)).or_default();
        let allowed = now >= *next_send;
        if allowed {
            *next_send = now + 1_000_000 * self.routers / RATE.0;
        }
        allowed
    }
}

/// Each router admits requests at random. The probability assumes that all routers receive the same
/// load.
struct RandomAdmission {
    routers: u64,
    recent: BTreeMap<usize, VecDeque<u64>>,
}

impl Limiter for RandomAdmission {
    fn may_send(&mut self, now: u64, router: usize, _: usize, rng: &mut SmallRng) -> bool {
        let recent = self.recent.entry(router).or_default();
        recent.push_back(now);
        while recent.front().is_some_and(|at| now - at > 1_000) {
            recent.pop_front();
        }
        // Requests spread evenly over the replicas.
        let offered_rate = self.routers * recent.len() as u64 * 1_000 / REPLICAS as u64;
        rng.random_range(0..offered_rate.max(RATE.0)) < RATE.0
    }
}

/// Only two of the routers may send to a replica, with half of its limit each.
struct TwoRouters {
    routers: usize,
    shares: EqualShares,
}

impl Limiter for TwoRouters {
    fn may_send(&mut self, now: u64, router: usize, replica: usize, rng: &mut SmallRng) -> bool {
        let first = replica * 7 % self.routers;
        let chosen = [first, (first + 1) % self.routers];
        chosen.contains(&router) && self.shares.may_send(now, router, replica, rng)
    }
}

/// One router issues the permits for a replica; if it does not answer, the next issuer in the list is
/// asked.
struct PermitProtocol {
    routers: Vec<SocketAddr>,
    issuers: Vec<PermitIssuers>,
    permits: Vec<PermitBuckets>,
    /// When a router may next ask for permits for a replica, by router and replica.
    blocked_until: BTreeMap<(usize, usize), u64>,
    /// When a router gave up on an issuer, by router and issuer.
    suspected_at: BTreeMap<(usize, usize), u64>,
    messages: u64,
    first_is_down: bool,
}

impl PermitProtocol {
    fn new(routers: usize, first_is_down: bool) -> PermitProtocol {
        let address = |n: usize| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 80));
        let routers: Vec<_> = (0..routers).map(address).collect();
        let routers_by_centre = BTreeMap::from([("a".to_owned(), routers.clone())]);
        let mut issuers = vec![PermitIssuers::default(); routers.len()];
        issuers.iter_mut().for_each(|i| i.set_routers(Time(0), routers_by_centre.clone()));
        let permits = vec![PermitBuckets::default(); routers.len()];
        PermitProtocol {
            routers,
            issuers,
            permits,
            blocked_until: BTreeMap::new(),
            suspected_at: BTreeMap::new(),
            messages: 0,
            first_is_down,
        }
    }
}

impl Limiter for PermitProtocol {
    fn may_send(&mut self, now: u64, router: usize, replica: usize, rng: &mut SmallRng) -> bool {
        if self.blocked_until.get(&(router, replica)).is_some_and(|until| now < *until) {
            return false;
        }
        let (name, own) = (format!("r-{replica}"), self.routers[router]);
        let candidates = self.issuers[router].issuers(own, &name, "a").to_vec();
        let index_of =
            |a: &SocketAddr| self.routers.iter().position(|r| r == a).unwrap_or_default();
        let candidates: Vec<usize> = candidates.iter().map(index_of).collect();
        let is_suspected = |issuer: usize| {
            self.suspected_at.get(&(router, issuer)).is_some_and(|at| now < at + SUSPECT_MS)
        };
        let Some(issuer) = candidates.iter().copied().find(|issuer| !is_suspected(*issuer)) else {
            return false;
        };
        self.messages += 2;
        if self.first_is_down && issuer == candidates[0] && OUTAGE_MS.contains(&now) {
            self.suspected_at.insert((router, issuer), now + ANSWER_TIMEOUT_MS);
            self.blocked_until.insert((router, replica), now + ANSWER_TIMEOUT_MS);
            return false;
        }
        let address = self.routers[issuer];
        // A minute ahead, past the handover period in which a new issuer uses a reduced rate.
        let issue_rate = self.issuers[issuer].issue_rate(Time(now + 60_000), address, &name, "a");
        let request = PermitRequest {
            replica: name,
            data_centre: "a".into(),
            rate: RATE,
            priority: 0,
            wanted: 1,
        };
        let Some(issue_rate) = issue_rate else { return false };
        let grant = self.permits[issuer].grant(Time(now), &request, issue_rate);
        if grant.permits == 0 {
            let after = grant.after.0 - rng.random_range(0..=grant.after.0 / 4);
            self.blocked_until.insert((router, replica), now + after);
        }
        grant.permits > 0
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// Runs the simulation. Returns the most requests at any replica within the window, the percentage of
/// the permitted requests that were sent, and the messages per second.
fn simulate(limiter: &mut impl Limiter, routers: usize) -> (usize, u64, u64) {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut sends: Vec<Vec<u64>> = vec![Vec::new(); REPLICAS];
    for now in 0..RUN_MS {
        if rng.random_range(0..1_000) >= REQUESTS_PER_SECOND {
            continue;
        }
        let is_busy_router = rng.random_range(0..100) < BUSY_ROUTER_PERCENT;
        let router = if is_busy_router { 0 } else { rng.random_range(0..routers) };
        let first = rng.random_range(0..REPLICAS);
        for n in 0..3 {
            let replica = (first + n) % REPLICAS;
            if limiter.may_send(now, router, replica, &mut rng) {
                sends[replica].push(now);
                break;
            }
        }
    }
    let count_in_window = |times: &[u64], n: usize| {
        times[n..].iter().take_while(|at| **at < times[n] + WINDOW_MS).count()
    };
    let most =
        sends.iter().flat_map(|times| (0..times.len()).map(|n| count_in_window(times, n))).max();
    let sent: usize = sends.iter().map(Vec::len).sum();
    let permitted = RATE.0 * REPLICAS as u64 * RUN_MS / 1_000_000;
    (most.unwrap_or(0), sent as u64 * 100 / permitted, limiter.messages() * 1_000 / RUN_MS)
}

fn main() {
    println!("routers  way                     most in 4 s  used %  messages a second");
    for n in [8, 64, 984] {
        let shares = || EqualShares { routers: n as u64, next_send: BTreeMap::new() };
        let halves = EqualShares { routers: 2, next_send: BTreeMap::new() };
        let rows = [
            ("equal parts", simulate(&mut shares(), n)),
            (
                "by chance",
                simulate(&mut RandomAdmission { routers: n as u64, recent: BTreeMap::new() }, n),
            ),
            ("two may send", simulate(&mut TwoRouters { routers: n, shares: halves }, n)),
            ("permits", simulate(&mut PermitProtocol::new(n, false), n)),
            ("permits, the first gone", simulate(&mut PermitProtocol::new(n, true), n)),
        ];
        for (name, (most, used, messages)) in rows {
            println!("{n:>7}  {name:<22}  {most:>11}  {used:>6}  {messages:>17}");
        }
    }
}
