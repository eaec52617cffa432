//! Tests that a stream continues only at the software version of a replica that began it. Runs real processes on
//! loopback.

#![allow(missing_docs)]

mod support;

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{Value, json};
use support::crashing::{header, read_request};
use support::gateways::*;
use support::silent_links::Silence;
use support::wait_for;

/// Events of a response.
const EVENTS: u64 = 14;

/// Time between two events.
const INTERVAL: Duration = Duration::from_millis(20);

/// The event after which callers stop reading, and after which replicas break responses off.
const BREAK: u64 = 5;

/// Marker in the path of requests whose first response breaks off.
const BREAKING: &str = "breaking";

/// Streams of one test.
const STREAMS: usize = 40;

/// Concurrent callers.
const CALLERS: usize = 8;

/// Time after its start from which a control process vouches for the versions of a service.
const CONTROL_VOUCHES_AFTER: Duration = Duration::from_secs(30);

/// Longest time for which a control process leaves a request of a gateway unanswered, with a margin.
const MAX_POLL: Duration = Duration::from_millis(1_300);

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

fn document(version: u64, services: &[&str]) -> Value {
    let targets: Vec<_> = services.iter().map(|s| json!({ "service": s, "weight": 1 })).collect();
    let services: Vec<_> = services
        .iter()
        .map(|s| {
            json!({ "name": s, "connections": 100,
                "engine": { "slots": 16, "memory": 100_000, "stride": 1 } })
        })
        .collect();
    json!({
        "version": version,
        "routes": [{
            "name": "talk", "host": HOST, "prefix": "/talk/", "kind": "stream", "timeout": 5000,
            "objective": 300, "attempts": 2, "resumable": true, "targets": targets,
        }],
        "services": services,
        "limits": { "head": 8192, "body": 65536, "head_within": 1000, "idle": 5000 },
        "accounts": [
            { "name": "club", "keys": ["club-key"], "prepaid": 10_000_000 },
            { "name": "guest", "keys": ["guest-key"], "prepaid": 10_000_000 },
        ],
    })
}

/// A replica whose events name its service and version. It may restart at its address with another version.
struct Replica {
    service: &'static str,
    name: String,
    version: Mutex<&'static str>,
    /// Start time of its process.
    born: AtomicU64,
    /// Whether it accepts requests and sends heartbeats.
    running: AtomicBool,
    stop: Arc<AtomicBool>,
    control: SocketAddr,
}

impl Replica {
    fn start(
        service: &'static str,
        name: &str,
        version: &'static str,
        control: SocketAddr,
        stop: Arc<AtomicBool>,
    ) -> Arc<Replica> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let replica = Arc::new(Replica {
            service,
            name: name.to_owned(),
            version: Mutex::new(version),
            born: AtomicU64::new(1_000),
            running: AtomicBool::new(true),
            stop,
            control,
        });
        let sender = replica.clone();
        thread::spawn(move || sender.send_heartbeats(address));
        let server = replica.clone();
        thread::spawn(move || {
            for s in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(s));
            }
        });
        replica
    }

    fn send_heartbeats(&self, address: SocketAddr) {
        for sequence in 1.. {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            if self.running.load(Ordering::Relaxed) {
                let version = *self.version.lock().unwrap();
                let heartbeat = json!({ "service": self.service, "address": address.to_string(),
                    "data_centre": "tamar-a", "slots": 16, "sequence": sequence, "version": version,
                    "born": self.born.load(Ordering::Relaxed) });
                let path = format!("/v1/replicas/{}", self.name);
                // A failed heartbeat is not retried: the next one follows.
                let _ = exchange(self.control, "PUT", &path, "", &heartbeat.to_string());
            }
            sleep(HEARTBEAT_INTERVAL);
        }
    }

    /// Restarts under the same id and address with another version. Heartbeats stop until `running` is set.
    fn restart_silently_as(&self, version: &'static str) {
        self.running.store(false, Ordering::Relaxed);
        self.born.fetch_add(1, Ordering::Relaxed);
        *self.version.lock().unwrap() = version;
    }

    /// Lets it accept requests and send heartbeats again.
    fn resume(&self) {
        self.running.store(true, Ordering::Relaxed);
    }

    /// Serves the requests on one connection. Each belongs to the process that accepted the connection.
    fn serve(&self, mut s: TcpStream) {
        let (version, born) = (*self.version.lock().unwrap(), self.born.load(Ordering::Relaxed));
        while let Some(text) = read_request(&mut s) {
            if self.born.load(Ordering::Relaxed) != born {
                return;
            }
            let id = header(&text, "x-request-id").to_owned();
            let start = header(&text, "x-replica-start");
            if header(&text, "x-replica") != self.name
                || (!start.is_empty() && start != born.to_string())
            {
                let head =
                    "HTTP/1.1 421 Misdirected Request\r\nX-Not-Run: true\r\nContent-Length: 0\r\n";
                let _ = write!(s, "{head}X-Request-Id: {id}\r\n\r\n");
                continue;
            }
            let last: u64 = header(&text, "last-event-id").parse().unwrap_or(0);
            let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
            if write!(s, "{head}X-Request-Id: {id}\r\n\r\n").is_err() {
                return;
            }
            for n in last + 1..=EVENTS {
                if n == BREAK && last == 0 && text.contains(BREAKING) {
                    return;
                }
                if self.born.load(Ordering::Relaxed) != born {
                    return;
                }
                let event = format!("id: {n}\ndata: {} {version}\n\n", self.service);
                if write!(s, "{:x}\r\n{event}\r\n", event.len()).is_err() {
                    return;
                }
                sleep(INTERVAL);
            }
            if s.write_all(b"0\r\n\r\n").is_err() {
                return;
            }
        }
    }
}

