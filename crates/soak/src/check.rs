//! Checks of the promises of the system against the history of one run.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::check_stops::{
    planned_stops_cut_no_requests, planned_stops_take_their_time, stop_description,
};
use crate::history::{
    AnnouncedLimit, Arrival, Change, Disruption, History, Kind, Outcome, ReplicaCutPeriod,
    ReplicaLife, Request, Timestamp,
};

/// The limits within which the promises hold.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Prepaid tokens, by account.
    pub prepaid: BTreeMap<&'static str, u64>,
    /// Maximum time until an acknowledged change is in force at every gateway, in milliseconds.
    pub propagation_ms: u64,
    /// Time without disruptions, in milliseconds, before checks that assume an undisturbed fleet apply.
    pub undisturbed_ms: u64,
    /// Maximum time from the announcement that a replica drains until it gets no new requests, in milliseconds.
    pub drain_ms: u64,
    /// Maximum ratio of retries to requests of a service in a window.
    pub retry_ratio: f64,
    /// Retries allowed in a window in addition to the ratio.
    pub retry_extra: u64,
    /// The window for counting retries, in milliseconds.
    pub retry_window_ms: u64,
    /// Maximum duration of a planned stop, in milliseconds.
    pub stop_ms: u64,
    /// Time for which a stopping gateway serves new requests, in milliseconds.
    pub stop_serve_ms: u64,
    /// Time from the request for a stop until a gateway may cut responses whose replicas are still at work, in
    /// milliseconds.
    pub stop_cut_ms: u64,
    /// Time that callers allow for a response, in milliseconds.
    pub deadline_ms: u64,
    /// Time for which a gateway that closes an idle connection, or does not accept one, keeps it open at most, in
    /// milliseconds. A request on a connection that stays open for longer was received.
    pub received_ms: u64,
    /// Maximum time after the end of all faults until each gateway answers again, in milliseconds.
    pub recovery_ms: u64,
    /// Maximum time that a caller waits for an answer, in milliseconds.
    pub caller_timeout_ms: u64,
    /// Maximum time from the third crash that a poison request causes until every gateway refuses it, in
    /// milliseconds.
    pub quarantine_ms: u64,
    /// Maximum number of times that replicas may run a poison request that is due to be quarantined.
    pub max_late_poison_runs: usize,
    /// Time after a replica first announces a rate limit until the limit is checked, in milliseconds.
    pub limit_counts_after_ms: u64,
    /// The window for counting requests to a rate-limited replica, in milliseconds.
    pub limit_window_ms: u64,
    /// Factor applied to the number of requests that the rate limit allows in that window.
    pub limit_factor: f64,
    /// Number of requests allowed in that window in addition to those that the rate limit allows.
    pub limit_slack: f64,
    /// Time after a gateway forwards an answer with a rate limit until its requests are counted, in
    /// milliseconds.
    pub limit_grace_ms: u64,
    /// Time after a `Retry-After` until requests of the gateway that got it are counted, in milliseconds.
    pub backoff_counts_after_ms: u64,
    /// Maximum number of requests that the gateway may send from then until the backoff period ends.
    pub max_backoff_requests: usize,
    /// Maximum time that an undisturbed control group is without a leader, in milliseconds.
    pub max_leaderless_ms: u64,
    /// Maximum memory of a gateway, in bytes.
    pub max_gateway_memory: u64,
    /// Maximum memory of a control process, in bytes.
    pub max_control_memory: u64,
    /// Time after the start of a partition from the replicas until requests are counted, in milliseconds.
    pub cut_counts_after_ms: u64,
    /// Minimum part of the requests that gateways in such a partition answer, relative to the others.
    pub min_cut_ratio: f64,
    /// Requests that may fail there whatever the ratio: a number, and a part of all requests.
    pub max_cut_failures: (usize, f64),
    /// Number of resumed streams from which on their ratio is checked.
    pub min_resumed: usize,
    /// Minimum part of the resumed streams that go on, relative to the part of new ones that begin.
    pub min_resumed_ratio: f64,
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenPromise {
    /// The name of the promise.
    pub promise: &'static str,
    /// When it was broken.
    pub at: Timestamp,
    /// A description of the observation.
    pub why: String,
    /// Request ids, replica ids and process names to search for in the logs.
    pub about: Vec<String>,
}

