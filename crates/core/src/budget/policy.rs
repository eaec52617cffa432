//! Sizes of lease requests and grants, the interval between reports, and the spending rate that the
//! sizes depend on.

use serde::{Deserialize, Serialize};

use super::bound::hold_off;
use crate::unit::{Millis, Time, Tokens};

/// Inverse of the weight of the newest sample in a [`Rate`].
const SMOOTHING_DIVISOR: u64 = 4;

/// The slice policy of one budget, set by its configuration template.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Time for which a holder requests tokens in advance, at its current spending rate.
    pub horizon: Millis,
    /// Smallest number of tokens that a holder requests in advance.
    pub floor: Tokens,
    /// Divisor that limits how much one grant takes of the free tokens beyond what a waiting
    /// request needs: `free / (share * holders)`.
    pub share: u64,
    /// Percentage of the free tokens that each data centre keeps in reserve for a partition.
    pub reserve: u64,
    /// How long a holder that cannot reach its grantor may spend its leased tokens.
    pub offline: Millis,
    /// Whether holders report a bound on their spending, so that a dead holder strands few tokens.
    #[serde(default)]
    pub bounded: bool,
    /// The terms of one holder's bound. Each holder computes its own, so they are not stored.
    #[serde(skip)]
    pub terms: HolderTerms,
}

/// What a holder's bound depends on besides its tokens and its spending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderTerms {
    /// Most that idle tokens alone add to the allowance, and to the early growth per second.
    pub idle_cap: Tokens,
    /// The hold-off at the grantor; 0 for none.
    pub hold_off: Millis,
    /// The early period at the grantor, in which the part of the growth due to idle tokens is capped.
    pub early_for: Millis,
    /// Time in which the growth reaches its rate; 0 for the whole rate from the start.
    pub ramp: Millis,
}

impl Default for HolderTerms {
    fn default() -> HolderTerms {
        HolderTerms {
            idle_cap: Tokens::MAX,
            hold_off: Millis(0),
            early_for: Millis(0),
            ramp: Millis(0),
        }
    }
}

impl HolderTerms {
    /// Returns the factor, as a fraction, on the growth after the early period. It makes up for the
    /// slower start: 8 s after a report a holder may spend at least as much as under linear growth.
    pub fn catch_up(&self) -> (u64, u64) {
        match self.hold_off {
            Millis(0) => (9, 8),
            _ => (4, 3),
        }
    }
}

impl Default for Policy {
    fn default() -> Policy {
        let (horizon, offline) = (Millis::seconds(10), Millis::seconds(14_400));
        Policy {
            horizon,
            floor: 2_000,
            share: 2,
            reserve: 10,
            offline,
            bounded: false,
            terms: HolderTerms::default(),
        }
    }
}

/// Horizon for an account's prepaid tokens; covers short outages of the control group.
const PREPAID_HORIZON: Millis = Millis::seconds(15);

/// Smallest slice of an account's prepaid tokens, as the divisor of their total.
const PREPAID_FLOOR_DIVISOR: u64 = 64;

/// Allowance of a bounded holder beyond its reported spending, as a divisor of its tokens per
/// second. Covers the start of a partition; a connected holder can get a higher limit at once.
const ALLOWANCE_DIVISOR: u64 = 4;

/// Least such allowance, as a divisor of the idle tokens, for a holder that has spent little.
const MIN_ALLOWANCE_DIVISOR: u64 = 16;

/// Least growth of the allowance per second without an answer, as a divisor of the idle tokens.
const MIN_GROWTH_DIVISOR: u64 = 16;

/// The idle tokens of all holders of a budget together add at most its prepaid total divided by this
/// to their allowances. A power failure of all holders costs these tokens.
const IDLE_CAP_DIVISOR: u64 = 100;

/// Time in which the growth of a limit reaches its rate, without a hold-off. At most a quarter of this time's
/// spending is delayed while a holder is cut off; a longer ramp strands less when holders die.
const GROWTH_RAMP: Millis = Millis::seconds(3);

impl Policy {
    /// Returns the policy for a client account that has prepaid `tokens` in total.
    pub fn for_prepaid(tokens: Tokens) -> Policy {
        let (horizon, floor) = (PREPAID_HORIZON, tokens / PREPAID_FLOOR_DIVISOR);
        Policy { horizon, floor, reserve: 0, bounded: true, ..Policy::default() }
    }

    /// Returns the policy of one of `holders` of an account that has prepaid `tokens` in total. The
    /// holder reports every `interval`, and its limit grows after a hold-off if `holds_off`.
    ///
    /// With a hold-off a power failure of all holders strands few tokens, but holders that are cut off
    /// refuse requests for some seconds.
    pub fn for_holder(tokens: Tokens, holders: u64, interval: Millis, holds_off: bool) -> Policy {
        let idle_cap = tokens / IDLE_CAP_DIVISOR / holders.max(1);
        let restart = hold_off(interval);
        let terms = match holds_off {
            true => HolderTerms {
                idle_cap,
                hold_off: restart,
                early_for: restart.scale(3, 2),
                ramp: Millis(0),
            },
            false => {
                let hold_off = Millis(0);
                HolderTerms { idle_cap, hold_off, early_for: restart, ramp: GROWTH_RAMP }
            }
        };
        Policy { terms, ..Policy::for_prepaid(tokens) }
    }

