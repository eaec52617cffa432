//! Replicas that certain requests crash, and callers that send requests at a fixed rate.

use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime};

use serde_json::{Value, json};

use super::gateways::{HOST, exchange};

/// Text in the path or body of a poison request: a request that crashes every replica that runs it.
pub const POISON_MARKER: &str = "ends-its-replica";

/// Time from the arrival of a poison request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(40);

/// Run time of a harmless request.
const RUN_TIME: Duration = Duration::from_millis(60);

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Interval at which a replica polls for new connections.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Arrivals and crashes recorded by the replicas.
#[derive(Default)]
pub struct CrashRecord {
    /// Arrivals of poison requests: the marker with its suffix, and the time.
    pub poison_arrivals: Mutex<Vec<(String, Instant)>>,
    /// Crashes of replicas: the poison request that caused them, and the time.
    pub crashes: Mutex<Vec<(String, Instant)>>,
}

impl CrashRecord {
    /// Returns the time of the third crash that `poison` caused.
    pub fn third_crash(&self, poison: &str) -> Option<Instant> {
        let crashes = self.crashes.lock().unwrap();
        crashes.iter().filter(|(p, _)| p == poison).nth(2).map(|(_, at)| *at)
    }

    /// Counts arrivals of `poison` after `since`.
    pub fn arrivals(&self, poison: &str, since: Instant) -> usize {
        let all = self.poison_arrivals.lock().unwrap();
        all.iter().filter(|(p, at)| p == poison && *at > since).count()
    }
}

/// The identity under which a replica restarts.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum RestartAs {
    /// A new id.
    NewId,
    /// The same id, with heartbeats numbered from the start.
    SameId,
    /// The same id, with the start time in its heartbeats.
    SameIdBorn,
}

/// What happens to a replica's listening socket at a crash.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Socket {
    /// The socket and all connections close.
    Closes,
    /// The connections close at once, the socket after this delay, as with a process that exits slowly.
    ClosesAfter(Duration),
    /// A supervisor keeps it open and passes it to the next process.
    Held,
}

/// A replica that restarts at its address after each crash until `stop` is set.
pub struct CrashingReplica {
    pub address: SocketAddr,
    pub name: String,
    pub restart_as: RestartAs,
    pub socket: Socket,
    pub downtime: Duration,
    pub controls: Vec<SocketAddr>,
    pub crash_record: Arc<CrashRecord>,
    pub stop: Arc<AtomicBool>,
}

/// One process of a replica, from its start to its crash.
struct Incarnation {
    id: String,
    ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl CrashingReplica {
    /// Starts the replica in a thread.
    pub fn start(self) {
        thread::spawn(move || self.run());
    }

    fn run(&self) {
        let mut incarnations = 0;
        let mut held = None;
        while !self.stop.load(Ordering::Relaxed) {
            incarnations += 1;
            let id = match self.restart_as {
                RestartAs::NewId => format!("{}-{incarnations}", self.name),
                RestartAs::SameId | RestartAs::SameIdBorn => self.name.clone(),
            };
            let incarnation =
                Incarnation { id, ended: AtomicBool::new(false), connections: Mutex::default() };
            let listener = held.take().unwrap_or_else(|| TcpListener::bind(self.address).unwrap());
            held = self.run_incarnation(&Arc::new(incarnation), listener);
            sleep(self.downtime);
        }
    }

    /// Runs one process of the replica. Returns the listening socket if it outlasts the process.
    fn run_incarnation(
        &self,
        incarnation: &Arc<Incarnation>,
        listener: TcpListener,
    ) -> Option<TcpListener> {
        listener.set_nonblocking(true).unwrap();
        self.send_heartbeats(incarnation);
        while !incarnation.ended.load(Ordering::Relaxed) && !self.stop.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    incarnation.connections.lock().unwrap().push(stream.try_clone().unwrap());
                    let (incarnation, crash_record) =
                        (incarnation.clone(), self.crash_record.clone());
                    thread::spawn(move || serve(&incarnation, &crash_record, stream));
                }
                Err(_) => sleep(POLL_INTERVAL),
            }
        }
        let end_connections = || {
            for s in incarnation.connections.lock().unwrap().drain(..) {
                let _ = s.shutdown(Shutdown::Both);
            }
        };
        match self.socket {
            // Matches a process exit: the port closes first, then the connections below.
            Socket::Closes => drop(listener),
            Socket::ClosesAfter(later) => {
                end_connections();
                sleep(later);
                drop(listener);
            }
            Socket::Held => {
                end_connections();
                return Some(listener);
            }
        }
        end_connections();
        None
    }

    fn send_heartbeats(&self, incarnation: &Arc<Incarnation>) {
        let (incarnation, controls, stop) =
            (incarnation.clone(), self.controls.clone(), self.stop.clone());
        let address = self.address.to_string();
        let born = match self.restart_as {
            RestartAs::SameIdBorn => unix_ms(),
            RestartAs::NewId | RestartAs::SameId => 0,
        };
        thread::spawn(move || {
            let mut sequence = 0;
            while !incarnation.ended.load(Ordering::Relaxed) && !stop.load(Ordering::Relaxed) {
                sequence += 1;
                let heartbeat = json!({ "service": "board", "address": address,
                    "data_centre": "tamar-a", "slots": 16, "sequence": sequence, "born": born });
                let path = format!("/v1/replicas/{}", incarnation.id);
                let to = controls[sequence % controls.len()];
                // The result is ignored: the next heartbeat goes to another control process.
                let _ = exchange(to, "PUT", &path, "", &heartbeat.to_string());
                sleep(HEARTBEAT_INTERVAL);
            }
        });
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}

