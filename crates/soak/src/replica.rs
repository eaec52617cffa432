//! Stand-in replicas: they tell of themselves, run what they get, and note it.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use bytes::Bytes;
use cypressfork_http::{Body, serve};
use futures_util::StreamExt;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::history::{Arrival, End, Leaving, Limited, Rested, Told};
use crate::http::call;
use crate::plan::Resting;
use crate::proxy::Gate;
use crate::world::World;

/// How often a replica tells of itself.
const BEAT_EVERY: Duration = Duration::from_millis(500);

/// How long one heartbeat may take.
const BEAT_WITHIN: Duration = Duration::from_secs(1);

/// Tries to have a leaving acknowledged.
const LEAVE_TRIES: usize = 40;

/// How long a replica that leaves goes on serving after the acknowledgement.
const LINGER: Duration = Duration::from_secs(4);

/// How often the connections of a grey replica are reset.
const GREY_EVERY: Duration = Duration::from_millis(150);

/// The most events of a stream.
pub const EVENTS_MOST: u64 = 30;

/// The time between two events.
const EVENT_EVERY: Duration = Duration::from_millis(10);

/// What a poison request holds, in its path or body, before its number.
pub const POISON: &str = "poison-";

/// How long a replica has run a poison request when it ends.
const ENDS_AFTER: Duration = Duration::from_millis(20);

/// How long a plain request runs.
const RUN: Duration = Duration::from_millis(8);

