//! Measures the memory per budget, lease, bill, claim and replica, and the time per decision.
//!
//! `cargo run --release -p cypressfork-core --example slopes`

use std::fs;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use cypressfork_core::bill::{Bill, Bills};
use cypressfork_core::budget::{LeaseRequest, Ledger, Policy, Report};
use cypressfork_core::claim::{ClaimEnd, Claims, Outcome};
use cypressfork_core::config::{Upstream, Vm};
use cypressfork_core::route::{Pool, PromptPrefixes, RequestProfile};
use cypressfork_core::unit::{HolderId, LeaseId, RequestId, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Size of a memory page.
const PAGE_BYTES: u64 = 4096;

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap();
    text.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * PAGE_BYTES
}

/// Makes `n` objects with `make` and prints the memory and time per object.
fn measure<T>(name: &str, n: u64, make: impl FnOnce() -> T) -> T {
    let (before, begin) = (resident_bytes(), Instant::now());
    let objects = make();
    let each = (resident_bytes() - before) as f64 / n as f64;
    let time = begin.elapsed().as_nanos() as f64 / n as f64;
    println!("{name}: {each:.0} bytes each, {time:.0} ns to make one, {n} made");
    objects
}

fn budget_name(n: u64) -> String {
    format!("account-{:03}-budget-{:04}", n % 300, n / 300)
}

fn lease_request(holder: u64, n: u64) -> LeaseRequest {
    LeaseRequest { holder: HolderId(holder), budget: budget_name(n), seq: 1, need: 0, want: 1_000 }
}

fn ledger(budgets: u64) -> Ledger {
    let mut l = Ledger::default();
    for n in 0..budgets {
        l.fund(&budget_name(n), 1_000_000_000, Policy::default());
    }
    l
}

/// Grants every holder a lease of every budget.
fn grant_leases(l: &mut Ledger, budgets: u64, holders: u64) {
    for h in 0..holders {
        for n in 0..budgets {
            let id = LeaseId { term: 1, index: h * budgets + n };
            assert!(l.request_lease(Time(0), id, &lease_request(h, n)).unwrap().is_ok());
        }
    }
}

fn report_use(l: &mut Ledger, n: u64, used: u64) {
    let r = Report { lease: LeaseId { term: 1, index: n }, used, keep: 1_000, tight: false };
    assert!(l.apply_report(Time(1), HolderId(0), &r));
}

fn post_bills(n: u64) -> Bills {
    let mut b = Bills::default();
    let mut rng = SmallRng::seed_from_u64(1);
    for k in 0..n {
        let id = RequestId(rng.random());
        let bill =
            Bill { id, run: k, budget: budget_name(k % 100), prompt: 9, output: 9, whole: true };
        b.post_batch(Time(k / 100), HolderId(1), k + 1, &[bill]);
    }
    b
}

fn record_claims(n: u64, body: usize) -> Claims {
    let mut c = Claims::default();
    let mut rng = SmallRng::seed_from_u64(1);
    for k in 0..n {
        let id = RequestId(rng.random());
        c.claim(Time(k), HolderId(1), k, id, [0; 16]);
        let o = Outcome { status: 200, kind: String::new(), body: Some(vec![0; body]) };
        c.record_end(Time(k), HolderId(1), k, id, ClaimEnd::Answered(o));
    }
    c
}

fn pool(replicas: u32) -> Pool {
    let upstream = |n: u32| {
        let vm = Vm { name: format!("vm-{n}"), data_centre: format!("dc-{}", n % 40) };
        let [a, b, c, d] = (0x0a00_0000 + n).to_be_bytes();
        Upstream { vm, address: SocketAddr::from(([a, b, c, d], 80)), checks_orders: true }
    };
    let mut p = Pool::default();
    p.set_upstreams(Time(0), &(0..replicas).map(upstream).collect::<Vec<_>>(), 8);
    p
}

/// Prints the mean time of choosing one of `replicas` replicas.
fn measure_choice(replicas: u32) {
    const REPETITIONS: u32 = 2_000;
    let (mut p, mut rng) = (pool(replicas), SmallRng::seed_from_u64(1));
    let parts: Vec<Vec<u8>> = (0..8).map(|n| vec![n; 500]).collect();
    let begin = Instant::now();
    for n in 0..REPETITIONS {
        let own = n.to_be_bytes();
        let prefixes = PromptPrefixes::new(parts.iter().map(Vec::as_slice).chain([own.as_slice()]));
        let profile = RequestProfile { prefixes, ..RequestProfile::default() };
        let c = p.choose(Time(u64::from(n)), "dc-1", &profile, &[], &mut rng).unwrap();
        p.finish(Time(u64::from(n)), &black_box(c), false);
    }
    let each = begin.elapsed().as_nanos() / u128::from(REPETITIONS);
    println!("choice among {replicas} replicas: {each} ns");
}

fn main() {
    const BUDGETS: u64 = 43_000;
    let mut l = measure("budget", BUDGETS, || ledger(BUDGETS));
    measure("lease", BUDGETS * 10, || grant_leases(&mut l, BUDGETS, 10));
    let begin = Instant::now();
    for n in 0..BUDGETS {
        report_use(&mut l, n, 5);
    }
    println!("report: {} ns", begin.elapsed().as_nanos() / u128::from(BUDGETS));
    let begin = Instant::now();
    for _ in 0..1_000 {
        black_box(l.recalls(Time(2), HolderId(3)).count());
    }
    println!("recalls of one holder, {BUDGETS} budgets: {} ns", begin.elapsed().as_nanos() / 1_000);
    let b = measure("billed request id", 1_000_000, || post_bills(1_000_000));
    let c = measure("claim with an outcome of 200 bytes", 200_000, || record_claims(200_000, 200));
    let r = measure("replica known to a router", 10_000, || pool(10_000));
    for n in [50, 1_000, 10_000] {
        measure_choice(n);
    }
    black_box((l, b, c, r));
}
