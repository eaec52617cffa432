//! Periodic tasks of the leader.

use std::collections::{BTreeMap, BTreeSet};

use cypressfork_core::budget::{BoundsReport, Elapsed, WriteOff, longest_run};
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
use crate::machine::{ClockReading, GroupMember};

/// Interval between checks for silent routers and expired quarantines.
const CHECK_INTERVAL: Millis = Millis(500);

/// Interval between membership changes that repair the group.
const REPAIR_INTERVAL: Millis = Millis(200);

/// Interval between checks for dead lease holders.
const WRITE_OFF_INTERVAL: Millis = Millis(100);

/// Maximum number of log lines about single budgets per pass over the dead holders. After a power failure
/// of all VMs every budget has some dead holders, while the leader is needed for the recovery.
const MAX_BUDGET_LINES: usize = 64;

/// Interval between checks of rollouts. Gateways report about once a second, and at once on bad
/// outcomes.
const ROLLOUT_INTERVAL: Millis = Millis(100);

/// A gateway without a heartbeat for this long counts as disconnected: twice the timeout of a watch.
const CONNECTED_WITHIN: Millis = Millis::seconds(2);

/// State of the leader's tasks, reset when it gains the leadership.
#[derive(Default)]
pub struct LeaderTasks {
    next_check: Time,
    next_repair: Time,
    next_write_off: Time,
    next_rollouts: Time,
    /// When each running rollout was started, on this process's monotonic clock.
    rollouts_ordered: BTreeMap<Index, Time>,
    /// Silent holders whose lapse was proposed.
    lapsed: BTreeSet<HolderId>,
}

impl<S: Storage, T> GroupMember<S, T> {
    /// Lapses silent routers and ends expired quarantines, if this member leads and a check is due.
    pub(crate) fn tick_leader_tasks(&mut self, at: ClockReading) {
        if !self.raft.is_leader() || at.now < self.leader_tasks.next_check {
            return;
        }
        self.leader_tasks.next_check = at.now.after(CHECK_INTERVAL);
        self.lapse_silent_routers(at);
        if self.state.quarantine().has_expired(at.wall) {
            self.propose_internal(at, &Command::EndQuarantines);
        }
    }

    /// Starts the next membership change that repairs the group, if this member leads and a change is
    /// needed.
    pub fn repair_group(
        &mut self,
        at: ClockReading,
        candidates: &Candidates,
        target_voters: usize,
    ) {
        if !self.raft.is_leader() || at.now < self.leader_tasks.next_repair {
            return;
        }
        self.leader_tasks.next_repair = at.now.after(REPAIR_INTERVAL);
        let committed = self.raft.committed();
        let followers: BTreeMap<_, _> = self.raft.followers().collect();
        let health = |n: NodeId| {
            let p = followers.get(&n);
            let silent_for = p.map_or(Millis(u64::MAX), |p| at.now.since(p.last_response));
            Health { silent_for, caught_up: p.is_some_and(|p| p.matched >= committed) }
        };
        let me = self.raft.id();
        let change = next_change(self.raft.members(), me, health, candidates, target_voters);
        let Some(change) = change else { return };
        // The change is refused while another one is in progress, and tried again later.
        if self.raft.propose_member_change(at.now, &change).is_ok() {
            emit!(Event::RepairStarted, change = format_args!("{change:?}"));
        }
    }