/// The headers by which a caller continues a stream.
#[derive(Clone, Copy)]
struct Resume<'a> {
    last: u64,
    id: Option<&'a str>,
}

fn send(gateway: SocketAddr, key: &str, path: &str, id: &str, resume: Option<Resume>) -> TcpStream {
    let mut s = TcpStream::connect(gateway).unwrap();
    s.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut headers = String::new();
    if let Some(r) = resume {
        headers = format!("Last-Event-Id: {}\r\n", r.last);
        if let Some(id) = r.id {
            headers += &format!("X-Resumes: {id}\r\n");
        }
    }
    let head = format!(
        "GET /talk/{path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nAuthorization: Bearer {key}\r\n\
         X-Tokens: 10,{EVENTS}\r\n{headers}Connection: close\r\n\r\n"
    );
    s.write_all(head.as_bytes()).unwrap();
    s
}

/// A response, whole or up to an event.
struct Response {
    status: u16,
    text: String,
}

impl Response {
    /// Reads a response up to event `last`, or to its end.
    fn read(mut s: TcpStream, last: Option<u64>) -> Response {
        let mut text = String::new();
        let mut buf = [0; 1024];
        let end = last.map(|n| format!("id: {n}\n"));
        while !end.as_ref().is_some_and(|end| text.contains(end)) {
            match s.read(&mut buf) {
                Ok(n) if n > 0 => text.push_str(&String::from_utf8_lossy(&buf[..n])),
                _ => break,
            }
        }
        let status = text.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        Response { status, text }
    }

    /// Returns the services and versions whose events it contains.
    fn origins(&self) -> BTreeSet<String> {
        let events = self.text.lines().filter_map(|l| l.strip_prefix("data: "));
        events.map(|data| data.trim_end().to_owned()).collect()
    }

    fn has_event(&self, n: u64) -> bool {
        self.text.contains(&format!("id: {n}\n"))
    }

    fn is_whole(&self) -> bool {
        self.status == 200 && self.text.ends_with("0\r\n\r\n")
    }
}

/// A fleet of several gateways with three replicas of each of two versions.
struct Setup {
    fleet: Fleet,
    gateways: Vec<ExtraGateway>,
    replicas: Vec<Arc<Replica>>,
    stop: Arc<AtomicBool>,
    started: Instant,
}

impl Setup {
    fn new(gateways: usize, replicas: &[(&'static str, &'static str)], services: &[&str]) -> Setup {
        Setup::with_fleet(Fleet::new(1), gateways, replicas, services)
    }