impl fmt::Display for BrokenPromise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {} ms: {}", self.promise, self.at, self.why)
    }
}

/// A check of one promise. Returns each violation that it finds in the history.
type Check = fn(&History, &Bounds) -> Vec<BrokenPromise>;

/// All checks.
const CHECKS: &[Check] = &[
    spend_is_within_prepaid_tokens,
    counted_spend_covers_usage,
    unsafe_requests_run_at_most_once,
    refused_requests_did_not_run,
    answers_are_complete,
    streams_keep_their_version,
    resumed_streams_go_on,
    replicas_get_the_right_account,
    streams_are_in_order,
    no_new_requests_after_acked_drain,
    planned_stops_take_their_time,
    planned_stops_cut_no_requests,
    reads_return_acknowledged_versions,
    gateway_versions_never_decrease,
    changes_take_effect_in_time,
    retries_are_within_budget,
    poison_requests_are_quarantined,
    other_requests_are_not_quarantined,
    rate_limits_are_respected,
    backoff_is_respected,
    no_new_requests_after_announced_drain,
    undisturbed_group_has_a_leader,
    gateways_recover,
    no_process_exits_unexpectedly,
    memory_is_bounded,
    callers_are_served_in_replica_cuts,
];

/// Runs all checks and returns the broken promises, earliest first.
pub fn check(h: &History, b: &Bounds) -> Vec<BrokenPromise> {
    let mut all: Vec<_> = CHECKS.iter().flat_map(|c| c(h, b)).collect();
    all.sort_by_key(|b| b.at);
    all
}

pub(crate) fn broken_promise(
    promise: &'static str,
    at: Timestamp,
    why: String,
    about: &[&str],
) -> BrokenPromise {
    let about = about.iter().map(|s| (*s).to_owned()).collect();
    BrokenPromise { promise, at, why, about }
}

/// Returns whether no disruption overlaps the period from `from` to `until`.
fn is_undisturbed(h: &History, from: Timestamp, until: Timestamp) -> bool {
    let overlaps = |d: &Disruption| d.from <= until && d.until >= from;
    !h.disruptions.iter().any(overlaps)
}

fn requests_by_id(h: &History) -> BTreeMap<&str, &Request> {
    h.requests.iter().map(|r| (r.id.as_str(), r)).collect()
}

/// The description of the disruption recorded for a partition of gateways from all replicas.
pub const REPLICA_CUT: &str = "partition from all replicas";

/// Returns the ids of requests that a replica ran.
pub(crate) fn executed_ids(h: &History) -> BTreeSet<&str> {
    h.arrivals.iter().filter(|a| a.run).map(|a| a.id.as_str()).collect()
}

/// Returns whether a part of a response reached the caller. Other requests are not charged.
fn has_begun(o: &Outcome) -> bool {
    match o {
        Outcome::Answered { .. } => true,
        Outcome::Cut { events, .. } => !events.is_empty(),
        Outcome::Left { begun } => *begun,
        Outcome::Refused(_) | Outcome::Quarantined | Outcome::NoConnection => false,
    }
}

/// Returns the tokens that each account used: prompts that replicas ran and events that they generated, of
/// requests of which a part of the response reached the caller.
fn tokens_used(h: &History) -> BTreeMap<&'static str, u64> {
    let requests = requests_by_id(h);
    let mut all = BTreeMap::new();
    for id in executed_ids(h) {
        let Some(r) = requests.get(id).filter(|r| r.kind == Kind::Stream) else { continue };
        if !has_begun(&r.outcome) {
            continue;
        }
        let before = r.resumes.as_ref().map_or(0, |resumed| resumed.after);
        let generated = h.generated.get(id).copied().unwrap_or(0).saturating_sub(before);
        *all.entry(r.account).or_default() += r.prompt + generated;
    }
    all
}

fn spend_is_within_prepaid_tokens(h: &History, b: &Bounds) -> Vec<BrokenPromise> {
    let over = |(account, used): (&'static str, u64)| {
        let prepaid = b.prepaid.get(account).copied()?;
        let why = format!("{account} used {used} tokens, but only {prepaid} are prepaid");
        (used > prepaid).then(|| broken_promise("spend", h.healed, why, &[]))
    };
    tokens_used(h).into_iter().filter_map(over).collect()
}

