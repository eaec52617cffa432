//! Planned stops of a gateway: signals that come in series, and requests in every phase. Runs real processes on
//! loopback.

#![allow(missing_docs)]

mod support;

use std::net::SocketAddr;
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{Value, json};
use support::gateways::*;
use support::limited::start_heartbeats;
use support::scripted::*;
use support::wait_for;

/// Time for which a gateway serves new requests after the signal.
const SERVE: Duration = Duration::from_millis(1_000);

/// Duration of a planned stop, at most.
const STOP: Duration = Duration::from_millis(6_000);

/// How long a replica takes for a response.
const RUN: Duration = Duration::from_millis(2_400);

/// Events of a long stream.
const LONG: usize = 24;

/// Time after the last request has ended in which the process ends.
const EXIT: Duration = Duration::from_millis(1_500);

fn document() -> Value {
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind, "timeout": 20_000,
            "objective": 300, "attempts": 1, "resumable": kind == "stream",
            "targets": [{ "service": "talk", "weight": 1 }],
        })
    };
    json!({
        "version": 3,
        "routes": [route("talk", "stream"), route("board", "safe"), route("move", "unsafe")],
        "services": [{ "name": "talk", "connections": 400 }],
        "limits": { "head": 8192, "body": 65536, "head_within": 5000, "idle": 5000 },
        "accounts": [{ "name": "club", "keys": ["club-key"], "prepaid": 1_000_000 }],
    })
}

fn settings(serve: Duration, stop: Duration) -> String {
    let (serve, stop) = (serve.as_secs_f64(), stop.as_secs_f64());
    format!("stop_serve_s: {serve}\nstop_within_s: {stop}\nretry_ratio: 1.0\nretry_extra: 1000\n")
}

/// Returns what a replica that takes `run` for each response sends for a request.
fn slow(run: Duration) -> impl Fn(&str, &str) -> Script + Send + Sync + 'static {
    move |text, id| {
        let last = header_number(text, "last-event-id").unwrap_or(0);
        let parts = match text {
            t if t.contains("/ready") => vec![whole(id, id)],
            t if t.contains(" /talk/") => {
                let mut parts = vec![stream_head(id)];
                parts.extend((last + 1..=LONG).map(|n| events(n, n)));
                parts.push("0\r\n\r\n".to_owned());
                parts
            }
            _ => vec![String::new(), whole(id, id)],
        };
        let pause = run / parts.len().max(2) as u32;
        let pause = if parts.len() == 2 { run } else { pause };
        Script { parts, pause, end: End::Keep }
    }
}

fn header_number(text: &str, name: &str) -> Option<usize> {
    support::crashing::header(text, name).parse().ok()
}

/// Starts a control process, a gateway with these settings and a replica that takes `run` for each response.
fn start(settings: &str, run: Duration) -> Fleet {
    let mut f = Fleet::new(1);
    f.start_control(0, true);
    f.start_gateway_with(settings);
    let body = document().to_string();
    wait_for("the document to be accepted", || {
        matches!(f.call(0, "PUT", "/v1/document", &body), Some((200, _)))
    });
    let controls = vec![f.controls[0].api];
    let replica = start_scripted_replica(slow(run));
    start_heartbeats("talk", "t-0".to_owned(), replica, controls, Default::default());
    wait_for("a response", || f.get("/board/ready").is_some_and(|a| a.0 == 200));
    f
}

/// What a caller got for its request.
struct Got {
    text: String,
    at: Instant,
}

impl Got {
    /// Returns whether the response is a success with all that the replica sent.
    fn is_whole(&self, id: &str) -> bool {
        let text = &self.text;
        match text.contains("chunked") {
            true => text.contains(&format!("id: {LONG}\n")) && text.ends_with("0\r\n\r\n"),
            false => status(text) == 200 && text.ends_with(id),
        }
    }
}

/// Sends a request on a connection of its own and reads its response in another thread.
fn call(to: SocketAddr, path: &str, id: &str) -> JoinHandle<Got> {
    let mut s = connect(to);
    s.set_read_timeout(Some(STOP * 2)).unwrap();
    send(&mut s, "GET", path, id);
    thread::spawn(move || {
        let text = receive(&mut s, false);
        Got { text, at: Instant::now() }
    })
}

/// Returns the value of a field of a log line.
fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let value = line.split(' ').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    value.unwrap_or_else(|| panic!("{name} in {line}"))
}

fn gateway(f: &mut Fleet) -> &mut support::Process {
    f.gateway.as_mut().unwrap()
}

/// Guards against a stop that ends at once because its signal comes again: what was under way would be cut.
#[rstest]
#[case::again_at_once(&[(50, "TERM")])]
#[case::again_while_new_requests_are_served(&[(500, "TERM")])]
#[case::again_when_the_listener_is_closed(&[(1_500, "TERM")])]
#[case::many_times(&[(0, "TERM"), (10, "TERM"), (20, "TERM"), (300, "TERM"), (600, "TERM"), (1_200, "TERM")])]
#[case::another_one(&[(50, "INT"), (700, "INT"), (1_400, "INT")])]
#[case::a_reload(&[(50, "HUP"), (700, "HUP"), (1_400, "HUP")])]
#[case::while_it_stands_still(&[(100, "STOP"), (300, "TERM"), (500, "CONT")])]
fn a_repeated_signal_does_not_cut_a_stop_short(
    #[case] signals: &[(u64, &str)],
    #[values("/talk/x", "/move/x")] path: &str,
) {
    let mut f = start(&settings(SERVE, STOP), RUN);
    let early: Vec<_> =
        (0..4).map(|n| (format!("e-{n}"), call(f.listen, path, &format!("e-{n}")))).collect();
    sleep(RUN / 4);
    let started = Instant::now();
    gateway(&mut f).signal("TERM");
    let late = ("late".to_owned(), call(f.listen, path, "late"));
    for (at, name) in signals {
        sleep(Duration::from_millis(*at).saturating_sub(started.elapsed()));
        gateway(&mut f).signal(name);
    }
    let mut last = started;
    for (id, caller) in early.into_iter().chain([late]) {
        let got = caller.join().unwrap();
        assert!(got.is_whole(&id), "{id}: {}", got.text);
        last = last.max(got.at);
    }
    assert_eq!(gateway(&mut f).wait(), Some(0));
    assert!(last.elapsed() < EXIT, "{:?}", last.elapsed());
    let log = gateway(&mut f).log();
    let repeated = signals.iter().filter(|(_, name)| matches!(*name, "TERM" | "INT")).count();
    assert_eq!(log.contains(" CFE109 "), repeated > 0, "{log}");
    let ended = log.lines().find(|l| l.contains(" CFE103 ")).expect("the end is logged");
    let seen: usize = field(ended, "signals").parse().unwrap();
    // The system may tell two signals that arrive at once as one.
    assert!((1 + usize::from(repeated > 0)..=1 + repeated).contains(&seen), "{ended}");
}
