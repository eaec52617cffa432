//! The promises, over what was seen in one run.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::history::{Arrival, At, Change, Disruption, History, Kind, Limited, Outcome, Request};

/// The bounds of the promises.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Tokens that each account has prepaid.
    pub prepaid: BTreeMap<&'static str, u64>,
    /// Within this time an acknowledged change is in force at every gateway, in milliseconds.
    pub in_force_ms: u64,
    /// A machine counts for that only after so long without a disruption anywhere.
    pub calm_ms: u64,
    /// No new work after leaving is acknowledged, in milliseconds.
    pub drain_ms: u64,
    /// Retries of the fleet as a part of a service's requests in a window.
    pub retry_ratio: f64,
    /// Retries besides.
    pub retry_extra: u64,
    /// The window, in milliseconds.
    pub retry_window_ms: u64,
    /// How long a planned stop may take, in milliseconds.
    pub stop_ms: u64,
    /// Each gateway answers again within this time of the end of all faults, in milliseconds.
    pub back_ms: u64,
    /// The longest that a caller waits for an answer, in milliseconds.
    pub patience_ms: u64,
    /// Within this time of its third end of a replica, a poison request is known, in milliseconds.
    pub known_ms: u64,
    /// Times that it may reach replicas after that, in all.
    pub poisoned: usize,
    /// So long after a replica has named a limit first it counts, in milliseconds.
    pub limit_counts_after_ms: u64,
    /// The span in which requests to it are counted, in milliseconds.
    pub limit_span_ms: u64,
    /// The part of what its limit allows in that span that it may get.
    pub limit_share: f64,
    /// Requests besides.
    pub limit_slack: f64,
    /// So long after a gateway has passed on an answer with a limit its requests count, in milliseconds.
    pub told_ms: u64,
    /// So long after a replica has asked a gateway for rest its requests count, in milliseconds.
    pub rest_counts_after_ms: u64,
    /// Requests of that gateway that it may get then until the rest is over.
    pub rest_most: usize,
    /// A group to which nothing is done has a leader within this time, in milliseconds.
    pub led_within_ms: u64,
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// Its name.
    pub promise: &'static str,
    /// When.
    pub at: At,
    /// What was seen.
    pub why: String,
    /// What to look for in the logs: ids of requests, names of processes.
    pub about: Vec<String>,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {} ms: {}", self.promise, self.at, self.why)
    }
}

/// A check over the whole history.
type Check = fn(&History, &Bounds) -> Vec<Broken>;

/// Every check.
const ALL: &[Check] = &[
    spend_is_within_what_is_prepaid,
    what_is_counted_is_what_was_had,
    at_most_once,
    not_run_is_true,
    answers_are_whole_and_the_own,
    accounts_are_their_own,
    streams_are_in_order,
    no_new_work_after_leaving,
    a_planned_stop_cuts_nothing,
    what_is_acknowledged_is_read,
    no_gateway_goes_back,
    a_change_is_in_force_in_time,
    retries_are_within_their_budget,
    a_poison_request_is_soon_sent_to_none,
    sound_work_is_not_quarantined,
    limits_are_kept,
    rests_are_kept,
    what_answers_tell_of_leaving_counts,
    a_calm_group_has_a_leader,
    service_is_back,
    no_process_ends_by_itself,
];

/// The broken promises, the earliest first.
pub fn check(h: &History, b: &Bounds) -> Vec<Broken> {
    let mut all: Vec<_> = ALL.iter().flat_map(|c| c(h, b)).collect();
    all.sort_by_key(|b| b.at);
    all
}

fn broken(promise: &'static str, at: At, why: String, about: &[&str]) -> Broken {
    let about = about.iter().map(|s| (*s).to_owned()).collect();
    Broken { promise, at, why, about }
}

/// Whether nothing was done to the fleet from `from` to `until`.
fn is_calm(h: &History, from: At, until: At) -> bool {
    let overlaps = |d: &Disruption| d.from <= until && d.until >= from;
    !h.disruptions.iter().any(overlaps)
}

