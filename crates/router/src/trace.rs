//! Request traces: W3C trace contexts, one span per step, one OTLP JSON line per request.

use std::cell::RefCell;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

/// Maximum number of queued lines. More are dropped, so that a slow disk does not delay requests.
const MAX_QUEUED_LINES: usize = 1024;

/// Queues the lines of finished traces for a thread that appends them to a file.
#[derive(Clone)]
pub struct Exporter {
    tx: SyncSender<String>,
    vm: Rc<str>,
}

fn write_lines(file: File, rx: &Receiver<String>) -> io::Result<()> {
    let mut out = BufWriter::new(file);
    while let Ok(line) = rx.recv() {
        writeln!(out, "{line}")?;
        // Flush once for all queued lines.
        while let Ok(line) = rx.try_recv() {
            writeln!(out, "{line}")?;
        }
        out.flush()?;
    }
    Ok(())
}

impl Exporter {
    /// Creates an exporter that appends to the file at `path`. `vm` is the host name in the traces.
    /// Returns an error if the file cannot be opened or the thread cannot be started.
    pub fn open(path: &Path, vm: &str) -> io::Result<Exporter> {
        let file = File::options().create(true).append(true).open(path)?;
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        // The thread ends at the first write error; later lines are dropped.
        thread::Builder::new().name("traces".into()).spawn(move || write_lines(file, &rx))?;
        Ok(Exporter { tx, vm: vm.into() })
    }
}

/// A caller's trace context: its trace id and the request's parent span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TraceContext {
    trace_id: u128,
    span_id: u64,
}

/// Parses a `traceparent` header. Returns `None` if it is invalid.
fn parse_traceparent(header: &str) -> Option<TraceContext> {
    let mut parts = header.split('-');
    let (version, trace, span) = (parts.next()?, parts.next()?, parts.next()?);
    if version.len() != 2 || trace.len() != 32 || span.len() != 16 {
        return None;
    }
    let context = TraceContext {
        trace_id: u128::from_str_radix(trace, 16).ok()?,
        span_id: u64::from_str_radix(span, 16).ok()?,
    };
    (context.trace_id != 0 && context.span_id != 0).then_some(context)
}

struct FinishedSpan {
    name: &'static str,
    id: u64,
    /// 0 if the span has no parent.
    parent_id: u64,
    start_ns: u64,
    end_ns: u64,
    note: String,
}

/// One request's trace, exported when its last reference is dropped.
pub struct Trace {
    exporter: Option<Exporter>,
    trace_id: u128,
    parent_id: Option<u64>,
    root_id: u64,
    started_at: Instant,
    /// Start time in nanoseconds since 1970.
    start_ns: u64,
    spans: RefCell<Vec<FinishedSpan>>,
}

/// A span in progress, which ends when it is dropped.
pub struct Span {
    trace: Rc<Trace>,
    name: &'static str,
    id: u64,
    start_ns: u64,
    note: String,
}

impl Trace {
    /// Starts a request's trace, under the caller's context if `traceparent` is valid.
    pub fn begin(exporter: Option<Exporter>, traceparent: Option<&str>) -> Rc<Trace> {
        let context = traceparent.and_then(parse_traceparent);
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Rc::new(Trace {
            exporter,
            trace_id: context.map_or_else(rand::random, |c| c.trace_id),
            parent_id: context.map(|c| c.span_id),
            root_id: rand::random::<u64>() | 1,
            started_at: Instant::now(),
            start_ns: since_epoch.as_nanos() as u64,
            spans: RefCell::default(),
        })
    }

    /// Returns the current time in nanoseconds since 1970.
    fn now_ns(&self) -> u64 {
        self.start_ns + self.started_at.elapsed().as_nanos() as u64
    }

    /// Starts a span that is a child of the request's root span.
    pub fn span(self: &Rc<Self>, name: &'static str) -> Span {
        let (id, start_ns) = (rand::random::<u64>() | 1, self.now_ns());
        Span { trace: self.clone(), name, id, start_ns, note: String::new() }
    }

    fn otlp_json(&self, vm: &str) -> Value {
        let root = FinishedSpan {
            name: "request",
            id: self.root_id,
            parent_id: self.parent_id.unwrap_or(0),
            start_ns: self.start_ns,
            end_ns: self.now_ns(),
            note: String::new(),
        };
        let spans: Vec<Value> =
            self.spans.borrow().iter().chain([&root]).map(|s| self.span_json(s)).collect();
        let attribute = |k: &str, v: &str| json!({ "key": k, "value": { "stringValue": v } });
        json!({ "resourceSpans": [{
            "resource": { "attributes": [
                attribute("service.name", "cypressfork-router"),
                attribute("host.name", vm),
            ] },
            "scopeSpans": [{ "scope": { "name": "cypressfork" }, "spans": spans }],
        }] })
    }

    fn span_json(&self, s: &FinishedSpan) -> Value {
        let mut v = json!({
            "traceId": format!("{:032x}", self.trace_id),
            "spanId": format!("{:016x}", s.id),
            "name": s.name,
            "kind": 1,
            "startTimeUnixNano": s.start_ns.to_string(),
            "endTimeUnixNano": s.end_ns.to_string(),
        });
        if s.parent_id != 0 {
            v["parentSpanId"] = format!("{:016x}", s.parent_id).into();
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
            // If the queue is full, the line is dropped.
            let _ = e.tx.try_send(self.otlp_json(&e.vm).to_string());
        }
    }
}

impl Span {
    /// Sets the text of the `note` attribute.
    pub fn set_note(&mut self, text: impl Into<String>) {
        self.note = text.into();
    }

    /// Returns the `traceparent` header for a request sent within this span.
    pub fn traceparent(&self) -> String {
        format!("00-{:032x}-{:016x}-01", self.trace.trace_id, self.id)
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        let finished = FinishedSpan {
            name: self.name,
            id: self.id,
            parent_id: self.trace.root_id,
            start_ns: self.start_ns,
            end_ns: self.trace.now_ns(),
            note: std::mem::take(&mut self.note),
        };
        self.trace.spans.borrow_mut().push(finished);
    }
}
