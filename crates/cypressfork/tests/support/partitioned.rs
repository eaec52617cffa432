//! Replicas that some gateways cannot reach: packets of these gateways are dropped by a socket filter, as by a
//! network partition, so that connections are neither accepted nor reset.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use cypressfork_soak::plan::OpenConnections;
use cypressfork_soak::proxy::drop_from;
use serde_json::json;
use socket2::{SockFilter, SockRef};

use super::crashing::{document_with_two_routes, header, read_request};
use super::gateways::{CALLER_HEADERS, ExtraGateway, Fleet, HOST, exchange};
use super::limited::start_heartbeats;
use super::{own_ip, wait_for};

/// Number of replicas of the service.
pub const REPLICAS: usize = 6;

/// What a replica has seen, and how it responds.
#[derive(Default)]
pub struct ReplicaState {
    /// How often it has run each request.
    pub runs: Mutex<HashMap<String, usize>>,
    /// Requests by the local address of the gateway that sent them.
    pub arrivals: Mutex<Vec<(IpAddr, Instant)>>,
    /// When connections ended while a request of the path [`SLOW_PATH`] was running.
    pub departures: Mutex<Vec<Instant>>,
    /// Whether it rejects requests and asks for a backoff of [`BACKOFF`].
    pub rejects: AtomicBool,
    /// The most requests that it runs at once; 0 means any number. It rejects others, and names
    /// [`MAX_REJECTIONS`] in all responses.
    pub places: AtomicUsize,
    running: AtomicUsize,
    /// When it rejected requests for lack of places.
    pub rejections: Mutex<Vec<Instant>>,
}

/// The most requests a second that a replica with few places can reject without failing.
pub const MAX_REJECTIONS: usize = 5;

impl ReplicaState {
    /// Takes a place. Returns whether there was one.
    fn take_place(&self) -> bool {
        let places = self.places.load(Ordering::Relaxed);
        if self.running.fetch_add(1, Ordering::Relaxed) < places || places == 0 {
            return true;
        }
        self.running.fetch_sub(1, Ordering::Relaxed);
        self.rejections.lock().unwrap().push(Instant::now());
        false
    }

    /// Returns how often the replica would have failed since `since`: more than [`MAX_REJECTIONS`] in a second,
    /// after which the count starts anew.
    pub fn failures(&self, since: Instant) -> usize {
        let (mut recent, mut failures) = (Vec::new(), 0);
        for at in self.rejections.lock().unwrap().iter().filter(|at| **at > since) {
            recent.retain(|earlier: &Instant| at.duration_since(*earlier) < Duration::from_secs(1));
            recent.push(*at);
            if recent.len() > MAX_REJECTIONS {
                failures += 1;
                recent.clear();
            }
        }
        failures
    }
}

/// A replica that some gateways cannot reach.
pub struct PartitionedReplica {
    pub address: SocketAddr,
    listener: TcpListener,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    pub state: Arc<ReplicaState>,
}

/// Path of requests that run until the connection ends.
pub const SLOW_PATH: &str = "/board/slow";

/// The backoff that replicas ask for.
pub const BACKOFF: Duration = Duration::from_secs(3);

impl PartitionedReplica {
    fn start(service_time: Duration) -> PartitionedReplica {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let state: Arc<ReplicaState> = Arc::default();
        let (accepting, all, seen) =
            (listener.try_clone().unwrap(), connections.clone(), state.clone());
        thread::spawn(move || {
            for s in accepting.incoming().flatten() {
                all.lock().unwrap().push(s.try_clone().unwrap());
                let state = seen.clone();
                thread::spawn(move || serve(s, service_time, &state));
            }
        });
        PartitionedReplica { address, listener, connections, state }
    }

    /// Drops all packets of new connections from `sources`, and treats the open ones as `open` says.
    pub fn cut(&self, sources: &[Ipv4Addr], open: OpenConnections) {
        let filter = drop_from(sources);
        attach(&self.listener, &filter);
        let mut all = self.connections.lock().unwrap();
        let is_cut = |s: &TcpStream| matches!(s.peer_addr().map(|a| a.ip()), Ok(IpAddr::V4(ip)) if sources.contains(&ip));
        match open {
            OpenConnections::Kept => {}
            OpenConnections::Silent => {
                all.iter().filter(|s| is_cut(s)).for_each(|s| attach(s, &filter));
            }
            OpenConnections::Reset => all.retain(|s| {
                if is_cut(s) {
                    SockRef::from(s).set_linger(Some(Duration::ZERO)).unwrap();
                    let _ = s.shutdown(std::net::Shutdown::Both);
                }
                !is_cut(s)
            }),
        }
    }

