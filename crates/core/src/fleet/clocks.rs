//! Wall clock time agreed among control processes: the median of their clocks.
//!
//! A process whose own clock is wrong or jumps still measures correct durations.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::unit::{Millis, Time};

/// Clock readings older than this are ignored.
const READING_TTL: Millis = Millis::seconds(4);

/// Lower bound of the margin between two processes' agreed times. It covers network delay and the
/// wait until the receiver processes the message, about 30 ms in a data centre.
const MIN_MARGIN: Millis = Millis(150);

/// Upper bound of the margin.
const MAX_MARGIN: Millis = Millis(500);

/// Offsets of the other control processes' wall clocks from this process's monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct Clocks {
    /// By address: the offset in milliseconds and when it was read.
    others: BTreeMap<SocketAddr, (i64, Time)>,
}

fn offset(now: Time, wall: Time) -> i64 {
    wall.0 as i64 - now.0 as i64
}

impl Clocks {
    /// Records that the wall clock of the process at `from` showed `wall` at `now`.
    pub fn record(&mut self, now: Time, from: SocketAddr, wall: Time) {
        self.others.insert(from, (offset(now, wall), now));
    }

    /// Returns the agreed wall clock time at `now`: the median of all fresh readings and of `own`,
    /// the reading of this process's wall clock.
    pub fn agreed(&self, now: Time, own: Time) -> Time {
        let offsets = self.fresh_offsets(now).chain([offset(now, own)]);
        let mut all: Vec<i64> = offsets.collect();
        all.sort_unstable();
        // With an even count, the lower of the two middle values: an agreed time that is too early is
        // corrected by later readings.
        let median = all[(all.len() - 1) / 2];
        Time((now.0 as i64 + median).max(0) as u64)
    }

    /// Returns the maximum assumed difference between the agreed time here at `now` and the agreed
    /// time of another process; `None` while fewer than `quorum` clocks are fresh. `own` is the reading
    /// of this process's wall clock.
    ///
    /// The margin is the smallest spread of any `quorum` clocks, plus the distance from the agreed time
    /// to `own`, which accounts for late readings, plus a minimum; it is capped. Each millisecond of it
    /// counts as time in which a dead lease holder kept spending at its rate.
    pub fn margin(&self, now: Time, own: Time, quorum: usize) -> Option<Millis> {
        if !self.has_quorum(now, quorum) {
            return None;
        }
        let mut all: Vec<i64> = self.fresh_offsets(now).chain([offset(now, own)]).collect();
        all.sort_unstable();
        let spread = |w: &[i64]| w[w.len() - 1] - w[0];
        let min_spread = all.windows(quorum.max(1)).map(spread).min().unwrap_or_default();
        let agreed = self.agreed(now, own);
        let distance = agreed.since(own).max(own.since(agreed));
        let margin = Millis(min_spread as u64 + distance.0 + MIN_MARGIN.0);
        Some(margin.min(MAX_MARGIN))
    }

    /// Returns whether at least `quorum` clocks are fresh, including this process's own.
    pub fn has_quorum(&self, now: Time, quorum: usize) -> bool {
        self.fresh_offsets(now).count() + 1 >= quorum
    }

    fn fresh_offsets(&self, now: Time) -> impl Iterator<Item = i64> {
        let is_fresh = move |at: Time| now.since(at) < READING_TTL;
        self.others.values().filter(move |(_, at)| is_fresh(*at)).map(|(offset, _)| *offset)
    }
}
