//! Callers' connections: one request after the other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ServiceConfig;
use cypressfork_core::code::Code;
use cypressfork_core::fleet::document::Limits;
use cypressfork_core::unit::Millis;
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::counter;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use super::answer::send_refusal;
use super::client::{Client, NextRequest};
use super::dialect::Dialect;
use super::request;
use super::state::Gateway;
use crate::reply::Refusal;

/// How long to wait when no connection can be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long no connection is taken while the link is full. A caller that is refused one at once goes
/// elsewhere; one whose request is refused has sent it, and comes back. Those that move show within half
/// a second whether there is room again.
const CLOSED_FOR: Duration = Duration::from_millis(500);

/// How long a body may take to arrive.
const BODY_WITHIN: Duration = Duration::from_secs(10);

/// How long the end of a connection waits for the caller to close it too.
const LINGER: Duration = Duration::from_millis(500);

/// Bounds on callers until a document tells them.
const LIMITS: Limits = Limits {
    head: 16 * 1024,
    body: 4 * 1024 * 1024,
    head_within: Millis::seconds(3),
    idle: Millis::seconds(15),
};

/// Accepts connections until the planned stop closes the door.
pub async fn accept<D: Dialect>(
    gw: Rc<Gateway>,
    mut listener: TcpListener,
    mut closed: watch::Receiver<bool>,
) {
    let config = ServiceConfig::default();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closed.wait_for(|c| *c) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let (gw, config, closed) = (gw.clone(), config.clone(), closed.clone());
                actix_rt::spawn(async move { serve::<D>(gw, stream, &config, closed).await });
            }
            // Out of descriptors, most likely: those in use come free again.
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
        if !gw.is_full() {
            continue;
        }
        drop(listener);
        counter!(metric::DOOR_CLOSED).increment(1);
        emit!(
            Event::LinkFull,
            used = gw.load_monitor.borrow().link_utilisation(),
            active = gw.active_connections.get()
        );
        let reopened = tokio::select! {
            reopened = reopen(gw.settings.listen) => reopened,
            _ = closed.wait_for(|c| *c) => return,
        };
        listener = reopened;
    }
}

/// Listens again after a while.
async fn reopen(address: SocketAddr) -> TcpListener {
    loop {
        sleep(CLOSED_FOR).await;
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(e) => emit!(Event::ListenFailed, address = address, why = e),
        }
    }
}

/// Counts a request as under way while it lives.
struct Active(Rc<Gateway>);

impl Active {
    fn new(gw: &Rc<Gateway>) -> Active {
        gw.active_connections.set(gw.active_connections.get() + 1);
        Active(gw.clone())
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active_connections.set(self.0.active_connections.get() - 1);
    }
}

async fn serve<D: Dialect>(
    gw: Rc<Gateway>,
    stream: TcpStream,
    config: &ServiceConfig,
    mut closed: watch::Receiver<bool>,
) {
    let mut client = Client::new(stream, config, gw.bytes_served.clone());
    loop {
        let limits = gw.documents.in_force().map_or(LIMITS, |r| *r.limits());
        let stop = async {
            // A door that is gone is closed.
            let _ = closed.wait_for(|c| *c).await;
        };
        let req = match client.next_request(&limits, stop).await {
            NextRequest::Request(req) => req,
            NextRequest::Closed => break,
            NextRequest::Bad(code) => {
                bad::<D>(&mut client, code).await;
                break;
            }
        };
        let _active = Active::new(&gw);
        let body = match client.read_body(limits.body, BODY_WITHIN).await {
            Ok(body) => body,
            Err(code) => {
                bad::<D>(&mut client, code).await;
                break;
            }
        };
        if gw.stopping.get() {
            client.close_after_response();
        }
        request::serve::<D>(&gw, &mut client, &req, body).await;
        if !client.is_open() {
            break;
        }
    }
    client.close(LINGER).await;
}

async fn bad<D: Dialect>(client: &mut Client, code: Code) {
    client.close_after_response();
    // The connection ends, whether this arrives or not.
    let _ = send_refusal::<D>(client, "", &Refusal::from(code)).await;
}
