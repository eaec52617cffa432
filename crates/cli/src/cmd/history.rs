//! `cypressfork history` and `cypressfork rollback`: past versions of the configuration.

use cypressfork_core::config::{Entry, Item};
use cypressfork_core::query::{Query, Reply};

use super::Subcommand;
use super::apply::submit;
use crate::context::Context;
use crate::error::Error;
use crate::table::table;

/// Maximum number of changes shown.
const MAX_ENTRIES: usize = 30;

/// `history`: shows the latest accepted changes.
pub const COMMAND: Subcommand =
    Subcommand { name: "history", args: "", about: "show the accepted changes", run };

/// `rollback`: submits the content of an earlier version as a new version.
pub const ROLLBACK: Subcommand = Subcommand {
    name: "rollback",
    args: "VERSION",
    about: "make a new version with the content of an earlier one",
    run: rollback,
};

fn run(cx: &Context) -> Result<String, Error> {
    let Reply::History(entries) = cx.query(&Query::History(MAX_ENTRIES))? else {
        return Err(Error::Unexpected);
    };
    Ok(cx.render(&entries, || render(&entries)))
}

fn render(entries: &[Entry]) -> String {
    let row = |e: &Entry| {
        let items: Vec<_> = e.change.items.iter().map(describe).collect();
        let (version, at) = (e.version.to_string(), e.at.0.to_string());
        [version, at, e.change.by.clone(), e.change.op.clone(), items.join(", ")]
    };
    let rows: Vec<_> = entries.iter().map(row).collect();
    table(["VERSION", "AT (MS)", "BY", "OPERATION", "CHANGES"], &rows)
}

fn describe(i: &Item) -> String {
    match i {
        Item::Template(t) => format!("template {}", t.name),
        Item::Application(a) => format!("application {}", a.name),
        Item::RemoveTemplate(n) => format!("no template {n}"),
        Item::RemoveApplication(n) => format!("no application {n}"),
    }
}

fn rollback(cx: &Context) -> Result<String, Error> {
    let version = cx.number_arg(0, "the version to go back to")?;
    match cx.query(&Query::BackTo(version))? {
        Reply::Items(_, Some(items)) => submit(cx, items),
        Reply::Items(now, None) => {
            let why = format!("the history does not reach from version {now} back to {version}");
            Err(Error::Usage(why))
        }
        _ => Err(Error::Unexpected),
    }
}
