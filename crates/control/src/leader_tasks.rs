//! What a leader does unasked.

use std::collections::{BTreeMap, BTreeSet};

use cypressfork_core::budget::{BoundsReport, Elapsed, WriteOff};
use cypressfork_core::command::Command;
use cypressfork_core::fleet::repair::{Candidates, Health, next_change};
use cypressfork_core::fleet::rollout::evidence::StepProgress;
use cypressfork_core::fleet::rollout::plan::plan;
use cypressfork_core::fleet::rollout::step::{self, View};
use cypressfork_core::member::CLAIM_HOLDER_TIMEOUT;
use cypressfork_core::unit::{HolderId, Index, Millis, NodeId, Time};
use cypressfork_node::emit;
use cypressfork_node::event::Event;

use crate::disk::Storage;
use crate::fleet_view::FleetView;
use crate::machine::{Machine, Moment};

/// How often a leader looks after its tasks.
const EVERY: Millis = Millis(500);

/// How often a leader looks whether the group needs mending.
const REPAIR_EVERY: Millis = Millis(200);

/// How often a leader looks for dead holders.
const WRITE_OFF_EVERY: Millis = Millis(100);

/// How often a leader looks after roll-outs. Reports come about once a second, and at once where
/// answers are bad.
const ROLLOUTS_EVERY: Millis = Millis(100);

/// Since when a gateway must have been heard to be in touch: twice the span of a standing question.
const IN_TOUCH: Millis = Millis::seconds(2);

/// What a leader has done since it began to lead.
#[derive(Default)]
pub struct LeaderTasks {
    next: Time,
    next_repair: Time,
    next_write_off: Time,
    next_rollouts: Time,
    /// When each roll-out under way was ordered, on this process's steady clock.
    rollouts: BTreeMap<Index, Time>,
    lapsed: BTreeSet<HolderId>,
}

impl<S: Storage, T> Machine<S, T> {
    pub(crate) fn tick_leader_tasks(&mut self, at: Moment) {
        if !self.raft.is_leader() || at.now < self.leader_tasks.next {
            return;
        }
        self.leader_tasks.next = at.now.after(EVERY);
        self.lapse_silent_routers(at);
        if self.state.quarantine().has_expired(at.wall) {
            self.propose_own(at, &Command::EndQuarantines);
        }
    }

    /// As leader, makes the next change that mends the group.
    pub fn repair(&mut self, at: Moment, candidates: &Candidates, want: usize) {
        if !self.raft.is_leader() || at.now < self.leader_tasks.next_repair {
            return;
        }
        self.leader_tasks.next_repair = at.now.after(REPAIR_EVERY);
        let committed = self.raft.committed();
        let followers: BTreeMap<_, _> = self.raft.followers().collect();
        let health = |n: NodeId| {
            let p = followers.get(&n);
            let silent = p.map_or(Millis(u64::MAX), |p| at.now.since(p.last_response));
            Health { silent, caught_up: p.is_some_and(|p| p.matched >= committed) }
        };
        let me = self.raft.id();
        let change = next_change(self.raft.members(), me, health, candidates, want);
        let Some(change) = change else { return };
        // While another change is under way, this one comes up again.
        if self.raft.change(at.now, &change).is_ok() {
            emit!(Event::RepairBegun, change = format_args!("{change:?}"));
        }
    }

    /// As leader, decides what holders whose successors have registered can have spent. A span
    /// that this leader did not see begin is taken from the time of day; `margin` is what that may be
    /// off by, none while too few clocks are heard.
    pub fn write_off_dead(&mut self, at: Moment, margin: Option<Millis>) {
        if !self.raft.is_leader() || at.now < self.leader_tasks.next_write_off {
            return;
        }
        self.leader_tasks.next_write_off = at.now.after(WRITE_OFF_EVERY);
        let dead: Vec<_> = self.state.unsettled_holders().collect();
        for (holder, age) in dead {
            let reports = self.state.ledger().last_reports(holder);
            // It was dead before its successor started.
            let span = |t: BoundsReport| {
                self.since_told(at, holder, t, margin).map(|s| Millis(s.0.saturating_sub(age.0)))
            };
            if let (Some(last), Some(before)) = (span(reports.last), span(reports.before)) {
                let elapsed = Elapsed { last: Some(last), before: Some(before) };
                let WriteOff { counted, freed } =
                    self.state.ledger().write_off_amounts(holder, &elapsed);
                emit!(
                    Event::HolderWrittenOff,
                    holder = holder,
                    last_ms = last.0,
                    before_ms = before.0,
                    counted = counted,
                    freed = freed,
                );
                self.propose_own(at, &Command::WriteOff { holder, elapsed });
            }
        }
    }

    /// As leader, takes the next steps of roll-outs; a version that turns out bad may have had
    /// `allowed` thousandths of its service's requests.
    pub fn step_rollouts<W>(&mut self, at: Moment, view: &mut FleetView<W>, allowed: u64) {
        if !self.raft.is_leader() || at.now < self.leader_tasks.next_rollouts {
            return;
        }
        self.leader_tasks.next_rollouts = at.now.after(ROLLOUTS_EVERY);
        let under_way: Vec<_> =
            self.state.rollouts().iter().filter(|(_, r)| !r.stage.is_over()).collect();
        let orders: Vec<_> = under_way.iter().map(|(_, r)| r.order).collect();
        view.reports.retain_orders(&orders);
        let known = &mut self.leader_tasks.rollouts;
        known.retain(|order, _| orders.contains(order));
        let since = Time(at.now.0.saturating_sub(IN_TOUCH.0));
        let gateways = view.routers.count_since(since);
        let mut steps = Vec::new();
        for (service, r) in under_way {
            // A leader that did not see the order takes the span until now from the time of day.
            let so_far = at.wall.since(r.ordered);
            let ordered = *known.entry(r.order).or_insert(Time(at.now.0.saturating_sub(so_far.0)));
            let progress: StepProgress = view.reports.progress(r.order, r.revision, since);
            let evidence = view.reports.evidence(r.order);
            let slots = view.registry.ready_slots(service);
            let elapsed = at.now.since(ordered);
            let v = View { elapsed, slots: &slots, evidence: &evidence, progress, gateways };
            steps.extend(step::next_step(service, r, &plan(r.within, allowed), &v));
        }
        for s in steps {
            self.propose_own(at, &Command::StepRollout(s));
        }
    }

    /// How long ago a report of bounds was taken at the earliest; none if that is not sure yet.
    fn since_told(
        &self,
        at: Moment,
        holder: HolderId,
        t: BoundsReport,
        margin: Option<Millis>,
    ) -> Option<Millis> {
        if t.seq == 0 {
            return Some(Millis(0));
        }
        let seen = self.heartbeats.since_bounds_report(at.now, holder, t.seq);
        let by_clock = || margin.map(|m| Millis(at.wall.since(t.at).0 + m.0));
        seen.or_else(by_clock)
    }

    fn lapse_silent_routers(&mut self, at: Moment) {
        let silent = |h: HolderId| self.heartbeats.since_last(at.now, h) >= CLAIM_HOLDER_TIMEOUT;
        let all: Vec<_> = self.state.routers().iter().map(|r| r.holder).collect();
        let (gone, heard): (Vec<_>, Vec<_>) = all.into_iter().partition(|h| silent(*h));
        for h in heard {
            self.leader_tasks.lapsed.remove(&h);
        }
        for h in gone {
            if self.leader_tasks.lapsed.insert(h) {
                emit!(Event::RouterLapsed, holder = h);
                self.propose_own(at, &Command::Lapse(h));
            }
        }
    }
}
