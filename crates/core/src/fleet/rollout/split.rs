//! The split of a service's requests between versions during a rollout.

use super::{Rollout, Stage};
use crate::hash::Fnv;

/// The whole in thousandths.
const PERMILLE: u64 = 1_000;

/// How a rollout classifies a replica by its version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Side {
    /// Not affected by a rollout.
    #[default]
    Any,
    /// A version that requests move away from.
    Old,
    /// The version that requests move to.
    New,
    /// The version that requests move to, but other replicas of it take part in the trial.
    Spare,
    /// A version that gets no requests.
    Barred,
}

/// The versions to which a request may be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    /// Any replica that is not excluded.
    #[default]
    Any,
    /// The old version.
    Old,
    /// The replicas on trial. A retry goes to the old version.
    Trial,
    /// The new version.
    New,
}

impl Way {
    /// Returns whether a replica on this side may get the request.
    pub fn allows(self, side: Side) -> bool {
        match self {
            Way::Any => side != Side::Barred,
            Way::Old => matches!(side, Side::Any | Side::Old),
            Way::Trial => side == Side::New,
            Way::New => matches!(side, Side::New | Side::Spare | Side::Any),
        }
    }

    /// Returns the preferences to try in order. Each applies if no replica is left for those before it.
    pub fn fallbacks(self) -> &'static [Way] {
        match self {
            Way::Any => &[Way::Any],
            Way::Old => &[Way::Old],
            Way::Trial => &[Way::Trial, Way::New, Way::Old],
            Way::New => &[Way::New, Way::Any],
        }
    }
}

/// Returns whether the replica `id` of the new version takes part in the trial. The part of the replicas
/// equals the share of the requests, so that each has about the load of an old one. If no id is
/// selected, the fallbacks lead to all replicas of the version.
fn is_on_trial(id: &str, trial: u64) -> bool {
    draw(id) < trial
}

/// Returns the hash of an id, reduced to a number below 1,000.
pub fn draw(id: &str) -> u64 {
    Fnv::new().part(id.as_bytes()).value() % PERMILLE
}

/// Returns the side of the replica `id`, which runs `version`.
pub fn side(r: &Rollout, id: &str, version: &str) -> Side {
    let is_new = version == r.version;
    match r.stage {
        Stage::Waiting if is_new => Side::Barred,
        Stage::Waiting => Side::Any,
        Stage::Trial if is_new && !is_on_trial(id, r.trial) => Side::Spare,
        Stage::Trial | Stage::Moving if is_new => Side::New,
        Stage::Trial | Stage::Moving => Side::Old,
        // Old replicas may stop at any time, and a version that starts later is not one of theirs.
        Stage::Completed if r.from.contains(version) => Side::Old,
        Stage::Completed if is_new => Side::New,
        Stage::Completed => Side::Any,
        Stage::RolledBack if is_new => Side::Barred,
        Stage::RolledBack => Side::Any,
    }
}

/// The state of a gateway that affects the split.
#[derive(Clone, Copy, Debug)]
pub struct Local {
    /// A control process answered recently, so the rollout's stage is current.
    pub in_touch: bool,
    /// This gateway's own evidence shows a fault of the new version.
    pub stopped: bool,
}

/// Returns the preference of a request whose id hashes to `drawn`.
pub fn way(r: &Rollout, drawn: u64, l: Local) -> Way {
    match r.stage {
        Stage::Waiting | Stage::RolledBack => Way::Any,
        Stage::Trial if l.in_touch && !l.stopped && drawn < r.trial => Way::Trial,
        Stage::Moving if l.in_touch && !l.stopped => Way::New,
        Stage::Trial | Stage::Moving => Way::Old,
        Stage::Completed => Way::New,
    }
}
