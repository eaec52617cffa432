//! Leased budget slices and unsent bills of one registration, with their requests and reports to
//! the control group and the data centre's reserve.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::bill::Bill;
use cypressfork_core::budget::{
    Bound, LeaseRequest, Policy, Report, Reservation, ReserveAnswer, ReserveCommand, Shortage,
};
use cypressfork_core::code::Code;
use cypressfork_core::command::{Answer, Command};
use cypressfork_core::fleet::peer::Shortfall;
use cypressfork_core::unit::{HolderId, Millis, Time, Tokens};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::group::GroupClient;
use cypressfork_node::metric;
use cypressfork_node::time::Clock;
use cypressfork_wire::{Ask as WireAsk, body};
use metrics::histogram;
use tokio::sync::{Mutex, Notify};
use tokio::time::{Instant, sleep, timeout_at};

use crate::budget_slices::{BudgetSlices, SlicesByBudget};
use crate::reply::Refusal;
use crate::reservation_result::{
    Available, Grantor, LeaseOutcome, PartialReservation, UNREACHABLE_RETRY_AFTER, is_unreachable,
    lease_refusal, wait_or_refusal,
};

/// Maximum number of bills in one report.
const MAX_BATCH: usize = 512;

/// Timeout of a lease request to the control group, after which the reserve is tried.
const LEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a lease request or a report to the reserve.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a report to the control group, which is answered once it is committed.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Retry delay for a budget that is short of tokens for an unknown reason.
const BUSY_RETRY_AFTER: Millis = Millis(700);

/// Age of the last accepted report from which on reports count as unanswered: the shortest interval between
/// two, and the time of an answer. Before that a report is likely to raise a limit sooner than its growth.
const REPORTS_UNANSWERED: Millis = Millis(350);

/// The leased tokens and unsent bills of one registration.
pub struct TokenStore {
    holder: HolderId,
    group: GroupClient,
    reserve: Option<GroupClient>,
    clock: Clock,
    group_slices: SlicesByBudget,
    reserve_slices: SlicesByBudget,
    /// Whether the last request to the control group failed.
    group_unreachable: Cell<bool>,
    bills: RefCell<VecDeque<Bill>>,
    /// Number and bills of the batch being sent, unchanged until it is acknowledged.
    batch: RefCell<(u64, Vec<Bill>)>,
    report_due: Notify,
    retired: Cell<bool>,
    /// Sequence numbers of the last report of bounds and of the last one known to be accepted.
    bound_seq: Cell<(u64, u64)>,
    report_lock: Mutex<()>,
    /// When the last report of bounds was accepted.
    bounds_accepted: Cell<Time>,
}

impl TokenStore {
    /// Creates an empty token store for a new registration.
    pub fn new(
        holder: HolderId,
        group: GroupClient,
        reserve: Option<GroupClient>,
        clock: Clock,
    ) -> TokenStore {
        TokenStore {
            holder,
            group,
            reserve,
            clock,
            group_slices: SlicesByBudget::default(),
            reserve_slices: SlicesByBudget::default(),
            group_unreachable: Cell::new(false),
            bills: RefCell::default(),
            batch: RefCell::default(),
            report_due: Notify::new(),
            retired: Cell::new(false),
            bound_seq: Cell::new((0, 0)),
            report_lock: Mutex::new(()),
            bounds_accepted: Cell::default(),
        }
    }

    /// Returns the id of the registration.
    pub fn holder(&self) -> HolderId {
        self.holder
    }

    /// Retires the store because another registration has replaced it. It returns its idle tokens
    /// and keeps reporting what its running requests spend.
    pub fn retire(&self) {
        self.retired.set(true);
        self.return_all_idle();
    }

    /// Records whether the control group is unreachable. Once it is reachable again, idle tokens of
    /// the reserve are returned.
    pub fn set_group_unreachable(&self, unreachable: bool) {
        if self.group_unreachable.replace(unreachable) && !unreachable {
            // The reserve is only for times when the group is unreachable.
            self.reserve_slices.return_all_idle();
            self.report_due.notify_one();
        }
    }

    /// Reserves `n` tokens of a budget and begins to spend them. Requests more from the control group if too
    /// few are idle, or from the reserve if the group is unreachable, and waits no longer than `deadline`.
    ///
    /// Returns the reservation and its grantor, or the refusal for the caller.
    pub async fn reserve(
        self: &Rc<Self>,
        budget: &str,
        policy: Policy,
        n: Tokens,
        deadline: Instant,
    ) -> Result<(Grantor, Reservation), Refusal> {
        self.reserve_with(budget, policy, n, deadline, || false).await
    }