/// Reads one request and returns its head and body as text, `None` if the connection closes first.
pub fn read_request(s: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut buf = [0; 4096];
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|l| {
                let (name, value) = l.split_once(": ")?;
                name.eq_ignore_ascii_case("content-length").then(|| value.parse().ok())?
            });
            if body.len() >= length.unwrap_or(0) {
                return Some(text);
            }
        }
        match s.read(&mut buf) {
            Ok(n) if n > 0 => text.push_str(&String::from_utf8_lossy(&buf[..n])),
            _ => return None,
        }
    }
}

/// Returns the value of a header, empty if it is absent.
pub fn header<'a>(text: &'a str, name: &str) -> &'a str {
    let mut lines = text.lines().filter_map(|l| l.split_once(": "));
    lines.find(|(k, _)| k.eq_ignore_ascii_case(name)).map_or("", |(_, v)| v)
}

fn serve(incarnation: &Incarnation, crash_record: &CrashRecord, mut s: TcpStream) {
    while let Some(text) = read_request(&mut s) {
        if header(&text, "x-replica") != incarnation.id {
            let id = header(&text, "x-request-id");
            let head = format!("X-Request-Id: {id}\r\nX-Not-Run: true\r\nContent-Length: 0");
            if write!(s, "HTTP/1.1 421 Misdirected Request\r\n{head}\r\n\r\n").is_err() {
                return;
            }
            continue;
        }
        if let Some(at) = text.find(POISON_MARKER) {
            let poison: String = text[at..].chars().take_while(|c| !c.is_whitespace()).collect();
            crash_record.poison_arrivals.lock().unwrap().push((poison.clone(), Instant::now()));
            sleep(CRASH_DELAY);
            if !incarnation.ended.swap(true, Ordering::Relaxed) {
                crash_record.crashes.lock().unwrap().push((poison, Instant::now()));
            }
            return;
        }
        sleep(RUN_TIME);
        let id = header(&text, "x-request-id");
        let head = format!("X-Request-Id: {id}\r\nContent-Length: 2");
        if incarnation.ended.load(Ordering::Relaxed)
            || write!(s, "HTTP/1.1 200 OK\r\n{head}\r\n\r\nok").is_err()
        {
            return;
        }
    }
}

/// The number of requests that callers sent, and their results.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    pub sent: usize,
    pub served: usize,
    /// The result codes of the requests that were not served, empty where the connection closed without an answer.
    pub codes: Vec<String>,
}

impl Outcomes {
    /// Counts the answers with this result code.
    pub fn count_code(&self, code: &str) -> usize {
        self.codes.iter().filter(|c| *c == code).count()
    }

    /// Returns the distinct codes.
    pub fn distinct_codes(&self) -> HashSet<&str> {
        self.codes.iter().map(String::as_str).collect()
    }
}

/// Callers that send to the gateways in turn until `stop` is set.
pub struct Callers {
    pub gateways: Arc<Mutex<Vec<SocketAddr>>>,
    pub stop: Arc<AtomicBool>,
    pub outcomes: Arc<Mutex<Outcomes>>,
    sent: Arc<AtomicU64>,
}

impl Callers {
    pub fn new(gateways: Arc<Mutex<Vec<SocketAddr>>>) -> Callers {
        Callers { gateways, stop: Arc::default(), outcomes: Arc::default(), sent: Arc::default() }
    }

    /// Starts a thread that sends a request every `interval`; `request` maps its number to method, path and body,
    /// and `name` is the prefix of the request ids.
    pub fn send(
        &self,
        name: &str,
        interval: Duration,
        request: impl Fn(u64) -> (&'static str, String, String) + Send + 'static,
    ) {
        let (gateways, stop) = (self.gateways.clone(), self.stop.clone());
        let (outcomes, sent, name) = (self.outcomes.clone(), self.sent.clone(), name.to_owned());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let n = sent.fetch_add(1, Ordering::Relaxed);
                let to = {
                    let all = gateways.lock().unwrap();
                    all[n as usize % all.len()]
                };
                let (method, path, body) = request(n);
                let head = format!(
                    "X-Request-Id: {name}-{n}\r\nAuthorization: Bearer club-key\r\nX-Timeout-Ms: 2000\r\n"
                );
                let outcomes = outcomes.clone();
                thread::spawn(move || {
                    let answer = exchange(to, method, &path, &head, &body);
                    count_answer(&mut outcomes.lock().unwrap(), answer);
                });
                sleep(interval);
            }
        });
    }

    /// Returns the outcomes so far.
    pub fn outcomes(&self) -> Outcomes {
        self.outcomes.lock().unwrap().clone()
    }
}

fn count_answer(outcomes: &mut Outcomes, answer: Option<(u16, Value)>) {
    outcomes.sent += 1;
    match answer {
        Some((200, _)) => outcomes.served += 1,
        Some((_, v)) => {
            outcomes.codes.push(v["error"]["code"].as_str().unwrap_or_default().to_owned());
        }
        None => outcomes.codes.push(String::new()),
    }
}

/// Returns a document with a retryable and a non-retryable route to the same replicas.
pub fn document_with_two_routes(version: u64) -> Value {
    let route = |name: &str, kind: &str, attempts: u32| {
        json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
            "timeout": 2000, "objective": 500, "attempts": attempts,
            "targets": [{ "service": "board", "weight": 1 }],
        })
    };
    json!({
        "version": version,
        "routes": [route("board", "safe", 2), route("moves", "unsafe", 1)],
        "services": [{ "name": "board", "connections": 200 }],
        "limits": { "head": 8192, "body": 65536, "head_within": 1000, "idle": 5000 },
        "accounts": [
            { "name": "club", "keys": ["club-key"], "prepaid": 1000 },
            { "name": "school", "keys": ["school-key"], "prepaid": 1000 },
        ],
    })
}
