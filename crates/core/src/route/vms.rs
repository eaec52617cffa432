//! Detects which `Vm`s are leaving, from the platform's list, which lags and may flap.

use std::collections::BTreeMap;

use crate::unit::{Millis, Time};

/// How long a leaving `Vm` must be listed as live in every poll to count as live again.
const LIVE_AFTER: Millis = Millis::seconds(10);

/// Consecutive polls without a `Vm` after which it counts as leaving.
const MAX_MISSED_POLLS: u32 = 2;

/// State of a `Vm` in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It is running.
    Live,
    /// It is about to be shut down.
    Leaving,
}

/// The polled state of one `Vm`.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    leaving: bool,
    /// Consecutive polls without it.
    missed_polls: u32,
    /// Since when every poll has listed it as live.
    live_since: Option<Time>,
}

/// The state of the platform's `Vm`s, debounced: a flapping list does not return work to a `Vm`
/// that is about to shut down. A failed poll changes nothing, since it is not recorded.
#[derive(Clone, Debug, Default)]
pub struct VmTracker {
    by_name: BTreeMap<String, Record>,
}

impl VmTracker {
    /// Records the list of one poll. Returns the `Vm`s whose state changed, with true if they are
    /// leaving now.
    pub fn observe(
        &mut self,
        now: Time,
        list: &BTreeMap<String, ListedState>,
    ) -> Vec<(String, bool)> {
        for name in list.keys() {
            self.by_name.entry(name.clone()).or_default();
        }
        let mut changes = Vec::new();
        for (name, vm) in &mut self.by_name {
            let before = vm.leaving;
            vm.update(now, list.get(name).copied());
            if vm.leaving != before {
                changes.push((name.clone(), vm.leaving));
            }
        }
        changes
    }

    /// Returns whether a `Vm` is leaving; false if it is unknown.
    pub fn is_leaving(&self, vm: &str) -> bool {
        self.by_name.get(vm).is_some_and(|vm| vm.leaving)
    }
}

impl Record {
    fn update(&mut self, now: Time, listed: Option<ListedState>) {
        match listed {
            Some(ListedState::Live) => {
                self.missed_polls = 0;
                let since = *self.live_since.get_or_insert(now);
                if now.since(since) >= LIVE_AFTER {
                    self.leaving = false;
                }
            }
            Some(ListedState::Leaving) => {
                self.missed_polls = 0;
                self.live_since = None;
                self.leaving = true;
            }
            None => {
                self.missed_polls += 1;
                self.live_since = None;
                self.leaving |= self.missed_polls >= MAX_MISSED_POLLS;
            }
        }
    }
}
