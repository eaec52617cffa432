//! Compares rules for choosing an engine on the same requests, in virtual time.
//!
//! `cargo run --release -p cypressfork-core --example routing`
//!
//! The model of an engine has a queue and a prefix cache. It runs up to eight requests concurrently,
//! prefill time is proportional to the uncached part of the prompt, the time per token grows with the
//! number of running requests, and the cache evicts the oldest prompts. Batching limits, preemption and
//! network delays are not modelled. Two routers choose independently; load reports reach them late, and one
//! in ten is lost.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use cypressfork_core::config::{Upstream, Vm};
use cypressfork_core::route::{Choice, Pool, PromptPrefixes, RequestProfile};
use cypressfork_core::unit::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ENGINES: usize = 12;
const SLOTS: usize = 8;
const ROUTERS: usize = 2;
const RUN_MS: u64 = 120_000;
/// Prompt bytes that an engine caches.
const CACHE_BYTES: u64 = 400_000;
/// Prompt bytes that an engine processes per millisecond.
const PREFILL_BYTES_PER_MS: u64 = 20;
/// Milliseconds per token of a request that runs alone, and the addition for each concurrent request.
const TOKEN_MS: (u64, u64) = (10, 3);
/// Requests that an engine queues; it rejects any more.
const MAX_QUEUED: usize = 32;

/// A rule for choosing an engine.
#[derive(Clone, Copy, PartialEq)]
enum Rule {
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    PrefixOnly,
    /// The library's rule: the lowest expected time to the first token.
    Pool,
}

const RULES: [(Rule, &str); 5] = [
    (Rule::RoundRobin, "round robin"),
    (Rule::LeastOutstanding, "least outstanding"),
    (Rule::TwoChoices, "power of two choices"),
    (Rule::PrefixOnly, "prefix alone"),
    (Rule::Pool, "expected first token"),
];

/// The conversations of a client account.
struct Workload {
    name: &'static str,
    /// Requests per second that saturate the engines.
    capacity: f64,
    /// Prompt bytes that each turn adds.
    turn_bytes: u64,
    /// Turns of a conversation.
    turns: u64,
    /// Mean number of tokens of an answer.
    tokens: u64,
    /// Size of the prefix that a quarter of the conversations share.
    shared_bytes: u64,
}

const WORKLOADS: [Workload; 2] = [
    Workload {
        name: "Kellaway",
        capacity: 34.0,
        turn_bytes: 1_500,
        turns: 12,
        tokens: 60,
        shared_bytes: 3_000,
    },
    Workload {
        name: "Asante",
        capacity: 20.0,
        turn_bytes: 6_000,
        turns: 6,
        tokens: 50,
        shared_bytes: 40_000,
    },
];

#[derive(Clone)]
struct Request {
    /// Arrival time in milliseconds.
    at: u64,
    router: usize,
    conversation: u64,
    turn: u64,
    tokens: u64,
    prefixes: PromptPrefixes,
}

/// Generates the requests of one run at a load relative to the capacity.
fn requests(workload: &Workload, load: f64) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut open: Vec<(u64, u64)> = Vec::new();
    let (mut at, mut next, mut out) = (0.0, 0, Vec::new());
    while at < RUN_MS as f64 {
        at += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / (workload.capacity * load) * 1000.0;
        if open.len() < 60 {
            next += 1;
            open.push((next, 0));
        }
        let pick = rng.random_range(0..open.len());
        let (conversation, turn) = open[pick];
        open[pick].1 += 1;
        if open[pick].1 == workload.turns {
            open.swap_remove(pick);
        }
        let prefixes = prefixes(workload, conversation, turn);
        let tokens = rng.random_range(workload.tokens / 2..workload.tokens * 3 / 2);
        let router = (conversation as usize) % ROUTERS;
        out.push(Request { at: at as u64, router, conversation, turn, tokens, prefixes });
    }
    out
}

