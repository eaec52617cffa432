//! Compares rules for sharing a budget among routers by their overspend and false refusals, on the same
//! requests, in virtual time with the core's ledger and slice stores.
//!
//! `cargo run --release -p cypressfork-core --example policies`
//!
//! Eight routers run in three data centres and, where a region is partitioned, in two regions of four.
//! Messages take no time and are lost only in a partition. A request holds its reservation while it
//! runs, and a killed router loses its unreported use. The oracle has the actual use of every request in
//! advance and a single counter: a refusal is false if the oracle serves the request.

mod world;

use cypressfork_core::budget::Policy;
use cypressfork_core::unit::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use world::World;

const BUDGET: &str = "b";
const ROUTERS: usize = 8;
const DATA_CENTRES: usize = 3;
const HOUR_MS: u64 = 3_600_000;
const RUN_MS: u64 = 3 * HOUR_MS;
const TICK_MS: u64 = 250;

/// A rule for sharing a budget.
#[derive(Clone, Copy)]
enum Rule {
    /// Leases every router an equal part at the start.
    EqualSplit,
    /// Requests a lease for each request of a caller.
    PerRequest,
    /// Leases slices of a fixed size that are never recalled.
    FixedSlices(u64),
    /// The library's rule.
    Escrow(Policy),
}

impl Rule {
    fn policy(self) -> Policy {
        match self {
            Rule::Escrow(p) => p,
            _ => Policy { share: 0, offline: Millis(4 * HOUR_MS), ..Policy::default() },
        }
    }
}

/// A fault that a run is subject to.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// A router is killed each minute.
    RouterKills,
    /// A data centre is cut off from the control group for an hour.
    DataCentrePartition,
    /// The second region is cut off from the control group for an hour.
    RegionPartition,
    /// The budget is smaller than the demand.
    BudgetExhaustion,
}

/// The requests of a client account.
struct Workload {
    name: &'static str,
    /// Requests per second at all routers together.
    rate: f64,
    /// Kinds of requests: weight, bounds on prompt and output tokens, and duration in
    /// milliseconds.
    kinds: &'static [(u32, u64, u64, u64)],
    /// Time for which a request waits for tokens, in milliseconds.
    max_wait_ms: u64,
}

const WORKLOADS: [Workload; 2] = [
    Workload {
        name: "Kellaway",
        rate: 4.0,
        kinds: &[(2, 1_500, 2_000, 20_000), (5, 600, 400, 4_000), (3, 200, 100, 1_000)],
        max_wait_ms: 2_000,
    },
    Workload {
        name: "Asante",
        rate: 2.0,
        kinds: &[(3, 24_000, 800, 8_000), (3, 9_000, 300, 3_000), (4, 400, 150, 1_500)],
        max_wait_ms: 10_000,
    },
];

#[derive(Clone, Copy)]
struct Request {
    at: u64,
    router: usize,
    /// Tokens to reserve.
    bound: u64,
    /// Tokens actually used.
    used: u64,
    /// Duration in milliseconds.
    duration_ms: u64,
}

/// Generates the requests of one run.
fn requests(workload: &Workload, seed: u64) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let weights: u32 = workload.kinds.iter().map(|k| k.0).sum();
    let mut at = 0.0;
    let mut out = Vec::new();
    loop {
        at += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / workload.rate * 1000.0;
        if at >= RUN_MS as f64 {
            return out;
        }
        let mut pick = rng.random_range(0..weights);
        let kind = workload.kinds.iter().find(|k| {
            let is_match = pick < k.0;
            pick = pick.saturating_sub(k.0);
            is_match
        });
        let &(_, prompt, output, duration_ms) = kind.unwrap();
        // The prompt is bounded by its bytes, two or three per token; the output ends before its bound.
        let used = prompt / rng.random_range(2..4) + rng.random_range(output / 4..output);
        let router = rng.random_range(0..ROUTERS);
        out.push(Request { at: at as u64, router, bound: prompt + output, used, duration_ms });
    }
}

