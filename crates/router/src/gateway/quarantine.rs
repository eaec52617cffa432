//! A gateway's share in the quarantine of requests, and of parts of prompts, that terminate every replica that
//! runs them.
//!
//! The gateway reports terminations of replicas to the control group, refuses the requests that the group
//! has quarantined, and reports suspects that replicas survive. While a report is overdue, it also applies a
//! local quarantine, based on the terminations that it detected itself.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::command::Command;
use cypressfork_core::fleet::completed::CompletedRequests;
use cypressfork_core::fleet::fingerprint::{Fingerprint, PartScope};
use cypressfork_core::fleet::quarantine::{
    InFlightPart, InFlightRequest, MAX_PARTS, Quarantine, QuarantineList, TerminationReport,
};
use cypressfork_core::unit::{Index, Millis, Time};
use cypressfork_node::digest::fingerprint;
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::gauge;
use rand::Rng;
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

/// How long after a complete response a service counts as working.
const SERVICE_WORKS_FOR: Millis = Millis::seconds(60);

/// Delay per gateway of the fleet over which reports on survived suspects are spread: the first report clears a
/// suspect, and the others are not sent.
const SURVIVAL_SPREAD: Duration = Duration::from_millis(1);

/// Maximum number of terminations that wait to be reported. Beyond it the oldest is dropped.
const MAX_PENDING: usize = 64;

/// The termination of a replica that has not been reported yet.
#[derive(Clone)]
struct PendingTermination {
    replica: String,
    service: String,
    last_completion: Option<Time>,
    at: Time,
    in_flight: Vec<InFlightRequest>,
}

impl PendingTermination {
    fn report(&self, now: Time) -> TerminationReport {
        TerminationReport {
            replica: self.replica.clone(),
            service: self.service.clone(),
            completed_ago: self.last_completion.map(|at| now.since(at)),
            ago: now.since(self.at),
            under_way: self.in_flight.clone(),
        }
    }
}

/// A request or part in the list of suspects.
#[derive(Clone, Copy)]
struct ListedSuspect {
    /// When this gateway first had it in its list.
    since: Instant,
    /// Whether this gateway has reported that a replica survived it.
    is_reported: bool,
}

/// A gateway's view of quarantined requests, and its pending reports.
#[derive(Default)]
pub struct QuarantineState {
    /// The list from the control processes.
    list: RefCell<QuarantineList>,
    /// Requests that this gateway recently answered completely.
    completed: RefCell<CompletedRequests>,
    hasher: RandomState,
    /// Brief hashes of all requests and scopes of parts in `list`, for a cheap check on each request.
    briefs: RefCell<HashSet<u64>>,
    /// The quarantined requests and parts in `list`.
    quarantined: RefCell<HashSet<Fingerprint>>,
    /// The suspects in `list`, quarantined ones included.
    suspects: RefCell<HashMap<Fingerprint, ListedSuspect>>,
    /// Parts of the prompts of requests that this gateway recently answered completely.
    completed_parts: RefCell<CompletedRequests>,
    /// When this gateway last answered a request to each service completely.
    services: RefCell<HashMap<String, Instant>>,
    /// The local quarantine, from the terminations that this gateway detected.
    local: RefCell<Quarantine>,
    /// Position of the next termination in `local`, in place of a log position.
    local_position: Cell<Index>,
    pending: RefCell<Vec<PendingTermination>>,
    /// Completely answered requests, and parts that replicas survived, to report.
    survived: RefCell<BTreeSet<Fingerprint>>,
    survived_wake: Notify,
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
        *self.quarantined.borrow_mut() = list.quarantined.iter().copied().collect();
        self.update_suspects(list);
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

    /// Replaces the suspects, and keeps since when the known ones are listed. Quarantined ones stay suspects: a
    /// request that was sent before the quarantine may survive and end it.
    fn update_suspects(&self, list: &QuarantineList) {
        let mut suspects = self.suspects.borrow_mut();
        let new = ListedSuspect { since: Instant::now(), is_reported: false };
        let listed = list.suspects.iter().chain(&list.quarantined);
        *suspects = listed.map(|f| (*f, suspects.get(f).copied().unwrap_or(new))).collect();
    }

    /// Returns the fingerprint of a request, or of a part of its prompt, if it is quarantined.
    pub fn find(&self, request: &RoutedRequest) -> Option<Fingerprint> {
        let use_local = self.is_report_overdue();
        if self.briefs.borrow().is_empty() && !use_local {
            return None;
        }
        let is_quarantined = |f: &Fingerprint| {
            self.quarantined.borrow().contains(f) || (use_local && self.local.borrow().contains(f))
        };
        let identity = request.identity();
        if use_local || self.briefs.borrow().contains(&identity.brief()) {
            let f = fingerprint(&identity);
            if is_quarantined(&f) {
                return Some(f);
            }
        }
        self.listed_parts(request, use_local).find(is_quarantined)
    }

