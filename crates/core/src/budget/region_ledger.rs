//! A ledger whose tokens are leased from another grantor, such as the budget's home group.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::ledger::{Decision, Grant, LeaseRequest, Ledger, Report};
use super::policy::Policy;
use crate::unit::{HolderId, LeaseId, Time, Tokens};

/// A lease from the home group.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Allotment {
    /// Tokens kept of it, including the spent ones.
    keep: Tokens,
}

/// The ledger of a grantor that is not the budget's home.
///
/// It holds leases ("allotments") from the home group, and grants leases on their tokens to its
/// routers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RegionLedger {
    ledger: Ledger,
    allotments: BTreeMap<String, BTreeMap<LeaseId, Allotment>>,
    /// Tokens spent under closed allotments, by budget.
    passed: BTreeMap<String, Tokens>,
}

impl RegionLedger {
    /// Adds an allotment that the home group granted; a duplicate is ignored.
    pub fn add_allotment(&mut self, budget: &str, g: &Grant, policy: Policy) {
        let all = self.allotments.entry(budget.to_owned()).or_default();
        all.entry(g.lease).or_insert(Allotment { keep: g.amount });
        self.update_total(budget, policy);
    }

    fn update_total(&mut self, budget: &str, policy: Policy) {
        let held: Tokens =
            self.allotments.get(budget).map_or(0, |a| a.values().map(|x| x.keep).sum());
        let passed = self.passed.get(budget).copied().unwrap_or(0);
        self.ledger.fund(budget, held + passed, policy);
    }

    /// Decides a router's lease request from the allotments, and starts a recall if the free tokens
    /// are too few. Returns `None` if there is no such budget.
    pub fn request_lease(
        &mut self,
        now: Time,
        id: LeaseId,
        request: &LeaseRequest,
    ) -> Option<Decision> {
        self.ledger.request_lease(now, id, request)
    }

    /// Decides a router's lease request from the free tokens only, without a recall. Returns `None`
    /// if there is no such budget.
    pub fn request_from_free(
        &mut self,
        now: Time,
        id: LeaseId,
        request: &LeaseRequest,
    ) -> Option<Decision> {
        self.ledger.request_from_free(now, id, request)
    }

    /// Applies a router's report. Returns false if the lease is not open or belongs to another
    /// holder.
    pub fn apply_report(&mut self, now: Time, holder: HolderId, r: &Report) -> bool {
        self.ledger.apply_report(now, holder, r)
    }

    /// Gives up to `n` free tokens of `budget` back to the home group; the next reports include it.
    pub fn give_back(&mut self, budget: &str, n: Tokens) {
        let Some(state) = self.ledger.get(budget) else { return };
        let policy = state.policy;
        // Free tokens are neither spent nor held, so the remaining ones still cover both.
        let mut left = n.min(state.free());
        let all = self.allotments.entry(budget.to_owned()).or_default();
        for a in all.values_mut().rev() {
            let back = left.min(a.keep);
            a.keep -= back;
            left -= back;
        }
        self.update_total(budget, policy);
    }

    /// Returns the reports on a budget's allotments for the home group. Spending is attributed to
    /// the oldest allotment first.
    pub fn reports(&self, budget: &str) -> Vec<Report> {
        let Some(state) = self.ledger.get(budget) else { return Vec::new() };
        let mut spent = state.spent() - self.passed.get(budget).copied().unwrap_or(0);
        let tight = state.free() == 0;
        let all = self.allotments.get(budget).into_iter().flatten();
        all.map(|(id, a)| {
            let used = spent.min(a.keep);
            spent -= used;
            Report { lease: *id, used, keep: a.keep, tight }
        })
        .collect()
    }

    /// Records that the home group has committed report `r`, and removes its allotment if the
    /// report closes it.
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

    /// Returns the ledger of the leases granted to routers.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }
}