/// Returns the prefixes of a conversation's prompt up to a turn.
fn prefixes(workload: &Workload, conversation: u64, turn: u64) -> PromptPrefixes {
    let shared = vec![(conversation % 4) as u8; workload.shared_bytes as usize];
    let own = |t: u64| {
        let mut part = vec![t as u8; workload.turn_bytes as usize];
        part[..8].copy_from_slice(&conversation.to_be_bytes());
        part
    };
    let parts: Vec<Vec<u8>> = std::iter::once(shared).chain((0..=turn).map(own)).collect();
    PromptPrefixes::new(parts.iter().map(Vec::as_slice))
}

struct Job {
    request: usize,
    /// Prompt bytes still to process.
    prefill: u64,
    /// Tokens still to generate.
    tokens: f64,
    /// When the first token was generated.
    first_token: Option<u64>,
}

#[derive(Default)]
struct Engine {
    down: bool,
    queue: VecDeque<Job>,
    running: Vec<Job>,
    /// Cached prompts as conversation, turn and size, oldest first.
    cache: VecDeque<(u64, u64, u64)>,
    /// Shared prefixes in the cache.
    shared: Vec<u64>,
}

impl Engine {
    /// Returns the bytes of the request's prompt that are cached.
    fn cached_bytes(&self, workload: &Workload, r: &Request) -> u64 {
        let own = self.cache.iter().filter(|c| c.0 == r.conversation && c.1 <= r.turn);
        let own = own.map(|c| c.2).max();
        let shared =
            if self.shared.contains(&(r.conversation % 4)) { workload.shared_bytes } else { 0 };
        own.unwrap_or(shared)
    }

    /// Adds a prompt to the cache and evicts the oldest ones beyond the cache's size.
    fn cache_prompt(&mut self, r: &Request) {
        self.cache.retain(|c| c.0 != r.conversation);
        self.cache.push_back((r.conversation, r.turn, r.prefixes.size()));
        if !self.shared.contains(&(r.conversation % 4)) {
            self.shared.push(r.conversation % 4);
        }
        while self.cache.iter().map(|c| c.2).sum::<u64>() > CACHE_BYTES {
            self.cache.pop_front();
        }
    }

    /// Simulates one millisecond. Returns the requests that produced their first token, and the jobs that
    /// completed.
    fn step(&mut self, now: u64) -> (Vec<usize>, Vec<Job>) {
        let mut first_tokens = Vec::new();
        while self.running.len() < SLOTS {
            let Some(job) = self.queue.pop_front() else { break };
            self.running.push(job);
        }
        let token_ms = TOKEN_MS.0 + TOKEN_MS.1 * self.running.len().saturating_sub(1) as u64;
        // One prompt is prefilled at a time, concurrently with generation.
        let mut prefilling = true;
        for j in &mut self.running {
            if j.prefill > 0 {
                if std::mem::take(&mut prefilling) {
                    j.prefill = j.prefill.saturating_sub(PREFILL_BYTES_PER_MS);
                }
            } else {
                if j.first_token.is_none() {
                    j.first_token = Some(now);
                    first_tokens.push(j.request);
                }
                j.tokens -= 1.0 / token_ms as f64;
            }
        }
        let (done, rest) = self.running.drain(..).partition(|j| j.tokens <= 0.0);
        self.running = rest;
        (first_tokens, done)
    }

    /// Returns the numbers of running and queued requests.
    fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queue.len() as u32)
    }
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n as u16))
}

/// A router with the state of every rule.
struct Router {
    pool: Pool,
    round_robin: usize,
    outstanding: Vec<u32>,
    /// The engine of each conversation's last request.
    last_engine: BTreeMap<u64, usize>,
    rng: SmallRng,
}

impl Router {
    fn new(n: u64) -> Router {
        let upstream = |n| Upstream {
            vm: Vm { name: format!("vm-{n}"), data_centre: format!("dc-{}", n % 3) },
            address: address(n),
            checks_orders: true,
        };
        let mut pool = Pool::default();
        pool.set_upstreams(Time(0), &(0..ENGINES).map(upstream).collect::<Vec<_>>(), SLOTS as u32);
        let rng = SmallRng::seed_from_u64(n);
        Router {
            pool,
            round_robin: n as usize,
            outstanding: vec![0; ENGINES],
            last_engine: BTreeMap::new(),
            rng,
        }
    }