/// Checks that the spend that the control group counts covers what callers received and does not exceed the
/// prepaid tokens.
fn counted_spend_covers_usage(h: &History, b: &Bounds) -> Vec<BrokenPromise> {
    let mut received: BTreeMap<&str, u64> = BTreeMap::new();
    for r in h.requests.iter().filter(|r| r.kind == Kind::Stream) {
        if let Outcome::Answered { events, .. } = &r.outcome {
            let distinct: BTreeSet<_> = events.iter().collect();
            *received.entry(r.account).or_default() += r.prompt + distinct.len() as u64;
        }
    }
    let wrong = |(account, spent): (&&'static str, &u64)| {
        let received = received.get(account).copied().unwrap_or(0);
        let prepaid = b.prepaid.get(account).copied().unwrap_or(u64::MAX);
        let why = format!(
            "the control group counts {spent} tokens for {account}, which received {received} and prepaid {prepaid}"
        );
        (*spent < received || *spent > prepaid)
            .then(|| broken_promise("billing", h.healed, why, &[]))
    };
    h.spent.iter().filter_map(wrong).collect()
}

fn unsafe_requests_run_at_most_once(h: &History, _: &Bounds) -> Vec<BrokenPromise> {
    let requests = requests_by_id(h);
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    let mut all = Vec::new();
    for a in h.arrivals.iter().filter(|a| a.run) {
        let n = runs.entry(&a.id).or_default();
        *n += 1;
        let is_unsafe = requests.get(a.id.as_str()).is_some_and(|r| r.kind == Kind::Unsafe);
        if is_unsafe && *n == 2 {
            let why = format!("{} ran again at {}", a.id, a.replica);
            all.push(broken_promise("at most once", a.at, why, &[&a.id]));
        }
    }
    all
}

/// Statuses by which a gateway states that a request was not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

fn refused_requests_did_not_run(h: &History, _: &Bounds) -> Vec<BrokenPromise> {
    let executed = executed_ids(h);
    let is_violation = |r: &&Request| {
        let claims_not_run = matches!(r.outcome, Outcome::Refused(s) if NOT_RUN.contains(&s));
        claims_not_run && executed.contains(r.id.as_str())
    };
    let violation = |r: &Request| {
        let why = format!("{} ran, but its outcome was {:?}", r.id, r.outcome);
        broken_promise("not run", r.ended, why, &[&r.id])
    };
    h.requests.iter().filter(is_violation).map(violation).collect()
}

fn answers_are_complete(h: &History, _: &Bounds) -> Vec<BrokenPromise> {
    let is_incomplete = |r: &&Request| matches!(r.outcome, Outcome::Answered { whole: false, .. });
    let violation = |r: &Request| {
        let why = format!("{} got a success status, but not its complete answer", r.id);
        broken_promise("whole answer", r.ended, why, &[&r.id])
    };
    h.requests.iter().filter(is_incomplete).map(violation).collect()
}

fn replicas_get_the_right_account(h: &History, _: &Bounds) -> Vec<BrokenPromise> {
    let requests = requests_by_id(h);
    let mut all = Vec::new();
    for a in &h.arrivals {
        let is_right = requests.get(a.id.as_str()).is_none_or(|r| r.account == a.account);
        if !is_right {
            let why = format!("{} reached {} with account {}", a.id, a.replica, a.account);
            all.push(broken_promise("account", a.at, why, &[&a.id]));
        }
    }
    all
}

fn streams_are_in_order(h: &History, _: &Bounds) -> Vec<BrokenPromise> {
    let mut all = Vec::new();
    for r in &h.requests {
        let (Outcome::Answered { events, .. } | Outcome::Cut { events, .. }) = &r.outcome else {
            continue;
        };
        let first = r.resumes.as_ref().map_or(1, |resumed| resumed.after + 1);
        let in_order = events.iter().zip(first..).all(|(got, want)| *got == want);
        let complete = !matches!(r.outcome, Outcome::Answered { .. })
            || r.kind != Kind::Stream
            || events.len() as u64 == r.events;
        if !in_order || !complete {
            let why = format!("{} got events {events:?} of {}", r.id, r.events);
            all.push(broken_promise("stream", r.ended, why, &[&r.id]));
        }
    }
    all
}

