//! A gateway's part in the quarantine of requests that terminate every replica that runs them.
//!
//! The gateway reports terminations of replicas to the control group, refuses the requests that the group
//! has quarantined, and reports suspects that are answered completely. While a report is overdue, it
//! also applies a local quarantine, based on the terminations that it detected itself.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashSet};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::command::Command;
use cypressfork_core::fleet::completed::CompletedRequests;
use cypressfork_core::fleet::fingerprint::Fingerprint;
use cypressfork_core::fleet::quarantine::{
    InFlightRequest, Quarantine, QuarantineList, TerminationReport,
};
use cypressfork_core::unit::{Index, Time};
use cypressfork_node::digest::fingerprint;
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::gauge;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use super::routed_request::RoutedRequest;
use super::state::Gateway;
use super::witness::LostRequest;

/// Timeout of one report, after which it is queued again.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay between a failed report and the next.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How long a report may take before the local quarantine applies too. A commit takes tens of
/// milliseconds, and an election about a second.
const REPORT_OVERDUE_AFTER: Duration = Duration::from_millis(200);

/// Maximum number of terminations that wait to be reported. Beyond it the oldest is dropped.
const MAX_PENDING: usize = 64;

/// The termination of a replica that has not been reported yet.
#[derive(Clone)]
struct PendingTermination {
    replica: String,
    at: Time,
    in_flight: Vec<InFlightRequest>,
}

/// A gateway's view of quarantined requests, and its pending reports.
#[derive(Default)]
pub struct QuarantineState {
    /// The list from the control processes.
    list: RefCell<QuarantineList>,
    /// Requests that this gateway recently answered completely.
    completed: RefCell<CompletedRequests>,
    hasher: RandomState,
    /// Brief hashes of all requests in `list`, for a cheap check on each request.
    briefs: RefCell<HashSet<u64>>,
    /// The local quarantine, from the terminations that this gateway detected.
    local: RefCell<Quarantine>,
    /// Position of the next termination in `local`, in place of a log position.
    local_position: Cell<Index>,
    pending: RefCell<Vec<PendingTermination>>,
    /// Completely answered requests to report.
    survived: RefCell<BTreeSet<Fingerprint>>,
    /// Requests with one strike that this gateway has answered completely once since.
    answered_once: RefCell<HashSet<Fingerprint>>,
    /// Start of the report in progress, including its retries.
    report_started: Cell<Option<Instant>>,
    wake: Notify,
}

impl QuarantineState {
    /// Returns the revision of the list from the control processes.
    pub fn revision(&self) -> Index {
        self.list.borrow().revision
    }

    /// Replaces the list by one from a control process, if that is newer.
    pub fn update(&self, list: &QuarantineList) {
        if !self.list.borrow_mut().replace_if_newer(list.clone()) {
            return;
        }
        let all = list.quarantined.iter().chain(&list.suspects).chain(&list.struck);
        *self.briefs.borrow_mut() = all.map(|f| f.brief).collect();
        gauge!(metric::QUARANTINED).set(list.quarantined.len() as f64);
        emit!(
            Event::QuarantineListChanged,
            revision = list.revision,
            quarantined = list.quarantined.len(),
            suspects = list.suspects.len(),
            struck = list.struck.len(),
        );
        self.answered_once.borrow_mut().retain(|f| list.struck.contains(f));
    }

    /// Returns the fingerprint of a request if it is quarantined.
    pub fn find(&self, request: &RoutedRequest) -> Option<Fingerprint> {
        let use_local = self.is_report_overdue();
        if self.briefs.borrow().is_empty() && !use_local {
            return None;
        }
        let identity = request.identity();
        let may_be_listed = self.briefs.borrow().contains(&identity.brief());
        if !may_be_listed && !use_local {
            return None;
        }
        let f = fingerprint(&identity);
        let listed = self.list.borrow().quarantined.contains(&f);
        (listed || (use_local && self.local.borrow().contains(&f))).then_some(f)
    }

    /// Returns whether the group has not confirmed a report in time.
    fn is_report_overdue(&self) -> bool {
        self.report_started.get().is_some_and(|since| since.elapsed() >= REPORT_OVERDUE_AFTER)
    }

