//! Compares ways of choosing an engine over the same requests, in virtual time on the core's pool.
//!
//! `cargo run --release -p cypressfork-core --example routing`
//!
//! The stand-in engine is one small queue with a prefix cache: it runs up to eight requests side by
//! side, a prompt takes time for what is not cached, a token takes longer the more run, and the
//! cache keeps the last prompts up to a size. It knows no batching limits, no preemption and no
//! network. Two routers choose on their own; reports of load reach them late, one in ten is lost.

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
/// Bytes of prompt that an engine caches.
const CACHE: u64 = 400_000;
/// Prompt bytes that an engine takes in a millisecond.
const PREFILL: u64 = 20;
/// Milliseconds for a token with nothing else running, and for each other request.
const TOKEN: (u64, u64) = (10, 3);
/// Requests that wait at an engine, beyond which it refuses.
const ENGINE_QUEUE: usize = 32;

#[derive(Clone, Copy, PartialEq)]
enum Rule {
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    PrefixOnly,
    Pool,
}

const RULES: [(Rule, &str); 5] = [
    (Rule::RoundRobin, "round robin"),
    (Rule::LeastOutstanding, "least outstanding"),
    (Rule::TwoChoices, "power of two choices"),
    (Rule::PrefixOnly, "prefix alone"),
    (Rule::Pool, "expected first token"),
];

/// A user's conversations.
struct Mix {
    name: &'static str,
    /// Requests a second that the engines can just serve, found by trial.
    full: f64,
    /// Bytes that each turn adds, turns of a conversation, tokens of an answer, and how many
    /// conversations share their beginning.
    turn: u64,
    turns: u64,
    tokens: u64,
    shared: u64,
}

const MIXES: [Mix; 2] = [
    Mix { name: "Kellaway", full: 34.0, turn: 1_500, turns: 12, tokens: 60, shared: 3_000 },
    Mix { name: "Asante", full: 20.0, turn: 6_000, turns: 6, tokens: 50, shared: 40_000 },
];

#[derive(Clone)]
struct Request {
    at: u64,
    router: usize,
    conversation: u64,
    turn: u64,
    tokens: u64,
    prefixes: PromptPrefixes,
}

fn requests(mix: &Mix, load: f64) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut open: Vec<(u64, u64)> = Vec::new();
    let (mut at, mut next, mut out) = (0.0, 0, Vec::new());
    while at < RUN_MS as f64 {
        at += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / (mix.full * load) * 1000.0;
        if open.len() < 60 {
            next += 1;
            open.push((next, 0));
        }
        let pick = rng.random_range(0..open.len());
        let (conversation, turn) = open[pick];
        open[pick].1 += 1;
        if open[pick].1 == mix.turns {
            open.swap_remove(pick);
        }
        let prefixes = prefixes(mix, conversation, turn);
        let tokens = rng.random_range(mix.tokens / 2..mix.tokens * 3 / 2);
        let router = (conversation as usize) % ROUTERS;
        out.push(Request { at: at as u64, router, conversation, turn, tokens, prefixes });
    }
    out
}

fn prefixes(mix: &Mix, conversation: u64, turn: u64) -> PromptPrefixes {
    let shared = vec![(conversation % 4) as u8; mix.shared as usize];
    let own = |t: u64| {
        let mut part = vec![t as u8; mix.turn as usize];
        part[..8].copy_from_slice(&conversation.to_be_bytes());
        part
    };
    let parts: Vec<Vec<u8>> = std::iter::once(shared).chain((0..=turn).map(own)).collect();
    PromptPrefixes::new(parts.iter().map(Vec::as_slice))
}

struct Job {
    request: usize,
    prefill: u64,
    tokens: f64,
    first: Option<u64>,
}

#[derive(Default)]
struct Engine {
    down: bool,
    queue: VecDeque<Job>,
    running: Vec<Job>,
    /// The conversations whose prompt up to a turn is cached, oldest first, with its size.
    cache: VecDeque<(u64, u64, u64)>,
    shared: Vec<u64>,
}

impl Engine {
    fn cached(&self, mix: &Mix, r: &Request) -> u64 {
        let own = self.cache.iter().filter(|c| c.0 == r.conversation && c.1 <= r.turn);
        let own = own.map(|c| c.2).max();
        let shared = if self.shared.contains(&(r.conversation % 4)) { mix.shared } else { 0 };
        own.unwrap_or(shared)
    }