fn by_id(h: &History) -> BTreeMap<&str, &Request> {
    h.requests.iter().map(|r| (r.id.as_str(), r)).collect()
}

/// The ids of requests that a replica has run.
fn run(h: &History) -> BTreeSet<&str> {
    h.arrivals.iter().filter(|a| a.run).map(|a| a.id.as_str()).collect()
}

/// Tokens of each account by what replicas have read and made.
fn used(h: &History) -> BTreeMap<&'static str, u64> {
    let requests = by_id(h);
    let mut all = BTreeMap::new();
    for id in run(h) {
        let Some(r) = requests.get(id).filter(|r| r.kind == Kind::Stream) else { continue };
        let made = h.made.get(id).copied().unwrap_or(0);
        *all.entry(r.account).or_default() += r.prompt + made;
    }
    all
}

fn spend_is_within_what_is_prepaid(h: &History, b: &Bounds) -> Vec<Broken> {
    let over = |(account, used): (&'static str, u64)| {
        let prepaid = b.prepaid.get(account).copied()?;
        let why = format!("replicas gave {account} {used} tokens of {prepaid}");
        (used > prepaid).then(|| broken("spend", h.healed, why, &[]))
    };
    used(h).into_iter().filter_map(over).collect()
}

/// The group's count is never below what callers have had, nor above what is prepaid.
fn what_is_counted_is_what_was_had(h: &History, b: &Bounds) -> Vec<Broken> {
    let mut had: BTreeMap<&str, u64> = BTreeMap::new();
    for r in h.requests.iter().filter(|r| r.kind == Kind::Stream) {
        if let Outcome::Answered { events, .. } = &r.outcome {
            let distinct: BTreeSet<_> = events.iter().collect();
            *had.entry(r.account).or_default() += r.prompt + distinct.len() as u64;
        }
    }
    let wrong = |(account, spent): (&&'static str, &u64)| {
        let had = had.get(account).copied().unwrap_or(0);
        let prepaid = b.prepaid.get(account).copied().unwrap_or(u64::MAX);
        let why = format!("the group counts {spent} for {account}, who had {had} of {prepaid}");
        (*spent < had || *spent > prepaid).then(|| broken("billing", h.healed, why, &[]))
    };
    h.spent.iter().filter_map(wrong).collect()
}

fn at_most_once(h: &History, _: &Bounds) -> Vec<Broken> {
    let requests = by_id(h);
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    let mut all = Vec::new();
    for a in h.arrivals.iter().filter(|a| a.run) {
        let n = runs.entry(&a.id).or_default();
        *n += 1;
        let once = requests.get(a.id.as_str()).is_some_and(|r| r.kind == Kind::Unsafe);
        if once && *n == 2 {
            let why = format!("{} ran again at {}", a.id, a.replica);
            all.push(broken("at most once", a.at, why, &[&a.id]));
        }
    }
    all
}

/// Statuses that say that a request was not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

fn not_run_is_true(h: &History, _: &Bounds) -> Vec<Broken> {
    let run = run(h);
    let lies = |r: &&Request| {
        let says = matches!(r.outcome, Outcome::Refused(s) if NOT_RUN.contains(&s));
        says && run.contains(r.id.as_str())
    };
    let tell = |r: &Request| {
        let why = format!("{} ran, and was answered {:?}", r.id, r.outcome);
        broken("not run", r.ended, why, &[&r.id])
    };
    h.requests.iter().filter(lies).map(tell).collect()
}

fn answers_are_whole_and_the_own(h: &History, _: &Bounds) -> Vec<Broken> {
    let bad = |r: &&Request| matches!(r.outcome, Outcome::Answered { whole: false, .. });
    let tell = |r: &Request| {
        let why = format!("{} got a success that is not its whole answer", r.id);
        broken("whole answer", r.ended, why, &[&r.id])
    };
    h.requests.iter().filter(bad).map(tell).collect()
}