    /// Starts the processes of a fleet of which none runs yet.
    fn with_fleet(
        mut fleet: Fleet,
        gateways: usize,
        replicas: &[(&'static str, &'static str)],
        services: &[&str],
    ) -> Setup {
        let started = Instant::now();
        fleet.start_control(0, true);
        let gateways = fleet.start_extra_gateways_with(0, gateways, "retry_ratio: 1.0\n");
        let body = document(3, services).to_string();
        wait_for("the document to be accepted", || {
            matches!(fleet.call(0, "PUT", "/v1/document", &body), Some((200, _)))
        });
        let stop = Arc::<AtomicBool>::default();
        let start = |(n, (service, version)): (usize, &(&'static str, &'static str))| {
            Replica::start(service, &format!("t-{n}"), version, fleet.controls[0].api, stop.clone())
        };
        let replicas = replicas.iter().enumerate().map(start).collect();
        let f = Setup { fleet, gateways, replicas, stop, started };
        f.wait_until_known();
        f
    }

    /// Waits until every gateway has sent requests to all versions, so that it knows both.
    fn wait_until_known(&self) {
        let expected: BTreeSet<_> = self
            .replicas
            .iter()
            .map(|r| format!("{} {}", r.service, r.version.lock().unwrap()))
            .collect();
        for (g, gateway) in self.gateways.iter().enumerate() {
            let (mut n, mut seen) = (0, BTreeSet::new());
            wait_for("all versions to serve", || {
                n += 1;
                let s = send(gateway.listen, "club-key", "x", &format!("known-{g}-{n}"), None);
                seen.extend(Response::read(s, Some(1)).origins());
                seen.is_superset(&expected)
            });
        }
    }

    fn two_versions(gateways: usize) -> Setup {
        let versions = ["v1", "v2"].map(|v| [("talk", v); 3]).concat();
        Setup::new(gateways, &versions, &["talk"])
    }

    fn gateway(&self, n: usize) -> SocketAddr {
        self.gateways[n % self.gateways.len()].listen
    }

    /// Runs `caller` for each of the streams, some at a time, and returns the results.
    fn run_callers<T: Send>(&self, caller: impl Fn(usize) -> T + Sync) -> Vec<T> {
        let next = AtomicU64::new(0);
        let results = Mutex::new(Vec::new());
        thread::scope(|s| {
            for _ in 0..CALLERS {
                s.spawn(|| {
                    loop {
                        let n = next.fetch_add(1, Ordering::Relaxed) as usize;
                        if n >= STREAMS {
                            return;
                        }
                        let result = caller(n);
                        results.lock().unwrap().push(result);
                    }
                });
            }
        });
        results.into_inner().unwrap()
    }
}

impl Drop for Setup {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Returns the number of streams with events of more than one service or version.
fn mixed<'a>(streams: impl IntoIterator<Item = &'a [Response; 2]>) -> usize {
    let origins = |parts: &[Response; 2]| -> BTreeSet<_> {
        parts.iter().flat_map(Response::origins).collect()
    };
    streams.into_iter().filter(|parts| origins(parts).len() > 1).count()
}

/// Guards against a gateway that continues a stream at a replica of another software version after the first
/// replica has broken it off: the response then holds events of two versions, which do not fit together.
#[test]
fn a_stream_that_breaks_off_continues_at_its_version_within_one_response() {
    let f = Setup::two_versions(2);
    let responses = f.run_callers(|n| {
        // Requests that differ, because copies of one that loses its connections are quarantined.
        let path = format!("{BREAKING}-{n}");
        let s = send(f.gateway(n), "club-key", &path, &format!("s-{n}"), None);
        Response::read(s, None)
    });
    let mixed = responses.iter().filter(|r| r.origins().len() > 1).count();
    let whole = responses.iter().filter(|r| r.is_whole()).count();
    assert_eq!(mixed, 0, "of {STREAMS} responses");
    assert!(whole * 10 >= STREAMS * 9, "{whole} of {STREAMS} responses are whole");
}

