//! `cypressfork-soak`: plays seeds of faults against the real programs.

use std::process::ExitCode;

use cypressfork_soak::command::{Args, args, run};

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match args(&words) {
        Ok(Args::Run(options)) => run(&options),
        Ok(Args::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("cypressfork-soak: {why}");
            ExitCode::from(64)
        }
    }
}