    /// Proposes a write-off for each lease holder whose successor has registered, if this member leads:
    /// the tokens that the holder cannot have spent become free.
    ///
    /// Times that began before this member led are measured by the wall clock. `margin` is its maximum
    /// error; holders that need it have to wait while it is `None`.
    pub fn write_off_dead_holders(&mut self, at: ClockReading, margin: Option<Millis>) {
        if !self.raft.is_leader() || at.now < self.leader_tasks.next_write_off {
            return;
        }
        self.leader_tasks.next_write_off = at.now.after(WRITE_OFF_INTERVAL);
        let dead: Vec<_> = self.state.holders_to_write_off().collect();
        let mut lines = MAX_BUDGET_LINES;
        for (holder, age) in dead {
            let reports = self.state.ledger().last_reports(holder);
            // The holder has spent nothing since its successor started, which is at least `age` ago.
            let span = |r: BoundsReport| {
                self.since_report(at, holder, r, margin).map(|s| longest_run(s, age))
            };
            if let (Some(last), Some(before)) = (span(reports.last), span(reports.before)) {
                let elapsed = Elapsed { last: Some(last), before: Some(before) };
                let WriteOff { counted, freed } =
                    self.state.ledger().write_off_amounts(holder, &elapsed);
                let parts = self.state.ledger().unreported_parts(holder, &elapsed);
                emit!(
                    Event::HolderWrittenOff,
                    holder = holder,
                    last_ms = last.0,
                    before_ms = before.0,
                    counted = counted,
                    freed = freed,
                    begun = parts.begun,
                    allowance = parts.allowance,
                    growth = parts.growth,
                );
                let budgets = self.state.ledger().write_offs(holder, &elapsed);
                for (budget, w) in budgets.filter(|(_, w)| w.counted > 0).take(lines) {
                    lines -= 1;
                    let (counted, freed) = (w.counted, w.freed);
                    let state = self.state.ledger().get(budget);
                    let prepaid = state.map_or(0, |state| state.funded);
                    let spent = state.map_or(0, |state| state.spent());
                    emit!(
                        Event::BudgetWrittenOff,
                        holder = holder,
                        budget = budget,
                        prepaid = prepaid,
                        spent = spent,
                        counted = counted,
                        freed = freed,
                    );
                }
                self.propose_internal(at, &Command::WriteOff { holder, elapsed });
            }
        }
    }

    /// Proposes the due steps of all running rollouts, if this member leads. A bad version may get at
    /// most `max_permille` of its service's requests.
    pub fn step_rollouts<W>(
        &mut self,
        at: ClockReading,
        view: &mut FleetView<W>,
        max_permille: u64,
    ) {
        if !self.raft.is_leader() || at.now < self.leader_tasks.next_rollouts {
            return;
        }
        self.leader_tasks.next_rollouts = at.now.after(ROLLOUT_INTERVAL);
        let under_way: Vec<_> =
            self.state.rollouts().iter().filter(|(_, r)| !r.stage.is_over()).collect();
        let orders: Vec<_> = under_way.iter().map(|(_, r)| r.order).collect();
        view.reports.retain_orders(&orders);
        let ordered_at = &mut self.leader_tasks.rollouts_ordered;
        ordered_at.retain(|order, _| orders.contains(order));
        let since = Time(at.now.0.saturating_sub(CONNECTED_WITHIN.0));
        let gateways = view.routers.count_since(since);
        let mut steps = Vec::new();
        for (service, r) in under_way {
            // A leader elected after the start measures the time since by the wall clock.
            let since_order = at.wall.since(r.ordered);
            let ordered =
                *ordered_at.entry(r.order).or_insert(Time(at.now.0.saturating_sub(since_order.0)));
            let progress: StepProgress = view.reports.progress(r.order, r.revision, since);
            let evidence = view.reports.evidence(r.order);
            let slots = view.registry.ready_slots(service);
            let elapsed = at.now.since(ordered);
            let v = View { elapsed, slots: &slots, evidence: &evidence, progress, gateways };
            steps.extend(step::next_step(service, r, &plan(r.within, max_permille), &v));
        }
        for s in steps {
            self.propose_internal(at, &Command::StepRollout(s));
        }
    }

    /// Returns the maximum time since a bounds report was recorded, or `None` while it is not known.
    fn since_report(
        &self,
        at: ClockReading,
        holder: HolderId,
        report: BoundsReport,
        margin: Option<Millis>,
    ) -> Option<Millis> {
        if report.seq == 0 {
            return Some(Millis(0));
        }
        let by_heartbeat = self.heartbeats.since_bounds_report(at.now, holder, report.seq);
        let by_clock = || margin.map(|m| Millis(at.wall.since(report.at).0 + m.0));
        by_heartbeat.or_else(by_clock)
    }

    /// Proposes to lapse the routers that have become silent: their open claims get an unknown outcome.
    fn lapse_silent_routers(&mut self, at: ClockReading) {
        let is_silent = |h: HolderId| self.heartbeats.since_last(at.now, h) >= CLAIM_HOLDER_TIMEOUT;
        let all: Vec<_> = self.state.routers().iter().map(|r| r.holder).collect();
        let (silent, live): (Vec<_>, Vec<_>) = all.into_iter().partition(|h| is_silent(*h));
        for h in live {
            self.leader_tasks.lapsed.remove(&h);
        }
        for h in silent {
            if self.leader_tasks.lapsed.insert(h) {
                emit!(Event::RouterExpired, holder = h);
                self.propose_internal(at, &Command::Lapse(h));
            }
        }
    }
}
