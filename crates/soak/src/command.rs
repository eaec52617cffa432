//! The command line of the soak: parses the options, runs the seeds and prints the results.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use getopts::Options as Getopts;

use crate::check::BrokenPromise;
use crate::error::{Error, io};
use crate::fleet::Programs;
use crate::plan::Plan;
use crate::run::{Verdict, execute};

/// Maximum number of broken promises printed per run, and of lines printed per log file.
const MAX_LINES: usize = 12;

/// The parsed options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The first seed.
    pub from: u64,
    /// The number of seeds.
    pub seeds: u64,
    /// The period of a run in which faults occur, in milliseconds.
    pub millis: u64,
    /// The number of concurrent runs.
    pub jobs: u64,
    /// Whether to run the large fleet.
    pub large: bool,
    /// The folder that contains the programs under test.
    pub programs: PathBuf,
    /// The folder for settings, data and logs of runs. Those of runs without a broken promise are deleted.
    pub keep: PathBuf,
}

/// The action that the command line selects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Args {
    /// Run the seeds.
    Run(Options),
    /// Print this text and exit.
    Print(String),
}

/// Parses the arguments, which exclude the program name. Returns a message for the user on invalid options.
pub fn parse_args(argv: &[String]) -> Result<Args, String> {
    let mut o = Getopts::new();
    o.optopt("f", "from", "the first seed (1)", "SEED");
    o.optopt("n", "seeds", "how many seeds (50)", "N");
    o.optopt("s", "seconds", "how long the faults of a run last (10)", "S");
    o.optopt("j", "jobs", "runs at a time (4)", "N");
    o.optopt("p", "programs", "folder of the programs (target/release)", "DIR");
    o.optopt("k", "keep", "folder for the files of runs (target/soak)", "DIR");
    o.optflag("l", "large", "9 control processes and 40 gateways");
    o.optflag("h", "help", "show this help");
    let m = o.parse(argv).map_err(|e| e.to_string())?;
    if m.opt_present("help") {
        let brief = "Plays seeds of faults against the real programs.\n\nUsage: cypressfork-soak";
        return Ok(Args::Print(o.usage(brief)));
    }
    if let Some(extra) = m.free.first() {
        return Err(format!("unexpected argument '{extra}'"));
    }
    let number = |name: &str, default: u64, min: u64, max: u64| {
        let n = m.opt_get_default(name, default).map_err(|_| format!("--{name}: not a number"))?;
        match (min..=max).contains(&n) {
            true => Ok(n),
            false => Err(format!("--{name}: must be from {min} to {max}")),
        }
    };
    let folder = |name: &str, default: &str| {
        PathBuf::from(m.opt_str(name).unwrap_or_else(|| default.to_owned()))
    };
    Ok(Args::Run(Options {
        from: number("from", 1, 0, u64::from(u32::MAX))?,
        seeds: number("seeds", 50, 1, 10_000)?,
        millis: number("seconds", 10, 2, 600)? * 1_000,
        jobs: number("jobs", 4, 1, 16)?,
        large: m.opt_present("large"),
        programs: folder("programs", "target/release"),
        keep: folder("keep", "target/soak"),
    }))
}

/// Runs all seeds and prints the results. Returns a failure if a promise was broken or a run could not be
/// executed.
pub fn run(o: &Options) -> ExitCode {
    let next = AtomicU64::new(o.from);
    let broken = Mutex::new(0);
    let failed = Mutex::new(0);
    thread::scope(|s| {
        for _ in 0..o.jobs {
            s.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= o.from + o.seeds {
                        return;
                    }
                    match run_seed(o, seed) {
                        Ok(v) => *broken.lock().expect("no thread panics") += print_verdict(o, &v),
                        Err(e) => {
                            println!("seed {seed} could not be run: {e}");
                            *failed.lock().expect("no thread panics") += 1;
                        }
                    }
                }
            });
        }
    });
    let (broken, failed): (usize, u64) = (
        broken.into_inner().expect("no thread panics"),
        failed.into_inner().expect("no thread panics"),
    );
    if failed > 0 {
        println!("{failed} seeds could not be run");
    }
    println!("{} seeds, {broken} promises broken", o.seeds - failed);
    if broken + failed as usize > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Runs one seed on a new actor system in the calling thread. Returns the verdict, or an error if the run
/// could not be executed.
pub fn run_seed(o: &Options, seed: u64) -> Result<Verdict, Error> {
    let plan = Plan::draw(seed, o.millis, o.large);
    let dir = std::path::absolute(o.keep.join(format!("seed-{seed}")))
        .map_err(io("resolve the folder of the run"))?;
    if dir.exists() {
        fs::remove_dir_all(&dir).map_err(io("remove the old folder of the run"))?;
    }
    fs::create_dir_all(&dir).map_err(io("create the folder of the run"))?;
    let programs = Programs::in_folder(&o.programs);
    let verdict = actix_rt::System::new().block_on(execute(plan, &programs, &dir))?;
    if verdict.broken.is_empty() {
        fs::remove_dir_all(&dir).map_err(io("remove the folder of the run"))?;
    }
    Ok(verdict)
}

/// Prints the result of a run. Returns the number of broken promises.
fn print_verdict(o: &Options, v: &Verdict) -> usize {
    let (sent, answered) = v.requests;
    let seed = v.plan.seed;
    let n = v.broken.len();
    let mut text = format!(
        "seed {seed}: {} faults, {answered} of {sent} requests answered, {n} promises broken\n",
        v.plan.steps.len()
    );
    if let Some(first) = v.broken.first() {
        v.plan.steps.iter().for_each(|s| text.push_str(&format!("    {s}\n")));
        let series = v.plan.series.iter().enumerate();
        series.for_each(|(n, s)| text.push_str(&format!("    planned stop {n}: {s:?}\n")));
        v.broken.iter().take(MAX_LINES).for_each(|b| text.push_str(&format!("  {b}\n")));
        text.push_str(&log_lines(&v.dir, first));
        let large = if v.plan.size.gateways > 10 { " --large" } else { "" };
        text.push_str(&format!(
            "  reproduce: cypressfork-soak --from {seed} --seeds 1 --seconds {}{large}\n",
            o.millis / 1_000
        ));
    }
    print!("{text}");
    n
}

/// Returns the first log lines that name a request or process that the broken promise is about.
fn log_lines(dir: &Path, b: &BrokenPromise) -> String {
    let mut text = String::new();
    let Ok(files) = fs::read_dir(dir) else { return text };
    for file in files.flatten().filter(|f| f.path().extension().is_some_and(|e| e == "log")) {
        let Ok(log) = fs::read_to_string(file.path()) else { continue };
        let is_related = |l: &&str| b.about.iter().any(|a| l.contains(&format!("\"{a}\"")));
        for l in log.lines().filter(is_related).take(MAX_LINES) {
            text.push_str(&format!("  {}: {l}\n", file.file_name().to_string_lossy()));
        }
    }
    text
}
