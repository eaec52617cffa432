//! `cypressfork diff`: compares files with the configuration in force.

use cypressfork_core::config::Item;
use cypressfork_core::query::{Query, Reply};
use serde::Serialize;

use super::Subcommand;
use crate::context::Context;
use crate::document;
use crate::error::Error;

/// `diff`: shows the changes that applying files would make.
pub const COMMAND: Subcommand = Subcommand {
    name: "diff",
    args: "FILE...",
    about: "show what applying these files would change",
    run,
};

/// The difference of one object.
#[derive(Serialize)]
struct Row {
    what: String,
    name: String,
    change: &'static str,
    lines: Vec<String>,
}

fn run(cx: &Context) -> Result<String, Error> {
    cx.arg(0, "a file to compare")?;
    let items = document::read_items(&cx.args)?;
    let Reply::Config { version, templates, applications } = cx.query(&Query::Config)? else {
        return Err(Error::Unexpected);
    };
    let rows: Vec<Row> = items
        .iter()
        .filter_map(|item| match item {
            Item::Template(t) => {
                diff_row("template", &t.name, templates.iter().find(|o| o.name == t.name), Some(t))
            }
            Item::Application(a) => {
                let old = applications.iter().find(|o| o.name == a.name);
                diff_row("application", &a.name, old, Some(a))
            }
            Item::RemoveTemplate(n) => {
                diff_row("template", n, templates.iter().find(|o| o.name == *n), None)
            }
            Item::RemoveApplication(n) => {
                diff_row("application", n, applications.iter().find(|o| o.name == *n), None)
            }
        })
        .collect();
    Ok(cx.render(&rows, || render(version, &rows)))
}

/// Returns the lines of an object as YAML; none if there is no object.
fn yaml_lines<T: Serialize>(v: Option<&T>) -> Vec<String> {
    let text = v.and_then(|v| serde_yaml_ng::to_string(v).ok()).unwrap_or_default();
    text.lines().map(str::to_owned).collect()
}

/// Compares two versions of an object line by line; returns `None` if they are equal.
fn diff_row<T: Serialize>(what: &str, name: &str, old: Option<&T>, new: Option<&T>) -> Option<Row> {
    let (a, b) = (yaml_lines(old), yaml_lines(new));
    if a == b {
        return None;
    }
    let change = match (old, new) {
        (None, _) => "added",
        (_, None) => "removed",
        _ => "changed",
    };
    let removed = a.iter().filter(|l| !b.contains(l)).map(|l| format!("- {l}"));
    let added = b.iter().filter(|l| !a.contains(l)).map(|l| format!("+ {l}"));
    let lines = removed.chain(added).collect();
    Some(Row { what: what.to_owned(), name: name.to_owned(), change, lines })
}

fn render(version: u64, rows: &[Row]) -> String {
    if rows.is_empty() {
        return format!("nothing differs from version {version}\n");
    }
    let part = |r: &Row| {
        let lines: String = r.lines.iter().map(|l| format!("    {l}\n")).collect();
        format!("{} {} is {}\n{lines}", r.what, r.name, r.change)
    };
    rows.iter().map(part).collect()
}
