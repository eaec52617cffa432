//! Detects which requests were in flight at a replica when its process ended.
//!
//! A lost connection alone is no evidence: the network may have reset it, or the replica may have closed
//! it without a response. `core::fleet::connection_loss` decides from probes of the replica's address and from
//! changes of its registration whether the replica has ended.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::fleet::connection_loss::{ConnectionLosses, EndEvidence, Loss, ReplicaEvent};
use cypressfork_core::fleet::fingerprint::Fingerprint;
use cypressfork_core::unit::Millis;
use cypressfork_http::client::ProbeResult;
use cypressfork_node::digest::fingerprint;
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::counter;
use tokio::time::{Instant, sleep, timeout};

use super::dial::Target;
use super::routed_request::RoutedRequest;
use super::state::Gateway;
use super::upstream::ReplicaStream;

/// Delay until all lost connections of an ended replica have been recorded. They end at the same time, but
/// their tasks run one after the other.
const GATHER_DELAY: Duration = Duration::from_millis(20);

/// Time for which a connection opened by a probe is watched: if it ends, the address is probed again. An
/// exiting process closes its listening socket up to some hundred milliseconds after its connections.
const PROBE_OPEN_FOR: Duration = Duration::from_millis(500);

/// Maximum number of evaluated probes of one address: a replica with too many connections accepts and
/// closes each new one.
const MAX_PROBES: u32 = 5;

/// Minimum interval between probes after responses that ended with their connections, unless a request is
/// suspected or has a part that no replica has survived before.
const END_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of a prompt's parts that a log line names.
const MAX_LOGGED_PARTS: usize = 32;

/// Delay before the second probe, doubled before each further one.
const PROBE_DELAY: Duration = Duration::from_millis(20);

/// A request whose connection to a replica was lost.
pub struct LostRequest {
    /// The request id.
    pub id: String,
    /// Fingerprint that the request shares with its copies.
    pub fingerprint: Fingerprint,
    /// Hash that identifies it among the requests that this process has completed.
    pub hash: u64,
    /// The client account.
    pub account: Option<String>,
    /// The service that it was sent to.
    pub service: String,
    /// Ids of the parts that its prompt may share with other requests.
    pub parts: Vec<u64>,
    /// When it was sent.
    pub sent: Instant,
    /// Time from sending the request to the loss of the connection.
    pub age: Millis,
    /// Time from the start of the response to the loss; `None` if there was no response.
    pub answering: Option<Millis>,
    /// Whether the response may be complete: it has neither a length nor chunks.
    pub may_be_complete: bool,
}

impl LostRequest {
    fn new(request: &RoutedRequest, sent: Instant, answering: Option<Duration>) -> LostRequest {
        let to_millis = |span: Duration| Millis(span.as_millis() as u64);
        LostRequest {
            id: request.inbound.id.clone(),
            fingerprint: fingerprint(&request.identity()),
            hash: request.gw.quarantines.request_hash(request),
            account: request.account.clone(),
            service: request.service.clone(),
            parts: request.shared_parts().to_vec(),
            sent,
            age: to_millis(sent.elapsed()),
            answering: answering.map(to_millis),
            may_be_complete: false,
        }
    }
}

/// Writes the ids of a prompt's parts for log lines.
struct PartIds<'a>(&'a [u64]);

impl fmt::Display for PartIds<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (n, id) in self.0.iter().take(MAX_LOGGED_PARTS).enumerate() {
            let separator = if n > 0 { "," } else { "" };
            write!(f, "{separator}{id:x}")?;
        }
        Ok(())
    }
}

/// Lost connections to replicas, until it is known whether the replicas have ended.
#[derive(Default)]
pub struct LostConnections {
    losses: RefCell<ConnectionLosses<LostRequest>>,
    /// When the address of a replica was last probed because an unsuspected response ended with its connection.
    last_end_probe: Cell<Option<Instant>>,
}

impl LostConnections {
    /// Returns whether the end of an unsuspected response is worth a probe now.
    fn take_end_probe(&self) -> bool {
        let is_due = self.last_end_probe.get().is_none_or(|at| at.elapsed() >= END_PROBE_INTERVAL);
        if is_due {
            self.last_end_probe.set(Some(Instant::now()));
        }
        is_due
    }
}

/// Records that the response to a request ended with its connection, which shows neither that it is complete
/// nor that it is not. Probes the replica's address if that matters; otherwise a later response of the replica
/// or a change of its registration decides.
pub fn record_response_end(
    request: &RoutedRequest,
    address: SocketAddr,
    replica: &str,
    sent: Instant,
    answering: Option<Duration>,
) {
    let gw = &request.gw;
    let probes = gw.quarantines.is_suspect(request)
        || gw.quarantines.has_new_part(request)
        || gw.lost_connections.take_end_probe();
    let lost = LostRequest { may_be_complete: true, ..LostRequest::new(request, sent, answering) };
    let mut losses = gw.lost_connections.losses.borrow_mut();
    count_alive(losses.expire(gw.now()));
    losses.record_response_end(gw.now(), address, replica, lost, probes);
    if probes {
        let service = request.service.clone();
        actix_rt::spawn(probe(gw.clone(), service, address, replica.to_owned()));
    }
}

