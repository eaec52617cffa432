//! Calls of plain services, passed through by path.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::header::{self, HeaderValue};
use actix_http::{Method, Response, StatusCode};
use bytes::Bytes;
use cypressfork_core::claim::{BODY_KEPT, End, Outcome};
use cypressfork_core::code::{Code, Ran};
use cypressfork_core::config::Priority;
use cypressfork_core::route::Work;
use cypressfork_core::unit::Millis;
use cypressfork_http::Body;
use cypressfork_node::digest::{body_digest, request_id};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use tokio::time::{Instant, timeout_at};

use crate::app::{Active, App};
use crate::chat::replay;
use crate::claim::{Claim, Claimed, claim};
use crate::exchange::is_not_sent;
use crate::head::Head;
use crate::reply::Refusal;

/// The largest answer that is passed on, in bytes.
const ANSWER_CAP: usize = 8 * 1024 * 1024;

/// Replicas that one call is tried on at most.
const TRIES: usize = 3;

/// When to come back if no replica could be reached.
const NO_UPSTREAM_AFTER: Millis = Millis::seconds(1);

/// A call as the caller made it.
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// `Content-Type`, if it has one.
    pub kind: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

struct Answer {
    status: StatusCode,
    kind: Option<HeaderValue>,
    body: Bytes,
}

enum Failed {
    NotSent(String),
    Sent(String),
}

/// Serves a call of a plain service.
pub async fn plain(app: &Rc<App>, head: &Head, call: Call) -> Result<Response<Body>, Refusal> {
    let deadline = Instant::now() + head.deadline.unwrap_or(app.settings.deadline);
    let client = app.view.borrow().client(&head.key)?;
    let path = call.path.split('?').next().unwrap_or_default().to_owned();
    let service = app.view.borrow().plain(&client, &path)?;
    let safe = matches!(call.method, Method::GET | Method::HEAD);
    let once = head.once || (service.service.writes_once && !safe);
    if once && !head.id_given {
        return Err(Code::IdMissing.into());
    }
    let id = request_id(&client.name, &head.id);
    let priority = head.priority.unwrap_or(Priority::Live);
    let queue = app.queue(&service.name).ok_or(Code::NotReady)?;
    let concurrency = client.account.concurrency;
    let permit = queue.enter(&client.name, concurrency, priority, deadline).await?;
    let claim = match once {
        false => None,
        true => {
            let digest = body_digest(call.method.as_str(), &call.path, &call.body);
            match claim(app, id, digest, deadline).await? {
                Claimed::Run(c) => Some(c),
                Claimed::Done(o) => return Ok(replay(&o)),
            }
        }
    };
    let again = safe && claim.is_none();
    let (app, head, service) = (app.clone(), head.clone(), service.name.clone());
    // A task of its own: a caller that leaves must not leave the outcome untold.
    let active = Active::new(&app);
    let running = actix_rt::spawn(async move {
        let result = run(&app, &service, &head, &call, claim, again, deadline).await;
        drop(permit);
        drop(active);
        result
    });
    running.await.unwrap_or_else(|_| Err(Refusal::from(Code::UpstreamFailed).ran(Ran::Unknown)))
}

async fn run(
    app: &App,
    service: &str,
    head: &Head,
    call: &Call,
    claim: Option<Claim>,
    again: bool,
    deadline: Instant,
) -> Result<Response<Body>, Refusal> {
    let result = try_replicas(app, service, head, call, claim.is_some(), again, deadline).await;
    let end = match &result {
        Ok(a) => End::Answered(outcome(a)),
        Err(r) if r.ran == Ran::No => End::NotRun,
        Err(_) => End::Unknown,
    };
    if let Some(c) = claim {
        c.tell(end);
    }
    result.map(respond)
}

async fn try_replicas(
    app: &App,
    service: &str,
    head: &Head,
    call: &Call,
    once: bool,
    again: bool,
    deadline: Instant,
) -> Result<Answer, Refusal> {
    let mut tried = Vec::new();
    let mut last = Refusal::from(Code::NoUpstream).after(NO_UPSTREAM_AFTER);
    while tried.len() < TRIES {
        let Some(choice) = app.choose(service, &Work::default(), &tried) else { break };
        let address = choice.address;
        tried.push(address);
        let sent = timeout_at(deadline, send(app, address, head, call, once)).await;
        let failed = matches!(sent, Ok(Err(_)));
        app.done(service, &choice, failed);
        match sent {
            Ok(Ok(answer)) => return Ok(answer),
            Err(_) => return Err(Refusal::from(Code::DeadlinePassed).ran(Ran::Unknown)),
            Ok(Err(Failed::NotSent(why))) => {
                emit!(Event::UpstreamFailed, service = service, address = address, why = why);
            }
            Ok(Err(Failed::Sent(why))) => {
                emit!(Event::UpstreamFailed, service = service, address = address, why = why);
                last = Refusal::from(Code::UpstreamFailed).ran(Ran::Unknown).detail(why);
                if !again {
                    break;
                }
            }
        }
    }
    Err(last)
}

async fn send(
    app: &App,
    address: SocketAddr,
    head: &Head,
    call: &Call,
    once: bool,
) -> Result<Answer, Failed> {
    let client = if once { &app.once_client } else { &app.client };
    let url = format!("http://{address}{}", call.path);
    let mut req = client
        .request(call.method.clone(), url)
        .insert_header(("x-request-id", head.id.as_str()))
        .insert_header(("idempotency-key", head.id.as_str()));
    if let Some(kind) = &call.kind {
        req = req.insert_header((header::CONTENT_TYPE, kind.clone()));
    }
    if let Some(t) = &head.traceparent {
        req = req.insert_header(("traceparent", t.as_str()));
    }
    let mut response = match req.send_body(call.body.clone()).await {
        Ok(r) => r,
        Err(e) if is_not_sent(&e) => return Err(Failed::NotSent(e.to_string())),
        Err(e) => return Err(Failed::Sent(e.to_string())),
    };
    let status = response.status();
    let kind = response.headers().get(header::CONTENT_TYPE).cloned();
    let body = response.body().limit(ANSWER_CAP).await;
    let body = body.map_err(|e| Failed::Sent(e.to_string()))?;
    Ok(Answer { status, kind, body })
}

fn outcome(a: &Answer) -> Outcome {
    let kind = a.kind.as_ref().and_then(|k| k.to_str().ok()).unwrap_or_default().to_owned();
    let body = (a.body.len() <= BODY_KEPT).then(|| a.body.to_vec());
    Outcome { status: a.status.as_u16(), kind, body }
}

fn respond(a: Answer) -> Response<Body> {
    let mut r = Response::with_body(a.status, Body::Whole(a.body));
    if let Some(kind) = a.kind {
        r.headers_mut().insert(header::CONTENT_TYPE, kind);
    }
    r.headers_mut().insert(crate::reply::RAN, HeaderValue::from_static(Ran::Yes.as_str()));
    r
}
