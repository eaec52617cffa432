//! Bounds on a holder's unreported spending, so that a dead holder's unspent tokens can be freed.
//!
//! A holder keeps large slices to outlast network partitions, and would strand them when it dies.
//! So it reports a bound per budget: it spends at most a limit that the grantor has committed, plus
//! a rate for each second since it learned that. When its successor registers, the holder is dead;
//! the grantor computes the most that it can have spent, and frees the rest of its slices.
//!
//! The grantor counts the time from its receipt of a report, the holder from the answer, which is
//! later. The holder may miss the answer to its last report and still spend under the one before.
//! So each report names the last one whose answer the holder received, and the grantor keeps both.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::unit::{HolderId, Millis, Time, Tokens};

/// The bound on a holder's spending of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bound {
    /// Budget name.
    pub budget: String,
    /// Tokens spent under this registration in total; never decreases.
    pub spent: Tokens,
    /// Limit on the tokens spent under this registration, to which `rate` adds.
    pub limit: Tokens,
    /// Tokens that it may spend beyond `limit` for each second since it learned that the grantor
    /// accepted the bound.
    pub rate: Tokens,
}

impl Bound {
    /// Returns the most tokens that the holder may have spent `elapsed` after the grantor accepted
    /// the bound. `elapsed` is `None` if it is unknown.
    fn max_spent(&self, elapsed: Option<Millis>) -> Tokens {
        match elapsed {
            _ if self.rate == 0 => self.limit,
            Some(span) => self.limit.saturating_add(accrued(self.rate, span)),
            None => Tokens::MAX,
        }
    }
}

/// Returns `rate` per second times `span`, rounded up.
fn accrued(rate: Tokens, span: Millis) -> Tokens {
    rate.saturating_mul(span.0).div_ceil(1000)
}

/// A holder's spending limit, from its last bound that the grantor accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpendingLimit {
    limit: Tokens,
    rate: Tokens,
    since: Time,
}

impl SpendingLimit {
    /// Returns the most tokens that the holder may have spent in total by `now`.
    pub fn at(&self, now: Time) -> Tokens {
        // Rounds down where the grantor rounds up, so the holder never exceeds the grantor's
        // estimate.
        let growth = self.rate.saturating_mul(now.since(self.since).0) / 1000;
        self.limit.saturating_add(growth)
    }

    /// Returns how long after `now` the limit reaches `n` tokens in total; `None` if it never does.
    pub fn time_until(&self, now: Time, n: Tokens) -> Option<Millis> {
        let missing = n.saturating_sub(self.at(now));
        if missing == 0 {
            return Some(Millis(0));
        }
        let span = missing.saturating_mul(1000).checked_div(self.rate)?;
        Some(Millis(span.saturating_add(1)))
    }

    /// Applies bound `b`, which the grantor has accepted; its rate counts from `now`.
    pub fn accept(&mut self, now: Time, b: &Bound) {
        *self = SpendingLimit { limit: b.limit, rate: b.rate, since: now };
    }
}

/// A holder's report of its bounds, as recorded by the grantor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundsReport {
    /// Sequence number at the holder.
    pub seq: u64,
    /// Wall-clock time at which the grantor accepted it; 0 if unknown.
    pub at: Time,
}

/// A holder's last report of bounds, and the last one whose acceptance it had learned of by then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastReports {
    /// The last report.
    pub last: BoundsReport,
    /// The last report whose acceptance the holder had learned of when it sent `last`.
    pub before: BoundsReport,
}

/// How long a dead holder may have run after each of its last two reports; `None` if unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Elapsed {
    /// Time since the last report was accepted.
    pub last: Option<Millis>,
    /// Time since the report before the last one was accepted.
    pub before: Option<Millis>,
}

/// The bounds on one budget in a holder's last two reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct LastBounds {
    last: Bound,
    before: Bound,
}

/// The bounds of all holders, at their grantor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// The numbers and times of each holder's last two reports.
    chains: BTreeMap<HolderId, LastReports>,
    /// The bounds in each holder's last two reports, by budget.
    words: BTreeMap<HolderId, BTreeMap<String, LastBounds>>,
}

impl Bounds {
    /// Records report `seq`, accepted at `at`. `after` is the last report whose acceptance the
    /// holder had learned of. A report that is not newer than the last one is ignored.
    pub fn record(&mut self, holder: HolderId, at: Time, seq: u64, after: u64, bounds: &[Bound]) {
        let reports = self.chains.entry(holder).or_default();
        if seq <= reports.last.seq {
            return;
        }
        let follows = after == reports.last.seq;
        if follows {
            reports.before = reports.last;
        } else if after != reports.before.seq {
            reports.before = BoundsReport { seq: after, at: Time(0) };
        }
        reports.last = BoundsReport { seq, at };
        let by_budget = self.words.entry(holder).or_default();
        if follows {
            for bounds in by_budget.values_mut() {
                bounds.before = bounds.last.clone();
            }
        }
        for b in bounds {
            by_budget.entry(b.budget.clone()).or_default().last = b.clone();
        }
    }

    /// Returns the numbers and times of a holder's last two reports.
    pub fn last_reports(&self, holder: HolderId) -> LastReports {
        self.chains.get(&holder).copied().unwrap_or_default()
    }

    /// Returns the most tokens that a dead holder may have spent of a budget beyond those that it
    /// reported.
    pub fn unreported(&self, holder: HolderId, budget: &str, e: &Elapsed) -> Tokens {
        let Some(bounds) = self.words.get(&holder).and_then(|by_budget| by_budget.get(budget))
        else {
            return 0;
        };
        let max_spent = bounds.last.max_spent(e.last).max(bounds.before.max_spent(e.before));
        max_spent.saturating_sub(bounds.last.spent)
    }

    /// Removes a holder's reports.
    pub fn remove_holder(&mut self, holder: HolderId) {
        self.chains.remove(&holder);
        self.words.remove(&holder);
    }
}