    /// Returns how many tokens a holder that spends at `rate` requests while a caller's request of
    /// `need` tokens waits.
    pub fn request_size(&self, rate: &Rate, need: Tokens) -> Tokens {
        let ahead = rate.per_second() * self.horizon.0 / 1000;
        need.saturating_add(ahead.max(self.floor))
    }

    /// Returns how many tokens a holder may spend beyond its reported spending: at once, and in
    /// addition for each second without an answer from the grantor.
    ///
    /// The budget loses these tokens when the holder dies, and those of all holders in a power
    /// failure. So they cover little more than the spending during a partition; partitioned holders
    /// can borrow tokens from each other.
    pub fn unreported_allowance(&self, rate: &Rate, idle: Tokens) -> (Tokens, Tokens) {
        let min_allowance = self.capped(idle / MIN_ALLOWANCE_DIVISOR);
        let allowance = (rate.smoothed() / ALLOWANCE_DIVISOR).max(min_allowance);
        let growth = usual_growth(rate).max(idle / MIN_GROWTH_DIVISOR);
        (allowance, growth)
    }

    /// Returns the growth per second that replaces that of [`Policy::unreported_allowance`] while a
    /// holder may still be restarting: the part due to idle tokens is capped.
    pub fn early_growth(&self, rate: &Rate, idle: Tokens) -> Tokens {
        usual_growth(rate).max(self.capped(idle / MIN_GROWTH_DIVISOR))
    }

    fn capped(&self, tokens: Tokens) -> Tokens {
        tokens.min(self.terms.idle_cap)
    }

    /// Returns the target size of a data centre's reserve while `free` tokens are free.
    pub fn reserve_target(&self, free: Tokens) -> Tokens {
        free / 100 * self.reserve.min(100)
    }

    /// Returns the size of a grant out of `free` tokens while `holders` share the budget, or `None`
    /// if `free` is less than `need`, or is zero.
    ///
    /// As the free tokens run out, the grant shrinks from `want` to `need`.
    pub fn grant_size(
        &self,
        free: Tokens,
        holders: u64,
        need: Tokens,
        want: Tokens,
    ) -> Option<Tokens> {
        if need > free || (need == 0 && free == 0) {
            return None;
        }
        let spare = (free - need) / (self.share.max(1) * holders.max(1));
        Some(need + spare.min(want.saturating_sub(need)))
    }
}

/// Returns the growth per second of a holder that spends at `rate`.
fn usual_growth(rate: &Rate) -> Tokens {
    rate.smoothed() * 9 / 8
}

/// Rate at which all holders together send spending reports to a control group. Reports
/// of many routers share commits, so this costs the group little, and a dead holder counts as
/// spending for a shorter time since its last report.
const MAX_REPORTS_PER_SECOND: u64 = 280;

/// Shortest interval between two reports of one holder. If the holder dies, its budget loses the
/// tokens that it may spend in an interval.
const MIN_REPORT_INTERVAL: Millis = Millis(250);

/// Returns the interval between two reports of each of `holders`, at most `max`. Fewer holders
/// report more often.
pub fn report_interval(holders: u64, max: Millis) -> Millis {
    Millis(holders * 1_000 / MAX_REPORTS_PER_SECOND).max(MIN_REPORT_INTERVAL).min(max)
}

/// A smoothed spending rate, in tokens per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    /// Moving average of the closed samples.
    smoothed: u64,
    /// Tokens of the current sample.
    current: Tokens,
    /// When the current sample began.
    since: Time,
}

impl Rate {
    /// Records `tokens` spent at `now`.
    pub fn record(&mut self, now: Time, tokens: Tokens) {
        self.close_sample(now);
        self.current += tokens;
    }

    /// Closes the current sample if it is at least a second old.
    pub fn close_sample(&mut self, now: Time) {
        let span = now.since(self.since);
        if span < Millis::seconds(1) {
            return;
        }
        let sample = self.current * 1000 / span.0;
        let old = if span > Millis::seconds(60) { 0 } else { self.smoothed };
        self.smoothed = old - old / SMOOTHING_DIVISOR + sample.div_ceil(SMOOTHING_DIVISOR);
        self.current = 0;
        self.since = now;
    }

    /// Returns the smoothed rate of the closed samples; a single large request has little effect.
    pub fn smoothed(&self) -> u64 {
        self.smoothed
    }

    /// Returns the smoothed rate, or the tokens of the current sample if those are more.
    pub fn per_second(&self) -> u64 {
        self.smoothed.max(self.current)
    }
}