    /// Returns the fingerprints of the parts of a request's prompt that may be listed; of all if `all` is set.
    fn listed_parts<'a>(
        &self,
        request: &'a RoutedRequest,
        all: bool,
    ) -> impl Iterator<Item = Fingerprint> + use<'a> {
        let brief = request.part_scope().brief();
        let may_be_listed = all || self.briefs.borrow().contains(&brief);
        let ids = if may_be_listed { request.shared_parts() } else { &[] };
        ids.iter().map(move |digest| Fingerprint { brief, digest: *digest })
    }

    /// Returns whether replicas terminated several times with a part of the request's prompt in flight, and none
    /// has survived it since.
    pub fn is_suspect(&self, request: &RoutedRequest) -> bool {
        let local = self.local.borrow();
        let mut parts = self.listed_parts(request, !local.has_no_suspects());
        parts.any(|f| self.suspects.borrow().contains_key(&f) || local.has_several_strikes(&f))
    }

    /// Returns whether the prompt has a part that no replica has lately survived, as far as this gateway knows.
    pub fn has_new_part(&self, request: &RoutedRequest) -> bool {
        let (brief, completed) = (request.part_scope().brief(), self.completed_parts.borrow());
        let is_known =
            |id: &u64| completed.contains(self.hasher.hash_one(Fingerprint { brief, digest: *id }));
        !request.shared_parts().iter().take(MAX_PARTS).all(is_known)
    }

    /// Returns whether the group has not confirmed a report in time.
    fn is_report_overdue(&self) -> bool {
        self.report_started.get().is_some_and(|since| since.elapsed() >= REPORT_OVERDUE_AFTER)
    }

    /// Records that a request sent at `sent` was answered completely, and reports that if the request is a
    /// suspect or quarantined, or has a strike and was answered completely twice.
    pub fn record_completion(&self, request: &RoutedRequest, sent: Instant) {
        let identity = request.identity();
        self.completed.borrow_mut().record(self.hasher.hash_one(identity));
        self.record_working(&request.service);
        if self.briefs.borrow().contains(&identity.brief()) {
            self.report_completion(fingerprint(&identity));
        }
        self.record_survival(request, sent);
    }

    /// Records that a request was answered completely, which was not known when its response ended.
    pub fn record_late_completion(&self, gw: &Gateway, r: &LostRequest) {
        let scope = PartScope { account: r.account.as_deref(), service: &r.service };
        self.completed.borrow_mut().record(r.hash);
        self.record_working(&r.service);
        self.record_completed_parts(&scope, &r.parts);
        self.report_completion(r.fingerprint);
        self.record_survived_parts(gw, &scope, &r.parts, r.sent);
    }

    fn record_working(&self, service: &str) {
        let mut services = self.services.borrow_mut();
        match services.get_mut(service) {
            Some(at) => *at = Instant::now(),
            None => {
                services.insert(service.to_owned(), Instant::now());
            }
        }
    }

    fn record_completed_parts(&self, scope: &PartScope, parts: &[u64]) {
        let (brief, mut completed) = (scope.brief(), self.completed_parts.borrow_mut());
        for digest in parts.iter().take(MAX_PARTS) {
            completed.record(self.hasher.hash_one(Fingerprint { brief, digest: *digest }));
        }
    }

    fn report_completion(&self, f: Fingerprint) {
        let list = self.list.borrow();
        let answered_twice =
            || list.struck.contains(&f) && !self.answered_once.borrow_mut().insert(f);
        if self.suspects.borrow().contains_key(&f) || answered_twice() {
            self.survived.borrow_mut().insert(f);
            self.survived_wake.notify_one();
        }
    }

    /// Records that a replica survives a request that was sent at `sent`, and reports that if a part of its
    /// prompt was a suspect by then.
    pub fn record_survival(&self, request: &RoutedRequest, sent: Instant) {
        self.record_completed_parts(&request.part_scope(), request.shared_parts());
        if self.suspects.borrow().is_empty() && self.local.borrow().has_no_suspects() {
            return;
        }
        let (scope, parts) = (request.part_scope(), request.shared_parts());
        self.record_survived_parts(&request.gw, &scope, parts, sent);
    }

    fn record_survived_parts(&self, gw: &Gateway, scope: &PartScope, parts: &[u64], sent: Instant) {
        let brief = scope.brief();
        let parts = || parts.iter().map(|digest| Fingerprint { brief, digest: *digest });
        for f in parts() {
            let mut suspects = self.suspects.borrow_mut();
            let Some(s) = suspects.get_mut(&f).filter(|s| !s.is_reported && s.since <= sent) else {
                continue;
            };
            s.is_reported = true;
            self.survived.borrow_mut().insert(f);
            self.survived_wake.notify_one();
        }
        let sent = gw.now().before(Millis(sent.elapsed().as_millis() as u64));
        let mut local = self.local.borrow_mut();
        let survived: Vec<_> = parts().filter(|f| local.is_suspect_since(f, sent)).collect();
        if !survived.is_empty() {
            local.record_completions(gw.now(), self.local_position.get(), &survived);
        }
    }

    /// Returns when this gateway last received a complete response from a service, unless that is long ago.
    fn last_completion(&self, gw: &Gateway, service: &str) -> Option<Time> {
        let ago = self.services.borrow().get(service)?.elapsed();
        let ago = Millis(ago.as_millis() as u64);
        (ago < SERVICE_WORKS_FOR).then(|| gw.now().before(ago))
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
    /// were recently answered completely are left out, unless they have parts that were not.
    pub fn record_termination(
        &self,
        gw: &Gateway,
        replica: &str,
        at: Time,
        lost: Vec<LostRequest>,
    ) {
        let Some(service) = lost.first().map(|r| r.service.clone()) else { return };
        let in_flight = lost.into_iter().map(|r| self.to_in_flight(r));
        let is_suspect = |r: &InFlightRequest| !r.completed || r.parts.iter().any(|p| !p.completed);
        let in_flight: Vec<_> = in_flight.filter(is_suspect).collect();
        if in_flight.is_empty() {
            return;
        }
        let last_completion = self.last_completion(gw, &service);
        let replica = replica.to_owned();
        let termination = PendingTermination { replica, service, last_completion, at, in_flight };
        let report = termination.report(gw.now());
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
        pending.push(termination);
        self.wake.notify_one();
    }

    fn to_in_flight(&self, r: LostRequest) -> InFlightRequest {
        let scope = PartScope { account: r.account.as_deref(), service: &r.service };
        let (brief, completed) = (scope.brief(), self.completed_parts.borrow());
        let to_part = |id: u64| {
            let f = Fingerprint { brief, digest: id };
            InFlightPart { id, completed: completed.contains(self.hasher.hash_one(f)) }
        };
        let mut parts: Vec<_> = r.parts.iter().copied().map(to_part).collect();
        // Parts that were never answered are more likely the cause.
        parts.sort_by_key(|p| p.completed);
        parts.truncate(MAX_PARTS);
        InFlightRequest {
            fingerprint: r.fingerprint,
            account: r.account.unwrap_or_default(),
            age: r.age,
            completed: self.has_completed(r.hash),
            answering: r.answering,
            parts,
        }
    }

    /// Removes and returns the survived requests and parts that are still listed.
    fn take_survived(&self) -> Vec<Fingerprint> {
        let survived = std::mem::take(&mut *self.survived.borrow_mut());
        let list = self.list.borrow();
        let is_listed =
            |f: &Fingerprint| self.suspects.borrow().contains_key(f) || list.struck.contains(f);
        survived.into_iter().filter(is_listed).collect()
    }

    /// Has the next survival of these suspects reported again.
    fn mark_unreported(&self, all: &[Fingerprint]) {
        let mut suspects = self.suspects.borrow_mut();
        for f in all {
            if let Some(s) = suspects.get_mut(f) {
                s.is_reported = false;
            }
        }
    }
}