/// Guards against a gateway that continues a caller's stream at another software version than the one that began
/// it, because another gateway sent the first attempt.
#[test]
fn a_resumed_stream_continues_at_the_version_that_began_it() {
    let f = Setup::two_versions(4);
    let streams = f.run_callers(|n| {
        let id = format!("s-{n}");
        let first = Response::read(send(f.gateway(n), "club-key", "x", &id, None), Some(BREAK));
        let resume = Resume { last: BREAK, id: Some(&id) };
        let s = send(f.gateway(n + 1), "club-key", "x", &format!("r-{n}"), Some(resume));
        [first, Response::read(s, None)]
    });
    let whole = streams.iter().filter(|[_, second]| second.is_whole()).count();
    assert_eq!(mixed(&streams), 0, "of {STREAMS} streams");
    assert!(whole * 10 >= STREAMS * 9, "{whole} of {STREAMS} streams went on");
}

/// Guards against a gateway that forgets a stream's origin after the first resumption: a third attempt names the
/// first one, which another gateway sent.
#[test]
fn a_stream_that_is_resumed_twice_stays_at_its_version() {
    let f = Setup::two_versions(4);
    let streams = f.run_callers(|n| {
        let id = format!("s-{n}");
        let first = Response::read(send(f.gateway(n), "club-key", "x", &id, None), Some(BREAK));
        let resume = |last| Some(Resume { last, id: Some(&id) });
        let s = send(f.gateway(n + 1), "club-key", "x", &format!("r-{n}"), resume(BREAK));
        let second = Response::read(s, Some(2 * BREAK));
        let s = send(f.gateway(n + 2), "club-key", "x", &format!("t-{n}"), resume(2 * BREAK));
        let mut third = Response::read(s, None);
        third.text = format!("{}{}", second.text, third.text);
        [first, third]
    });
    let whole = streams.iter().filter(|[_, third]| third.is_whole()).count();
    assert_eq!(mixed(&streams), 0, "of {STREAMS} streams");
    assert!(whole * 10 >= STREAMS * 9, "{whole} of {STREAMS} streams went on");
}

/// Guards against the loss of a stream's origin with the gateway that sent its first attempt: the caller's stream
/// then continues at any version, or nowhere.
#[test]
fn a_stream_continues_at_its_version_after_the_death_of_its_gateway() {
    let mut f = Setup::two_versions(6);
    let dying = f.gateways.len() / 2;
    let first = f.run_callers(|n| {
        let s = send(f.gateways[n % dying].listen, "club-key", "x", &format!("s-{n}"), None);
        Response::read(s, Some(BREAK))
    });
    for g in &mut f.gateways[..dying] {
        g.process.kill();
    }
    let first = Mutex::new(first.into_iter().map(Some).collect::<Vec<_>>());
    let survivors = &f.gateways[dying..];
    let streams = f.run_callers(|n| {
        let first = first.lock().unwrap()[n].take().unwrap();
        let id = header(&first.text, "x-request-id").to_owned();
        let resume = Resume { last: BREAK, id: Some(&id) };
        let gateway = survivors[n % survivors.len()].listen;
        let s = send(gateway, "club-key", "x", &format!("r-{n}"), Some(resume));
        [first, Response::read(s, None)]
    });
    let whole = streams.iter().filter(|[_, second]| second.is_whole()).count();
    assert_eq!(mixed(&streams), 0, "of {STREAMS} streams");
    assert!(whole * 10 >= STREAMS * 9, "{whole} of {STREAMS} streams went on");
}

/// Guards against a resumed stream whose service is drawn from the id of the new attempt instead of being the one
/// that began it.
#[test]
fn a_resumed_stream_continues_at_the_service_that_began_it() {
    let replicas = [("talk", "v1"), ("talk", "v1"), ("talk-next", "v1"), ("talk-next", "v1")];
    let f = Setup::new(2, &replicas, &["talk", "talk-next"]);
    let streams = f.run_callers(|n| {
        let id = format!("s-{n}");
        let first = Response::read(send(f.gateway(n), "club-key", "x", &id, None), Some(BREAK));
        let resume = Resume { last: BREAK, id: Some(&id) };
        let s = send(f.gateway(n + 1), "club-key", "x", &format!("r-{n}"), Some(resume));
        [first, Response::read(s, None)]
    });
    assert_eq!(mixed(&streams), 0, "of {STREAMS} streams");
}

