//! How callers are led away from gateways that are busy.
//!
//! Some callers stay with one gateway as long as they are told of it, and callers move from one data
//! centre to another while gateways do not: one gateway, or the few of a data centre, then get the work
//! of many. What callers are told is the only way to spread it. A busy gateway is left out of a part of
//! the answers, more of them each second that it stays busy and fewer as soon as it does not, so that
//! it keeps as many callers as it can bear: left out of all at once, it would pass its whole crowd on to
//! the next. Where most of a data centre's gateways are busy, answers name some of others as well.
//! Each control process decides for itself; all hear the same.

use std::collections::BTreeMap;

use crate::hash::Fnv;
use crate::unit::{Millis, Time};

/// The part of a data centre's gateways that have to be busy for others to be named, in hundredths.
const BUSY_PART: usize = 50;

/// How often it is decided: callers keep an answer for some seconds.
const EVERY: Millis = Millis::seconds(1);

/// By how many thousandths a part rises in a second, and falls. Rising takes four seconds to the whole,
/// falling half a minute: a gateway that is busy again at once costs its callers more than one that
/// could bear some more.
const RISE: u64 = 250;
const FALL: u64 = 30;

/// All of them.
const ALL: u64 = 1_000;

/// A gateway that takes callers, as it says itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sign<'a> {
    /// The name of its `Vm`.
    pub vm: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// It has more work than it can do well.
    pub busy: bool,
}

/// The parts of answers in which gateways are left out, and which data centres name others' gateways.
#[derive(Clone, Debug, Default)]
pub struct Spill {
    left_out: BTreeMap<String, u64>,
    beyond: BTreeMap<String, u64>,
    decided: Time,
}

fn step(parts: &mut BTreeMap<String, u64>, name: &str, busy: bool) {
    let part = parts.get(name).copied().unwrap_or(0);
    let next = if busy { (part + RISE).min(ALL) } else { part.saturating_sub(FALL) };
    match next {
        0 => parts.remove(name),
        _ => parts.insert(name.to_owned(), next),
    };
}

impl Spill {
    /// Decides anew, if it is time.
    pub fn decide<'a>(&mut self, now: Time, gateways: impl Iterator<Item = Sign<'a>>) {
        if now.since(self.decided) < EVERY {
            return;
        }
        self.decided = now;
        let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for g in gateways {
            step(&mut self.left_out, g.vm, g.busy);
            let (busy, all) = counts.entry(g.data_centre).or_default();
            *busy += usize::from(g.busy);
            *all += 1;
        }
        for (data_centre, (busy, all)) in counts {
            step(&mut self.beyond, data_centre, busy * 100 >= all * BUSY_PART);
        }
    }

    /// Whether answer number `n` leaves a gateway out.
    pub fn leaves_out(&self, vm: &str, n: u64) -> bool {
        let Some(part) = self.left_out.get(vm) else { return false };
        Fnv::new().part(vm.as_bytes()).part(&n.to_be_bytes()).value() % ALL < *part
    }

    /// How many of `others` a caller in a data centre is told of besides its own.
    pub fn beyond(&self, data_centre: &str, others: usize) -> usize {
        let part = self.beyond.get(data_centre).copied().unwrap_or(0);
        (others as u64 * part).div_ceil(ALL) as usize
    }
}
