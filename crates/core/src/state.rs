//! The replicated state machine of a control group: the same commands in the same order result in
//! the same state.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::bill::Bills;
use crate::budget::{LeaseRequest, Ledger, Policy, Report};
use crate::claim::Claims;
use crate::code::Code;
use crate::command::{Answer, Command};
use crate::config::{Change, Config, Object, ObjectName};
use crate::fleet::departure::{Departure, Departures};
use crate::fleet::evacuation::Evacuations;
use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::quarantine::{Quarantine, QuarantineChange};
use crate::fleet::registry::ReplicaStatus;
use crate::fleet::rollout::Rollouts;
use crate::member::{Reserves, Router, Routers};
use crate::query::{BudgetStatus, LeaseStatus};
use crate::unit::{HolderId, Index, LeaseId, Millis, Time, Tokens, Version};

/// Number of operations on budgets whose answers are kept for resends.
const MAX_OPERATIONS: usize = 10_000;

/// The replicated state of a control group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    clock: Time,
    config: Config,
    ledger: Ledger,
    /// Tokens added to each configured budget by top-ups.
    topped_up: BTreeMap<String, Tokens>,
    bills: Bills,
    claims: Claims,
    routers: Routers,
    reserves: Reserves,
    operations: Operations,
    #[serde(default)]
    published: Published,
    /// Replaced holders whose leases are not written off yet, and how long the successor had been
    /// running when it registered.
    #[serde(default)]
    dead: BTreeMap<HolderId, Millis>,
    #[serde(default)]
    evacuations: Evacuations,
    #[serde(default)]
    departures: Departures,
    #[serde(default)]
    rollouts: Rollouts,
    #[serde(default)]
    quarantine: Quarantine,
    /// Changes by the last quarantine command, for logs.
    #[serde(skip)]
    quarantine_changes: Vec<(Fingerprint, QuarantineChange)>,
}

/// The document in force, and the budgets and services that it declares.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Published {
    version: Version,
    source: Arc<str>,
    budgets: BTreeMap<String, Tokens>,
    #[serde(default)]
    services: BTreeSet<String>,
}

/// The latest operations on budgets and their answers, by operation id.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Operations {
    answers: BTreeMap<String, (Command, Answer)>,
    order: VecDeque<String>,
}

impl Operations {
    /// Returns the answer to this operation if it was executed before, or a rejection if its id was
    /// used for another one.
    fn find(&self, op: &str, c: &Command) -> Option<Answer> {
        let (first, answer) = self.answers.get(op)?;
        Some(if first == c { answer.clone() } else { Answer::Refused(Code::OperationReused) })
    }

    /// Records an answer and drops the oldest one beyond `MAX_OPERATIONS`.
    fn record(&mut self, op: &str, c: &Command, a: &Answer) {
        if self.order.len() == MAX_OPERATIONS
            && let Some(old) = self.order.pop_front()
        {
            self.answers.remove(&old);
        }
        self.order.push_back(op.to_owned());
        self.answers.insert(op.to_owned(), (c.clone(), a.clone()));
    }
}

fn done_or_refused(result: Result<(), Code>) -> Answer {
    result.map_or_else(Answer::Refused, |()| Answer::Done)
}

