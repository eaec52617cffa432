//! `cypressfork history` and `cypressfork rollback`.

use cypressfork_core::config::{Entry, Item};
use cypressfork_core::query::{Query, Reply};

use super::Subcommand;
use super::apply::submit;
use crate::context::Context;
use crate::error::Error;
use crate::table::table;

/// Changes that are shown.
const SHOWN: usize = 30;

/// The subcommand that shows the accepted changes.
pub const COMMAND: Subcommand =
    Subcommand { name: "history", takes: "", about: "show the accepted changes", run };

/// The subcommand that goes back to an earlier version, as a new one.
pub const ROLLBACK: Subcommand = Subcommand {
    name: "rollback",
    takes: "VERSION",
    about: "make a new version with the content of an earlier one",
    run: rollback,
};

fn run(cx: &Context) -> Result<String, Error> {
    let Reply::History(entries) = cx.query(&Query::History(SHOWN))? else {
        return Err(Error::Unexpected);
    };
    Ok(cx.show(&entries, || text(&entries)))
}

fn text(entries: &[Entry]) -> String {
    let row = |e: &Entry| {
        let items: Vec<_> = e.change.items.iter().map(item).collect();
        let (version, at) = (e.version.to_string(), e.at.0.to_string());
        [version, at, e.change.by.clone(), e.change.op.clone(), items.join(", ")]
    };
    let rows: Vec<_> = entries.iter().map(row).collect();
    table(["VERSION", "AT (MS)", "BY", "OPERATION", "CHANGES"], &rows)
}

fn item(i: &Item) -> String {
    match i {
        Item::Template(t) => format!("template {}", t.name),
        Item::Application(a) => format!("application {}", a.name),
        Item::RemoveTemplate(n) => format!("no template {n}"),
        Item::RemoveApplication(n) => format!("no application {n}"),
    }
}

fn rollback(cx: &Context) -> Result<String, Error> {
    let version = cx.number(0, "the version to go back to")?;
    match cx.query(&Query::BackTo(version))? {
        Reply::Items(_, Some(items)) => submit(cx, items),
        Reply::Items(now, None) => {
            let why = format!("the history does not reach from version {now} back to {version}");
            Err(Error::Usage(why))
        }
        _ => Err(Error::Unexpected),
    }
}
