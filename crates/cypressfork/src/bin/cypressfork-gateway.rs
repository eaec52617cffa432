//! `cypressfork-gateway`: forwards requests by host and path to registered replicas.

use std::process::ExitCode;

use cypressfork_node::process::run_daemon;
use cypressfork_router::gateway::run::{load_settings, run};

const ABOUT: &str = "The gateway: forwards callers' requests by host and path.";

fn main() -> ExitCode {
    run_daemon("cypressfork-gateway", ABOUT, load_settings, run)
}
