//! A data centre's token reserve, for partitions that cut it off from the control group.
//!
//! In each data centre a process with a disk holds a part of every budget that is spent there.
//! Routers request leases from it only while the control group is unreachable. So requests are
//! served during a partition of hours, although a router's own slices are small and few tokens are
//! lost when it dies. The control group recalls the reserve like any other holder's slices.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::ledger::{Decision, Grant, LeaseRequest, Report, Shortage};
use super::policy::Policy;
use super::region_ledger::RegionLedger;
use crate::unit::{HolderId, LeaseId, Time, Tokens};

/// A change of a reserve, stored on disk before it is applied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReserveCommand {
    /// The control group granted a lease on a budget.
    Granted(String, Grant, Policy),
    /// A router requests a lease.
    Ask(LeaseRequest),
    /// A router reports on its leases.
    Report(HolderId, Vec<Report>),
    /// Gives up to this many free tokens of a budget back to the control group.
    GiveBack(String, Tokens),
    /// The control group has committed a report.
    Acknowledged(String, Report),
}

/// The result of a [`ReserveCommand`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReserveAnswer {
    /// The answer to a lease request.
    Decided(Decision),
    /// For each report, whether its lease is open.
    Reported(Vec<bool>),
    /// The command has no result.
    Nothing,
}

/// The ledger of a data centre's reserve, over all budgets.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ReserveLedger {
    /// The tokens leased from the control group, and the routers' leases on them.
    region: RegionLedger,
    /// Sequence number of the last request that the control group granted for each budget.
    granted: BTreeMap<String, u64>,
}

impl ReserveLedger {
    /// Applies a command at `now` and returns its result. A granted lease gets the identity `id`.
    pub fn apply(&mut self, now: Time, id: LeaseId, command: &ReserveCommand) -> ReserveAnswer {
        match command {
            ReserveCommand::Granted(budget, g, policy) => {
                self.region.add_allotment(budget, g, *policy);
                *self.granted.entry(budget.clone()).or_default() += 1;
                ReserveAnswer::Nothing
            }
            ReserveCommand::Ask(request) => {
                // A recall waits for reports of other routers, which takes too long here.
                let decision = self.region.request_from_free(now, id, request);
                ReserveAnswer::Decided(decision.unwrap_or(Err(Shortage::Spent)))
            }
            ReserveCommand::Report(holder, reports) => {
                let known = reports.iter().map(|r| self.region.apply_report(now, *holder, r));
                ReserveAnswer::Reported(known.collect())
            }
            ReserveCommand::GiveBack(budget, n) => {
                self.region.give_back(budget, *n);
                ReserveAnswer::Nothing
            }
            ReserveCommand::Acknowledged(budget, r) => {
                self.region.acknowledge(budget, r);
                ReserveAnswer::Nothing
            }
        }
    }

    /// Returns the free tokens of a budget.
    pub fn free(&self, budget: &str) -> Tokens {
        self.region.ledger().get(budget).map_or(0, |state| state.free())
    }

    /// Iterates over the names of the budgets of which it holds or has held a lease.
    pub fn budgets(&self) -> impl Iterator<Item = &String> {
        self.granted.keys()
    }

    /// Returns the reports on a budget for the control group.
    pub fn reports(&self, budget: &str) -> Vec<Report> {
        self.region.reports(budget)
    }

    /// Returns the lease request to the control group that fills the reserve up to `target`; `None`
    /// if `target` is zero or more than half of it is free. Resends keep their number until one is
    /// granted.
    pub fn next_request(
        &self,
        holder: HolderId,
        budget: &str,
        target: Tokens,
    ) -> Option<LeaseRequest> {
        let free = self.free(budget);
        if target == 0 || free > target / 2 {
            return None;
        }
        let seq = self.granted.get(budget).copied().unwrap_or(0) + 1;
        let want = target - free;
        Some(LeaseRequest { holder, budget: budget.to_owned(), seq, need: 0, want })
    }

    /// Returns the free tokens beyond `target` if there are more than twice `target`, else zero.
    pub fn excess(&self, budget: &str, target: Tokens) -> Tokens {
        let free = self.free(budget);
        if free > target.saturating_mul(2) { free - target } else { 0 }
    }
}
