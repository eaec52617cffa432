//! A ledger whose tokens are themselves leased from the budget's home group.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::ledger::{Ask, Decision, Grant, Ledger, Report};
use super::policy::Policy;
use crate::unit::{HolderId, LeaseId, Time, Tokens};

/// What a region's group holds of one allotment.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Allotment {
    keep: Tokens,
}

/// The ledger of a region that is not a budget's home.
///
/// Downwards it is a [`Ledger`]; upwards it reports like any other holder.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Region {
    ledger: Ledger,
    allotments: BTreeMap<String, BTreeMap<LeaseId, Allotment>>,
    /// Spent under allotments that are closed upwards, by budget.
    passed: BTreeMap<String, Tokens>,
}

impl Region {
    /// Adds an allotment granted by the home group; one that is known already changes nothing.
    pub fn allot(&mut self, budget: &str, g: &Grant, policy: Policy) {
        let all = self.allotments.entry(budget.to_owned()).or_default();
        all.entry(g.lease).or_insert(Allotment { keep: g.amount });
        self.refund(budget, policy);
    }

    fn refund(&mut self, budget: &str, policy: Policy) {
        let held: Tokens =
            self.allotments.get(budget).map_or(0, |a| a.values().map(|x| x.keep).sum());
        let passed = self.passed.get(budget).copied().unwrap_or(0);
        self.ledger.fund(budget, held + passed, policy);
    }

    /// Decides a router's ask out of the region's allotments.
    pub fn ask(&mut self, now: Time, id: LeaseId, ask: &Ask) -> Option<Decision> {
        self.ledger.ask(now, id, ask)
    }

    /// Decides a router's ask out of what is free, and calls nothing back.
    pub fn ask_once(&mut self, now: Time, id: LeaseId, ask: &Ask) -> Option<Decision> {
        self.ledger.ask_once(now, id, ask)
    }

    /// Takes a router's report.
    pub fn report(&mut self, now: Time, holder: HolderId, r: &Report) -> bool {
        self.ledger.report(now, holder, r)
    }

    /// Gives back up to `n` free tokens of `budget`; the next reports upwards carry it.
    pub fn give_back(&mut self, budget: &str, n: Tokens) {
        let Some(f) = self.ledger.get(budget) else { return };
        let policy = f.policy;
        // What is free is neither spent nor held, so the rest still covers both.
        let mut left = n.min(f.free());
        let all = self.allotments.entry(budget.to_owned()).or_default();
        for a in all.values_mut().rev() {
            let back = left.min(a.keep);
            a.keep -= back;
            left -= back;
        }
        self.refund(budget, policy);
    }

    /// The reports on a budget's allotments for its home: spending fills the oldest first.
    pub fn reports(&self, budget: &str) -> Vec<Report> {
        let Some(f) = self.ledger.get(budget) else { return Vec::new() };
        let mut spent = f.spent() - self.passed.get(budget).copied().unwrap_or(0);
        let tight = f.free() == 0;
        let all = self.allotments.get(budget).into_iter().flatten();
        all.map(|(id, a)| {
            let used = spent.min(a.keep);
            spent -= used;
            Report { lease: *id, used, keep: a.keep, tight }
        })
        .collect()
    }

    /// Notes that the home has committed `r`; a report that closes an allotment drops it.
    pub fn acknowledge(&mut self, budget: &str, r: &Report) {
        if r.used != r.keep {
            return;
        }
        let Some(all) = self.allotments.get_mut(budget) else { return };
        if all.get(&r.lease).is_some_and(|a| a.keep == r.keep) {
            all.remove(&r.lease);
            *self.passed.entry(budget.to_owned()).or_default() += r.used;
        }
    }

    /// The ledger towards the routers.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }
}
