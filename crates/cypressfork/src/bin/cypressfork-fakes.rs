//! `cypressfork-fakes`: development stand-ins. Not for production.

use std::process::ExitCode;

use cypressfork_fakes::run;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match run(&words) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}
