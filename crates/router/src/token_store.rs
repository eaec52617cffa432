//! The router's slices of budgets, the bills that wait, and their talk with the control group and
//! the data centre's reserve.

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
use cypressfork_core::fleet::share::Shortfall;
use cypressfork_core::unit::{HolderId, Millis, Time, Tokens};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::group::Group;
use cypressfork_node::metric;
use cypressfork_node::time::Clock;
use cypressfork_wire::{Ask as WireAsk, body};
use metrics::histogram;
use tokio::sync::{Mutex, Notify};
use tokio::time::{Instant, sleep, timeout_at};

use crate::budget_slices::{BudgetSlices, SlicesByBudget};
use crate::reply::Refusal;
use crate::taken::{Asked, Source, Taken, UNREACHABLE_AFTER, busy, is_away, refusal};

/// Bills in one tally at most.
const BATCH: usize = 512;

/// How long an ask waits for the control group before the reserve is tried.
const ASK_WITHIN: Duration = Duration::from_secs(2);

/// How long an ask or a report waits for the reserve.
const RESERVE_WITHIN: Duration = Duration::from_secs(1);

/// How long a tally waits for its commit.
const TALLY_WITHIN: Duration = Duration::from_secs(5);

/// When to come back to a budget that is short for no reason known.
const BUSY_AFTER: Millis = Millis(700);

/// The tokens in hand under one registration.
pub struct TokenStore {
    holder: HolderId,
    group: Group,
    reserve: Option<Group>,
    clock: Clock,
    own: SlicesByBudget,
    spare: SlicesByBudget,
    /// The control group did not answer when it was last asked.
    away: Cell<bool>,
    bills: RefCell<VecDeque<Bill>>,
    /// The batch that is being told, unchanged until it is acknowledged, and its number.
    batch: RefCell<(u64, Vec<Bill>)>,
    due: Notify,
    retired: Cell<bool>,
    /// Numbers of the last report of bounds, and of the last one known to be taken.
    bound_seq: Cell<(u64, u64)>,
    telling: Mutex<()>,
}

impl TokenStore {
    /// An empty token store for a fresh registration.
    pub fn new(holder: HolderId, group: Group, reserve: Option<Group>, clock: Clock) -> TokenStore {
        TokenStore {
            holder,
            group,
            reserve,
            clock,
            own: SlicesByBudget::default(),
            spare: SlicesByBudget::default(),
            away: Cell::new(false),
            bills: RefCell::default(),
            batch: RefCell::default(),
            due: Notify::new(),
            retired: Cell::new(false),
            bound_seq: Cell::new((0, 0)),
            telling: Mutex::new(()),
        }
    }

    /// The registration.
    pub fn holder(&self) -> HolderId {
        self.holder
    }

    /// Ends its use: another registration has taken its place. It goes on telling what its
    /// running requests spend, and gives back the rest.
    pub fn retire(&self) {
        self.retired.set(true);
        self.recall_all();
    }

    /// Notes whether the control group answers.
    pub fn set_away(&self, away: bool) {
        if self.away.replace(away) && !away {
            // The reserve is for cuts only.
            self.spare.recall_all();
            self.due.notify_one();
        }
    }

    /// Sets `n` tokens of a budget aside, asking for more and waiting until `deadline` at most.
    pub async fn reserve(
        self: &Rc<Self>,
        budget: &str,
        policy: Policy,
        n: Tokens,
        deadline: Instant,
    ) -> Result<(Source, Reservation), Refusal> {
        let p = self.own.get(budget, policy);
        loop {
            let now = self.clock.now();
            let found = p.slices.borrow_mut().reserve(now, n);
            if let Some(r) = found {
                self.refill(budget, &p);
                return Ok((Source::Group, r));
            }
            if self.is_limited(&p, now, n) {
                let allows = self.allows_by(&p, now, n, deadline);
                if allows.is_some() || !self.away.get() {
                    self.wait_for_limit(&p, n, allows, deadline).await?;
                    continue;
                }
            }
            if self.away.get() {
                return self.reserve_spare(budget, policy, n, deadline).await;
            }
            if !p.asking.get() {
                self.start_ask(budget, &p, n);
            }
            let changed = timeout_at(deadline, p.changed.notified()).await;
            changed.map_err(|_| Refusal::from(Code::BudgetBusy).after(Millis::seconds(1)))?;
            let wait = match p.answer.take() {
                Some(Asked::Decided(Err(s))) => busy(s)?,
                Some(Asked::Refused(code)) if !is_away(code) => return Err(refusal(code)),
                // Tokens have come, or another that waited has seen to the answer.
                _ => continue,
            };
            let until = Instant::now() + Duration::from_millis(wait.0);
            if until >= deadline {
                return Err(Refusal::from(Code::BudgetBusy).after(wait));
            }
            // Tokens that come back by themselves end the wait early.
            let _ = timeout_at(until, p.changed.notified()).await;
        }
    }