    /// Like [`TokenStore::reserve`], for a request that calls [`TokenStore::begin`] before any of its response
    /// is forwarded. While reports are not being answered it begins at once: a replica would run it in vain.
    pub async fn set_aside(
        self: &Rc<Self>,
        budget: &str,
        policy: Policy,
        n: Tokens,
        deadline: Instant,
    ) -> Result<(Grantor, Reservation), Refusal> {
        self.reserve_with(budget, policy, n, deadline, || self.reports_are_answered()).await
    }

    /// Begins to spend reserved tokens, after waiting until `deadline` at most for a limit that allows them.
    /// Returns false if there is none.
    pub async fn begin(
        &self,
        grantor: Grantor,
        budget: &str,
        r: &mut Reservation,
        deadline: Instant,
    ) -> bool {
        let Some(entry) = self.slices_of(grantor).get(budget) else { return true };
        loop {
            let now = self.clock.now();
            if entry.slices.borrow_mut().begin(now, r) {
                return true;
            }
            let n = r.amount();
            let growth_time = entry.slices.borrow().limit_growth_time(now, n);
            let allowed_at = at_latest(growth_time, deadline);
            if self.wait_for_limit(&entry, n, allowed_at, deadline).await.is_err() {
                return false;
            }
        }
    }

    /// Returns whether the control group has accepted a report lately.
    fn reports_are_answered(&self) -> bool {
        self.clock.now().since(self.bounds_accepted.get()) < REPORTS_UNANSWERED
    }

    /// Reserves tokens. They are spent at once unless `is_set_aside` returns true.
    async fn reserve_with(
        self: &Rc<Self>,
        budget: &str,
        policy: Policy,
        n: Tokens,
        deadline: Instant,
        is_set_aside: impl Fn() -> bool,
    ) -> Result<(Grantor, Reservation), Refusal> {
        let entry = self.group_slices.get_or_create(budget, policy);
        loop {
            let now = self.clock.now();
            let found = match is_set_aside() {
                true => entry.slices.borrow_mut().set_aside(now, n),
                false => entry.slices.borrow_mut().reserve(now, n),
            };
            if let Some(r) = found {
                self.refill(budget, &entry);
                return Ok((Grantor::Group, r));
            }
            if self.is_limited(&entry, now, n) {
                let allowed_at = self.limit_allows_at(&entry, now, n, deadline);
                if allowed_at.is_some() || !self.group_unreachable.get() {
                    self.wait_for_limit(&entry, n, allowed_at, deadline).await?;
                    continue;
                }
            }
            if self.group_unreachable.get() {
                return self.reserve_from_data_centre(budget, policy, n, deadline).await;
            }
            if !entry.request_in_flight.get() {
                self.start_lease_request(budget, &entry, n);
            }
            let changed = timeout_at(deadline, entry.changed.notified()).await;
            changed.map_err(|_| Refusal::from(Code::BudgetBusy).retry_after(Millis::seconds(1)))?;
            let wait = match entry.last_outcome.take() {
                Some(LeaseOutcome::Decided(Err(s))) => wait_or_refusal(s)?,
                Some(LeaseOutcome::Refused(code)) if !is_unreachable(code) => {
                    return Err(lease_refusal(code));
                }
                // Tokens became available, or another waiting request has taken the answer.
                _ => continue,
            };
            let until = Instant::now() + Duration::from_millis(wait.0);
            if until >= deadline {
                return Err(Refusal::from(Code::BudgetBusy).retry_after(wait));
            }
            // The wait ends early when running requests return tokens.
            let _ = timeout_at(until, entry.changed.notified()).await;
        }
    }

    /// Returns whether `n` tokens are idle but the spending limit does not allow them.
    fn is_limited(&self, entry: &BudgetSlices, now: Time, n: Tokens) -> bool {
        let slices = entry.slices.borrow();
        slices.idle(now) >= n && slices.exceeds_limit(now, n)
    }

    /// Returns when the current limit allows `n` more tokens, if that is no later than `deadline`.
    fn limit_allows_at(
        &self,
        entry: &BudgetSlices,
        now: Time,
        n: Tokens,
        deadline: Instant,
    ) -> Option<Instant> {
        at_latest(entry.slices.borrow().limit_wait(now, n), deadline)
    }

