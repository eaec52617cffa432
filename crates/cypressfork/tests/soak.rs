//! Runs a short soak with fixed seeds and with every seed that failed before.

#![allow(missing_docs)]

use std::fs;
use std::path::PathBuf;

use cypressfork_soak::fleet::Programs;
use cypressfork_soak::plan::Plan;
use cypressfork_soak::run::execute;
use rstest::rstest;

/// Duration of the faults of a run, in milliseconds.
const FAULT_MILLIS: u64 = 6_000;

fn programs() -> Programs {
    Programs {
        control: PathBuf::from(env!("CARGO_BIN_EXE_cypressfork-control")),
        gateway: PathBuf::from(env!("CARGO_BIN_EXE_cypressfork-gateway")),
    }
}

/// Runs the soak with a seed and fails if a guarantee was violated.
fn run_seed(seed: u64, millis: u64) {
    let dir = tempfile::tempdir().unwrap();
    let plan = Plan::draw(seed, millis, false);
    let verdict = actix_rt::System::new().block_on(execute(plan, &programs(), dir.path())).unwrap();
    let steps: Vec<_> = verdict.plan.steps.iter().map(ToString::to_string).collect();
    let broken: Vec<_> = verdict.broken.iter().map(ToString::to_string).collect();
    if !broken.is_empty() {
        // Keep the logs for the diagnosis.
        let kept = dir.keep();
        panic!("logs in {}\n{}\n{}", kept.display(), steps.join("\n"), broken.join("\n"));
    }
    assert!(verdict.requests.1 > 100, "only {} requests answered", verdict.requests.1);
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn promises_hold_under_faults(#[case] seed: u64) {
    run_seed(seed, FAULT_MILLIS);
}

/// Guards against regressions. Each line of `soak/regressions` has a seed, the duration of its faults in
/// milliseconds, and the cause.
#[test]
fn regression_seeds_pass() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../soak/regressions");
    for line in fs::read_to_string(file).unwrap().lines().filter(|l| !l.starts_with('#')) {
        let mut words = line.split_whitespace();
        let mut number = || words.next().and_then(|w| w.parse().ok()).expect("two numbers");
        run_seed(number(), number());
    }
}
