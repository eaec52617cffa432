//! Simulated callers: they ask a control process for a gateway, reuse their connection until it fails,
//! and record the outcome of each request.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, ResponseHead};
use bytes::Bytes;
use cypressfork_http::client::{Connection, ExchangeError};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::document::{ACCOUNTS, Account, probe_path};
use crate::history::{Kind, Outcome, Request, Resumption};
use crate::http::CALLERS_HOST;
use crate::http::{call, exchange, headers, read_body};
use crate::plan::SlowCallers;
use crate::replica::{
    LONG_STREAM, MAX_EVENTS, POISON, VERSION_PREFIX, answer_body, event_count, event_text,
    poison_part_id,
};
use crate::world::World;

/// How long a caller waits for a complete answer.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(4_000);

/// The timeout that a caller sends with each request, in milliseconds.
pub const DEADLINE_MS: u64 = 3_000;

/// Timeout of a query for gateway addresses.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(1);

/// Minimum pause between two requests of a caller, in milliseconds. The maximum is twice as much.
const MIN_PAUSE_MS: u64 = 30;

/// Percentage of reusable connections that a caller closes.
const CLOSE_PERCENT: u32 = 3;

/// Percentage of streams that a caller abandons early.
const ABANDON_PERCENT: u32 = 4;

/// Percentage of abandoned streams that the caller resumes.
const RESUME_PERCENT: u32 = 50;

/// Maximum number of times that a caller resumes a stream.
const MAX_RESUMPTIONS: usize = 2;

/// Tokens in the prompt of a stream request.
const PROMPT_TOKENS: u64 = 40;

/// The result code, as quoted in the body, with which a gateway refuses a quarantined request.
const QUARANTINED: &str = "\"CF1309\"";

/// Id of the part that all prompts share.
const SHARED_PART: u64 = 0x10;

/// Parts that some prompts share.
const SHARED_PARTS: u64 = 4;

/// Interval between two copies of a poison request.
const POISON_INTERVAL: Duration = Duration::from_millis(200);

/// Sends copies of poison request `number` to random gateways for `span`.
pub async fn send_poison(w: Rc<World>, number: usize, span: Duration) {
    for _ in 0..span.as_millis() / POISON_INTERVAL.as_millis() {
        let gateway = w.random_below(w.gateways.len());
        let id = format!("x{number}-{}", w.now());
        let w = w.clone();
        actix_rt::spawn(async move {
            send_recorded(&w, gateway, id, Kind::Poison(number), None).await;
        });
        sleep(POISON_INTERVAL).await;
    }
}

/// Start of a successful response.
const SUCCESS: &[u8] = b"HTTP/1.1 200";

/// Interval at which a slow caller reads a byte.
const SLOW_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Requests a long stream for each of the callers, and reads them slowly.
pub async fn run_slow_callers(w: Rc<World>, group: SlowCallers) {
    let gateway = group.gateway % w.gateways.len();
    for n in 0..group.count {
        let id = format!("slow{n}-{}", w.now());
        let w = w.clone();
        actix_rt::spawn(async move {
            send_slow(&w, gateway, id, Duration::from_millis(group.span)).await;
        });
    }
}

/// Sends one request for a long stream, reads a byte a second for `span` and records the request.
async fn send_slow(w: &World, gateway: usize, id: String, span: Duration) {
    let (account, sent) = (&ACCOUNTS[0], w.now());
    let request = format!(
        "POST /talk/x HTTP/1.1\r\nHost: {CALLERS_HOST}\r\nX-Request-Id: {id}\r\nAuthorization: Bearer {}\r\nX-Tokens: {PROMPT_TOKENS},{MAX_EVENTS}\r\nContent-Length: {}\r\n\r\n{LONG_STREAM}",
        account.key,
        LONG_STREAM.len(),
    );
    let mut head = Vec::new();
    let reading = async {
        let mut s = TcpStream::connect(w.gateways[gateway]).await?;
        s.write_all(request.as_bytes()).await?;
        let mut byte = [0];
        while s.read(&mut byte).await? > 0 {
            if head.len() < SUCCESS.len() {
                head.push(byte[0]);
                continue;
            }
            sleep(SLOW_READ_INTERVAL).await;
        }
        std::io::Result::Ok(())
    };
    // The gateway may cut the caller or end itself.
    let _ = timeout(span, reading).await;
    let request = Request {
        kind: Kind::Stream,
        account: account.name,
        prompt: PROMPT_TOKENS,
        events: MAX_EVENTS,
        resumes: None,
        versions: BTreeSet::new(),
        id,
        gateway,
        sent,
        ended: w.now(),
        // A gateway sends the head of a response with its first event.
        outcome: Outcome::Left { begun: head == SUCCESS },
    };
    w.history.borrow_mut().requests.push(request);
}