/// Checks that all events of a stream, over all attempts of its caller, come from replicas of one software version.
fn streams_keep_their_version(h: &History, _: &Bounds) -> Vec<BrokenPromise> {
    let mut versions: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    let mut all = Vec::new();
    for r in h.requests.iter().filter(|r| r.kind == Kind::Stream) {
        let stream = r.resumes.as_ref().map_or(&r.id, |resumed| &resumed.first);
        let known = versions.entry(stream).or_default();
        let before = known.len();
        known.extend(r.versions.iter().map(String::as_str));
        if known.len() > 1 && known.len() > before {
            let why = format!("{} brought events of the versions {known:?}", r.id);
            all.push(broken_promise("one version", r.ended, why, &[stream, &r.id]));
        }
    }
    all
}

/// Checks that streams which callers resume go on about as often as new ones begin, while two replicas of their
/// version serve.
fn resumed_streams_go_on(h: &History, b: &Bounds) -> Vec<BrokenPromise> {
    let versions: BTreeMap<&str, &str> = h
        .requests
        .iter()
        .filter_map(|r| Some((r.id.as_str(), r.versions.first()?.as_str())))
        .collect();
    let serves_twice = |version: &str, r: &Request| {
        let serves = |l: &&ReplicaLife| {
            let covers = l.from <= r.sent.saturating_sub(b.undisturbed_ms)
                && l.until.is_none_or(|until| until > r.ended);
            l.service == r.kind.service() && l.version == version && covers
        };
        h.replica_lives.iter().filter(serves).count() >= 2
    };
    let is_counted = |r: &&Request| {
        let undisturbed = is_undisturbed(h, r.sent.saturating_sub(b.undisturbed_ms), r.ended);
        r.kind == Kind::Stream
            && undisturbed
            && !matches!(r.outcome, Outcome::Left { begun: false })
    };
    let counted = h.requests.iter().filter(is_counted);
    let (mut resumed, new): (Vec<_>, Vec<_>) = counted.partition(|r| r.resumes.is_some());
    resumed.retain(|r| {
        let first = r.resumes.as_ref().and_then(|resumed| versions.get(resumed.first.as_str()));
        first.is_some_and(|version| serves_twice(version, r))
    });
    let begun = |all: &[&Request]| all.iter().filter(|r| has_begun(&r.outcome)).count();
    let ratio = |all: &[&Request]| begun(all) as f64 / all.len().max(1) as f64;
    if resumed.len() < b.min_resumed || ratio(&resumed) >= b.min_resumed_ratio * ratio(&new) {
        return Vec::new();
    }
    let why = format!(
        "{} of {} resumed streams went on, {} of {} new ones began",
        begun(&resumed),
        resumed.len(),
        begun(&new),
        new.len()
    );
    let ids: Vec<_> =
        resumed.iter().filter(|r| !has_begun(&r.outcome)).map(|r| r.id.as_str()).collect();
    vec![broken_promise("goes on", resumed[0].sent, why, &ids)]
}

fn no_new_requests_after_acked_drain(h: &History, b: &Bounds) -> Vec<BrokenPromise> {
    let acked: BTreeMap<&str, Timestamp> =
        h.acked_drains.iter().map(|d| (d.replica.as_str(), d.acked)).collect();
    let requests = requests_by_id(h);
    let mut all = Vec::new();
    for a in &h.arrivals {
        let Some(acked) = acked.get(a.replica.as_str()) else { continue };
        let late = a.at > acked + b.drain_ms;
        let undisturbed = is_undisturbed(h, acked.saturating_sub(b.undisturbed_ms), a.at);
        // A request that the gateway had queued before does not count as new.
        let sent_late = requests.get(a.id.as_str()).is_some_and(|r| r.sent > acked + b.drain_ms);
        if late && undisturbed && sent_late {
            let why = format!(
                "{} reached {}, whose drain was acknowledged at {acked} ms",
                a.id, a.replica
            );
            all.push(broken_promise("leaving", a.at, why, &[&a.id, &a.replica]));
        }
    }
    all
}

