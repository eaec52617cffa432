//! Planned stops of a gateway at their edges: what is cut at the end, and what arrives as the listener closes. Runs real
//! processes on loopback.

#![allow(missing_docs)]

mod support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{Value, json};
use support::crashing::{header, read_request};
use support::gateways::*;
use support::limited::start_heartbeats;
use support::scripted::{End, Script};
use support::scripted::{connect, receive, send, start_scripted_replica, status, whole};
use support::wait_for;

/// Bytes of an event of a large stream.
const EVENT: usize = 2 * 1024;

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
        "services": [{ "name": "talk", "connections": 400,
            "engine": { "slots": 64, "memory": 1_000_000, "stride": 1 } }],
        "limits": { "head": 8192, "body": 65536, "head_within": 5000, "idle": 5000 },
        "accounts": [{ "name": "club", "keys": ["club-key"], "prepaid": 100_000 }],
    })
}

/// Starts a control process and a gateway with these settings, before a replica at this address.
fn start(settings: &str, replica: std::net::SocketAddr) -> Fleet {
    let mut f = Fleet::new(1);
    f.start_control(0, true);
    f.start_gateway_with(settings);
    let body = document().to_string();
    wait_for("the document to be accepted", || {
        matches!(f.call(0, "PUT", "/v1/document", &body), Some((200, _)))
    });
    let controls = vec![f.controls[0].api];
    start_heartbeats("talk", "t-0".to_owned(), replica, controls, Default::default());
    wait_for("a response", || f.get("/board/ready").is_some_and(|a| a.0 == 200));
    f
}

/// Starts a replica that answers `/talk/` with large events until `finish` is set, and anything else at once.
fn start_endless(finish: Arc<AtomicBool>) -> std::net::SocketAddr {
    start_counted(finish, Arc::default(), Arc::default())
}

/// Like [`start_endless`], with small events once `small` is set. Adds its events to `made`.
fn start_counted(
    finish: Arc<AtomicBool>,
    small: Arc<AtomicBool>,
    made: Arc<AtomicUsize>,
) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut s in listener.incoming().flatten() {
            let (finish, small, made) = (finish.clone(), small.clone(), made.clone());
            thread::spawn(move || -> Option<()> {
                loop {
                    let text = read_request(&mut s)?;
                    let id = header(&text, "x-request-id");
                    if !text.contains(" /talk/") {
                        s.write_all(whole(id, id).as_bytes()).ok()?;
                        continue;
                    }
                    s.write_all(support::scripted::stream_head(id).as_bytes()).ok()?;
                    for n in 1.. {
                        let size = if small.load(Relaxed) { 8 } else { EVENT };
                        let event = format!("id: {n}\ndata: {}\n\n", "x".repeat(size));
                        write!(s, "{:x}\r\n{event}\r\n", event.len()).ok()?;
                        made.fetch_add(1, Relaxed);
                        if finish.load(Relaxed) {
                            break;
                        }
                        sleep(Duration::from_millis(1));
                    }
                    s.write_all(b"0\r\n\r\n").ok()?;
                }
            });
        }
    });
    address
}

/// Guards against a response that its connection ends: cut at the end of a stop, it must not look complete.
#[rstest]
#[case::the_replica_still_sends(false)]
#[case::the_replica_has_finished(true)]
fn a_cut_response_of_http_1_0_ends_with_a_reset(#[case] finishes: bool) {
    let finish = Arc::<AtomicBool>::default();
    let replica = start_endless(finish.clone());
    let mut f = start("caller_buffer_mb: 1.0\nstop_serve_s: 0.5\nstop_within_s: 2\n", replica);
    let mut s = connect(f.listen);
    let head = format!(
        "GET /talk/x HTTP/1.0\r\nHost: {HOST}\r\nX-Request-Id: old\r\nAuthorization: Bearer club-key\r\n\r\n"
    );
    s.write_all(head.as_bytes()).unwrap();
    let metrics = f.metrics;
    wait_for("bytes held for the caller", || {
        metric_value(metrics, "cypressfork_held_for_callers_bytes").unwrap_or(0.0) > 0.0
    });
    finish.store(finishes, Relaxed);
    sleep(Duration::from_millis(200));
    let held = metric_value(metrics, "cypressfork_held_for_callers_bytes").unwrap_or(0.0);
    f.gateway.as_ref().unwrap().signal("TERM");
    assert_eq!(f.gateway.as_mut().unwrap().wait(), Some(0));
    let mut all = Vec::new();
    let ended = s.read_to_end(&mut all);
    let log = f.gateway.as_ref().unwrap().log();
    let cut: Vec<_> = log.lines().filter(|l| l.contains("id=old")).collect();
    assert!(ended.is_err(), "{ended:?}, {} bytes read, {held} were held: {cut:?}", all.len());
}

