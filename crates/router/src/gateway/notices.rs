//! Signals that replicas send in the headers of their responses: a rate limit, a backoff
//! (`Retry-After`), and that they are about to leave.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cypressfork_core::fleet::limit::LimitHeader;
use cypressfork_core::fleet::registry::{Leaving, ReplicaStatus};
use cypressfork_core::route::backoff;
use cypressfork_core::unit::Millis;
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::counter;
use rand::Rng;
use tokio::time::Instant;

use super::dialect::ReplicaResponse;
use super::routed_request::RoutedRequest;
use super::state::Gateway;

/// Maximum number of replicas remembered as logged for an invalid backoff.
const MAX_LOGGED: usize = 256;

/// Maximum number of leaving replicas in one watch request.
const MAX_LEAVING_REPORTS: usize = 64;

/// The kind of a send, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    /// The first send of the request.
    First,
    /// A retry at another replica.
    Retry,
    /// A resend to the same replica on a new connection.
    Resend,
}

impl SendKind {
    /// Returns the value of the `try` label in metrics.
    fn label(self) -> &'static str {
        match self {
            SendKind::First => "first",
            SendKind::Retry => "further",
            SendKind::Resend => "again",
        }
    }
}

/// The replica incarnation that a request was sent to.
pub struct SendTarget<'a> {
    /// The replica's id.
    pub replica: &'a str,
    /// The replica's address.
    pub address: SocketAddr,
    /// Start time of the incarnation, or 0 if not reported.
    pub born: u64,
    /// When the request was sent.
    pub sent: Instant,
    /// The gateway that relays the connection; none if it is direct.
    pub relay: Option<SocketAddr>,
}

/// A replica that is leaving.
struct LeavingReplica {
    /// Start time of the incarnation, or 0 if not reported.
    born: u64,
    /// Whether to report it to the control processes: the last status that one of them sent was ready.
    needs_report: bool,
}

/// State from the signals of replicas.
#[derive(Default)]
pub struct ReplicaSignals {
    /// Replicas that are leaving.
    leaving: RefCell<BTreeMap<String, LeavingReplica>>,
    /// Replicas whose invalid backoff has been logged.
    logged: RefCell<BTreeSet<String>>,
}

impl ReplicaSignals {
    /// Records the signals in a response to this request. Ignores responses of another replica or of an
    /// earlier incarnation.
    pub fn record_response(
        &self,
        request: &RoutedRequest,
        to: &SendTarget,
        response: &ReplicaResponse,
    ) {
        let gw = &request.gw;
        if !is_current(gw, to, response) {
            return;
        }
        self.record_backoff(request, to, response);
        if let Some(max) = response.max_rejections.filter(|_| response.not_run) {
            record_rejection(request, to, max);
        }
        // A response without a request id may be older than this request, so it can announce a limit
        // but not lift one.
        if response.id.is_some() || response.limit != LimitHeader::Absent {
            gw.limits.record_response(gw, to.replica, &request.inbound.id, to.sent, response.limit);
        }
        if response.draining {
            self.record_leaving(request, to);
        }
    }

    /// Records the backoff that a response of the replica requests, whichever request it answers.
    pub fn record_backoff(
        &self,
        request: &RoutedRequest,
        to: &SendTarget,
        response: &ReplicaResponse,
    ) {
        if !is_current(&request.gw, to, response) {
            return;
        }
        match response.retry_after {
            backoff::RetryAfter::Absent => {}
            backoff::RetryAfter::Invalid => self.log_invalid(to.replica, &request.inbound.id),
            backoff::RetryAfter::Delay(span) => {
                let outstanding = request.gw.back_off(&request.service, to.address, span);
                // The replica asks the machine that its connection comes from.
                if let Some(relay) = to.relay {
                    let gw = &request.gw;
                    gw.peers.report_backoff(gw, relay, &request.service, to.address, span);
                }
                counter!(metric::BACKOFFS, "service" => request.service.clone()).increment(1);
                emit!(
                    Event::BackoffStarted,
                    replica = to.replica,
                    span_ms = span.0,
                    under_way = outstanding,
                    id = request.inbound.id,
                );
            }
        }
    }