    /// Chooses an engine that is not in `tried`.
    fn choose(
        &mut self,
        rule: Rule,
        now: u64,
        r: &Request,
        tried: &[usize],
    ) -> (usize, Option<Choice>) {
        let untried: Vec<usize> = (0..ENGINES).filter(|n| !tried.contains(n)).collect();
        let outstanding = &self.outstanding;
        let outstanding_at = |a: &usize| outstanding[*a];
        let n = match rule {
            Rule::RoundRobin => {
                self.round_robin += 1;
                untried[self.round_robin % untried.len()]
            }
            Rule::LeastOutstanding => untried.into_iter().min_by_key(outstanding_at).unwrap(),
            Rule::TwoChoices => {
                let [a, b] = [0; 2].map(|_| untried[self.rng.random_range(0..untried.len())]);
                if outstanding_at(&a) <= outstanding_at(&b) { a } else { b }
            }
            Rule::PrefixOnly => {
                match self.last_engine.get(&r.conversation).filter(|n| !tried.contains(n)) {
                    Some(n) => *n,
                    None => untried[(r.conversation % 4) as usize % untried.len()],
                }
            }
            Rule::Pool => {
                let profile =
                    RequestProfile { prefixes: r.prefixes.clone(), ..RequestProfile::default() };
                let tried: Vec<_> = tried.iter().map(|n| address(*n)).collect();
                let c =
                    self.pool.choose(Time(now), "dc-0", &profile, &tried, &mut self.rng).unwrap();
                self.outstanding[c.address.port() as usize] += 1;
                return (c.address.port() as usize, Some(c));
            }
        };
        self.outstanding[n] += 1;
        self.last_engine.insert(r.conversation, n);
        (n, None)
    }
}

struct Attempt {
    engine: usize,
    choice: Option<Choice>,
    at: u64,
}

#[derive(Default)]
struct Metrics {
    /// Times to the first token, in milliseconds.
    first_token_ms: Vec<u64>,
    cached_bytes: u64,
    prompt_bytes: u64,
    refused: u64,
}

/// Runs the requests under one rule, with load reports delayed by `report_delay` milliseconds.
fn simulate(
    rule: Rule,
    workload: &Workload,
    all: &[Request],
    report_delay: u64,
    lose_data_centre: bool,
) -> Metrics {
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut routers: Vec<Router> = (0..ROUTERS).map(|n| Router::new(n as u64)).collect();
    let mut sent: Vec<Option<Attempt>> = all.iter().map(|_| None).collect();
    let mut reports: VecDeque<(u64, usize, u64, (u32, u32))> = VecDeque::new();
    let mut rng = SmallRng::seed_from_u64(99);
    let mut metrics = Metrics::default();
    let mut next = 0;
    for now in 0..RUN_MS + 30_000 {
        if lose_data_centre && now == RUN_MS / 2 {
            for n in (0..ENGINES).filter(|n| n % 3 == 2) {
                engines[n] = Engine { down: true, ..Engine::default() };
            }
        }
        if now % 250 == 0 {
            for (n, e) in engines.iter().enumerate() {
                if rng.random_range(0..10) > 0 {
                    reports.push_back((now + report_delay, n, now, e.load()));
                }
            }
        }
        while reports.front().is_some_and(|r| r.0 <= now) {
            let (_, n, at, (running, waiting)) = reports.pop_front().unwrap();
            for r in &mut routers {
                r.pool.record_load_report(address(n), Time(at), running, waiting);
            }
        }
        while next < all.len() && all[next].at <= now {
            dispatch(
                rule,
                workload,
                &all[next],
                next,
                now,
                &mut routers,
                &mut engines,
                &mut sent,
                &mut metrics,
            );
            next += 1;
        }
        for (n, e) in engines.iter_mut().enumerate() {
            let (first_tokens, done) = e.step(now);
            for request in first_tokens {
                let attempt = sent[request].as_ref().filter(|a| a.engine == n);
                if let Some((at, c)) = attempt.and_then(|a| Some((a.at, a.choice?))) {
                    routers[all[request].router].pool.record_first_event(
                        Time(now),
                        &c,
                        (now - at) * 1000,
                    );
                }
            }
            for job in done {
                complete(all, n, job, now, &mut routers, &mut sent, &mut metrics);
            }
        }
    }
    metrics
}