const LIMIT: HeaderName = HeaderName::from_static("x-rate-limit");
const LEAVING: HeaderName = HeaderName::from_static("x-leaving");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// The events of the answer to a request, the same at every replica.
pub fn events_of(id: &str) -> u64 {
    let sum = id.bytes().fold(7u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
    1 + sum % EVENTS_MOST
}

/// The text of one event.
pub fn event(id: &str, n: u64) -> String {
    format!("id: {n}\ndata: {id} {n}\n\n")
}

/// The body of a plain answer.
pub fn answer(id: &str) -> String {
    format!("answer to {id}")
}

/// How long a process goes on listening after its connections have ended.
const EXIT: Duration = Duration::from_millis(20);

/// One start of a replica.
pub struct Replica {
    /// Its id.
    pub id: String,
    service: &'static str,
    gate: Gate,
    full: Cell<bool>,
    /// The limit that it names, by its place in the history.
    limit: Cell<Option<usize>>,
    /// It turns requests away and asks for rest.
    resting: Cell<Option<Resting>>,
    /// It says in its answers that it leaves.
    leaves_quietly: Cell<bool>,
    leaving: Cell<bool>,
    beats: Cell<u64>,
    /// When it started, in milliseconds since 1970.
    born: u64,
    serving: Cell<Option<AbortHandle>>,
    beating: Cell<Option<AbortHandle>>,
}

impl Replica {
    /// Starts one.
    pub async fn start(
        w: &Rc<World>,
        service: &'static str,
        id: String,
    ) -> io::Result<Rc<Replica>> {
        w.end_words_of(&id);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let gate = Gate::start(listener.local_addr()?).await?;
        let replica = Rc::new(Replica {
            id,
            service,
            gate,
            full: Cell::new(false),
            limit: Cell::new(None),
            resting: Cell::new(None),
            leaves_quietly: Cell::new(false),
            leaving: Cell::new(false),
            beats: Cell::new(0),
            born: w.next_born(),
            serving: Cell::new(None),
            beating: Cell::new(None),
        });
        let (own, world) = (replica.clone(), w.clone());
        let serving =
            actix_rt::spawn(serve(listener, move |req| answer_to(own.clone(), world.clone(), req)));
        replica.serving.set(Some(serving.abort_handle()));
        let beating = actix_rt::spawn(beat_forever(replica.clone(), w.clone()));
        replica.beating.set(Some(beating.abort_handle()));
        Ok(replica)
    }

    /// Rejects all that comes from now on, or no longer.
    pub fn set_full(&self, full: bool) {
        self.full.set(full);
    }

    /// Names a limit in its answers for `span`, unless it names one already.
    pub async fn name_limit(&self, w: &World, thousandths: u64, span: Duration) {
        if self.limit.get().is_some() {
            return;
        }
        let limited = Limited { replica: self.id.clone(), thousandths, first: None, until: None };
        let n = w.history.borrow().limits.len();
        w.history.borrow_mut().limits.push(limited);
        self.limit.set(Some(n));
        sleep(span).await;
        self.limit.set(None);
        w.history.borrow_mut().limits[n].until.get_or_insert(w.at());
    }

    /// Turns requests away and asks for rest, for as long as is drawn.
    pub async fn turn_away(&self, r: Resting) {
        self.resting.set(Some(r));
        sleep(Duration::from_millis(r.span)).await;
        self.resting.set(None);
    }

    /// Says in its answers alone that it leaves, serves on for a while, and is gone.
    pub async fn leave_quietly(self: Rc<Self>, w: Rc<World>) {
        self.leaves_quietly.set(true);
        sleep(LINGER * 2).await;
        let path = format!("/v1/replicas/{}", self.id);
        // It ends whether or not anybody hears of it.
        let _ = call(w.any_api(), Method::DELETE, &path, Bytes::new(), BEAT_WITHIN).await;
        self.crash();
    }

    /// Adds the word that it leaves to an answer.
    fn with_leaving(&self, w: &World, request: String, mut r: Response<Body>) -> Response<Body> {
        if self.leaves_quietly.get() {
            let told = Told { replica: self.id.clone(), request, until: None };
            w.history.borrow_mut().told.push(told);
            r.headers_mut().insert(LEAVING, HeaderValue::from_static("1"));
        }
        r
    }

    /// Turns a request away with a rest, if it does so now.
    fn rest(&self, w: &World, id: &str) -> Option<Response<Body>> {
        let resting = self.resting.get().filter(|r| w.happens(r.share))?;
        let at = w.at();
        let rested = Rested {
            replica: self.id.clone(),
            request: id.to_owned(),
            at,
            until: at + resting.rest,
        };
        w.history.borrow_mut().rests.push(rested);
        let mut r = reject(id, StatusCode::SERVICE_UNAVAILABLE);
        let seconds = format!("{}.{:03}", resting.rest / 1_000, resting.rest % 1_000);
        if let Ok(v) = HeaderValue::from_str(&seconds) {
            r.headers_mut().insert(RETRY_AFTER, v);
        }
        Some(r)
    }

    /// Adds the limit to an answer.
    fn limited(&self, w: &World, mut r: Response<Body>) -> Response<Body> {
        let Some(n) = self.limit.get() else { return r };
        let thousandths = {
            let l = &mut w.history.borrow_mut().limits[n];
            l.first.get_or_insert(w.at());
            l.thousandths
        };
        let text = format!("{}.{:03}", thousandths / 1_000, thousandths % 1_000);
        if let Ok(v) = HeaderValue::from_str(&text) {
            r.headers_mut().insert(LIMIT, v);
        }
        r
    }

    /// Resets connections now and then, for `span`.
    pub async fn turn_grey(&self, span: Duration) {
        for _ in 0..span.as_millis() / GREY_EVERY.as_millis() {
            sleep(GREY_EVERY).await;
            self.gate.reset();
        }
    }

    /// Is gone at once. With every other one, what listens at its address outlasts its connections: its
    /// process takes a while to exit.
    pub fn crash(self: &Rc<Self>) {
        for task in [self.beating.take(), self.serving.take()].into_iter().flatten() {
            task.abort();
        }
        if self.born.is_multiple_of(2) {
            return self.gate.close();
        }
        self.gate.reset();
        let own = self.clone();
        actix_rt::spawn(async move {
            sleep(EXIT).await;
            own.gate.close();
        });
    }

    /// Says that it leaves, serves on for a while, and is gone.
    pub async fn leave(self: Rc<Self>, w: Rc<World>) {
        self.leaving.set(true);
        for _ in 0..LEAVE_TRIES {
            if self.beat(&w).await {
                let acked = w.at();
                let leaving = Leaving { replica: self.id.clone(), acked };
                w.history.borrow_mut().leaving.push(leaving);
                break;
            }
            sleep(BEAT_EVERY / 5).await;
        }
        sleep(LINGER).await;
        let path = format!("/v1/replicas/{}", self.id);
        // It ends whether or not anybody hears of it.
        let _ = call(w.any_api(), Method::DELETE, &path, Bytes::new(), BEAT_WITHIN).await;
        self.crash();
    }

    /// Tells of itself once; whether that was acknowledged.
    async fn beat(&self, w: &World) -> bool {
        self.beats.set(self.beats.get() + 1);
        let body = json!({
            "service": self.service, "address": self.gate.address.to_string(),
            "data_centre": "tamar-a", "slots": 16, "draining": self.leaving.get(),
            "sequence": self.beats.get(), "born": self.born,
        });
        let path = format!("/v1/replicas/{}", self.id);
        let body = Bytes::from(body.to_string());
        let answer = call(w.any_api(), Method::PUT, &path, body, BEAT_WITHIN).await;
        answer.is_some_and(|(status, _)| status == 200)
    }
}

async fn beat_forever(r: Rc<Replica>, w: Rc<World>) {
    loop {
        // Another process is told at once if one does not answer.
        let heard = r.beat(&w).await;
        sleep(if heard { BEAT_EVERY } else { BEAT_EVERY / 5 }).await;
    }
}

fn text<'a>(h: &'a HeaderMap, name: &'static str) -> &'a str {
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

fn reject(id: &str, status: StatusCode) -> Response<Body> {
    let mut r = respond(id, status, Body::Whole(Bytes::new()));
    r.headers_mut().insert(NOT_RUN, HeaderValue::from_static("true"));
    r
}

async fn answer_to(r: Rc<Replica>, w: Rc<World>, req: Request) -> Response<Body> {
    let id = text(req.headers(), "x-request-id").to_owned();
    let answer = handle(r.clone(), w.clone(), req).await;
    // Another replica's request: its answer says nothing of this one.
    if answer.status() == StatusCode::MISDIRECTED_REQUEST {
        return answer;
    }
    let answer = r.with_leaving(&w, id, answer);
    r.limited(&w, answer)
}

async fn handle(r: Rc<Replica>, w: Rc<World>, req: Request) -> Response<Body> {
    let h = req.headers();
    let id = text(h, "x-request-id").to_owned();
    let meant = text(h, "x-replica") == r.id;
    let account = text(h, "x-client-account").to_owned();
    let last: u64 = text(h, "last-event-id").parse().unwrap_or(0);
    let rest = if meant { r.rest(&w, &id) } else { None };
    let run = meant && !r.full.get() && rest.is_none();
    let at = w.at();
    let arrival =
        Arrival { id: id.clone(), service: r.service, replica: r.id.clone(), at, account, run };
    w.history.borrow_mut().arrivals.push(arrival);
    let path = req.path().to_owned();
    let body = read_all(req).await;
    if !meant {
        return reject(&id, StatusCode::MISDIRECTED_REQUEST);
    }
    if let Some(rest) = rest {
        return rest;
    }
    if !run {
        return reject(&id, StatusCode::SERVICE_UNAVAILABLE);
    }
    if let Some(poison) = poison_of(&path).or_else(|| poison_of(&String::from_utf8_lossy(&body))) {
        end_under(&r, &w, poison).await;
        return reject(&id, StatusCode::SERVICE_UNAVAILABLE);
    }
    if r.service == "talk" {
        let (tx, rx) = mpsc::channel(4);
        actix_rt::spawn(make_events(w, id.clone(), last, tx));
        return respond(&id, StatusCode::OK, Body::Pieces(rx));
    }
    sleep(RUN).await;
    respond(&id, StatusCode::OK, Body::Whole(Bytes::from(answer(&id))))
}

async fn read_all(req: Request) -> Vec<u8> {
    let mut payload = req.into_parts().1;
    let mut all = Vec::new();
    while let Some(Ok(piece)) = payload.next().await {
        all.extend_from_slice(&piece);
    }
    all
}

/// The number of a poison request.
fn poison_of(text: &str) -> Option<usize> {
    let (_, number) = text.split_once(POISON)?;
    number.parse().ok()
}

/// Ends a replica that runs a poison request, once. Nothing that it answers then reaches anybody.
async fn end_under(r: &Rc<Replica>, w: &World, poison: usize) {
    sleep(ENDS_AFTER).await;
    if w.ended.borrow().contains(&r.id) {
        return;
    }
    w.ended.borrow_mut().push(r.id.clone());
    let at = w.at();
    w.history.borrow_mut().ends.push(End { poison, at });
    r.crash();
}

async fn make_events(w: Rc<World>, id: String, last: u64, tx: mpsc::Sender<Bytes>) {
    for n in last + 1..=events_of(&id) {
        sleep(EVENT_EVERY).await;
        {
            let mut h = w.history.borrow_mut();
            let made = h.made.entry(id.clone()).or_default();
            *made = (*made).max(n);
        }
        // The caller has gone.
        if tx.send(Bytes::from(event(&id, n))).await.is_err() {
            return;
        }
    }
}