    /// Ends the partition. Packets that it dropped are sent again by their senders.
    pub fn heal(&self) {
        detach(&self.listener);
        self.connections.lock().unwrap().iter().for_each(detach);
    }
}

fn attach(socket: &impl AsFd, filter: &[SockFilter]) {
    SockRef::from(socket).attach_filter(filter).unwrap();
}

fn detach(socket: &impl AsFd) {
    // Fails if no filter is attached.
    let _ = SockRef::from(socket).detach_filter();
}

fn serve(mut s: TcpStream, service_time: Duration, state: &ReplicaState) {
    let Ok(peer) = s.peer_addr() else { return };
    while let Some(text) = read_request(&mut s) {
        state.arrivals.lock().unwrap().push((peer.ip(), Instant::now()));
        let id = header(&text, "x-request-id").to_owned();
        if state.rejects.load(Ordering::Relaxed) {
            let head = format!("X-Request-Id: {id}\r\nX-Not-Run: true\r\nContent-Length: 0");
            let backoff = BACKOFF.as_secs();
            if write!(s, "HTTP/1.1 503 Busy\r\nRetry-After: {backoff}\r\n{head}\r\n\r\n").is_err() {
                return;
            }
            continue;
        }
        let brittle = match state.places.load(Ordering::Relaxed) {
            0 => String::new(),
            _ => format!("X-Max-Rejections: {MAX_REJECTIONS}\r\n"),
        };
        if !state.take_place() {
            let head = format!("X-Request-Id: {id}\r\nX-Not-Run: true\r\nContent-Length: 0");
            if write!(s, "HTTP/1.1 503 Busy\r\n{brittle}{head}\r\n\r\n").is_err() {
                return;
            }
            continue;
        }
        *state.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        if text.contains(SLOW_PATH) {
            // Returns once the connection has ended.
            let _ = s.read(&mut [0]);
            state.departures.lock().unwrap().push(Instant::now());
            return;
        }
        thread::sleep(service_time);
        state.running.fetch_sub(1, Ordering::Relaxed);
        let head = format!("HTTP/1.1 200 OK\r\n{brittle}X-Request-Id: {id}\r\nContent-Length: 2");
        if write!(s, "{head}\r\n\r\nok").is_err() {
            return;
        }
    }
}

/// The outcomes of the requests to one gateway.
#[derive(Clone, Debug, Default)]
pub struct Served {
    pub sent: usize,
    pub answered: usize,
    /// Result codes of the others.
    pub codes: Vec<String>,
    /// The longest time until a response.
    pub longest: Duration,
}

impl Served {
    /// Returns the part of the requests that were answered.
    pub fn ratio(&self) -> f64 {
        self.answered as f64 / self.sent.max(1) as f64
    }
}

/// A control process, gateways with a local address each, and replicas.
pub struct PartitionedFleet {
    pub replicas: Vec<PartitionedReplica>,
    pub gateways: Vec<ExtraGateway>,
    pub sources: Vec<Ipv4Addr>,
    stop: Arc<AtomicBool>,
    pub fleet: Fleet,
}

impl Drop for PartitionedFleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl PartitionedFleet {
    /// Starts this many gateways and waits until each has answered requests of both routes.
    pub fn start(gateways: usize, service_time: Duration) -> PartitionedFleet {
        let mut fleet = Fleet::new(1);
        fleet.start_control(0, true);
        wait_for("the document to be accepted", || {
            let body = document_with_two_routes(3).to_string();
            matches!(fleet.call(0, "PUT", "/v1/document", &body), Some((200, _)))
        });
        let sources: Vec<Ipv4Addr> = (0..gateways).map(|_| own_ip().parse().unwrap()).collect();
        let start = |(n, source): (usize, &Ipv4Addr)| start_gateway(&fleet, n, *source);
        let gateways: Vec<_> = sources.iter().enumerate().map(start).collect();
        let stop: Arc<AtomicBool> = Arc::default();
        let controls = vec![fleet.controls[0].api];
        let replicas: Vec<_> =
            (0..REPLICAS).map(|_| PartitionedReplica::start(service_time)).collect();
        for (n, r) in replicas.iter().enumerate() {
            start_heartbeats("board", format!("b-{n}"), r.address, controls.clone(), stop.clone());
        }
        for g in &gateways {
            wait_for("a response", || {
                exchange(g.listen, "GET", "/board/x", CALLER_HEADERS, "")
                    .is_some_and(|a| a.0 == 200)
            });
        }
        PartitionedFleet { replicas, gateways, sources, stop, fleet }
    }

