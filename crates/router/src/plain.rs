//! Calls to plain services, which are selected by the path of the request.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, Response};
use bytes::Bytes;
use cypressfork_core::claim::{ClaimEnd, MAX_STORED_BODY, Outcome};
use cypressfork_core::code::{Code, Ran};
use cypressfork_core::config::Priority;
use cypressfork_core::route::RequestProfile;
use cypressfork_core::unit::Millis;
use cypressfork_http::Body;
use cypressfork_http::server::client::ResponseBody;
use cypressfork_http::server::stop::StopStage;
use cypressfork_node::digest::{body_digest, request_id};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use tokio::time::{Instant, timeout_at};

use crate::app::{ActiveRequest, App};
use crate::claim::{Claim, ClaimResult, claim};
use crate::head::Head;
use crate::model_handler::recorded_response;
use crate::reply::{RAN, REQUEST_ID, Refusal};
use crate::trace::{Span, Trace};
use crate::unpooled::{BufferedResponse, ExchangeError, Request, exchange};

/// Maximum size of a forwarded response body in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of replicas that one call is sent to.
const MAX_TRIES: usize = 3;

/// Retry delay if no replica could be reached.
const NO_UPSTREAM_RETRY_AFTER: Millis = Millis::seconds(1);

const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// A call as received from the caller.
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// `Content-Type` header, if any.
    pub content_type: Option<HeaderValue>,
    /// Request body.
    pub body: Bytes,
}

/// A call with what is needed to send it to a replica.
struct PendingCall {
    /// Request id.
    id: String,
    call: Call,
    /// Whether it may be resent after a part of it was sent.
    can_resend: bool,
    deadline: Instant,
}

/// Handles a call to a plain service. Returns the response of a replica or the stored one of a
/// claimed request, or the refusal for the caller.
pub async fn handle_call(
    app: &Rc<App>,
    head: &Head,
    call: Call,
    trace: &Rc<Trace>,
) -> Result<Response<Body>, Refusal> {
    let deadline = Instant::now() + head.deadline.unwrap_or(app.settings.default_deadline);
    let account = app.config.borrow().account_by_key(&head.key)?;
    let path = call.path.split('?').next().unwrap_or_default().to_owned();
    let service = app.config.borrow().plain_service(&account, &path)?;
    let is_safe = matches!(call.method, Method::GET | Method::HEAD);
    let needs_claim = head.at_most_once || (service.service.writes_once && !is_safe);
    if needs_claim && !head.id_given {
        return Err(Code::IdMissing.into());
    }
    let id = request_id(&account.name, &head.id);
    let priority = head.priority.unwrap_or(Priority::Live);
    let queue = app.queue(&service.name).ok_or(Code::NotReady)?;
    let concurrency = account.settings.concurrency;
    let admission = trace.span("admission");
    let permit = queue.acquire(&account.name, concurrency, priority, deadline).await?;
    drop(admission);
    let claim = match needs_claim {
        false => None,
        true => {
            let digest = body_digest(call.method.as_str(), &call.path, &call.body);
            let _claiming = trace.span("claim");
            match claim(app, id, digest, deadline).await? {
                ClaimResult::Run(c) => Some(c),
                ClaimResult::Done(o) => return Ok(recorded_response(&o)),
            }
        }
    };
    let can_resend = is_safe && claim.is_none();
    let (app, head, service) = (app.clone(), head.clone(), service.name.clone());
    let pending = PendingCall { id: head.id.clone(), call, can_resend, deadline };
    let (trace, stop) = (trace.clone(), app.stop.clone());
    // Runs in its own task, so that the outcome is recorded even if the caller disconnects.
    let active = ActiveRequest::new(&app);
    let running = actix_rt::spawn(async move {
        let result = run_and_record(&app, &service, &pending, claim, &trace).await;
        drop(permit);
        drop(active);
        result
    });
    let result = tokio::select! {
        biased;
        result = running => result,
        () = stop.reached(StopStage::Ended) => return Err(Refusal::cut_by_stop()),
    };
    result.unwrap_or_else(|_| Err(Refusal::from(Code::UpstreamFailed).ran(Ran::Unknown)))
}

