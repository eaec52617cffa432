//! `cypressfork-router`: the router for language-model clients: admits, bills and routes their requests.

use std::process::ExitCode;

use cypressfork_node::process::run_daemon;
use cypressfork_router::run::{load_settings, run};

const ABOUT: &str = "The entry router: admits, bills and routes the requests of callers.";

fn main() -> ExitCode {
    run_daemon("cypressfork-router", ABOUT, load_settings, run)
}