fn accounts_are_their_own(h: &History, _: &Bounds) -> Vec<Broken> {
    let requests = by_id(h);
    let mut all = Vec::new();
    for a in &h.arrivals {
        let own = requests.get(a.id.as_str()).is_none_or(|r| r.account == a.account);
        if !own {
            let why = format!("{} reached {} as of account {}", a.id, a.replica, a.account);
            all.push(broken("account", a.at, why, &[&a.id]));
        }
    }
    all
}

fn streams_are_in_order(h: &History, _: &Bounds) -> Vec<Broken> {
    let mut all = Vec::new();
    for r in &h.requests {
        let (Outcome::Answered { events, .. } | Outcome::Cut { events, .. }) = &r.outcome else {
            continue;
        };
        let in_order = events.iter().zip(1..).all(|(got, want)| *got == want);
        let complete = !matches!(r.outcome, Outcome::Answered { .. })
            || r.kind != Kind::Stream
            || events.len() as u64 == r.events;
        if !in_order || !complete {
            let why = format!("{} got events {events:?} of {}", r.id, r.events);
            all.push(broken("stream", r.ended, why, &[&r.id]));
        }
    }
    all
}

fn no_new_work_after_leaving(h: &History, b: &Bounds) -> Vec<Broken> {
    let acked: BTreeMap<&str, At> =
        h.leaving.iter().map(|l| (l.replica.as_str(), l.acked)).collect();
    let requests = by_id(h);
    let mut all = Vec::new();
    for a in &h.arrivals {
        let Some(acked) = acked.get(a.replica.as_str()) else { continue };
        let late = a.at > acked + b.drain_ms;
        let calm = is_calm(h, acked.saturating_sub(b.calm_ms), a.at);
        // A request that had waited in its gateway does not count as sent now.
        let sent_late = requests.get(a.id.as_str()).is_some_and(|r| r.sent > acked + b.drain_ms);
        if late && calm && sent_late {
            let why = format!("{} reached {}, which left at {acked} ms", a.id, a.replica);
            all.push(broken("leaving", a.at, why, &[&a.id, &a.replica]));
        }
    }
    all
}

/// Whether anything but the stop itself was done to the fleet around a request.
fn is_calm_but_for(h: &History, stop: &str, from: At, until: At) -> bool {
    let others = h.disruptions.iter().filter(|d| d.what != stop);
    !others.into_iter().any(|d| d.from <= until && d.until >= from)
}

/// The name of the disruption that a planned stop of a gateway is.
pub fn stop_of(gateway: usize) -> String {
    format!("planned stop of gateway-{gateway}")
}

fn a_planned_stop_cuts_nothing(h: &History, b: &Bounds) -> Vec<Broken> {
    let run = run(h);
    let mut all = Vec::new();
    for s in &h.stops {
        let name = stop_of(s.gateway);
        let end = s.ended.unwrap_or(s.asked + b.stop_ms);
        if end > s.asked + b.stop_ms {
            let why = format!("it took {} ms", end - s.asked);
            all.push(broken("planned stop", end, why, &[&format!("gateway-{}", s.gateway)]));
        }
        for r in h.requests.iter().filter(|r| r.gateway == s.gateway) {
            let around = r.sent <= end && r.ended >= s.asked;
            let cut = matches!(r.outcome, Outcome::Cut { .. }) && run.contains(r.id.as_str());
            let calm = is_calm_but_for(h, &name, r.sent.saturating_sub(b.calm_ms), r.ended);
            if around && cut && calm {
                let why = format!("{} was cut by the {name}", r.id);
                all.push(broken("planned stop", r.ended, why, &[&r.id]));
            }
        }
    }
    all
}

fn what_is_acknowledged_is_read(h: &History, _: &Bounds) -> Vec<Broken> {
    let newest = |at: At| {
        let before = h.changes.iter().filter(|c| c.acked.is_some_and(|a| a <= at));
        before.map(|c| c.version).max().unwrap_or(0)
    };
    let mut all = Vec::new();
    for r in &h.reads {
        let newest = newest(r.sent);
        if r.version < newest {
            let why = format!("version {} was read after {newest} was acknowledged", r.version);
            all.push(broken("configuration", r.sent, why, &[]));
        }
    }
    all
}

