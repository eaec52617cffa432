//! Rollouts at a gateway: the choice of a version for each request, the evidence on the old and the new
//! version, and the local stop of a rollout.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::fleet::rollout::evidence::{Evidence, Report};
use cypressfork_core::fleet::rollout::fault::find_fault;
use cypressfork_core::fleet::rollout::split::{
    GatewayView, Side, VersionPreference, id_permille, version_preference,
};
use cypressfork_core::fleet::rollout::{Rollout, Rollouts};
use cypressfork_core::unit::{Index, Millis, Time};
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::counter;

use super::attempt::AttemptOutcome;
use super::state::Gateway;

/// Minimum interval between immediate reports on failed attempts. Other outcomes are reported with the
/// next regular watch request.
const URGENT_REPORT_INTERVAL: Millis = Millis(250);

/// A gateway's view of the rollouts in the fleet.
pub struct RolloutTracker {
    /// The rollouts from the control processes.
    rollouts: RefCell<Rollouts>,
    /// Random id of this process, to which the reported counters belong.
    process_id: u64,
    /// Last contact with a control process that knows a leader.
    last_contact: Cell<Time>,
    /// This gateway's observations by service.
    observed: RefCell<HashMap<String, ObservedRollout>>,
    last_urgent_report: Cell<Time>,
}

/// This gateway's observations of one service's rollout.
#[derive(Default)]
struct ObservedRollout {
    /// Log position of the rollout's order.
    order: Index,
    evidence: Evidence,
    /// Requests in flight at the old version.
    at_old: u64,
    /// Whether this gateway found a fault and stopped the rollout locally.
    stopped: bool,
}

impl Default for RolloutTracker {
    fn default() -> RolloutTracker {
        RolloutTracker {
            rollouts: RefCell::default(),
            process_id: rand::random(),
            last_contact: Cell::default(),
            observed: RefCell::default(),
            last_urgent_report: Cell::default(),
        }
    }
}

/// How long a gateway continues a rollout without contact to a control process. Control processes answer
/// watch requests within a second, so a longer silence means that the gateway is cut off.
const CONTACT_TIMEOUT: Millis = Millis::seconds(2);

impl RolloutTracker {
    /// Returns the revision of the rollouts from the control processes.
    pub fn revision(&self) -> Index {
        self.rollouts.borrow().revision
    }

    /// Records contact with a control process that knows a leader.
    pub fn record_contact(&self, now: Time) {
        self.last_contact.set(now);
    }

    /// Returns the rollout of a service.
    pub fn rollout(&self, service: &str) -> Option<Rollout> {
        self.rollouts.borrow().get(service).cloned()
    }

    /// Replaces the rollouts by those from a control process, if they are newer. Returns the ones that
    /// have changed.
    pub fn update(&self, rollouts: &Rollouts) -> Vec<(String, Rollout)> {
        let before = self.rollouts.borrow().clone();
        if !self.rollouts.borrow_mut().replace_if_newer(rollouts) {
            return Vec::new();
        }
        let is_changed = |(s, r): &(&str, &Rollout)| before.get(s) != Some(*r);
        let changed = rollouts.iter().filter(is_changed).map(|(s, r)| (s.to_owned(), r.clone()));
        let changed: Vec<_> = changed.collect();
        let mut observed = self.observed.borrow_mut();
        for (service, r) in &changed {
            emit!(
                Event::RolloutStageChanged,
                service = service,
                version = r.version,
                revision = r.revision,
                stage = r.stage.as_str(),
            );
            let o = observed.entry(service.clone()).or_default();
            if o.order != r.order {
                // Requests in flight were sent before this rollout, to its old version.
                *o = ObservedRollout {
                    order: r.order,
                    at_old: o.at_old,
                    ..ObservedRollout::default()
                };
            }
        }
        changed
    }

    /// Returns the versions of a service to which the request `id` may be sent. A retry does not go to
    /// the trial.
    pub fn version_preference(
        &self,
        now: Time,
        service: &str,
        id: &str,
        is_retry: bool,
    ) -> VersionPreference {
        let rollouts = self.rollouts.borrow();
        let Some(r) = rollouts.get(service) else { return VersionPreference::Any };
        let connected = now.since(self.last_contact.get()) < CONTACT_TIMEOUT;
        let stopped = self.observed.borrow().get(service).is_some_and(|o| o.stopped);
        match version_preference(r, id_permille(id), GatewayView { connected, stopped }) {
            VersionPreference::Trial if is_retry => VersionPreference::Old,
            other => other,
        }
    }