    /// Requests a limit that allows `n` more tokens and waits for the grantor to accept it, until
    /// `allowed_at` at most, when the current limit allows them. Without `allowed_at`, returns
    /// `BudgetBusy` at `deadline`.
    async fn wait_for_limit(
        &self,
        entry: &BudgetSlices,
        n: Tokens,
        allowed_at: Option<Instant>,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        entry.slices.borrow_mut().add_limit_demand(n);
        self.report_due.notify_one();
        let accepted = timeout_at(allowed_at.unwrap_or(deadline), entry.changed.notified()).await;
        entry.slices.borrow_mut().remove_limit_demand(n);
        if accepted.is_err() && allowed_at.is_none() {
            let wait = self.limit_retry_after(entry, n).unwrap_or(Millis::seconds(1));
            return Err(Refusal::from(Code::BudgetBusy).retry_after(wait));
        }
        Ok(())
    }

    /// Returns after what time a caller should retry because the spending limit does not allow `n` more
    /// tokens: when the growing limit allows them, or sooner if reports are being answered. `None` if
    /// something else is missing.
    fn limit_retry_after(&self, entry: &BudgetSlices, n: Tokens) -> Option<Millis> {
        let wait = entry.slices.borrow().limit_wait(self.clock.now(), n)?;
        Some(if self.reports_are_answered() { wait.min(BUSY_RETRY_AFTER) } else { wait })
    }

    /// Reserves `n` tokens of the data centre's reserve. Sends it one request at most: the reserve
    /// cannot recall tokens from other holders, so a second request would not get more.
    async fn reserve_from_data_centre(
        &self,
        budget: &str,
        policy: Policy,
        n: Tokens,
        deadline: Instant,
    ) -> Result<(Grantor, Reservation), Refusal> {
        let entry = self.reserve_slices.get_or_create(budget, policy);
        let unreachable =
            || Refusal::from(Code::BudgetUnreachable).retry_after(UNREACHABLE_RETRY_AFTER);
        for _ in 0..2 {
            let now = self.clock.now();
            let found = entry.slices.borrow_mut().reserve(now, n);
            if let Some(r) = found {
                return Ok((Grantor::Reserve, r));
            }
            let request = entry.slices.borrow_mut().next_request(now, self.holder, budget, n);
            let (Some(group), Some(request)) = (&self.reserve, request) else { break };
            emit!(Event::ReserveUsed, budget = budget, tokens = n);
            let timeout = RESERVE_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
            let seq = request.seq;
            match send_to_reserve(group, &ReserveCommand::Ask(request), timeout).await {
                Ok(ReserveAnswer::Decided(d)) => entry.slices.borrow_mut().apply_decision(seq, &d),
                _ => break,
            }
        }
        Err(unreachable())
    }

    /// Requests a lease in the background. The answer reaches other waiting requests even if the
    /// one that needed it has timed out.
    fn start_lease_request(self: &Rc<Self>, budget: &str, entry: &Rc<BudgetSlices>, need: Tokens) {
        entry.request_in_flight.set(true);
        entry.last_outcome.set(None);
        let (store, entry, budget) = (self.clone(), entry.clone(), budget.to_owned());
        actix_rt::spawn(async move {
            let outcome = store.request_lease(&budget, &entry, need).await;
            if matches!(outcome, LeaseOutcome::Refused(code) if is_unreachable(code)) {
                store.set_group_unreachable(true);
            }
            entry.last_outcome.set(Some(outcome));
            entry.request_in_flight.set(false);
            entry.changed.notify_waiters();
        });
    }

    async fn request_lease(
        &self,
        budget: &str,
        entry: &BudgetSlices,
        need: Tokens,
    ) -> LeaseOutcome {
        let now = self.clock.now();
        let request = entry.slices.borrow_mut().next_request(now, self.holder, budget, need);
        let Some(request) = request else {
            return LeaseOutcome::Decided(Err(Shortage::Busy(Millis(1))));
        };
        self.send_lease_request(entry, request, LEASE_TIMEOUT).await
    }

    async fn send_lease_request(
        &self,
        entry: &BudgetSlices,
        request: LeaseRequest,
        timeout: Duration,
    ) -> LeaseOutcome {
        let seq = request.seq;
        match self.group.command(&Command::Ask(request), timeout).await {
            Ok(Answer::Decided(d)) => {
                entry.slices.borrow_mut().apply_decision(seq, &d);
                LeaseOutcome::Decided(d)
            }
            Ok(Answer::Refused(code)) => {
                entry.slices.borrow_mut().apply_decision(seq, &Err(Shortage::Spent));
                LeaseOutcome::Refused(code)
            }
            Ok(_) => LeaseOutcome::Refused(Code::MessageBad),
            Err(code) => LeaseOutcome::Refused(code),
        }
    }

