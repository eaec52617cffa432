//! Dispatches callers' requests by path.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{self, HeaderValue};
use actix_http::{HttpMessage, Method, Payload, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use cypressfork_core::code::Code;
use cypressfork_core::unit::Millis;
use cypressfork_http::Body;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::metric;
use futures_util::StreamExt;
use metrics::counter;
use serde_json::json;
use tokio::time::timeout;

use crate::app::App;
use crate::entry::entry_response;
use crate::head::{self, Head};
use crate::model_handler::handle_model_request;
use crate::model_request::Api;
use crate::plain::{Call, handle_call};
use crate::reply::{REQUEST_ID, Refusal, json_response};
use crate::trace::Trace;

/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Retry delay while the router is not ready.
const NOT_READY_RETRY_AFTER: Millis = Millis::seconds(1);

/// Serves one request of a caller. Counts and logs its result and returns the response.
pub async fn serve(app: Rc<App>, req: Request) -> Response<Body> {
    let new_id = app.random_u128();
    let head = head::parse(req.headers(), app.settings.head_cap, new_id);
    let id = head.as_ref().map_or_else(|_| format!("{new_id:032x}"), |h| h.id.clone());
    let path = req.path().to_owned();
    let traceparent = head.as_ref().ok().and_then(|h| h.traceparent.as_deref());
    let trace = Trace::begin(app.exporter.clone(), traceparent);
    let mut response = match route(&app, req, head, &trace).await {
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
        "/v1/chat/completions" => serve_model(app, Api::Chat, req, head, trace).await,
        "/v1/completions" => serve_model(app, Api::Text, req, head, trace).await,
        _ => serve_plain(app, req, head?, trace).await,
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
    trace: &Rc<Trace>,
) -> Result<Response<Body>, Refusal> {
    require_method(&req, &Method::POST)?;
    let head = head?;
    require_ready(app)?;
    // Check the caller before reading the body.
    app.config.borrow().account_by_key(&head.key)?;
    let span = trace.span("entry");
    let bytes = read_body(req, app.settings.body_cap).await?;
    drop(span);
    handle_model_request(app, api, &head, &bytes, trace).await
}

async fn serve_plain(
    app: &Rc<App>,
    req: Request,
    head: Head,
    trace: &Rc<Trace>,
) -> Result<Response<Body>, Refusal> {
    require_ready(app)?;
    let account = app.config.borrow().account_by_key(&head.key)?;
    app.config.borrow().plain_service(&account, req.path())?;
    let method = req.method().clone();
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str()).to_owned();
    let content_type = req.headers().get(header::CONTENT_TYPE).cloned();
    let body = read_body(req, app.settings.body_cap).await?;
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

/// Reads a body of at most `cap` bytes. Fails with `BodyTooLarge` or, if it does not arrive whole
/// in time, `BodyCut`.
async fn read_body(req: Request, cap: usize) -> Result<Bytes, Refusal> {
    let too_large = || Refusal::from(Code::BodyTooLarge).detail(format!("the cap is {cap} bytes"));
    let content_length = req.headers().get(header::CONTENT_LENGTH);
    let content_length = content_length.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
    if content_length.is_some_and(|n| n > cap) {
        return Err(too_large());
    }
    let payload = req.into_parts().1;
    match timeout(BODY_TIMEOUT, collect_body(payload, cap)).await {
        Ok(Ok(Some(bytes))) => Ok(bytes),
        Ok(Ok(None)) => Err(too_large()),
        Ok(Err(e)) => Err(Refusal::from(Code::BodyCut).detail(e)),
        Err(_) => Err(Refusal::from(Code::BodyCut).detail("it took too long")),
    }
}

/// Returns the whole body, or `None` if it is larger than `cap` bytes.
async fn collect_body(mut payload: Payload, cap: usize) -> Result<Option<Bytes>, String> {
    let mut all = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|e| e.to_string())?;
        if all.len() + chunk.len() > cap {
            return Ok(None);
        }
        all.extend_from_slice(&chunk);
    }
    Ok(Some(all.freeze()))
}
