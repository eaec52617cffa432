//! Simulated replicas: they register by heartbeats, run requests and record them.

use std::cell::Cell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{HttpMessage, Method, Response, StatusCode};
use bytes::Bytes;
use cypressfork_http::{Body, Received, serve};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::history::{
    AckedDrain, AnnouncedDrain, AnnouncedLimit, Arrival, Backoff, PoisonCrash, ReplicaBreak,
    ReplicaLife, Timestamp,
};
use crate::http::call;
use crate::plan::{OpenConnections, RetryAfterPeriod};
use crate::proxy::ReplicaProxy;
use crate::world::World;

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of attempts to get a drain acknowledged.
const MAX_DRAIN_ATTEMPTS: usize = 40;

/// Time for which a draining replica goes on serving after the acknowledgement.
const DRAIN_TIME: Duration = Duration::from_secs(4);

/// Interval between connection resets of a replica with a gray failure.
const RESET_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum number of events in a stream.
pub const MAX_EVENTS: u64 = 30;

/// Interval between two events of a stream.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between two events of a stream in runs whose streams are to be in progress at most times.
pub const LONG_EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// Body of a request for a stream of [`MAX_EVENTS`] long events: more than kernels buffer on loopback, which is
/// 4 MiB.
pub const LONG_STREAM: &str = "long-stream";

/// Bytes of padding in a long event.
const PADDING: usize = 250_000;

/// Marker of a poison request in its path or body, followed by its number.
pub const POISON: &str = "poison-";

/// Time from the start of a poison request to the crash of its replica.
const POISON_CRASH_DELAY: Duration = Duration::from_millis(20);

/// Duration of a request to `board`.
const RUN_TIME: Duration = Duration::from_millis(8);

