//! Errors of subcommands, and their exit statuses.

use cypressfork_core::code::Code;
use cypressfork_core::config::Refusal;
use quick_error::quick_error;

quick_error! {
    /// An error of a subcommand.
    #[derive(Debug)]
    pub enum Error {
        /// The command line is invalid.
        Usage(why: String) {
            display("CF3006: {}", why)
        }
        /// The settings are missing or invalid.
        Settings(err: cypressfork_node::settings::Error) {
            from()
            display("{}", err)
        }
        /// A document or a log file cannot be read.
        Unreadable(path: String, why: String) {
            display("CF3002: could not read {}: {}", path, why)
        }
        /// The control group refused the operation, or is unreachable.
        Control(code: Code) {
            from()
            display("{}", code)
        }
        /// A change of the configuration was refused.
        Refused(r: Refusal) {
            display("CF{}: {}: {}: {} (version {} is in force)",
                r.code.number(), r.code.text(), r.place, r.why, r.version)
        }
        /// The type of the answer does not match the request.
        Unexpected {
            display("CF2303: the control group's answer does not fit the question")
        }
    }
}

/// Returns the exit status for an error: 1 for an unexpected answer, 2 for invalid input and other refusals,
/// 3 for a conflict, 4 if the control group is unreachable, 64 for a usage error and 78 for invalid settings.
pub fn exit_status(e: &Error) -> u8 {
    let status_of_code = |c: &Code| match c.kind() {
        "conflict" => 3,
        "unavailable" => 4,
        _ => 2,
    };
    match e {
        Error::Usage(_) => 64,
        Error::Settings(_) => 78,
        Error::Unreadable(..) => 2,
        Error::Control(c) => status_of_code(c),
        Error::Refused(r) => status_of_code(&r.code),
        Error::Unexpected => 1,
    }
}