    /// Whether `n` tokens are idle and only the limit keeps them from being set aside.
    fn is_limited(&self, p: &BudgetSlices, now: Time, n: Tokens) -> bool {
        let slices = p.slices.borrow();
        slices.idle(now) >= n && slices.exceeds_limit(now, n)
    }

    /// When the limit allows `n` more by itself, if that is before `deadline`.
    fn allows_by(
        &self,
        p: &BudgetSlices,
        now: Time,
        n: Tokens,
        deadline: Instant,
    ) -> Option<Instant> {
        let span = p.slices.borrow().limit_wait(now, n)?;
        let at = Instant::now() + Duration::from_millis(span.0);
        (at <= deadline).then_some(at)
    }

    /// Waits until the grantor has taken a report, which asks for a limit that allows `n` more, or
    /// until the limit allows them by itself.
    async fn wait_for_limit(
        &self,
        p: &BudgetSlices,
        n: Tokens,
        allows: Option<Instant>,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        p.slices.borrow_mut().add_limit_demand(n);
        self.due.notify_one();
        let taken = timeout_at(allows.unwrap_or(deadline), p.changed.notified()).await;
        p.slices.borrow_mut().remove_limit_demand(n);
        if taken.is_err() && allows.is_none() {
            return Err(Refusal::from(Code::BudgetBusy).after(Millis::seconds(1)));
        }
        Ok(())
    }

    /// Sets tokens of the data centre's reserve aside. It is asked once: it has nobody to call
    /// tokens back from who would answer later.
    async fn reserve_spare(
        &self,
        budget: &str,
        policy: Policy,
        n: Tokens,
        deadline: Instant,
    ) -> Result<(Source, Reservation), Refusal> {
        let p = self.spare.get(budget, policy);
        let unreachable = || Refusal::from(Code::BudgetUnreachable).after(UNREACHABLE_AFTER);
        for _ in 0..2 {
            let now = self.clock.now();
            let found = p.slices.borrow_mut().reserve(now, n);
            if let Some(r) = found {
                return Ok((Source::Reserve, r));
            }
            let ask = p.slices.borrow_mut().next_request(now, self.holder, budget, n);
            let (Some(group), Some(ask)) = (&self.reserve, ask) else { break };
            emit!(Event::ReserveUsed, budget = budget, tokens = n);
            let within = RESERVE_WITHIN.min(deadline.saturating_duration_since(Instant::now()));
            let seq = ask.seq;
            match command(group, &ReserveCommand::Ask(ask), within).await {
                Ok(ReserveAnswer::Decided(d)) => p.slices.borrow_mut().apply_decision(seq, &d),
                _ => break,
            }
        }
        Err(unreachable())
    }

    /// Asks the group in the background, so that a request which cannot wait for the answer does
    /// not keep it from the next one.
    fn start_ask(self: &Rc<Self>, budget: &str, p: &Rc<BudgetSlices>, need: Tokens) {
        p.asking.set(true);
        p.answer.set(None);
        let (me, p, budget) = (self.clone(), p.clone(), budget.to_owned());
        actix_rt::spawn(async move {
            let asked = me.ask(&budget, &p, need).await;
            if matches!(asked, Asked::Refused(code) if is_away(code)) {
                me.set_away(true);
            }
            p.answer.set(Some(asked));
            p.asking.set(false);
            p.changed.notify_waiters();
        });
    }

