//! `cypressfork trace`: collects the lines about one request from the logs of several processes.

use std::collections::VecDeque;
use std::fs::File;
use std::io::{BufRead, BufReader};

use serde::Serialize;

use super::Subcommand;
use crate::context::Context;
use crate::error::Error;
use crate::line::Line;

/// `trace`: shows the log lines of a request, and the state of its processes just before it.
pub const COMMAND: Subcommand = Subcommand {
    name: "trace",
    args: "REQUEST-ID LOG...",
    about: "show what logs say of a request, and of its processes just before",
    run,
};

/// Events of single requests. Those of other requests are left out of the context lines.
const REQUEST_EVENTS: [u16; 6] = [405, 407, 408, 415, 419, 420];

/// Maximum number of context lines: lines of a log just before the first line of the request.
const MAX_CONTEXT_LINES: usize = 8;

/// Maximum age of a context line at the first line of the request, in milliseconds.
const MAX_CONTEXT_AGE_MS: u64 = 15_000;

/// A line of the output. Rows are sorted by the order of the fields.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
struct Row {
    ms: u64,
    log: String,
    /// Whether the line names the request; context lines do not.
    own: bool,
    line: String,
}

fn run(cx: &Context) -> Result<String, Error> {
    let id = cx.arg(0, "the request's id")?;
    cx.arg(1, "a log to read")?;
    let mut rows = Vec::new();
    for log in &cx.args[1..] {
        rows.extend(read_rows(log, id)?);
    }
    if rows.is_empty() {
        return Err(Error::Usage(format!("no log names the request '{id}'")));
    }
    // The order across processes is only as exact as their clocks.
    rows.sort();
    Ok(cx.render(&rows, || render(&rows)))
}

/// Returns the lines of one log that name the request `id`, and the context lines before the first of them.
/// Reads the log line by line, as it may be larger than memory.
fn read_rows(log: &str, id: &str) -> Result<Vec<Row>, Error> {
    let failed = |e: std::io::Error| Error::Unreadable(log.to_owned(), e.to_string());
    let mut rows: Vec<Row> = Vec::new();
    let mut context: VecDeque<Line> = VecDeque::new();
    for bytes in BufReader::new(File::open(log).map_err(failed)?).split(b'\n') {
        let bytes = bytes.map_err(failed)?;
        let Some(line) = Line::parse(String::from_utf8_lossy(&bytes).trim_end()) else { continue };
        let row = |l: Line, own| Row { ms: l.ms, log: log.to_owned(), own, line: l.text };
        if line.mentions(id) {
            if rows.is_empty() {
                let recent = context.drain(..).filter(|l| l.ms + MAX_CONTEXT_AGE_MS >= line.ms);
                rows.extend(recent.map(|l| row(l, false)));
            }
            rows.push(row(line, true));
        } else if rows.is_empty() && !line.event.is_some_and(|e| REQUEST_EVENTS.contains(&e)) {
            context.push_back(line);
            if context.len() > MAX_CONTEXT_LINES {
                context.pop_front();
            }
        }
    }
    Ok(rows)
}

/// Formats the rows; an asterisk marks lines that name the request.
fn render(rows: &[Row]) -> String {
    let mark = |r: &Row| if r.own { '*' } else { ' ' };
    rows.iter().map(|r| format!("{} {}: {}\n", mark(r), r.log, r.line)).collect()
}
