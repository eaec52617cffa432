//! Tests traces: the caller's context is propagated, and every hop has a span.

mod support;

use std::collections::BTreeMap;
use std::fs;

use serde_json::Value;
use support::{Fleet, Plan, chat_body, wait_for};

/// Trace id of the caller's context.
const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
/// Span id of the caller's context.
const PARENT: &str = "00f067aa0ba902b7";

/// Waits until the caller's trace has a span called `name`; returns the spans of the trace by name.
fn spans(f: &Fleet, name: &str) -> BTreeMap<String, Value> {
    let mut found = BTreeMap::new();
    wait_for("the span", || {
        let text = fs::read_to_string(f.path("traces.jsonl")).unwrap_or_default();
        for line in text.lines() {
            let Ok(v) = serde_json::from_str::<Value>(line) else { continue };
            let all = v["resourceSpans"][0]["scopeSpans"][0]["spans"].as_array().unwrap().clone();
            for s in all.into_iter().filter(|s| s["traceId"] == TRACE) {
                found.insert(s["name"].as_str().unwrap().to_owned(), s);
            }
        }
        found.contains_key(name)
    });
    found
}

/// Starts a fleet with one router that writes traces to a file.
fn fleet() -> Fleet {
    let router_extra = "trace_file: DIR/traces.jsonl".to_owned();
    Fleet::start(Plan { routers: 1, router_extra, ..Plan::default() })
}

#[test]
fn a_model_request_has_a_span_for_each_hop() {
    let f = fleet();
    let context = format!("00-{TRACE}-{PARENT}-01");
    let a = f.chat(0).header("traceparent", &context).send(&chat_body(true, 4));
    assert_eq!(a.status, 200);
    let spans = spans(&f, "settlement");
    let root = &spans["request"];
    assert_eq!(root["parentSpanId"], PARENT, "the caller's span is the parent");
    for hop in ["entry", "admission", "budget", "dispatch", "stream", "settlement"] {
        let s = &spans[hop];
        assert_eq!(s["parentSpanId"], root["spanId"], "{hop}");
        let ns = |k: &str| s[k].as_str().unwrap().parse::<u64>().unwrap();
        assert!(ns("startTimeUnixNano") <= ns("endTimeUnixNano"), "{hop}");
    }
}

#[test]
fn a_claimed_call_has_a_span_for_its_claim() {
    let f = fleet();
    let context = format!("00-{TRACE}-{PARENT}-01");
    let r = f.call(0).header("traceparent", &context);
    let a = r.header("x-not-repeatable", "true").header("idempotency-key", "m1").send("e2e4");
    assert_eq!(a.status, 200);
    let spans = spans(&f, "request");
    assert!(spans.contains_key("claim") && spans.contains_key("dispatch"), "{spans:?}");
}

/// Guards against requests that fail, or are not traced, because of an invalid context.
#[test]
fn an_invalid_context_is_ignored() {
    let f = fleet();
    for bad in ["", "00-xyz", "00-00000000000000000000000000000000-0000000000000000-01", "ff"] {
        let a = f.chat(0).header("traceparent", bad).send(&chat_body(false, 2));
        assert_eq!(a.status, 200, "{bad}: {}", a.body);
    }
    wait_for("four traces", || {
        fs::read_to_string(f.path("traces.jsonl")).unwrap_or_default().lines().count() == 4
    });
}
