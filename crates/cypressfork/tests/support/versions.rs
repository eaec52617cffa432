//! Replicas of several versions of one service, some of which fail a part of their requests.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use serde_json::json;

use super::crashing::{header, request};
use super::gateways::exchange;

/// How often a replica tells of itself.
const BEAT_EVERY: Duration = Duration::from_millis(300);

/// How long a request runs, unless its path says more.
const RUN: Duration = Duration::from_millis(10);

/// What a path holds whose requests run long.
pub const LONG: &str = "long";
const LONG_RUN: Duration = Duration::from_millis(1_200);

/// What the replicas have seen.
#[derive(Default)]
pub struct Seen {
    /// Requests that reached them: the version, when, and whether it failed.
    pub arrivals: Mutex<Vec<(String, Instant, bool)>>,
    /// Requests that run now.
    pub running: Mutex<Vec<(String, u64)>>,
}

impl Seen {
    /// How many requests have reached a version since `since`.
    pub fn of(&self, version: &str, since: Instant) -> usize {
        let all = self.arrivals.lock().unwrap();
        all.iter().filter(|(v, at, _)| v == version && *at >= since).count()
    }

    /// When the `n`th bad answer of a version was begun.
    pub fn bad(&self, version: &str, n: usize) -> Option<Instant> {
        let all = self.arrivals.lock().unwrap();
        let mut bad = all.iter().filter(|(v, _, bad)| v == version && *bad).map(|(_, at, _)| *at);
        bad.nth(n - 1)
    }

    /// Requests that run at a version now.
    pub fn running(&self, version: &str) -> usize {
        self.running.lock().unwrap().iter().filter(|(v, _)| v == version).count()
    }
}

/// A replica that runs until its test process ends, or it is told to stop.
pub struct VersionedReplica {
    pub name: String,
    pub version: String,
    /// One request in so many fails; 0: none.
    pub fails_each: u64,
    pub controls: Vec<SocketAddr>,
    pub seen: Arc<Seen>,
    pub stop: Arc<AtomicBool>,
}

impl VersionedReplica {
    pub fn start(self) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let replica = Arc::new(self);
        let beats = replica.clone();
        thread::spawn(move || beats.beat_forever(address));
        thread::spawn(move || {
            let count = Arc::new(AtomicU64::new(0));
            for s in listener.incoming().flatten() {
                let (replica, count) = (replica.clone(), count.clone());
                thread::spawn(move || replica.serve(s, &count));
            }
        });
    }

    fn beat_forever(&self, address: SocketAddr) {
        for sequence in 1.. {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let beat = json!({ "service": "board", "address": address.to_string(), "version": self.version,
                "data_centre": "tamar-a", "slots": 16, "sequence": sequence });
            let path = format!("/v1/replicas/{}", self.name);
            let to = self.controls[sequence % self.controls.len()];
            // The next heartbeat goes to another control process.
            let _ = exchange(to, "PUT", &path, "", &beat.to_string());
            sleep(BEAT_EVERY);
        }
    }

    fn serve(&self, mut s: TcpStream, count: &AtomicU64) {
        while let Some(text) = request(&mut s) {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let n = count.fetch_add(1, Ordering::Relaxed);
            let bad = self.fails_each > 0 && n.is_multiple_of(self.fails_each);
            self.seen.arrivals.lock().unwrap().push((self.version.clone(), Instant::now(), bad));
            let mark = (self.version.clone(), n);
            self.seen.running.lock().unwrap().push(mark.clone());
            sleep(if text.contains(LONG) { LONG_RUN } else { RUN });
            self.seen.running.lock().unwrap().retain(|m| *m != mark);
            let id = header(&text, "x-request-id");
            let status = if bad { "500 Internal Server Error" } else { "200 OK" };
            let head = format!("X-Request-Id: {id}\r\nContent-Length: 2");
            if write!(s, "HTTP/1.1 {status}\r\n{head}\r\n\r\nok").is_err() {
                return;
            }
        }
    }
}
