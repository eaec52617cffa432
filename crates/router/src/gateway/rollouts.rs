//! Roll-outs at a gateway: where requests go, what is seen of the old and the new version, and the stop
//! by what this gateway saw itself.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::fleet::rollout::evidence::{Evidence, Report};
use cypressfork_core::fleet::rollout::split::{
    GatewayView, Side, VersionPreference, request_permille, version_preference,
};
use cypressfork_core::fleet::rollout::verdict::find_fault;
use cypressfork_core::fleet::rollout::{Rollout, Rollouts};
use cypressfork_core::unit::{Index, Millis, Time};
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::counter;

use super::attempt::AttemptOutcome;
use super::state::Gateway;

/// How often control processes are told at once of bad answers; the standing questions tell of all
/// others.
const URGE_EVERY: Millis = Millis(250);

/// What a gateway knows of roll-outs.
pub struct Trials {
    told: RefCell<Rollouts>,
    /// Drawn at the start of the process.
    life: u64,
    /// When a control process that knows a leader told of roll-outs last.
    heard: Cell<Time>,
    under_way: RefCell<HashMap<String, Trial>>,
    urged: Cell<Time>,
}

/// What was seen of one roll-out.
#[derive(Default)]
struct Trial {
    order: Index,
    evidence: Evidence,
    at_old: u64,
    stopped: bool,
}

impl Default for Trials {
    fn default() -> Trials {
        Trials {
            told: RefCell::default(),
            life: rand::random(),
            heard: Cell::default(),
            under_way: RefCell::default(),
            urged: Cell::default(),
        }
    }
}

/// How long a gateway goes on with a trial or a move of which it hears nothing. Control processes
/// answer within a second, so a gateway that is cut off learns in this time that it is.
const HEARD_WITHIN: Millis = Millis::seconds(2);

impl Trials {
    /// Revision of what the control processes told.
    pub fn revision(&self) -> Index {
        self.told.borrow().revision
    }

    /// Notes that a control process that knows a leader has answered.
    pub fn note_heard(&self, now: Time) {
        self.heard.set(now);
    }

    /// The roll-out of a service.
    pub fn of(&self, service: &str) -> Option<Rollout> {
        self.told.borrow().get(service).cloned()
    }

    /// Takes what a control process tells. Returns the roll-outs that have changed.
    pub fn take(&self, told: &Rollouts) -> Vec<(String, Rollout)> {
        let before = self.told.borrow().clone();
        if !self.told.borrow_mut().replace_if_newer(told) {
            return Vec::new();
        }
        let is_new = |(s, r): &(&str, &Rollout)| before.get(s) != Some(*r);
        let changed = told.iter().filter(is_new).map(|(s, r)| (s.to_owned(), r.clone()));
        let changed: Vec<_> = changed.collect();
        let mut under_way = self.under_way.borrow_mut();
        for (service, r) in &changed {
            emit!(
                Event::RolloutSeen,
                service = service,
                version = r.version,
                revision = r.revision,
                stage = r.stage.as_str(),
            );
            let known = under_way.entry(service.clone()).or_default();
            if known.order != r.order {
                // What runs now runs at the old version, whenever it was sent.
                *known = Trial { order: r.order, at_old: known.at_old, ..Trial::default() };
            }
        }
        changed
    }

    /// Where a request for a service goes; one that was tried before, not on trial again.
    pub fn version_preference(
        &self,
        now: Time,
        service: &str,
        id: &str,
        tried: bool,
    ) -> VersionPreference {
        let told = self.told.borrow();
        let Some(r) = told.get(service) else { return VersionPreference::Any };
        let connected = now.since(self.heard.get()) < HEARD_WITHIN;
        let stopped = self.under_way.borrow().get(service).is_some_and(|t| t.stopped);
        match version_preference(r, request_permille(id), GatewayView { connected, stopped }) {
            VersionPreference::Trial if tried => VersionPreference::Old,
            other => other,
        }
    }

