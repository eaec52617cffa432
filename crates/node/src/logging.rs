//! Logging to standard output, as text or as JSON.

use std::io::Write;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use env_logger::{Builder, Target};
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde::Deserialize;

use crate::emit;
use crate::event::Event;
use crate::lines::{LineCounts, LineWriter, MAX_QUEUED_LINES};
use crate::time::unix_time;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// `time LEVEL CFEnnn text key=value`.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Key-value pairs of a record; the event number is kept apart.
struct Fields {
    event: Option<String>,
    others: Vec<(String, String)>,
}

impl<'k> VisitSource<'k> for Fields {
    fn visit_pair(&mut self, key: Key<'k>, value: Value<'k>) -> Result<(), Error> {
        match key.as_str() {
            "event" => self.event = Some(value.to_string()),
            k => self.others.push((k.to_owned(), value.to_string())),
        }
        Ok(())
    }
}

fn collect_fields(r: &Record) -> Fields {
    let mut f = Fields { event: None, others: Vec::new() };
    // `visit_pair` never fails.
    let _ = r.key_values().visit(&mut f);
    f
}

fn format_text(r: &Record) -> String {
    let f = collect_fields(r);
    let event = f.event.map(|n| format!(" CFE{n}")).unwrap_or_default();
    let others: String = f.others.iter().map(|(k, v)| format!(" {k}={v}")).collect();
    format!("{} {}{event} {}{others}", unix_time().0, r.level(), r.args())
}

fn format_json(r: &Record) -> String {
    let f = collect_fields(r);
    let quote = |s: &str| {
        let escaped: String = s.chars().map(escape_json).collect();
        format!("\"{escaped}\"")
    };
    let mut out = format!("{{\"ms\":{},\"level\":\"{}\"", unix_time().0, r.level());
    if let Some(n) = f.event {
        out += &format!(",\"event\":{n}");
    }
    out += &format!(",\"text\":{}", quote(&r.args().to_string()));
    for (k, v) in &f.others {
        out += &format!(",{}:{}", quote(k), quote(v));
    }
    out + "}"
}

fn escape_json(c: char) -> String {
    match c {
        '"' => "\\\"".to_owned(),
        '\\' => "\\\\".to_owned(),
        c if c < ' ' => format!("\\u{:04x}", c as u32),
        c => c.to_string(),
    }
}

/// Line counts of the log writer, set by [`start`].
static COUNTS: OnceLock<Arc<LineCounts>> = OnceLock::new();

/// Maximum wait for queued lines when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Waits until the queued lines are written, at most 300 ms.
pub fn flush() {
    if let Some(counts) = COUNTS.get() {
        counts.wait_written(FLUSH_TIMEOUT);
    }
}

/// Starts logging to standard output without blocking the caller, and logs panics as events. The
/// environment variable `RUST_LOG` overrides `level`.
pub fn start(level: LevelFilter, format: LogFormat) {
    let mut b = Builder::new();
    b.filter_level(LevelFilter::Warn).filter_module("cypressfork", level).parse_default_env();
    let lines = LineWriter::new(std::io::stdout(), MAX_QUEUED_LINES);
    // Both calls fail harmlessly if a test has already started logging.
    let _ = COUNTS.set(lines.counts());
    b.target(Target::Pipe(Box::new(lines)));
    b.format(move |out, r| match format {
        LogFormat::Text => writeln!(out, "{}", format_text(r)),
        LogFormat::Json => writeln!(out, "{}", format_json(r)),
    });
    let _ = b.try_init();
    // A panic ends only its task, so nothing else would report it.
    std::panic::set_hook(Box::new(|panic| {
        let location = panic.location().map(ToString::to_string).unwrap_or_default();
        let formatted = panic.payload().downcast_ref::<String>().map(String::as_str);
        let literal = panic.payload().downcast_ref::<&str>().copied();
        let message = formatted.or(literal).unwrap_or_default();
        emit!(Event::Panicked, place = location, why = message);
    }));
}