    /// Returns a report on each rollout in progress, for control processes.
    pub fn reports(&self) -> Vec<Report> {
        let rollouts = self.rollouts.borrow();
        let observed = self.observed.borrow();
        let report = |(service, r): (&str, &Rollout)| {
            let o = observed.get(service)?;
            Some(Report {
                service: service.to_owned(),
                order: r.order,
                revision: r.revision,
                life: self.process_id,
                evidence: o.evidence.clone(),
                at_old: o.at_old,
            })
        };
        rollouts.iter().filter(|(_, r)| !r.stage.is_over()).filter_map(report).collect()
    }
}

/// Records the outcome of one attempt as evidence on the version of its replica. Until it is dropped, an
/// attempt at the old version counts as in flight.
pub struct AttemptObservation {
    gw: Rc<Gateway>,
    service: String,
    side: Side,
}

impl AttemptObservation {
    /// Records that a request is sent to a replica on this side.
    pub fn start(gw: &Rc<Gateway>, service: &str, side: Side) -> AttemptObservation {
        // Without a rollout, all replicas count as the old version of the next one.
        if side != Side::New && side != Side::Standby {
            let mut observed = gw.rollouts.observed.borrow_mut();
            if let Some(o) = observed.get_mut(service) {
                o.at_old += 1;
            } else {
                observed.insert(
                    service.to_owned(),
                    ObservedRollout { at_old: 1, ..ObservedRollout::default() },
                );
            }
        }
        AttemptObservation { gw: gw.clone(), service: service.to_owned(), side }
    }

    /// Records how the attempt ended, its time to the first byte and the expected one in microseconds.
    /// Stops the rollout at this gateway if the evidence shows a fault of the new version.
    pub fn finish(
        self,
        route: &str,
        ended: &AttemptOutcome,
        time_to_first: Option<Duration>,
        expected_us: u64,
    ) {
        let is_new = match self.side {
            Side::Old => false,
            Side::New | Side::Standby => true,
            Side::Any | Side::Excluded => return,
        };
        let gw = &self.gw;
        let rollouts = gw.rollouts.rollouts.borrow();
        let Some(r) = rollouts.get(&self.service).filter(|r| !r.stage.is_over()) else { return };
        let mut observed = gw.rollouts.observed.borrow_mut();
        let Some(o) = observed.get_mut(&self.service) else { return };
        let sides = o.evidence.route_mut(route);
        let outcomes = if is_new { &mut sides.new } else { &mut sides.old };
        match ended {
            AttemptOutcome::Answered => {
                let first_us = time_to_first.map_or(0, |d| d.as_micros() as u64);
                outcomes.record_response(first_us, expected_us);
            }
            AttemptOutcome::Failed(_)
            | AttemptOutcome::Lost(_)
            | AttemptOutcome::Broken(_)
            | AttemptOutcome::Late => outcomes.record_failure(),
            // No evidence on the version.
            AttemptOutcome::Left
            | AttemptOutcome::NotSent(_)
            | AttemptOutcome::Refused(_)
            | AttemptOutcome::Silent(_)
            | AttemptOutcome::Withheld
            | AttemptOutcome::OverBudget
            | AttemptOutcome::NotRun => return,
        }
        let version = if is_new { "new" } else { "old" };
        let labels = [("service", self.service.clone()), ("version", version.to_owned())];
        counter!(metric::ROLLOUT_ANSWERS, &labels).increment(1);
        if !is_new || matches!(ended, AttemptOutcome::Answered) {
            return;
        }
        counter!(metric::ROLLOUT_BAD, "service" => self.service.clone()).increment(1);
        if !o.stopped
            && let Some((route, fault)) = find_fault(&o.evidence)
        {
            o.stopped = true;
            emit!(
                Event::RolloutStopped,
                service = self.service,
                version = r.version,
                route = route,
                fault = format_args!("{fault:?}"),
            );
        }
        let now = gw.now();
        if now.since(gw.rollouts.last_urgent_report.get()) >= URGENT_REPORT_INTERVAL {
            gw.rollouts.last_urgent_report.set(now);
            gw.poll_all_now();
        }
    }
}

impl Drop for AttemptObservation {
    fn drop(&mut self) {
        if matches!(self.side, Side::New | Side::Standby) {
            return;
        }
        if let Ok(mut observed) = self.gw.rollouts.observed.try_borrow_mut()
            && let Some(o) = observed.get_mut(&self.service)
        {
            o.at_old = o.at_old.saturating_sub(1);
        }
    }
}
