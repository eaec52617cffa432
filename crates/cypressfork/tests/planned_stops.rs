//! Planned stops of a gateway: signals that come in series, and requests in every phase. Runs real processes on
//! loopback.

#![allow(missing_docs)]

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
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
    let drained =
        log.lines().find(|l| l.contains(" CFE467 ")).expect("the end of the drain is logged");
    assert_eq!(field(drained, "under_way"), "0", "{drained}");
}

/// Sends a request with a body in chunks up to its last chunk, and returns the connection.
fn begin_body(to: SocketAddr, id: &str) -> TcpStream {
    let mut s = connect(to);
    s.set_read_timeout(Some(STOP * 2)).unwrap();
    let head = format!(
        "POST /board/ready HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nAuthorization: Bearer club-key\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
    );
    s.write_all(head.as_bytes()).unwrap();
    s
}

/// Guards against connections that are closed without a response because the process ends while bodies are arriving.
#[rstest]
#[case::while_new_requests_are_served(SERVE / 2, 200)]
#[case::soon_after(SERVE + Duration::from_millis(200), 200)]
#[case::too_late(SERVE + Duration::from_millis(2_500), 503)]
fn a_request_whose_body_arrives_during_a_stop_is_answered(
    #[case] rest_after: Duration,
    #[case] expected: u16,
) {
    let mut f = start(&settings(SERVE, STOP), RUN);
    let mut s = begin_body(f.listen, "b-1");
    sleep(Duration::from_millis(100));
    gateway(&mut f).signal("TERM");
    sleep(rest_after);
    // Fails if the connection was closed.
    let _ = s.write_all(b"0\r\n\r\n");
    let text = receive(&mut s, false);
    assert_eq!(status(&text), expected, "{text}");
    assert_eq!(gateway(&mut f).wait(), Some(0));
}

/// Guards against requests that a stop closes without a response because they wait for a document.
#[test]
fn a_request_that_waits_for_a_document_is_answered_during_a_stop() {
    let mut f = Fleet::new(1);
    f.start_gateway_with(&settings(Duration::ZERO, STOP));
    wait_for("the gateway", || TcpStream::connect(f.listen).is_ok());
    let caller = call(f.listen, "/board/x", "d-1");
    sleep(Duration::from_millis(100));
    gateway(&mut f).signal("TERM");
    let text = caller.join().unwrap().text;
    assert_eq!(status(&text), 503, "{text}");
    assert_eq!(gateway(&mut f).wait(), Some(0));
}

/// Guards against clients that prolong a stop with requests that they never finish.
#[test]
fn unfinished_requests_do_not_prolong_a_stop() {
    let mut f = start(&settings(SERVE, STOP), RUN);
    let _bodies: Vec<_> = (0..20).map(|n| begin_body(f.listen, &format!("b-{n}"))).collect();
    let mut heads: Vec<_> = (0..20).map(|_| connect(f.listen)).collect();
    heads.iter_mut().for_each(|s| s.write_all(b"GET /board/x HTTP/1.1\r\nHost: ").unwrap());
    sleep(Duration::from_millis(100));
    let started = Instant::now();
    gateway(&mut f).signal("TERM");
    assert_eq!(gateway(&mut f).wait(), Some(0));
    // Requests have half a second to arrive after the last connection was accepted, and half of one to be refused.
    assert!(started.elapsed() < SERVE + Duration::from_secs(1) + EXIT, "{:?}", started.elapsed());
}

/// Guards against callers that are told nothing when a stop ends before their request.
#[rstest]
fn a_request_that_outlasts_a_stop_gets_a_response(#[values("/board/x", "/move/x")] path: &str) {
    let stop = Duration::from_secs(2);
    let mut f = start(&settings(SERVE, stop), STOP);
    let caller = call(f.listen, path, "o-1");
    sleep(Duration::from_millis(100));
    let started = Instant::now();
    gateway(&mut f).signal("TERM");
    let got = caller.join().unwrap();
    assert_eq!(status(&got.text), 502, "{}", got.text);
    assert!(got.at - started < stop, "{:?}", got.at - started);
    assert_eq!(gateway(&mut f).wait(), Some(0));
    assert!(started.elapsed() < stop, "{:?}", started.elapsed());
    let log = gateway(&mut f).log();
    assert!(log.lines().any(|l| l.contains(" CFE420 ") && l.contains("id=o-1 ")), "{log}");
}

