//! Replicas that request a backoff with `Retry-After`, and replicas whose responses announce that they are
//! leaving.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::crashing::{Callers, document_with_two_routes, header, read_request};
use super::gateways::{CALLER_HEADERS, ExtraGateway, Fleet, exchange};
use super::limited::{listen, start_heartbeats};
use super::wait_for;

/// Time after a refusal from which the backoff must be observed, as the user documentation states.
const EFFECTIVE_AFTER: Duration = Duration::from_millis(500);

/// How a replica refuses requests.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Values of the `Retry-After` headers of its 503 response.
    pub retry_after: Vec<String>,
    /// Whether the response also has the `X-Not-Run` header.
    pub not_run: bool,
}

impl Refusal {
    /// Refuses with this `Retry-After` value and the `X-Not-Run` header.
    pub fn retry_after(text: &str) -> Refusal {
        Refusal { retry_after: vec![text.to_owned()], not_run: true }
    }
}

/// A request that reached a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub gateway: usize,
    /// When it was refused, if it was.
    pub refused: Option<Instant>,
}

/// The requests that a replica received, and its behaviour.
pub struct ReplicaState {
    pub arrivals: Mutex<Vec<Arrival>>,
    /// If set, all requests are refused like this.
    pub refusal: Mutex<Option<Refusal>>,
    /// Maximum number of concurrent requests.
    pub max_concurrent: AtomicUsize,
    /// How requests above that maximum are refused.
    pub excess: Refusal,
    running: AtomicUsize,
    /// Service time of a request.
    pub service_time: Duration,
    /// Whether responses announce that the replica is leaving.
    pub leaving: AtomicBool,
    /// Whether it closes each connection after a response without a `Connection: close` header.
    pub closes_connections: AtomicBool,
}

/// A replica that runs until `stop` is set.
#[derive(Clone)]
pub struct RefusingReplica {
    pub name: String,
    pub state: Arc<ReplicaState>,
    pub stop: Arc<AtomicBool>,
    /// Number of gateways; callers send requests to them in turn, by request number.
    gateways: usize,
}

impl RefusingReplica {
    /// Starts the replica and its heartbeats in threads.
    pub fn start(
        name: String,
        controls: Vec<SocketAddr>,
        gateways: usize,
        service_time: Duration,
    ) -> RefusingReplica {
        let state = ReplicaState {
            arrivals: Mutex::default(),
            refusal: Mutex::default(),
            max_concurrent: AtomicUsize::new(usize::MAX),
            excess: Refusal::retry_after("3"),
            running: AtomicUsize::new(0),
            service_time,
            leaving: AtomicBool::new(false),
            closes_connections: AtomicBool::new(false),
        };
        let stop = Arc::<AtomicBool>::default();
        let replica =
            RefusingReplica { name, state: Arc::new(state), stop: stop.clone(), gateways };
        let own = replica.clone();
        let address = listen(move |s| own.serve(s));
        start_heartbeats("board", replica.name.clone(), address, controls, stop);
        replica
    }

    /// Starts to refuse all requests, or stops with `None`.
    pub fn refuse(&self, refusal: Option<Refusal>) {
        *self.state.refusal.lock().unwrap() = refusal;
    }

    fn serve(&self, mut s: TcpStream) {
        let state = &self.state;
        while let Some(text) = read_request(&mut s) {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let id = header(&text, "x-request-id").to_owned();
            let gateway = gateway_of(&id, self.gateways);
            let at = Instant::now();
            let n = {
                let mut all = state.arrivals.lock().unwrap();
                all.push(Arrival { at, gateway, refused: None });
                all.len() - 1
            };
            let before = state.running.fetch_add(1, Ordering::Relaxed);
            let all = state.refusal.lock().unwrap().clone();
            let full = before >= state.max_concurrent.load(Ordering::Relaxed);
            let refusal = all.or_else(|| full.then(|| state.excess.clone()));
            if refusal.is_none() {
                sleep(state.service_time);
            }
            state.running.fetch_sub(1, Ordering::Relaxed);
            let mut head = format!("X-Request-Id: {id}\r\nContent-Length: 2");
            if state.leaving.load(Ordering::Relaxed) {
                head.push_str("\r\nX-Leaving: 1");
            }
            let status = match &refusal {
                None => "200 OK",
                Some(r) => {
                    state.arrivals.lock().unwrap()[n].refused = Some(Instant::now());
                    r.retry_after
                        .iter()
                        .for_each(|v| head.push_str(&format!("\r\nRetry-After: {v}")));
                    if r.not_run {
                        head.push_str("\r\nX-Not-Run: true");
                    }
                    "503 Service Unavailable"
                }
            };
            let sent = write!(s, "HTTP/1.1 {status}\r\n{head}\r\n\r\nok");
            if sent.is_err() || state.closes_connections.load(Ordering::Relaxed) {
                return;
            }
        }
    }