    /// What is told of the roll-outs under way.
    pub fn reports(&self) -> Vec<Report> {
        let told = self.told.borrow();
        let under_way = self.under_way.borrow();
        let report = |(service, r): (&str, &Rollout)| {
            let t = under_way.get(service)?;
            Some(Report {
                service: service.to_owned(),
                order: r.order,
                revision: r.revision,
                life: self.life,
                evidence: t.evidence.clone(),
                at_old: t.at_old,
            })
        };
        told.iter().filter(|(_, r)| !r.stage.is_over()).filter_map(report).collect()
    }
}

/// What an attempt at a replica says of its version, once it has ended.
pub struct Observation {
    gw: Rc<Gateway>,
    service: String,
    side: Side,
}

impl Observation {
    /// Notes that a request goes to a replica on this side.
    pub fn begin(gw: &Rc<Gateway>, service: &str, side: Side) -> Observation {
        // Before a roll-out is heard of, all there is belongs to the old version.
        if side != Side::New && side != Side::Standby {
            let mut under_way = gw.trials.under_way.borrow_mut();
            if let Some(t) = under_way.get_mut(service) {
                t.at_old += 1;
            } else {
                under_way.insert(service.to_owned(), Trial { at_old: 1, ..Trial::default() });
            }
        }
        Observation { gw: gw.clone(), service: service.to_owned(), side }
    }

    /// Notes how it ended, and how long its first byte took against what was expected.
    pub fn end(
        self,
        route: &str,
        ended: &AttemptOutcome,
        first: Option<Duration>,
        expected_us: u64,
    ) {
        let is_new = match self.side {
            Side::Old => false,
            Side::New | Side::Standby => true,
            Side::Any | Side::Excluded => return,
        };
        let gw = &self.gw;
        let told = gw.trials.told.borrow();
        let Some(r) = told.get(&self.service).filter(|r| !r.stage.is_over()) else { return };
        let mut under_way = gw.trials.under_way.borrow_mut();
        let Some(t) = under_way.get_mut(&self.service) else { return };
        let sides = t.evidence.route_mut(route);
        let outcomes = if is_new { &mut sides.new } else { &mut sides.old };
        match ended {
            AttemptOutcome::Answered => {
                let first = first.map_or(0, |d| d.as_micros() as u64);
                outcomes.record_response(first, expected_us);
            }
            AttemptOutcome::Failed(_)
            | AttemptOutcome::Lost(_)
            | AttemptOutcome::Broken(_)
            | AttemptOutcome::Late => outcomes.record_failure(),
            // They say nothing of how the version answers.
            AttemptOutcome::Left
            | AttemptOutcome::NotSent(_)
            | AttemptOutcome::Withheld
            | AttemptOutcome::NotRun => return,
        }
        let version = if is_new { "new" } else { "old" };
        let labels = [("service", self.service.clone()), ("version", version.to_owned())];
        counter!(metric::ROLLOUT_ANSWERS, &labels).increment(1);
        if !is_new || matches!(ended, AttemptOutcome::Answered) {
            return;
        }
        counter!(metric::ROLLOUT_BAD, "service" => self.service.clone()).increment(1);
        if !t.stopped
            && let Some((route, fault)) = find_fault(&t.evidence)
        {
            t.stopped = true;
            emit!(
                Event::RolloutStopped,
                service = self.service,
                version = r.version,
                route = route,
                fault = format_args!("{fault:?}"),
            );
        }
        let now = gw.now();
        if now.since(gw.trials.urged.get()) >= URGE_EVERY {
            gw.trials.urged.set(now);
            gw.poll_all_now();
        }
    }
}

impl Drop for Observation {
    fn drop(&mut self) {
        if matches!(self.side, Side::New | Side::Standby) {
            return;
        }
        if let Ok(mut under_way) = self.gw.trials.under_way.try_borrow_mut()
            && let Some(t) = under_way.get_mut(&self.service)
        {
            t.at_old = t.at_old.saturating_sub(1);
        }
    }
}
