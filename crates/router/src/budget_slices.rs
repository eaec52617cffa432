//! The slice stores of one grantor, by budget, and those that wait for them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use cypressfork_core::budget::{Bound, Policy, Report, Reservation, SliceStore};
use cypressfork_core::unit::{Time, Tokens};
use tokio::sync::Notify;

use crate::taken::Asked;

/// One budget's slice store, and those that wait for it.
pub struct BudgetSlices {
    /// The slice store.
    pub slices: RefCell<SliceStore>,
    /// An ask is under way.
    pub asking: Cell<bool>,
    /// What the last ask came to, until it is seen to.
    pub answer: Cell<Option<Asked>>,
    /// Notified when tokens may have come.
    pub changed: Notify,
}

/// The slice stores of one grantor.
#[derive(Default)]
pub struct SlicesByBudget {
    by_budget: RefCell<BTreeMap<String, Rc<BudgetSlices>>>,
}

impl SlicesByBudget {
    /// The slices of a budget, made if there is none.
    pub fn get(&self, budget: &str, policy: Policy) -> Rc<BudgetSlices> {
        let mut all = self.by_budget.borrow_mut();
        let fresh = || {
            let slices = RefCell::new(SliceStore::new(policy, 0));
            let (asking, answer) = (Cell::new(false), Cell::new(None));
            Rc::new(BudgetSlices { slices, asking, answer, changed: Notify::new() })
        };
        let p = all.entry(budget.to_owned()).or_insert_with(fresh);
        p.slices.borrow_mut().set_policy(policy);
        p.clone()
    }

    /// Ends a reservation of which `used` tokens were spent; returns what was charged.
    pub fn settle(&self, now: Time, budget: &str, r: Reservation, used: Tokens) -> Tokens {
        let Some(p) = self.by_budget.borrow().get(budget).cloned() else { return 0 };
        let charged = p.slices.borrow_mut().settle(now, r, used);
        p.changed.notify_waiters();
        charged
    }

    /// Gives back what is idle of a budget.
    pub fn recall(&self, budget: &str) {
        if let Some(p) = self.by_budget.borrow().get(budget) {
            p.slices.borrow_mut().return_idle();
        }
    }

    /// Gives back what is idle of the budgets that `of` names; returns whether there are any.
    pub fn recall_where(&self, of: impl Fn(&str) -> bool) -> bool {
        let all = self.by_budget.borrow();
        let named = all.iter().filter(|(budget, p)| of(budget) && !p.slices.borrow().is_empty());
        named.map(|(_, p)| p.slices.borrow_mut().return_idle()).count() > 0
    }

    /// Gives back everything that is idle.
    pub fn recall_all(&self) {
        self.by_budget.borrow().values().for_each(|p| p.slices.borrow_mut().return_idle());
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.by_budget.borrow().values().all(|p| p.slices.borrow().is_empty())
    }

    /// What to tell the grantor.
    pub fn reports(&self, now: Time) -> Vec<(String, Report)> {
        let mut out = Vec::new();
        for (budget, p) in self.by_budget.borrow().iter() {
            let mut slices = p.slices.borrow_mut();
            slices.return_excess(now);
            out.extend(slices.reports(now).into_iter().map(|r| (budget.clone(), r)));
        }
        out
    }

    /// What to bind this holder to.
    pub fn bounds(&self, now: Time) -> Vec<Bound> {
        let all = self.by_budget.borrow();
        all.iter().filter_map(|(budget, p)| p.slices.borrow_mut().bound(now, budget)).collect()
    }

    /// Notes that the grantor has taken the bounds.
    pub fn bounds_taken(&self, now: Time, bounds: &[Bound]) {
        let all = self.by_budget.borrow();
        for b in bounds {
            if let Some(p) = all.get(&b.budget) {
                p.slices.borrow_mut().confirm_bound(now, b);
                p.changed.notify_waiters();
            }
        }
    }

    /// Notes what the grantor said to the reports, sent at `sent`.
    pub fn acknowledge(&self, sent: Time, reports: &[(String, Report)], known: &[bool]) {
        for ((budget, r), known) in reports.iter().zip(known) {
            if let Some(p) = self.by_budget.borrow().get(budget) {
                p.slices.borrow_mut().acknowledge(sent, r, *known);
            }
        }
    }
}