/// Sends the requests of one caller until the run is over.
pub async fn run_caller(w: Rc<World>, caller: usize) {
    let mut c = Caller { w: &w, caller, sent: 0, idle: None };
    while !w.stop_callers.get() {
        c.send_next().await;
        sleep(Duration::from_millis(MIN_PAUSE_MS + w.random_below(MIN_PAUSE_MS as usize) as u64))
            .await;
    }
}

struct Caller<'a> {
    w: &'a Rc<World>,
    caller: usize,
    sent: u64,
    /// The gateway index of the open connection, and the connection.
    idle: Option<(usize, Connection)>,
}

impl Caller<'_> {
    async fn send_next(&mut self) {
        let gateway = match &self.idle {
            Some((gateway, _)) => *gateway,
            None => match fetch_gateway(self.w).await {
                Some(gateway) => gateway,
                None => return,
            },
        };
        self.sent += 1;
        let id = format!("c{}-{}", self.caller, self.sent);
        let kind = self.draw_kind();
        let idle = self.idle.take().map(|(_, c)| c);
        let reusable = send_recorded(self.w, gateway, id, kind, idle).await;
        self.idle = reusable.filter(|_| !self.w.random_bool(CLOSE_PERCENT)).map(|c| (gateway, c));
    }

    fn draw_kind(&self) -> Kind {
        match self.w.random_below(10) {
            0..4 => Kind::Stream,
            4..7 => Kind::Unsafe,
            _ => Kind::Safe,
        }
    }
}

/// Asks a control process for gateways and returns the index of one of them, or `None` if the query fails.
async fn fetch_gateway(w: &World) -> Option<usize> {
    let path = "/v1/entry?data_centre=tamar-a";
    let (status, body) =
        call(w.random_api(), Method::GET, path, Bytes::new(), ENTRY_TIMEOUT).await?;
    let v: Value = serde_json::from_slice(&body).ok().filter(|_| status == 200)?;
    let all = v["addresses"].as_array()?;
    let chosen = all.get(w.random_below(all.len().max(1)))?;
    let address: SocketAddr = chosen.as_str()?.parse().ok()?;
    w.gateways.iter().position(|a| *a == address)
}

/// Every `every`, sends a request for the route of the highest acknowledged version to a random gateway,
/// until the run is over.
pub async fn run_prober(w: Rc<World>, every: Duration) {
    let mut sent = 0;
    while !w.stop_callers.get() {
        sleep(every).await;
        sent += 1;
        let gateway = w.random_below(w.gateways.len());
        let (id, kind) = (format!("p-{sent}"), Kind::Probe(w.acked.get()));
        send_recorded(&w, gateway, id, kind, None).await;
    }
}

/// What a caller has received of a stream.
#[derive(Default)]
struct Received {
    /// Numbers of the events.
    events: RefCell<Vec<u64>>,
    /// The software versions that the events name.
    versions: RefCell<BTreeSet<String>>,
}

/// Sends one request and records its outcome. Resumes a stream that breaks off, and half of those that the caller
/// abandons. Returns the connection if it can be reused.
pub async fn send_recorded(
    w: &Rc<World>,
    gateway: usize,
    id: String,
    kind: Kind,
    idle: Option<Connection>,
) -> Option<Connection> {
    let account = match kind {
        // All copies share an account, as it is part of the fingerprint by which requests are quarantined.
        Kind::Poison(_) => &ACCOUNTS[0],
        _ => &ACCOUNTS[usize::from(w.random_bool(30))],
    };
    let first = id.clone();
    let mut attempt = Attempt { id, kind, account, resumes: None };
    let (reusable, mut after) = attempt.send(w, gateway, idle).await;
    for n in 1..=MAX_RESUMPTIONS {
        let Some(last) = after.filter(|last| *last < event_count(&first)) else { break };
        let Some(gateway) = fetch_gateway(w).await else { break };
        attempt.id = format!("{first}-again-{n}");
        attempt.resumes = Some(Resumption { first: first.clone(), after: last });
        let (_, received) = attempt.send(w, gateway, None).await;
        after = received.map(|n| n.max(last));
    }
    reusable
}