    /// Requests more tokens in the background if few are idle.
    fn refill(self: &Rc<Self>, budget: &str, entry: &Rc<BudgetSlices>) {
        if entry.request_in_flight.get() || self.group_unreachable.get() {
            return;
        }
        let is_low = entry.slices.borrow_mut().is_low(self.clock.now());
        if is_low {
            self.start_lease_request(budget, entry, 0);
        }
    }

    /// Reserves `n` tokens, waiting for them until `until`; if too few become available, reserves
    /// the idle ones. Returns the reservation and the reason for a shortfall.
    pub async fn reserve_up_to(
        self: &Rc<Self>,
        budget: &str,
        policy: Policy,
        n: Tokens,
        until: Instant,
    ) -> PartialReservation {
        let refusal = match self.reserve(budget, policy, n, until).await {
            Ok(part) => return PartialReservation { reserved: Some(part), shortfall: None },
            Err(refusal) => refusal,
        };
        let available = self.reserve_available(budget, policy, n);
        let shortfall = match (refusal.code, available.shortfall) {
            (Code::BudgetSpent, _) => Some(Shortfall::Spent),
            (_, Some(Shortfall::Busy(_))) => {
                Some(Shortfall::Busy(refusal.retry_after.unwrap_or(BUSY_RETRY_AFTER)))
            }
            (_, shortfall) => shortfall,
        };
        PartialReservation { shortfall, ..available }
    }

    /// Reserves up to `n` idle tokens without waiting. Returns the reservation and the reason for a
    /// shortfall.
    pub fn reserve_available(&self, budget: &str, policy: Policy, n: Tokens) -> PartialReservation {
        let entry = self.group_slices.get_or_create(budget, policy);
        let wait = self.limit_retry_after(&entry, n);
        let reserved = self.reserve_part(budget, policy, n).map(|r| (Grantor::Group, r));
        let is_whole = reserved.as_ref().is_some_and(|(_, r)| r.amount() == n);
        let shortfall = wait.map_or(Shortfall::Busy(BUSY_RETRY_AFTER), Shortfall::Limited);
        PartialReservation { reserved, shortfall: (!is_whole).then_some(shortfall) }
    }

    /// Gives the idle tokens of the budgets that `matches` selects back to the control group with a
    /// report that is sent immediately.
    pub fn return_idle_where(&self, matches: impl Fn(&str) -> bool) {
        if self.group_slices.return_idle_where(matches) {
            self.report_due.notify_one();
        }
    }

    /// Reserves up to `n` idle tokens of a budget. Returns `None` if none are available.
    pub fn reserve_part(&self, budget: &str, policy: Policy, n: Tokens) -> Option<Reservation> {
        let entry = self.group_slices.get_or_create(budget, policy);
        let mut slices = entry.slices.borrow_mut();
        slices.reserve_part(self.clock.now(), n)
    }

    /// Returns what a budget has for a request of `n` tokens that was refused.
    pub fn available(&self, budget: &str, policy: Policy, n: Tokens) -> Available {
        let now = self.clock.now();
        let entry = self.group_slices.get_or_create(budget, policy);
        let limit_retry_after = self.limit_retry_after(&entry, n);
        let slices = entry.slices.borrow();
        let (idle, allowed) = (slices.idle(now), slices.limit_remaining(now));
        Available { idle, allowed, limit_retry_after }
    }

    /// Settles a reservation of which `used` tokens were spent. Returns the tokens charged.
    pub fn settle(&self, grantor: Grantor, budget: &str, r: Reservation, used: Tokens) -> Tokens {
        self.slices_of(grantor).settle(self.clock.now(), budget, r, used)
    }

    fn slices_of(&self, grantor: Grantor) -> &SlicesByBudget {
        match grantor {
            Grantor::Group => &self.group_slices,
            Grantor::Reserve => &self.reserve_slices,
        }
    }

    /// Queues a bill for the next reports.
    pub fn add_bill(&self, b: Bill) {
        self.bills.borrow_mut().push_back(b);
    }

    /// Gives the idle tokens of a budget back to the control group with a report that is sent
    /// immediately.
    pub fn return_idle(&self, budget: &str) {
        self.group_slices.return_idle(budget);
        self.report_due.notify_one();
    }

    /// Gives all idle tokens back to the control group and the reserve with reports that are sent
    /// immediately.
    pub fn return_all_idle(&self) {
        self.group_slices.return_all_idle();
        self.reserve_slices.return_all_idle();
        self.report_due.notify_one();
    }

