//! Simulates ways for routers to share the retry budget of a service, without a network.
//!
//! `cargo run --release -p cypressfork-core --example retries`
//!
//! After 20 s without trouble, replicas reject 60% of all requests for 20 s. One router receives a fifth of the
//! requests. For each way, number of routers and disruption, prints by how many retries the fleet exceeds the
//! allowed ones in the worst window, which percentage of the allowed retries is made in the first and in the last
//! 10 s of the trouble if so many are wanted, and the messages per second between routers.

use std::collections::VecDeque;

use cypressfork_core::fleet::retry::{RetryBudget, RetryLimit};
use cypressfork_core::unit::{Millis, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const WINDOW_MS: u64 = 10_000;

/// When replicas begin to reject requests.
const TROUBLE_MS: u64 = 20_000;

const END_MS: u64 = 40_000;

/// Percentage of sends that replicas reject during the trouble.
const REJECTED_PERCENT: u32 = 60;

/// Maximum number of retries of one request.
const MAX_RETRIES: usize = 2;

/// Percentage of the requests that arrive at router 0; the rest is spread evenly over all routers.
const BUSY_ROUTER_PERCENT: u32 = 20;

/// Time from the start of the trouble to the first disruption.
const DISRUPTION_DELAY_MS: u64 = 3_000;

/// Time between two restarts in turn.
const RESTART_INTERVAL_MS: u64 = 100;

/// How long credit lasts in [`Lapsing`].
const CREDIT_TTL_MS: u64 = 1_000;

/// Interval at which routers report their requests in [`Leased`].
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Routers, extra retries and requests per second of one fleet.
const FLEETS: [(usize, u64, u64); 4] =
    [(1, 54, 110), (8, 54, 110), (70, 204, 590), (984, 1_040, 500)];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disruption {
    None,
    RestartInTurn,
    MoveCallers,
}

/// A way to share the retry budget among routers.
trait Sharing {
    /// Records a request at a router.
    fn record_request(&mut self, now: u64, router: usize);

    /// Takes a retry for a request at a router if the budget allows it.
    fn try_take(&mut self, now: u64, router: usize) -> bool;

    /// Restarts a router, which loses its state.
    fn restart(&mut self, now: u64, router: usize);

    /// Returns the number of messages exchanged between routers.
    fn messages(&self) -> u64 {
        0
    }
}

/// The times of requests and retries within a window.
#[derive(Clone, Default)]
struct Counts {
    started: u64,
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
}

impl Counts {
    fn trim(&mut self, now: u64, request_ttl: u64) {
        let expire = |q: &mut VecDeque<u64>, ttl| {
            while q.front().is_some_and(|at| at + ttl <= now) {
                q.pop_front();
            }
        };
        expire(&mut self.requests, request_ttl);
        expire(&mut self.retries, WINDOW_MS);
    }
}

/// Each router counts its own requests and retries in a window, and has an equal part of `extra` once it is as old
/// as the window.
struct OwnWindow {
    limit: RetryLimit,
    routers: Vec<Counts>,
}

impl Sharing for OwnWindow {
    fn record_request(&mut self, now: u64, router: usize) {
        self.routers[router].requests.push_back(now);
    }

    fn try_take(&mut self, now: u64, router: usize) -> bool {
        let part = self.limit.extra / self.routers.len() as u64;
        let own = &mut self.routers[router];
        own.trim(now, WINDOW_MS);
        let is_new = own.started > 0 && now - own.started < WINDOW_MS;
        let earned = own.requests.len() as u64 * self.limit.percent / 100;
        let allowed = earned + if is_new { 0 } else { part };
        let taken = (own.retries.len() as u64) < allowed;
        if taken {
            own.retries.push_back(now);
        }
        taken
    }

    fn restart(&mut self, now: u64, router: usize) {
        self.routers[router] = Counts { started: now, ..Counts::default() };
    }
}

/// Like [`OwnWindow`], but the credit of a request lapses after [`CREDIT_TTL_MS`]; a retry uses that of five.
struct Lapsing(OwnWindow);

impl Sharing for Lapsing {
    fn record_request(&mut self, now: u64, router: usize) {
        self.0.record_request(now, router);
    }

    fn try_take(&mut self, now: u64, router: usize) -> bool {
        let part = self.0.limit.extra / self.0.routers.len() as u64;
        let own = &mut self.0.routers[router];
        own.trim(now, CREDIT_TTL_MS);
        let cost = 100usize.div_ceil(self.0.limit.percent as usize);
        if own.requests.len() >= cost {
            own.requests.drain(..cost);
            return true;
        }
        let is_new = own.started > 0 && now - own.started < WINDOW_MS;
        let taken = !is_new && (own.retries.len() as u64) < part;
        if taken {
            own.retries.push_back(now);
        }
        taken
    }

    fn restart(&mut self, now: u64, router: usize) {
        self.0.restart(now, router);
    }
}

/// Each router saves credit up to its part of `extra`.
struct Buckets {
    limit: RetryLimit,
    routers: Vec<RetryBudget>,
}

impl Sharing for Buckets {
    fn record_request(&mut self, now: u64, router: usize) {
        let share = self.limit.share(self.routers.len() as u64);
        self.routers[router].record_request(Time(now), &share);
    }

    fn try_take(&mut self, now: u64, router: usize) -> bool {
        let share = self.limit.share(self.routers.len() as u64);
        self.routers[router].try_take(Time(now), &share)
    }

    fn restart(&mut self, now: u64, router: usize) {
        self.routers[router] = RetryBudget::new(Time(now));
    }
}

/// One router grants all retries of the service. Routers report their requests to it. Its successor knows neither, so
/// it grants nothing for a window.
struct Leased {
    limit: RetryLimit,
    counts: Counts,
    unreported: Vec<u64>,
    reported: Vec<u64>,
    messages: u64,
    blocked_until: u64,
}

impl Leased {
    fn report(&mut self, now: u64, router: usize) {
        let n = std::mem::take(&mut self.unreported[router]);
        self.counts.requests.extend((0..n).map(|_| now));
        self.reported[router] = now;
        self.messages += 2;
    }
}

impl Sharing for Leased {
    fn record_request(&mut self, now: u64, router: usize) {
        self.unreported[router] += 1;
        if now >= self.reported[router] + REPORT_INTERVAL_MS {
            self.report(now, router);
        }
    }

    fn try_take(&mut self, now: u64, router: usize) -> bool {
        self.report(now, router);
        self.counts.trim(now, WINDOW_MS);
        let earned = self.counts.requests.len() as u64 * self.limit.percent / 100;
        let allowed = earned + self.limit.extra;
        let taken = now >= self.blocked_until && (self.counts.retries.len() as u64) < allowed;
        if taken {
            self.counts.retries.push_back(now);
        }
        taken
    }

    fn restart(&mut self, now: u64, router: usize) {
        self.unreported[router] = 0;
        if router == 0 {
            self.counts = Counts::default();
            self.blocked_until = now + WINDOW_MS;
        }
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// The result of one run.
struct Outcome {
    over: u64,
    /// Percentage of the allowed retries that were made in the first and in the last window of the trouble.
    used: (u64, u64),
    messages_per_second: u64,
}

fn pick_router(now: u64, routers: usize, disruption: Disruption, rng: &mut SmallRng) -> usize {
    let busy = rng.random_range(0..100) < BUSY_ROUTER_PERCENT;
    let router = if busy { 0 } else { rng.random_range(0..routers) };
    match disruption {
        Disruption::MoveCallers if now >= TROUBLE_MS + DISRUPTION_DELAY_MS => {
            routers / 2 + router % routers.div_ceil(2)
        }
        _ => router,
    }
}

/// Returns the number of times within the window that ends at `end`.
fn count_within(times: &[u64], end: u64) -> u64 {
    times.iter().filter(|at| **at <= end && **at + WINDOW_MS > end).count() as u64
}

fn run(
    sharing: &mut dyn Sharing,
    limit: &RetryLimit,
    (routers, per_second): (usize, u64),
    disruption: Disruption,
) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut requests, mut retries, mut restarted) = (Vec::new(), Vec::new(), 0);
    for n in 0..END_MS * per_second / 1_000 {
        let now = n * 1_000 / per_second;
        let disrupted = TROUBLE_MS + DISRUPTION_DELAY_MS;
        let due = now.saturating_sub(disrupted) / RESTART_INTERVAL_MS;
        while disruption == Disruption::RestartInTurn && restarted < routers.min(due as usize) {
            sharing.restart(now, restarted);
            restarted += 1;
        }
        let router = pick_router(now, routers, disruption, &mut rng);
        sharing.record_request(now, router);
        requests.push(now);
        for _ in 0..MAX_RETRIES {
            let is_rejected = rng.random_range(0..100) < REJECTED_PERCENT;
            if now < TROUBLE_MS || !is_rejected || !sharing.try_take(now, router) {
                break;
            }
            retries.push(now);
        }
    }
    let allowed = |end| count_within(&requests, end) * limit.percent / 100 + limit.extra;
    let over = |end| count_within(&retries, end).saturating_sub(allowed(end));
    let used = |end| count_within(&retries, end) * 100 / allowed(end);
    Outcome {
        over: (TROUBLE_MS..END_MS).step_by(100).map(over).max().unwrap_or(0),
        used: (used(TROUBLE_MS + WINDOW_MS), used(END_MS - 1)),
        messages_per_second: sharing.messages() * 1_000 / END_MS,
    }
}

/// Returns the ways to compare, for a number of routers.
fn ways(limit: RetryLimit, routers: usize) -> Vec<(&'static str, Box<dyn Sharing>)> {
    let own_window = || OwnWindow { limit, routers: vec![Counts::default(); routers] };
    let leased = Leased {
        limit,
        counts: Counts::default(),
        unreported: vec![0; routers],
        reported: vec![0; routers],
        messages: 0,
        blocked_until: 0,
    };
    let buckets = Buckets { limit, routers: vec![RetryBudget::new(Time(0)); routers] };
    vec![
        ("own window", Box::new(own_window())),
        ("lapsing credit", Box::new(Lapsing(own_window()))),
        ("leased", Box::new(leased)),
        ("buckets", Box::new(buckets)),
    ]
}

fn main() {
    println!("over the budget; used in % of it, first and last 10 s; messages a second");
    for (routers, extra, per_second) in FLEETS {
        let limit = RetryLimit { percent: 20, extra, window: Millis(WINDOW_MS) };
        for disruption in [Disruption::None, Disruption::RestartInTurn, Disruption::MoveCallers] {
            for (name, mut way) in ways(limit, routers) {
                let o = run(way.as_mut(), &limit, (routers, per_second), disruption);
                let (first, last) = o.used;
                println!(
                    "{routers:>4} routers, {disruption:?}, {name}: over {}, used {first} {last}, messages {}",
                    o.over, o.messages_per_second
                );
            }
        }
    }
}
