//! The rate limits of replicas as one process knows them, from responses that it forwarded and from
//! reports of other processes.
//!
//! Responses may arrive out of order. A response to a request that was sent after the last observation
//! is current. One to an earlier request may predate that observation, so it can lower a limit but not
//! raise or lift it. Reports of other processes count from the time of their observation.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};

use super::Rate;
use crate::unit::{Millis, Time};

/// Observations of different processes within this time of each other have no known order: the lower
/// limit applies. It covers the time that a report is in transit.
const ORDER_UNCERTAINTY: Millis = Millis(250);

/// How long a lifted limit is remembered, so that a late report does not restore it.
const LIFTED_RETENTION: Millis = Millis::seconds(10);

/// How long a limit is remembered without a further observation. Responses to later requests announce
/// it again.
const LIMIT_RETENTION: Millis = Millis::seconds(120);

/// One process's report on a replica's limit, sent to other processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The replica's id.
    pub replica: String,
    /// The replica's incarnation, from its registration; 0 if unknown.
    pub born: u64,
    /// The limit, or `None` if it is lifted.
    pub rate: Option<Rate>,
    /// Time since a response announced it.
    pub age: Millis,
}

/// A change of a replica's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// The limit before.
    pub from: Option<Rate>,
    /// The limit now.
    pub to: Option<Rate>,
}

#[derive(Clone, Debug)]
struct Limit {
    born: u64,
    rate: Option<Rate>,
    /// Since when the replica has had a limit.
    limited_since: Time,
    /// Last observation by any process.
    observed: Time,
    position: u64,
    /// When this process last reported its own observation; `None` if not yet.
    reported: Option<Time>,
    /// Last observation by this process.
    observed_here: Option<Time>,
}

/// The limits that one process knows, with a feed of their changes.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    by_replica: BTreeMap<String, Limit>,
    by_position: BTreeMap<u64, String>,
    position: u64,
}

/// Returns whether `a` is lower than `b`; `None` is unlimited.
fn is_lower(a: Option<Rate>, b: Option<Rate>) -> bool {
    a.is_some_and(|a| b.is_none_or(|b| a < b))
}

impl RateLimits {
    /// Returns the limit of a replica.
    pub fn rate(&self, replica: &str) -> Option<Rate> {
        self.by_replica.get(replica)?.rate
    }

    /// Returns how long a replica has had a limit.
    pub fn age(&self, now: Time, replica: &str) -> Millis {
        self.by_replica.get(replica).map_or(Millis(0), |l| now.since(l.limited_since))
    }

    /// Iterates over the replicas with a limit.
    pub fn limited(&self) -> impl Iterator<Item = (&str, Rate)> {
        self.by_replica.iter().filter_map(|(replica, l)| Some((replica.as_str(), l.rate?)))
    }

    /// Records the limit announced by a response to a request sent at `sent`, or `None` if it announced
    /// none. Returns the change, if any.
    pub fn record_response(
        &mut self,
        now: Time,
        replica: &str,
        born: u64,
        sent: Time,
        rate: Option<Rate>,
    ) -> Option<LimitChange> {
        let known = self.by_replica.get_mut(replica).filter(|l| l.born == born);
        let Some(l) = known else {
            rate?;
            self.put(now, replica, born, rate, now, true);
            return Some(LimitChange { from: None, to: rate });
        };
        if l.rate == rate {
            l.observed = now;
            l.observed_here = Some(now);
            return None;
        }
        let from = l.rate;
        let may_be_older = sent < l.observed;
        if may_be_older && !is_lower(rate, from) {
            return None;
        }
        self.put(now, replica, born, rate, now, true);
        Some(LimitChange { from, to: rate })
    }

    /// Applies another process's report. Returns the change, if any.
    pub fn apply(&mut self, now: Time, r: &LimitReport) -> Option<LimitChange> {
        let observed = now.before(r.age);
        let known = self.by_replica.get_mut(&r.replica);
        let Some(l) = known.filter(|l| l.born <= r.born || r.born == 0) else {
            let is_new = !self.by_replica.contains_key(&r.replica);
            if is_new && r.rate.is_some() {
                self.put(now, &r.replica, r.born, r.rate, observed, false);
                return Some(LimitChange { from: None, to: r.rate });
            }
            return None;
        };
        let restarted = r.born > l.born && l.born != 0;
        if l.rate == r.rate && !restarted {
            l.observed = l.observed.max(observed);
            return None;
        }
        let from = l.rate;
        let is_later = observed > l.observed.after(ORDER_UNCERTAINTY);
        let may_be_later = observed.after(ORDER_UNCERTAINTY) >= l.observed;
        let applies = restarted || is_later || (may_be_later && is_lower(r.rate, from));
        if !applies {
            return None;
        }
        let born = r.born.max(l.born);
        self.put(now, &r.replica, born, r.rate, observed, false);
        Some(LimitChange { from, to: r.rate })
    }

