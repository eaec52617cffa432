//! Dispatches callers' requests by path.

use std::rc::Rc;

use actix_http::header::{self, HeaderValue};
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use bytes::Bytes;
use cypressfork_core::code::Code;
use cypressfork_core::unit::Millis;
use cypressfork_http::server::stop::StopStage;
use cypressfork_http::{Body, BodyLimit, Received};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::metric;
use metrics::counter;
use serde_json::json;

use crate::app::App;
use crate::entry::entry_response;
use crate::head::{self, Head};
use crate::model_handler::handle_model_request;
use crate::model_request::Api;
use crate::plain::{Call, handle_call};
use crate::reply::{REQUEST_ID, Refusal, json_response};
use crate::trace::Trace;

/// Memory that serving a request takes, as a multiple of its body: it is parsed, and sent to an upstream.
const BODY_COPIES: usize = 2;

/// Retry delay of requests for which there is too little memory.
const NO_MEMORY_RETRY_AFTER: Millis = Millis::seconds(1);

/// Retry delay while the router is not ready.
const NOT_READY_RETRY_AFTER: Millis = Millis::seconds(1);

/// Serves one request of a caller. Counts and logs its result and returns the response.
pub async fn serve(app: Rc<App>, req: Received) -> Response<Body> {
    let Received { head: req, body } = req;
    let new_id = app.random_u128();
    let head = head::parse(req.headers(), app.settings.head_cap, new_id);
    let id = head.as_ref().map_or_else(|_| format!("{new_id:032x}"), |h| h.id.clone());
    let path = req.path().to_owned();
    let traceparent = head.as_ref().ok().and_then(|h| h.traceparent.as_deref());
    let trace = Trace::begin(app.exporter.clone(), traceparent);
    let served = tokio::select! {
        // Tells itself what may have run.
        biased;
        served = route(&app, req, head, body, &trace) => served,
        () = app.stop.reached(StopStage::Ended) => Err(Refusal::stopping()),
    };
    let mut response = match served {
        Ok(r) => {
            counter!(metric::REQUESTS, "code" => "0").increment(1);
            emit!(Event::RequestDone, status = r.status().as_u16(), path = path, id = id);
            r
        }
        Err(refusal) => {
            let code = refusal.code.number();
            counter!(metric::REQUESTS, "code" => code.to_string()).increment(1);
            emit!(Event::RequestRefused, code = code, path = path, id = id);
            refusal.response()
        }
    };
    if let Ok(v) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(REQUEST_ID, v);
    }
    response
}

async fn route(
    app: &Rc<App>,
    req: Request,
    head: Result<Head, Refusal>,
    body: Result<Bytes, Code>,
    trace: &Rc<Trace>,
) -> Result<Response<Body>, Refusal> {
    let path = req.path().to_owned();
    match path.as_str() {
        "/v1/entry" => {
            require_method(&req, &Method::GET)?;
            Ok(entry_response(app))
        }
        "/v1/models" => {
            require_method(&req, &Method::GET)?;
            list_models(app, &head?)
        }
        "/v1/chat/completions" => serve_model(app, Api::Chat, req, head, body, trace).await,
        "/v1/completions" => serve_model(app, Api::Text, req, head, body, trace).await,
        _ => serve_plain(app, req, head?, body, trace).await,
    }
}

fn require_method(req: &Request, method: &Method) -> Result<(), Refusal> {
    if req.method() == method {
        return Ok(());
    }
    Err(Refusal::from(Code::MethodWrong).detail(format!("use {method}")))
}

fn require_ready(app: &App) -> Result<(), Refusal> {
    if app.ready.get() {
        return Ok(());
    }
    Err(Refusal::from(Code::NotReady).retry_after(NOT_READY_RETRY_AFTER))
}

async fn serve_model(
    app: &Rc<App>,
    api: Api,
    req: Request,
    head: Result<Head, Refusal>,
    body: Result<Bytes, Code>,
    trace: &Rc<Trace>,
) -> Result<Response<Body>, Refusal> {
    require_method(&req, &Method::POST)?;
    let head = head?;
    require_ready(app)?;
    app.config.borrow().account_by_key(&head.key)?;
    let span = trace.span("entry");
    let bytes = check_body(app, body)?;
    drop(span);
    handle_model_request(app, api, &head, &bytes, trace).await
}

async fn serve_plain(
    app: &Rc<App>,
    req: Request,
    head: Head,
    body: Result<Bytes, Code>,
    trace: &Rc<Trace>,
) -> Result<Response<Body>, Refusal> {
    require_ready(app)?;
    let account = app.config.borrow().account_by_key(&head.key)?;
    app.config.borrow().plain_service(&account, req.path())?;
    let method = req.method().clone();
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str()).to_owned();
    let content_type = req.headers().get(header::CONTENT_TYPE).cloned();
    let body = check_body(app, body)?;
    handle_call(app, &head, Call { method, path, content_type, body }, trace).await
}

fn list_models(app: &App, head: &Head) -> Result<Response<Body>, Refusal> {
    require_ready(app)?;
    let config = app.config.borrow();
    let account = config.account_by_key(&head.key)?;
    let data: Vec<_> = config
        .model_names(&account)
        .into_iter()
        .map(|m| json!({ "id": m, "object": "model", "owned_by": "cypressfork" }))
        .collect();
    Ok(json_response(StatusCode::OK, &json!({ "object": "list", "data": data })))
}

/// Returns how much of a request's body is read: none if its head shows that it is refused.
pub fn body_limit(app: &App, req: &Request) -> BodyLimit {
    let is_known = |h: &Head| app.config.borrow().account_by_key(&h.key).is_ok();
    let head = head::parse(req.headers(), app.settings.head_cap, 0);
    match app.ready.get() && head.is_ok_and(|h| is_known(&h)) {
        true => BodyLimit { bytes: app.settings.body_cap, copies: BODY_COPIES },
        false => BodyLimit::NONE,
    }
}

/// Returns the body of a request, or the refusal if it was not received.
fn check_body(app: &App, body: Result<Bytes, Code>) -> Result<Bytes, Refusal> {
    body.map_err(|code| match code {
        Code::BodyTooLarge => {
            Refusal::from(code).detail(format!("the cap is {} bytes", app.settings.body_cap))
        }
        Code::Overloaded => Refusal::from(code).retry_after(NO_MEMORY_RETRY_AFTER),
        Code::Stopping => Refusal::stopping(),
        code => Refusal::from(code),
    })
}
