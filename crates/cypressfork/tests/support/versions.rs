//! Replicas of several versions of one service; a version can fail some of its requests.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use serde_json::json;

use super::crashing::{header, read_request};
use super::gateways::exchange;

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Service time of a request without [`LONG`] in its path.
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Marker in the path of requests with a long service time.
pub const LONG: &str = "long";
const LONG_SERVICE_TIME: Duration = Duration::from_millis(1_200);

/// Requests recorded by the replicas.
#[derive(Default)]
pub struct RequestLog {
    /// Requests that arrived: the version, the time, and whether the request failed.
    pub arrivals: Mutex<Vec<(String, Instant, bool)>>,
    /// Requests in progress: the version and the number of the request.
    pub running: Mutex<Vec<(String, u64)>>,
}

impl RequestLog {
    /// Returns the number of requests that reached a version from `since` on.
    pub fn arrivals_since(&self, version: &str, since: Instant) -> usize {
        let all = self.arrivals.lock().unwrap();
        all.iter().filter(|(v, at, _)| v == version && *at >= since).count()
    }

    /// Returns when the request of the `n`th failure of a version arrived.
    pub fn nth_failure(&self, version: &str, n: usize) -> Option<Instant> {
        let all = self.arrivals.lock().unwrap();
        let mut bad = all.iter().filter(|(v, _, bad)| v == version && *bad).map(|(_, at, _)| *at);
        bad.nth(n - 1)
    }

    /// Returns the number of requests in progress at a version.
    pub fn running(&self, version: &str) -> usize {
        self.running.lock().unwrap().iter().filter(|(v, _)| v == version).count()
    }
}

/// A replica that runs until `stop` is set or the test process exits.
pub struct VersionedReplica {
    pub name: String,
    pub version: String,
    /// Every n-th request fails; 0 means none.
    pub fails_every: u64,
    pub controls: Vec<SocketAddr>,
    pub request_log: Arc<RequestLog>,
    pub stop: Arc<AtomicBool>,
}

impl VersionedReplica {
    /// Starts the replica and its heartbeats in threads.
    pub fn start(self) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let replica = Arc::new(self);
        let sender = replica.clone();
        thread::spawn(move || sender.send_heartbeats(address));
        thread::spawn(move || {
            let count = Arc::new(AtomicU64::new(0));
            for s in listener.incoming().flatten() {
                let (replica, count) = (replica.clone(), count.clone());
                thread::spawn(move || replica.serve(s, &count));
            }
        });
    }

    fn send_heartbeats(&self, address: SocketAddr) {
        for sequence in 1.. {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let heartbeat = json!({ "service": "board", "address": address.to_string(), "version": self.version,
                "data_centre": "tamar-a", "slots": 16, "sequence": sequence });
            let path = format!("/v1/replicas/{}", self.name);
            let to = self.controls[sequence % self.controls.len()];
            // A failed heartbeat is not retried: the next one goes to another control process.
            let _ = exchange(to, "PUT", &path, "", &heartbeat.to_string());
            sleep(HEARTBEAT_INTERVAL);
        }
    }

    fn serve(&self, mut s: TcpStream, count: &AtomicU64) {
        while let Some(text) = read_request(&mut s) {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let n = count.fetch_add(1, Ordering::Relaxed);
            let bad = self.fails_every > 0 && n.is_multiple_of(self.fails_every);
            self.request_log.arrivals.lock().unwrap().push((
                self.version.clone(),
                Instant::now(),
                bad,
            ));
            let entry = (self.version.clone(), n);
            self.request_log.running.lock().unwrap().push(entry.clone());
            sleep(if text.contains(LONG) { LONG_SERVICE_TIME } else { SERVICE_TIME });
            self.request_log.running.lock().unwrap().retain(|e| *e != entry);
            let id = header(&text, "x-request-id");
            let status = if bad { "500 Internal Server Error" } else { "200 OK" };
            let head = format!("X-Request-Id: {id}\r\nContent-Length: 2");
            if write!(s, "HTTP/1.1 {status}\r\n{head}\r\n\r\nok").is_err() {
                return;
            }
        }
    }
}
