//! Callers: they ask where to go, keep their connection until it fails, and note what they get.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, ResponseHead};
use bytes::Bytes;
use cypressfork_http::client::{Connection, ExchangeError};
use serde_json::Value;
use tokio::time::{sleep, timeout};

use crate::document::{ACCOUNTS, probe_path};
use crate::history::{Kind, Outcome, Request};
use crate::http::{call, exchange, headers, rest};
use crate::replica::{EVENTS_MOST, POISON, answer, event, events_of};
use crate::world::World;

/// How long a caller waits for a whole answer.
pub const PATIENCE: Duration = Duration::from_millis(4_000);

/// How long it gives the system.
const DEADLINE_MS: u64 = 3_000;

/// How long it waits to be told where to go.
const ENTRY_WITHIN: Duration = Duration::from_secs(1);

/// Time between two requests of a caller, in milliseconds, at least; up to twice as much.
const PAUSE_MS: u64 = 30;

/// Of a hundred connections that could be kept, those that are not.
const CLOSED: u32 = 3;

/// Of a hundred streams, those whose callers leave early.
const LEFT: u32 = 4;

/// Tokens of a prompt.
const PROMPT: u64 = 40;

/// The result code with which a gateway refuses a request that ends its replicas.
const QUARANTINED: &str = "\"CF1309\"";

/// Time between two copies of a poison request.
const POISON_EVERY: Duration = Duration::from_millis(200);

/// Sends copies of a poison request to any gateway for `span`.
pub async fn poison(w: Rc<World>, number: usize, span: Duration) {
    for _ in 0..span.as_millis() / POISON_EVERY.as_millis() {
        let gateway = w.below(w.gateways.len());
        let id = format!("x{number}-{}", w.at());
        let w = w.clone();
        actix_rt::spawn(async move {
            ask(&w, gateway, id, Kind::Poison(number), None).await;
        });
        sleep(POISON_EVERY).await;
    }
}

/// Sends requests until the run is over.
pub async fn call_forever(w: Rc<World>, caller: usize) {
    let mut c = Caller { w: &w, caller, sent: 0, kept: None };
    while !w.over.get() {
        c.request().await;
        sleep(Duration::from_millis(PAUSE_MS + w.below(PAUSE_MS as usize) as u64)).await;
    }
}

struct Caller<'a> {
    w: &'a Rc<World>,
    caller: usize,
    sent: u64,
    kept: Option<(usize, Connection)>,
}

impl Caller<'_> {
    async fn request(&mut self) {
        let gateway = match &self.kept {
            Some((gateway, _)) => *gateway,
            None => match entry(self.w).await {
                Some(gateway) => gateway,
                None => return,
            },
        };
        self.sent += 1;
        let id = format!("c{}-{}", self.caller, self.sent);
        let kind = self.draw_kind();
        let kept = self.kept.take().map(|(_, c)| c);
        let keep = ask(self.w, gateway, id, kind, kept).await;
        self.kept = keep.filter(|_| !self.w.happens(CLOSED)).map(|c| (gateway, c));
    }

    fn draw_kind(&self) -> Kind {
        match self.w.below(10) {
            0..4 => Kind::Stream,
            4..7 => Kind::Unsafe,
            _ => Kind::Safe,
        }
    }
}

/// A gateway that the system names.
async fn entry(w: &World) -> Option<usize> {
    let path = "/v1/entry?data_centre=tamar-a";
    let (status, body) = call(w.any_api(), Method::GET, path, Bytes::new(), ENTRY_WITHIN).await?;
    let v: Value = serde_json::from_slice(&body).ok().filter(|_| status == 200)?;
    let all = v["addresses"].as_array()?;
    let named = all.get(w.below(all.len().max(1)))?;
    let address: SocketAddr = named.as_str()?.parse().ok()?;
    w.gateways.iter().position(|a| *a == address)
}

/// Asks gateways, one after the other, on the route of the newest version that was acknowledged.
pub async fn probe_forever(w: Rc<World>, every: Duration) {
    let mut sent = 0;
    while !w.over.get() {
        sleep(every).await;
        sent += 1;
        let gateway = w.below(w.gateways.len());
        let (id, kind) = (format!("p-{sent}"), Kind::Probe(w.acked.get()));
        ask(&w, gateway, id, kind, None).await;
    }
}

