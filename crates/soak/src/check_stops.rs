//! The checks of planned stops.

use std::collections::{BTreeMap, BTreeSet};

use crate::check::{Bounds, BrokenPromise, broken_promise, executed_ids};
use crate::history::{Disruption, History, Kind, Outcome, Request, Stop};

/// Returns the description of the disruption recorded for a planned stop of a process.
pub fn stop_description(process: &str) -> String {
    format!("planned stop of {process}")
}

/// Checks that a planned stop takes no longer than its settings allow, and that a gateway serves new requests as long
/// as they say.
pub(crate) fn planned_stops_take_their_time(h: &History, b: &Bounds) -> Vec<BrokenPromise> {
    let violation = |s: &Stop| {
        let took = s.ended.saturating_sub(s.requested);
        let late = took > b.stop_ms + s.suspended_ms;
        let early = s.gateway.is_some() && s.served && took < b.stop_serve_ms;
        let why = format!("the stop of {} took {took} ms", s.process);
        (late || early).then(|| broken_promise("planned stop", s.ended, why, &[&s.process]))
    };
    h.stops.iter().filter_map(violation).collect()
}

/// Checks that a request gets a whole response, or a refusal, around planned stops of any process.
pub(crate) fn planned_stops_cut_no_requests(h: &History, b: &Bounds) -> Vec<BrokenPromise> {
    let executed = executed_ids(h);
    let mut replicas: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for a in &h.arrivals {
        replicas.entry(&a.id).or_default().insert(&a.replica);
    }
    let none = BTreeSet::new();
    let violation = |r: &Request| {
        let Outcome::Cut { begun, .. } = r.outcome else { return None };
        let overlaps = |s: &&Stop| r.sent <= s.ended && r.ended >= s.requested;
        let stop = h.stops.iter().filter(overlaps).max_by_key(|s| s.gateway == Some(r.gateway))?;
        let at_replicas = replicas.get(r.id.as_str()).unwrap_or(&none);
        let was_received = begun
            || executed.contains(r.id.as_str())
            || r.ended - r.sent >= b.received_ms + stop.suspended_ms;
        let excused = r.ended >= r.sent + b.deadline_ms
            || replica_broke_off(h, r, at_replicas)
            || gateway_was_disrupted(h, r)
            || outlasted(h, b, r, stop);
        let why = format!(
            "{} at gateway-{} was cut {} ms into the stop of {}",
            r.id,
            r.gateway,
            r.ended.saturating_sub(stop.requested),
            stop.process
        );
        (was_received && !excused)
            .then(|| broken_promise("planned stop", r.ended, why, &[&r.id, &stop.process]))
    };
    h.requests.iter().filter_map(violation).collect()
}

/// Returns whether a replica that the request reached broke off meanwhile, or the path to it was lost.
fn replica_broke_off(h: &History, r: &Request, replicas: &BTreeSet<&str>) -> bool {
    let broke_off = h
        .replica_breaks
        .iter()
        .any(|b| b.from <= r.ended && b.until >= r.sent && replicas.contains(b.replica.as_str()));
    let lost_path = h.replica_cuts.iter().any(|c| c.from <= r.ended && c.from >= r.sent);
    broke_off || lost_path
}

/// Returns whether an unplanned disruption affected the gateway of a request while the request ran.
fn gateway_was_disrupted(h: &History, r: &Request) -> bool {
    // A gateway without paths to replicas relays its requests to others.
    let may_relay =
        h.replica_cuts.iter().any(|c| c.from <= r.ended && c.gateways.contains(&r.gateway));
    let own = format!("Gateway({})", r.gateway);
    let affects_all = |what: &str| {
        matches!(what, "KillAll" | "KillGateways" | "CutAllGateways" | "Reset" | "Silence")
    };
    let affects = |d: &&Disruption| {
        let is_own = d.what.ends_with(&own) || affects_all(&d.what);
        let is_of_a_relay = may_relay && d.what.contains("Gateway(");
        is_own || is_of_a_relay
    };
    h.disruptions.iter().filter(affects).any(|d| d.from <= r.ended && d.until >= r.sent)
}

/// Returns whether the replica was still at work when the time of the stop was over.
fn outlasted(h: &History, b: &Bounds, r: &Request, stop: &Stop) -> bool {
    let last = r.resumes.as_ref().map_or(0, |resumed| resumed.after) + r.events;
    let generated = h.generated.get(&r.id).copied().unwrap_or(0);
    let is_at_work = r.kind == Kind::Stream && generated < last;
    stop.gateway == Some(r.gateway) && is_at_work && r.ended >= stop.requested + b.stop_cut_ms
}