/// Guards against requests that have arrived as the listener closes and are dropped with the process: nothing else is
/// under way, so that the stop has nothing to wait for.
#[rstest]
#[case::safe("/board/x", 0)]
#[case::unsafe_("/move/x", 0)]
#[case::unsafe_whose_replica_takes_a_while("/move/x", 300)]
fn requests_that_arrive_as_the_listener_closes_are_answered(
    #[case] path: &str,
    #[case] run_ms: u64,
) {
    let runs = Arc::<AtomicUsize>::default();
    let counted = runs.clone();
    let replica = start_scripted_replica(move |text, id| {
        let is_warm_up = text.contains("/ready");
        counted.fetch_add(usize::from(!is_warm_up), Relaxed);
        let run = if is_warm_up { 0 } else { run_ms };
        let parts = vec![String::new(), whole(id, id)];
        Script { parts, pause: Duration::from_millis(run), end: End::Keep }
    });
    let mut f = start("stop_serve_s: 0.4\nstop_within_s: 4\n", replica);
    let mut callers: Vec<TcpStream> = (0..8).map(|_| connect(f.listen)).collect();
    for (n, s) in callers.iter_mut().enumerate() {
        send(s, "GET", "/board/ready", &format!("k-{n}"));
        assert_eq!(status(&receive(s, false)), 200);
    }
    let gateway = f.gateway.as_ref().unwrap();
    gateway.signal("TERM");
    sleep(Duration::from_millis(200));
    gateway.signal("STOP");
    sleep(Duration::from_millis(50));
    for (n, s) in callers.iter_mut().enumerate() {
        send(s, "GET", path, &format!("c-{n}"));
    }
    sleep(Duration::from_millis(300));
    gateway.signal("CONT");
    let answers: Vec<_> = callers.iter_mut().map(|s| receive(s, false)).collect();
    let statuses: Vec<_> = answers.iter().map(|text| status(text)).collect();
    assert_eq!(f.gateway.as_mut().unwrap().wait(), Some(0));
    let log = f.gateway.as_ref().unwrap().log();
    let stop: Vec<_> =
        log.lines().filter(|l| l.contains("CFE411") || l.contains("CFE467")).collect();
    let run = runs.load(Relaxed);
    assert!(
        statuses.iter().all(|s| matches!(s, 200 | 503)),
        "{statuses:?}, {run} were sent to the replica: {stop:#?}"
    );
}

/// Guards against a request that was read behind another one and is dropped, because the first has ended late in a stop.
#[rstest]
#[case::soon_after_the_listener_has_closed(1_200)]
#[case::later(2_400)]
fn a_request_sent_ahead_is_answered_or_its_connection_announced_as_closed(#[case] run_ms: u64) {
    let replica = start_scripted_replica(move |text, id| {
        let run = if text.contains("/board/x") { run_ms } else { 0 };
        let parts = vec![String::new(), whole(id, id)];
        Script { parts, pause: Duration::from_millis(run), end: End::Keep }
    });
    let mut f = start("stop_serve_s: 0.5\nstop_within_s: 6\n", replica);
    let mut s = connect(f.listen);
    send(&mut s, "GET", "/board/x", "first");
    sleep(Duration::from_millis(100));
    f.gateway.as_ref().unwrap().signal("TERM");
    send(&mut s, "GET", "/move/ready", "second");
    let first = receive(&mut s, false);
    assert_eq!(status(&first), 200, "{first}");
    let second = receive(&mut s, false);
    assert_eq!(f.gateway.as_mut().unwrap().wait(), Some(0));
    let announced = first.to_ascii_lowercase().contains("connection: close");
    assert!(announced || matches!(status(&second), 200 | 503), "{first:?} then {second:?}");
}

