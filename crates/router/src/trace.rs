//! Traces: W3C context in and out, a span for each hop, one OTLP JSON line for each request.

use std::cell::RefCell;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

/// Lines that may wait for the disk; more are dropped, so that a slow disk delays no request.
const LINES: usize = 1024;

/// Writes the lines of finished traces to a file, on a thread of its own.
#[derive(Clone)]
pub struct Exporter {
    tx: SyncSender<String>,
    vm: Rc<str>,
}

fn write_all(file: File, rx: &Receiver<String>) -> io::Result<()> {
    let mut out = BufWriter::new(file);
    while let Ok(line) = rx.recv() {
        writeln!(out, "{line}")?;
        // Whatever waits is written before the buffer is emptied.
        while let Ok(line) = rx.try_recv() {
            writeln!(out, "{line}")?;
        }
        out.flush()?;
    }
    Ok(())
}

impl Exporter {
    /// Appends to the file at `path`.
    pub fn open(path: &Path, vm: &str) -> io::Result<Exporter> {
        let file = File::options().create(true).append(true).open(path)?;
        let (tx, rx) = sync_channel(LINES);
        // A file that fails ends the thread; lines are dropped from then on.
        thread::Builder::new().name("traces".into()).spawn(move || write_all(file, &rx))?;
        Ok(Exporter { tx, vm: vm.into() })
    }
}

/// The context that a caller sent: its trace and the span that is the request's parent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Parent {
    trace: u128,
    span: u64,
}

/// Reads a `traceparent` header; one that cannot be understood counts as none.
fn parse(header: &str) -> Option<Parent> {
    let mut parts = header.split('-');
    let (version, trace, span) = (parts.next()?, parts.next()?, parts.next()?);
    if version.len() != 2 || trace.len() != 32 || span.len() != 16 {
        return None;
    }
    let p = Parent {
        trace: u128::from_str_radix(trace, 16).ok()?,
        span: u64::from_str_radix(span, 16).ok()?,
    };
    (p.trace != 0 && p.span != 0).then_some(p)
}

struct Finished {
    name: &'static str,
    id: u64,
    parent: u64,
    begin: u64,
    end: u64,
    note: String,
}

/// One request's trace. It is exported when the last part that works on the request drops it.
pub struct Trace {
    exporter: Option<Exporter>,
    trace: u128,
    parent: Option<u64>,
    root: u64,
    begin: Instant,
    /// The beginning, in nanoseconds since 1970.
    epoch: u64,
    spans: RefCell<Vec<Finished>>,
}

/// A hop under way; it ends when dropped.
pub struct Span {
    trace: Rc<Trace>,
    name: &'static str,
    id: u64,
    begin: u64,
    note: String,
}

impl Trace {
    /// Begins a request's trace, under the caller's context if it sent one.
    pub fn begin(exporter: Option<Exporter>, traceparent: Option<&str>) -> Rc<Trace> {
        let parent = traceparent.and_then(parse);
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Rc::new(Trace {
            exporter,
            trace: parent.map_or_else(rand::random, |p| p.trace),
            parent: parent.map(|p| p.span),
            root: rand::random::<u64>() | 1,
            begin: Instant::now(),
            epoch: since.as_nanos() as u64,
            spans: RefCell::default(),
        })
    }

    fn now(&self) -> u64 {
        self.epoch + self.begin.elapsed().as_nanos() as u64
    }

    /// Begins a hop.
    pub fn span(self: &Rc<Self>, name: &'static str) -> Span {
        let (id, begin) = (rand::random::<u64>() | 1, self.now());
        Span { trace: self.clone(), name, id, begin, note: String::new() }
    }

    fn line(&self, vm: &str) -> Value {
        let root = Finished {
            name: "request",
            id: self.root,
            parent: self.parent.unwrap_or(0),
            begin: self.epoch,
            end: self.now(),
            note: String::new(),
        };
        let spans: Vec<Value> =
            self.spans.borrow().iter().chain([&root]).map(|s| self.json(s)).collect();
        let service = |k: &str, v: &str| json!({ "key": k, "value": { "stringValue": v } });
        json!({ "resourceSpans": [{
            "resource": { "attributes": [
                service("service.name", "cypressfork-router"),
                service("host.name", vm),
            ] },
            "scopeSpans": [{ "scope": { "name": "cypressfork" }, "spans": spans }],
        }] })
    }

    fn json(&self, s: &Finished) -> Value {
        let mut v = json!({
            "traceId": format!("{:032x}", self.trace),
            "spanId": format!("{:016x}", s.id),
            "name": s.name,
            "kind": 1,
            "startTimeUnixNano": s.begin.to_string(),
            "endTimeUnixNano": s.end.to_string(),
        });
        if s.parent != 0 {
            v["parentSpanId"] = format!("{:016x}", s.parent).into();
        }
        if !s.note.is_empty() {
            v["attributes"] = json!([{ "key": "note", "value": { "stringValue": s.note } }]);
        }
        v
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        if let Some(e) = &self.exporter {
            // A queue that is full drops the line.
            let _ = e.tx.try_send(self.line(&e.vm).to_string());
        }
    }
}

impl Span {
    /// Adds a word on what came of it.
    pub fn note(&mut self, text: impl Into<String>) {
        self.note = text.into();
    }

    /// The context for whoever is asked in this hop.
    pub fn traceparent(&self) -> String {
        format!("00-{:032x}-{:016x}-01", self.trace.trace, self.id)
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        let finished = Finished {
            name: self.name,
            id: self.id,
            parent: self.trace.root,
            begin: self.begin,
            end: self.trace.now(),
            note: std::mem::take(&mut self.note),
        };
        self.trace.spans.borrow_mut().push(finished);
    }
}
