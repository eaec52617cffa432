//! The time of day that most control processes agree on, so that one whose clock was set does not
//! measure wrong spans.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::unit::{Millis, Time};

/// A clock that was not heard of for this long does not count.
const HEARD_WITHIN: Millis = Millis::seconds(4);

/// What two processes' agreed times are taken to differ by at least: a clock is heard late by the way
/// of its message and by the wait for the process that takes it. Some 30 ms in a data centre by the
/// longest tick, times five; chosen, not measured as a limit.
const MARGIN_LEAST: Millis = Millis(150);

/// The same at most, whatever is heard.
const MARGIN_MOST: Millis = Millis(500);

/// What the other control processes' clocks show, against a steady clock of this process.
#[derive(Clone, Debug, Default)]
pub struct Clocks {
    others: BTreeMap<SocketAddr, (i64, Time)>,
}

fn offset(now: Time, wall: Time) -> i64 {
    wall.0 as i64 - now.0 as i64
}

impl Clocks {
    /// Notes at `now` what the clock of another process showed just before.
    pub fn note(&mut self, now: Time, from: SocketAddr, wall: Time) {
        self.others.insert(from, (offset(now, wall), now));
    }

    /// The time of day at `now`, where this process's own clock shows `own`: the median of all
    /// clocks that are heard.
    pub fn agreed(&self, now: Time, own: Time) -> Time {
        let heard = self.heard(now).chain([offset(now, own)]);
        let mut all: Vec<i64> = heard.collect();
        all.sort_unstable();
        // Of an even number the lower one: time that seems shorter is corrected by what follows.
        let median = all[(all.len() - 1) / 2];
        Time((now.0 as i64 + median).max(0) as u64)
    }

    /// What the time of day that another process agreed on may differ by from the one at `now`, where
    /// this process's own clock shows `own`; `None` while fewer than `quorum` clocks are heard.
    ///
    /// Clocks that agree now agreed a while ago too, and most of those that the other process heard
    /// are among them. What it was late in hearing them shows here as the distance to the own clock.
    /// Every millisecond of it counts as time in which a dead holder spent at its rate.
    pub fn margin(&self, now: Time, own: Time, quorum: usize) -> Option<Millis> {
        if !self.is_sure(now, quorum) {
            return None;
        }
        let mut all: Vec<i64> = self.heard(now).chain([offset(now, own)]).collect();
        all.sort_unstable();
        let spread = |w: &[i64]| w[w.len() - 1] - w[0];
        let closest = all.windows(quorum.max(1)).map(spread).min().unwrap_or_default();
        let agreed = self.agreed(now, own);
        let apart = agreed.since(own).max(own.since(agreed));
        let margin = Millis(closest as u64 + apart.0 + MARGIN_LEAST.0);
        Some(margin.min(MARGIN_MOST))
    }

    /// Whether `quorum` clocks are heard, this process's own included.
    pub fn is_sure(&self, now: Time, quorum: usize) -> bool {
        self.heard(now).count() + 1 >= quorum
    }

    fn heard(&self, now: Time) -> impl Iterator<Item = i64> {
        let fresh = move |at: Time| now.since(at) < HEARD_WITHIN;
        self.others.values().filter(move |(_, at)| fresh(*at)).map(|(offset, _)| *offset)
    }
}