/// Guards against tokens that stay with a gateway that has stopped, because requests were cut at the end of the stop.
#[rstest]
#[case::the_caller_closes(true)]
#[case::the_caller_keeps_its_connection(false)]
fn tokens_are_returned_by_a_stop_that_cuts_requests(#[case] closes: bool) {
    let replica = start_scripted_replica(move |text, id| {
        let run = if text.contains("/ready") { 0 } else { 20_000 };
        let parts = vec![String::new(), whole(id, id)];
        Script { parts, pause: Duration::from_millis(run), end: End::Keep }
    });
    let mut f = start("stop_serve_s: 0.5\nstop_within_s: 8\n", replica);
    let mut s = connect(f.listen);
    s.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let head = format!(
        "GET /board/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: t\r\nX-Tokens: 20,40000\r\nAuthorization: Bearer club-key\r\n\r\n"
    );
    s.write_all(head.as_bytes()).unwrap();
    sleep(Duration::from_millis(300));
    let started = Instant::now();
    f.gateway.as_ref().unwrap().signal("TERM");
    let text = receive(&mut s, false);
    let told = started.elapsed();
    if closes {
        drop(s);
    }
    assert_eq!(f.gateway.as_mut().unwrap().wait(), Some(0));
    let took = started.elapsed();
    let log = f.gateway.as_ref().unwrap().log();
    assert_eq!(status(&text), 502, "{text}");
    assert!(log.contains(" CFE412 "), "told after {told:?}, ended after {took:?}");
}

/// Guards against tokens that are spent twice: a replica has made events for a caller that reads too slowly, and the stop
/// cuts the stream before they are read.
#[rstest]
#[case::its_caller_closes_before(5_200)]
#[case::its_caller_closes_after(5_690)]
fn events_that_are_not_read_before_a_stop_cuts_their_stream_are_charged(#[case] closes_ms: u64) {
    let (small, made) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
    let replica = start_counted(Arc::default(), small.clone(), made.clone());
    let mut f = start("caller_buffer_mb: 1.0\nstop_serve_s: 0.5\nstop_within_s: 6\n", replica);
    let other = f.start_extra_gateways(1).remove(0);
    wait_for("another gateway", || {
        exchange(other.listen, "GET", "/board/ready", CALLER_HEADERS, "")
            .is_some_and(|a| a.0 == 200)
    });
    let mut s = connect(f.listen);
    let head = format!(
        "GET /talk/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: t\r\nX-Tokens: 20,50000\r\nAuthorization: Bearer club-key\r\n\r\n"
    );
    s.write_all(head.as_bytes()).unwrap();
    let metrics = f.metrics;
    wait_for("bytes held for the caller", || {
        metric_value(metrics, "cypressfork_held_for_callers_bytes").unwrap_or(0.0) > 0.0
    });
    sleep(Duration::from_millis(300));
    small.store(true, Relaxed);
    let started = Instant::now();
    f.gateway.as_ref().unwrap().signal("TERM");
    // Streams are cut after 5640 ms. A caller that closes soon after lets the gateway return its tokens in time.
    sleep(Duration::from_millis(closes_ms).saturating_sub(started.elapsed()));
    drop(s);
    assert_eq!(f.gateway.as_mut().unwrap().wait(), Some(0));
    let made = made.load(Relaxed);
    let spent = 20 + made;
    let read = |tokens: usize, id: usize| {
        let headers = format!(
            "X-Request-Id: q-{id}\r\nX-Tokens: {tokens},0\r\nAuthorization: Bearer club-key\r\n"
        );
        exchange(other.listen, "GET", "/board/y", &headers, "").map(|a| a.0)
    };
    // More than is left of the account's tokens.
    let mut statuses = Vec::new();
    for n in 0..12 {
        statuses.push(read(100_000 - spent + 500, n));
        sleep(Duration::from_millis(250));
    }
    assert!(
        !statuses.contains(&Some(200)),
        "500 tokens too many are served after {made} events: {statuses:?}"
    );
}
