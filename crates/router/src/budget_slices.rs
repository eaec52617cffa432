//! The slice stores for the slices of one grantor, by budget.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use cypressfork_core::budget::{Bound, Policy, Report, Reservation, SliceStore};
use cypressfork_core::unit::{Time, Tokens};
use tokio::sync::Notify;

use crate::reservation_result::LeaseOutcome;

/// The slice store of one budget, with the state of lease requests to its grantor.
pub struct BudgetSlices {
    /// The slice store.
    pub slices: RefCell<SliceStore>,
    /// Whether a lease request is in flight.
    pub request_in_flight: Cell<bool>,
    /// The result of the last lease request, until it is taken.
    pub last_outcome: Cell<Option<LeaseOutcome>>,
    /// Notified when tokens may have become available.
    pub changed: Notify,
}

/// The slice stores for one grantor, by budget.
#[derive(Default)]
pub struct SlicesByBudget {
    by_budget: RefCell<BTreeMap<String, Rc<BudgetSlices>>>,
}

impl SlicesByBudget {
    /// Returns the slices of a budget under `policy`, and creates them on first use.
    pub fn get_or_create(&self, budget: &str, policy: Policy) -> Rc<BudgetSlices> {
        let mut all = self.by_budget.borrow_mut();
        let new_slices = || {
            let slices = RefCell::new(SliceStore::new(policy, 0));
            let (request_in_flight, last_outcome) = (Cell::new(false), Cell::new(None));
            Rc::new(BudgetSlices {
                slices,
                request_in_flight,
                last_outcome,
                changed: Notify::new(),
            })
        };
        let entry = all.entry(budget.to_owned()).or_insert_with(new_slices);
        entry.slices.borrow_mut().set_policy(policy);
        entry.clone()
    }

    /// Returns the slices of a budget.
    pub fn get(&self, budget: &str) -> Option<Rc<BudgetSlices>> {
        self.by_budget.borrow().get(budget).cloned()
    }

    /// Ends a reservation of which `used` tokens were spent. Returns the number of tokens charged.
    pub fn settle(&self, now: Time, budget: &str, r: Reservation, used: Tokens) -> Tokens {
        let Some(entry) = self.get(budget) else { return 0 };
        let charged = entry.slices.borrow_mut().settle(now, r, used);
        entry.changed.notify_waiters();
        charged
    }

    /// Gives the idle tokens of a budget back to the grantor with the next reports.
    pub fn return_idle(&self, budget: &str) {
        if let Some(entry) = self.by_budget.borrow().get(budget) {
            entry.slices.borrow_mut().return_idle();
        }
    }

    /// Gives the idle tokens of all budgets that `matches` selects back to the grantor with the next
    /// reports. Returns whether any of them has slices.
    pub fn return_idle_where(&self, matches: impl Fn(&str) -> bool) -> bool {
        let all = self.by_budget.borrow();
        let matching = all
            .iter()
            .filter(|(budget, entry)| matches(budget) && !entry.slices.borrow().is_empty());
        matching.map(|(_, entry)| entry.slices.borrow_mut().return_idle()).count() > 0
    }

    /// Gives the idle tokens of all budgets back to the grantor with the next reports.
    pub fn return_all_idle(&self) {
        self.by_budget.borrow().values().for_each(|entry| entry.slices.borrow_mut().return_idle());
    }

    /// Returns whether no budget has slices.
    pub fn is_empty(&self) -> bool {
        self.by_budget.borrow().values().all(|entry| entry.slices.borrow().is_empty())
    }

    /// Returns the usage reports to send to the grantor. They also give excess idle tokens back.
    pub fn reports(&self, now: Time) -> Vec<(String, Report)> {
        let mut out = Vec::new();
        for (budget, entry) in self.by_budget.borrow().iter() {
            let mut slices = entry.slices.borrow_mut();
            slices.return_excess(now);
            out.extend(slices.reports(now).into_iter().map(|r| (budget.clone(), r)));
        }
        out
    }

    /// Returns the spending bounds to send to the grantor.
    pub fn bounds(&self, now: Time) -> Vec<Bound> {
        let all = self.by_budget.borrow();
        all.iter()
            .filter_map(|(budget, entry)| entry.slices.borrow_mut().bound(now, budget))
            .collect()
    }

    /// Records that the grantor has accepted `bounds`.
    pub fn confirm_bounds(&self, now: Time, bounds: &[Bound]) {
        let all = self.by_budget.borrow();
        for b in bounds {
            if let Some(entry) = all.get(&b.budget) {
                entry.slices.borrow_mut().confirm_bound(now, b);
                entry.changed.notify_waiters();
            }
        }
    }

    /// Records the grantor's response to `reports` that were sent at `sent`. `known` states for
    /// each report whether its lease exists.
    pub fn acknowledge(&self, sent: Time, reports: &[(String, Report)], known: &[bool]) {
        for ((budget, r), known) in reports.iter().zip(known) {
            if let Some(entry) = self.by_budget.borrow().get(budget) {
                entry.slices.borrow_mut().acknowledge(sent, r, *known);
            }
        }
    }
}
