//! A data centre's reserve for the time that it is cut off.
//!
//! A process with a disk in each data centre holds a part of every budget that is spent there. Its
//! routers turn to it only while the group is out of reach. A router's own slices can therefore
//! stay small, so that its death strands little, and a cut of hours refuses little: the reserve
//! outlives the routers. While the group is in reach it calls the reserve back like any other
//! holder's slices.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::allot::Region;
use super::ledger::{Ask, Decision, Grant, Report, Shortage};
use super::policy::Policy;
use crate::unit::{HolderId, LeaseId, Time, Tokens};

/// A change of a reserve. The holder of the reserve stores each before it acts on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReserveCommand {
    /// The group granted a part of a budget.
    Granted(String, Grant, Policy),
    /// A router asks.
    Ask(Ask),
    /// A router reports.
    Report(HolderId, Vec<Report>),
    /// So many free tokens of a budget are to go back to the group.
    GiveBack(String, Tokens),
    /// The group has committed a report.
    Acknowledged(String, Report),
}

/// What a command came to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReserveAnswer {
    /// The answer to an ask.
    Decided(Decision),
    /// For each report whether its lease is open.
    Reported(Vec<bool>),
    /// Nothing to say.
    Nothing,
}

/// A data centre's reserve of all budgets.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ReserveLedger {
    region: Region,
    /// The number of the last ask of the group that was granted, by budget.
    granted: BTreeMap<String, u64>,
}

impl ReserveLedger {
    /// Does a command; `id` names the lease if one is granted.
    pub fn apply(&mut self, now: Time, id: LeaseId, d: &ReserveCommand) -> ReserveAnswer {
        match d {
            ReserveCommand::Granted(budget, g, policy) => {
                self.region.allot(budget, g, *policy);
                *self.granted.entry(budget.clone()).or_default() += 1;
                ReserveAnswer::Nothing
            }
            ReserveCommand::Ask(ask) => {
                // A recall would need the other routers' word; the asker cannot wait for it.
                let decision = self.region.ask_once(now, id, ask);
                ReserveAnswer::Decided(decision.unwrap_or(Err(Shortage::Spent)))
            }
            ReserveCommand::Report(holder, reports) => {
                let known = reports.iter().map(|r| self.region.report(now, *holder, r));
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

    /// Tokens of a budget that routers could still be given.
    pub fn free(&self, budget: &str) -> Tokens {
        self.region.ledger().get(budget).map_or(0, |f| f.free())
    }

    /// The budgets that it holds a part of, or did.
    pub fn budgets(&self) -> impl Iterator<Item = &String> {
        self.granted.keys()
    }

    /// The reports on a budget for the group.
    pub fn reports(&self, budget: &str) -> Vec<Report> {
        self.region.reports(budget)
    }

    /// What to ask the group for so that the reserve comes to `target`, if it is far below. A
    /// resend has the same number until it is granted.
    pub fn ask(&self, holder: HolderId, budget: &str, target: Tokens) -> Option<Ask> {
        let have = self.free(budget);
        if target == 0 || have > target / 2 {
            return None;
        }
        let seq = self.granted.get(budget).copied().unwrap_or(0) + 1;
        let want = target - have;
        Some(Ask { holder, budget: budget.to_owned(), seq, need: 0, want })
    }

    /// How many free tokens are more than twice the target.
    pub fn excess(&self, budget: &str, target: Tokens) -> Tokens {
        let have = self.free(budget);
        if have > target.saturating_mul(2) { have - target } else { 0 }
    }
}
