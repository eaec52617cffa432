//! The subcommands, one file each, and the entry point that dispatches to them.

mod apply;
mod bill;
mod budget;
mod diff;
mod evacuate;
mod history;
mod init;
mod key;
mod limits;
mod member;
mod quarantine;
mod rollout;
mod shell;
mod status;
mod trace;

use getopts::{Options, ParsingStyle};

use crate::context::Context;
use crate::error::Error;

/// A subcommand: its name, its help text and the function that runs it.
pub struct Subcommand {
    /// Name on the command line.
    pub name: &'static str,
    /// Synopsis of its positional arguments.
    pub args: &'static str,
    /// Description in one line, for the help text.
    pub about: &'static str,
    run: fn(&Context) -> Result<String, Error>,
}

/// All subcommands, in the order of the help text.
pub const ALL: &[Subcommand] = &[
    init::COMMAND,
    apply::CHECK,
    apply::COMMAND,
    diff::COMMAND,
    history::COMMAND,
    history::ROLLBACK,
    status::COMMAND,
    budget::BUDGETS,
    budget::LEASES,
    budget::TOP_UP,
    budget::RELEASE,
    bill::COMMAND,
    member::COMMAND,
    evacuate::COMMAND,
    quarantine::COMMAND,
    rollout::COMMAND,
    limits::COMMAND,
    key::COMMAND,
    trace::COMMAND,
    shell::COMPLETIONS,
    shell::MANUAL,
];

fn options() -> Options {
    let mut o = Options::new();
    o.parsing_style(ParsingStyle::FloatingFrees);
    o.optopt("s", "settings", "settings file (cypressfork.yaml)", "FILE");
    o.optflag("", "json", "answer in JSON");
    o.optopt("", "op", "id of the operation, to send it again", "ID");
    o.optopt("", "base", "version that the change was made from", "VERSION");
    o.optflag("h", "help", "show this help");
    o.optflag("V", "version", "show the version");
    o
}

fn help() -> String {
    let line =
        |c: &Subcommand| format!("    {:<32} {}\n", format!("{} {}", c.name, c.args), c.about);
    let commands: String = ALL.iter().map(line).collect();
    let brief = format!(
        "Operates a cypressfork fleet.\n\nUsage: cypressfork SUBCOMMAND [WORDS] [OPTIONS]\n\nSubcommands:\n{commands}"
    );
    options().usage(&brief)
}

/// Parses the command-line arguments and runs the subcommand. `args` has no program name. Returns the output
/// to print.
pub fn run(args: &[String]) -> Result<String, Error> {
    let options = options().parse(args).map_err(|e| Error::Usage(e.to_string()))?;
    if options.opt_present("version") {
        return Ok(format!("cypressfork {}\n", env!("CARGO_PKG_VERSION")));
    }
    let Some((name, rest)) = options.free.split_first().filter(|_| !options.opt_present("help"))
    else {
        return Ok(help());
    };
    let unknown = || Error::Usage(format!("there is no subcommand '{name}': see --help"));
    let command = ALL.iter().find(|c| c.name == name).ok_or_else(unknown)?;
    let args = rest.to_vec();
    (command.run)(&Context { options, args })
}
