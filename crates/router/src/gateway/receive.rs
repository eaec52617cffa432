//! Receives one request: checks from its head that it can be served, reads its body, has it run, and sends what its
//! caller gets if it was refused.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use bytes::Bytes;
use cypressfork_core::code::{Code, Ran};
use cypressfork_core::fleet::document_wait;
use cypressfork_core::fleet::routes::Routes;
use cypressfork_core::unit::Millis;
use cypressfork_http::server::client::Client;
use cypressfork_http::server::stop::StopStage;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::metric;
use metrics::counter;
use tokio::time::{Instant, timeout};

use super::answer::send_refusal;
use super::dialect::{CallerRequest, Dialect};
use super::documents::depends_on_document;
use super::request::{self, Outcome, stopped_outcome};
use super::state::{ActiveGuard, Gateway};
use crate::reply::Refusal;

/// `Retry-After` of a gateway without a current document.
const NOT_READY_RETRY_AFTER: Millis = Millis::seconds(1);

/// `Retry-After` of an overloaded gateway.
const OVERLOADED_RETRY_AFTER: Millis = Millis::seconds(1);

/// `Retry-After` of a gateway that stops. Others may serve the request at once.
const STOPPING_RETRY_AFTER: Millis = Millis(0);

/// Time in which a caller has to accept a refusal.
pub const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves one request and sends the response to `client`. Its body, of at most `max_body` bytes, is read once the head
/// shows that it can be served.
pub async fn serve<D: Dialect>(
    gw: &Rc<Gateway>,
    client: &mut Client,
    req: Request,
    max_body: usize,
) {
    let (id, outcome) = match D::parse_request(req.head()) {
        Ok(inbound) => {
            let id = inbound.id.clone();
            let outcome = tokio::select! {
                biased;
                outcome = receive_and_run::<D>(gw, client, req, inbound, max_body) => Some(outcome),
                () = gw.stop.reached(StopStage::Abandoned) => None,
            };
            (id, outcome.unwrap_or_else(|| stopped_outcome(client, Ran::Unknown)))
        }
        Err(code) => (String::new(), Outcome::Refused(Refusal::from(code))),
    };
    gw.activity.record_end(outcome.end());
    if client.is_crowded_out() {
        return;
    }
    if client.has_body() {
        client.skip_body(max_body).await;
    }
    finish::<D>(client, &id, outcome).await;
}

/// Sends a refusal, counts and logs the outcome, and closes the connection where the response is incomplete.
async fn finish<D: Dialect>(client: &mut Client, id: &str, outcome: Outcome) {
    match outcome {
        Outcome::Answered => counter!(metric::REQUESTS, "code" => "0").increment(1),
        Outcome::Refused(r) => {
            let code = r.code.number();
            counter!(metric::REQUESTS, "code" => code.to_string()).increment(1);
            let why = r.detail.as_deref().unwrap_or_default();
            emit!(Event::RequestFailed, id = id, code = code, ran = r.ran.as_str(), why = why);
            let sent = timeout(REFUSAL_TIMEOUT, send_refusal::<D>(client, id, &r)).await;
            if !matches!(sent, Ok(Ok(()))) {
                client.abandon_output();
            }
        }
        Outcome::Interrupted(why) => {
            emit!(Event::RequestFailed, id = id, code = 0, ran = "yes", why = why);
            client.close_after_response();
        }
        Outcome::CallerClosed => {
            let why = match client.is_cut() {
                true => "the caller read too slowly and was cut",
                false => "the caller has gone",
            };
            emit!(Event::RequestFailed, id = id, code = 0, why = why);
            client.close_after_response();
        }
    }
}