const LIMIT: HeaderName = HeaderName::from_static("x-rate-limit");
const LEAVING: HeaderName = HeaderName::from_static("x-leaving");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Returns the number of events in the response to a request; every replica returns the same.
pub fn event_count(id: &str) -> u64 {
    let sum = id.bytes().fold(7u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
    1 + sum % MAX_EVENTS
}

/// Start of the comment before each event that names the version of the replica's software.
pub const VERSION_PREFIX: &str = ": version ";

/// Returns the text of event `n` of a response.
pub fn event_text(id: &str, n: u64) -> String {
    format!("id: {n}\ndata: {id} {n}\n\n")
}

/// Returns the response body of a request to `board`.
pub fn answer_body(id: &str) -> String {
    format!("answer to {id}")
}

/// Time for which the port of a crashed replica stays open after its connections are closed.
const EXIT_DELAY: Duration = Duration::from_millis(20);

/// One incarnation of a simulated replica.
pub struct Replica {
    /// Id of the replica.
    pub id: String,
    service: &'static str,
    /// Version of its software.
    version: String,
    /// Index in the history of this life.
    life: usize,
    proxy: ReplicaProxy,
    /// Percentage of requests that it rejects without `Retry-After`.
    rejected_percent: Cell<u32>,
    /// Index in the history of the rate limit that it announces.
    limit_index: Cell<Option<usize>>,
    /// The current period of rejecting requests with `Retry-After`, if any.
    retry_after: Cell<Option<RetryAfterPeriod>>,
    /// Whether its responses announce that it drains.
    drains_by_header: Cell<bool>,
    draining: Cell<bool>,
    heartbeats: Cell<u64>,
    /// Start time, in milliseconds since the Unix epoch.
    born: u64,
    serve_task: Cell<Option<AbortHandle>>,
    heartbeat_task: Cell<Option<AbortHandle>>,
}

impl Replica {
    /// Drops the packets of gateways, see [`ReplicaProxy::cut`].
    ///
    /// # Errors
    /// Fails if the system does not filter packets.
    pub fn cut(&self, cut_off: &[Ipv4Addr], open: OpenConnections) -> io::Result<()> {
        self.proxy.cut(cut_off, open)
    }

    /// Lets all packets through again.
    pub fn heal(&self) {
        self.proxy.heal();
    }

    /// Starts a replica of `service`, which sends heartbeats and serves requests until it crashes.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(
        w: &Rc<World>,
        service: &'static str,
        id: String,
    ) -> io::Result<Rc<Replica>> {
        w.end_announcements(&id);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let cut_off = w.cut_off.borrow().clone();
        let proxy = ReplicaProxy::start(listener.local_addr()?, &cut_off, w.stutters.get()).await?;
        let born = w.next_born();
        let version = match service {
            "talk" => format!("v{}", born % w.versions.get()),
            _ => String::new(),
        };
        let life = ReplicaLife { service, version: version.clone(), from: w.now(), until: None };
        let lives = w.history.borrow().replica_lives.len();
        w.history.borrow_mut().replica_lives.push(life);
        let replica = Rc::new(Replica {
            id,
            service,
            version,
            life: lives,
            proxy,
            rejected_percent: Cell::new(0),
            limit_index: Cell::new(None),
            retry_after: Cell::new(None),
            drains_by_header: Cell::new(false),
            draining: Cell::new(false),
            heartbeats: Cell::new(0),
            born,
            serve_task: Cell::new(None),
            heartbeat_task: Cell::new(None),
        });
        let (own, world) = (replica.clone(), w.clone());
        let serve_task = actix_rt::spawn(serve(listener, move |req| {
            respond_to(own.clone(), world.clone(), req)
        }));
        replica.serve_task.set(Some(serve_task.abort_handle()));
        let heartbeat_task = actix_rt::spawn(send_heartbeats(replica.clone(), w.clone()));
        replica.heartbeat_task.set(Some(heartbeat_task.abort_handle()));
        Ok(replica)
    }

    /// Records that it gets no new work from now on.
    pub fn end_life(&self, w: &World) {
        w.history.borrow_mut().replica_lives[self.life].until.get_or_insert(w.now());
    }

    /// Sets the percentage of requests that the replica rejects without `Retry-After`.
    pub fn set_rejected_percent(&self, percent: u32) {
        self.rejected_percent.set(percent);
    }

    /// Returns whether the replica rejects the current request.
    fn rejects(&self, w: &World) -> bool {
        let percent = self.rejected_percent.get();
        percent > 0 && w.random_bool(percent)
    }

    /// Announces a rate limit, in thousandths of a request per second, in its responses for `span`.
    /// Does nothing if it announces one already.
    pub async fn announce_limit(&self, w: &World, thousandths: u64, span: Duration) {
        if self.limit_index.get().is_some() {
            return;
        }
        let limit =
            AnnouncedLimit { replica: self.id.clone(), thousandths, first: None, until: None };
        let n = w.history.borrow().limits.len();
        w.history.borrow_mut().limits.push(limit);
        self.limit_index.set(Some(n));
        sleep(span).await;
        self.limit_index.set(None);
        w.history.borrow_mut().limits[n].until.get_or_insert(w.now());
    }

    /// Rejects a percentage of the requests with `Retry-After` for `p.span` milliseconds.
    pub async fn run_retry_after_period(&self, p: RetryAfterPeriod) {
        self.retry_after.set(Some(p));
        sleep(Duration::from_millis(p.span)).await;
        self.retry_after.set(None);
    }

    /// Announces its drain only in a response header, goes on serving for a while, then deregisters and
    /// crashes.
    pub async fn drain_by_header(self: Rc<Self>, w: Rc<World>) {
        self.drains_by_header.set(true);
        self.end_life(&w);
        sleep(DRAIN_TIME * 2).await;
        let path = format!("/v1/replicas/{}", self.id);
        // The replica ends even if the deregistration fails.
        let _ = call(w.random_api(), Method::DELETE, &path, Bytes::new(), HEARTBEAT_TIMEOUT).await;
        self.crash(&w);
    }

    /// Adds the drain header to a response if the replica announces its drain this way, and records it.
    fn add_drain_header(
        &self,
        w: &World,
        request: String,
        mut r: Response<Body>,
    ) -> Response<Body> {
        if self.drains_by_header.get() {
            let drain = AnnouncedDrain { replica: self.id.clone(), request, until: None };
            w.history.borrow_mut().announced_drains.push(drain);
            r.headers_mut().insert(LEAVING, HeaderValue::from_static("1"));
        }
        r
    }

    /// Returns a rejection with `Retry-After` if one is due for this request, and records it.
    fn reject_with_retry_after(&self, w: &World, id: &str) -> Option<Response<Body>> {
        let period = self.retry_after.get().filter(|p| w.random_bool(p.percent))?;
        let at = w.now();
        let backoff = Backoff {
            replica: self.id.clone(),
            request: id.to_owned(),
            at,
            until: at + period.retry_after_ms,
        };
        w.history.borrow_mut().backoffs.push(backoff);
        let mut r = reject(id, StatusCode::SERVICE_UNAVAILABLE);
        let seconds =
            format!("{}.{:03}", period.retry_after_ms / 1_000, period.retry_after_ms % 1_000);
        if let Ok(v) = HeaderValue::from_str(&seconds) {
            r.headers_mut().insert(RETRY_AFTER, v);
        }
        Some(r)
    }

    /// Adds the rate limit header to a response if a limit is announced.
    fn add_limit_header(&self, w: &World, mut r: Response<Body>) -> Response<Body> {
        let Some(n) = self.limit_index.get() else { return r };
        let thousandths = {
            let l = &mut w.history.borrow_mut().limits[n];
            l.first.get_or_insert(w.now());
            l.thousandths
        };
        let text = format!("{}.{:03}", thousandths / 1_000, thousandths % 1_000);
        if let Ok(v) = HeaderValue::from_str(&text) {
            r.headers_mut().insert(LIMIT, v);
        }
        r
    }

    /// Resets all connections at intervals for `span`.
    pub async fn reset_connections_for(&self, w: &World, span: Duration) {
        self.record_break(w, span);
        for _ in 0..span.as_millis() / RESET_INTERVAL.as_millis() {
            sleep(RESET_INTERVAL).await;
            self.proxy.reset();
        }
    }

    /// Records that it breaks off responses for `span` from now on.
    fn record_break(&self, w: &World, span: Duration) {
        let from = w.now();
        let until = from + span.as_millis() as Timestamp;
        let b = ReplicaBreak { replica: self.id.clone(), from, until };
        w.history.borrow_mut().replica_breaks.push(b);
    }

    /// Crashes at once. For about half of the replicas the port stays open for a short time after
    /// the connections are closed, as with a process that is slow to exit.
    pub fn crash(self: &Rc<Self>, w: &World) {
        self.record_break(w, EXIT_DELAY);
        for task in [self.heartbeat_task.take(), self.serve_task.take()].into_iter().flatten() {
            task.abort();
        }
        if self.born.is_multiple_of(2) {
            return self.proxy.close();
        }
        self.proxy.reset();
        let own = self.clone();
        actix_rt::spawn(async move {
            sleep(EXIT_DELAY).await;
            own.proxy.close();
        });
    }

    /// Announces its drain by heartbeat, goes on serving for a while, then deregisters and crashes.
    pub async fn drain_by_heartbeat(self: Rc<Self>, w: Rc<World>) {
        self.draining.set(true);
        self.end_life(&w);
        for _ in 0..MAX_DRAIN_ATTEMPTS {
            if self.send_heartbeat(&w).await {
                let acked = w.now();
                let drain = AckedDrain { replica: self.id.clone(), acked };
                w.history.borrow_mut().acked_drains.push(drain);
                break;
            }
            sleep(HEARTBEAT_INTERVAL / 5).await;
        }
        sleep(DRAIN_TIME).await;
        let path = format!("/v1/replicas/{}", self.id);
        // The replica ends even if the deregistration fails.
        let _ = call(w.random_api(), Method::DELETE, &path, Bytes::new(), HEARTBEAT_TIMEOUT).await;
        self.crash(&w);
    }

    /// Sends no more heartbeats, and leaves at the control process with this API address. Returns whether that was
    /// acknowledged.
    pub async fn announce_leave(&self, w: &World, api: SocketAddr) -> bool {
        if let Some(task) = self.heartbeat_task.take() {
            task.abort();
        }
        self.end_life(w);
        let path = format!("/v1/replicas/{}", self.id);
        let answer = call(api, Method::DELETE, &path, Bytes::new(), HEARTBEAT_TIMEOUT).await;
        let is_acked = answer.is_some_and(|(status, _)| status == 200);
        if is_acked {
            let acked = AckedDrain { replica: self.id.clone(), acked: w.now() };
            w.history.borrow_mut().acked_drains.push(acked);
        }
        is_acked
    }

    /// Goes on serving for a while, then crashes.
    pub async fn serve_then_crash(self: Rc<Self>, w: &World) {
        sleep(DRAIN_TIME).await;
        self.crash(w);
    }

    /// Sends one heartbeat. Returns whether it was acknowledged.
    async fn send_heartbeat(&self, w: &World) -> bool {
        self.heartbeats.set(self.heartbeats.get() + 1);
        let body = json!({
            "service": self.service, "address": self.proxy.address.to_string(),
            "data_centre": "tamar-a", "slots": 16, "draining": self.draining.get(),
            "sequence": self.heartbeats.get(), "born": self.born, "version": self.version,
        });
        let path = format!("/v1/replicas/{}", self.id);
        let body = Bytes::from(body.to_string());
        let answer = call(w.random_api(), Method::PUT, &path, body, HEARTBEAT_TIMEOUT).await;
        answer.is_some_and(|(status, _)| status == 200)
    }
}

