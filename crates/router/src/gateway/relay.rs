//! Connections to replicas that one gateway opens and relays for another.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::fleet::peer::{PeerReply, PeerRequest};
use cypressfork_core::fleet::relay::{Connect, Connected, may_relay};
use cypressfork_http::client::{OpenError, dial};
use cypressfork_node::link::{self, Credentials, Link, Reader, Writer};
use cypressfork_node::metric;
use cypressfork_node::tunnel::{MAX_PART, Tunnel};
use cypressfork_wire::{Ask, Call, Frame, body};
use metrics::{counter, gauge};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, timeout, timeout_at};

use super::dial::Target;
use super::share::response_frame;
use super::state::Gateway;

/// Longest time without a byte in either direction on a relayed connection.
const MAX_IDLE: Duration = Duration::from_secs(60);

/// Longest time that one part of a relayed stream waits for its receiver to read.
const MAX_BLOCKED: Duration = Duration::from_secs(30);

/// Why another gateway opened no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayError {
    /// It did not respond, does not reach the replica or declined.
    Failed,
    /// The replica's host refused the connection, while the gateway reaches another replica.
    ReplicaRefused,
}

/// Asks the gateway at `relay` to open a connection to a replica and to relay it.
pub async fn open(
    credentials: &Credentials,
    relay: SocketAddr,
    request: Connect,
) -> Result<Tunnel, RelayError> {
    match ask(credentials, relay, request).await {
        Some((link, Connected::Open)) => Ok(Tunnel::new(link)),
        Some((_, Connected::Refused)) => Err(RelayError::ReplicaRefused),
        _ => Err(RelayError::Failed),
    }
}

/// Opens a link to a gateway, sends the request and returns the link with the response.
async fn ask(
    credentials: &Credentials,
    relay: SocketAddr,
    request: Connect,
) -> Option<(Link, Connected)> {
    let stream = dial(None, relay).await.ok()?;
    let mut link = link::connect_on(stream, credentials).await.ok()?;
    let ask = Ask::Share(body::pack(&PeerRequest::Connect(request)));
    link.writer.send(&Frame::Call(Call::new(0, ask, None))).await.ok()?;
    let Frame::Answer(answer) = link.reader.next().await.ok()? else { return None };
    match body::unpack(&answer.body?).ok()? {
        PeerReply::Connected(connected) => Some((link, connected)),
        _ => None,
    }
}

/// Number of connections that this gateway relays for others.
#[derive(Default)]
pub struct RelayedCount(Rc<Cell<u64>>);

impl RelayedCount {
    /// Returns the number.
    pub fn get(&self) -> u64 {
        self.0.get()
    }

    /// Counts one more until the returned value is dropped.
    fn enter(&self) -> RelayedGuard {
        self.0.set(self.0.get() + 1);
        gauge!(metric::RELAYED).set(self.0.get() as f64);
        RelayedGuard(self.0.clone())
    }
}

struct RelayedGuard(Rc<Cell<u64>>);

impl Drop for RelayedGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
        gauge!(metric::RELAYED).set(self.0.get() as f64);
    }
}

/// Serves the request of another gateway for a connection to a replica, on a link that carries nothing else. The
/// connection ends with either side.
pub async fn serve(gw: &Gateway, link: Link, id: i64, request: &Connect) {
    let Link { reader, mut writer, .. } = link;
    let _relayed = gw.relayed.enter();
    let (connected, stream) = match connect(gw, request).await {
        Ok(stream) => (Connected::Open, Some(stream)),
        Err(why) => (why, None),
    };
    counter!(metric::RELAY_REQUESTS, "end" => label(connected)).increment(1);
    let reply = response_frame(id, Ok(PeerReply::Connected(connected)));
    let (Ok(()), Some(stream)) = (writer.send(&reply).await, stream) else { return };
    let (from_replica, to_replica) = stream.into_split();
    // The loser of the race is dropped, which closes its connections.
    tokio::select! {
        () = copy_to_replica(reader, to_replica) => {}
        () = copy_from_replica(from_replica, writer) => {}
    }
}

/// Opens a direct connection to the replica, unless this gateway should not.
async fn connect(gw: &Gateway, request: &Connect) -> Result<TcpStream, Connected> {
    if !may_open(gw, request) {
        return Err(Connected::Declined);
    }
    let Connect { service, replica, address, within } = request;
    if gw.dialer.is_lost(*address) {
        return Err(Connected::Unreachable);
    }
    let until = Instant::now() + Duration::from_millis(within.0);
    let target = Target { service, replica, address: *address };
    match timeout_at(until, gw.dialer.connect(&target)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(OpenError::Refused)) if reaches_another(gw, &target, until).await => {
            Err(Connected::Refused)
        }
        _ => Err(Connected::Unreachable),
    }
}

/// Returns whether this gateway reaches another replica of the service. Otherwise its own paths may be lost, and a
/// refused connection does not show that the replica has ended.
async fn reaches_another(gw: &Gateway, refused: &Target<'_>, until: Instant) -> bool {
    let others = gw.other_replicas(Some(refused.service), refused.address, 1);
    let Some((service, replica, address)) = others.first() else { return false };
    let target = Target { service, replica, address: *address };
    matches!(timeout_at(until, gw.dialer.connect(&target)).await, Ok(Ok(_)))
}

/// Returns whether this gateway may open a connection for another one: it is not stopping, has capacity, and may
/// itself send to the replica, which is registered at this address.
fn may_open(gw: &Gateway, request: &Connect) -> bool {
    let Connect { service, replica, address, .. } = request;
    let active = gw.active_connections.get() as u64;
    // The request itself is counted.
    let relayed = gw.relayed.get() - 1;
    !gw.stop.is_requested()
        && may_relay(active, relayed, gw.settings.max_active_requests)
        && !gw.is_busy()
        && gw.may_send(service, *address, replica)
}

/// Copies what the other gateway sends to the replica, until either ends.
async fn copy_to_replica(mut from: Reader, mut to: OwnedWriteHalf) {
    while let Ok(Ok(part)) = timeout(MAX_IDLE, from.next_part()).await {
        let sent = timeout(MAX_BLOCKED, to.write_all(&part)).await;
        if part.is_empty() || !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}

/// Copies what the replica sends to the other gateway, until either ends. Only a regular end is passed on as such.
async fn copy_from_replica(mut from: OwnedReadHalf, mut to: Writer) {
    let mut buf = vec![0; MAX_PART];
    while let Ok(Ok(n)) = timeout(MAX_IDLE, from.read(&mut buf)).await {
        let sent = timeout(MAX_BLOCKED, to.send_part(&buf[..n])).await;
        if n == 0 || !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}

fn label(connected: Connected) -> &'static str {
    match connected {
        Connected::Open => "opened",
        Connected::Refused => "refused",
        Connected::Unreachable => "unreachable",
        Connected::Declined => "declined",
    }
}