    /// Returns the maximum number of requests from one gateway during a backoff of `span`, without the first
    /// [`EFFECTIVE_AFTER`].
    pub fn max_in_backoff(&self, span: Duration) -> usize {
        let all = self.state.arrivals.lock().unwrap();
        let in_backoff = |gateway: usize, from: Instant| {
            let counts = |a: &&Arrival| {
                a.gateway == gateway && a.at > from + EFFECTIVE_AFTER && a.at < from + span
            };
            all.iter().filter(counts).count()
        };
        all.iter().filter_map(|a| Some(in_backoff(a.gateway, a.refused?))).max().unwrap_or(0)
    }

    /// Returns the number of requests that arrived after `since`, by gateway.
    pub fn arrivals_since(&self, since: Instant) -> BTreeMap<usize, usize> {
        let mut by_gateway = BTreeMap::new();
        for a in self.state.arrivals.lock().unwrap().iter().filter(|a| a.at > since) {
            *by_gateway.entry(a.gateway).or_default() += 1;
        }
        by_gateway
    }

    /// Returns the number of requests that arrived and the number of those that were refused.
    pub fn counts(&self) -> (usize, usize) {
        let all = self.state.arrivals.lock().unwrap();
        (all.len(), all.iter().filter(|a| a.refused.is_some()).count())
    }
}

/// Returns the gateway that a caller sent a request to, from the number at the end of the request id.
fn gateway_of(id: &str, gateways: usize) -> usize {
    let number = id.rsplit('-').next().and_then(|n| n.parse::<usize>().ok());
    number.unwrap_or(0) % gateways
}

/// Number of replicas of the service.
pub const REPLICAS: usize = 6;

/// Control processes, gateways, replicas and callers.
pub struct Harness {
    // Callers and replicas stop before the processes.
    pub callers: Callers,
    pub replicas: Vec<RefusingReplica>,
    pub extra_gateways: Vec<ExtraGateway>,
    pub fleet: Fleet,
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.callers.stop.store(true, Ordering::Relaxed);
        self.replicas.iter().for_each(|r| r.stop.store(true, Ordering::Relaxed));
    }
}

impl Harness {
    /// Starts a fleet of this many gateways and waits until each serves a request. Starts no callers.
    pub fn new(gateways: usize, service_time: Duration) -> Harness {
        let mut fleet = Fleet::new(3);
        (0..3).for_each(|n| fleet.start_control(n, true));
        fleet.start_gateway();
        let extra_gateways = fleet.start_extra_gateways(gateways - 1);
        let first = document_with_two_routes(3).to_string();
        wait_for("the document to be accepted", || {
            matches!(fleet.call(0, "PUT", "/v1/document", &first), Some((200, _)))
        });
        let gateway_addresses: Vec<_> =
            extra_gateways.iter().map(|g| g.listen).chain([fleet.listen]).collect();
        let controls: Vec<_> = fleet.controls.iter().map(|c| c.api).collect();
        let replica =
            |n| RefusingReplica::start(format!("b-{n}"), controls.clone(), gateways, service_time);
        let replicas: Vec<_> = (0..REPLICAS).map(replica).collect();
        for gateway in &gateway_addresses {
            wait_for("a response", || {
                exchange(*gateway, "GET", "/board/x", CALLER_HEADERS, "")
                    .is_some_and(|a| a.0 == 200)
            });
        }
        let callers = Callers::new(Arc::new(Mutex::new(gateway_addresses)));
        Harness { callers, replicas, extra_gateways, fleet }
    }

    /// Starts to send requests to both routes at this rate per second.
    pub fn send(&self, per_second: u32) {
        self.callers.send("sound", Duration::from_secs(1) / per_second, |n| match n % 5 {
            0 => ("POST", "/moves/x".to_owned(), format!("move {n}")),
            _ => ("GET", format!("/board/{n}"), String::new()),
        });
    }
}