/// Sends heartbeats at intervals.
async fn send_heartbeats(r: Rc<Replica>, w: Rc<World>) {
    loop {
        // After a failure, try another control process soon.
        let acked = r.send_heartbeat(&w).await;
        sleep(if acked { HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL / 5 }).await;
    }
}

fn header_text<'a>(h: &'a HeaderMap, name: &'static str) -> &'a str {
    let value = h.get(HeaderName::from_static(name));
    value.and_then(|v| v.to_str().ok()).unwrap_or_default()
}

fn respond(id: &str, status: StatusCode, body: Body) -> Response<Body> {
    let mut r = Response::with_body(status, body);
    if let Ok(v) = HeaderValue::from_str(id) {
        r.headers_mut().insert(REQUEST_ID, v);
    }
    r
}

/// Returns a response that states that the request was not run.
fn reject(id: &str, status: StatusCode) -> Response<Body> {
    let mut r = respond(id, status, Body::Full(Bytes::new()));
    r.headers_mut().insert(NOT_RUN, HeaderValue::from_static("true"));
    r
}

/// Handles a request and adds the headers that the replica currently announces.
async fn respond_to(r: Rc<Replica>, w: Rc<World>, req: Received) -> Response<Body> {
    let id = header_text(req.head.headers(), "x-request-id").to_owned();
    let answer = handle(r.clone(), w.clone(), req).await;
    // The request was for another replica, so the headers of this one would mislead the gateway.
    if answer.status() == StatusCode::MISDIRECTED_REQUEST {
        return answer;
    }
    let answer = r.add_drain_header(&w, id, answer);
    r.add_limit_header(&w, answer)
}