fn no_gateway_goes_back(h: &History, _: &Bounds) -> Vec<Broken> {
    let mut highest: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    let mut all = Vec::new();
    for s in &h.held {
        let known = highest.entry((s.gateway, s.incarnation)).or_default();
        if s.version < *known {
            let why = format!("gateway-{} went from {known} back to {}", s.gateway, s.version);
            all.push(broken("configuration", s.at, why, &[&format!("gateway-{}", s.gateway)]));
        }
        *known = (*known).max(s.version);
    }
    all
}

fn a_change_is_in_force_in_time(h: &History, b: &Bounds) -> Vec<Broken> {
    let acked: BTreeMap<u64, At> =
        h.changes.iter().filter_map(|c: &Change| Some((c.version, c.acked?))).collect();
    let mut all = Vec::new();
    for r in &h.requests {
        let (Kind::Probe(version), Outcome::Refused(404)) = (r.kind, &r.outcome) else { continue };
        let Some(acked) = acked.get(&version) else { continue };
        let due = acked + b.in_force_ms;
        if r.sent > due && is_calm(h, r.sent.saturating_sub(b.calm_ms), r.ended) {
            let gateway = format!("gateway-{}", r.gateway);
            let why = format!("{gateway} did not know version {version}, due at {due} ms");
            all.push(broken("configuration", r.sent, why, &[&r.id, &gateway]));
        }
    }
    // What every document allows is never denied, not even by a gateway that is cut off.
    let denied = |r: &&Request| {
        let always = !matches!(r.kind, Kind::Probe(_));
        always && matches!(r.outcome, Outcome::Refused(401 | 403 | 404))
    };
    all.extend(h.requests.iter().filter(denied).map(|r| {
        let why = format!("{} was denied: {:?}", r.id, r.outcome);
        broken("denied", r.sent, why, &[&r.id])
    }));
    all
}

fn retries_are_within_their_budget(h: &History, b: &Bounds) -> Vec<Broken> {
    let mut all = Vec::new();
    let services: BTreeSet<_> = h.arrivals.iter().map(|a| a.service).collect();
    for service in services {
        let mut seen = BTreeSet::new();
        let of_service = h.arrivals.iter().filter(|a| a.service == service);
        let again: Vec<At> = of_service.filter(|a| !seen.insert(&a.id)).map(|a| a.at).collect();
        let asks = |r: &&Request| r.kind.service() == service;
        let sent: Vec<At> = h.requests.iter().filter(asks).map(|r| r.sent).collect();
        for end in &again {
            let from = end.saturating_sub(b.retry_window_ms);
            let retries = again.iter().filter(|at| (from..=*end).contains(*at)).count() as f64;
            // A request counts when it comes; its retry may follow until its caller leaves.
            let first = from.saturating_sub(b.patience_ms);
            let requests = sent.iter().filter(|at| (first..=*end).contains(*at)).count() as f64;
            let allowed = requests * b.retry_ratio + b.retry_extra as f64;
            if retries > allowed {
                let why = format!("{service}: {retries} retries, {allowed:.1} allowed");
                all.push(broken("retries", *end, why, &[]));
                break;
            }
        }
    }
    all
}

/// A disruption: a replica has ended under a poison request.
pub const POISONED: &str = "poisoned replica";

/// Ends of replicas under a request after which it is to be known.
const KNOWN_BY: usize = 3;