/// Sends one request and notes how it ended; returns the connection if it can be used again.
pub async fn ask(
    w: &Rc<World>,
    gateway: usize,
    id: String,
    kind: Kind,
    kept: Option<Connection>,
) -> Option<Connection> {
    let account = match kind {
        // All its copies are of one account.
        Kind::Poison(_) => &ACCOUNTS[0],
        _ => &ACCOUNTS[usize::from(w.happens(30))],
    };
    let sent = w.at();
    let leaves = kind == Kind::Stream && w.happens(LEFT);
    let patience = if leaves { Duration::from_millis(w.below(150) as u64) } else { PATIENCE };
    let done = timeout(patience, send(w, gateway, &id, kind, account.key, kept)).await;
    let (outcome, keep) = done.unwrap_or((Outcome::Left, None));
    let (prompt, events) = match kind {
        Kind::Stream => (PROMPT, events_of(&id)),
        _ => (0, 0),
    };
    let (account, ended) = (account.name, w.at());
    let request = Request { id, kind, account, prompt, events, gateway, sent, ended, outcome };
    w.history.borrow_mut().requests.push(request);
    keep
}

fn head_of(id: &str, kind: Kind, key: &str) -> HeaderMap {
    let mut all = vec![
        ("x-request-id", id.to_owned()),
        ("authorization", format!("Bearer {key}")),
        ("x-timeout-ms", DEADLINE_MS.to_string()),
    ];
    if kind == Kind::Stream {
        all.push(("x-tokens", format!("{PROMPT},{EVENTS_MOST}")));
    }
    headers(&all)
}

async fn send(
    w: &World,
    gateway: usize,
    id: &str,
    kind: Kind,
    key: &str,
    kept: Option<Connection>,
) -> (Outcome, Option<Connection>) {
    let mut c = match kept {
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
        // One that is told by its body, and others by their paths.
        Kind::Poison(_) if kind.service() == "talk" => (Method::POST, "/talk/x".to_owned()),
        Kind::Poison(n) => (Method::GET, format!("/board/{POISON}{n}")),
    };
    let body = match kind {
        Kind::Poison(n) if method == Method::POST => Bytes::from(format!("{POISON}{n}")),
        _ => Bytes::from(if method == Method::POST { "a body" } else { "" }),
    };
    let cut = |events| Outcome::Cut { begun: false, events };
    match exchange(&mut c, &method, &path, head_of(id, kind, key), &body).await {
        Err(_) => (cut(Vec::new()), None),
        Ok(head) if kind == Kind::Stream && head.status.is_success() => {
            (stream(&mut c, id, &head).await, reusable(c))
        }
        Ok(head) => (plain(&mut c, id, &head).await, reusable(c)),
    }
}

fn reusable(mut c: Connection) -> Option<Connection> {
    if !c.is_reusable() {
        return None;
    }
    c.mark_idle(tokio::time::Instant::now());
    Some(c)
}

fn is_own(head: &ResponseHead, id: &str) -> bool {
    head.headers.get("x-request-id").is_some_and(|v| v.as_bytes() == id.as_bytes())
}

async fn plain(c: &mut Connection, id: &str, head: &ResponseHead) -> Outcome {
    match rest(c).await {
        Err(_) => Outcome::Cut { begun: true, events: Vec::new() },
        Ok(body) if head.status.is_success() => {
            let whole = is_own(head, id) && body == answer(id).as_bytes();
            Outcome::Answered { whole, events: Vec::new() }
        }
        Ok(body) if String::from_utf8_lossy(&body).contains(QUARANTINED) => Outcome::Quarantined,
        Ok(_) => Outcome::Refused(head.status.as_u16()),
    }
}

/// Reads a stream event by event.
async fn stream(c: &mut Connection, id: &str, head: &ResponseHead) -> Outcome {
    let mut text = String::new();
    let (mut events, mut sound) = (Vec::new(), is_own(head, id));
    loop {
        match c.read_chunk().await {
            Ok(Some(bytes)) => text.push_str(&String::from_utf8_lossy(&bytes)),
            Ok(None) => {
                return Outcome::Answered { whole: sound && text.is_empty(), events };
            }
            Err(
                ExchangeError::NotSent(_)
                | ExchangeError::Stale
                | ExchangeError::Closed(_)
                | ExchangeError::Sent(_),
            ) => {
                return Outcome::Cut { begun: true, events };
            }
        }
        while let Some(end) = text.find("\n\n") {
            let one: String = text.drain(..end + 2).collect();
            let n = one.lines().find_map(|l| l.strip_prefix("id: ")?.parse().ok()).unwrap_or(0);
            sound &= one == event(id, n);
            events.push(n);
        }
    }
}