/// Records the arrival of a request and returns its response.
async fn handle(r: Rc<Replica>, w: Rc<World>, req: Received) -> Response<Body> {
    let Received { head: req, body } = req;
    let h = req.headers();
    let id = header_text(h, "x-request-id").to_owned();
    let start = header_text(h, "x-replica-start");
    let addressed =
        header_text(h, "x-replica") == r.id && (start.is_empty() || start == r.born.to_string());
    // Every attempt at a stream gets the events of the first one.
    let stream = match header_text(h, "x-resumes") {
        "" => id.clone(),
        first => first.to_owned(),
    };
    let account = header_text(h, "x-client-account").to_owned();
    let last: u64 = header_text(h, "last-event-id").parse().unwrap_or(0);
    let rejection = if addressed { r.reject_with_retry_after(&w, &id) } else { None };
    let run = addressed && !r.rejects(&w) && rejection.is_none();
    let at = w.now();
    let arrival =
        Arrival { id: id.clone(), service: r.service, replica: r.id.clone(), at, account, run };
    w.history.borrow_mut().arrivals.push(arrival);
    let path = req.path().to_owned();
    let poison_part = poison_part(header_text(h, "x-prompt-parts"));
    let body = body.unwrap_or_default();
    if !addressed {
        return reject(&id, StatusCode::MISDIRECTED_REQUEST);
    }
    if let Some(rejection) = rejection {
        return rejection;
    }
    if !run {
        return reject(&id, StatusCode::SERVICE_UNAVAILABLE);
    }
    let poison = poison_part
        .or_else(|| poison_number(&path))
        .or_else(|| poison_number(&String::from_utf8_lossy(&body)));
    if let Some(poison) = poison {
        crash_on_poison(&r, &w, poison).await;
        return reject(&id, StatusCode::SERVICE_UNAVAILABLE);
    }
    if r.service == "talk" {
        let (tx, rx) = mpsc::channel(4);
        let events = if body == LONG_STREAM.as_bytes() {
            let padding = format!(": {}\n", "x".repeat(PADDING));
            Events { stream, last: MAX_EVENTS, prefix: padding }
        } else {
            let last = event_count(&stream);
            Events { stream, last, prefix: format!("{VERSION_PREFIX}{}\n", r.version) }
        };
        actix_rt::spawn(send_events(w, id.clone(), last, events, tx));
        return respond(&id, StatusCode::OK, Body::Stream(rx));
    }
    sleep(RUN_TIME).await;
    respond(&id, StatusCode::OK, Body::Full(Bytes::from(answer_body(&id))))
}

