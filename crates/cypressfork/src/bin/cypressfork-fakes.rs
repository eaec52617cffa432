//! `cypressfork-fakes`: fake upstreams and a fake platform for development. Not for production.

use std::process::ExitCode;

use cypressfork_fakes::run;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