    fn remember(&mut self, r: &Request) {
        self.cache.retain(|c| c.0 != r.conversation);
        self.cache.push_back((r.conversation, r.turn, r.prefixes.size()));
        if !self.shared.contains(&(r.conversation % 4)) {
            self.shared.push(r.conversation % 4);
        }
        while self.cache.iter().map(|c| c.2).sum::<u64>() > CACHE {
            self.cache.pop_front();
        }
    }

    /// A millisecond passes; returns the requests whose first token came, and the jobs that ended.
    fn step(&mut self, now: u64) -> (Vec<usize>, Vec<Job>) {
        let mut firsts = Vec::new();
        while self.running.len() < SLOTS {
            let Some(job) = self.queue.pop_front() else { break };
            self.running.push(job);
        }
        let pace = TOKEN.0 + TOKEN.1 * self.running.len().saturating_sub(1) as u64;
        // One prompt is taken in at a time, and generation goes on beside it.
        let mut prefilling = true;
        for j in &mut self.running {
            if j.prefill > 0 {
                if std::mem::take(&mut prefilling) {
                    j.prefill = j.prefill.saturating_sub(PREFILL);
                }
            } else {
                if j.first.is_none() {
                    j.first = Some(now);
                    firsts.push(j.request);
                }
                j.tokens -= 1.0 / pace as f64;
            }
        }
        let (done, rest) = self.running.drain(..).partition(|j| j.tokens <= 0.0);
        self.running = rest;
        (firsts, done)
    }

    fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queue.len() as u32)
    }
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n as u16))
}

/// What one router goes by.
struct Router {
    pool: Pool,
    turn: usize,
    outstanding: Vec<u32>,
    last: BTreeMap<u64, usize>,
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
        Router { pool, turn: n as usize, outstanding: vec![0; ENGINES], last: BTreeMap::new(), rng }
    }

    fn choose(
        &mut self,
        rule: Rule,
        now: u64,
        r: &Request,
        tried: &[usize],
    ) -> (usize, Option<Choice>) {
        let open: Vec<usize> = (0..ENGINES).filter(|n| !tried.contains(n)).collect();
        let outstanding = &self.outstanding;
        let least = |a: &usize| outstanding[*a];
        let n = match rule {
            Rule::RoundRobin => {
                self.turn += 1;
                open[self.turn % open.len()]
            }
            Rule::LeastOutstanding => open.into_iter().min_by_key(least).unwrap(),
            Rule::TwoChoices => {
                let [a, b] = [0; 2].map(|_| open[self.rng.random_range(0..open.len())]);
                if least(&a) <= least(&b) { a } else { b }
            }
            Rule::PrefixOnly => match self.last.get(&r.conversation).filter(|n| !tried.contains(n))
            {
                Some(n) => *n,
                None => open[(r.conversation % 4) as usize % open.len()],
            },
            Rule::Pool => {
                let work =
                    RequestProfile { prefixes: r.prefixes.clone(), ..RequestProfile::default() };
                let tried: Vec<_> = tried.iter().map(|n| address(*n)).collect();
                let c = self.pool.choose(Time(now), "dc-0", &work, &tried, &mut self.rng).unwrap();
                self.outstanding[c.address.port() as usize] += 1;
                return (c.address.port() as usize, Some(c));
            }
        };
        self.outstanding[n] += 1;
        self.last.insert(r.conversation, n);
        (n, None)
    }
}

struct Sent {
    engine: usize,
    choice: Option<Choice>,
    at: u64,
}

#[derive(Default)]
struct Score {
    first: Vec<u64>,
    cached: u64,
    prompt: u64,
    refused: u64,
}

