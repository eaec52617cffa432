//! Bounds on a holder's unreported spending, so that a dead holder's unspent tokens can be freed.
//!
//! A holder keeps large slices to outlast network partitions, and would strand them when it dies.
//! So it reports a bound per budget: it spends at most a limit that the grantor has committed, plus
//! a rate for each second since it learned that. When its successor registers, the holder is dead;
//! the grantor computes the most that it can have spent, and frees the rest of its slices.
//!
//! A request counts towards the limit from the time at which its response begins: until then its caller has
//! received nothing, and nothing is lost if the holder dies.
//!
//! The grantor counts the time from its receipt of a report, the holder from the answer, which is
//! later. The holder may miss the answer to its last report and still spend under the one before.
//! So each report names the last one whose answer the holder received, and the grantor keeps both.
//!
//! The grantor does not know when a holder died, only when its successor started. A limit therefore grows
//! with the square of the time at first: little by the time that a machine has restarted, and as much as
//! the holder usually spends once it is more likely to be cut off. With a hold-off it does not grow at all
//! for some seconds.
//! The holder applies longer times than the grantor and counts less time, to allow for clock drift.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::unit::{HolderId, Millis, Time, Tokens};

/// Shortest hold-off at the grantor.
const MIN_HOLD_OFF: Millis = Millis(2_500);

/// Time from a power failure to the start of the process on the restarted machine (2 s), with the
/// margin for wall clocks by which a new leader measures it.
const MAX_RESTART: Millis = Millis(2_300);

/// Report interval above which the hold-off does not rise: a longer one delays the catch-up too much.
const MAX_REPORT_INTERVAL: Millis = Millis(1_000);

/// Factor, as a fraction, by which a holder's hold-off and early period are longer than the grantor's.
const HOLDER_SPAN: (u64, u64) = (11, 10);

/// Fraction that counts of a time measured by a holder. Its clock and the grantor's may each drift by
/// 1 in 1,000; the rest is reserve.
const DRIFT: (u64, u64) = (99, 100);

/// Returns the hold-off at the grantor for a holder that reports every `interval`. It covers a
/// restart, measured from the last report but one.
pub fn hold_off(interval: Millis) -> Millis {
    let reports = interval.min(MAX_REPORT_INTERVAL).scale(2, 1);
    Millis(MAX_RESTART.0 + reports.0).max(MIN_HOLD_OFF)
}

/// Time that a request needs after its tokens were reserved, to be answered before its deadline.
const MIN_SERVING_TIME: Millis = Millis(500);

/// Longest wait for a limit: the hold-off of a holder, with some time to spare. A caller gives up a
/// stream without an event after some seconds, even if its deadline is later.
const MAX_LIMIT_WAIT: Millis = Millis(3_200);

/// Returns whether a request with `time_left` until its deadline waits for a spending limit that
/// allows its tokens `after` this time.
///
/// Callers retry once, and within a third of their remaining time. During a hold-off most of them
/// would be refused twice.
pub fn may_wait_for_limit(after: Millis, time_left: Millis) -> bool {
    after <= MAX_LIMIT_WAIT && after.0 + MIN_SERVING_TIME.0 <= time_left.0
}

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
    /// accepted the bound, once the hold-off is over.
    pub rate: Tokens,
    /// Time for which the grantor adds nothing to `limit`. 0 in bounds of the previous release, whose
    /// limits grow from the start.
    #[serde(default)]
    pub hold_off: Millis,
    /// The rate that applies instead of `rate` during the early period, if lower.
    #[serde(default)]
    pub early_rate: Tokens,
    /// Length of the early period at the grantor; 0 in bounds of the previous release.
    #[serde(default)]
    pub early_for: Millis,
    /// Time in which the growth reaches its rate; 0 in bounds of the previous release.
    #[serde(default)]
    pub ramp: Millis,
    /// The part of `limit` for requests that are being spent on, at the most that they can use.
    #[serde(default)]
    pub begun: Tokens,
}

/// What the tokens consist of that a holder may have spent without reporting them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnreportedParts {
    /// Requests that are being spent on, at the most that they can use.
    pub begun: Tokens,
    /// Requests that begin until the next report.
    pub allowance: Tokens,
    /// Growth of the limit since the last report.
    pub growth: Tokens,
}

impl Bound {
    /// Returns the most tokens that the holder may have spent `elapsed` after the grantor accepted
    /// the bound. `elapsed` is `None` if it is unknown.
    fn max_spent(&self, elapsed: Option<Millis>) -> Tokens {
        match elapsed {
            _ if self.rate == 0 => self.limit,
            Some(span) => self.limit.saturating_add(self.growth().after(span, u128::div_ceil)),
            None => Tokens::MAX,
        }
    }

    /// Returns the growth that the grantor assumes.
    fn growth(&self) -> Growth {
        let early_rate = self.early_rate.min(self.rate);
        let (hold_off, early_for, ramp) = (self.hold_off, self.early_for, self.ramp);
        Growth { rate: self.rate, early_rate, hold_off, early_for, ramp }
    }
}