    /// Starts one more gateway, which is cut from all replicas already, and waits until it accepts callers.
    pub fn start_cut_gateway(&mut self) -> usize {
        let source: Ipv4Addr = own_ip().parse().unwrap();
        self.replicas.iter().for_each(|r| r.cut(&[source], OpenConnections::Silent));
        let n = self.gateways.len();
        let gateway = start_gateway(&self.fleet, n, source);
        wait_for("the gateway to be ready", || {
            exchange(gateway.operators, "GET", "/readyz", "", "").is_some_and(|a| a.0 == 200)
        });
        self.sources.push(source);
        self.gateways.push(gateway);
        n
    }

    /// Cuts the gateways with these indexes from all replicas.
    pub fn cut(&self, gateways: &[usize], open: OpenConnections) {
        let sources: Vec<_> = gateways.iter().map(|g| self.sources[*g]).collect();
        self.replicas.iter().for_each(|r| r.cut(&sources, open));
    }

    /// Ends all partitions.
    pub fn heal(&self) {
        self.replicas.iter().for_each(PartitionedReplica::heal);
    }

    /// Sends requests to each gateway for `span`, one every `interval`, every fifth to the route whose requests
    /// must not run twice. Returns the outcomes by gateway once all have ended.
    pub fn send(&self, name: &str, span: Duration, interval: Duration) -> Vec<Served> {
        let outcomes: Vec<Arc<Mutex<Served>>> =
            self.gateways.iter().map(|_| Arc::default()).collect();
        let count = (span.as_millis() / interval.as_millis()) as usize;
        thread::scope(|scope| {
            for n in 0..count {
                for (g, gateway) in self.gateways.iter().enumerate() {
                    let (to, served, name) =
                        (gateway.listen, outcomes[g].clone(), format!("{name}-{g}-{n}"));
                    scope.spawn(move || send_one(to, &name, n, &served));
                }
                thread::sleep(interval);
            }
        });
        outcomes.iter().map(|o| o.lock().unwrap().clone()).collect()
    }

    /// Returns the number of times that each request was run.
    pub fn runs(&self) -> HashMap<String, usize> {
        let mut all: HashMap<String, usize> = HashMap::new();
        for r in &self.replicas {
            for (id, n) in r.state.runs.lock().unwrap().iter() {
                *all.entry(id.clone()).or_default() += n;
            }
        }
        all
    }

    /// Returns the ids of the requests of the route that allows one run, sent by [`PartitionedFleet::send`], that
    /// ran more than once.
    pub fn run_twice(&self) -> Vec<String> {
        let twice = self.runs().into_iter().filter(|(id, n)| id.ends_with("-unsafe") && *n > 1);
        twice.map(|(id, _)| id).collect()
    }
}

fn start_gateway(fleet: &Fleet, n: usize, source: Ipv4Addr) -> ExtraGateway {
    let settings = format!("replica_source: {source}\n");
    fleet.start_extra_gateways_with(n, 1, &settings).remove(0)
}

fn send_one(to: SocketAddr, name: &str, n: usize, served: &Mutex<Served>) {
    let (method, path, id) = match n % 5 {
        0 => ("POST", "/moves/x", format!("{name}-unsafe")),
        _ => ("GET", "/board/x", name.to_owned()),
    };
    let head =
        format!("X-Request-Id: {id}\r\nAuthorization: Bearer club-key\r\nX-Timeout-Ms: 2000\r\n");
    let begun = Instant::now();
    let answer = exchange(to, method, path, &head, "");
    let mut served = served.lock().unwrap();
    served.sent += 1;
    served.longest = served.longest.max(begun.elapsed());
    match answer {
        Some((200, _)) => served.answered += 1,
        Some((_, v)) => {
            served.codes.push(v["error"]["code"].as_str().unwrap_or_default().to_owned());
        }
        None => served.codes.push("closed".to_owned()),
    }
}
