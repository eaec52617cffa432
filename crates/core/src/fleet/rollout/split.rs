//! Which replicas of a service a gateway sends a request to while a roll-out is under way.

use super::{Rollout, Stage};
use crate::hash::Fnv;

/// Thousandths.
const WHOLE: u64 = 1_000;

/// The side of a roll-out that a replica is on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Side {
    /// No roll-out tells it from others.
    #[default]
    Any,
    /// A version that requests move away from.
    Old,
    /// The version that they move to.
    New,
    /// The version that they move to, but the trial is borne by others of it.
    Spare,
    /// Nothing goes to it.
    Barred,
}

/// Where a request may go: to which side first, and to which if nobody there can take it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    /// No roll-out matters: to any replica that is not barred.
    #[default]
    Any,
    /// To the old version, if it has a replica.
    Old,
    /// To the version on trial; tried again, to the old one.
    Trial,
    /// To the new version, if it has a replica.
    New,
}

impl Way {
    /// Whether a replica on this side may get the request.
    pub fn allows(self, side: Side) -> bool {
        match self {
            Way::Any => side != Side::Barred,
            Way::Old => matches!(side, Side::Any | Side::Old),
            Way::Trial => side == Side::New,
            Way::New => matches!(side, Side::New | Side::Spare | Side::Any),
        }
    }

    /// The ways to try one after the other, each where no replica is left on the one before.
    pub fn fallbacks(self) -> &'static [Way] {
        match self {
            Way::Any => &[Way::Any],
            Way::Old => &[Way::Old],
            Way::Trial => &[Way::Trial, Way::New, Way::Old],
            Way::New => &[Way::New, Way::Any],
        }
    }
}

/// Whether a replica of the version, by its id, bears the trial: as many of them as the share of
/// requests that goes there, so that each bears what an old one does. Where no id does, all do.
fn bears_trial(id: &str, trial: u64) -> bool {
    draw(id) < trial
}

/// A number below 1,000 from an id.
pub fn draw(id: &str) -> u64 {
    Fnv::new().part(id.as_bytes()).value() % WHOLE
}

/// The side of the replica `id` of `version`.
pub fn side(r: &Rollout, id: &str, version: &str) -> Side {
    let is_new = version == r.version;
    match r.stage {
        Stage::Waiting if is_new => Side::Barred,
        Stage::Waiting => Side::Any,
        Stage::Trial if is_new && !bears_trial(id, r.trial) => Side::Spare,
        Stage::Trial | Stage::Moving if is_new => Side::New,
        Stage::Trial | Stage::Moving => Side::Old,
        // Old replicas stop at once, and a version that comes later is none of theirs.
        Stage::Completed if r.from.contains(version) => Side::Old,
        Stage::Completed if is_new => Side::New,
        Stage::Completed => Side::Any,
        Stage::RolledBack if is_new => Side::Barred,
        Stage::RolledBack => Side::Any,
    }
}

/// What a gateway knows besides the roll-out itself.
#[derive(Clone, Copy, Debug)]
pub struct Local {
    /// A control process told of roll-outs lately.
    pub in_touch: bool,
    /// This gateway has seen enough of the version by itself.
    pub stopped: bool,
}

/// Where a request goes that drew this number.
pub fn way(r: &Rollout, drawn: u64, l: Local) -> Way {
    match r.stage {
        Stage::Waiting | Stage::RolledBack => Way::Any,
        Stage::Trial if l.in_touch && !l.stopped && drawn < r.trial => Way::Trial,
        Stage::Moving if l.in_touch && !l.stopped => Way::New,
        Stage::Trial | Stage::Moving => Way::Old,
        Stage::Completed => Way::New,
    }
}
