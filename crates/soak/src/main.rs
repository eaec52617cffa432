//! `cypressfork-soak`: runs the real programs under faults drawn from seeds.

use std::process::ExitCode;

use cypressfork_soak::command::{Args, parse_args, run};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match parse_args(&arguments) {
        Ok(Args::Run(options)) => run(&options),
        Ok(Args::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("cypressfork-soak: {e}");
            ExitCode::from(64)
        }
    }
}
