//! Roll-outs: the requests of a service move to replicas of another version, unless that version
//! turns out to be bad.
//!
//! An operator's order is kept in the replicated log before it is acknowledged, and so is each step;
//! the leader decides on them ([`step::next`]) by what gateways report. A roll-out waits for replicas
//! of the version, gives them a small part of the requests on trial, moves all to them shortly before
//! the order's time is over, and is completed once nothing runs at the old ones any more.
//!
//! Nothing here needs one clock for the whole fleet. How much a version gets is bounded by each
//! gateway for itself, as a part of the requests that come to it; when a step is due is measured on
//! the leader's steady clock; a gateway that hears nothing for a while goes back to the old version by
//! its own.

pub mod evidence;
pub mod plan;
pub mod split;
pub mod step;
pub mod verdict;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::code::Code;
use crate::unit::{Index, Millis, Time};

/// Services of which the last roll-out is remembered: the oldest that has ended goes first.
const REMEMBERED: usize = 256;

/// How long after the end of an order's time the same order counts as sent again: callers send one
/// again for ten seconds at most.
const SAME_ORDER: Millis = Millis::seconds(15);

/// The longest time that an order may give.
const WITHIN_MOST: Millis = Millis::seconds(24 * 3_600);

/// How far a roll-out has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// No replica of the version is ready yet.
    Waiting,
    /// A small part of the requests goes to the version.
    Trial,
    /// All new requests go to the version; some may still run at the old one.
    Moving,
    /// The version is the service's own, and the old replicas may stop.
    Completed,
    /// Nothing goes to the version.
    RolledBack,
}

impl Stage {
    /// Whether it has ended.
    pub fn is_over(self) -> bool {
        matches!(self, Stage::Completed | Stage::RolledBack)
    }

    /// Its word in answers and logs.
    pub fn text(self) -> &'static str {
        match self {
            Stage::Waiting => "waiting",
            Stage::Trial => "trial",
            Stage::Moving => "moving",
            Stage::Completed => "completed",
            Stage::RolledBack => "rolled back",
        }
    }
}

/// The last roll-out of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version that requests move to.
    pub version: String,
    /// The versions that they move away from; empty before the trial.
    pub from: BTreeSet<String>,
    /// By when it is to be completed, from its order on.
    pub within: Millis,
    /// When it was ordered, by its leader's time of day.
    pub ordered: Time,
    /// Position of the order.
    pub order: Index,
    /// Position of its last step.
    pub revision: Index,
    /// How far it has come.
    pub stage: Stage,
    /// Thousandths of the requests that go to the version on trial.
    pub trial: u64,
    /// Why the last step was taken.
    pub why: String,
}

/// A step of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The service.
    pub service: String,
    /// Position of the order that it belongs to.
    pub order: Index,
    /// What it comes to.
    pub stage: Stage,
    /// The versions that requests move away from.
    pub from: BTreeSet<String>,
    /// Thousandths of the requests that go to the version on trial.
    pub trial: u64,
    /// Why.
    pub why: String,
}

/// The roll-outs of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts {
    /// Position of the last order or step; 0 if there was none.
    pub revision: Index,
    of_service: BTreeMap<String, Rollout>,
}

impl Rollouts {
    /// The last roll-out of a service.
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.of_service.get(service)
    }

    /// The last roll-out of each service.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Rollout)> {
        self.of_service.iter().map(|(service, r)| (service.as_str(), r))
    }

    /// Carries out an order at position `pos`. The same order sent again changes nothing; another
    /// version has to wait until the roll-out under way has ended.
    pub fn start(
        &mut self,
        now: Time,
        pos: Index,
        service: &str,
        version: &str,
        within: Millis,
    ) -> Result<(), Code> {
        if version.is_empty() || within == Millis(0) || within > WITHIN_MOST {
            return Err(Code::RolloutBad);
        }
        if let Some(known) = self.of_service.get(service) {
            let lately = now < known.ordered.after(known.within).after(SAME_ORDER);
            if known.version == version && (lately || !known.stage.is_over()) {
                return Ok(());
            }
            if !known.stage.is_over() {
                return Err(Code::RolloutUnderWay);
            }
        }
        let rollout = Rollout {
            version: version.to_owned(),
            from: BTreeSet::new(),
            within,
            ordered: now,
            order: pos,
            revision: pos,
            stage: Stage::Waiting,
            trial: 0,
            why: "ordered".to_owned(),
        };
        self.of_service.insert(service.to_owned(), rollout);
        self.revision = pos;
        self.drop_surplus();
        Ok(())
    }

    /// Takes a roll-out back on an operator's word.
    pub fn abort(&mut self, pos: Index, service: &str) -> Result<(), Code> {
        let r = self.of_service.get_mut(service).ok_or(Code::RolloutUnknown)?;
        match r.stage {
            Stage::RolledBack => return Ok(()),
            // The old replicas may have stopped.
            Stage::Completed => return Err(Code::RolloutOver),
            Stage::Waiting | Stage::Trial | Stage::Moving => {}
        }
        r.stage = Stage::RolledBack;
        r.why = "an operator took it back".to_owned();
        r.revision = pos;
        self.revision = pos;
        Ok(())
    }

    /// Takes a step at position `pos`, unless the roll-out has ended or another has begun. Returns
    /// whether it was taken.
    pub fn advance(&mut self, pos: Index, step: &Step) -> bool {
        let Some(r) = self.of_service.get_mut(&step.service) else { return false };
        if r.order != step.order || r.stage >= step.stage || r.stage.is_over() {
            return false;
        }
        r.stage = step.stage;
        r.from.clone_from(&step.from);
        r.trial = step.trial;
        r.why.clone_from(&step.why);
        r.revision = pos;
        self.revision = pos;
        true
    }

    /// Takes what another process tells, if it is newer. Returns whether it is.
    pub fn take(&mut self, told: &Rollouts) -> bool {
        let newer = told.revision > self.revision;
        if newer {
            *self = told.clone();
        }
        newer
    }

    fn drop_surplus(&mut self) {
        while self.of_service.len() > REMEMBERED {
            let over = self.of_service.iter().filter(|(_, r)| r.stage.is_over());
            let oldest = over.min_by_key(|(_, r)| r.revision).map(|(s, _)| s.clone());
            let Some(oldest) = oldest else { return };
            self.of_service.remove(&oldest);
        }
    }
}