impl State {
    /// Applies the command at log position `pos`, which the leader proposed at time `at`, and returns
    /// its answer. An `at` earlier than that of a previous command counts as the latter, so that time
    /// never goes back.
    pub fn apply(&mut self, at: Time, pos: LeaseId, c: &Command) -> Answer {
        self.clock = self.clock.max(at);
        let now = self.clock;
        match c {
            Command::Register { vm, data_centre, address, nonce, age, link } => {
                let holder = HolderId(pos.index);
                let (vm, data_centre) = (vm.clone(), data_centre.clone());
                let (address, nonce, link) = (address.clone(), *nonce, link.clone());
                let r = Router { holder, vm, data_centre, address, nonce, leaving: false, link };
                self.register(now, r, *age)
            }
            Command::Enlist { vm, nonce } => {
                let new_holder = HolderId(pos.index);
                Answer::Registered(self.reserves.register(vm, *nonce, new_holder))
            }
            Command::Leave(h) => {
                self.routers.leave(*h);
                Answer::Done
            }
            Command::Gone(h) => {
                self.routers.remove(*h);
                self.ledger.remove_holder(*h);
                self.claims.abandon(now, *h);
                Answer::Done
            }
            Command::Lapse(h) => {
                self.claims.abandon(now, *h);
                Answer::Done
            }
            Command::Ask(request) => self.request_lease(now, pos, request),
            Command::Tally { holder, reports, batch, bills, seq, after, bounds } => {
                let known = self.record_reports(now, *holder, reports);
                if *seq > 0 {
                    self.ledger.record_bounds(*holder, at, *seq, *after, bounds);
                }
                let postings = match batch {
                    0 => Vec::new(),
                    n => self.bills.post_batch(now, *holder, *n, bills),
                };
                Answer::Tallied { known, postings }
            }
            Command::Claim { holder, seq, id, body } => {
                if self.routers.get(*holder).is_none() {
                    return Answer::Refused(Code::HolderStale);
                }
                Answer::Claimed(self.claims.claim(now, *holder, *seq, *id, *body))
            }
            Command::Conclude { holder, seq, id, end } => {
                self.claims.record_end(now, *holder, *seq, *id, end.clone());
                Answer::Done
            }
            Command::Apply(change) => self.apply_change(now, change),
            Command::TopUp { op, budget, tokens } => {
                self.run_once(op, c, |s| s.top_up(budget, *tokens))
            }
            Command::Release { op, lease } => self.run_once(op, c, |s| s.release(*lease)),
            Command::WriteOff { holder, elapsed } => {
                if self.dead.remove(holder).is_some() {
                    self.ledger.write_off(*holder, elapsed);
                }
                Answer::Done
            }
            Command::Evacuate { data_centre, evacuate } => {
                self.evacuations.apply(pos.index, data_centre, *evacuate);
                Answer::Done
            }
            Command::Depart { standing, .. } if *standing < ReplicaStatus::Draining => {
                Answer::Refused(Code::MessageBad)
            }
            Command::Depart { replica, registration, standing } => {
                let (replica, registration) = (replica.clone(), registration.clone());
                let d = Departure { replica, registration, standing: *standing, at: now };
                self.departures.record(pos.index, d);
                Answer::Done
            }
            Command::StartRollout { service, version, within } => {
                self.start_rollout(now, pos.index, service, version, *within)
            }
            Command::AbortRollout(service) => {
                done_or_refused(self.rollouts.abort(pos.index, service))
            }
            Command::StepRollout(step) => {
                self.rollouts.advance(pos.index, step);
                Answer::Done
            }
            Command::Ended(ended) => {
                self.quarantine_changes =
                    self.quarantine.record_terminations(now, pos.index, ended);
                Answer::Done
            }
            Command::Survived(all) => {
                self.quarantine_changes = self.quarantine.record_completions(now, pos.index, all);
                Answer::Done
            }
            Command::LiftQuarantine(f) => {
                self.quarantine_changes = self.quarantine.lift(now, pos.index, *f);
                Answer::Done
            }
            Command::EndQuarantines => {
                self.quarantine_changes = self.quarantine.release_expired(now, pos.index);
                Answer::Done
            }
            Command::Publish { version, source, budgets, services } => {
                if *version > self.published.version {
                    self.publish(*version, source, budgets);
                    self.published.services = services.iter().cloned().collect();
                }
                Answer::Published(self.published.version)
            }
        }
    }

    fn start_rollout(
        &mut self,
        now: Time,
        pos: Index,
        service: &str,
        version: &str,
        within: Millis,
    ) -> Answer {
        if !self.declares_service(service) {
            return Answer::Refused(Code::RolloutBad);
        }
        done_or_refused(self.rollouts.start(now, pos, service, version, within))
    }