/// Growth of a limit: its rate times all the time since the bound was accepted, and less during the ramp,
/// in proportion to the time. The rate rises in steps, so the limit never falls.
#[derive(Clone, Copy, Debug, Default)]
struct Growth {
    rate: Tokens,
    /// Applies during the early period; not above `rate`.
    early_rate: Tokens,
    hold_off: Millis,
    early_for: Millis,
    ramp: Millis,
}

/// Milliseconds per second.
const MS_PER_S: u128 = 1_000;

impl Growth {
    /// Returns the growth in tokens after `span`. `divide` rounds up or down.
    fn after(&self, span: Millis, divide: impl Fn(u128, u128) -> u128) -> Tokens {
        let product = u128::from(self.rate_after(span)) * u128::from(span.0);
        let (part, whole) = match self.ramp {
            Millis(0) => (1, 1),
            ramp => (u128::from(span.min(ramp).0), u128::from(ramp.0)),
        };
        let growth = divide(product.saturating_mul(part), MS_PER_S * whole);
        Tokens::try_from(growth).unwrap_or(Tokens::MAX)
    }

    /// Returns the rate that counts for the whole time `span`.
    fn rate_after(&self, span: Millis) -> Tokens {
        match span {
            span if span < self.hold_off => 0,
            span if span < self.early_for => self.early_rate,
            _ => self.rate,
        }
    }

    /// Returns the shortest time after which the limit has grown by `n` tokens; `None` if it never
    /// does.
    fn time_to_grow(&self, n: Tokens) -> Option<Millis> {
        let at_rate = |rate: Tokens| (rate > 0).then(|| self.time_at_rate(rate, n));
        let early = at_rate(self.early_rate).map(|t| t.max(self.hold_off));
        let late = at_rate(self.rate).map(|t| t.max(self.early_for).max(self.hold_off));
        early.filter(|t| *t < self.early_for).or(late)
    }

    /// Returns the shortest time after which a growth of `rate` has reached `n` tokens.
    fn time_at_rate(&self, rate: Tokens, n: Tokens) -> Millis {
        let to_millis = |ms: u128| Millis(u64::try_from(ms).unwrap_or(u64::MAX));
        let (needed, rate) = (u128::from(n) * MS_PER_S, u128::from(rate));
        let linear = to_millis(needed.div_ceil(rate));
        if linear >= self.ramp {
            return linear;
        }
        let square = (needed * u128::from(self.ramp.0)).div_ceil(rate);
        let root = square.isqrt();
        to_millis(if root * root < square { root + 1 } else { root })
    }
}

/// A holder's spending limit, from its last bound that the grantor accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpendingLimit {
    limit: Tokens,
    growth: Growth,
    since: Time,
}

impl SpendingLimit {
    /// Returns the most tokens that the holder may have spent in total by `now`.
    pub fn at(&self, now: Time) -> Tokens {
        // Rounds down where the grantor rounds up, so the holder never exceeds the grantor's
        // estimate.
        let span = now.since(self.since).scale(DRIFT.0, DRIFT.1);
        self.limit.saturating_add(self.growth.after(span, |n, by| n / by))
    }

    /// Returns how long after `now` the limit reaches `n` tokens in total; `None` if it never does.
    pub fn time_until(&self, now: Time, n: Tokens) -> Option<Millis> {
        if n <= self.at(now) {
            return Some(Millis(0));
        }
        let counted = self.growth.time_to_grow(n - self.limit)?;
        let span = Millis(counted.0.saturating_mul(DRIFT.1).div_ceil(DRIFT.0));
        Some(self.since.after(span).since(now))
    }

    /// Applies bound `b`, which the grantor has accepted; its rate counts from `now`.
    pub fn accept(&mut self, now: Time, b: &Bound) {
        let scaled = |span: Millis| span.scale(HOLDER_SPAN.0, HOLDER_SPAN.1);
        let (hold_off, early_for) = (scaled(b.hold_off), scaled(b.early_for));
        let growth = Growth { hold_off, early_for, ..b.growth() };
        *self = SpendingLimit { limit: b.limit, growth, since: now };
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

/// Returns the longest time that a dead holder may have run after a report that was accepted
/// `since_report` ago. Its successor states that it was running for `age`, by its own clock.
pub fn longest_run(since_report: Millis, age: Millis) -> Millis {
    Millis(since_report.0.saturating_sub(age.scale(DRIFT.0, DRIFT.1).0))
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

    /// Returns the parts of [`Bounds::unreported`] by the last report, over all budgets.
    pub fn unreported_parts(&self, holder: HolderId, e: &Elapsed) -> UnreportedParts {
        let mut sum = UnreportedParts::default();
        for bounds in self.words.get(&holder).into_iter().flat_map(BTreeMap::values) {
            let b = &bounds.last;
            let unspent = b.limit.saturating_sub(b.spent);
            sum.begun += b.begun;
            sum.allowance += unspent.saturating_sub(b.begun);
            sum.growth += b.max_spent(e.last).saturating_sub(b.limit);
        }
        sum
    }

    /// Removes a holder's reports.
    pub fn remove_holder(&mut self, holder: HolderId) {
        self.chains.remove(&holder);
        self.words.remove(&holder);
    }
}
