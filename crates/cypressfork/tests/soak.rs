//! A short soak with fixed seeds, and every seed that ever failed.

#![allow(missing_docs)]

use std::fs;
use std::path::PathBuf;

use cypressfork_soak::fleet::Programs;
use cypressfork_soak::plan::Plan;
use cypressfork_soak::run::play;
use rstest::rstest;

/// How long the faults of a run last, in milliseconds.
const MILLIS: u64 = 6_000;

fn programs() -> Programs {
    Programs {
        control: PathBuf::from(env!("CARGO_BIN_EXE_cypressfork-control")),
        gateway: PathBuf::from(env!("CARGO_BIN_EXE_cypressfork-gateway")),
    }
}

fn promises_hold(seed: u64, millis: u64) {
    let dir = tempfile::tempdir().unwrap();
    let plan = Plan::draw(seed, millis, false);
    let verdict = actix_rt::System::new().block_on(play(plan, &programs(), dir.path())).unwrap();
    let steps: Vec<_> = verdict.plan.steps.iter().map(ToString::to_string).collect();
    let broken: Vec<_> = verdict.broken.iter().map(ToString::to_string).collect();
    if !broken.is_empty() {
        // The logs are what is left of a failure.
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
    promises_hold(seed, MILLIS);
}

/// Each line of `soak/regressions`: a seed, the milliseconds of its faults, and the cause.
#[test]
fn seeds_that_once_failed_hold() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../soak/regressions");
    for line in fs::read_to_string(file).unwrap().lines().filter(|l| !l.starts_with('#')) {
        let mut words = line.split_whitespace();
        let mut number = || words.next().and_then(|w| w.parse().ok()).expect("two numbers");
        promises_hold(number(), number());
    }
}