    /// Runs an operation, or returns its first answer if it is a resend.
    fn run_once(
        &mut self,
        op: &str,
        c: &Command,
        run: impl FnOnce(&mut State) -> Answer,
    ) -> Answer {
        if let Some(first) = self.operations.find(op, c) {
            return first;
        }
        let answer = run(self);
        self.operations.record(op, c, &answer);
        answer
    }

    /// Registers a router. One that it replaces on the same `Vm` loses its leases and claims.
    fn register(&mut self, now: Time, r: Router, age: Millis) -> Answer {
        let (holder, replaced) = self.routers.register(r);
        if let Some(old) = replaced {
            self.dead.insert(old, age);
            self.ledger.remove_holder(old);
            self.claims.abandon(now, old);
        }
        Answer::Registered(holder)
    }

    fn request_lease(&mut self, now: Time, pos: LeaseId, request: &LeaseRequest) -> Answer {
        if self.holder_name(request.holder).is_none() {
            return Answer::Refused(Code::HolderStale);
        }
        if !self.may_grant(&request.budget) {
            return Answer::Refused(Code::AccountClosed);
        }
        match self.ledger.request_lease(now, pos, request) {
            Some(decision) => Answer::Decided(decision),
            None => Answer::Refused(Code::BudgetUnknown),
        }
    }

    /// Returns the display name of a holder, if it is registered.
    fn holder_name(&self, holder: HolderId) -> Option<String> {
        let router = self.routers.get(holder).map(|r| r.vm.clone());
        router.or_else(|| self.reserves.vm(holder).map(|vm| format!("reserve on {vm}")))
    }

    /// Returns whether the budget exists and its client account is not closed.
    fn may_grant(&self, budget: &str) -> bool {
        if self.published.budgets.contains_key(budget) {
            return true;
        }
        let Some(Object::Budget(b)) = self.config.object(&ObjectName::budget(budget)) else {
            return false;
        };
        let account = self.config.object(&ObjectName::account(&b.client_account));
        matches!(account, Some(Object::Account(a)) if !a.closed)
    }

    /// Applies reports of a holder. Returns for each whether its lease is known.
    fn record_reports(&mut self, now: Time, holder: HolderId, reports: &[Report]) -> Vec<bool> {
        reports.iter().map(|r| self.ledger.apply_report(now, holder, r)).collect()
    }

    /// Applies a configuration change and updates the ledger.
    fn apply_change(&mut self, now: Time, change: &Change) -> Answer {
        let before = self.config.version();
        let spent = |b: &str| self.ledger.get(b).map_or(0, |s| s.spent());
        let topped_up = |b: &str| self.topped_up.get(b).copied().unwrap_or(0);
        let spent_of_prepaid = |b: &str| spent(b).saturating_sub(topped_up(b));
        let result = self.config.apply(now, change, spent_of_prepaid);
        if result.is_ok() {
            self.fund_changed_budgets(before);
        }
        Answer::Applied(result)
    }

    /// Updates the ledger with the budgets that were changed or removed after version `before`.
    fn fund_changed_budgets(&mut self, before: Version) {
        for (name, object) in self.config.difference(before).objects {
            if ObjectName::budget(&name.name) != name {
                continue;
            }
            match object {
                Some(Object::Budget(b)) => {
                    let extra = self.topped_up.get(&name.name).copied().unwrap_or(0);
                    self.ledger.fund(&name.name, b.tokens + extra, b.policy());
                }
                _ => self.ledger.fund(&name.name, 0, Default::default()),
            }
        }
    }

    /// Adds tokens to a budget and returns its new total.
    fn top_up(&mut self, budget: &str, tokens: Tokens) -> Answer {
        let Some(b) = self.ledger.get(budget) else {
            return Answer::Refused(Code::BudgetUnknown);
        };
        let Some(funded) = b.funded.checked_add(tokens) else {
            return Answer::Refused(Code::ParameterBad);
        };
        let policy = b.policy;
        *self.topped_up.entry(budget.to_owned()).or_default() += tokens;
        self.ledger.fund(budget, funded, policy);
        Answer::Funded(funded)
    }

