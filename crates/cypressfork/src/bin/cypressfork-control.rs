//! `cypressfork-control`: a member of the control group, which keeps accounts, budgets, claims and bills.

use std::process::ExitCode;

use cypressfork_control::run::{load_settings, run};
use cypressfork_node::process::run_daemon;

const ABOUT: &str = "A member of a region's control group: accounts, budgets, claims and bills.";

fn main() -> ExitCode {
    run_daemon("cypressfork-control", ABOUT, load_settings, run)
}
