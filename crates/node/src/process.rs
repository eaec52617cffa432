//! Command line, listening sockets and exit status of the daemons.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use cypressfork_core::code::Code;
use getopts::Options;
use nix::sys::resource::{Resource, getrlimit};
use tokio::net::{TcpListener, TcpSocket};

use crate::event::Event;
use crate::{emit, logging};

/// Connections that may wait to be accepted on a listening socket.
const BACKLOG: u32 = 4_096;

/// Limit on open files where the system tells none.
const DEFAULT_MAX_FILES: u64 = 1_024;

/// Why a process cannot start or continue: the result code and the message for standard error.
pub type Failure = (Code, String);

/// A daemon's parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Args {
    /// Run with this settings file.
    Serve(PathBuf),
    /// Check this settings file and exit.
    Check(PathBuf),
    /// Print this text (help or version) and exit.
    Print(String),
}

/// Returns how many files this process may have open.
pub fn max_open_files() -> u64 {
    // Every system that this runs on has the limit.
    getrlimit(Resource::RLIMIT_NOFILE).map_or(DEFAULT_MAX_FILES, |(soft, _)| soft)
}

/// Parses a daemon's command line. `about` is the first line of the help text.
pub fn parse_args(program: &str, about: &str, args: &[String]) -> Result<Args, String> {
    let mut o = Options::new();
    o.optopt("s", "settings", "settings file in YAML", "FILE");
    o.optflag("", "check", "check the settings file and exit");
    o.optflag("h", "help", "show this help");
    o.optflag("V", "version", "show the version");
    let m = o.parse(args).map_err(|e| e.to_string())?;
    if m.opt_present("help") {
        let header = format!("{about}\n\nUsage: {program} --settings FILE [--check]");
        return Ok(Args::Print(o.usage(&header)));
    }
    if m.opt_present("version") {
        return Ok(Args::Print(format!("{program} {}", env!("CARGO_PKG_VERSION"))));
    }
    if let Some(extra) = m.free.first() {
        return Err(format!("unexpected argument '{extra}'"));
    }
    let file = m.opt_str("settings").ok_or("--settings FILE is missing")?.into();
    Ok(if m.opt_present("check") { Args::Check(file) } else { Args::Serve(file) })
}

/// Runs a daemon: parses the command line, loads the settings with `load`, and calls `run` unless
/// `--check` was given. `run` also gets the path of the settings file, so that it can reload it.
/// Returns the exit status of the process.
pub fn run_daemon<S, R>(
    program: &str,
    about: &str,
    load: impl FnOnce(&Path) -> Result<S, Failure>,
    run: impl FnOnce(S, PathBuf) -> R,
) -> ExitCode
where
    R: Future<Output = Result<(), Failure>>,
{
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (check, file) = match parse_args(program, about, &args) {
        Ok(Args::Print(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Ok(Args::Check(file)) => (true, file),
        Ok(Args::Serve(file)) => (false, file),
        Err(e) => return fail(&(Code::UsageBad, format!("CF3006: {e}"))),
    };
    let result = load(&file)
        .and_then(|s| if check { Ok(()) } else { actix_rt::System::new().block_on(run(s, file)) });
    let code = result.map_or_else(|f| fail(&f), |()| ExitCode::SUCCESS);
    logging::flush();
    code
}

/// Exit status for an invalid command line (`EX_USAGE`).
pub const EXIT_USAGE: u8 = 64;

/// Exit status for invalid settings (`EX_CONFIG`).
pub const EXIT_SETTINGS: u8 = 78;

/// Exit status for any other failure.
pub const EXIT_FAILED: u8 = 1;

/// Returns the exit status for a result code.
pub fn exit_status(code: Code) -> u8 {
    match code.number() {
        3006 => EXIT_USAGE,
        3001..=3004 => EXIT_SETTINGS,
        _ => EXIT_FAILED,
    }
}

/// Prints a failure to standard error, logs it, and returns the exit status.
pub fn fail((code, message): &Failure) -> ExitCode {
    eprintln!("{message}");
    emit!(Event::StartFailed, code = code.number(), why = message);
    ExitCode::from(exit_status(*code))
}

/// Binds a listening socket to an address.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, Failure> {
    bind(address)
        .map_err(|e| (Code::AddressTaken, format!("CF3005: could not listen on {address}: {e}")))
}

/// Binds a listening socket with room for many connections that are not accepted yet: beyond that, the system drops
/// them, and they come again after a second.
///
/// # Errors
/// Fails if the address cannot be listened on.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
