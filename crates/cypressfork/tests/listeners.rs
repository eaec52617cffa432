//! Each listener of a control process and a gateway answers only the calls of its own job.

#![allow(missing_docs)]

mod support;

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use cypressfork_control::dialect::Dialect;
use cypressfork_control::listener::Listener;
use cypressfork_control::native::Native;
use cypressfork_http::operators::METRICS_LISTENER_PATHS;
use cypressfork_router::gateway::run::OPERATOR_PATHS;
use cypressfork_wire::auth::{Handshake, Key, NONCE_LEN, Side};
use cypressfork_wire::frame::{LENGTH_PREFIX_LEN, MAX_FRAME, add_length_prefix};
use serde_json::json;
use support::gateways::*;
use support::{Process, wait_for};

/// The readiness check of a gateway whose settings do not name another.
const READY_PATH: &str = "/readyz";

/// Result code of a call that a listener of a control process does not take.
const CALL_FOREIGN: &str = "CF1112";

/// Number of links whose peers claim frames that they do not send.
const CLAIMING_LINKS: usize = 40;

/// A listener with the calls that it takes.
struct Door {
    name: &'static str,
    address: SocketAddr,
    calls: Vec<(String, String)>,
}

/// Returns the calls of a control process's listener, with a name in each path that takes one.
fn routes(listener: Listener) -> Vec<(String, String)> {
    let routes = Native::ROUTES.iter().filter(|r| listener.takes(r.kind));
    let path =
        |path: &str| if path.ends_with('/') { format!("{path}x-1") } else { path.to_owned() };
    routes.map(|r| (r.method.to_owned(), path(r.path))).collect()
}

fn gets(paths: &[&str]) -> Vec<(String, String)> {
    paths.iter().map(|p| ("GET".to_owned(), (*p).to_owned())).collect()
}

/// Returns all listeners that answer over HTTP.
fn doors(f: &Fleet) -> Vec<Door> {
    let c = &f.controls[0];
    let ready = [&OPERATOR_PATHS[..], &[READY_PATH]].concat();
    let door = |name, address, calls| Door { name, address, calls };
    vec![
        door("control", c.api, routes(Listener::Control)),
        door("directory", c.entry, routes(Listener::Directory)),
        door("metrics of control", c.metrics, gets(&METRICS_LISTENER_PATHS)),
        door("ready", f.operators, gets(&ready)),
        door("metrics of the gateway", f.metrics, gets(&METRICS_LISTENER_PATHS)),
        door("front", f.listen, Vec::new()),
    ]
}

/// Returns whether a response says that the listener does not take the call. Calls that a control process takes may end
/// with 404 for another reason.
fn is_foreign(door: &Door, (status, v): &(u16, serde_json::Value)) -> bool {
    match door.name {
        "control" | "directory" => *status == 404 && v["error"]["code"] == CALL_FOREIGN,
        _ => *status == 404,
    }
}

/// Guards against a listener that carries out calls of another one's job, such as a document that callers publish at the
/// address where they ask for gateways.
#[test]
fn every_listener_refuses_the_calls_of_the_others() {
    let f = Fleet::serving();
    let doors = doors(&f);
    let mut calls: Vec<_> = doors.iter().flat_map(|d| d.calls.clone()).collect();
    calls.push(("GET".to_owned(), "/".to_owned()));
    calls.push(("POST".to_owned(), "/v1/entry".to_owned()));
    calls.push(("GET".to_owned(), "/v1/documents".to_owned()));
    let mut wrong = Vec::new();
    // Calls that change something come last, at the listener that takes them.
    for door in doors.iter().rev() {
        for (method, path) in &calls {
            let answer = exchange(door.address, method, path, CALLER_HEADERS, "").unwrap();
            let takes = door.calls.iter().any(|c| c.0 == *method && c.1 == *path);
            if is_foreign(door, &answer) == takes {
                wrong.push(format!("{}: {method} {path}: {}", door.name, answer.0));
            }
        }
        if door.name != "control" {
            assert_eq!(f.version(0), Some(3), "{}: the document has changed", door.name);
            assert_eq!(f.get("/board/x").unwrap().0, 200, "{}: a replica has left", door.name);
        }
    }
    assert!(wrong.is_empty(), "answered wrongly:\n{}", wrong.join("\n"));
}

/// Guards against calls that a caller makes at the directory and that take effect.
#[test]
fn the_directory_publishes_nothing_and_shows_no_keys() {
    let f = Fleet::serving();
    let entry = f.controls[0].entry;
    let document = document(9).to_string();
    let calls = [
        ("PUT", "/v1/document", document.as_str()),
        ("GET", "/v1/document", ""),
        ("DELETE", "/v1/replicas/b-1", ""),
        ("PUT", "/v1/evacuations/tamar-a", ""),
    ];
    let mut wrong = Vec::new();
    for (method, path, body) in calls {
        let (status, v) = exchange(entry, method, path, "", body).unwrap();
        if status != 404 || v["error"]["code"] != CALL_FOREIGN || v.to_string().contains("club-key")
        {
            wrong.push(format!("{method} {path}: {status}"));
        }
    }
    assert!(wrong.is_empty(), "the directory answered {wrong:?}");
    assert_eq!(f.version(0), Some(3));
    assert_eq!(f.get("/board/x").unwrap().0, 200);
    assert_eq!(
        f.ask_directory(0, "tamar-a").unwrap().1["addresses"],
        json!([f.listen.to_string()])
    );
}

