//! One router's share of the fleet's retry budget.
//!
//! A router cannot know which retries other routers, or its own process before a restart, have made for the
//! callers it serves now. It therefore keeps no credit that another may have spent: requests add credit, but
//! what is saved up to a point in time is bounded by the router's part of [`RetryLimit::extra`]. The
//! retries of the fleet in any window are then at most the credit saved by all routers at its start, plus the
//! credit added within it, however callers move between routers and whichever of them restart.

use std::fmt;

use crate::unit::{Millis, Time};

/// The credit for one retry, in millionths of a retry.
const RETRY: u64 = 1_000_000;

/// The fleet's limit: in each window of length `window`, at most `percent` retries per 100
/// requests, plus `extra`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryLimit {
    /// Retries per 100 requests.
    pub percent: u64,
    /// Additional retries of the whole fleet, independent of the number of requests.
    pub extra: u64,
    /// Length of the sliding window.
    pub window: Millis,
}

impl RetryLimit {
    /// Returns the share of each of `routers` routers. Half of its part of `extra` bounds the credit that it
    /// saves, which has to suffice for one retry; the rest is added as credit in the course of each window.
    pub fn share(&self, routers: u64) -> RetryShare {
        let extra = self.extra.saturating_mul(RETRY) / routers.max(1);
        let max_saved = (extra / 2).max(extra.min(RETRY));
        RetryShare {
            per_request: self.percent.saturating_mul(RETRY / 100),
            max_saved,
            per_window: extra - max_saved,
            window: self.window,
        }
    }
}

/// The credit that one router may gain and save. Credit is in millionths of a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryShare {
    per_request: u64,
    max_saved: u64,
    per_window: u64,
    window: Millis,
}

impl RetryShare {
    /// Returns the share of a router that belongs to no fleet: `percent` retries per 100 requests, of which it
    /// saves up to `max_saved`.
    pub const fn single(percent: u64, max_saved: u64) -> RetryShare {
        RetryShare {
            per_request: percent * (RETRY / 100),
            max_saved: max_saved * RETRY,
            per_window: 0,
            window: Millis(0),
        }
    }

    /// Returns whether the credit saved can ever suffice for a retry.
    pub fn allows_retries(&self) -> bool {
        self.max_saved >= RETRY
    }
}

/// The retry credit of one service at one router.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    credit: u64,
    updated: Time,
}

impl RetryBudget {
    /// Returns a budget without credit.
    pub fn new(now: Time) -> RetryBudget {
        RetryBudget { credit: 0, updated: now }
    }

    /// Returns a budget with all the credit that the share allows to save.
    pub fn full(now: Time, share: &RetryShare) -> RetryBudget {
        RetryBudget { credit: share.max_saved, updated: now }
    }

    /// Adds the credit of the time since the last update, and `gained`.
    fn add(&mut self, now: Time, share: &RetryShare, gained: u64) {
        let Millis(elapsed) = now.since(self.updated);
        let timed = elapsed.saturating_mul(share.per_window) / share.window.0.max(1);
        self.credit = self.credit.saturating_add(timed).saturating_add(gained).min(share.max_saved);
        self.updated = self.updated.max(now);
    }

    /// Adds the credit of a request.
    pub fn record_request(&mut self, now: Time, share: &RetryShare) {
        self.add(now, share, share.per_request);
    }

    /// Returns whether the credit suffices for a retry.
    pub fn has_retry(&mut self, now: Time, share: &RetryShare) -> bool {
        self.add(now, share, 0);
        self.credit >= RETRY
    }

    /// Withdraws one retry. Returns `false` if the credit does not suffice.
    pub fn try_take(&mut self, now: Time, share: &RetryShare) -> bool {
        let taken = self.has_retry(now, share);
        if taken {
            self.credit -= RETRY;
        }
        taken
    }
}

/// Formats the credit in retries, with two decimals.
impl fmt::Display for RetryBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:02}", self.credit / RETRY, self.credit % RETRY / (RETRY / 100))
    }
}