    async fn ask(&self, budget: &str, p: &BudgetSlices, need: Tokens) -> Asked {
        let now = self.clock.now();
        let ask = p.slices.borrow_mut().next_request(now, self.holder, budget, need);
        let Some(ask) = ask else { return Asked::Decided(Err(Shortage::Busy(Millis(1)))) };
        self.send_ask(p, ask, ASK_WITHIN).await
    }

    async fn send_ask(&self, p: &BudgetSlices, ask: LeaseRequest, within: Duration) -> Asked {
        let seq = ask.seq;
        match self.group.command(&Command::Ask(ask), within).await {
            Ok(Answer::Decided(d)) => {
                p.slices.borrow_mut().apply_decision(seq, &d);
                Asked::Decided(d)
            }
            Ok(Answer::Refused(code)) => {
                p.slices.borrow_mut().apply_decision(seq, &Err(Shortage::Spent));
                Asked::Refused(code)
            }
            Ok(_) => Asked::Refused(Code::MessageBad),
            Err(code) => Asked::Refused(code),
        }
    }

    /// Asks for more in the background when a slice store runs low.
    fn refill(self: &Rc<Self>, budget: &str, p: &Rc<BudgetSlices>) {
        if p.asking.get() || self.away.get() {
            return;
        }
        let low = p.slices.borrow_mut().is_low(self.clock.now());
        if low {
            self.start_ask(budget, p, 0);
        }
    }

    /// Sets aside all of `n` tokens if they can be had by `until`, else what is at hand then.
    pub async fn take(
        self: &Rc<Self>,
        budget: &str,
        policy: Policy,
        n: Tokens,
        until: Instant,
    ) -> Taken {
        let refusal = match self.reserve(budget, policy, n, until).await {
            Ok(part) => return Taken { part: Some(part), short: None },
            Err(refusal) => refusal,
        };
        let at_hand = self.take_at_hand(budget, policy, n);
        let short = match (refusal.code, at_hand.short) {
            (Code::BudgetSpent, _) => Some(Shortfall::Spent),
            (_, Some(Shortfall::Busy(_))) => {
                Some(Shortfall::Busy(refusal.after.unwrap_or(BUSY_AFTER)))
            }
            (_, short) => short,
        };
        Taken { short, ..at_hand }
    }

    /// Sets aside what is at hand of `n` tokens.
    pub fn take_at_hand(&self, budget: &str, policy: Policy, n: Tokens) -> Taken {
        let p = self.own.get(budget, policy);
        let wait = p.slices.borrow().limit_wait(self.clock.now(), n);
        let part = self.reserve_part(budget, policy, n).map(|r| (Source::Group, r));
        let is_whole = part.as_ref().is_some_and(|(_, r)| r.amount() == n);
        let short = wait.map_or(Shortfall::Busy(BUSY_AFTER), Shortfall::Limited);
        Taken { part, short: (!is_whole).then_some(short) }
    }

    /// Gives back, now, what is idle of the budgets that `of` names.
    pub fn recall_where(&self, of: impl Fn(&str) -> bool) {
        if self.own.recall_where(of) {
            self.due.notify_one();
        }
    }

    /// Sets aside what is at hand of `n` tokens of a budget; none if that is nothing.
    pub fn reserve_part(&self, budget: &str, policy: Policy, n: Tokens) -> Option<Reservation> {
        let p = self.own.get(budget, policy);
        let mut slices = p.slices.borrow_mut();
        slices.reserve_part(self.clock.now(), n)
    }

    /// Tokens of a budget that are idle here, and what the limit still allows.
    pub fn at_hand(&self, budget: &str, policy: Policy) -> (Tokens, Tokens) {
        let now = self.clock.now();
        let p = self.own.get(budget, policy);
        let slices = p.slices.borrow();
        (slices.idle(now), slices.limit_remaining(now))
    }

    /// Ends a reservation of which `used` tokens were spent; returns what was charged.
    pub fn settle(&self, from: Source, budget: &str, r: Reservation, used: Tokens) -> Tokens {
        self.slices_of(from).settle(self.clock.now(), budget, r, used)
    }

    fn slices_of(&self, from: Source) -> &SlicesByBudget {
        match from {
            Source::Group => &self.own,
            Source::Reserve => &self.spare,
        }
    }

    /// Adds a bill to the next tally.
    pub fn bill(&self, b: Bill) {
        self.bills.borrow_mut().push_back(b);
    }