/// One attempt at a request.
struct Attempt {
    id: String,
    kind: Kind,
    account: &'static Account,
    resumes: Option<Resumption>,
}

impl Attempt {
    /// Sends it and records its outcome. Returns the connection if it can be reused, and the last event of a stream
    /// that is to be resumed; 0 if none was received.
    async fn send(
        &self,
        w: &Rc<World>,
        gateway: usize,
        idle: Option<Connection>,
    ) -> (Option<Connection>, Option<u64>) {
        let sent = w.now();
        let is_stream = self.kind == Kind::Stream;
        let abandons = is_stream && self.resumes.is_none() && w.random_bool(ABANDON_PERCENT);
        let max_wait = if abandons {
            Duration::from_millis(w.random_below(150) as u64)
        } else {
            CALLER_TIMEOUT
        };
        let received = Received::default();
        let result = timeout(max_wait, send(w, gateway, self, idle, &received)).await;
        let begun = !received.events.borrow().is_empty();
        let (outcome, reusable) = result.unwrap_or((Outcome::Left { begun }, None));
        let is_interrupted = match &outcome {
            Outcome::Cut { events, .. } => !events.is_empty(),
            Outcome::Left { begun } => *begun && w.random_bool(RESUME_PERCENT),
            _ => false,
        };
        let last = received.events.borrow().last().copied();
        let after = self.resumes.as_ref().map_or(0, |r| r.after);
        // A prompt is charged once for all attempts.
        let prompt = if is_stream && after == 0 { PROMPT_TOKENS } else { 0 };
        let events = if is_stream { event_count(self.stream()) - after } else { 0 };
        let request = Request {
            id: self.id.clone(),
            kind: self.kind,
            account: self.account.name,
            prompt,
            events,
            resumes: self.resumes.clone(),
            versions: received.versions.take(),
            gateway,
            sent,
            ended: w.now(),
            outcome,
        };
        w.history.borrow_mut().requests.push(request);
        (reusable, last.filter(|_| is_interrupted))
    }

    /// Returns the id of the attempt that brought the first event of its stream.
    fn stream(&self) -> &str {
        self.resumes.as_ref().map_or(&self.id, |r| &r.first)
    }

    /// Returns the parts of its prompt: one that all prompts share, one of a few, and one of its own. A poison part
    /// stands between them.
    fn parts(&self, poison: Option<usize>) -> String {
        let own = self
            .stream()
            .bytes()
            .fold(7u64, |h, b| h.wrapping_mul(0x0100_0000_01b3).wrapping_add(u64::from(b)));
        let poison = poison.map(|n| format!(",{:x}:1", poison_part_id(n))).unwrap_or_default();
        format!("{SHARED_PART:x}:1{poison},{:x}:1,{own:x}:1", SHARED_PART + 1 + own % SHARED_PARTS)
    }

    fn headers(&self) -> HeaderMap {
        let mut all = vec![
            ("x-request-id", self.id.clone()),
            ("authorization", format!("Bearer {}", self.account.key)),
            ("x-timeout-ms", DEADLINE_MS.to_string()),
        ];
        match (self.kind, self.kind.poison_part()) {
            (Kind::Stream, _) => {
                let tokens = format!("{PROMPT_TOKENS},{MAX_EVENTS}");
                all.extend([("x-tokens", tokens), ("x-prompt-parts", self.parts(None))]);
            }
            (_, Some(poison)) => {
                // Nothing is charged for it.
                let tokens = "0,0".to_owned();
                all.extend([("x-tokens", tokens), ("x-prompt-parts", self.parts(Some(poison)))]);
            }
            _ => {}
        }
        if let Some(r) = &self.resumes {
            all.push(("last-event-id", r.after.to_string()));
            all.push(("x-resumes", r.first.clone()));
        }
        headers(&all)
    }
}

