//! The leader's choice of the next step of a rollout.

use std::collections::{BTreeMap, BTreeSet};

use super::evidence::{Evidence, StepProgress};
use super::fault::{Fault, find_fault};
use super::plan::Plan;
use super::{Rollout, Stage, Step};
use crate::unit::Millis;

/// Minimum number of slots of the new version, in percent of the old one's: fewer could not serve the
/// service's requests.
const MIN_SLOTS_PERCENT: u64 = 50;

/// The state of a rollout as the leader sees it.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// Time since the order, by the leader's monotonic clock.
    pub elapsed: Millis,
    /// Slots of ready replicas, by version.
    pub slots: &'a BTreeMap<String, u64>,
    /// Outcomes reported by all gateways.
    pub evidence: &'a Evidence,
    /// Progress of the connected gateways with the last step.
    pub progress: StepProgress,
    /// Number of connected gateways.
    pub gateways: usize,
}

/// Returns the next step of the rollout, if one is due.
pub fn next_step(service: &str, r: &Rollout, plan: &Plan, v: &View<'_>) -> Option<Step> {
    let step = |stage: Stage, why: String| Step {
        service: service.to_owned(),
        order: r.order,
        stage,
        from: replaced_versions(r, v),
        trial: plan.trial,
        why,
    };
    if matches!(r.stage, Stage::Trial | Stage::Moving)
        && let Some((route, fault)) = find_fault(v.evidence)
    {
        return Some(step(Stage::RolledBack, describe(&route, &fault)));
    }
    let new = v.slots.get(&r.version).copied().unwrap_or(0);
    let old: u64 = v.slots.iter().filter(|(n, _)| **n != r.version).map(|(_, n)| *n).sum();
    let expired = v.elapsed >= r.within;
    match r.stage {
        Stage::Waiting if new > 0 => {
            Some(step(Stage::Trial, format!("{new} places of it, {old} of others")))
        }
        Stage::Waiting if expired => {
            Some(step(Stage::RolledBack, "no replica of it is ready".to_owned()))
        }
        Stage::Trial if new * 100 < old * MIN_SLOTS_PERCENT => expired.then(|| {
            let why = format!("{new} places cannot take over from {old}");
            step(Stage::RolledBack, why)
        }),
        Stage::Trial if v.elapsed >= plan.move_at || old == 0 => {
            let t = v.evidence.total();
            let (n, bad) = (t.new.ended, t.new.bad);
            Some(step(Stage::Moving, format!("{bad} of {n} bad on trial")))
        }
        Stage::Moving if is_moved(v) => {
            let n = v.progress.moved;
            Some(step(
                Stage::Completed,
                format!("{n} gateways have moved, nothing runs at the old"),
            ))
        }
        _ => None,
    }
}

/// Returns whether every connected gateway sends to the new version only and has no request in flight at
/// an old replica.
fn is_moved(v: &View<'_>) -> bool {
    let s = v.progress;
    s.at_old == 0 && s.moved == s.reporting && s.reporting >= v.gateways
}

/// Returns the versions that requests move away from.
fn replaced_versions(r: &Rollout, v: &View<'_>) -> BTreeSet<String> {
    let others = v.slots.keys().filter(|n| **n != r.version).cloned();
    r.from.iter().cloned().chain(others).collect()
}

fn describe(route: &str, f: &Fault) -> String {
    let place = if route.is_empty() { "on all routes".to_owned() } else { format!("on {route}") };
    match f {
        Fault::Fails { new: (bad, n), old: (old_bad, old_n) } => {
            format!(
                "{place} {bad} of {n} answers were bad, {old_bad} of {old_n} of the old version"
            )
        }
        Fault::Slow { deviations, answers } => {
            format!("{place} {answers} answers were slower, by {deviations:.1} standard deviations")
        }
    }
}