/// Guards against a stream that looks complete, or that no other gateway continues, because a stop ended before it.
#[test]
fn a_stream_that_outlasts_a_stop_is_continued_at_another_gateway() {
    let stop = Duration::from_secs(2);
    let mut f = start(&settings(SERVE, stop), STOP);
    let others = f.start_extra_gateways(2);
    for g in &others {
        wait_for("another gateway", || {
            exchange(g.listen, "GET", "/board/ready", CALLER_HEADERS, "")
                .is_some_and(|a| a.0 == 200)
        });
    }
    // The gateways learn of each other before the stream begins.
    sleep(Duration::from_secs(1));
    let caller = call(f.listen, "/talk/x", "s-1");
    sleep(Duration::from_millis(800));
    gateway(&mut f).signal("TERM");
    let cut = caller.join().unwrap().text;
    assert_eq!(gateway(&mut f).wait(), Some(0));
    assert!(!cut.ends_with("0\r\n\r\n"), "{cut}");
    let last = cut.matches("id: ").count();
    assert!(last > 0 && last < LONG, "{cut}");
    let mut s = connect(others[0].listen);
    let head = format!(
        "GET /talk/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: s-2\r\nResumes: s-1\r\nLast-Event-Id: {last}\r\nAuthorization: Bearer club-key\r\n\r\n"
    );
    s.set_read_timeout(Some(STOP * 2)).unwrap();
    s.write_all(head.as_bytes()).unwrap();
    let rest = receive(&mut s, false);
    assert!(rest.contains(&format!("id: {}\n", last + 1)), "{rest}");
    assert!(rest.ends_with("0\r\n\r\n") && rest.contains(&format!("id: {LONG}\n")), "{rest}");
}

/// Guards against a response that is lost because its connection is reset: what the caller sent ahead is not read.
#[test]
fn a_response_reaches_a_caller_that_sent_more_ahead() {
    let mut f = start(&settings(SERVE, STOP), RUN);
    let mut s = connect(f.listen);
    s.set_read_timeout(Some(STOP * 2)).unwrap();
    send(&mut s, "GET", "/move/x", "a-1");
    sleep(Duration::from_millis(100));
    gateway(&mut f).signal("TERM");
    // More than the gateway reads ahead.
    let ahead = vec![b'x'; 200 * 1024];
    let mut writer = s.try_clone().unwrap();
    thread::spawn(move || writer.write_all(&ahead));
    sleep(RUN + Duration::from_millis(300));
    let mut text = Vec::new();
    let _ = s.read_to_end(&mut text);
    let text = String::from_utf8_lossy(&text);
    // What was sent ahead is no request, which may be told behind the response.
    assert!(text.starts_with("HTTP/1.1 200") && text.contains("\r\n\r\na-1"), "{text}");
    assert_eq!(gateway(&mut f).wait(), Some(0));
}

/// Guards against requests that are reset because the listener closes before their connections are accepted.
#[test]
fn requests_that_arrive_as_the_listener_closes_are_answered() {
    let mut f = start(&settings(SERVE, STOP), Duration::from_millis(50));
    gateway(&mut f).signal("TERM");
    sleep(SERVE / 2);
    // The gateway finds the connections and the end of the time for new requests at once.
    gateway(&mut f).signal("STOP");
    let callers: Vec<_> = (0..16).map(|n| call(f.listen, "/move/x", &format!("q-{n}"))).collect();
    sleep(SERVE);
    gateway(&mut f).signal("CONT");
    for (n, caller) in callers.into_iter().enumerate() {
        let got = caller.join().unwrap();
        assert_eq!(status(&got.text), 200, "{n}: {}", got.text);
    }
    assert_eq!(gateway(&mut f).wait(), Some(0));
}
