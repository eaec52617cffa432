//! Opens connections to replicas: directly, or through another gateway if the direct path is lost.

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::time::Duration;

use cypressfork_core::fleet::relay::{Connect, Relays};
use cypressfork_core::route::path::{LostPath, OpenPlan, Paths};
use cypressfork_core::unit::{Millis, Time};
use cypressfork_http::client::{OpenError, ProbeResult, dial};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::link::Credentials;
use cypressfork_node::time::Clock;
use cypressfork_node::tunnel::Tunnel;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::activity::{Activity, Way};
use super::relay::{self, RelayError};
use super::upstream::{ReplicaConnection, ReplicaStream};

/// Maximum number of gateways asked for one connection.
const MAX_RELAYS: usize = 3;

/// Time within which a gateway opens a connection for another one.
const RELAY_CONNECT_TIMEOUT: Millis = Millis(150);

/// Time within which a gateway responds to a request for a connection, with a margin for the link to it.
const RELAY_TIMEOUT: Duration = Duration::from_millis(250);

/// A replica to connect to.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// Name of its service.
    pub service: &'a str,
    /// Its id.
    pub replica: &'a str,
    /// Its address.
    pub address: SocketAddr,
}

/// The gateways that may relay connections.
pub struct RelayLists {
    /// Those in this gateway's data centre, or all in small fleets.
    pub near: Vec<SocketAddr>,
    /// Those in other data centres of its region.
    pub far: Vec<SocketAddr>,
}

/// Opens connections to replicas.
pub struct Dialer {
    clock: Clock,
    credentials: Credentials,
    /// Local address of direct connections.
    source: Option<IpAddr>,
    paths: RefCell<Paths>,
    relays: RefCell<Relays>,
}

impl Dialer {
    /// Returns a dialer whose direct connections have the local address `source`.
    pub fn new(clock: Clock, credentials: Credentials, source: Option<IpAddr>) -> Dialer {
        Dialer { clock, credentials, source, paths: RefCell::default(), relays: RefCell::default() }
    }

    /// Returns whether an idle direct connection to a replica may carry a request.
    pub fn may_reuse(&self, replica: SocketAddr) -> bool {
        self.paths.borrow().may_reuse(self.clock.now(), replica)
    }

    /// Returns whether the direct path to a replica is lost.
    pub fn is_lost(&self, replica: SocketAddr) -> bool {
        self.paths.borrow().is_lost(replica)
    }

    /// Returns the replicas to which the direct path is lost, and for how long it has been.
    pub fn lost(&self) -> Vec<(SocketAddr, Millis)> {
        let now = self.clock.now();
        let since = |(replica, path): (SocketAddr, LostPath)| (replica, now.since(path.since));
        self.paths.borrow().lost().map(since).collect()
    }

    /// Records that a replica of a service sent something on a connection.
    pub fn record_response(&self, service: &str, replica: SocketAddr, c: &ReplicaConnection) {
        if c.transport().relay().is_none() {
            self.paths.borrow_mut().record_response(self.clock.now(), service, replica);
        }
    }

    /// Returns whether to check the path to a replica of a service to which a request was sent `ago`.
    /// [`Dialer::end_check`] must follow.
    pub fn begin_check(&self, service: &str, ago: Duration) -> bool {
        let sent = self.clock.now().before(Millis(ago.as_millis() as u64));
        self.paths.borrow_mut().begin_check(service, sent)
    }

    /// Ends the check of a path.
    pub fn end_check(&self, service: &str) {
        self.paths.borrow_mut().end_check(service);
    }

    /// Records that nothing was received on a direct connection since a request was sent on it `ago`.
    pub fn record_silence(&self, ago: Duration) {
        let since = self.clock.now().before(Millis(ago.as_millis() as u64));
        self.paths.borrow_mut().record_silence(since);
    }

    /// Records that a connection relayed by a gateway broke off or fell silent.
    pub fn record_relay_failed(&self, service: &str, relay: SocketAddr) {
        self.relays.borrow_mut().record_failed(self.clock.now(), service, relay);
    }

    /// Forgets the path to a replica that no longer exists.
    pub fn remove(&self, replica: SocketAddr) {
        self.paths.borrow_mut().remove(replica);
    }

    /// Removes what is too old to matter.
    pub fn remove_expired(&self) {
        self.relays.borrow_mut().remove_expired(self.clock.now());
    }

    /// Opens a connection to a replica. If the direct path fails or is slow, it is opened through another gateway
    /// as well, and the first one to open is used. Nothing is sent on either.
    pub async fn open(
        &self,
        to: &Target<'_>,
        lists: impl FnOnce() -> RelayLists,
        activity: &Activity,
    ) -> Result<ReplicaConnection, OpenError> {
        let begun = self.clock.now();
        let plan = self.paths.borrow_mut().plan(begun, to.address);
        let OpenPlan::Direct { relay_after } = plan else {
            return self.open_relayed(to, &lists(), activity).await;
        };
        let mut direct = pin!(self.open_direct(to, activity));
        let within = Duration::from_millis(relay_after.0);
        let first = match timeout(within, &mut direct).await {
            Ok(Ok(c)) => return Ok(c),
            Ok(Err(error)) => Some(error),
            Err(_) => None,
        };
        let lists = lists();
        let mut relayed = pin!(self.open_relayed(to, &lists, activity));
        let error = match first {
            Some(error) => error,
            None => tokio::select! {
                result = &mut direct => match result {
                    Ok(c) => return Ok(c),
                    Err(error) => error,
                },
                result = &mut relayed => match result {
                    Ok(c) => {
                        self.record_lost(begun, to, &c);
                        return Ok(c);
                    }
                    Err(_) => return direct.await,
                },
            },
        };
        match relayed.await {
            Ok(c) => {
                self.record_lost(begun, to, &c);
                Ok(c)
            }
            Err(_) => Err(error),
        }
    }

