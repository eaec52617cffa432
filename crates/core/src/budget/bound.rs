//! How much a holder may have spent unreported, proved without hearing from it again.
//!
//! A holder that keeps large slices to outlast cuts would strand them all when it dies. So it
//! binds itself: it spends no more than a limit that the grantor has committed, and beyond it only
//! at a stated rate for the time since it heard so. When its successor registers, the grantor
//! knows that it is dead, and for how long at most it went on: the rest of its slices is free.
//!
//! The holder acts on an answer from when it came; the grantor counts from when it took the
//! report, which was earlier. The holder may not have received the answer to its last report: then
//! it went on under the one before, which the report names, so that the grantor keeps both.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::unit::{HolderId, Millis, Time, Tokens};

/// A holder's word on one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bound {
    /// The budget.
    pub budget: String,
    /// All that it has spent under this registration; never falls.
    pub spent: Tokens,
    /// It spends no more than this under this registration.
    pub limit: Tokens,
    /// Nor more beyond it than this for each second since it heard that the word was taken.
    pub rate: Tokens,
}

impl Bound {
    /// The most that the holder has spent `elapsed` after its word was taken; `None` if that time
    /// is not known.
    fn most(&self, elapsed: Option<Millis>) -> Tokens {
        match elapsed {
            _ if self.rate == 0 => self.limit,
            Some(span) => self.limit.saturating_add(grown(self.rate, span)),
            None => Tokens::MAX,
        }
    }
}

/// What a rate comes to in a span, rounded up.
fn grown(rate: Tokens, span: Millis) -> Tokens {
    rate.saturating_mul(span.0).div_ceil(1000)
}

/// What a holder may spend by now, from the last word of its own that it knows was taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowed {
    limit: Tokens,
    rate: Tokens,
    since: Time,
}

impl Allowed {
    /// The most that it may have spent by `now`.
    pub fn by(&self, now: Time) -> Tokens {
        // Rounded down, against the grantor's rounding up.
        let beyond = self.rate.saturating_mul(now.since(self.since).0) / 1000;
        self.limit.saturating_add(beyond)
    }

    /// How long after `now` it may have spent `n` in all; `None` if it takes a report.
    pub fn wait_for(&self, now: Time, n: Tokens) -> Option<Millis> {
        let missing = n.saturating_sub(self.by(now));
        if missing == 0 {
            return Some(Millis(0));
        }
        let span = missing.saturating_mul(1000).checked_div(self.rate)?;
        Some(Millis(span.saturating_add(1)))
    }

    /// Notes at `now` that the grantor has taken `b`.
    pub fn taken(&mut self, now: Time, b: &Bound) {
        *self = Allowed { limit: b.limit, rate: b.rate, since: now };
    }
}

/// One of a holder's reports, as its grantor knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Its number.
    pub seq: u64,
    /// When the grantor took it, by the time of day; 0: not known.
    pub at: Time,
}

/// A holder's last report, and the one that it last knew to be taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chain {
    /// The last one.
    pub last: Told,
    /// The one before, by the holder's word.
    pub before: Told,
}

/// For how long a dead holder may have gone on after its two last reports; `None`: not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Elapsed {
    /// Since the last one was taken.
    pub last: Option<Millis>,
    /// Since the one before was taken.
    pub before: Option<Millis>,
}

/// What the two reports said of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Pair {
    last: Bound,
    before: Bound,
}

/// The words of all holders, at their grantor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    chains: BTreeMap<HolderId, Chain>,
    words: BTreeMap<HolderId, BTreeMap<String, Pair>>,
}

impl Bounds {
    /// Takes report number `seq` at `at`, made when report number `after` was the last known to be
    /// taken. One that is not newer than the last changes nothing.
    pub fn tell(&mut self, holder: HolderId, at: Time, seq: u64, after: u64, bounds: &[Bound]) {
        let chain = self.chains.entry(holder).or_default();
        if seq <= chain.last.seq {
            return;
        }
        let follows = after == chain.last.seq;
        if follows {
            chain.before = chain.last;
        } else if after != chain.before.seq {
            chain.before = Told { seq: after, at: Time(0) };
        }
        chain.last = Told { seq, at };
        let words = self.words.entry(holder).or_default();
        if follows {
            for pair in words.values_mut() {
                pair.before = pair.last.clone();
            }
        }
        for b in bounds {
            words.entry(b.budget.clone()).or_default().last = b.clone();
        }
    }

    /// The two last reports of a holder.
    pub fn chain(&self, holder: HolderId) -> Chain {
        self.chains.get(&holder).copied().unwrap_or_default()
    }

    /// The most that a dead holder has spent of a budget beyond what it reported.
    pub fn unreported(&self, holder: HolderId, budget: &str, e: &Elapsed) -> Tokens {
        let Some(pair) = self.words.get(&holder).and_then(|w| w.get(budget)) else { return 0 };
        let most = pair.last.most(e.last).max(pair.before.most(e.before));
        most.saturating_sub(pair.last.spent)
    }

    /// Forgets a holder.
    pub fn forget(&mut self, holder: HolderId) {
        self.chains.remove(&holder);
        self.words.remove(&holder);
    }
}
