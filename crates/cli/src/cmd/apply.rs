//! `cypressfork apply` and `cypressfork check`.

use cypressfork_core::command::{Answer, Command};
use cypressfork_core::config::{Change, Config, Item};
use cypressfork_core::query::{Query, Reply};
use cypressfork_core::unit::{Time, Version};
use serde_json::json;

use super::Subcommand;
use crate::context::Context;
use crate::document;
use crate::error::Error;

/// `apply`: changes the configuration.
pub const COMMAND: Subcommand = Subcommand {
    name: "apply",
    args: "FILE...",
    about: "change the configuration, all files together or not at all",
    run,
};

/// `check`: validates files without contacting the control group.
pub const CHECK: Subcommand = Subcommand {
    name: "check",
    args: "FILE...",
    about: "check files by themselves, without the control group",
    run: check,
};

fn run(cx: &Context) -> Result<String, Error> {
    cx.arg(0, "a file to apply")?;
    let items = document::read_items(&cx.args)?;
    submit(cx, items)
}

fn check(cx: &Context) -> Result<String, Error> {
    cx.arg(0, "a file to check")?;
    let items = document::read_items(&cx.args)?;
    let change = Change { op: "check".into(), base: 0, by: "check".into(), items };
    let checked = Config::default().apply(Time(0), &change, |_| 0).map_err(Error::Refused);
    checked.map(|_| "the files are valid together\n".to_owned())
}

/// Returns the version of the configuration in force.
pub fn current_version(cx: &Context) -> Result<Version, Error> {
    match cx.query(&Query::Config)? {
        Reply::Config { version, .. } => Ok(version),
        _ => Err(Error::Unexpected),
    }
}

/// Submits a change based on the version in `--base`, or else on the version in force, and returns the output.
///
/// Fails if the control group refuses the change, for example because of a conflict with a newer version.
pub fn submit(cx: &Context, items: Vec<Item>) -> Result<String, Error> {
    let base = match cx.options.opt_get::<Version>("base") {
        Ok(Some(v)) => v,
        Ok(None) => current_version(cx)?,
        Err(_) => return Err(Error::Usage("--base must be a version's number".into())),
    };
    let (op, by) = (cx.operation_id(), cx.settings()?.operator);
    let change = Change { op: op.clone(), base, by, items };
    match cx.command(&Command::Apply(change))? {
        Answer::Applied(Ok(version)) => {
            let text = || format!("version {version} is accepted (operation {op})\n");
            Ok(cx.render(&json!({ "version": version, "op": op }), text))
        }
        Answer::Applied(Err(r)) => Err(Error::Refused(r)),
        _ => Err(Error::Unexpected),
    }
}
