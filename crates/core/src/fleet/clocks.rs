//! The time of day that most control processes agree on, so that one whose clock was set does not
//! measure wrong spans.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::unit::{Millis, Time};

/// A clock that was not heard of for this long does not count.
const HEARD_WITHIN: Millis = Millis::seconds(4);

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

    /// Whether `quorum` clocks are heard, this process's own included.
    pub fn is_sure(&self, now: Time, quorum: usize) -> bool {
        self.heard(now).count() + 1 >= quorum
    }

    fn heard(&self, now: Time) -> impl Iterator<Item = i64> {
        let fresh = move |at: Time| now.since(at) < HEARD_WITHIN;
        self.others.values().filter(move |(_, at)| fresh(*at)).map(|(offset, _)| *offset)
    }
}
