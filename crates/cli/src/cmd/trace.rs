//! `cypressfork trace`: what the logs of many processes say of one request.

use std::collections::VecDeque;
use std::fs::File;
use std::io::{BufRead, BufReader};

use serde::Serialize;

use super::Subcommand;
use crate::context::Context;
use crate::error::Error;
use crate::line::Line;

/// The subcommand.
pub const COMMAND: Subcommand = Subcommand {
    name: "trace",
    takes: "REQUEST-ID LOG...",
    about: "show what logs say of a request, and of its processes just before",
    run,
};

/// Events of single requests: those of others explain nothing.
const OF_REQUESTS: [u16; 6] = [405, 407, 408, 415, 419, 420];

/// Lines of a process's own state that are shown from before a request's first line.
const BEFORE: usize = 8;

/// How long before it they may be, in milliseconds.
const BEFORE_MS: u64 = 15_000;

/// A line that is shown.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
struct Row {
    ms: u64,
    log: String,
    /// It names the request.
    own: bool,
    line: String,
}

fn run(cx: &Context) -> Result<String, Error> {
    let id = cx.word(0, "the request's id")?;
    cx.word(1, "a log to read")?;
    let mut rows = Vec::new();
    for log in &cx.words[1..] {
        rows.extend(read(log, id)?);
    }
    if rows.is_empty() {
        return Err(Error::Usage(format!("no log names the request '{id}'")));
    }
    // Logs of different processes are put in order by their clocks, which may differ a little.
    rows.sort();
    Ok(cx.show(&rows, || text(&rows)))
}

/// The rows of one log; it may be larger than memory.
fn read(log: &str, id: &str) -> Result<Vec<Row>, Error> {
    let failed = |e: std::io::Error| Error::Document(log.to_owned(), e.to_string());
    let mut rows: Vec<Row> = Vec::new();
    let mut before: VecDeque<Line> = VecDeque::new();
    for bytes in BufReader::new(File::open(log).map_err(failed)?).split(b'\n') {
        let bytes = bytes.map_err(failed)?;
        let Some(line) = Line::read(String::from_utf8_lossy(&bytes).trim_end()) else { continue };
        let row = |l: Line, own| Row { ms: l.ms, log: log.to_owned(), own, line: l.text };
        if line.names(id) {
            if rows.is_empty() {
                let recent = before.drain(..).filter(|l| l.ms + BEFORE_MS >= line.ms);
                rows.extend(recent.map(|l| row(l, false)));
            }
            rows.push(row(line, true));
        } else if rows.is_empty() && !line.event.is_some_and(|e| OF_REQUESTS.contains(&e)) {
            before.push_back(line);
            if before.len() > BEFORE {
                before.pop_front();
            }
        }
    }
    Ok(rows)
}

/// Lines that name the request are marked.
fn text(rows: &[Row]) -> String {
    let mark = |r: &Row| if r.own { '*' } else { ' ' };
    rows.iter().map(|r| format!("{} {}: {}\n", mark(r), r.log, r.line)).collect()
}