/// Guards against streams that continue at any version because their origin is unknown: with the id of another
/// account's stream, with an id that no gateway has seen, and without an id.
#[test]
fn a_stream_of_unknown_origin_is_refused_where_versions_differ() {
    let f = Setup::two_versions(2);
    let first = Response::read(send(f.gateway(0), "club-key", "x", "s-1", None), Some(BREAK));
    assert!(first.has_event(BREAK));
    let status = |key: &str, attempt: &str, id: Option<&str>| {
        let resume = Resume { last: BREAK, id };
        Response::read(send(f.gateway(1), key, "x", attempt, Some(resume)), None).status
    };
    assert_eq!(status("guest-key", "a-1", Some("s-1")), 503, "another account");
    assert_eq!(status("club-key", "a-2", Some("s-2")), 503, "an unknown id");
    assert_eq!(status("club-key", "a-3", None), 503, "no id");
    assert_eq!(status("club-key", "a-4", Some("s-1")), 200, "its own");
}

/// Guards against a stream that continues where no replica of its version is left, and against a refusal that
/// asks the caller to wait for one.
#[test]
fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let f = Setup::new(2, &[("talk", "v1"), ("talk", "v2")], &["talk"]);
    let first = Response::read(send(f.gateway(0), "club-key", "x", "s-1", None), Some(BREAK));
    let gone = f.replicas.iter().find(|r| first.text.contains(*r.version.lock().unwrap())).unwrap();
    gone.running.store(false, Ordering::Relaxed);
    let path = format!("/v1/replicas/{}", gone.name);
    assert_eq!(f.fleet.call(0, "DELETE", &path, "").map(|(status, _)| status), Some(200));
    let mut refusal = String::new();
    let mut n = 0;
    wait_for("a refusal because the version is gone", || {
        n += 1;
        let resume = Resume { last: BREAK, id: Some("s-1") };
        let s = send(f.gateway(1), "club-key", "x", &format!("r-{n}"), Some(resume));
        let response = Response::read(s, None);
        assert!(response.origins().is_subset(&first.origins()), "{}", response.text);
        refusal = response.text;
        refusal.contains("CF1314")
    });
    assert!(refusal.starts_with("HTTP/1.1 503 "), "{refusal}");
    assert!(!refusal.to_ascii_lowercase().contains("retry-after"), "{refusal}");
}

/// Guards against a stream that continues at a replica that has restarted under its id and address with another
/// version, before its new heartbeats have arrived.
#[test]
fn a_stream_does_not_continue_at_a_restarted_replica_of_another_version() {
    let f = Setup::two_versions(2);
    let streams = f.run_callers(|n| {
        let id = format!("s-{n}");
        let first = Response::read(send(f.gateway(n), "club-key", "x", &id, None), Some(BREAK));
        if n == STREAMS / 2 {
            for r in f.replicas.iter().filter(|r| *r.version.lock().unwrap() == "v1") {
                r.restart_silently_as("v3");
            }
        }
        let resume = Resume { last: BREAK, id: Some(&id) };
        let s = send(f.gateway(n + 1), "club-key", "x", &format!("r-{n}"), Some(resume));
        [first, Response::read(s, None)]
    });
    assert_eq!(mixed(&streams), 0, "of {STREAMS} streams");
}

