//! Replicas that one request ends, callers that send it again and again, and sound work beside it.

use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime};

use serde_json::{Value, json};

use super::gateways::{HOST, exchange};

/// What a request holds, in its path or body, that ends the replicas that run it.
pub const KILLER: &str = "ends-its-replica";

/// How long a replica has run a killer when it ends.
const ENDS_AFTER: Duration = Duration::from_millis(40);

/// How long a sound request runs.
const RUN: Duration = Duration::from_millis(60);

/// How often a replica tells of itself.
const BEAT_EVERY: Duration = Duration::from_millis(300);

/// How often a replica looks for connections.
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// What the replicas have seen.
#[derive(Default)]
pub struct Seen {
    /// Arrivals of requests that end their replicas: what they hold besides, and when.
    pub killers: Mutex<Vec<(String, Instant)>>,
    /// Ends of replicas, by what ended them.
    pub ends: Mutex<Vec<(String, Instant)>>,
}

impl Seen {
    /// When `killer` had ended its third replica.
    pub fn third_end(&self, killer: &str) -> Option<Instant> {
        let ends = self.ends.lock().unwrap();
        ends.iter().filter(|(k, _)| k == killer).nth(2).map(|(_, at)| *at)
    }

    /// How often `killer` has reached a replica after `since`.
    pub fn arrivals(&self, killer: &str, since: Instant) -> usize {
        let all = self.killers.lock().unwrap();
        all.iter().filter(|(k, at)| k == killer && *at > since).count()
    }
}

/// How a replica comes back.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Back {
    /// Under another id.
    NewId,
    /// Under the id that it had, with its heartbeats numbered anew.
    SameId,
    /// The same, and its heartbeats tell when it started.
    SameIdBorn,
}

/// What becomes of a replica's listening socket when the replica ends.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Socket {
    /// It closes, and with it all connections.
    Closes,
    /// The connections end, and it closes so much later: the process takes a while to exit.
    ClosesAfter(Duration),
    /// A supervisor holds it, and hands it to the next life.
    Held,
}

/// A replica that ends and starts again at its address for as long as `over` is not set.
pub struct CrashingReplica {
    pub address: SocketAddr,
    pub name: String,
    pub back: Back,
    pub socket: Socket,
    pub down: Duration,
    pub controls: Vec<SocketAddr>,
    pub seen: Arc<Seen>,
    pub over: Arc<AtomicBool>,
}

/// One life of a replica.
struct Life {
    id: String,
    ended: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl CrashingReplica {
    pub fn start(self) {
        thread::spawn(move || self.live_forever());
    }

    fn live_forever(&self) {
        let mut lives = 0;
        let mut held = None;
        while !self.over.load(Ordering::Relaxed) {
            lives += 1;
            let id = match self.back {
                Back::NewId => format!("{}-{lives}", self.name),
                Back::SameId | Back::SameIdBorn => self.name.clone(),
            };
            let life = Life { id, ended: AtomicBool::new(false), open: Mutex::default() };
            let listener = held.take().unwrap_or_else(|| TcpListener::bind(self.address).unwrap());
            held = self.live(&Arc::new(life), listener);
            sleep(self.down);
        }
    }

    /// Runs one life. Returns the listening socket if it outlasts it.
    fn live(&self, life: &Arc<Life>, listener: TcpListener) -> Option<TcpListener> {
        listener.set_nonblocking(true).unwrap();
        self.beat_while(life);
        while !life.ended.load(Ordering::Relaxed) && !self.over.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    life.open.lock().unwrap().push(stream.try_clone().unwrap());
                    let (life, seen) = (life.clone(), self.seen.clone());
                    thread::spawn(move || serve(&life, &seen, stream));
                }
                Err(_) => sleep(LOOK_EVERY),
            }
        }
        let end_connections = || {
            for s in life.open.lock().unwrap().drain(..) {
                let _ = s.shutdown(Shutdown::Both);
            }
        };
        match self.socket {
            // As when a process ends: its port is closed, and with it all that was open.
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

    fn beat_while(&self, life: &Arc<Life>) {
        let (life, controls, over) = (life.clone(), self.controls.clone(), self.over.clone());
        let address = self.address.to_string();
        let born = match self.back {
            Back::SameIdBorn => unix_ms(),
            Back::NewId | Back::SameId => 0,
        };
        thread::spawn(move || {
            let mut sequence = 0;
            while !life.ended.load(Ordering::Relaxed) && !over.load(Ordering::Relaxed) {
                sequence += 1;
                let beat = json!({ "service": "board", "address": address,
                    "data_centre": "tamar-a", "slots": 16, "sequence": sequence, "born": born });
                let path = format!("/v1/replicas/{}", life.id);
                let to = controls[sequence % controls.len()];
                // The next heartbeat goes to another control process.
                let _ = exchange(to, "PUT", &path, "", &beat.to_string());
                sleep(BEAT_EVERY);
            }
        });
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}

/// Reads one request: its head and body as text.
pub fn request(s: &mut TcpStream) -> Option<String> {
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

pub fn header<'a>(text: &'a str, name: &str) -> &'a str {
    let mut lines = text.lines().filter_map(|l| l.split_once(": "));
    lines.find(|(k, _)| k.eq_ignore_ascii_case(name)).map_or("", |(_, v)| v)
}

