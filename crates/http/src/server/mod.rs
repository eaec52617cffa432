//! HTTP/1.1 server.

pub mod client;
pub mod clients;
pub mod exchanges;
mod head;
pub mod output;
pub mod signal;
pub mod stop;

use std::future::poll_fn;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::{Request, Response, ServiceConfig, StatusCode};
use bytes::Bytes;
use cypressfork_core::code::Code;
use cypressfork_core::fleet::document::Limits;
use cypressfork_core::unit::Millis;
use cypressfork_node::time::Clock;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::Body;
use client::{Client, NextRequest, ResponseBody};
use clients::{ACCEPTED_IN_ROW, ClientListener, Clients};
use stop::{StopProgress, StopStage};

/// Limits on the heads of requests, and on idle connections. Bodies have a limit by request.
const LIMITS: Limits = Limits {
    head: 64 * 1024,
    body: 0,
    head_within: Millis::seconds(10),
    idle: Millis::seconds(75),
};

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long closing a connection waits for the client to close its side.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a body of a server without limits of its own, in bytes.
const DEFAULT_BODY: usize = 8 * 1024 * 1024;

/// A request whose body was received, or has failed to be.
pub struct Received {
    /// The request without its body.
    pub head: Request,
    /// The whole body; empty if the limit function wants none.
    pub body: Result<Bytes, Code>,
}

/// How much of a request's body is read, and what serving the request costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimit {
    /// Maximum size of the body in bytes. With 0, the request is served without its body.
    pub bytes: usize,
    /// Memory that serving the request takes, as a multiple of its body.
    pub copies: usize,
}

impl BodyLimit {
    /// The limit of requests that are served without their bodies.
    pub const NONE: BodyLimit = BodyLimit { bytes: 0, copies: 0 };
}

/// Accepts connections until the process ends and answers every request with `handle`. Reads bodies of up to 8 MiB.
/// Clients are trusted not to exhaust the process.
pub async fn serve<F, R>(listener: TcpListener, handle: F)
where
    F: Fn(Received) -> R + Clone + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    let clients = Clients::new(Clock::start(), u64::MAX).add_listener(usize::MAX);
    let limit = |_: &Request| BodyLimit { bytes: DEFAULT_BODY, copies: 0 };
    serve_within(listener, clients, limit, handle).await;
}

/// Accepts connections until the process ends, within the bounds of `clients`, and answers every request with `handle`.
/// `limit` tells from the head how much of the body is read.
pub async fn serve_within<L, F, R>(
    listener: TcpListener,
    clients: ClientListener,
    limit: L,
    handle: F,
) where
    L: Fn(&Request) -> BodyLimit + Clone + 'static,
    F: Fn(Received) -> R + Clone + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    serve_until_stopped(listener, clients, Rc::default(), limit, handle).await;
}

/// Like [`serve_within`], but follows a planned stop, and returns once that closes the listener. Requests whose bodies
/// have not arrived by [`StopStage::Received`] get to `handle` with [`Code::Stopping`]. By [`StopStage::Ended`] `handle`
/// has to answer; streamed bodies end without their last chunk.
pub async fn serve_until_stopped<L, F, R>(
    listener: TcpListener,
    clients: ClientListener,
    stop: Rc<StopProgress>,
    limit: L,
    handle: F,
) where
    L: Fn(&Request) -> BodyLimit + Clone + 'static,
    F: Fn(Received) -> R + Clone + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    let mut closed = pin!(stop.reached(StopStage::Closed));
    // Without the options, more bytes may arrive before they are read.
    let _ = ClientListener::configure(&listener);
    let config = ServiceConfig::default();
    let accept = |stream| {
        let Ok(account) = clients.register() else { return };
        let client = Client::new(stream, account, &config, None, None);
        let (limit, handle, stop) = (limit.clone(), handle.clone(), stop.clone());
        actix_rt::spawn(async move { serve_connection(client, &stop, limit, handle).await });
    };
    let mut accepted_in_row = 0_usize;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closed => break,
        };
        match accepted {
            Ok((stream, _)) => {
                accept(stream);
                accepted_in_row += 1;
                if accepted_in_row.is_multiple_of(ACCEPTED_IN_ROW) {
                    yield_now().await;
                }
            }
            // Usually the process has too many open files: wait until some are closed.
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
    accept_opened(listener, accept);
}

