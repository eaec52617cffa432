//! Ways to keep a limit that a replica names to all routers together, compared without a network.
//!
//! `cargo run --release -p cypressfork-core --example limits`
//!
//! Six replicas take two requests a second each. Ten times as many are wanted, a fifth of them at one
//! router. Printed for each way and number of routers: the most that a replica got in 4 s (17 are allowed), the
//! part of what the limits allow that was used, and messages a second between routers. In the second
//! table the first router of each replica is gone from the 30th to the 40th second, the others notice
//! by its silence.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use cypressfork_core::fleet::limit::Rate;
use cypressfork_core::fleet::limit::homes::PermitIssuers;
use cypressfork_core::fleet::limit::permits::{PermitBuckets, PermitRequest};
use cypressfork_core::unit::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Replicas, and thousandths of a request a second that each takes.
const REPLICAS: usize = 6;
const RATE: Rate = Rate(2_000);

/// Requests a second, and of a hundred those at one router.
const WANTED: u64 = 120;
const CROWD: u32 = 20;

/// How long it is watched, and the span that counts, in milliseconds.
const WATCHED: u64 = 120_000;
const SPAN: u64 = 4_000;

/// How long a router that does not answer is waited for and then left out, in milliseconds.
const UNANSWERED: u64 = 100;
const OUT: u64 = 1_500;

/// When the first routers are gone, in milliseconds.
const GONE: std::ops::Range<u64> = 30_000..40_000;

/// What decides whether a router may send to a replica now.
trait Way {
    fn may_send(&mut self, now: u64, router: usize, replica: usize, rng: &mut SmallRng) -> bool;
    fn messages(&self) -> u64 {
        0
    }
}

/// Each router has an equal part, and saves up one request at most.
struct Parts {
    routers: u64,
    ready: BTreeMap<(usize, usize), u64>,
}

impl Way for Parts {
    fn may_send(&mut self, now: u64, router: usize, replica: usize, _: &mut SmallRng) -> bool {
        let ready = self.ready.entry((router, replica)).or_default();
        let may = now >= *ready;
        if may {
            *ready = now + 1_000_000 * self.routers / RATE.0;
        }
        may
    }
}

/// Each request is sent by chance, so that all together come to the limit if each router has as many.
struct Chance {
    routers: u64,
    seen: BTreeMap<usize, VecDeque<u64>>,
}

impl Way for Chance {
    fn may_send(&mut self, now: u64, router: usize, _: usize, rng: &mut SmallRng) -> bool {
        let seen = self.seen.entry(router).or_default();
        seen.push_back(now);
        while seen.front().is_some_and(|at| now - at > 1_000) {
            seen.pop_front();
        }
        // Each request meets one replica of all.
        let met = self.routers * seen.len() as u64 * 1_000 / REPLICAS as u64;
        rng.random_range(0..met.max(RATE.0)) < RATE.0
    }
}

/// Two routers of all may send to a replica, half of the limit each.
struct Few {
    routers: usize,
    parts: Parts,
}

impl Way for Few {
    fn may_send(&mut self, now: u64, router: usize, replica: usize, rng: &mut SmallRng) -> bool {
        let first = replica * 7 % self.routers;
        let chosen = [first, (first + 1) % self.routers];
        chosen.contains(&router) && self.parts.may_send(now, router, replica, rng)
    }
}

/// One router hands out permits, and a second one stands in.
struct Asked {
    routers: Vec<SocketAddr>,
    homes: Vec<PermitIssuers>,
    permits: Vec<PermitBuckets>,
    barred: BTreeMap<(usize, usize), u64>,
    out: BTreeMap<(usize, usize), u64>,
    messages: u64,
    first_is_gone: bool,
}

impl Asked {
    fn new(routers: usize, first_is_gone: bool) -> Asked {
        let address = |n: usize| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 80));
        let routers: Vec<_> = (0..routers).map(address).collect();
        let area = BTreeMap::from([("a".to_owned(), routers.clone())]);
        let mut homes = vec![PermitIssuers::default(); routers.len()];
        homes.iter_mut().for_each(|h| h.set_routers(Time(0), area.clone()));
        let permits = vec![PermitBuckets::default(); routers.len()];
        Asked {
            routers,
            homes,
            permits,
            barred: BTreeMap::new(),
            out: BTreeMap::new(),
            messages: 0,
            first_is_gone,
        }
    }
}