    fn put(
        &mut self,
        now: Time,
        replica: &str,
        born: u64,
        rate: Option<Rate>,
        observed: Time,
        is_own: bool,
    ) {
        self.position += 1;
        let position = self.position;
        let before = self.by_replica.get(replica);
        if let Some(l) = before {
            self.by_position.remove(&l.position);
        }
        let limited_since = match before {
            Some(l) if l.rate.is_some() && l.born == born => l.limited_since,
            _ => observed,
        };
        let observed_here = is_own.then_some(now);
        let l =
            Limit { born, rate, limited_since, observed, position, reported: None, observed_here };
        self.by_replica.insert(replica.to_owned(), l);
        self.by_position.insert(position, replica.to_owned());
    }

    /// Removes a replica that has left or restarted. Returns its limit.
    pub fn remove(&mut self, replica: &str) -> Option<Rate> {
        let l = self.by_replica.remove(replica)?;
        self.by_position.remove(&l.position);
        l.rate
    }

    /// Removes limits that have not been observed for long, and those of replicas for which `is_running`,
    /// called with the id and incarnation, returns false. Returns the removed replicas that had a
    /// limit.
    pub fn expire(&mut self, now: Time, is_running: impl Fn(&str, u64) -> bool) -> Vec<String> {
        let is_old = |replica: &str, l: &Limit| {
            let retention = if l.rate.is_some() { LIMIT_RETENTION } else { LIFTED_RETENTION };
            now.since(l.observed) >= retention || !is_running(replica, l.born)
        };
        let old = self.by_replica.iter().filter(|(replica, l)| is_old(replica, l));
        let mut old: Vec<_> = old.map(|(replica, _)| replica.clone()).collect();
        old.retain(|replica| self.remove(replica).is_some());
        old
    }

    /// Returns a report on each replica with a limit.
    pub fn active_reports(&self, now: Time) -> Vec<LimitReport> {
        self.limited().filter_map(|(replica, _)| self.report(now, replica)).collect()
    }

    fn report(&self, now: Time, replica: &str) -> Option<LimitReport> {
        let l = self.by_replica.get(replica)?;
        let age = now.since(l.observed);
        Some(LimitReport { replica: replica.to_owned(), born: l.born, rate: l.rate, age })
    }

    /// Returns the position of the newest change.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns whether there is a change after position `since`.
    pub fn has_changes(&self, since: u64) -> bool {
        self.by_position.last_key_value().is_some_and(|(newest, _)| *newest > since)
    }

    /// Returns at most `max` changes after position `since`, oldest first, and the position from which
    /// to continue.
    pub fn changes(&self, now: Time, since: u64, max: usize) -> (Vec<LimitReport>, u64) {
        let mut newer = self.by_position.range((Bound::Excluded(since), Bound::Unbounded));
        let batch: Vec<_> = newer.by_ref().take(max).collect();
        let last = batch.last().map_or(since, |(at, _)| **at);
        let position = if newer.next().is_some() { last } else { self.position };
        let reports = batch.into_iter().filter_map(|(_, replica)| self.report(now, replica));
        (reports.collect(), position)
    }

    /// Returns at most `max` due reports on this process's own observations, and marks them as
    /// reported. A change is due at once, and an unchanged limit every `period` while it is observed.
    pub fn take_due_reports(&mut self, now: Time, period: Millis, max: usize) -> Vec<LimitReport> {
        let is_due = |l: &Limit| match (l.observed_here, l.reported) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(observed), Some(at)) => observed > at && now.since(at) >= period,
        };
        let due = self.by_replica.iter_mut().filter(|(_, l)| is_due(l)).take(max);
        let report = |(replica, l): (&String, &mut Limit)| {
            l.reported = Some(now);
            let age = now.since(l.observed);
            LimitReport { replica: replica.clone(), born: l.born, rate: l.rate, age }
        };
        due.map(report).collect()
    }
}