fn reads_return_acknowledged_versions(h: &History, _: &Bounds) -> Vec<BrokenPromise> {
    let newest = |at: Timestamp| {
        let before = h.changes.iter().filter(|c| c.acked.is_some_and(|a| a <= at));
        before.map(|c| c.version).max().unwrap_or(0)
    };
    let mut all = Vec::new();
    for r in &h.reads {
        let newest = newest(r.sent);
        if r.version < newest {
            let why = format!("version {} was read after {newest} was acknowledged", r.version);
            all.push(broken_promise("configuration", r.sent, why, &[]));
        }
    }
    all
}

fn gateway_versions_never_decrease(h: &History, _: &Bounds) -> Vec<BrokenPromise> {
    let mut highest: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    let mut all = Vec::new();
    for r in &h.version_reports {
        let known = highest.entry((r.gateway, r.incarnation)).or_default();
        if r.version < *known {
            let why = format!("gateway-{} went from {known} back to {}", r.gateway, r.version);
            all.push(broken_promise(
                "configuration",
                r.at,
                why,
                &[&format!("gateway-{}", r.gateway)],
            ));
        }
        *known = (*known).max(r.version);
    }
    all
}

fn changes_take_effect_in_time(h: &History, b: &Bounds) -> Vec<BrokenPromise> {
    let acked: BTreeMap<u64, Timestamp> =
        h.changes.iter().filter_map(|c: &Change| Some((c.version, c.acked?))).collect();
    let mut all = Vec::new();
    for r in &h.requests {
        let (Kind::Probe(version), Outcome::Refused(404)) = (r.kind, &r.outcome) else { continue };
        let Some(acked) = acked.get(&version) else { continue };
        let due = acked + b.propagation_ms;
        if r.sent > due && is_undisturbed(h, r.sent.saturating_sub(b.undisturbed_ms), r.ended) {
            let gateway = format!("gateway-{}", r.gateway);
            let why = format!("{gateway} did not have version {version} in force, due at {due} ms");
            all.push(broken_promise("configuration", r.sent, why, &[&r.id, &gateway]));
        }
    }
    // Requests that every document version allows are never denied, not even by a gateway that is cut off.
    let denied = |r: &&Request| {
        let always_allowed = !matches!(r.kind, Kind::Probe(_));
        always_allowed && matches!(r.outcome, Outcome::Refused(401 | 403 | 404))
    };
    all.extend(h.requests.iter().filter(denied).map(|r| {
        let why = format!("{} was denied: {:?}", r.id, r.outcome);
        broken_promise("denied", r.sent, why, &[&r.id])
    }));
    all
}

fn retries_are_within_budget(h: &History, b: &Bounds) -> Vec<BrokenPromise> {
    let mut all = Vec::new();
    let services: BTreeSet<_> = h.arrivals.iter().map(|a| a.service).collect();
    for service in services {
        let mut seen = BTreeSet::new();
        let of_service = h.arrivals.iter().filter(|a| a.service == service);
        let retry_times: Vec<Timestamp> =
            of_service.filter(|a| !seen.insert(&a.id)).map(|a| a.at).collect();
        let is_for_service = |r: &&Request| r.kind.service() == service;
        let sent: Vec<Timestamp> =
            h.requests.iter().filter(is_for_service).map(|r| r.sent).collect();
        for end in &retry_times {
            let from = end.saturating_sub(b.retry_window_ms);
            let retries =
                retry_times.iter().filter(|at| (from..=*end).contains(*at)).count() as f64;
            let sent_within =
                |from, to| sent.iter().filter(|at| (from..=to).contains(*at)).count() as f64;
            // Requests of the window count, or of the one before it or half a window before it, because a
            // retry follows its request. It follows before the caller times out.
            let earlier = [0, b.retry_window_ms / 2, b.retry_window_ms];
            let most = earlier
                .map(|ms| sent_within(from.saturating_sub(ms), end.saturating_sub(ms)))
                .into_iter()
                .fold(0.0, f64::max);
            let first = from.saturating_sub(b.caller_timeout_ms);
            let requests = most.min(sent_within(first, *end));
            let allowed = requests * b.retry_ratio + b.retry_extra as f64;
            if retries > allowed {
                let why = format!("{service}: {retries} retries, {allowed:.1} allowed");
                all.push(broken_promise("retries", *end, why, &[]));
                break;
            }
        }
    }
    all
}

/// The description of the disruption recorded for a replica crash caused by a poison request.
pub const POISONED: &str = "poisoned replica";

/// Number of replica crashes after which a request has to be quarantined.
const QUARANTINE_AFTER: usize = 3;