fn play(rule: Rule, mix: &Mix, all: &[Request], late: u64, lose_centre: bool) -> Score {
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut routers: Vec<Router> = (0..ROUTERS).map(|n| Router::new(n as u64)).collect();
    let mut sent: Vec<Option<Sent>> = all.iter().map(|_| None).collect();
    let mut reports: VecDeque<(u64, usize, u64, (u32, u32))> = VecDeque::new();
    let mut rng = SmallRng::seed_from_u64(99);
    let mut s = Score::default();
    let mut next = 0;
    for now in 0..RUN_MS + 30_000 {
        if lose_centre && now == RUN_MS / 2 {
            for n in (0..ENGINES).filter(|n| n % 3 == 2) {
                engines[n] = Engine { down: true, ..Engine::default() };
            }
        }
        if now % 250 == 0 {
            for (n, e) in engines.iter().enumerate() {
                if rng.random_range(0..10) > 0 {
                    reports.push_back((now + late, n, now, e.load()));
                }
            }
        }
        while reports.front().is_some_and(|r| r.0 <= now) {
            let (_, n, at, (running, waiting)) = reports.pop_front().unwrap();
            for r in &mut routers {
                r.pool.report(address(n), Time(at), running, waiting);
            }
        }
        while next < all.len() && all[next].at <= now {
            start(rule, mix, &all[next], next, now, &mut routers, &mut engines, &mut sent, &mut s);
            next += 1;
        }
        for (n, e) in engines.iter_mut().enumerate() {
            let (firsts, done) = e.step(now);
            for request in firsts {
                let x = sent[request].as_ref().filter(|x| x.engine == n);
                if let Some((at, c)) = x.and_then(|x| Some((x.at, x.choice?))) {
                    routers[all[request].router].pool.record_first_event(
                        Time(now),
                        &c,
                        (now - at) * 1000,
                    );
                }
            }
            for job in done {
                end(all, n, job, now, &mut routers, &mut sent, &mut s);
            }
        }
    }
    s
}

#[allow(clippy::too_many_arguments)]
fn start(
    rule: Rule,
    mix: &Mix,
    r: &Request,
    index: usize,
    now: u64,
    routers: &mut [Router],
    engines: &mut [Engine],
    sent: &mut [Option<Sent>],
    s: &mut Score,
) {
    let mut tried = Vec::new();
    while tried.len() < 3 {
        let router = &mut routers[r.router];
        let (n, choice) = router.choose(rule, now, r, &tried);
        let e = &mut engines[n];
        if e.down || e.queue.len() >= ENGINE_QUEUE {
            router.outstanding[n] -= 1;
            if let Some(c) = &choice {
                router.pool.finish(Time(now), c, true);
            }
            tried.push(n);
            continue;
        }
        let cached = e.cached(mix, r);
        e.remember(r);
        let prefill = r.prefixes.size() - cached.min(r.prefixes.size());
        s.cached += cached;
        s.prompt += r.prefixes.size();
        e.queue.push_back(Job { request: index, prefill, tokens: r.tokens as f64, first: None });
        sent[index] = Some(Sent { engine: n, choice, at: now });
        return;
    }
    s.refused += 1;
}

fn end(
    all: &[Request],
    n: usize,
    job: Job,
    now: u64,
    routers: &mut [Router],
    sent: &mut [Option<Sent>],
    s: &mut Score,
) {
    let Some(x) = sent[job.request].take().filter(|x| x.engine == n) else { return };
    let r = &all[job.request];
    let router = &mut routers[r.router];
    router.outstanding[n] -= 1;
    if let Some(c) = &x.choice {
        router.pool.finish(Time(now), c, false);
    }
    s.first.push(job.first.unwrap_or(now) - x.at);
}

fn line(rule: &str, case: &str, all: &[Request], mut s: Score) {
    s.first.sort_unstable();
    let p = |p: usize| s.first.get(s.first.len().saturating_sub(1) * p / 100).copied().unwrap_or(0);
    let (cached, refused) = (
        100.0 * s.cached as f64 / s.prompt.max(1) as f64,
        100.0 * s.refused as f64 / all.len() as f64,
    );
    // What was neither refused nor answered was lost with its engine.
    let lost =
        100.0 * (all.len() as u64 - s.refused - s.first.len() as u64) as f64 / all.len() as f64;
    println!(
        "| {rule} | {case} | {} | {} | {} | {cached:.0}% | {refused:.1}% | {lost:.1}% |",
        p(50),
        p(95),
        p(99)
    );
}

fn main() {
    for mix in &MIXES {
        println!("\n{}", mix.name);
        println!(
            "| choice | case | first token 50% (ms) | 95% | 99% | prompt cached | refused | lost |"
        );
        println!("|---|---|---|---|---|---|---|---|");
        for load in [0.5, 0.9, 1.5] {
            let all = requests(mix, load);
            for late in [0, 1_000, 5_000] {
                for (rule, name) in RULES {
                    let case = format!("{:.0}% load, reports {} s late", load * 100.0, late / 1000);
                    if late == 0 || rule == Rule::Pool {
                        line(name, &case, &all, play(rule, mix, &all, late, false));
                    }
                }
            }
        }
        let all = requests(mix, 0.6);
        for (rule, name) in RULES {
            let s = play(rule, mix, &all, 1_000, true);
            line(name, "60% load, a data centre lost half-way", &all, s);
        }
    }
}