/// Guards against the refusal of all streams after the death of all gateways although a service has a single version,
/// and against a gateway that still believes so when it hears of no control process.
#[test]
fn a_stream_of_a_single_version_continues_after_the_death_of_all_gateways() {
    let mut f = Setup::new(2, &[("talk", "v1"); 2], &["talk"]);
    let mut n = 0;
    let mut status = |f: &Setup, id: Option<&str>| {
        n += 1;
        let resume = Resume { last: BREAK, id };
        let s = send(f.gateway(n), "club-key", "x", &format!("r-{n}"), Some(resume));
        let response = Response::read(s, None);
        if response.status != 200 {
            println!("{}", response.text);
        }
        response.status
    };
    // No stream can be older than the fleet.
    wait_for("streams without an origin to continue in a new fleet", || status(&f, None) == 200);
    assert!(f.started.elapsed() < CONTROL_VOUCHES_AFTER);
    let restarted = Instant::now();
    f.fleet.controls[0].process.as_mut().unwrap().kill();
    f.fleet.start_control(0, false);
    wait_for("the control process to have just started", || status(&f, None) == 503);
    // The control process vouches for the versions after a time, which may exceed that of one wait.
    while restarted.elapsed() < CONTROL_VOUCHES_AFTER {
        let answer = status(&f, None);
        if restarted.elapsed() < CONTROL_VOUCHES_AFTER {
            assert_eq!(answer, 503, "the control process has just started");
        }
        sleep(HEARTBEAT_INTERVAL);
    }
    wait_for("streams without an origin to continue", || status(&f, None) == 200);
    let first = Response::read(send(f.gateway(0), "club-key", "x", "s-1", None), Some(BREAK));
    assert!(first.has_event(BREAK));
    for g in &mut f.gateways {
        g.process.kill();
    }
    let Setup { fleet, gateways, .. } = &mut f;
    gateways.iter_mut().for_each(|g| fleet.restart_extra_gateway(g));
    for g in &f.gateways {
        wait_for("the gateway to serve", || TcpStream::connect(g.listen).is_ok());
    }
    wait_for("the stream to continue", || status(&f, Some("s-1")) == 200);
    f.fleet.controls[0].process.as_mut().unwrap().kill();
    // A stream that went on shortly before has a known origin.
    let mut unknown = 0;
    wait_for("a refusal by a gateway that is cut off", || {
        unknown += 1;
        status(&f, Some(&format!("unknown-{unknown}"))) == 503
    });
}

/// How replicas of another version take the place of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Replacement {
    /// They keep the ids and addresses of those before.
    SameIds,
    /// They have ids and addresses of their own, and those before leave.
    NewIds,
}

impl Replacement {
    /// Replaces all replicas by those of another version.
    fn apply(self, f: &mut Setup, version: &'static str) {
        let old = match self {
            Replacement::SameIds => {
                f.replicas.iter().for_each(|r| r.restart_silently_as(version));
                f.replicas.iter().for_each(|r| r.resume());
                return;
            }
            Replacement::NewIds => std::mem::take(&mut f.replicas),
        };
        let control = f.fleet.controls[0].api;
        let start = |n| {
            let name = format!("{version}-{n}");
            Replica::start("talk", &name, version, control, f.stop.clone())
        };
        f.replicas = (0..old.len()).map(start).collect();
        for r in old {
            r.running.store(false, Ordering::Relaxed);
            let left = f.fleet.call(0, "DELETE", &format!("/v1/replicas/{}", r.name), "");
            assert_eq!(left.map(|(status, _)| status), Some(200));
        }
    }
}

impl Setup {
    /// Kills all gateways at once and starts them again.
    fn restart_gateways(&mut self) {
        self.gateways.iter_mut().for_each(|g| g.process.kill());
        let Setup { fleet, gateways, .. } = self;
        gateways.iter_mut().for_each(|g| fleet.restart_extra_gateway(g));
        for g in gateways {
            wait_for("the gateway to serve", || TcpStream::connect(g.listen).is_ok());
        }
    }
}

/// Guards against streams that are joined from two versions after the death of all gateways: those that start again know
/// only the version that replaced the one before, which has begun the streams.
#[rstest]
#[case(Replacement::SameIds)]
#[case(Replacement::NewIds)]
fn streams_of_a_replaced_version_do_not_continue_after_the_death_of_all_gateways(
    #[case] replacement: Replacement,
) {
    let mut f = Setup::new(2, &[("talk", "v1"); 3], &["talk"]);
    let first = f.run_callers(|n| {
        Response::read(send(f.gateway(n), "club-key", "x", &format!("s-{n}"), None), Some(BREAK))
    });
    replacement.apply(&mut f, "v2");
    f.wait_until_known();
    f.restart_gateways();
    let first = Mutex::new(first.into_iter().map(Some).collect::<Vec<_>>());
    let streams = f.run_callers(|n| {
        let first = first.lock().unwrap()[n].take().unwrap();
        let id = header(&first.text, "x-request-id").to_owned();
        let resume = Resume { last: BREAK, id: Some(&id) };
        let s = send(f.gateway(n), "club-key", "x", &format!("r-{n}"), Some(resume));
        [first, Response::read(s, None)]
    });
    assert_eq!(mixed(&streams), 0, "of {STREAMS} streams");
}