/// Number of replica crashes after which a part of prompts has to be quarantined.
const QUARANTINE_PART_AFTER: usize = 5;

/// Checks that few copies of a poison request run at replicas once it has crashed [`QUARANTINE_AFTER`] of
/// them, and few requests with a poison part after [`QUARANTINE_PART_AFTER`]. Copies that run shortly after any other disruption are not counted.
fn poison_requests_are_quarantined(h: &History, b: &Bounds) -> Vec<BrokenPromise> {
    let requests = requests_by_id(h);
    let disturbed = |from: Timestamp, to: Timestamp| {
        h.disruptions.iter().any(|d| d.what != POISONED && d.from <= to && d.until >= from)
    };
    let numbers: BTreeSet<usize> = h.poison_crashes.iter().map(|c| c.poison).collect();
    let mut all = Vec::new();
    for poison in numbers {
        let mut crashes = h.poison_crashes.iter().filter(|c| c.poison == poison);
        let after = match Kind::Poison(poison).poison_part() {
            Some(_) => QUARANTINE_PART_AFTER,
            None => QUARANTINE_AFTER,
        };
        let Some(decisive) = crashes.nth(after - 1) else { continue };
        let is_copy = |id: &str| requests.get(id).is_some_and(|r| r.kind == Kind::Poison(poison));
        let late = h.arrivals.iter().filter(|a| a.run && a.at > decisive.at + b.quarantine_ms);
        let late = late.filter(|a| is_copy(&a.id));
        let late: Vec<_> =
            late.filter(|a| !disturbed(a.at.saturating_sub(b.undisturbed_ms), a.at)).collect();
        if late.len() > b.max_late_poison_runs {
            let why = format!(
                "poison request {poison}, due to be quarantined at {} ms, ran {} times after that",
                decisive.at + b.quarantine_ms,
                late.len()
            );
            let last = late[late.len() - 1];
            all.push(broken_promise("poison", last.at, why, &[&last.id]));
        }
    }
    all
}

fn other_requests_are_not_quarantined(h: &History, _: &Bounds) -> Vec<BrokenPromise> {
    let harmless = h.requests.iter().filter(|r| !matches!(r.kind, Kind::Poison(_)));
    let refused = harmless.filter(|r| r.outcome == Outcome::Quarantined);
    let violation = |r: &Request| {
        broken_promise(
            "quarantine",
            r.sent,
            format!("{} was quarantined, but crashes no replica", r.id),
            &[&r.id],
        )
    };
    refused.map(violation).collect()
}

/// Returns whether a disruption that affects this gateway was in progress at `at` or had ended at most
/// `undisturbed_ms` before.
fn is_disrupted(h: &History, gateway: usize, at: Timestamp, undisturbed_ms: u64) -> bool {
    let name = format!("Gateway({gateway})");
    let affects_gateway = |d: &Disruption| {
        d.what.contains(&name)
            || d.what == stop_description(&format!("gateway-{gateway}"))
            || matches!(d.what.as_str(), "KillAll" | "KillGateways" | "CutAllGateways" | "Reset")
            || d.what.starts_with("Delay(")
    };
    h.disruptions
        .iter()
        .any(|d| affects_gateway(d) && d.from <= at && d.until + undisturbed_ms >= at)
}

/// Checks that a rate-limited replica gets no more requests than its limit allows, summed over the gateways
/// that have forwarded the limit. Gateways with a recent disruption of their own are not counted.
fn rate_limits_are_respected(h: &History, b: &Bounds) -> Vec<BrokenPromise> {
    h.limits.iter().filter_map(|l| check_rate_limit(h, b, l)).collect()
}

