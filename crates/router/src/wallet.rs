//! The router's slices of budgets, the bills that wait, and their talk with the control group.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::bill::Bill;
use cypressfork_core::budget::{Decision, Policy, Purse, Report, Reservation, Shortage};
use cypressfork_core::code::Code;
use cypressfork_core::command::{Answer, Command};
use cypressfork_core::unit::{HolderId, Millis, Time, Tokens};
use cypressfork_node::group::Group;
use cypressfork_node::time::Clock;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

use crate::reply::Refusal;

/// Bills in one tally at most.
const BATCH: usize = 512;

/// How long an ask waits for the control group before a request is refused for want of it.
const ASK_WITHIN: Duration = Duration::from_secs(2);

/// How long a tally waits for its commit.
const TALLY_WITHIN: Duration = Duration::from_secs(5);

/// When to come back once a budget is spent.
const SPENT_AFTER: Millis = Millis::seconds(60);

/// When to come back while the control group is out of reach.
const UNREACHABLE_AFTER: Millis = Millis::seconds(5);

/// The tokens in hand under one registration.
pub struct Wallet {
    holder: HolderId,
    group: Group,
    clock: Clock,
    purses: RefCell<BTreeMap<String, Rc<Pocket>>>,
    bills: RefCell<VecDeque<Bill>>,
    /// The batch that is being told, unchanged until it is acknowledged, and its number.
    batch: RefCell<(u64, Vec<Bill>)>,
    due: Notify,
    retired: Cell<bool>,
}

/// One budget's purse, and those that wait for it.
struct Pocket {
    purse: RefCell<Purse>,
    asking: Cell<bool>,
    changed: Notify,
}

impl Pocket {
    fn new(policy: Policy) -> Pocket {
        let purse = RefCell::new(Purse::new(policy, 0));
        Pocket { purse, asking: Cell::new(false), changed: Notify::new() }
    }
}

/// What an ask came to.
enum Asked {
    Decided(Decision),
    Refused(Code),
}

impl Wallet {
    /// An empty wallet for a fresh registration.
    pub fn new(holder: HolderId, group: Group, clock: Clock) -> Wallet {
        Wallet {
            holder,
            group,
            clock,
            purses: RefCell::default(),
            bills: RefCell::default(),
            batch: RefCell::default(),
            due: Notify::new(),
            retired: Cell::new(false),
        }
    }

    /// Ends its use: another registration has taken its place. It goes on telling what its
    /// running requests spend, and gives back the rest.
    pub fn retire(&self) {
        self.retired.set(true);
        self.recall_all();
    }

    /// The registration.
    pub fn holder(&self) -> HolderId {
        self.holder
    }

    fn pocket(&self, budget: &str, policy: Policy) -> Rc<Pocket> {
        let mut all = self.purses.borrow_mut();
        let p = all.entry(budget.to_owned()).or_insert_with(|| Rc::new(Pocket::new(policy)));
        p.purse.borrow_mut().set_policy(policy);
        p.clone()
    }

    /// Sets `n` tokens of a budget aside, asking for more and waiting until `deadline` at most.
    pub async fn reserve(
        self: &Rc<Self>,
        budget: &str,
        policy: Policy,
        n: Tokens,
        deadline: Instant,
    ) -> Result<Reservation, Refusal> {
        let p = self.pocket(budget, policy);
        loop {
            let now = self.clock.now();
            let found = p.purse.borrow_mut().reserve(now, n);
            if let Some(r) = found {
                self.refill(budget, &p);
                return Ok(r);
            }
            if p.asking.get() {
                let changed = timeout_at(deadline, p.changed.notified()).await;
                changed.map_err(|_| Refusal::from(Code::BudgetBusy).after(Millis::seconds(1)))?;
                continue;
            }
            let wait = match self.ask(budget, &p, n, deadline).await {
                Asked::Decided(Ok(_)) => continue,
                Asked::Decided(Err(Shortage::Spent)) => {
                    return Err(Refusal::from(Code::BudgetSpent).after(SPENT_AFTER));
                }
                Asked::Decided(Err(Shortage::Away(span))) => {
                    return Err(Refusal::from(Code::BudgetBusy).after(span));
                }
                Asked::Decided(Err(Shortage::Busy(span))) => span,
                Asked::Refused(code) => return Err(refusal(code)),
            };
            let until = Instant::now() + Duration::from_millis(wait.0);
            if until >= deadline {
                return Err(Refusal::from(Code::BudgetBusy).after(wait));
            }
            // Tokens that come back by themselves end the wait early.
            let _ = timeout_at(until, p.changed.notified()).await;
        }
    }