    /// Gives back what is idle of a budget, now.
    pub fn recall(&self, budget: &str) {
        self.own.recall(budget);
        self.due.notify_one();
    }

    /// Gives back everything that is idle.
    pub fn recall_all(&self) {
        self.own.recall_all();
        self.spare.recall_all();
        self.due.notify_one();
    }

    /// Whether nothing is held and nothing waits to be told.
    pub fn is_settled(&self) -> bool {
        let told = self.bills.borrow().is_empty() && self.batch.borrow().1.is_empty();
        told && self.own.is_empty() && self.spare.is_empty()
    }

    /// Tells what was spent, after each span that `every` gives and whenever something is due.
    pub async fn tally_forever(self: Rc<Self>, every: impl Fn() -> Duration) {
        loop {
            tokio::select! {
                () = sleep(every()) => {}
                () = self.due.notified() => {}
            }
            tokio::join!(self.tally(), self.tally_spare());
            if self.retired.get() && self.is_settled() && Rc::strong_count(&self) == 1 {
                return;
            }
        }
    }

    /// Tells the control group once. What is not acknowledged is told again the next time.
    pub async fn tally(&self) {
        // Reports of bounds are told one after the other.
        let _one = self.telling.lock().await;
        let now = self.clock.now();
        let reports = self.own.reports(now);
        let bounds = self.own.bounds(now);
        let (batch, bills) = self.next_batch();
        if reports.is_empty() && bills.is_empty() && bounds.is_empty() {
            return;
        }
        let (seq, after) = self.next_bound_seq(&bounds);
        let bare = bare(&reports);
        let holder = self.holder;
        let c = Command::Tally {
            holder,
            reports: bare,
            batch,
            bills,
            seq,
            after,
            bounds: bounds.clone(),
        };
        let begun = Instant::now();
        if let Ok(Answer::Tallied { known, .. }) = self.group.command(&c, TALLY_WITHIN).await {
            histogram!(metric::REPORT).record(begun.elapsed());
            self.own.acknowledge(now, &reports, &known);
            self.batch.borrow_mut().1.clear();
            if seq > 0 {
                self.bound_seq.set((seq, seq));
                self.own.bounds_taken(self.clock.now(), &bounds);
            }
        }
    }

    /// The number of the next report of bounds, 0 if there are none, and of the last one known to
    /// be taken. A number is used once: a report that got no answer may have been taken.
    fn next_bound_seq(&self, bounds: &[Bound]) -> (u64, u64) {
        let (last, taken) = self.bound_seq.get();
        if bounds.is_empty() {
            return (0, taken);
        }
        self.bound_seq.set((last + 1, taken));
        (last + 1, taken)
    }

    /// Tells the data centre's reserve.
    pub async fn tally_spare(&self) {
        let now: Time = self.clock.now();
        let reports = self.spare.reports(now);
        let Some(group) = self.reserve.as_ref().filter(|_| !reports.is_empty()) else { return };
        let d = ReserveCommand::Report(self.holder, bare(&reports));
        if let Ok(ReserveAnswer::Reported(known)) = command(group, &d, RESERVE_WITHIN).await {
            self.spare.acknowledge(now, &reports, &known);
        }
    }

    /// The batch that is under way, or a new one; number 0 if there is nothing to bill.
    fn next_batch(&self) -> (u64, Vec<Bill>) {
        let mut batch = self.batch.borrow_mut();
        let mut bills = self.bills.borrow_mut();
        if batch.1.is_empty() && !bills.is_empty() {
            let n = bills.len().min(BATCH);
            batch.0 += 1;
            batch.1 = bills.drain(..n).collect();
        }
        if batch.1.is_empty() { (0, Vec::new()) } else { batch.clone() }
    }
}

fn bare(reports: &[(String, Report)]) -> Vec<Report> {
    reports.iter().map(|(_, r)| *r).collect()
}

/// Has the reserve do a command.
async fn command(
    group: &Group,
    d: &ReserveCommand,
    within: Duration,
) -> Result<ReserveAnswer, Code> {
    let bytes = group.call(WireAsk::Reserve(body::pack(d)), within).await?;
    body::unpack(&bytes).map_err(|_| Code::MessageBad)
}