async fn run_and_record(
    app: &App,
    service: &str,
    pending: &PendingCall,
    claim: Option<Claim>,
    trace: &Rc<Trace>,
) -> Result<Response<Body>, Refusal> {
    if let Some(c) = &claim {
        c.mark_started();
    }
    let result = try_replicas(app, service, pending, trace).await;
    let end = match &result {
        Ok(buffered) => ClaimEnd::Answered(stored_outcome(buffered)),
        Err(r) if r.ran == Ran::No => ClaimEnd::NotRun,
        Err(_) => ClaimEnd::Unknown,
    };
    if let Some(c) = claim {
        c.report_end(end);
    }
    result.map(response)
}

async fn try_replicas(
    app: &App,
    service: &str,
    pending: &PendingCall,
    trace: &Rc<Trace>,
) -> Result<BufferedResponse, Refusal> {
    let mut tried = Vec::new();
    let mut last = Refusal::from(Code::NoUpstream).retry_after(NO_UPSTREAM_RETRY_AFTER);
    while tried.len() < MAX_TRIES && app.allow_send(service, tried.len()) {
        let Some(choice) = app.choose(service, &RequestProfile::default(), &tried) else { break };
        let address = choice.address;
        tried.push(address);
        let mut span = trace.span("dispatch");
        span.set_note(address.to_string());
        let sent = timeout_at(pending.deadline, send(address, pending, &span)).await;
        drop(span);
        let failed = matches!(sent, Ok(Err(_)));
        app.record_end(service, &choice, failed);
        match sent {
            Ok(Ok(answer)) => return Ok(answer),
            Err(_) => return Err(Refusal::from(Code::DeadlinePassed).ran(Ran::Unknown)),
            Ok(Err(ExchangeError::NotSent(why))) => {
                emit!(Event::UpstreamFailed, service = service, address = address, why = why);
            }
            Ok(Err(ExchangeError::MaybeSent(why))) => {
                emit!(Event::UpstreamFailed, service = service, address = address, why = why);
                last = Refusal::from(Code::UpstreamFailed).ran(Ran::Unknown).detail(why);
                if !pending.can_resend {
                    break;
                }
            }
        }
    }
    Err(last)
}

async fn send(
    address: SocketAddr,
    pending: &PendingCall,
    span: &Span,
) -> Result<BufferedResponse, ExchangeError> {
    let mut headers = HeaderMap::new();
    let mut set = |name: HeaderName, value: &str| {
        if let Ok(v) = HeaderValue::from_str(value) {
            headers.insert(name, v);
        }
    };
    set(REQUEST_ID, &pending.id);
    set(IDEMPOTENCY_KEY, &pending.id);
    set(TRACEPARENT, &span.traceparent());
    if let Some(content_type) = &pending.call.content_type {
        headers.insert(header::CONTENT_TYPE, content_type.clone());
    }
    let (method, path, body) =
        (pending.call.method.clone(), pending.call.path.clone(), pending.call.body.clone());
    exchange(address, Request { method, path, headers, body }, MAX_RESPONSE_BYTES).await
}

fn stored_outcome(buffered: &BufferedResponse) -> Outcome {
    let kind = buffered.head.headers.get(header::CONTENT_TYPE);
    let kind = kind.and_then(|k| k.to_str().ok()).unwrap_or_default().to_owned();
    let body = match &buffered.body {
        ResponseBody::Whole(body) => (body.len() <= MAX_STORED_BODY).then(|| body.to_vec()),
        ResponseBody::Omitted(_) => Some(Vec::new()),
    };
    Outcome { status: buffered.head.status.as_u16(), kind, body }
}

fn response(buffered: BufferedResponse) -> Response<Body> {
    let mut r = Response::with_body(buffered.head.status, Body::from(buffered.body));
    if let Some(content_type) = buffered.head.headers.get(header::CONTENT_TYPE) {
        r.headers_mut().insert(header::CONTENT_TYPE, content_type.clone());
    }
    r.headers_mut().insert(RAN, HeaderValue::from_static(Ran::Yes.as_str()));
    r
}
