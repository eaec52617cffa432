//! Handles model requests: admission, token reservation, claim and the start of the exchange.

use std::rc::Rc;

use actix_http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use cypressfork_core::budget::Policy;
use cypressfork_core::claim::Outcome;
use cypressfork_core::code::Code;
use cypressfork_core::route::RequestProfile;
use cypressfork_core::unit::{RequestId, Tokens};
use cypressfork_http::Body;
use cypressfork_http::server::stop::StopStage;
use cypressfork_node::digest::{body_digest, request_id};
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::app::{ActiveRequest, App};
use crate::claim::{Claim, ClaimResult, claim};
use crate::config_index::{ClientAccount, NamedModelService};
use crate::exchange::Exchange;
use crate::head::Head;
use crate::model_request::{Api, ModelRequest};
use crate::queue::Permit;
use crate::reply::{Refusal, json_response};
use crate::reservation_guard::ReservationGuard;
use crate::response_sender::ResponseSender;
use crate::trace::Trace;

/// The most chunks of a response that are buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 32;

/// An admitted request with the limits for its exchange with engines.
pub struct ExchangePlan {
    /// The request's id in claims and bills.
    pub id: RequestId,
    /// The parsed request.
    pub request: ModelRequest,
    /// The service's name.
    pub service: String,
    /// The most tokens to generate.
    pub cap: Tokens,
    /// When the response must be complete.
    pub deadline: Instant,
    /// The request's trace.
    pub trace: Rc<Trace>,
    /// The slice policy of the charged budget.
    pub policy: Policy,
    /// The properties by which an engine is chosen.
    pub profile: RequestProfile,
}

/// The start of a response, which the handler waits for.
pub enum ResponseStart {
    /// An engine has responded; chunks follow.
    Streaming,
    /// The complete response, for a caller that requested no stream.
    Whole(Value),
}

/// The parsed request with the client account, model and budget found in the configuration.
struct ResolvedRequest {
    account: Rc<ClientAccount>,
    model: Rc<NamedModelService>,
    request: ModelRequest,
    budget: String,
    policy: Policy,
}

fn resolve_request(
    app: &App,
    api: Api,
    head: &Head,
    bytes: &[u8],
) -> Result<ResolvedRequest, Refusal> {
    let config = app.config.borrow();
    let account = config.account_by_key(&head.key)?;
    let request = ModelRequest::parse(api, bytes)?;
    let model = config.model_service(&account, &request.model)?;
    let (name, b) = config.budget(&account, &model.name)?;
    let (budget, policy) = (name.to_owned(), b.policy());
    Ok(ResolvedRequest { account, model, request, budget, policy })
}

/// Handles a model request. Returns when the response has started or was refused.
pub async fn handle_model_request(
    app: &Rc<App>,
    api: Api,
    head: &Head,
    bytes: &[u8],
    trace: &Rc<Trace>,
) -> Result<Response<Body>, Refusal> {
    let deadline = Instant::now() + head.deadline.unwrap_or(app.settings.default_deadline);
    let ResolvedRequest { account, model, request, budget, policy } =
        resolve_request(app, api, head, bytes)?;
    let id = request_id(&account.name, &head.id);
    let cap = request.output_cap(model.service.max_output);
    let need = request.prompt_bound + cap;
    let priority = head.priority.unwrap_or(model.service.priority);
    let queue = app.queue(&model.name).ok_or(Code::NotReady)?;
    let concurrency = account.settings.concurrency;
    let admission = trace.span("admission");
    let permit = queue.acquire(&account.name, concurrency, priority, deadline).await?;
    drop(admission);
    let token_store = app.token_store().ok_or(Code::NotReady)?;
    let mut budgeting = trace.span("budget");
    let reservation = token_store.reserve(&budget, policy, need, deadline).await?;
    budgeting.set_note(format!("{need} tokens of {budget}"));
    drop(budgeting);
    let guard = ReservationGuard::new(token_store, budget, reservation);
    let claim = match head.at_most_once {
        false => None,
        true => {
            let _claiming = trace.span("claim");
            match claim(app, id, body_digest("POST", api.path(), bytes), deadline).await? {
                ClaimResult::Run(c) => Some(c),
                ClaimResult::Done(o) => return Ok(recorded_response(&o)),
            }
        }
    };
    let (service, trace) = (model.name.clone(), trace.clone());
    let profile =
        RequestProfile { prefixes: request.prompt_prefixes(), ..RequestProfile::default() };
    let plan = ExchangePlan { id, request, service, cap, deadline, trace, policy, profile };
    start_exchange(app, plan, guard, claim, permit).await
}

async fn start_exchange(
    app: &Rc<App>,
    plan: ExchangePlan,
    guard: ReservationGuard,
    claim: Option<Claim>,
    permit: Permit,
) -> Result<Response<Body>, Refusal> {
    let stream = plan.request.stream;
    let (chunk_tx, chunk_rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let (response_tx, response_rx) = oneshot::channel();
    let sender = ResponseSender::new(response_tx, chunk_tx, stream);
    let exchange = Exchange::new(app.clone(), plan, guard, claim, sender);
    let active = ActiveRequest::new(app);
    // A separate task, so that tokens are settled even if the caller disconnects.
    actix_rt::spawn(async move {
        exchange.run().await;
        drop(permit);
        drop(active);
    });
    let response = tokio::select! {
        biased;
        response = response_rx => response,
        // The exchange settles its tokens, as it does for a caller that has gone.
        () = app.stop.reached(StopStage::Ended) => return Err(Refusal::cut_by_stop()),
    };
    match response {
        Ok(Ok(ResponseStart::Streaming)) => {
            debug_assert!(stream);
            Ok(streaming_response(chunk_rx))
        }
        Ok(Ok(ResponseStart::Whole(v))) => Ok(json_response(StatusCode::OK, &v)),
        Ok(Err(refusal)) => Err(refusal),
        Err(_) => Err(Code::UpstreamFailed.into()),
    }
}

fn streaming_response(chunk_rx: mpsc::Receiver<Bytes>) -> Response<Body> {
    let mut r = Response::with_body(StatusCode::OK, Body::Stream(chunk_rx));
    let h = r.headers_mut();
    h.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    h.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    r
}

/// Builds the response from the recorded outcome of a request that has run.
pub fn recorded_response(o: &Outcome) -> Response<Body> {
    let status = StatusCode::from_u16(o.status).unwrap_or(StatusCode::OK);
    let Some(body) = &o.body else {
        let v = json!({ "ran": "yes", "status": o.status, "note": "the answer was too large to be kept" });
        return json_response(status, &v);
    };
    let mut r = Response::with_body(status, Body::Full(Bytes::from(body.clone())));
    if let Ok(v) = HeaderValue::from_str(&o.kind) {
        r.headers_mut().insert(CONTENT_TYPE, v);
    }
    r
}