    /// Puts a document in force. Budgets that it no longer declares are set to 0 tokens but stay in
    /// the ledger.
    fn publish(&mut self, version: Version, source: &str, budgets: &[(String, Tokens)]) {
        let budgets: BTreeMap<String, Tokens> = budgets.iter().cloned().collect();
        let old = std::mem::take(&mut self.published.budgets);
        for name in old.keys().filter(|n| !budgets.contains_key(*n)) {
            self.ledger.fund(name, 0, Policy::default());
        }
        for (name, tokens) in &budgets {
            self.ledger.fund(name, *tokens, Policy::for_prepaid(*tokens));
        }
        let services = BTreeSet::new();
        self.published = Published { version, source: Arc::from(source), budgets, services };
    }

    /// Returns the version of the document in force, 0 if there is none, and its source text.
    pub fn published(&self) -> (Version, &Arc<str>) {
        (self.published.version, &self.published.source)
    }

    /// Returns whether the document in force declares a service; true if no document is in force or
    /// it declares no services.
    pub fn declares_service(&self, service: &str) -> bool {
        self.published.services.is_empty() || self.published.services.contains(service)
    }

    /// Returns the replicas that have recently announced that they drain or leave.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Returns the evacuated data centres.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the rollouts of all services.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Returns the quarantined and suspect requests.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Removes and returns the changes of the quarantine by the last command that affected it.
    pub fn take_quarantine_changes(&mut self) -> Vec<(Fingerprint, QuarantineChange)> {
        std::mem::take(&mut self.quarantine_changes)
    }

    /// Closes a lease and returns the number of unreported tokens that it frees.
    fn release(&mut self, lease: LeaseId) -> Answer {
        match self.ledger.release(lease) {
            Some(tokens) => Answer::Released(tokens),
            None => Answer::Refused(Code::LeaseUnknown),
        }
    }

    /// Iterates over the replaced holders whose leases are not written off yet, each with the minimum
    /// time that its successor had been running when it registered.
    pub fn holders_to_write_off(&self) -> impl Iterator<Item = (HolderId, Millis)> {
        self.dead.iter().map(|(holder, age)| (*holder, *age))
    }

    /// Returns the latest time of an applied command.
    pub fn clock(&self) -> Time {
        self.clock
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the ledger of the budgets.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the bills.
    pub fn bills(&self) -> &Bills {
        &self.bills
    }

    /// Returns the claims.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the registered routers.
    pub fn routers(&self) -> &Routers {
        &self.routers
    }

    /// Returns the status of all budgets, or of budget `only`.
    pub fn budgets(&self, now: Time, only: Option<&str>) -> Vec<BudgetStatus> {
        let is_selected = |n: &str| only.is_none_or(|o| o == n);
        self.ledger
            .iter()
            .filter(|(n, _)| is_selected(n))
            .map(|(n, _)| self.budget_status(now, n))
            .collect()
    }

    fn budget_status(&self, now: Time, name: &str) -> BudgetStatus {
        let b = self.ledger.get(name).cloned().unwrap_or_default();
        let client_account = match self.config.object(&ObjectName::budget(name)) {
            Some(Object::Budget(o)) => o.client_account.clone(),
            _ => String::new(),
        };
        BudgetStatus {
            name: name.to_owned(),
            client_account,
            funded: b.funded,
            spent: b.spent(),
            held: b.open_tokens(),
            stranded: b.stranded(now),
            free: b.free(),
            total: self.bills.total(name),
        }
    }

    /// Returns the open leases of a budget, none if the budget is unknown.
    pub fn leases(&self, now: Time, budget: &str) -> Vec<LeaseStatus> {
        let Some(b) = self.ledger.get(budget) else { return Vec::new() };
        b.leases()
            .map(|(id, l)| LeaseStatus {
                id: *id,
                vm: self.holder_name(l.holder),
                lease: *l,
                left_ms: l.end.since(now).0,
            })
            .collect()
    }
}
