//! The split of a service's requests between versions during a rollout.

use super::{Rollout, Stage};
use crate::hash::Fnv;

/// The share of 100 %, in thousandths.
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
    Standby,
    /// A version that gets no requests.
    Excluded,
}

/// The versions to which a request may be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionPreference {
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

impl VersionPreference {
    /// Returns whether a replica on this side may get the request.
    pub fn allows(self, side: Side) -> bool {
        match self {
            VersionPreference::Any => side != Side::Excluded,
            VersionPreference::Old => matches!(side, Side::Any | Side::Old),
            VersionPreference::Trial => side == Side::New,
            VersionPreference::New => matches!(side, Side::New | Side::Standby | Side::Any),
        }
    }

    /// Returns the preferences to try in order. Each applies if no replica is left for those before it.
    pub fn fallbacks(self) -> &'static [VersionPreference] {
        match self {
            VersionPreference::Any => &[VersionPreference::Any],
            VersionPreference::Old => &[VersionPreference::Old],
            VersionPreference::Trial => {
                &[VersionPreference::Trial, VersionPreference::New, VersionPreference::Old]
            }
            VersionPreference::New => &[VersionPreference::New, VersionPreference::Any],
        }
    }
}

/// Returns whether the replica `id` of the new version takes part in the trial. The part of the replicas
/// equals the share of the requests, so that each has about the load of an old one. If no id is
/// selected, the fallbacks lead to all replicas of the version.
fn is_on_trial(id: &str, trial: u64) -> bool {
    id_permille(id) < trial
}

/// Returns the hash of an id, reduced to a number below 1,000.
pub fn id_permille(id: &str) -> u64 {
    Fnv::new().add_part(id.as_bytes()).finish() % PERMILLE
}

/// Returns the side of the replica `id`, which runs `version`.
pub fn side(r: &Rollout, id: &str, version: &str) -> Side {
    let is_new = version == r.version;
    match r.stage {
        Stage::Waiting if is_new => Side::Excluded,
        Stage::Waiting => Side::Any,
        Stage::Trial if is_new && !is_on_trial(id, r.trial) => Side::Standby,
        Stage::Trial | Stage::Moving if is_new => Side::New,
        Stage::Trial | Stage::Moving => Side::Old,
        // Old replicas may stop at any time, and a version that starts later is not one of theirs.
        Stage::Completed if r.from.contains(version) => Side::Old,
        Stage::Completed if is_new => Side::New,
        Stage::Completed => Side::Any,
        Stage::RolledBack if is_new => Side::Excluded,
        Stage::RolledBack => Side::Any,
    }
}

/// The state of a gateway that affects the split.
#[derive(Clone, Copy, Debug)]
pub struct GatewayView {
    /// A control process answered recently, so the rollout's stage is current.
    pub connected: bool,
    /// This gateway's own evidence shows a fault of the new version.
    pub stopped: bool,
}

/// Returns the preference of a request whose id has the hash `permille`.
pub fn version_preference(r: &Rollout, permille: u64, gateway: GatewayView) -> VersionPreference {
    match r.stage {
        Stage::Waiting | Stage::RolledBack => VersionPreference::Any,
        Stage::Trial if gateway.connected && !gateway.stopped && permille < r.trial => {
            VersionPreference::Trial
        }
        Stage::Moving if gateway.connected && !gateway.stopped => VersionPreference::New,
        Stage::Trial | Stage::Moving => VersionPreference::Old,
        Stage::Completed => VersionPreference::New,
    }
}
