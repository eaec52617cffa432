//! Directs callers away from busy gateways through the address lists that control processes return.
//!
//! Callers may keep using one gateway for as long as it is listed, and may move to another data
//! centre while the gateways cannot. The list is therefore the only means to spread the load. A
//! busy gateway is omitted from a share of the answers. The share grows every second while the
//! gateway is busy and shrinks afterwards; omitting it from all answers at once would move its
//! whole load to the next gateway. If most gateways of a data centre are busy, answers also list
//! gateways of other data centres. Each control process computes the shares independently from the
//! same gateway status.

use std::collections::BTreeMap;

use crate::hash::Fnv;
use crate::unit::{Millis, Time};

/// Percentage of a data centre's gateways that must be busy before other data centres are listed.
const MIN_BUSY_PERCENT: usize = 50;

/// Interval between updates. Callers cache an answer for some seconds.
const UPDATE_INTERVAL: Millis = Millis::seconds(1);

/// Increase of a share per update while a gateway or data centre is busy, in thousandths: 100 % after
/// four seconds.
const RISE_PER_UPDATE: u64 = 250;

/// Decrease of a share per update otherwise, in thousandths: from 100 % to 0 in half a minute. It is
/// slower than the increase because a gateway that becomes busy again costs its callers more than one
/// with unused capacity.
const FALL_PER_UPDATE: u64 = 30;

/// The share of 100 %, in thousandths.
const FULL_SHARE: u64 = 1_000;

/// The load that a gateway reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterLoad<'a> {
    /// Name of its `Vm`.
    pub vm: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// Whether it has more work than it can serve in time.
    pub busy: bool,
}

/// The share of answers that omit each busy gateway, and the share of remote gateways that are
/// listed for callers in a busy data centre.
#[derive(Clone, Debug, Default)]
pub struct LoadShedding {
    omitted: BTreeMap<String, u64>,
    remote: BTreeMap<String, u64>,
    updated_at: Time,
}

/// Raises or lowers the share stored under `name`, and removes it when it reaches 0.
fn adjust_share(shares: &mut BTreeMap<String, u64>, name: &str, busy: bool) {
    let share = shares.get(name).copied().unwrap_or(0);
    let next = if busy {
        (share + RISE_PER_UPDATE).min(FULL_SHARE)
    } else {
        share.saturating_sub(FALL_PER_UPDATE)
    };
    match next {
        0 => shares.remove(name),
        _ => shares.insert(name.to_owned(), next),
    };
}

impl LoadShedding {
    /// Updates all shares from the gateways' reported load, at most once per second.
    pub fn update<'a>(&mut self, now: Time, gateways: impl Iterator<Item = RouterLoad<'a>>) {
        if now.since(self.updated_at) < UPDATE_INTERVAL {
            return;
        }
        self.updated_at = now;
        let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for g in gateways {
            adjust_share(&mut self.omitted, g.vm, g.busy);
            let (busy, all) = counts.entry(g.data_centre).or_default();
            *busy += usize::from(g.busy);
            *all += 1;
        }
        for (data_centre, (busy, all)) in counts {
            adjust_share(&mut self.remote, data_centre, busy * 100 >= all * MIN_BUSY_PERCENT);
        }
    }

    /// Returns whether answer number `n` omits the gateway `vm`.
    pub fn omits(&self, vm: &str, n: u64) -> bool {
        let Some(share) = self.omitted.get(vm) else { return false };
        Fnv::new().add_part(vm.as_bytes()).add_part(&n.to_be_bytes()).finish() % FULL_SHARE < *share
    }

    /// Returns how many gateways of other data centres to list for a caller in `data_centre`, out of
    /// `others` such gateways.
    pub fn remote_count(&self, data_centre: &str, others: usize) -> usize {
        let share = self.remote.get(data_centre).copied().unwrap_or(0);
        (others as u64 * share).div_ceil(FULL_SHARE) as usize
    }
}
