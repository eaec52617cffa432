//! What every subcommand gets: its words, the settings, and the control group.

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

/// How long an operation may take.
const WITHIN: Duration = Duration::from_secs(10);

/// Where the settings are, unless `--settings` says otherwise.
const SETTINGS: &str = "cypressfork.yaml";

/// What a subcommand gets.
pub struct Context {
    /// The options.
    pub options: Matches,
    /// The words after the subcommand.
    pub words: Vec<String>,
}

impl Context {
    /// Word `n`, or an error that says what is missing.
    pub fn word(&self, n: usize, what: &str) -> Result<&str, Error> {
        let missing = || Error::Usage(format!("{what} is missing"));
        self.words.get(n).map(String::as_str).ok_or_else(missing)
    }

    /// Word `n` as a number.
    pub fn number(&self, n: usize, what: &str) -> Result<u64, Error> {
        let word = self.word(n, what)?;
        let bad = |_| Error::Usage(format!("{what} cannot be '{word}': take a whole number"));
        word.replace('_', "").parse().map_err(bad)
    }

    /// The settings.
    pub fn settings(&self) -> Result<Settings, Error> {
        let path = self.options.opt_str("settings").unwrap_or_else(|| SETTINGS.to_owned());
        Ok(load::<File>(Path::new(&path))?)
    }

    /// The operation's id: given for a resend, or drawn.
    pub fn op(&self) -> String {
        self.options.opt_str("op").unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()))
    }

    /// Who the operator is on links.
    pub fn credentials(&self) -> Result<Credentials, Error> {
        let s = self.settings()?;
        Ok(Credentials { key: s.key, cluster: s.cluster, name: s.operator })
    }

    /// The control group.
    pub fn group(&self) -> Result<GroupClient, Error> {
        Ok(GroupClient::new(self.credentials()?, self.settings()?.control))
    }

    /// Has a command committed.
    pub fn command(&self, c: &Command) -> Result<Answer, Error> {
        let group = self.group()?;
        let answer = actix_rt::System::new().block_on(group.command(c, WITHIN))?;
        match answer {
            Answer::Refused(code) => Err(code.into()),
            a => Ok(a),
        }
    }

    /// Has a query answered.
    pub fn query(&self, q: &Query) -> Result<Reply, Error> {
        let group = self.group()?;
        Ok(actix_rt::System::new().block_on(group.query(q, WITHIN))?)
    }

    /// `v` as JSON if `--json` was given, else `text`.
    pub fn show<T: Serialize>(&self, v: &T, text: impl FnOnce() -> String) -> String {
        if !self.options.opt_present("json") {
            return text();
        }
        serde_json::to_string_pretty(v).map_or_else(|e| e.to_string(), |s| s + "\n")
    }
}