/// Sends a request to the first engine that accepts it, after at most three attempts.
#[allow(clippy::too_many_arguments)]
fn dispatch(
    rule: Rule,
    workload: &Workload,
    r: &Request,
    index: usize,
    now: u64,
    routers: &mut [Router],
    engines: &mut [Engine],
    sent: &mut [Option<Attempt>],
    metrics: &mut Metrics,
) {
    let mut tried = Vec::new();
    while tried.len() < 3 {
        let router = &mut routers[r.router];
        let (n, choice) = router.choose(rule, now, r, &tried);
        let e = &mut engines[n];
        if e.down || e.queue.len() >= MAX_QUEUED {
            router.outstanding[n] -= 1;
            if let Some(c) = &choice {
                router.pool.finish(Time(now), c, true);
            }
            tried.push(n);
            continue;
        }
        let cached = e.cached_bytes(workload, r);
        e.cache_prompt(r);
        let prefill = r.prefixes.size() - cached.min(r.prefixes.size());
        metrics.cached_bytes += cached;
        metrics.prompt_bytes += r.prefixes.size();
        e.queue.push_back(Job {
            request: index,
            prefill,
            tokens: r.tokens as f64,
            first_token: None,
        });
        sent[index] = Some(Attempt { engine: n, choice, at: now });
        return;
    }
    metrics.refused += 1;
}

/// Records the end of a request at engine `n`.
fn complete(
    all: &[Request],
    n: usize,
    job: Job,
    now: u64,
    routers: &mut [Router],
    sent: &mut [Option<Attempt>],
    metrics: &mut Metrics,
) {
    let Some(attempt) = sent[job.request].take().filter(|a| a.engine == n) else {
        return;
    };
    let r = &all[job.request];
    let router = &mut routers[r.router];
    router.outstanding[n] -= 1;
    if let Some(c) = &attempt.choice {
        router.pool.finish(Time(now), c, false);
    }
    metrics.first_token_ms.push(job.first_token.unwrap_or(now) - attempt.at);
}

fn print_row(rule: &str, case: &str, all: &[Request], mut metrics: Metrics) {
    metrics.first_token_ms.sort_unstable();
    let percentile = |p: usize| {
        metrics
            .first_token_ms
            .get(metrics.first_token_ms.len().saturating_sub(1) * p / 100)
            .copied()
            .unwrap_or(0)
    };
    let (cached, refused) = (
        100.0 * metrics.cached_bytes as f64 / metrics.prompt_bytes.max(1) as f64,
        100.0 * metrics.refused as f64 / all.len() as f64,
    );
    // Requests that were neither rejected nor completed were lost with their engine.
    let lost = 100.0
        * (all.len() as u64 - metrics.refused - metrics.first_token_ms.len() as u64) as f64
        / all.len() as f64;
    println!(
        "| {rule} | {case} | {} | {} | {} | {cached:.0}% | {refused:.1}% | {lost:.1}% |",
        percentile(50),
        percentile(95),
        percentile(99)
    );
}

fn main() {
    for workload in &WORKLOADS {
        println!("\n{}", workload.name);
        println!(
            "| choice | case | first token 50% (ms) | 95% | 99% | prompt cached | refused | lost |"
        );
        println!("|---|---|---|---|---|---|---|---|");
        for load in [0.5, 0.9, 1.5] {
            let all = requests(workload, load);
            for report_delay in [0, 1_000, 5_000] {
                for (rule, name) in RULES {
                    let case = format!(
                        "{:.0}% load, reports {} s late",
                        load * 100.0,
                        report_delay / 1000
                    );
                    if report_delay == 0 || rule == Rule::Pool {
                        print_row(
                            name,
                            &case,
                            &all,
                            simulate(rule, workload, &all, report_delay, false),
                        );
                    }
                }
            }
        }
        let all = requests(workload, 0.6);
        for (rule, name) in RULES {
            let metrics = simulate(rule, workload, &all, 1_000, true);
            print_row(name, "60% load, a data centre lost half-way", &all, metrics);
        }
    }
}
