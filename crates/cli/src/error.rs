//! Why a subcommand failed, and its exit status.

use cypressfork_core::code::Code;
use cypressfork_core::config::Refusal;
use quick_error::quick_error;

quick_error! {
    /// Why a subcommand failed.
    #[derive(Debug)]
    pub enum Error {
        /// The command line cannot be understood.
        Usage(why: String) {
            display("CF3006: {}", why)
        }
        /// The settings cannot be used.
        Settings(err: cypressfork_node::settings::Error) {
            from()
            display("{}", err)
        }
        /// A document cannot be read.
        Document(path: String, why: String) {
            display("CF3002: could not read {}: {}", path, why)
        }
        /// The control group refused, or is out of reach.
        Control(code: Code) {
            from()
            display("{}", code)
        }
        /// A change was refused.
        Refused(r: Refusal) {
            display("CF{}: {}: {}: {} (version {} is in force)",
                r.code.number(), r.code.text(), r.place, r.why, r.version)
        }
        /// The answer is not one to the question.
        Unexpected {
            display("CF2303: the control group's answer does not fit the question")
        }
    }
}

/// The exit status: 2 for what is invalid, 3 for a conflict, 4 for what is out of reach, 64 for
/// a command line and 78 for settings that cannot be used.
pub fn exit_status(e: &Error) -> u8 {
    let by_kind = |c: &Code| match c.kind() {
        "conflict" => 3,
        "unavailable" => 4,
        _ => 2,
    };
    match e {
        Error::Usage(_) => 64,
        Error::Settings(_) => 78,
        Error::Document(..) => 2,
        Error::Control(c) => by_kind(c),
        Error::Refused(r) => by_kind(&r.code),
        Error::Unexpected => 1,
    }
}