fn check_rate_limit(h: &History, b: &Bounds, l: &AnnouncedLimit) -> Option<BrokenPromise> {
    let first = l.first?;
    let requests = requests_by_id(h);
    let is_at_replica = |a: &&Arrival| a.replica == l.replica && a.at >= first;
    let arrivals: Vec<_> = h.arrivals.iter().filter(is_at_replica).collect();
    let mut forwarded_at: BTreeMap<usize, Timestamp> = BTreeMap::new();
    for a in &arrivals {
        let Some(r) = requests.get(a.id.as_str()) else { continue };
        let answered = matches!(r.outcome, Outcome::Answered { .. });
        if answered && l.until.is_none_or(|until| a.at < until) {
            let at = forwarded_at.entry(r.gateway).or_insert(r.ended);
            *at = r.ended.min(*at);
        }
    }
    let counts = |a: &&&Arrival| {
        let Some(r) = requests.get(a.id.as_str()) else { return false };
        let has_forwarded =
            forwarded_at.get(&r.gateway).is_some_and(|at| at + b.limit_grace_ms <= a.at);
        let in_force =
            a.at >= first + b.limit_counts_after_ms && l.until.is_none_or(|until| a.at < until);
        has_forwarded && in_force && !is_disrupted(h, r.gateway, a.at, b.undisturbed_ms)
    };
    let counted: Vec<_> = arrivals.iter().filter(counts).collect();
    let seconds = b.limit_window_ms as f64 / 1_000.0;
    let allowed = l.thousandths as f64 / 1_000.0 * seconds * b.limit_factor + b.limit_slack;
    for (n, from) in counted.iter().enumerate() {
        let within = counted[n..].iter().take_while(|a| a.at < from.at + b.limit_window_ms);
        let ids: Vec<_> = within.map(|a| a.id.as_str()).collect();
        if ids.len() as f64 > allowed {
            let (replica, limit) = (&l.replica, l.thousandths as f64 / 1_000.0);
            let why = format!(
                "{replica} announced {limit} requests per second and got {} in {seconds} s, {allowed:.0} allowed",
                ids.len()
            );
            return Some(broken_promise("limit", from.at, why, &ids));
        }
    }
    None
}

/// Checks that a gateway sends a replica hardly any requests during the backoff period of a `Retry-After`.
fn backoff_is_respected(h: &History, b: &Bounds) -> Vec<BrokenPromise> {
    let requests = requests_by_id(h);
    let gateway = |id: &str| requests.get(id).map(|r| r.gateway);
    let mut all = Vec::new();
    for backoff in &h.backoffs {
        let Some(rejected_gateway) = gateway(&backoff.request) else { continue };
        let counts = |a: &&Arrival| {
            let in_backoff = a.at > backoff.at + b.backoff_counts_after_ms && a.at < backoff.until;
            in_backoff && a.replica == backoff.replica && gateway(&a.id) == Some(rejected_gateway)
        };
        let counted = h.arrivals.iter().filter(counts);
        let counted: Vec<_> = counted
            .filter(|a| !is_disrupted(h, rejected_gateway, a.at, b.undisturbed_ms))
            .map(|a| a.id.as_str())
            .collect();
        if counted.len() > b.max_backoff_requests {
            let (replica, n) = (&backoff.replica, counted.len());
            let span = backoff.until - backoff.at;
            let why = format!(
                "{replica} asked gateway-{rejected_gateway} to back off for {span} ms and got {n} requests"
            );
            all.push(broken_promise("rest", backoff.at, why, &counted));
        }
    }
    all
}

/// Checks that a gateway sends no new requests to a replica after it has forwarded an answer in which the
/// replica announced that it is draining.
fn no_new_requests_after_announced_drain(h: &History, b: &Bounds) -> Vec<BrokenPromise> {
    let requests = requests_by_id(h);
    let mut all = Vec::new();
    for drain in &h.announced_drains {
        let Some(first) = requests.get(drain.request.as_str()) else { continue };
        if !matches!(first.outcome, Outcome::Answered { .. }) {
            continue;
        }
        let late = |a: &&Arrival| {
            let same_instance = drain.until.is_none_or(|until| a.at < until);
            let Some(r) = requests.get(a.id.as_str()) else { return false };
            let is_late = r.gateway == first.gateway && r.sent > first.ended + b.drain_ms;
            same_instance && a.replica == drain.replica && is_late
        };
        let late = h.arrivals.iter().filter(late);
        let mut late = late.filter(|a| !is_disrupted(h, first.gateway, a.at, b.undisturbed_ms));
        if let Some(a) = late.next() {
            let why = format!("{} reached {}, which had announced its drain", a.id, a.replica);
            all.push(broken_promise("leaving", a.at, why, &[&a.id, &a.replica]));
        }
    }
    all
}

