//! The control process's HTTP API: documents, registrations, rollouts and router addresses.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{Request, Response};
use bytes::Bytes;
use cypressfork_core::code::Code;
use cypressfork_core::command::{Answer as Committed, Command};
use cypressfork_core::fleet::format;
use cypressfork_core::fleet::registry::{Registration, ReplicaStatus};
use cypressfork_core::query::{Query, Reply};
use cypressfork_http::server::stop::{StopProgress, StopStage};
use cypressfork_http::{Body, BodyLimit, Received};
use cypressfork_node::event::Event;
use cypressfork_node::group::GroupClient;
use cypressfork_node::{emit, metric};
use metrics::counter;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::Instant;

use crate::dialect::{Call, CallAnswer, Dialect, Incoming, foreign_call};
use crate::listener::{CallKind, ForeignCalls, Listener, excerpt};

/// Time within which a document has to be committed.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Time within which an evacuation or a rollout command has to be committed.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of a confirmed read.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// A call that the process answers from its own state, without the group.
pub struct LocalCall {
    /// The call: one that needs no committed command and no confirmed read.
    pub call: Call,
    /// Receives the answer.
    pub to: oneshot::Sender<LocalAnswer>,
}

/// The answer to a [`LocalCall`].
pub enum LocalAnswer {
    /// The call was carried out or refused.
    Done(CallAnswer),
    /// The call may be acknowledged once the group has committed this.
    Commit(Departing),
}

/// A replica that drains or has left.
pub struct Departing {
    /// The replica's id.
    pub replica: String,
    /// Its last registration, if it is known.
    pub registration: Option<Registration>,
    /// Draining or left.
    pub standing: ReplicaStatus,
}

/// State shared by all requests.
pub struct Api {
    /// The control group.
    pub group: GroupClient,
    /// Calls to be answered from the process's own state.
    pub local: mpsc::Sender<LocalCall>,
    /// How far a planned stop has come.
    pub stop: Rc<StopProgress>,
    /// Permits for calls that submit or read a document.
    documents: Semaphore,
}

/// A listener and the state of its requests.
pub struct Endpoint {
    api: Rc<Api>,
    listener: Listener,
    foreign: ForeignCalls,
}

impl Endpoint {
    /// Returns a listener that has had no requests.
    pub fn new(api: Rc<Api>, listener: Listener) -> Endpoint {
        Endpoint { api, listener, foreign: ForeignCalls::default() }
    }
}

impl Api {
    /// Returns the state of a process without calls.
    pub fn new(group: GroupClient, local: mpsc::Sender<LocalCall>, stop: Rc<StopProgress>) -> Api {
        Api { group, local, stop, documents: Semaphore::new(MAX_DOCUMENT_CALLS) }
    }
}

/// Maximum size of a document in bytes.
const MAX_DOCUMENT: usize = 8 * 1024 * 1024;

/// Maximum size of the body of any other call in bytes.
const MAX_BODY: usize = 64 * 1024;

/// Memory that a document uses until it is committed, as a multiple of its size: it is parsed, and stored in messages to
/// the leader and in the log.
const DOCUMENT_COPIES: usize = 4;

/// Calls that submit or read a document at once; each holds several copies of it. Others wait.
const MAX_DOCUMENT_CALLS: usize = 8;

/// Returns how much of the body of a request is read in the dialect `D`: none if the listener does not take the call.
pub fn body_limit<D: Dialect>(listener: Listener, req: &Request) -> BodyLimit {
    match listener.find_call::<D>(req.method().as_str(), req.path()) {
        Some((CallKind::Publish, _)) => BodyLimit { bytes: MAX_DOCUMENT, copies: DOCUMENT_COPIES },
        Some(_) => BodyLimit { bytes: MAX_BODY, copies: 0 },
        None => BodyLimit::NONE,
    }
}

/// Handles one request: reads it in the dialect `D`, carries out its call, and returns the response.
pub async fn serve<D: Dialect>(endpoint: Rc<Endpoint>, req: Received) -> Response<Body> {
    let Received { head, body } = req;
    let answer = match body {
        Ok(bytes) => answer::<D>(&endpoint, &head, bytes).await,
        Err(code) => CallAnswer::Refused(code, "the body was not received".to_owned()),
    };
    if let CallAnswer::Refused(code, why) = &answer {
        counter!(metric::CALLS_REFUSED, "code" => code.number().to_string()).increment(1);
        match code {
            Code::CallForeign => endpoint.foreign.record(endpoint.listener, &head),
            _ => {
                let path = excerpt(head.path());
                emit!(Event::CallRefused, code = code.number(), path = path, why = why);
            }
        }
    }
    D::encode_answer(answer)
}

/// Carries out the call of a request, if the listener takes it, and returns the answer.
async fn answer<D: Dialect>(endpoint: &Endpoint, head: &Request, body: Bytes) -> CallAnswer {
    let query = head.uri().query().unwrap_or_default();
    let (method, path) = (head.method(), head.path());
    let incoming = Incoming { method, path, query, body: &body };
    let Some((kind, name)) = endpoint.listener.find_call::<D>(method.as_str(), path) else {
        return foreign_call(&incoming);
    };
    match D::parse_kind(kind, name, &incoming) {
        Ok(call) => {
            drop(body);
            tokio::select! {
                biased;
                answer = dispatch::<D>(&endpoint.api, call) => answer,
                () = endpoint.api.stop.reached(StopStage::Ended) => cut_by_stop(),
            }
        }
        Err(refused) => refused,
    }
}

