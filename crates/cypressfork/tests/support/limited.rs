//! Replicas that announce a rate limit: the requests per second that they accept from all gateways together.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use serde_json::json;

use super::crashing::{header, read_request};
use super::gateways::exchange;

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Markers in a request that make the replica reject it as not run, or respond with a failure.
pub const REJECTED: &str = "rejected";
pub const FAILING: &str = "failing";

/// Requests recorded by the replicas.
#[derive(Default)]
pub struct RequestLog {
    /// Arrival times by the name of the replica.
    pub arrivals: Mutex<HashMap<String, Vec<Instant>>>,
}

impl RequestLog {
    /// Returns the arrival times at a replica from `since` on.
    pub fn arrivals_since(&self, name: &str, since: Instant) -> Vec<Instant> {
        let all = self.arrivals.lock().unwrap();
        all.get(name).into_iter().flatten().copied().filter(|at| *at >= since).collect()
    }

    /// Returns the maximum number of requests that reached a replica within any window of `span` from `since` on.
    pub fn max_within(&self, name: &str, since: Instant, span: Duration) -> usize {
        let all = self.arrivals_since(name, since);
        let within = |(n, from): (usize, &Instant)| {
            all[n..].iter().take_while(|at| at.duration_since(*from) < span).count()
        };
        all.iter().enumerate().map(within).max().unwrap_or(0)
    }
}

/// Listens on a free port, serves each connection in its own thread and returns the address.
pub fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for s in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(s));
        }
    });
    address
}

/// Sends heartbeats for a replica to the control processes in turn until `stop` is set.
pub fn start_heartbeats(
    service: &'static str,
    name: String,
    address: SocketAddr,
    controls: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
) {
    thread::spawn(move || {
        for sequence in 1.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let heartbeat = json!({ "service": service, "address": address.to_string(),
                "data_centre": "tamar-a", "slots": 16, "sequence": sequence });
            let to = controls[sequence % controls.len()];
            // A failed heartbeat is not retried: the next one goes to another control process.
            let _ =
                exchange(to, "PUT", &format!("/v1/replicas/{name}"), "", &heartbeat.to_string());
            sleep(HEARTBEAT_INTERVAL);
        }
    });
}

/// A replica that runs until `stop` is set.
#[derive(Clone)]
pub struct LimitedReplica {
    pub name: String,
    /// Value of the `X-Rate-Limit` header; `None` omits the header.
    pub limit: Arc<Mutex<Option<String>>>,
    pub controls: Vec<SocketAddr>,
    pub request_log: Arc<RequestLog>,
    pub stop: Arc<AtomicBool>,
}

impl LimitedReplica {
    pub fn new(
        name: String,
        controls: Vec<SocketAddr>,
        request_log: Arc<RequestLog>,
    ) -> LimitedReplica {
        LimitedReplica { name, limit: Arc::default(), controls, request_log, stop: Arc::default() }
    }

    /// Sets the announced limit; `None` stops announcing one.
    pub fn announce_limit(&self, limit: Option<&str>) {
        *self.limit.lock().unwrap() = limit.map(str::to_owned);
    }

    /// Starts the replica and its heartbeats in threads.
    pub fn start(&self) {
        let replica = self.clone();
        let address = listen(move |s| replica.serve(s));
        start_heartbeats(
            "board",
            self.name.clone(),
            address,
            self.controls.clone(),
            self.stop.clone(),
        );
    }

    fn serve(&self, mut s: TcpStream) {
        while let Some(text) = read_request(&mut s) {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let name = self.name.clone();
            self.request_log.arrivals.lock().unwrap().entry(name).or_default().push(Instant::now());
            let limit = self.limit.lock().unwrap().clone();
            sleep(SERVICE_TIME);
            let id = header(&text, "x-request-id");
            let mut head = format!("X-Request-Id: {id}\r\nContent-Length: 2");
            if let Some(limit) = limit {
                head.push_str(&format!("\r\nX-Rate-Limit: {limit}"));
            }
            let status = match &text {
                t if t.contains(REJECTED) => {
                    head.push_str("\r\nX-Not-Run: true");
                    "503 Service Unavailable"
                }
                t if t.contains(FAILING) => "500 Internal Server Error",
                _ => "200 OK",
            };
            if write!(s, "HTTP/1.1 {status}\r\n{head}\r\n\r\nok").is_err() {
                return;
            }
        }
    }
}
