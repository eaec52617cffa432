//! `cypressfork`: the operator's command line.

use std::process::ExitCode;

use cypressfork_cli::{cmd, error};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match cmd::run(&args) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(error::exit_status(&e))
        }
    }
}