/// Reports suspects that replicas survived to the control group until the process ends.
pub async fn report_survivals_forever(gw: Rc<Gateway>) {
    let quarantines = &gw.quarantines;
    loop {
        quarantines.survived_wake.notified().await;
        let spread = SURVIVAL_SPREAD * gw.router_count.get();
        sleep(spread.mul_f64(rand::rng().random())).await;
        let survived = quarantines.take_survived();
        if survived.is_empty() {
            continue;
        }
        if let Err(code) =
            gw.group.command(&Command::Survived(survived.clone()), REPORT_TIMEOUT).await
        {
            emit!(Event::TerminationsUnreported, why = code);
            quarantines.mark_unreported(&survived);
        }
    }
}

/// Reports terminations to the control group until the process ends. Terminations that are recorded while a
/// report is in progress share the next one.
pub async fn report_terminations_forever(gw: Rc<Gateway>) {
    let quarantines = &gw.quarantines;
    loop {
        let pending = std::mem::take(&mut *quarantines.pending.borrow_mut());
        if pending.is_empty() {
            quarantines.wake.notified().await;
            continue;
        }
        if quarantines.report_started.get().is_none() {
            quarantines.report_started.set(Some(Instant::now()));
        }
        let command = || Command::Ended(pending.iter().map(|t| t.report(gw.now())).collect());
        match gw.group.command_with(command, REPORT_TIMEOUT).await {
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