/// Guards against a directory that waits for, or holds, the body of a call that it does not take.
#[test]
fn a_foreign_call_is_refused_by_its_head() {
    let f = Fleet::serving();
    let started = Instant::now();
    let mut s = TcpStream::connect(f.controls[0].entry).unwrap();
    s.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    write!(s, "PUT /v1/document HTTP/1.1\r\nHost: x\r\nContent-Length: 8000000\r\n\r\n").unwrap();
    let mut head = [0; 12];
    s.read_exact(&mut head).unwrap();
    let took = started.elapsed();
    assert_eq!(&head, b"HTTP/1.1 404");
    assert!(took < Duration::from_secs(2), "refused after {took:?}");
}

/// Guards against a log that a client can fill with calls that are not for the listener.
#[test]
fn foreign_calls_are_counted_and_seldom_logged() {
    let f = Fleet::serving();
    let c = &f.controls[0];
    let path = format!("/v1/document/{}", "x".repeat(4_000));
    let started = Instant::now();
    for _ in 0..300 {
        assert_eq!(exchange(c.entry, "PUT", &path, "", "").unwrap().0, 404);
    }
    let seconds = started.elapsed().as_secs() as usize;
    let refused = "cypressfork_calls_refused_total{code=\"1112\"}";
    assert_eq!(metric_value(c.metrics, refused), Some(300.0));
    let is_logged = || read_log(f.dir.path(), "control-0").contains("CFE337");
    wait_for("a line in the log", is_logged);
    let log = read_log(f.dir.path(), "control-0");
    let lines: Vec<_> = log.lines().filter(|l| l.contains("document/xxx")).collect();
    assert!(lines.len() <= seconds + 2, "{} lines in {seconds} s", lines.len());
    assert!(lines.iter().all(|l| l.len() < 600), "{lines:?}");
}

/// Guards against a link listener that answers clients over HTTP.
#[test]
fn a_link_listener_closes_connections_with_a_foreign_protocol() {
    let f = Fleet::serving();
    for (name, link) in [("control", f.controls[0].listen), ("gateway", f.link)] {
        for (method, path) in routes(Listener::Shared) {
            let started = Instant::now();
            let mut s = TcpStream::connect(link).unwrap();
            s.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
            let request = format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n");
            s.write_all(request.as_bytes()).unwrap();
            let mut received = Vec::new();
            // A reset is an end as well.
            let _ = s.read_to_end(&mut received);
            let took = started.elapsed();
            assert!(took < Duration::from_secs(1), "{name}: open for {took:?}");
            assert!(!received.windows(5).any(|w| w == b"HTTP/"), "{name}: {method} {path}");
        }
    }
}

/// Performs the handshake of a link as a peer that knows the cluster's name.
fn open_link(to: SocketAddr) -> TcpStream {
    let mut s = TcpStream::connect(to).unwrap();
    s.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let read = |s: &mut TcpStream| {
        let mut length = [0; LENGTH_PREFIX_LEN];
        s.read_exact(&mut length).unwrap();
        let mut payload = vec![0; u32::from_be_bytes(length) as usize];
        s.read_exact(&mut payload).unwrap();
        payload
    };
    let nonce = [7; NONCE_LEN];
    let mut hs = Handshake::new(Key::new(b"test"), Side::Client, "test", "stranger", nonce);
    s.write_all(&add_length_prefix(&hs.hello())).unwrap();
    let hello = read(&mut s);
    let proof = hs.on_hello(&hello).unwrap();
    s.write_all(&add_length_prefix(&proof)).unwrap();
    let proof = read(&mut s);
    assert!(hs.on_proof(&proof).is_ok());
    s
}

/// Returns the address space of a process, in KiB.
fn address_space(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmSize:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Guards against memory that a peer takes by the length of a frame that it never sends.
#[test]
fn a_claimed_length_takes_no_memory() {
    let f = Fleet::serving();
    let pid = |p: &Option<Process>| p.as_ref().unwrap().id();
    let listeners =
        [(f.controls[0].listen, pid(&f.controls[0].process)), (f.link, pid(&f.gateway))];
    for (link, pid) in listeners {
        let before = address_space(pid);
        let claim = u32::try_from(MAX_FRAME).unwrap().to_be_bytes();
        let open: Vec<_> = (0..CLAIMING_LINKS)
            .map(|_| {
                let mut s = open_link(link);
                s.write_all(&claim).unwrap();
                s
            })
            .collect();
        sleep(Duration::from_millis(500));
        let grown = address_space(pid).saturating_sub(before);
        assert!(grown < 64 * 1024, "{link}: {grown} KiB for {} links", open.len());
        // A length above the cap ends the link at once.
        let (started, mut s) = (Instant::now(), open_link(link));
        s.write_all(&u32::MAX.to_be_bytes()).unwrap();
        let _ = s.read_to_end(&mut Vec::new());
        assert!(started.elapsed() < Duration::from_secs(1), "{link}: {:?}", started.elapsed());
    }
}
