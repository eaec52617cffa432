//! Which `Vm`s are leaving, from the platform's lagging list.

use std::collections::BTreeMap;

use crate::unit::{Millis, Time};

/// How long a `Vm` must be listed as live before it is taken to be back.
const BACK_AFTER: Millis = Millis::seconds(10);

/// Polls in a row that a `Vm` must be missing from before it is taken to be leaving.
const MISSING: u32 = 2;

/// How the list shows a `Vm`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// It is there and stays.
    Live,
    /// It is about to go.
    Leaving,
}

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    leaving: bool,
    missing: u32,
    /// Since when it has been listed as live without a break, while it is taken to be leaving.
    live_since: Option<Time>,
}

/// What is known of the platform's `Vm`s. A list that flaps does not bring work back to a `Vm`
/// that is about to go; one that cannot be had changes nothing.
#[derive(Clone, Debug, Default)]
pub struct Vms {
    seen: BTreeMap<String, Seen>,
}

impl Vms {
    /// Takes a list. Returns the `Vm`s that are now leaving, or no longer, and were not before.
    pub fn observe(&mut self, now: Time, list: &BTreeMap<String, Listed>) -> Vec<(String, bool)> {
        for name in list.keys() {
            self.seen.entry(name.clone()).or_default();
        }
        let mut changes = Vec::new();
        for (name, s) in &mut self.seen {
            let before = s.leaving;
            s.take(now, list.get(name).copied());
            if s.leaving != before {
                changes.push((name.clone(), s.leaving));
            }
        }
        changes
    }

    /// Whether a `Vm` is leaving.
    pub fn is_leaving(&self, vm: &str) -> bool {
        self.seen.get(vm).is_some_and(|s| s.leaving)
    }
}

impl Seen {
    fn take(&mut self, now: Time, listed: Option<Listed>) {
        match listed {
            Some(Listed::Live) => {
                self.missing = 0;
                let since = *self.live_since.get_or_insert(now);
                if now.since(since) >= BACK_AFTER {
                    self.leaving = false;
                }
            }
            Some(Listed::Leaving) => {
                self.missing = 0;
                self.live_since = None;
                self.leaving = true;
            }
            None => {
                self.missing += 1;
                self.live_since = None;
                self.leaving |= self.missing >= MISSING;
            }
        }
    }
}