    /// Marks a replica as leaving for the rest of its incarnation, whatever its heartbeats report, and
    /// reports it to the control processes, which inform the other gateways.
    fn record_leaving(&self, request: &RoutedRequest, to: &SendTarget) {
        if !request.gw.mark_draining(to.replica) {
            return;
        }
        emit!(Event::DrainingReported, replica = to.replica, id = request.inbound.id);
        self.set_leaving(to.replica, to.born, true);
        request.gw.poll_sources_now();
    }

    fn set_leaving(&self, replica: &str, born: u64, needs_report: bool) {
        self.leaving.borrow_mut().insert(replica.to_owned(), LeavingReplica { born, needs_report });
    }

    /// Records the status that a control process sent for a leaving replica, which is reported until that
    /// status is draining or later.
    pub fn record_status(&self, replica: &str, born: u64, status: ReplicaStatus) {
        self.set_leaving(replica, born, status < ReplicaStatus::Draining);
    }

    /// Returns the leaving replicas to report to control processes.
    pub fn pending_reports(&self) -> Vec<Leaving> {
        let all = self.leaving.borrow();
        let due = all.iter().filter(|(_, l)| l.needs_report).take(MAX_LEAVING_REPORTS);
        due.map(|(id, l)| Leaving { replica: id.clone(), born: l.born }).collect()
    }

    /// Logs an invalid backoff, once per replica.
    fn log_invalid(&self, replica: &str, id: &str) {
        let mut logged = self.logged.borrow_mut();
        if logged.len() >= MAX_LOGGED {
            logged.clear();
        }
        if logged.insert(replica.to_owned()) {
            emit!(Event::RetryAfterInvalid, replica = replica, id = id);
        }
    }

    /// Counts a send. Logs all but the first of a request, and counts those to a replica that is backing off
    /// or leaving once more.
    pub fn record_send(&self, request: &RoutedRequest, to: &SendTarget, kind: SendKind) {
        let (gw, service) = (&request.gw, &request.service);
        counter!(metric::SENDS, "service" => service.clone(), "try" => kind.label()).increment(1);
        if kind != SendKind::First {
            emit!(
                Event::RetrySent,
                id = request.inbound.id,
                service = service,
                replica = to.replica,
                kind = kind.label(),
                left = gw.retries_left(service),
            );
        }
        if request.gw.is_backing_off(&request.service, to.address) {
            counter!(metric::SENT_IN_BACKOFF, "try" => kind.label()).increment(1);
        }
        if self.leaving.borrow().get(to.replica).is_some_and(|l| l.born == to.born) {
            counter!(metric::SENT_TO_LEAVING, "try" => kind.label()).increment(1);
        }
    }

    /// Removes leaving replicas that have left or restarted.
    pub fn remove_expired(&self, gw: &Gateway) {
        self.leaving.borrow_mut().retain(|replica, l| gw.is_running(replica, l.born));
    }
}

/// Backs off from a replica that rejected a request and fails if it rejects more than `max` a second, and asks the
/// other gateways to do the same before they are rejected.
fn record_rejection(request: &RoutedRequest, to: &SendTarget, max: u32) {
    let (gw, service) = (&request.gw, &request.service);
    let routers = u64::from(gw.router_count.get());
    let (span, others) = backoff::rejection_backoff(routers, max);
    let mut rng = rand::rng();
    // The spans differ, so that the gateways do not return together.
    let span = Millis(rng.random_range(span.0..=span.0 * 2));
    gw.back_off(service, to.address, span);
    gw.peers.share_rejection(gw, service, to.address, || {
        Millis(rng.random_range(others.0..=others.0 * 2))
    });
    counter!(metric::BACKOFFS, "service" => service.clone()).increment(1);
    emit!(
        Event::RejectionsLimited,
        replica = to.replica,
        max_per_second = max,
        span_ms = span.0,
        id = request.inbound.id,
    );
}

/// Returns whether a response is from the replica that the request was sent to, and that replica is still
/// in the same incarnation.
fn is_current(gw: &Gateway, to: &SendTarget, response: &ReplicaResponse) -> bool {
    !response.wrong_replica && gw.born(to.replica) == to.born
}
