//! The context of a subcommand: its arguments, the settings, and access to the control group.

use std::path::Path;
use std::time::Duration;

use cypressfork_core::command::{Answer, Command};
use cypressfork_core::query::{Query, Reply};
use cypressfork_node::group::GroupClient;
use cypressfork_node::link::Credentials;
use cypressfork_node::settings::load;
use getopts::Matches;
use serde::Serialize;

use crate::error::Error;
use crate::settings::{File, Settings};

/// Timeout of one operation.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Path of the settings file if `--settings` is not given.
const DEFAULT_SETTINGS_PATH: &str = "cypressfork.yaml";

/// The parsed command line of a subcommand.
pub struct Context {
    /// The parsed options.
    pub options: Matches,
    /// The positional arguments after the name of the subcommand.
    pub args: Vec<String>,
}

impl Context {
    /// Returns positional argument `n`, or a usage error: "`what` is missing".
    pub fn arg(&self, n: usize, what: &str) -> Result<&str, Error> {
        let missing = || Error::Usage(format!("{what} is missing"));
        self.args.get(n).map(String::as_str).ok_or_else(missing)
    }

    /// Returns positional argument `n` as a number; underscores between digits are ignored.
    ///
    /// Fails with a usage error if the argument is missing or not a whole number.
    pub fn number_arg(&self, n: usize, what: &str) -> Result<u64, Error> {
        let arg = self.arg(n, what)?;
        let bad = |_| Error::Usage(format!("{what} cannot be '{arg}': take a whole number"));
        arg.replace('_', "").parse().map_err(bad)
    }

    /// Loads and checks the settings file.
    pub fn settings(&self) -> Result<Settings, Error> {
        let path =
            self.options.opt_str("settings").unwrap_or_else(|| DEFAULT_SETTINGS_PATH.to_owned());
        Ok(load::<File>(Path::new(&path))?)
    }

    /// Returns the idempotency key of the operation: the value of `--op` to resend an earlier operation, else a
    /// new random id.
    pub fn operation_id(&self) -> String {
        self.options.opt_str("op").unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()))
    }

    /// Returns the credentials with which the operator authenticates to control processes.
    pub fn credentials(&self) -> Result<Credentials, Error> {
        let s = self.settings()?;
        Ok(Credentials { key: s.key, cluster: s.cluster, name: s.operator })
    }

    /// Returns a client of the control group in the settings.
    pub fn group(&self) -> Result<GroupClient, Error> {
        Ok(GroupClient::new(self.credentials()?, self.settings()?.control))
    }

    /// Commits a command through the control group and returns its answer; a refusal becomes an error.
    pub fn command(&self, c: &Command) -> Result<Answer, Error> {
        let group = self.group()?;
        let answer = actix_rt::System::new().block_on(group.command(c, TIMEOUT))?;
        match answer {
            Answer::Refused(code) => Err(code.into()),
            a => Ok(a),
        }
    }

    /// Sends a query to the control group and returns the reply.
    pub fn query(&self, q: &Query) -> Result<Reply, Error> {
        let group = self.group()?;
        Ok(actix_rt::System::new().block_on(group.query(q, TIMEOUT))?)
    }

    /// Returns the output of a subcommand: `v` as JSON if `--json` is given, else `text`.
    pub fn render<T: Serialize>(&self, v: &T, text: impl FnOnce() -> String) -> String {
        if !self.options.opt_present("json") {
            return text();
        }
        serde_json::to_string_pretty(v).map_or_else(|e| e.to_string(), |s| s + "\n")
    }
}
