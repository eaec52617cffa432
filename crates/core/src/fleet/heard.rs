//! The control processes that one control process has recently heard from directly.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::unit::{Millis, Time};

/// Time after its last response for which a process counts as heard. A loaded process answers within a
/// second; replicas count as silent only after several of their heartbeats are missing.
const HEARD_FOR: Millis = Millis(1_500);

/// Maximum number of watchers that are remembered; all are forgotten when it is exceeded.
const MAX_WATCHERS: usize = 256;

/// The processes that have answered, by address.
#[derive(Clone, Debug)]
pub struct HeardControls {
    /// The current start of this process.
    own: u64,
    by_address: BTreeMap<SocketAddr, (u64, Time)>,
}

impl HeardControls {
    /// Returns an empty set for the process whose current start is `own`.
    pub fn new(own: u64) -> HeardControls {
        HeardControls { own, by_address: BTreeMap::new() }
    }

    /// Records a response of the process at `from`, whose current start is `boot`.
    pub fn record(&mut self, now: Time, from: SocketAddr, boot: u64) {
        self.by_address.insert(from, (boot, now));
    }

    /// Returns the starts of this process and of those that have recently answered.
    pub fn boots(&self, now: Time) -> Vec<u64> {
        let recent = self.by_address.values().filter(|(_, at)| now.since(*at) < HEARD_FOR);
        recent.map(|(boot, _)| *boot).chain([self.own]).collect()
    }
}

/// What the watchers of a control process have last named as heard, by their addresses.
#[derive(Clone, Debug, Default)]
pub struct WatchersHear {
    by_watcher: BTreeMap<String, BTreeSet<u64>>,
}

impl WatchersHear {
    /// Records which processes a watcher hears, and returns those that it no longer does.
    pub fn record(&mut self, watcher: &str, hears: &[u64]) -> Vec<u64> {
        let hears: BTreeSet<u64> = hears.iter().copied().collect();
        match self.by_watcher.get_mut(watcher) {
            Some(old) if *old == hears => Vec::new(),
            Some(old) => {
                std::mem::replace(old, hears.clone()).difference(&hears).copied().collect()
            }
            None => {
                if self.by_watcher.len() >= MAX_WATCHERS {
                    self.by_watcher.clear();
                }
                self.by_watcher.insert(watcher.to_owned(), hears);
                Vec::new()
            }
        }
    }
}
