//! How large a slice a holder asks for and a grantor gives.

use serde::{Deserialize, Serialize};

use crate::unit::{Millis, Time, Tokens};

/// Weight of the newest sample in a [`Rate`], as a divisor.
const SMOOTHING: u64 = 4;

/// The slice policy of one budget; the template sets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// How much of its own spending a holder keeps in hand.
    pub horizon: Millis,
    /// The smallest slice asked for.
    pub floor: Tokens,
    /// The largest part of the free tokens that one grant may take beyond what a waiting request
    /// needs: `free / (share * holders)`.
    pub share: u64,
    /// The part of the free tokens that each data centre keeps in reserve for a cut, in hundredths.
    pub reserve: u64,
    /// How long a holder that cannot reach its grantor may go on spending what it has.
    pub offline: Millis,
    /// A holder binds itself to a limit and a rate, so that its death strands little.
    #[serde(default)]
    pub bounded: bool,
}

impl Default for Policy {
    fn default() -> Policy {
        let (horizon, offline) = (Millis::seconds(10), Millis::seconds(14_400));
        Policy { horizon, floor: 2_000, share: 2, reserve: 10, offline, bounded: false }
    }
}

/// How much of its spending a holder keeps in hand of an account's prepaid tokens, to outlast the
/// cuts from the group that are ordinary.
const PREPAID_HORIZON: Millis = Millis::seconds(15);

/// The part of an account's prepaid tokens that a holder asks for at least, as a divisor.
const PREPAID_FLOOR: u64 = 64;

/// The part of its usual spending in a second that a bound holder may spend beyond what it has
/// told, as a divisor. It can have more of its grantor at once, so this is for the start of a cut.
const ROOM_SPAN: u64 = 2;

/// The same as a part of what is idle, for a holder that has spent nothing yet.
const ROOM_SHARE: u64 = 16;

/// The part of what is idle that a bound holder may spend for each second without an answer.
const GROWTH_SHARE: u64 = 16;

impl Policy {
    /// The policy for an account that has prepaid `tokens` in all.
    pub fn for_prepaid(tokens: Tokens) -> Policy {
        let (horizon, floor) = (PREPAID_HORIZON, tokens / PREPAID_FLOOR);
        Policy { horizon, floor, reserve: 0, bounded: true, ..Policy::default() }
    }

    /// What a holder that spends at `rate` asks for when a request of `need` waits.
    pub fn want(&self, rate: &Rate, need: Tokens) -> Tokens {
        let ahead = rate.per_second() * self.horizon.0 / 1000;
        need.saturating_add(ahead.max(self.floor))
    }

    /// What a holder that spends at `rate` and has `idle` tokens may spend beyond what it has
    /// told, in all and for each second without an answer.
    ///
    /// Whatever it may spend unheard is lost to the budget when it dies, and if all holders lose
    /// power together it is lost for all of them. So it is what a cut takes, and hardly more:
    /// holders that are cut off set tokens aside for each other.
    pub fn beyond(&self, rate: &Rate, idle: Tokens) -> (Tokens, Tokens) {
        let usual = rate.usual();
        let room = (usual / ROOM_SPAN).max(idle / ROOM_SHARE);
        let growth = (usual * 9 / 8).max(idle / GROWTH_SHARE);
        (room, growth)
    }

    /// What a data centre's reserve should come to while `free` tokens are free.
    pub fn target(&self, free: Tokens) -> Tokens {
        free / 100 * self.reserve.min(100)
    }

    /// What a grantor gives out of `free`, with `holders` sharing the budget, or `None` if the
    /// need does not fit.
    ///
    /// The slice shrinks as the free rest does, down to the bare need.
    pub fn give(&self, free: Tokens, holders: u64, need: Tokens, want: Tokens) -> Option<Tokens> {
        if need > free || (need == 0 && free == 0) {
            return None;
        }
        let spare = (free - need) / (self.share.max(1) * holders.max(1));
        Some(need + spare.min(want.saturating_sub(need)))
    }
}

/// Reports of spending that a group takes in a second. Those that come within a tick share a commit, so
/// that more of them cost it little: nine control processes with 70 holders used 0.007 of a core in
/// the mean with 70 reports a second and with 280. What it buys: a dead holder's span, which counts
/// at its rate, begins with its last report, up to 250 ms ago in place of up to a second.
const REPORTS: u64 = 280;

/// The shortest time between two reports of one holder: what it spends meanwhile is lost to the
/// budget if it dies. Shorter times were not tried.
const REPORT_LEAST: Millis = Millis(250);

/// The time between two reports of each of `holders`, `most` at the most: the fewer there are, the
/// more often each may report.
pub fn report_every(holders: u64, most: Millis) -> Millis {
    Millis(holders * 1_000 / REPORTS).max(REPORT_LEAST).min(most)
}

/// A smoothed rate of spending.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    smoothed: u64,
    running: Tokens,
    since: Time,
}

impl Rate {
    /// Counts `tokens` spent at `now`.
    pub fn add(&mut self, now: Time, tokens: Tokens) {
        self.roll(now);
        self.running += tokens;
    }

    /// Closes the sample once it is a second old.
    pub fn roll(&mut self, now: Time) {
        let span = now.since(self.since);
        if span < Millis::seconds(1) {
            return;
        }
        let sample = self.running * 1000 / span.0;
        let old = if span > Millis::seconds(60) { 0 } else { self.smoothed };
        self.smoothed = old - old / SMOOTHING + sample.div_ceil(SMOOTHING);
        self.running = 0;
        self.since = now;
    }

    /// Tokens a second over the last few closed samples: one large request counts little.
    pub fn usual(&self) -> u64 {
        self.smoothed
    }

    /// Tokens a second, the open sample included.
    pub fn per_second(&self) -> u64 {
        self.smoothed.max(self.running)
    }
}