fn serve(life: &Life, seen: &Seen, mut s: TcpStream) {
    while let Some(text) = request(&mut s) {
        if header(&text, "x-replica") != life.id {
            let id = header(&text, "x-request-id");
            let head = format!("X-Request-Id: {id}\r\nX-Not-Run: true\r\nContent-Length: 0");
            if write!(s, "HTTP/1.1 421 Misdirected Request\r\n{head}\r\n\r\n").is_err() {
                return;
            }
            continue;
        }
        if let Some(at) = text.find(KILLER) {
            let killer: String = text[at..].chars().take_while(|c| !c.is_whitespace()).collect();
            seen.killers.lock().unwrap().push((killer.clone(), Instant::now()));
            sleep(ENDS_AFTER);
            if !life.ended.swap(true, Ordering::Relaxed) {
                seen.ends.lock().unwrap().push((killer, Instant::now()));
            }
            return;
        }
        sleep(RUN);
        let id = header(&text, "x-request-id");
        let head = format!("X-Request-Id: {id}\r\nContent-Length: 2");
        if life.ended.load(Ordering::Relaxed)
            || write!(s, "HTTP/1.1 200 OK\r\n{head}\r\n\r\nok").is_err()
        {
            return;
        }
    }
}

/// What callers got.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Got {
    pub sent: usize,
    pub served: usize,
    /// The result codes of the others; empty where the connection ended without an answer.
    pub codes: Vec<String>,
}

impl Got {
    pub fn of_code(&self, code: &str) -> usize {
        self.codes.iter().filter(|c| *c == code).count()
    }

    /// The distinct codes.
    pub fn kinds(&self) -> HashSet<&str> {
        self.codes.iter().map(String::as_str).collect()
    }
}

/// Callers that send to gateways in turn until they are told to stop.
pub struct Callers {
    pub gateways: Arc<Mutex<Vec<SocketAddr>>>,
    pub over: Arc<AtomicBool>,
    pub got: Arc<Mutex<Got>>,
    sent: Arc<AtomicU64>,
}

impl Callers {
    pub fn new(gateways: Arc<Mutex<Vec<SocketAddr>>>) -> Callers {
        Callers { gateways, over: Arc::default(), got: Arc::default(), sent: Arc::default() }
    }

    /// Sends every `every`; `request` makes method, path and body from the number of the request.
    pub fn send(
        &self,
        name: &str,
        every: Duration,
        request: impl Fn(u64) -> (&'static str, String, String) + Send + 'static,
    ) {
        let (gateways, over) = (self.gateways.clone(), self.over.clone());
        let (got, sent, name) = (self.got.clone(), self.sent.clone(), name.to_owned());
        thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let n = sent.fetch_add(1, Ordering::Relaxed);
                let to = {
                    let all = gateways.lock().unwrap();
                    all[n as usize % all.len()]
                };
                let (method, path, body) = request(n);
                let head = format!(
                    "X-Request-Id: {name}-{n}\r\nAuthorization: Bearer club-key\r\nX-Timeout-Ms: 2000\r\n"
                );
                let got = got.clone();
                thread::spawn(move || {
                    let answer = exchange(to, method, &path, &head, &body);
                    note(&mut got.lock().unwrap(), answer);
                });
                sleep(every);
            }
        });
    }

    pub fn got(&self) -> Got {
        self.got.lock().unwrap().clone()
    }
}

fn note(got: &mut Got, answer: Option<(u16, Value)>) {
    got.sent += 1;
    match answer {
        Some((200, _)) => got.served += 1,
        Some((_, v)) => {
            got.codes.push(v["error"]["code"].as_str().unwrap_or_default().to_owned());
        }
        None => got.codes.push(String::new()),
    }
}

/// A document with a route that may be repeated and one that may not, to the same replicas.
pub fn two_routes(version: u64) -> Value {
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