    /// Records that a request was answered completely, and reports that if the request is a suspect or
    /// quarantined, or has a strike and was answered completely twice.
    pub fn record_completion(&self, request: &RoutedRequest) {
        let identity = request.identity();
        self.completed.borrow_mut().record(self.hasher.hash_one(identity));
        if self.briefs.borrow().is_empty() {
            return;
        }
        if !self.briefs.borrow().contains(&identity.brief()) {
            return;
        }
        let f = fingerprint(&identity);
        let list = self.list.borrow();
        let answered_twice =
            || list.struck.contains(&f) && !self.answered_once.borrow_mut().insert(f);
        if list.suspects.contains(&f) || list.quarantined.contains(&f) || answered_twice() {
            self.survived.borrow_mut().insert(f);
            self.wake.notify_one();
        }
    }

    /// Returns the per-process hash of a request, for [`QuarantineState::has_completed`].
    pub fn request_hash(&self, request: &RoutedRequest) -> u64 {
        self.hasher.hash_one(request.identity())
    }

    /// Returns whether this gateway recently answered a copy of the request completely.
    pub fn has_completed(&self, hash: u64) -> bool {
        self.completed.borrow().contains(hash)
    }

    /// Records and reports that a replica terminated at `at` with these requests in flight. Requests that
    /// were recently answered completely are left out.
    pub fn record_termination(
        &self,
        gw: &Gateway,
        replica: &str,
        at: Time,
        lost: Vec<LostRequest>,
    ) {
        let to_in_flight = |r: LostRequest| InFlightRequest {
            fingerprint: r.fingerprint,
            account: r.account.unwrap_or_default(),
            age: r.age,
        };
        let suspects = lost.into_iter().filter(|r| !self.has_completed(r.hash));
        let in_flight: Vec<_> = suspects.map(to_in_flight).collect();
        if in_flight.is_empty() {
            return;
        }
        let report = TerminationReport {
            replica: replica.to_owned(),
            ago: gw.now().since(at),
            under_way: in_flight.clone(),
        };
        self.local.borrow_mut().record_terminations(gw.now(), self.local_position.get(), &[report]);
        self.local_position.set(self.local_position.get() + 1);
        let mut pending = self.pending.borrow_mut();
        if pending.len() >= MAX_PENDING {
            let dropped = pending.remove(0);
            emit!(
                Event::TerminationsUnreported,
                replica = dropped.replica,
                requests = dropped.in_flight.len()
            );
        }
        pending.push(PendingTermination { replica: replica.to_owned(), at, in_flight });
        self.wake.notify_one();
    }
}

/// Returns the command that reports these terminations to the control group.
fn report_command(now: Time, all: &[PendingTermination]) -> Command {
    let report = |t: &PendingTermination| TerminationReport {
        replica: t.replica.clone(),
        ago: now.since(t.at),
        under_way: t.in_flight.clone(),
    };
    Command::Ended(all.iter().map(report).collect())
}

/// Reports terminations, and suspects that were answered completely, to the control group until the
/// process ends. Terminations that are recorded while a report is in progress share the next one.
pub async fn report_terminations_forever(gw: Rc<Gateway>) {
    let quarantines = &gw.quarantines;
    loop {
        let survived = std::mem::take(&mut *quarantines.survived.borrow_mut());
        if !survived.is_empty() {
            let command = Command::Survived(survived.into_iter().collect());
            // Not retried: the next copy that is answered completely is reported again.
            if let Err(code) = gw.group.command(&command, REPORT_TIMEOUT).await {
                emit!(Event::TerminationsUnreported, why = code);
            }
        }
        let pending = std::mem::take(&mut *quarantines.pending.borrow_mut());
        if pending.is_empty() {
            if quarantines.survived.borrow().is_empty() {
                quarantines.wake.notified().await;
            }
            continue;
        }
        if quarantines.report_started.get().is_none() {
            quarantines.report_started.set(Some(Instant::now()));
        }
        match gw.group.command_with(|| report_command(gw.now(), &pending), REPORT_TIMEOUT).await {
            Ok(_) => quarantines.report_started.set(None),
            Err(code) => {
                emit!(Event::TerminationsUnreported, replicas = pending.len(), why = code);
                requeue(quarantines, pending);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Queues terminations whose report failed before those recorded meanwhile, and drops the oldest beyond
/// the maximum.
fn requeue(quarantines: &QuarantineState, mut failed: Vec<PendingTermination>) {
    let mut pending = quarantines.pending.borrow_mut();
    failed.append(&mut pending);
    let surplus = failed.len().saturating_sub(MAX_PENDING);
    failed.drain(..surplus);
    *pending = failed;
}