    /// Returns whether there are no leases and no unacknowledged bills.
    pub fn is_settled(&self) -> bool {
        let all_sent = self.bills.borrow().is_empty() && self.batch.borrow().1.is_empty();
        all_sent && self.group_slices.is_empty() && self.reserve_slices.is_empty()
    }

    /// Sends reports after each `interval` and whenever tokens are to be given back or a higher limit
    /// is needed. Returns once the store is retired, settled and used by nothing else.
    pub async fn send_reports_forever(self: Rc<Self>, interval: impl Fn() -> Duration) {
        loop {
            tokio::select! {
                () = sleep(interval()) => {}
                () = self.report_due.notified() => {}
            }
            tokio::join!(self.send_reports(), self.send_reserve_reports());
            if self.retired.get() && self.is_settled() && Rc::strong_count(&self) == 1 {
                return;
            }
        }
    }

    /// Sends reports, bills and bounds to the control group once. What is not acknowledged is sent
    /// again the next time.
    pub async fn send_reports(&self) {
        // Only one report of bounds may be in progress.
        let _guard = self.report_lock.lock().await;
        let now = self.clock.now();
        let reports = self.group_slices.reports(now);
        let bounds = self.group_slices.bounds(now);
        let (batch, bills) = self.next_batch();
        if reports.is_empty() && bills.is_empty() && bounds.is_empty() {
            return;
        }
        let (seq, after) = self.next_bound_seq(&bounds);
        let without_budgets = without_budgets(&reports);
        let holder = self.holder;
        let c = Command::Tally {
            holder,
            reports: without_budgets,
            batch,
            bills,
            seq,
            after,
            bounds: bounds.clone(),
        };
        let started = Instant::now();
        if let Ok(Answer::Tallied { known, .. }) = self.group.command(&c, REPORT_TIMEOUT).await {
            histogram!(metric::REPORT).record(started.elapsed());
            self.group_slices.acknowledge(now, &reports, &known);
            self.batch.borrow_mut().1.clear();
            if seq > 0 {
                self.bound_seq.set((seq, seq));
                self.bounds_accepted.set(self.clock.now());
                self.group_slices.confirm_bounds(self.clock.now(), &bounds);
            }
        }
    }

    /// Returns the sequence numbers of the next report of bounds (0 without bounds) and of the last
    /// one known to be accepted. A number is never reused: a report without an answer may have been
    /// accepted.
    fn next_bound_seq(&self, bounds: &[Bound]) -> (u64, u64) {
        let (last, accepted) = self.bound_seq.get();
        if bounds.is_empty() {
            return (0, accepted);
        }
        self.bound_seq.set((last + 1, accepted));
        (last + 1, accepted)
    }

    /// Sends reports to the data centre's reserve once.
    pub async fn send_reserve_reports(&self) {
        let now: Time = self.clock.now();
        let reports = self.reserve_slices.reports(now);
        let Some(group) = self.reserve.as_ref().filter(|_| !reports.is_empty()) else { return };
        let report = ReserveCommand::Report(self.holder, without_budgets(&reports));
        if let Ok(ReserveAnswer::Reported(known)) =
            send_to_reserve(group, &report, RESERVE_TIMEOUT).await
        {
            self.reserve_slices.acknowledge(now, &reports, &known);
        }
    }

    /// Returns the unacknowledged batch of bills, or a new one; number 0 if there are no bills.
    fn next_batch(&self) -> (u64, Vec<Bill>) {
        let mut batch = self.batch.borrow_mut();
        let mut bills = self.bills.borrow_mut();
        if batch.1.is_empty() && !bills.is_empty() {
            let n = bills.len().min(MAX_BATCH);
            batch.0 += 1;
            batch.1 = bills.drain(..n).collect();
        }
        if batch.1.is_empty() { (0, Vec::new()) } else { batch.clone() }
    }
}

/// Returns the time after `span`, if that is no later than `deadline`.
fn at_latest(span: Option<Millis>, deadline: Instant) -> Option<Instant> {
    let at = Instant::now() + Duration::from_millis(span?.0);
    (at <= deadline).then_some(at)
}

fn without_budgets(reports: &[(String, Report)]) -> Vec<Report> {
    reports.iter().map(|(_, r)| *r).collect()
}

/// Sends a command to the reserve and returns its answer.
async fn send_to_reserve(
    group: &GroupClient,
    c: &ReserveCommand,
    timeout: Duration,
) -> Result<ReserveAnswer, Code> {
    let bytes = group.call(WireAsk::Reserve(body::pack(c)), timeout).await?;
    body::unpack(&bytes).map_err(|_| Code::MessageBad)
}
