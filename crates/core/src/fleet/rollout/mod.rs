//! Rollouts: the requests of a service move to replicas of another version, unless that version proves
//! faulty.
//!
//! An operator's order is committed to the replicated log before it is acknowledged, and so is each
//! step. The leader decides on the steps ([`step::next_step`]) from the reports of gateways. A rollout waits
//! for replicas of the new version, sends them a small share of the requests on trial, moves all
//! requests shortly before the order's duration ends, and completes once no request runs at an old
//! replica.
//!
//! No step depends on synchronised clocks. Each gateway bounds the new version's share of the requests
//! that it receives; the leader times the steps by its monotonic clock; a gateway that is disconnected
//! returns to the old version.

pub mod evidence;
pub mod fault;
pub mod plan;
pub mod split;
pub mod step;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::code::Code;
use crate::unit::{Index, Millis, Time};

/// Maximum number of services whose last rollout is kept; the oldest finished one is removed first.
const MAX_ROLLOUTS: usize = 256;

/// How long after an order's duration an identical order counts as a retry. Callers retry for at most
/// ten seconds.
const RETRY_WINDOW: Millis = Millis::seconds(15);

/// Longest duration of an order.
const MAX_DURATION: Millis = Millis::seconds(24 * 3_600);

/// The stage of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// No replica of the new version is ready yet.
    Waiting,
    /// A small share of the requests goes to the new version.
    Trial,
    /// All new requests go to the new version; earlier ones may still run at the old one.
    Moving,
    /// The service runs the new version, and the old replicas may stop.
    Completed,
    /// No request goes to the new version.
    RolledBack,
}

impl Stage {
    /// Returns whether the rollout has finished.
    pub fn is_over(self) -> bool {
        matches!(self, Stage::Completed | Stage::RolledBack)
    }

    /// Returns the text for responses and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Waiting => "waiting",
            Stage::Trial => "trial",
            Stage::Moving => "moving",
            Stage::Completed => "completed",
            Stage::RolledBack => "rolled back",
        }
    }
}

/// The last rollout of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version that requests move to.
    pub version: String,
    /// The versions that requests move away from; empty before the trial.
    pub from: BTreeSet<String>,
    /// Time in which the rollout has to complete, counted from the order.
    pub within: Millis,
    /// When it was ordered, by the wall clock of the leader.
    pub ordered: Time,
    /// Log position of the order.
    pub order: Index,
    /// Log position of the last step.
    pub revision: Index,
    /// The current stage.
    pub stage: Stage,
    /// Share of the requests that go to the new version on trial, in thousandths.
    pub trial: u64,
    /// Reason for the last step.
    pub why: String,
}

/// The transition of a rollout to its next stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The service.
    pub service: String,
    /// Log position of the order that the step belongs to.
    pub order: Index,
    /// The stage to enter.
    pub stage: Stage,
    /// The versions that requests move away from.
    pub from: BTreeSet<String>,
    /// Share of the requests that go to the new version on trial, in thousandths.
    pub trial: u64,
    /// Reason for the step.
    pub why: String,
}

/// The replicated state of all rollouts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts {
    /// Log position of the last order or step; 0 if there was none.
    pub revision: Index,
    of_service: BTreeMap<String, Rollout>,
}

impl Rollouts {
    /// Returns the last rollout of a service.
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.of_service.get(service)
    }

    /// Iterates over the last rollout of each service.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Rollout)> {
        self.of_service.iter().map(|(service, r)| (service.as_str(), r))
    }

    /// Starts a rollout ordered at log position `pos`. A retry of the same order has no effect.
    ///
    /// # Errors
    ///
    /// Returns [`Code::RolloutBad`] for an empty version or a duration out of range, and
    /// [`Code::RolloutUnderWay`] while a rollout to another version is not finished.
    pub fn start(
        &mut self,
        now: Time,
        pos: Index,
        service: &str,
        version: &str,
        within: Millis,
    ) -> Result<(), Code> {
        if version.is_empty() || within == Millis(0) || within > MAX_DURATION {
            return Err(Code::RolloutBad);
        }
        if let Some(known) = self.of_service.get(service) {
            let is_recent = now < known.ordered.after(known.within).after(RETRY_WINDOW);
            if known.version == version && (is_recent || !known.stage.is_over()) {
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
        self.remove_surplus();
        Ok(())
    }

    /// Rolls back a service's rollout on an operator's command, at log position `pos`.
    ///
    /// # Errors
    ///
    /// Returns [`Code::RolloutUnknown`] if there is none, and [`Code::RolloutOver`] if it is completed.
    pub fn abort(&mut self, pos: Index, service: &str) -> Result<(), Code> {
        let r = self.of_service.get_mut(service).ok_or(Code::RolloutUnknown)?;
        match r.stage {
            Stage::RolledBack => return Ok(()),
            // The old replicas may have stopped already.
            Stage::Completed => return Err(Code::RolloutOver),
            Stage::Waiting | Stage::Trial | Stage::Moving => {}
        }
        r.stage = Stage::RolledBack;
        r.why = "an operator took it back".to_owned();
        r.revision = pos;
        self.revision = pos;
        Ok(())
    }

    /// Applies a step at log position `pos`. Returns false if the rollout is finished, has already
    /// reached that stage, or was replaced by another.
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

    /// Replaces this state by `other` if that is newer. Returns whether it is.
    pub fn replace_if_newer(&mut self, other: &Rollouts) -> bool {
        let newer = other.revision > self.revision;
        if newer {
            *self = other.clone();
        }
        newer
    }

    fn remove_surplus(&mut self) {
        while self.of_service.len() > MAX_ROLLOUTS {
            let finished = self.of_service.iter().filter(|(_, r)| r.stage.is_over());
            let oldest = finished.min_by_key(|(_, r)| r.revision).map(|(s, _)| s.clone());
            let Some(oldest) = oldest else { return };
            self.of_service.remove(&oldest);
        }
    }
}
