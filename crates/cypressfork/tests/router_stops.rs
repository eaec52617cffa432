//! Planned stops of a router: requests in every phase. Runs real processes on loopback.

#![allow(missing_docs)]

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::{Fleet, KEY, Plan, chat_body, wait_for};

/// Time for which a router serves new requests after the signal.
const SERVE: Duration = Duration::from_secs(1);

/// Longest duration of the waits for requests, as in the settings.
const DRAIN: Duration = Duration::from_secs(3);

/// Time after the last wait in which the process ends.
const EXIT: Duration = Duration::from_millis(1_500);

/// Starts a fleet with one router, whose engine takes `token_ms` for each of its tokens.
fn start(token_ms: &'static str) -> Fleet {
    Fleet::start(Plan {
        controls: 1,
        routers: 1,
        engines: vec![vec!["--token-ms", token_ms]],
        engine_extra: "            slots: 1\n",
        router_extra: format!("drain_s: {}\n", DRAIN.as_secs()),
        ..Plan::default()
    })
}

/// Sends a model request but for its last `held` bytes; returns the connection and the rest.
fn begin(f: &Fleet, stream: bool, held: usize) -> (TcpStream, String) {
    let body = chat_body(stream, 24);
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let (first, rest) = text.split_at(text.len() - held);
    let mut s = TcpStream::connect(&f.router_addresses[0]).unwrap();
    s.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    s.write_all(first.as_bytes()).unwrap();
    (s, rest.to_owned())
}

/// Reads until the router closes the connection, as it does after a response during a stop.
fn receive(s: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let _ = s.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

fn status(text: &str) -> u16 {
    text.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

/// Guards against connections that are closed without a response because the process ends while bodies are arriving.
#[rstest]
#[case::while_new_requests_are_served(SERVE / 2, 200, "")]
#[case::soon_after(SERVE + Duration::from_millis(500), 200, "")]
#[case::too_late(SERVE + Duration::from_millis(2_500), 503, "CF1315")]
fn a_request_whose_body_arrives_during_a_stop_is_answered(
    #[case] rest_after: Duration,
    #[case] expected: u16,
    #[case] code: &str,
) {
    let mut f = start("5");
    let (mut s, rest) = begin(&f, false, 1);
    sleep(Duration::from_millis(100));
    f.routers[0].signal("TERM");
    sleep(rest_after);
    // Fails if the connection was closed.
    let _ = s.write_all(rest.as_bytes());
    let text = receive(&mut s);
    assert_eq!(status(&text), expected, "{text}");
    assert!(text.contains(code), "{text}");
    assert_eq!(f.routers[0].wait(), Some(0));
    assert!(f.routers[0].log().contains("CFE412"), "the slices were returned");
}

/// Guards against a router without a registration that cuts what is under way.
#[test]
fn a_router_that_was_never_registered_answers_during_a_stop() {
    let mut f = Fleet::start_bare(Plan { controls: 1, routers: 0, ..Plan::default() });
    f.controls[0].kill();
    let ip = f.control_addresses[0].split(':').next().unwrap().to_owned();
    let free = support::free_addresses(&ip, 2);
    let text = format!(
        "common:\n  cluster: test\n  region: tas-north\n  data_centre: tamar-a\n  vm: entry-0\n  key_file: {}\n  control: [\"{}\"]\nlisten: \"{}\"\noperators: \"{}\"\nentry_keep_s: 1\ndrain_s: 3\n",
        f.path("cluster.key").display(),
        f.control_addresses[0],
        free[0],
        free[1],
    );
    std::fs::write(f.path("router-0.yaml"), text).unwrap();
    f.router_addresses = free;
    let router = f.start_router(0);
    f.routers.push(router);
    wait_for("the router", || TcpStream::connect(&f.router_addresses[0]).is_ok());
    let (mut s, rest) = begin(&f, false, 150);
    sleep(Duration::from_millis(100));
    let started = Instant::now();
    f.routers[0].signal("TERM");
    sleep(Duration::from_millis(300));
    let _ = s.write_all(rest.as_bytes());
    let text = receive(&mut s);
    assert_eq!(status(&text), 503, "{text}");
    assert!(text.contains("CF1305"), "{text}");
    assert_eq!(f.routers[0].wait(), Some(0));
    assert!(started.elapsed() < SERVE + EXIT, "{:?}", started.elapsed());
}

/// Guards against callers that are told nothing, or something that does not hold, when a stop ends before their request.
#[test]
fn a_request_that_outlasts_a_stop_gets_a_response() {
    let mut f = start("1000");
    let (mut running, _) = begin(&f, false, 0);
    wait_for("the engine to run", || f.engine_stats(0)["started"] == 1);
    let (mut waiting, _) = begin(&f, false, 0);
    sleep(Duration::from_millis(200));
    let started = Instant::now();
    f.routers[0].signal("TERM");
    let text = receive(&mut running);
    assert_eq!(status(&text), 502, "{text}");
    assert!(text.contains("CF1306") && text.contains("x-ran: unknown"), "{text}");
    let text = receive(&mut waiting);
    assert_eq!(status(&text), 503, "{text}");
    assert!(text.contains("CF1315") && text.contains("x-ran: no"), "{text}");
    assert_eq!(f.routers[0].wait(), Some(0));
    assert!(started.elapsed() < SERVE + DRAIN + EXIT, "{:?}", started.elapsed());
    let log = f.routers[0].log();
    assert!(log.contains("CFE467") && log.contains("CFE412"), "{log}");
}

/// Guards against a stream that looks complete because a stop ended before it, or keeps its tokens.
#[test]
fn a_stream_that_outlasts_a_stop_ends_without_its_last_chunk() {
    let mut f = start("400");
    let (mut s, _) = begin(&f, true, 0);
    sleep(Duration::from_millis(500));
    f.routers[0].signal("TERM");
    let text = receive(&mut s);
    assert_eq!(status(&text), 200, "{text}");
    assert!(!text.ends_with("0\r\n\r\n"), "{text}");
    assert_eq!(f.routers[0].wait(), Some(0));
    assert!(f.routers[0].log().contains("CFE412"), "the slices were returned");
}
