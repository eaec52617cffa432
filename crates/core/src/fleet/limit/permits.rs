//! Permits for requests to replicas with a rate limit.
//!
//! A token bucket per replica fills at the rate of the limit. It holds little more than two permits,
//! so that the permits issued in any period stay close to the limit. The primary router of a replica
//! issues at the full rate and the secondary at a quarter of it. Both may do so at once while some
//! routers cannot reach the primary or hold an older list. The total, including permits in buckets and
//! issued permits that are not used yet, then stays within one and a half times the limit.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Rate;
use super::issuers::IssueRate;
use crate::route::priority_gate::PriorityGate;
use crate::unit::{Millis, Time};

/// How long a permit is valid, counted from the request for it.
pub const PERMIT_TTL: Millis = Millis(250);

/// Maximum number of permits in one response.
const MAX_BATCH: u32 = 16;

/// The reduced rate is the limit divided by this.
const REDUCED_DIVISOR: u64 = 4;

/// Permits that a bucket holds at any rate, because routers rarely retry exactly on time.
const BASE_BURST: u64 = 2;

/// Beyond [`BASE_BURST`], a bucket holds the permits that it gains in this period.
const BURST_PERIOD: Millis = Millis(250);

/// Lower bound of the rate: one request in ten seconds. Without requests no response could announce
/// that the limit is lifted.
const MIN_RATE: Rate = Rate(100);

/// Shortest and longest time after which a router that got no permit retries.
const RETRY_RANGE: (Millis, Millis) = (Millis(50), Millis::seconds(4));

/// Number of millionths in one permit. A rate in thousandths per second equals that many millionths
/// per millisecond.
const MILLIONTHS: u64 = 1_000_000;

/// A router's request for permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The replica's id.
    pub replica: String,
    /// The replica's data centre.
    pub data_centre: String,
    /// The replica's limit as the requesting router has it.
    pub rate: Rate,
    /// Priority of the request to send; 0 is the most urgent.
    pub priority: u8,
    /// Permits that the router can use while they are valid.
    pub wanted: u32,
}

/// The response to a request for permits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of permits issued.
    pub permits: u32,
    /// Time after which to retry, if there are none.
    pub after: Millis,
    /// The responding router is a new primary at the reduced rate: the secondary may have permits.
    #[serde(default, rename = "stands_back")]
    pub reduced: bool,
}

/// The token bucket of one replica.
#[derive(Clone, Debug)]
struct Bucket {
    /// Millionths of permits in the bucket at `at`.
    level: u64,
    at: Time,
    /// The latest retry time returned to a refused router.
    last_retry: Time,
    priority_gate: PriorityGate,
}

/// The permits that one router issues, by replica.
#[derive(Clone, Debug, Default)]
pub struct PermitBuckets {
    buckets: BTreeMap<String, Bucket>,
}

impl PermitBuckets {
    /// Issues permits for `req`, or returns the time after which to retry. A new bucket starts empty,
    /// because requests sent before it existed count towards the limit.
    pub fn grant(&mut self, now: Time, req: &PermitRequest, issue_rate: IssueRate) -> Grant {
        let full = req.rate.max(MIN_RATE).0;
        let rate = match issue_rate {
            IssueRate::Full => full,
            IssueRate::Reduced => full.div_ceil(REDUCED_DIVISOR),
        };
        let empty = || Bucket {
            level: 0,
            at: now,
            last_retry: now,
            priority_gate: PriorityGate::default(),
        };
        let b = self.buckets.entry(req.replica.clone()).or_insert_with(empty);
        b.fill(now, rate);
        let permits = b.take(now, req);
        match permits {
            0 => Grant { after: b.refuse(now, req.priority, rate), ..Grant::default() },
            permits => Grant { permits, ..Grant::default() },
        }
    }

    /// Removes a replica's bucket.
    pub fn remove(&mut self, replica: &str) {
        self.buckets.remove(replica);
    }

    /// Removes the buckets that have not been used for `after`. Recreated, they start empty instead of
    /// full.
    pub fn expire(&mut self, now: Time, after: Millis) {
        self.buckets.retain(|_, b| now.since(b.at) < after);
    }
}

impl Bucket {
    fn fill(&mut self, now: Time, rate: u64) {
        let capacity = BASE_BURST * MILLIONTHS + rate * BURST_PERIOD.0;
        let Millis(elapsed) = now.since(self.at);
        self.level = self.level.saturating_add(elapsed.saturating_mul(rate)).min(capacity);
        self.at = self.at.max(now);
    }

    fn take(&mut self, now: Time, req: &PermitRequest) -> u32 {
        if !self.priority_gate.admits(now, req.priority) {
            return 0;
        }
        let available = (self.level / MILLIONTHS).min(u64::from(MAX_BATCH)) as u32;
        let permits = available.min(req.wanted.max(1));
        self.level -= u64::from(permits) * MILLIONTHS;
        if permits > 0 {
            self.priority_gate.record_admitted();
        }
        permits
    }

    /// Records a refusal and returns the time after which to retry. Retries are spaced at the rate of
    /// the bucket.
    fn refuse(&mut self, now: Time, priority: u8, rate: u64) -> Millis {
        self.priority_gate.record_refused(now, priority);
        let interval = Millis(MILLIONTHS.div_ceil(rate.max(1)));
        let latest = now.after(RETRY_RANGE.1);
        self.last_retry = self.last_retry.max(now).after(interval).min(latest);
        self.last_retry.since(now).max(RETRY_RANGE.0)
    }
}