async fn send(
    w: &World,
    gateway: usize,
    attempt: &Attempt,
    idle: Option<Connection>,
    received: &Received,
) -> (Outcome, Option<Connection>) {
    let (id, kind) = (attempt.id.as_str(), attempt.kind);
    let mut c = match idle {
        Some(c) => c,
        None => match Connection::open(w.gateways[gateway]).await {
            Ok(c) => c,
            Err(_) => return (Outcome::NoConnection, None),
        },
    };
    let (method, path) = match kind {
        Kind::Safe => (Method::GET, "/board/x".to_owned()),
        Kind::Unsafe => (Method::POST, "/moves/x".to_owned()),
        Kind::Stream => (Method::POST, "/talk/x".to_owned()),
        Kind::Probe(version) => (Method::GET, probe_path(version)),
        // Stream requests carry the marker in the body, plain requests in the path.
        Kind::Poison(_) if kind.service() == "talk" => (Method::POST, "/talk/x".to_owned()),
        Kind::Poison(_) if kind.poison_part().is_some() => (Method::GET, format!("/board/{id}")),
        Kind::Poison(n) => (Method::GET, format!("/board/{POISON}{n}")),
    };
    let body = match kind {
        Kind::Poison(_) if kind.poison_part().is_some() => Bytes::from(id.to_owned()),
        Kind::Poison(n) if method == Method::POST => Bytes::from(format!("{POISON}{n}")),
        _ => Bytes::from(if method == Method::POST { "a body" } else { "" }),
    };
    let cut = |events| Outcome::Cut { begun: false, events };
    match exchange(&mut c, &method, &path, attempt.headers(), &body).await {
        Err(_) => (cut(Vec::new()), None),
        Ok(head) if kind == Kind::Stream && head.status.is_success() => {
            (read_stream(&mut c, attempt, &head, received).await, reusable(c))
        }
        Ok(head) => (read_plain(&mut c, id, &head).await, reusable(c)),
    }
}

/// Returns the connection marked idle, or `None` if it cannot be reused.
fn reusable(mut c: Connection) -> Option<Connection> {
    if !c.is_reusable() {
        return None;
    }
    c.mark_idle(tokio::time::Instant::now());
    Some(c)
}

/// Returns whether the answer carries the id of this request.
fn is_own(head: &ResponseHead, id: &str) -> bool {
    head.headers.get("x-request-id").is_some_and(|v| v.as_bytes() == id.as_bytes())
}

/// Reads the answer to a request that is not a stream.
async fn read_plain(c: &mut Connection, id: &str, head: &ResponseHead) -> Outcome {
    match read_body(c).await {
        Err(_) => Outcome::Cut { begun: true, events: Vec::new() },
        Ok(body) if head.status.is_success() => {
            let whole = is_own(head, id) && body == answer_body(id).as_bytes();
            Outcome::Answered { whole, events: Vec::new() }
        }
        Ok(body) if String::from_utf8_lossy(&body).contains(QUARANTINED) => Outcome::Quarantined,
        Ok(_) => Outcome::Refused(head.status.as_u16()),
    }
}

/// Reads the answer to a stream request event by event, and adds them to `received`.
async fn read_stream(
    c: &mut Connection,
    attempt: &Attempt,
    head: &ResponseHead,
    received: &Received,
) -> Outcome {
    let mut text = String::new();
    let mut valid = is_own(head, &attempt.id);
    let events = || received.events.borrow().clone();
    loop {
        match c.read_chunk().await {
            Ok(Some(bytes)) => text.push_str(&String::from_utf8_lossy(&bytes)),
            Ok(None) => {
                return Outcome::Answered { whole: valid && text.is_empty(), events: events() };
            }
            Err(
                ExchangeError::NotSent(_)
                | ExchangeError::Stale
                | ExchangeError::Closed(_)
                | ExchangeError::Silent(_)
                | ExchangeError::Protocol(_),
            ) => {
                return Outcome::Cut { begun: true, events: events() };
            }
        }
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let n = event.lines().find_map(|l| l.strip_prefix("id: ")?.parse().ok()).unwrap_or(0);
            valid &= event.ends_with(&event_text(attempt.stream(), n));
            let version = event.lines().find_map(|l| l.strip_prefix(VERSION_PREFIX));
            received.versions.borrow_mut().extend(version.map(str::to_owned));
            received.events.borrow_mut().push(n);
        }
    }
}