/// Accepts the connections that have opened, whose requests may have arrived, and closes the listener.
pub fn accept_opened(listener: TcpListener, accept: impl Fn(TcpStream)) {
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        stream.into_iter().for_each(&accept);
    }
}

/// Serves the requests on one connection until it is closed.
async fn serve_connection<L, F, R>(mut client: Client, stop: &StopProgress, limit: L, handle: F)
where
    L: Fn(&Request) -> BodyLimit,
    F: Fn(Received) -> R,
    R: Future<Output = Response<Body>>,
{
    loop {
        let next = tokio::select! {
            biased;
            next = client.next_request(&LIMITS, stop.reached(StopStage::Closed)) => next,
            () = stop.reached(StopStage::Received) => NextRequest::Closed,
        };
        let req = match next {
            NextRequest::Request(req) => req,
            NextRequest::Closed if client.has_input() => break,
            NextRequest::Closed => return,
            NextRequest::Bad(code) => {
                client.close_after_response();
                let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_REQUEST);
                let response = Response::with_body(status, Body::Full(Bytes::new()));
                // A write error needs no handling: the connection is closed in any case.
                let _ = send(&mut client, response, stop).await;
                break;
            }
        };
        // Boxed, so that idle connections keep no space for it.
        let served = Box::pin(serve_request(&mut client, req, stop, &limit, &handle)).await;
        if served.is_err() {
            return;
        }
        if !client.is_open() {
            break;
        }
    }
    client.close(LINGER_TIMEOUT).await;
}

/// Reads the body of a request, has it handled, and sends the response. Fails if the connection does.
async fn serve_request<L, F, R>(
    client: &mut Client,
    mut head: Request,
    stop: &StopProgress,
    limit: &L,
    handle: &F,
) -> io::Result<()>
where
    L: Fn(&Request) -> BodyLimit,
    F: Fn(Received) -> R,
    R: Future<Output = Response<Body>>,
{
    let limit = limit(&head);
    let mut body = match limit.bytes {
        0 => Ok(Bytes::new()),
        max => tokio::select! {
            biased;
            body = client.read_body(&mut head.head_mut().headers, max) => body,
            () = stop.reached(StopStage::Received) => Err(Code::Stopping),
        },
    };
    let extra = body.as_ref().map_or(0, Bytes::len) * limit.copies;
    if client.begin_request(extra).is_err() {
        body = Err(Code::Overloaded);
    }
    if client.is_crowded_out() {
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    if client.has_body() {
        client.skip_body(limit.bytes).await;
    }
    let response = {
        // Boxed, so that a request whose body is being received takes no space for it.
        let mut handling = Box::pin(handle(Received { head, body }));
        tokio::select! {
            response = &mut handling => response,
            () = client.reset() => return Err(io::ErrorKind::ConnectionReset.into()),
        }
    };
    if stop.has_reached(StopStage::Closed) {
        client.close_after_response();
    }
    send(client, response, stop).await
}

/// Sends a response.
async fn send(
    client: &mut Client,
    response: Response<Body>,
    stop: &StopProgress,
) -> io::Result<()> {
    let (mut head, body) = response.into_parts();
    let (status, headers) = (head.status(), std::mem::take(head.headers_mut()));
    match body {
        Body::Full(bytes) => client.write_response(status, headers, ResponseBody::Whole(bytes))?,
        Body::Omitted(length) => {
            client.write_response(status, headers, ResponseBody::Omitted(length))?;
        }
        Body::Stream(_) => {
            client.write_stream_head(status, headers)?;
            let mut body = pin!(body);
            loop {
                client.flush_steadily().await?;
                let next = tokio::select! {
                    next = poll_fn(|cx| body.as_mut().poll_next(cx)) => next,
                    () = client.reset() => return Err(io::ErrorKind::ConnectionReset.into()),
                    () = stop.reached(StopStage::Ended) => {
                        return Err(io::ErrorKind::ConnectionAborted.into());
                    }
                };
                match next {
                    Some(Ok(chunk)) => client.write_chunk(chunk)?,
                    Some(Err(e)) => match e {},
                    None => break,
                }
            }
            client.write_end()?;
        }
    }
    client.end_request();
    client.flush_steadily().await
}