#[derive(Default)]
struct Metrics {
    overspend: u64,
    false_refusals: u64,
    /// Requests that the oracle serves.
    served_by_oracle: u64,
    unused: u64,
}

/// Runs the requests under one rule and fault.
fn simulate(
    rule: Rule,
    fault: Fault,
    workload: &Workload,
    all: &[Request],
    budget: u64,
) -> Metrics {
    let mut w = World::new(rule, fault, budget);
    let mut waiting: Vec<(usize, u64)> = Vec::new();
    let mut served = vec![false; all.len()];
    let mut next = 0;
    while w.now < RUN_MS {
        let end = w.now + TICK_MS;
        while next < all.len() && all[next].at < end {
            w.now = w.now.max(all[next].at);
            served[next] = w.start(&all[next]);
            if !served[next] && w.is_alive(all[next].router) {
                waiting.push((next, all[next].at + workload.max_wait_ms));
            }
            next += 1;
        }
        w.now = end;
        w.tick();
        waiting.retain(|(n, until)| {
            served[*n] = w.start(&all[*n]);
            !served[*n] && w.now < *until
        });
    }
    metrics(&w, all, &served, budget)
}

/// Returns the metrics of a run, in comparison with the oracle.
fn metrics(w: &World, all: &[Request], served: &[bool], budget: u64) -> Metrics {
    let mut metrics =
        Metrics { overspend: w.consumed.saturating_sub(budget), ..Metrics::default() };
    let mut oracle = 0;
    for (r, served) in all.iter().zip(served) {
        if oracle + r.used > budget {
            continue;
        }
        oracle += r.used;
        metrics.served_by_oracle += 1;
        metrics.false_refusals += u64::from(!served);
    }
    metrics.unused = budget.saturating_sub(w.consumed);
    metrics
}

const FAULTS: [(Fault, &str); 5] = [
    (Fault::None, "no fault"),
    (Fault::RouterKills, "a router killed each minute"),
    (Fault::DataCentrePartition, "a data centre cut for an hour"),
    (Fault::RegionPartition, "a region cut for an hour"),
    (Fault::BudgetExhaustion, "the end of a budget"),
];

fn escrow(horizon: u64, reserve: u64) -> Rule {
    Rule::Escrow(Policy { horizon: Millis::seconds(horizon), reserve, ..Policy::default() })
}

fn main() {
    for workload in &WORKLOADS {
        let all = requests(workload, 1);
        let demand: u64 = all.iter().map(|r| r.used).sum();
        println!("\n{}: {} requests, {demand} tokens in 3 h", workload.name, all.len());
        println!("| policy | fault | overspend (tokens) | false refusals | unused tokens |");
        println!("|---|---|---|---|---|");
        let rules = [
            ("equal split", Rule::EqualSplit),
            ("ask for each request", Rule::PerRequest),
            ("fixed slices of 50,000", Rule::FixedSlices(50_000)),
            ("escrow, horizon 10 s, no reserve", escrow(10, 0)),
            ("escrow, horizon 60 s, no reserve", escrow(60, 0)),
            ("escrow, horizon 600 s, no reserve", escrow(600, 0)),
            ("escrow, horizon 10 s, reserve 5%", escrow(10, 5)),
            ("escrow, horizon 10 s, reserve 10%", escrow(10, 10)),
            ("escrow, horizon 10 s, reserve 20%", escrow(10, 20)),
        ];
        for (fault, fault_name) in FAULTS {
            let budget = match fault {
                Fault::BudgetExhaustion => demand * 6 / 10,
                _ => demand * 3 / 2,
            };
            for (name, rule) in rules {
                let metrics = simulate(rule, fault, workload, &all, budget);
                let share = 100.0 * metrics.false_refusals as f64 / metrics.served_by_oracle as f64;
                println!(
                    "| {name} | {fault_name} | {} | {share:.2}% | {} |",
                    metrics.overspend, metrics.unused
                );
            }
        }
    }
}