/// Guards against a gateway that infers the version of a stream from a list that no longer holds: while its links to control
/// processes are silent, another version joins and begins streams at other gateways, whose origins are lost.
#[test]
fn a_gateway_that_hears_of_no_new_version_does_not_infer_one() {
    let mut fleet = Fleet::new(1);
    let links = fleet.proxy_controls();
    let mut f = Setup::with_fleet(fleet, 2, &[("talk", "v1"); 2], &["talk"]);
    let mut n = 0;
    let mut resume = |f: &Setup| {
        n += 1;
        // No gateway knows this attempt.
        let (id, lost) = (format!("r-{n}"), format!("lost-{n}"));
        let resume = Resume { last: BREAK, id: Some(&lost) };
        Response::read(send(f.gateway(1), "club-key", "x", &id, Some(resume)), None)
    };
    wait_for("streams without an origin to continue", || resume(&f).status == 200);
    assert!(links.silence(Silence::Both, |opener, _| opener == "neighbour-1") > 0);
    let control = f.fleet.controls[0].api;
    f.replicas.push(Replica::start("talk", "v2", "v2", control, f.stop.clone()));
    let mut n = 0;
    wait_for("the new version to serve", || {
        n += 1;
        let s = send(f.gateway(0), "club-key", "x", &format!("known-{n}"), None);
        Response::read(s, Some(1)).origins().contains("talk v2")
    });
    for _ in 0..20 {
        let response = resume(&f);
        assert_eq!(response.status, 503, "{}", response.text);
    }
}

/// Guards against a gateway that stood still while another version joined: when it goes on, it reads what a control process
/// said before, takes it as said now, and continues streams of the new version at the old one.
#[test]
fn a_gateway_that_stood_still_does_not_trust_what_it_reads_late() {
    let mut f = Setup::new(3, &[("talk", "v1"); 2], &["talk"]);
    wait_for("streams without an origin to continue", || {
        let s = send(f.gateway(1), "club-key", "x", "s-0", Some(Resume { last: BREAK, id: None }));
        Response::read(s, None).status == 200
    });
    f.gateways[1].process.signal("STOP");
    // By then the control process has answered the last request of the gateway.
    sleep(MAX_POLL);
    let control = f.fleet.controls[0].api;
    for n in 0..2 {
        let name = format!("v2-{n}");
        f.replicas.push(Replica::start("talk", &name, "v2", control, f.stop.clone()));
    }
    let mut n = 0;
    wait_for("the new version to serve", || {
        n += 1;
        let s = send(f.gateway(0), "club-key", "x", &format!("known-{n}"), None);
        Response::read(s, Some(1)).origins().contains("talk v2")
    });
    let first = f.run_callers(|n| {
        Response::read(send(f.gateway(0), "club-key", "x", &format!("s-{n}"), None), Some(BREAK))
    });
    for n in [0, 2] {
        f.gateways[n].process.kill();
    }
    f.fleet.restart_extra_gateway(&mut f.gateways[2]);
    wait_for("the gateway to serve", || TcpStream::connect(f.gateways[2].listen).is_ok());
    let resumed: Vec<_> = first
        .iter()
        .enumerate()
        .map(|(n, first)| {
            let id = header(&first.text, "x-request-id");
            let resume = Resume { last: BREAK, id: Some(id) };
            send(f.gateways[1].listen, "club-key", "x", &format!("r-{n}"), Some(resume))
        })
        .collect();
    f.gateways[1].process.signal("CONT");
    let second = resumed.into_iter().map(|s| Response::read(s, None));
    let streams: Vec<_> = first.into_iter().zip(second).map(|(a, b)| [a, b]).collect();
    assert_eq!(mixed(&streams), 0, "of {STREAMS} streams");
}