/// Reads the body of a request that can be served, and runs the request.
async fn receive_and_run<D: Dialect>(
    gw: &Rc<Gateway>,
    client: &mut Client,
    mut req: Request,
    inbound: CallerRequest,
    max_body: usize,
) -> Outcome {
    if gw.is_overloaded().await {
        return Outcome::Refused(overloaded_refusal());
    }
    let mut routes = match routes_for(gw, &req, &inbound).await {
        Ok(routes) => routes,
        Err(refusal) => return Outcome::Refused(refusal),
    };
    let body = match client.has_body() {
        false => Ok(Bytes::new()),
        true => {
            if let Err(code) = check_routable(&routes, &req, &inbound) {
                return Outcome::Refused(unroutable_refusal(gw, code));
            }
            let body = tokio::select! {
                biased;
                body = client.read_body(&mut req.head_mut().headers, max_body) => body,
                () = gw.stop.reached(StopStage::Received) => Err(Code::Stopping),
            };
            // Another document may be in force by now.
            routes = match routes_for(gw, &req, &inbound).await {
                Ok(routes) => routes,
                Err(refusal) => return Outcome::Refused(refusal),
            };
            body
        }
    };
    let body = match body {
        Ok(body) => body,
        Err(code) => {
            client.close_after_response();
            return Outcome::Refused(unreceived_refusal(code));
        }
    };
    if client.begin_request(0).is_err() {
        return Outcome::Refused(overloaded_refusal());
    }
    let _active = ActiveGuard::new(gw);
    // Boxed, so that a request whose body is being received takes no space for it.
    let outcome = Box::pin(request::run::<D>(gw, client, req, inbound, body, &routes)).await;
    client.end_request();
    outcome
}

/// Returns the refusal of a request that was not received.
pub fn unreceived_refusal(code: Code) -> Refusal {
    match code {
        Code::Overloaded => overloaded_refusal(),
        Code::Stopping => Refusal::from(code).retry_after(STOPPING_RETRY_AFTER),
        code => Refusal::from(code),
    }
}

/// Returns the refusal of a request for which an overloaded gateway has no place or memory.
pub fn overloaded_refusal() -> Refusal {
    Refusal::from(Code::Overloaded).retry_after(OVERLOADED_RETRY_AFTER)
}

/// Returns the refusal of a request that has no route or no account in the document.
pub fn unroutable_refusal(gw: &Gateway, code: Code) -> Refusal {
    Refusal::from(code).detail(gw.documents.describe(gw.now()))
}

/// Returns the routes that decide about a request. Waits for a newer document if those in force would refuse it for
/// good.
async fn routes_for(
    gw: &Gateway,
    req: &Request,
    inbound: &CallerRequest,
) -> Result<Rc<Routes>, Refusal> {
    tokio::select! {
        biased;
        routes = wait_for_routes(gw, req, inbound) => routes,
        () = gw.stop.reached(StopStage::Ended) => Err(unreceived_refusal(Code::Stopping)),
    }
}

async fn wait_for_routes(
    gw: &Gateway,
    req: &Request,
    inbound: &CallerRequest,
) -> Result<Rc<Routes>, Refusal> {
    let wait = document_wait::first_document_wait(gw.now(), inbound.timeout);
    let until = Instant::now() + Duration::from_millis(wait.0);
    let Some(routes) = gw.wait_for_routes(until).await else {
        return Err(Refusal::from(Code::NotReady).retry_after(NOT_READY_RETRY_AFTER));
    };
    match check_routable(&routes, req, inbound) {
        Err(code) if depends_on_document(code) => {
            newest_routes(gw, inbound).await.ok_or_else(|| not_ready_refusal(gw))
        }
        _ => Ok(routes),
    }
}

/// Checks that the document has a route and an account for a request.
fn check_routable(routes: &Routes, req: &Request, inbound: &CallerRequest) -> Result<(), Code> {
    let route = routes.route(&inbound.host, req.path())?;
    routes.account(route, inbound.key.as_deref()).map(|_| ())
}

/// Returns the routes of the newest document that any control process has announced; only these can refuse
/// a request for good. Returns none if they do not arrive in time or no control process is reachable.
async fn newest_routes(gw: &Gateway, inbound: &CallerRequest) -> Option<Rc<Routes>> {
    if gw.documents.is_cut_off(gw.now()) {
        return None;
    }
    let wait = document_wait::newer_document_wait(inbound.timeout);
    gw.wait_for_newest_routes(Instant::now() + Duration::from_millis(wait.0)).await
}

/// Returns a refusal that tells the caller to retry, for when the gateway's document may be outdated.
fn not_ready_refusal(gw: &Gateway) -> Refusal {
    let detail = gw.documents.describe(gw.now());
    Refusal::from(Code::NotReady).retry_after(NOT_READY_RETRY_AFTER).detail(detail)
}
