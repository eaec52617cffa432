//! Accepts connections of callers and serves their requests, one at a time per connection.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ServiceConfig;
use cypressfork_core::code::Code;
use cypressfork_core::fleet::document::Limits;
use cypressfork_core::unit::Millis;
use cypressfork_http::server::accept_opened;
use cypressfork_http::server::client::{Client, NextRequest};
use cypressfork_http::server::clients::{ACCEPTED_IN_ROW, ClientListener};
use cypressfork_http::server::stop::StopStage;
use cypressfork_node::event::Event;
use cypressfork_node::process::bind;
use cypressfork_node::{emit, metric};
use metrics::counter;
use tokio::net::TcpListener;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

use super::answer::send_refusal;
use super::dialect::Dialect;
use super::receive::{self, REFUSAL_TIMEOUT};
use super::state::Gateway;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long the gateway stops listening when its network link is full. A refused connection makes a
/// caller use another gateway at once, while a refused request has already used the link and is retried
/// here.
const LISTEN_PAUSE: Duration = Duration::from_millis(500);

/// How long closing a connection waits for the caller to close its side.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Limits on requests while no document is in force.
const DEFAULT_LIMITS: Limits = Limits {
    head: 16 * 1024,
    body: 4 * 1024 * 1024,
    head_within: Millis::seconds(3),
    idle: Millis::seconds(15),
};

/// Accepts connections until a planned stop closes the listener.
pub async fn accept<D: Dialect>(
    gw: Rc<Gateway>,
    mut listener: TcpListener,
    clients: ClientListener,
) {
    let stopped = gw.clone();
    let mut closed = pin!(stopped.stop.reached(StopStage::Closed));
    let config = ServiceConfig::default();
    let start = |stream| {
        let Ok(account) = clients.register() else { return };
        let held = gw.caller_buffers.as_ref().map(|b| b.register());
        let bytes_served = Some(gw.bytes_served.clone());
        let client = Client::new(stream, account, &config, bytes_served, held);
        actix_rt::spawn(serve::<D>(gw.clone(), client));
    };
    let mut accepted_in_row = 0_usize;
    // Without the options, more bytes may arrive before they are read.
    let _ = ClientListener::configure(&listener);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closed => return accept_opened(listener, start),
        };
        match accepted {
            Ok((stream, _)) => {
                start(stream);
                accepted_in_row += 1;
                if accepted_in_row.is_multiple_of(ACCEPTED_IN_ROW) {
                    yield_now().await;
                }
            }
            // Most likely out of file descriptors. Closed connections free some.
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
        if !gw.is_link_full() {
            continue;
        }
        drop(listener);
        counter!(metric::ACCEPT_PAUSES).increment(1);
        emit!(
            Event::LinkSaturated,
            used = gw.load_monitor.borrow().link_utilisation(),
            active = gw.active_connections.get()
        );
        let reopened = tokio::select! {
            reopened = reopen(gw.settings.listen) => reopened,
            () = &mut closed => return,
        };
        listener = reopened;
        let _ = ClientListener::configure(&listener);
    }
}

/// Listens again after a pause, and retries until that succeeds.
async fn reopen(address: SocketAddr) -> TcpListener {
    loop {
        sleep(LISTEN_PAUSE).await;
        match bind(address) {
            Ok(listener) => return listener,
            Err(e) => emit!(Event::ListenFailed, address = address, why = e),
        }
    }
}

/// Serves the requests on one connection until it is closed.
async fn serve<D: Dialect>(gw: Rc<Gateway>, mut client: Client) {
    loop {
        let limits = gw.documents.in_force().map_or(DEFAULT_LIMITS, |r| *r.limits());
        let next = tokio::select! {
            biased;
            next = client.next_request(&limits, gw.stop.reached(StopStage::Closed)) => next,
            () = gw.stop.reached(StopStage::Received) => match client.has_input() {
                true => NextRequest::Bad(Code::Stopping),
                false => NextRequest::Closed,
            },
        };
        let req = match next {
            NextRequest::Request(req) => req,
            NextRequest::Closed if client.has_input() => break,
            NextRequest::Closed => return,
            NextRequest::Bad(_) if client.is_crowded_out() => return,
            NextRequest::Bad(code) => {
                reject::<D>(&mut client, code).await;
                break;
            }
        };
        // Boxed, so that idle connections keep no space for it.
        Box::pin(receive::serve::<D>(&gw, &mut client, req, limits.body)).await;
        if client.is_crowded_out() {
            return;
        }
        if !client.is_open() {
            break;
        }
    }
    let linger_end = async {
        gw.stop.reached(StopStage::Received).await;
        sleep(LINGER_TIMEOUT).await;
    };
    tokio::select! {
        () = client.close(LINGER_TIMEOUT) => {}
        () = linger_end => {}
    }
}

/// Refuses a request whose head could not be read, and marks the connection for closing.
async fn reject<D: Dialect>(client: &mut Client, code: Code) {
    client.close_after_response();
    let refusal = receive::unreceived_refusal(code);
    // A write error needs no handling: the connection is closed in any case.
    let _ = timeout(REFUSAL_TIMEOUT, send_refusal::<D>(client, "", &refusal)).await;
}