/// Copies of a request that has ended three replicas reach others in a few cases only. Those count that
/// come when nothing but such ends was done to the fleet for a while.
fn a_poison_request_is_soon_sent_to_none(h: &History, b: &Bounds) -> Vec<Broken> {
    let requests = by_id(h);
    let disturbed = |from: At, to: At| {
        h.disruptions.iter().any(|d| d.what != POISONED && d.from <= to && d.until >= from)
    };
    let numbers: BTreeSet<usize> = h.ends.iter().map(|e| e.poison).collect();
    let mut all = Vec::new();
    for poison in numbers {
        let mut ends = h.ends.iter().filter(|e| e.poison == poison);
        let Some(third) = ends.nth(KNOWN_BY - 1) else { continue };
        let is_copy = |id: &str| requests.get(id).is_some_and(|r| r.kind == Kind::Poison(poison));
        let late = h.arrivals.iter().filter(|a| a.run && a.at > third.at + b.known_ms);
        let late = late.filter(|a| is_copy(&a.id));
        let late: Vec<_> =
            late.filter(|a| !disturbed(a.at.saturating_sub(b.calm_ms), a.at)).collect();
        if late.len() > b.poisoned {
            let why = format!(
                "request {poison}, known at {} ms, reached replicas {} times later",
                third.at + b.known_ms,
                late.len()
            );
            let last = late[late.len() - 1];
            all.push(broken("poison", last.at, why, &[&last.id]));
        }
    }
    all
}

fn sound_work_is_not_quarantined(h: &History, _: &Bounds) -> Vec<Broken> {
    let sound = h.requests.iter().filter(|r| !matches!(r.kind, Kind::Poison(_)));
    let refused = sound.filter(|r| r.outcome == Outcome::Quarantined);
    let tell =
        |r: &Request| broken("quarantine", r.sent, format!("{} ends no replica", r.id), &[&r.id]);
    refused.map(tell).collect()
}

/// Whether something was done to one gateway, or to all, that ended within `calm` before `at`.
fn is_excused(h: &History, gateway: usize, at: At, calm: u64) -> bool {
    let name = format!("Gateway({gateway})");
    let of_it = |d: &Disruption| {
        d.what.contains(&name)
            || d.what == stop_of(gateway)
            || matches!(d.what.as_str(), "KillAll" | "CutAllGateways" | "Reset")
            || d.what.starts_with("Delay(")
    };
    h.disruptions.iter().any(|d| of_it(d) && d.from <= at && d.until + calm >= at)
}

/// A replica that names a limit gets what it allows, summed over the gateways that had passed that on. One
/// that was killed, stopped, suspended or cut off itself does not count.
fn limits_are_kept(h: &History, b: &Bounds) -> Vec<Broken> {
    h.limits.iter().filter_map(|l| limit_is_kept(h, b, l)).collect()
}

fn limit_is_kept(h: &History, b: &Bounds, l: &Limited) -> Option<Broken> {
    let first = l.first?;
    let requests = by_id(h);
    let here = |a: &&Arrival| a.replica == l.replica && a.at >= first;
    let arrivals: Vec<_> = h.arrivals.iter().filter(here).collect();
    let mut told: BTreeMap<usize, At> = BTreeMap::new();
    for a in &arrivals {
        let Some(r) = requests.get(a.id.as_str()) else { continue };
        let answered = matches!(r.outcome, Outcome::Answered { .. });
        if answered && l.until.is_none_or(|until| a.at < until) {
            let at = told.entry(r.gateway).or_insert(r.ended);
            *at = r.ended.min(*at);
        }
    }
    let counts = |a: &&&Arrival| {
        let Some(r) = requests.get(a.id.as_str()) else { return false };
        let is_told = told.get(&r.gateway).is_some_and(|at| at + b.told_ms <= a.at);
        let in_force =
            a.at >= first + b.limit_counts_after_ms && l.until.is_none_or(|until| a.at < until);
        is_told && in_force && !is_excused(h, r.gateway, a.at, b.calm_ms)
    };
    let counted: Vec<_> = arrivals.iter().filter(counts).collect();
    let seconds = b.limit_span_ms as f64 / 1_000.0;
    let allowed = l.thousandths as f64 / 1_000.0 * seconds * b.limit_share + b.limit_slack;
    for (n, from) in counted.iter().enumerate() {
        let within = counted[n..].iter().take_while(|a| a.at < from.at + b.limit_span_ms);
        let ids: Vec<_> = within.map(|a| a.id.as_str()).collect();
        if ids.len() as f64 > allowed {
            let (replica, limit) = (&l.replica, l.thousandths as f64 / 1_000.0);
            let why = format!(
                "{replica} takes {limit} a second and got {} in {seconds} s, {allowed:.0} allowed",
                ids.len()
            );
            return Some(broken("limit", from.at, why, &ids));
        }
    }
    None
}