/// Records a response of a replica to a request that was sent at `sent`: it has not ended before.
pub fn record_response(gw: &Gateway, address: SocketAddr, replica: &str, sent: Instant) {
    let losses = &gw.lost_connections.losses;
    if losses.borrow().is_empty() {
        return;
    }
    let sent = gw.now().before(Millis(sent.elapsed().as_millis() as u64));
    let alive = losses.borrow_mut().confirm_responses(address, replica, sent);
    record_alive(gw, alive);
}

/// Records that the connection to `replica` on which a request was sent at `sent` was lost, a time
/// `answering` after its response began. Starts a probe of its address unless one is running.
pub fn record_connection_loss(
    request: &RoutedRequest,
    address: SocketAddr,
    replica: &str,
    sent: Instant,
    answering: Option<Duration>,
) {
    let gw = &request.gw;
    let lost = LostRequest::new(request, sent, answering);
    let mut losses = gw.lost_connections.losses.borrow_mut();
    count_alive(losses.expire(gw.now()));
    if losses.record_loss(gw.now(), address, replica, lost) {
        let service = request.service.clone();
        actix_rt::spawn(probe(gw.clone(), service, address, replica.to_owned()));
    }
}

/// Probes a replica's address to find out whether the replica has ended.
async fn probe(gw: Rc<Gateway>, service: String, address: SocketAddr, replica: String) {
    let losses = &gw.lost_connections.losses;
    let target = Target { service: &service, replica: &replica, address };
    let mut result = probe_once(&gw, &target).await;
    sleep(GATHER_DELAY).await;
    if gw.connections.has_open(Instant::now(), address) {
        let alive = losses.borrow_mut().confirm_alive(address, &replica);
        return record_alive(&gw, alive);
    }
    for n in 0..MAX_PROBES {
        match result {
            ProbeResult::Refused => {
                let lost = losses.borrow_mut().confirm_ended(address, &replica);
                return record_ended(&gw, EndEvidence::Refused, lost);
            }
            ProbeResult::Listening(mut c) => {
                if timeout(PROBE_OPEN_FOR, c.wait_closed()).await.is_err() {
                    break;
                }
            }
            ProbeResult::Unknown(_) => {}
        }
        sleep(PROBE_DELAY * 2u32.pow(n)).await;
        if !losses.borrow().is_open(address, &replica) {
            return;
        }
        result = probe_once(&gw, &target).await;
    }
    losses.borrow_mut().end_probe(address, &replica);
}

/// Maximum number of other replicas to which this gateway connects to find out whether its network works.
const MAX_OTHERS: usize = 3;

async fn probe_once(gw: &Gateway, target: &Target<'_>) -> ProbeResult<ReplicaStream> {
    let is_connected = async || {
        for (service, replica, address) in gw.other_replicas(None, target.address, MAX_OTHERS) {
            let other = Target { service: &service, replica: &replica, address };
            if gw.dialer.connect(&other).await.is_ok() {
                return true;
            }
        }
        false
    };
    gw.dialer.probe(target, &gw.peers.relay_lists(), &gw.activity, is_connected).await
}

/// Records a change of a replica, which may show that one whose connections were lost has ended.
pub fn record_replica_event(gw: &Gateway, event: ReplicaEvent<'_>) {
    let ended = gw.lost_connections.losses.borrow_mut().apply(event);
    if let Some((evidence, losses)) = ended {
        record_ended(gw, evidence, losses);
    }
}

/// Counts the lost connections of a replica that is alive, and records the responses that ended with theirs as
/// complete.
fn record_alive(gw: &Gateway, losses: Vec<Loss<LostRequest>>) {
    let requests = losses.iter().flat_map(|l| &l.requests);
    let (complete, lost): (Vec<_>, Vec<_>) = requests.partition(|r| r.may_be_complete);
    count_alive(lost.len());
    complete.into_iter().for_each(|r| gw.quarantines.record_late_completion(gw, r));
}

/// Counts lost connections of replicas that are alive.
fn count_alive(requests: usize) {
    counter!(metric::LOST_CONNECTIONS, "replica" => "lives").increment(requests as u64);
}

/// Counts and logs the requests that were in flight at an ended replica, and reports them to the
/// quarantine.
fn record_ended(gw: &Gateway, evidence: EndEvidence, losses: Vec<Loss<LostRequest>>) {
    for l in losses {
        counter!(metric::LOST_CONNECTIONS, "replica" => "ended").increment(l.requests.len() as u64);
        l.requests.iter().for_each(|r| log_ended(gw, evidence, &l, r));
        gw.quarantines.record_termination(gw, &l.replica, l.since, l.requests);
    }
}

fn log_ended(gw: &Gateway, evidence: EndEvidence, l: &Loss<LostRequest>, r: &LostRequest) {
    emit!(
        Event::ReplicaEnded,
        id = r.id,
        fingerprint = r.fingerprint,
        account = r.account.as_deref().unwrap_or_default(),
        parts = PartIds(&r.parts),
        replica = l.replica,
        address = l.address,
        age_ms = r.age.0,
        ago_ms = gw.now().since(l.since).0,
        sound = gw.quarantines.has_completed(r.hash),
        shown = evidence.as_str(),
    );
}