    async fn ask(&self, budget: &str, p: &Pocket, need: Tokens, deadline: Instant) -> Asked {
        let now = self.clock.now();
        let ask = p.purse.borrow_mut().ask(now, self.holder, budget, need);
        let Some(ask) = ask else { return Asked::Decided(Err(Shortage::Busy(Millis(1)))) };
        p.asking.set(true);
        let within = ASK_WITHIN.min(deadline.saturating_duration_since(Instant::now()));
        let seq = ask.seq;
        let answer = self.group.command(&Command::Ask(ask), within).await;
        p.asking.set(false);
        let asked = match answer {
            Ok(Answer::Decided(d)) => {
                p.purse.borrow_mut().answer(seq, &d);
                Asked::Decided(d)
            }
            Ok(Answer::Refused(code)) => {
                p.purse.borrow_mut().answer(seq, &Err(Shortage::Spent));
                Asked::Refused(code)
            }
            Ok(_) => Asked::Refused(Code::MessageBad),
            Err(code) => Asked::Refused(code),
        };
        p.changed.notify_waiters();
        asked
    }

    /// Asks for more in the background when a purse runs low.
    fn refill(self: &Rc<Self>, budget: &str, p: &Rc<Pocket>) {
        if p.asking.get() {
            return;
        }
        let low = p.purse.borrow_mut().runs_low(self.clock.now());
        if !low {
            return;
        }
        let (me, p, budget) = (self.clone(), p.clone(), budget.to_owned());
        p.asking.set(true);
        actix_rt::spawn(async move {
            me.ask(&budget, &p, 0, Instant::now() + ASK_WITHIN).await;
        });
    }

    /// Ends a reservation of which `used` tokens were spent; returns what was charged.
    pub fn settle(&self, budget: &str, r: Reservation, used: Tokens) -> Tokens {
        let Some(p) = self.purses.borrow().get(budget).cloned() else { return 0 };
        let charged = p.purse.borrow_mut().settle(self.clock.now(), r, used);
        p.changed.notify_waiters();
        charged
    }

    /// Adds a bill to the next tally.
    pub fn bill(&self, b: Bill) {
        self.bills.borrow_mut().push_back(b);
    }

    /// Gives back what is idle of a budget, now.
    pub fn recall(&self, budget: &str) {
        if let Some(p) = self.purses.borrow().get(budget) {
            p.purse.borrow_mut().recall();
        }
        self.due.notify_one();
    }

    /// Gives back everything that is idle.
    pub fn recall_all(&self) {
        let budgets: Vec<_> = self.purses.borrow().keys().cloned().collect();
        budgets.iter().for_each(|b| self.recall(b));
    }

    /// Whether nothing is held and nothing waits to be told.
    pub fn is_settled(&self) -> bool {
        let empty = self.purses.borrow().values().all(|p| p.purse.borrow().is_empty());
        empty && self.bills.borrow().is_empty() && self.batch.borrow().1.is_empty()
    }

    /// Tells the control group what was spent, every `every` and whenever something is due.
    pub async fn tally_forever(self: Rc<Self>, every: Duration) {
        loop {
            tokio::select! {
                () = sleep(every) => {}
                () = self.due.notified() => {}
            }
            self.tally().await;
            if self.retired.get() && self.is_settled() && Rc::strong_count(&self) == 1 {
                return;
            }
        }
    }

    /// Tells it once. Whatever is not acknowledged is told again the next time.
    pub async fn tally(&self) -> bool {
        let now = self.clock.now();
        let reports = self.reports(now);
        let (batch, bills) = self.next_batch();
        if reports.is_empty() && bills.is_empty() {
            return true;
        }
        let flat: Vec<Report> = reports.iter().map(|(_, r)| *r).collect();
        let c = Command::Tally { holder: self.holder, reports: flat, batch, bills };
        match self.group.command(&c, TALLY_WITHIN).await {
            Ok(Answer::Tallied { known, .. }) => {
                self.acknowledge(now, &reports, &known);
                self.batch.borrow_mut().1.clear();
                true
            }
            _ => false,
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

    fn reports(&self, now: Time) -> Vec<(String, Report)> {
        let mut out = Vec::new();
        for (budget, p) in self.purses.borrow().iter() {
            let mut purse = p.purse.borrow_mut();
            purse.shrink(now);
            out.extend(purse.reports(now).into_iter().map(|r| (budget.clone(), r)));
        }
        out
    }

    fn acknowledge(&self, sent: Time, reports: &[(String, Report)], known: &[bool]) {
        for ((budget, r), known) in reports.iter().zip(known) {
            if let Some(p) = self.purses.borrow().get(budget) {
                p.purse.borrow_mut().acknowledge(sent, r, *known);
            }
        }
    }
}

/// What a caller is told when the control group did not decide an ask.
fn refusal(code: Code) -> Refusal {
    match code {
        Code::AccountClosed | Code::BudgetUnknown => Refusal::from(code_for_callers(code)),
        Code::HolderStale => Refusal::from(Code::NotReady).after(Millis::seconds(1)),
        _ => Refusal::from(Code::BudgetUnreachable).after(UNREACHABLE_AFTER),
    }
}

fn code_for_callers(code: Code) -> Code {
    if code == Code::BudgetUnknown { Code::BudgetNone } else { code }
}