/// A replica that has asked a gateway for rest gets next to nothing of it until the rest is over.
fn rests_are_kept(h: &History, b: &Bounds) -> Vec<Broken> {
    let requests = by_id(h);
    let gateway = |id: &str| requests.get(id).map(|r| r.gateway);
    let mut all = Vec::new();
    for rest in &h.rests {
        let Some(asked) = gateway(&rest.request) else { continue };
        let counts = |a: &&Arrival| {
            let in_rest = a.at > rest.at + b.rest_counts_after_ms && a.at < rest.until;
            in_rest && a.replica == rest.replica && gateway(&a.id) == Some(asked)
        };
        let counted = h.arrivals.iter().filter(counts);
        let counted: Vec<_> = counted
            .filter(|a| !is_excused(h, asked, a.at, b.calm_ms))
            .map(|a| a.id.as_str())
            .collect();
        if counted.len() > b.rest_most {
            let (replica, n) = (&rest.replica, counted.len());
            let span = rest.until - rest.at;
            let why = format!(
                "{replica} asked gateway-{asked} for {span} ms of rest and got {n} requests"
            );
            all.push(broken("rest", rest.at, why, &counted));
        }
    }
    all
}

/// A replica that said in an answer that it leaves gets no new work of the gateway that passed it on.
fn what_answers_tell_of_leaving_counts(h: &History, b: &Bounds) -> Vec<Broken> {
    let requests = by_id(h);
    let mut all = Vec::new();
    for told in &h.told {
        let Some(first) = requests.get(told.request.as_str()) else { continue };
        if !matches!(first.outcome, Outcome::Answered { .. }) {
            continue;
        }
        let late = |a: &&Arrival| {
            let of_life = told.until.is_none_or(|until| a.at < until);
            let Some(r) = requests.get(a.id.as_str()) else { return false };
            let is_late = r.gateway == first.gateway && r.sent > first.ended + b.drain_ms;
            of_life && a.replica == told.replica && is_late
        };
        let late = h.arrivals.iter().filter(late);
        let mut late = late.filter(|a| !is_excused(h, first.gateway, a.at, b.calm_ms));
        if let Some(a) = late.next() {
            let why = format!("{} reached {}, which had said that it leaves", a.id, a.replica);
            all.push(broken("leaving", a.at, why, &[&a.id, &a.replica]));
        }
    }
    all
}

/// A read needs a leader. In a group to which nothing is done, reads do not fail for long.
fn a_calm_group_has_a_leader(h: &History, b: &Bounds) -> Vec<Broken> {
    let mut all = Vec::new();
    let mut since: Option<At> = None;
    let mut last_read = h.reads.iter().map(|r| r.sent).peekable();
    for u in &h.unread {
        let calm = is_calm(h, u.sent.saturating_sub(b.calm_ms), u.ended);
        while last_read.next_if(|at| *at < u.sent).is_some() {
            since = None;
        }
        if !calm {
            since = None;
            continue;
        }
        let from = *since.get_or_insert(u.sent);
        if u.ended - from > b.led_within_ms {
            let why = format!("no control process read the document for {} ms", u.ended - from);
            all.push(broken("leader", from, why, &[]));
            since = None;
        }
    }
    all
}

fn service_is_back(h: &History, b: &Bounds) -> Vec<Broken> {
    let late = |(n, back): (usize, &Option<At>)| {
        let in_time = back.is_some_and(|at| at <= h.healed + b.back_ms);
        let why = format!("gateway-{n} answered again at {back:?}, healed at {} ms", h.healed);
        (!in_time).then(|| broken("service back", h.healed, why, &[&format!("gateway-{n}")]))
    };
    h.back.iter().enumerate().filter_map(late).collect()
}

fn no_process_ends_by_itself(h: &History, _: &Bounds) -> Vec<Broken> {
    let tell = |name: &String| broken("ends by itself", h.healed, name.clone(), &[name]);
    h.ended.iter().map(tell).collect()
}