    /// Connects to a replica to find out whether it is running. A refused connection alone does not show that it has
    /// ended, because only the path of this gateway may be lost: another gateway has to see the same, or
    /// `is_connected` has to show that this one reaches other replicas.
    pub async fn probe(
        &self,
        to: &Target<'_>,
        lists: &RelayLists,
        activity: &Activity,
        is_connected: impl AsyncFnOnce() -> bool,
    ) -> ProbeResult<ReplicaStream> {
        let begun = self.clock.now();
        let error = match self.open_direct(to, activity).await {
            Ok(c) => return Ok(c).into(),
            Err(error) => error,
        };
        let relayed = self.open_relayed(to, lists, activity).await;
        match &relayed {
            Ok(c) => self.record_lost(begun, to, c),
            Err(OpenError::Refused) => {}
            Err(_) if error == OpenError::Refused => {
                let is_alone = lists.near.is_empty() && lists.far.is_empty();
                if is_alone || is_connected().await {
                    return ProbeResult::Refused;
                }
            }
            Err(_) => {}
        }
        relayed.into()
    }

    async fn open_direct(
        &self,
        to: &Target<'_>,
        activity: &Activity,
    ) -> Result<ReplicaConnection, OpenError> {
        let result = self.connect(to).await;
        activity.record_open(Way::Direct, &result);
        result.map(|stream| ReplicaConnection::new(ReplicaStream::Direct(stream)))
    }

    /// Connects directly to a replica.
    pub async fn connect(&self, to: &Target<'_>) -> Result<TcpStream, OpenError> {
        let stream = dial(self.source, to.address).await?;
        let restored = self.paths.borrow_mut().record_opened(self.clock.now(), to.address);
        if let Some(lost_for) = restored {
            emit!(
                Event::PathRestored,
                replica = to.replica,
                address = to.address,
                lost_ms = lost_for.0,
            );
        }
        Ok(stream)
    }

    /// Opens a connection through the first of several gateways that reaches the replica.
    async fn open_relayed(
        &self,
        to: &Target<'_>,
        lists: &RelayLists,
        activity: &Activity,
    ) -> Result<ReplicaConnection, OpenError> {
        let candidates = self.relays.borrow().candidates(
            self.clock.now(),
            to.service,
            (&lists.near, &lists.far),
            MAX_RELAYS,
            &mut rand::rng(),
        );
        let mut error = OpenError::Failed("no other gateway relays".to_owned());
        for relay in candidates {
            let result = self.ask_relay(relay, to).await;
            activity.record_open(Way::Relayed, &result);
            match result {
                Ok(tunnel) => {
                    self.relays.borrow_mut().record_worked(self.clock.now(), to.service, relay);
                    let stream = ReplicaStream::Relayed { tunnel: Box::new(tunnel), relay };
                    return Ok(ReplicaConnection::new(stream));
                }
                // The replica's process has ended; the relay is fine.
                Err(OpenError::Refused) => return Err(OpenError::Refused),
                Err(e) => {
                    self.relays.borrow_mut().record_failed(self.clock.now(), to.service, relay);
                    error = e;
                }
            }
        }
        Err(error)
    }

    async fn ask_relay(&self, relay: SocketAddr, to: &Target<'_>) -> Result<Tunnel, OpenError> {
        let request = Connect {
            service: to.service.to_owned(),
            replica: to.replica.to_owned(),
            address: to.address,
            within: RELAY_CONNECT_TIMEOUT,
        };
        match timeout(RELAY_TIMEOUT, relay::open(&self.credentials, relay, request)).await {
            Ok(Ok(tunnel)) => Ok(tunnel),
            Ok(Err(RelayError::ReplicaRefused)) => Err(OpenError::Refused),
            Ok(Err(RelayError::Failed)) => {
                Err(OpenError::Failed("the other gateway opened no connection".to_owned()))
            }
            Err(_) => Err(OpenError::TimedOut),
        }
    }

    /// Records that another gateway reached a replica while the direct connection begun at `begun` had not opened.
    fn record_lost(&self, begun: Time, to: &Target<'_>, c: &ReplicaConnection) {
        let now = self.clock.now();
        if self.paths.borrow_mut().record_lost(now, begun, to.address) {
            emit!(
                Event::PathLost,
                replica = to.replica,
                address = to.address,
                waited_ms = now.since(begun).0,
                relay = c.transport().relay().map(|a| a.to_string()).unwrap_or_default(),
            );
        }
    }
}