impl Way for Asked {
    fn may_send(&mut self, now: u64, router: usize, replica: usize, rng: &mut SmallRng) -> bool {
        if self.barred.get(&(router, replica)).is_some_and(|until| now < *until) {
            return false;
        }
        let (name, own) = (format!("r-{replica}"), self.routers[router]);
        let found = self.homes[router].issuers(own, &name, "a").to_vec();
        let at = |a: &SocketAddr| self.routers.iter().position(|r| r == a).unwrap_or_default();
        let found: Vec<usize> = found.iter().map(at).collect();
        let is_out = |home: usize| self.out.get(&(router, home)).is_some_and(|at| now < at + OUT);
        let Some(home) = found.iter().copied().find(|home| !is_out(*home)) else { return false };
        self.messages += 2;
        if self.first_is_gone && home == found[0] && GONE.contains(&now) {
            self.out.insert((router, home), now + UNANSWERED);
            self.barred.insert((router, replica), now + UNANSWERED);
            return false;
        }
        let address = self.routers[home];
        // Who is the first was settled long before.
        let rank = self.homes[home].issue_rate(Time(now + 60_000), address, &name, "a");
        let ask = PermitRequest {
            replica: name,
            data_centre: "a".into(),
            rate: RATE,
            priority: 0,
            wanted: 1,
        };
        let Some(rank) = rank else { return false };
        let grant = self.permits[home].grant(Time(now), &ask, rank);
        if grant.permits == 0 {
            let after = grant.after.0 - rng.random_range(0..=grant.after.0 / 4);
            self.barred.insert((router, replica), now + after);
        }
        grant.permits > 0
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// The most in a span at any replica, the part used in hundredths, and messages a second.
fn play(way: &mut impl Way, routers: usize) -> (usize, u64, u64) {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut sends: Vec<Vec<u64>> = vec![Vec::new(); REPLICAS];
    for now in 0..WATCHED {
        if rng.random_range(0..1_000) >= WANTED {
            continue;
        }
        let crowd = rng.random_range(0..100) < CROWD;
        let router = if crowd { 0 } else { rng.random_range(0..routers) };
        let first = rng.random_range(0..REPLICAS);
        for n in 0..3 {
            let replica = (first + n) % REPLICAS;
            if way.may_send(now, router, replica, &mut rng) {
                sends[replica].push(now);
                break;
            }
        }
    }
    let within =
        |all: &[u64], n: usize| all[n..].iter().take_while(|at| **at < all[n] + SPAN).count();
    let most = sends.iter().flat_map(|all| (0..all.len()).map(|n| within(all, n))).max();
    let sent: usize = sends.iter().map(Vec::len).sum();
    let possible = RATE.0 * REPLICAS as u64 * WATCHED / 1_000_000;
    (most.unwrap_or(0), sent as u64 * 100 / possible, way.messages() * 1_000 / WATCHED)
}

fn main() {
    println!("routers  way                     most in 4 s  used %  messages a second");
    for n in [8, 64, 984] {
        let parts = || Parts { routers: n as u64, ready: BTreeMap::new() };
        let few = Parts { routers: 2, ready: BTreeMap::new() };
        let rows = [
            ("equal parts", play(&mut parts(), n)),
            ("by chance", play(&mut Chance { routers: n as u64, seen: BTreeMap::new() }, n)),
            ("two may send", play(&mut Few { routers: n, parts: few }, n)),
            ("permits", play(&mut Asked::new(n, false), n)),
            ("permits, the first gone", play(&mut Asked::new(n, true), n)),
        ];
        for (name, (most, used, messages)) in rows {
            println!("{n:>7}  {name:<22}  {most:>11}  {used:>6}  {messages:>17}");
        }
    }
}