/// Checks that an undisturbed control group has a leader. Reads of the document need one, so reads that
/// keep failing show that there is none.
fn undisturbed_group_has_a_leader(h: &History, b: &Bounds) -> Vec<BrokenPromise> {
    let mut all = Vec::new();
    let mut since: Option<Timestamp> = None;
    let mut reads = h.reads.iter().map(|r| r.sent).peekable();
    for failed in &h.failed_reads {
        let undisturbed =
            is_undisturbed(h, failed.sent.saturating_sub(b.undisturbed_ms), failed.ended);
        while reads.next_if(|at| *at < failed.sent).is_some() {
            since = None;
        }
        if !undisturbed {
            since = None;
            continue;
        }
        let from = *since.get_or_insert(failed.sent);
        if failed.ended - from > b.max_leaderless_ms {
            let why = format!("no read of the document succeeded for {} ms", failed.ended - from);
            all.push(broken_promise("leader", from, why, &[]));
            since = None;
        }
    }
    all
}

fn gateways_recover(h: &History, b: &Bounds) -> Vec<BrokenPromise> {
    let late = |(n, recovered_at): (usize, &Option<Timestamp>)| {
        let in_time = recovered_at.is_some_and(|at| at <= h.healed + b.recovery_ms);
        let why =
            format!("gateway-{n} answered at {recovered_at:?}, faults ended at {} ms", h.healed);
        (!in_time)
            .then(|| broken_promise("service back", h.healed, why, &[&format!("gateway-{n}")]))
    };
    h.recovered_at.iter().enumerate().filter_map(late).collect()
}

fn no_process_exits_unexpectedly(h: &History, _: &Bounds) -> Vec<BrokenPromise> {
    let violation =
        |name: &String| broken_promise("ends by itself", h.healed, name.clone(), &[name]);
    h.unexpected_exits.iter().map(violation).collect()
}

fn memory_is_bounded(h: &History, b: &Bounds) -> Vec<BrokenPromise> {
    let violation = |(name, bytes): (&String, &u64)| {
        let why = format!("{name} used {bytes} bytes");
        broken_promise("memory", h.healed, why, &[name])
    };
    let bound = |name: &str| match name.starts_with("control") {
        true => b.max_control_memory,
        false => b.max_gateway_memory,
    };
    let over = h.memory.iter().filter(|(name, bytes)| **bytes > bound(name));
    over.map(violation).collect()
}

/// Checks that gateways without a path to any replica answer about as many requests as the others.
fn callers_are_served_in_replica_cuts(h: &History, b: &Bounds) -> Vec<BrokenPromise> {
    let violation = |cut: &ReplicaCutPeriod| {
        let from = cut.from + b.cut_counts_after_ms;
        let starts_undisturbed = from.saturating_sub(b.undisturbed_ms);
        let others = h.disruptions.iter().filter(|d| d.what != REPLICA_CUT);
        if others.into_iter().any(|d| d.from <= cut.until && d.until >= starts_undisturbed) {
            return None;
        }
        let is_counted = |r: &&Request| {
            r.sent >= from && r.ended <= cut.until && !matches!(r.kind, Kind::Poison(_))
        };
        let has_left = |r: &&Request| matches!(r.outcome, Outcome::Left { .. });
        let counted = h.requests.iter().filter(is_counted).filter(|r| !has_left(r));
        let (inside, outside): (Vec<_>, Vec<_>) =
            counted.partition(|r| cut.gateways.contains(&r.gateway));
        let answered = |all: &[&Request]| {
            all.iter().filter(|r| matches!(r.outcome, Outcome::Answered { .. })).count()
        };
        let ratio = |all: &[&Request]| answered(all) as f64 / all.len().max(1) as f64;
        let failed = inside.len() - answered(&inside);
        let (number, part) = b.max_cut_failures;
        let allowed = number as f64 + part * (inside.len() + outside.len()) as f64;
        let is_short = ratio(&inside) < b.min_cut_ratio * ratio(&outside);
        (is_short && failed as f64 > allowed).then(|| {
            let why = format!(
                "gateways {:?} without paths to replicas answered {} of {} requests, the others {} of {}",
                cut.gateways,
                answered(&inside),
                inside.len(),
                answered(&outside),
                outside.len(),
            );
            broken_promise("served in a partition", from, why, &[])
        })
    };
    h.replica_cuts.iter().filter_map(violation).collect()
}