/// Id of the first poison part.
const POISON_PARTS: u64 = 0xdead_0000;

/// Returns the id of the poison part with this number.
pub fn poison_part_id(number: usize) -> u64 {
    POISON_PARTS + number as u64
}

/// Returns the number of the poison part among the parts of a prompt, if any.
fn poison_part(parts: &str) -> Option<usize> {
    let ids = parts.split(',').filter_map(|p| u64::from_str_radix(p.split_once(':')?.0, 16).ok());
    let mut numbers = ids.filter_map(|id| id.checked_sub(POISON_PARTS));
    numbers.find(|n| *n < 0x1_0000).map(|n| n as usize)
}

/// Returns the number of the poison request that `text` contains, if any.
fn poison_number(text: &str) -> Option<usize> {
    let (_, number) = text.split_once(POISON)?;
    number.parse().ok()
}

/// Crashes a replica that runs a poison request, unless it has crashed already. Later responses of
/// the replica are not delivered.
async fn crash_on_poison(r: &Rc<Replica>, w: &World, poison: usize) {
    sleep(POISON_CRASH_DELAY).await;
    if w.crashed.borrow().contains(&r.id) {
        return;
    }
    w.crashed.borrow_mut().push(r.id.clone());
    let at = w.now();
    w.history.borrow_mut().poison_crashes.push(PoisonCrash { poison, at });
    r.end_life(w);
    r.crash(w);
}

/// The events of one stream.
struct Events {
    /// The id of the attempt that brought the first one.
    stream: String,
    /// The number of the last one.
    last: u64,
    /// Text before each of them.
    prefix: String,
}

/// Sends the events after `last` of a stream and records how many were generated.
async fn send_events(w: Rc<World>, id: String, last: u64, events: Events, tx: mpsc::Sender<Bytes>) {
    for n in last + 1..=events.last {
        sleep(w.event_interval.get()).await;
        {
            let mut h = w.history.borrow_mut();
            let generated = h.generated.entry(id.clone()).or_default();
            *generated = (*generated).max(n);
        }
        // Sending fails if the gateway has disconnected.
        let text = events.prefix.clone() + &event_text(&events.stream, n);
        if tx.send(Bytes::from(text)).await.is_err() {
            return;
        }
    }
}
