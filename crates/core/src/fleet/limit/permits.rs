//! Permits: each lets one request go to a replica that names a limit.
//!
//! A bucket for each replica fills at the rate of its limit and holds little more than two permits, so that
//! what is handed out in any span is close to what the limit allows in it. The first router of a
//! replica hands out all of the limit, the second one a quarter: also while both do, which is as long as
//! some routers cannot reach the first or have an older list, the sum stays within one and a half times
//! the limit, what lies in buckets and what is handed out and not used yet included.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Rate;
use super::homes::Rank;
use crate::route::pressure::Pressure;
use crate::unit::{Millis, Time};

/// How long a permit is good, from the moment at which it was asked for.
pub const GOOD_FOR: Millis = Millis(250);

/// The most permits of one answer.
const BATCH: u32 = 16;

/// What the second router hands out: one part in so many of the limit.
const SECOND: u64 = 4;

/// Permits that a bucket saves up: those who are to come one after the other are seldom in time.
const SAVED: u64 = 2;

/// How long a bucket fills beyond those.
const BURST: Millis = Millis(250);

/// A replica whose limit is lower gets one request in ten seconds all the same: if none went there,
/// nobody would hear that its need is over.
const LEAST: Rate = Rate(100);

/// The longest and the shortest time after which a router asks again that got none.
const AGAIN: (Millis, Millis) = (Millis(50), Millis::seconds(4));

/// Millionths of a permit. A limit in thousandths a second is as many of them a millisecond.
const ONE: u64 = 1_000_000;

/// A router asks for permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The replica.
    pub replica: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its limit, as far as the router knows.
    pub rate: Rate,
    /// How urgent the request is; 0 is the most.
    pub priority: u8,
    /// How many it can use while they are good.
    pub wanted: u32,
}

/// What it gets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// So many permits.
    pub permits: u32,
    /// If none: when to ask again.
    pub after: Millis,
    /// The router that answers stands back for now: the other one may have more.
    #[serde(default)]
    pub stands_back: bool,
}

/// The permits of one replica.
#[derive(Clone, Debug)]
struct Bucket {
    /// Millionths of permits that are there.
    level: u64,
    /// As of when.
    at: Time,
    /// When the next router that got none is to ask again.
    turn: Time,
    pressure: Pressure,
}

/// The permits that one router hands out.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    buckets: BTreeMap<String, Bucket>,
}

impl Permits {
    /// Answers a router's ask. A bucket begins empty: what was sent before it was there counts too.
    pub fn grant(&mut self, now: Time, ask: &Ask, rank: Rank) -> Grant {
        let full = ask.rate.max(LEAST).0;
        let rate = match rank {
            Rank::First => full,
            Rank::Second => full.div_ceil(SECOND),
        };
        let fresh = || Bucket { level: 0, at: now, turn: now, pressure: Pressure::default() };
        let b = self.buckets.entry(ask.replica.clone()).or_insert_with(fresh);
        b.fill(now, rate);
        let permits = b.take(now, ask);
        match permits {
            0 => Grant { after: b.refuse(now, ask.priority, rate), ..Grant::default() },
            permits => Grant { permits, ..Grant::default() },
        }
    }

    /// Forgets a replica.
    pub fn forget(&mut self, replica: &str) {
        self.buckets.remove(replica);
    }

    /// Forgets the replicas that nobody has asked for lately: their buckets would be full, and begin
    /// empty instead.
    pub fn trim(&mut self, now: Time, after: Millis) {
        self.buckets.retain(|_, b| now.since(b.at) < after);
    }
}

impl Bucket {
    fn fill(&mut self, now: Time, rate: u64) {
        let most = SAVED * ONE + rate * BURST.0;
        let Millis(span) = now.since(self.at);
        self.level = self.level.saturating_add(span.saturating_mul(rate)).min(most);
        self.at = self.at.max(now);
    }

    fn take(&mut self, now: Time, ask: &Ask) -> u32 {
        if !self.pressure.allows(now, ask.priority) {
            return 0;
        }
        let there = (self.level / ONE).min(u64::from(BATCH)) as u32;
        let permits = there.min(ask.wanted.max(1));
        self.level -= u64::from(permits) * ONE;
        if permits > 0 {
            self.pressure.took();
        }
        permits
    }

    /// Notes that an ask got none. Those that got none are to ask one after the other, as permits come in.
    fn refuse(&mut self, now: Time, priority: u8, rate: u64) -> Millis {
        self.pressure.refuse(now, priority);
        let each = Millis(ONE.div_ceil(rate.max(1)));
        let latest = now.after(AGAIN.1);
        self.turn = self.turn.max(now).after(each).min(latest);
        self.turn.since(now).max(AGAIN.0)
    }
}