async fn dispatch<D: Dialect>(api: &Api, call: Call) -> CallAnswer {
    match call {
        Call::Publish(source) => publish::<D>(api, source).await,
        Call::Document => current_document(api).await,
        Call::Evacuate(data_centre, evacuate) => {
            run_command(api, Command::Evacuate { data_centre, evacuate }).await
        }
        Call::StartRollout(service, version, within) => {
            run_command(api, Command::StartRollout { service, version, within }).await
        }
        Call::AbortRollout(service) => run_command(api, Command::AbortRollout(service)).await,
        Call::Rollout(service) => rollout(api, service).await,
        call => call_local(api, call).await,
    }
}

async fn publish<D: Dialect>(api: &Api, source: String) -> CallAnswer {
    let Ok(_permit) = api.documents.acquire().await else { return busy() };
    if format::count_values(&source) > format::MAX_VALUES {
        return CallAnswer::Refused(Code::DocumentBad, "it has too many values".to_owned());
    }
    let document = match D::parse(&source) {
        Ok(d) => d,
        Err(e) => return CallAnswer::Refused(e.code, e.reason),
    };
    let budgets = document.budgets().collect();
    let services = document.services.iter().map(|s| s.name.clone()).collect();
    let version = document.version;
    let command = Command::Publish { version, source, budgets, services };
    let received = Instant::now();
    match api.group.command(&command, PUBLISH_TIMEOUT).await {
        Ok(Committed::Published(current)) => {
            let ms = received.elapsed().as_millis();
            emit!(Event::DocumentPublished, version = version, held = current, ms = ms);
            CallAnswer::Published(current)
        }
        Ok(_) => CallAnswer::Refused(Code::MessageBad, "the group gave another answer".to_owned()),
        Err(code) => CallAnswer::Refused(code, "the group did not commit it in time".to_owned()),
    }
}

/// Has a command committed by the group. Callers retry at another control process after a second; a
/// longer timeout could commit the command after the caller's next one.
async fn run_command(api: &Api, command: Command) -> CallAnswer {
    match api.group.command(&command, COMMAND_TIMEOUT).await {
        Ok(Committed::Done) => CallAnswer::Accepted,
        Ok(Committed::Refused(code)) => {
            CallAnswer::Refused(code, "the group refuses it".to_owned())
        }
        Ok(_) => CallAnswer::Refused(Code::MessageBad, "the group gave another answer".to_owned()),
        Err(code) => CallAnswer::Refused(code, "the order was not carried out".to_owned()),
    }
}

/// Has the departure of a replica committed, so that it does not depend on this process any more.
async fn commit_departure(api: &Api, d: Departing) -> CallAnswer {
    let Departing { replica, registration, standing } = d;
    let is_known = registration.is_some();
    let received = Instant::now();
    let command = Command::Depart { replica: replica.clone(), registration, standing };
    let answer = run_command(api, command).await;
    if answer == CallAnswer::Accepted {
        let ms = received.elapsed().as_millis();
        emit!(
            Event::DepartureCommitted,
            replica = replica,
            standing = format!("{standing:?}"),
            known = is_known,
            ms = ms
        );
    }
    answer
}

async fn current_document(api: &Api) -> CallAnswer {
    let Ok(_permit) = api.documents.acquire().await else { return busy() };
    match api.group.query(&Query::Published, READ_TIMEOUT).await {
        Ok(Reply::Published(Some(source))) => CallAnswer::Document(source),
        Ok(_) => CallAnswer::Refused(Code::NotReady, "no document is in force yet".to_owned()),
        Err(code) => CallAnswer::Refused(code, "no quorum confirmed what is in force".to_owned()),
    }
}

async fn rollout(api: &Api, service: String) -> CallAnswer {
    match api.group.query(&Query::Rollouts(Some(service)), READ_TIMEOUT).await {
        Ok(Reply::Rollouts(found)) => match found.into_iter().next() {
            Some((_, r)) => CallAnswer::Rollout(r),
            None => CallAnswer::Refused(Code::RolloutUnknown, "none is known".to_owned()),
        },
        Ok(_) => CallAnswer::Refused(Code::MessageBad, "the group gave another answer".to_owned()),
        Err(code) => CallAnswer::Refused(code, "no quorum confirmed how it stands".to_owned()),
    }
}

/// Returns the answer to a call that outlasts a planned stop. What it asked for may still be committed.
fn cut_by_stop() -> CallAnswer {
    let why = "this process stops; the group may still carry the call out";
    CallAnswer::Refused(Code::NoQuorum, why.to_owned())
}

fn busy() -> CallAnswer {
    CallAnswer::Refused(Code::QueueFull, "too many calls wait".to_owned())
}

async fn call_local(api: &Api, call: Call) -> CallAnswer {
    let (to, answer) = oneshot::channel();
    if api.local.try_send(LocalCall { call, to }).is_err() {
        return busy();
    }
    match answer.await {
        Ok(LocalAnswer::Done(answer)) => answer,
        Ok(LocalAnswer::Commit(departing)) => commit_departure(api, departing).await,
        Err(_) => busy(),
    }
}
