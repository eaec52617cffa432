//! Registrations of routers and reserves, and the heartbeats that the leader has received.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::unit::{HolderId, Millis, Time, Version};

/// Time without a heartbeat after which a router is no longer listed as usable for callers.
pub const SUSPECT_AFTER: Millis = Millis::seconds(3);

/// Time without a heartbeat after which the outcome of a router's open claims is unknown.
pub const CLAIM_HOLDER_TIMEOUT: Millis = Millis::seconds(15);

/// Number of reports of bounds per holder whose time of arrival is kept.
const MAX_REPORTS_KEPT: usize = 8;

/// A registered router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Router {
    /// Holder id of its registration.
    pub holder: HolderId,
    /// Name of its `Vm`.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// Address for callers.
    pub address: String,
    /// Random number drawn when the process started; a resent registration has the same one.
    pub nonce: u64,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Address for other routers; empty if it has none.
    #[serde(default)]
    pub link: String,
}

/// The routers registered with a control group; part of its replicated state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Routers {
    by_vm: BTreeMap<String, Router>,
}

impl Routers {
    /// Registers `r` in place of any other router on the same `Vm`. Returns its holder id, and that
    /// of the registration that it replaces. A resend changes nothing and keeps the first holder id.
    pub fn register(&mut self, r: Router) -> (HolderId, Option<HolderId>) {
        let old = self.by_vm.get(&r.vm).map(|o| (o.holder, o.nonce));
        match old {
            Some((holder, nonce)) if nonce == r.nonce => (holder, None),
            _ => {
                let holder = r.holder;
                self.by_vm.insert(r.vm.clone(), r);
                (holder, old.map(|o| o.0))
            }
        }
    }

    /// Returns the router with this holder id, unless it was replaced or removed.
    pub fn get(&self, holder: HolderId) -> Option<&Router> {
        self.by_vm.values().find(|r| r.holder == holder)
    }

    /// Marks a router as stopping.
    pub fn leave(&mut self, holder: HolderId) {
        if let Some(r) = self.by_vm.values_mut().find(|r| r.holder == holder) {
            r.leaving = true;
        }
    }

    /// Removes a router.
    pub fn remove(&mut self, holder: HolderId) {
        self.by_vm.retain(|_, r| r.holder != holder);
    }

    /// Returns the number of routers.
    pub fn len(&self) -> usize {
        self.by_vm.len()
    }

    /// Returns whether there are no routers.
    pub fn is_empty(&self) -> bool {
        self.by_vm.is_empty()
    }

    /// Iterates over the routers in the order of their `Vm` names.
    pub fn iter(&self) -> impl Iterator<Item = &Router> {
        self.by_vm.values()
    }
}

/// The registered reserves of data centres, by the name of the `Vm` that each runs on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Reserves {
    by_vm: BTreeMap<String, (HolderId, u64)>,
}

impl Reserves {
    /// Registers the reserve on `vm` and returns its holder id: `new_holder`, or the earlier one if
    /// the reserve still has its disk and therefore the same `nonce`.
    pub fn register(&mut self, vm: &str, nonce: u64, new_holder: HolderId) -> HolderId {
        match self.by_vm.get(vm) {
            Some((holder, n)) if *n == nonce => *holder,
            _ => {
                self.by_vm.insert(vm.to_owned(), (new_holder, nonce));
                new_holder
            }
        }
    }

    /// Returns the name of the `Vm` that a reserve runs on.
    pub fn vm(&self, holder: HolderId) -> Option<&str> {
        self.by_vm.iter().find(|(_, (h, _))| *h == holder).map(|(vm, _)| vm.as_str())
    }
}

/// The last heartbeat of a router that the leader received; not replicated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderHeartbeat {
    /// Time of arrival.
    pub at: Time,
    /// Version of the router's configuration.
    pub version: Version,
}

/// The heartbeats and reports of bounds that a leader has received since it was elected.
#[derive(Clone, Debug, Default)]
pub struct HolderHeartbeats {
    since: Time,
    last: BTreeMap<HolderId, HolderHeartbeat>,
    /// Number and time of arrival of the last reports of bounds, by holder.
    reports: BTreeMap<HolderId, VecDeque<(u64, Time)>>,
}

impl HolderHeartbeats {
    /// Resets to the state of a leader elected at `now`: every router counts as heard from at `now`.
    pub fn restart(&mut self, now: Time) {
        *self = HolderHeartbeats { since: now, ..HolderHeartbeats::default() };
    }

    /// Records a heartbeat of `holder`.
    pub fn record(&mut self, now: Time, holder: HolderId, version: Version) {
        self.last.insert(holder, HolderHeartbeat { at: now, version });
    }

    /// Records the arrival of report `seq` of `holder`'s bounds; a duplicate is ignored.
    pub fn record_bounds_report(&mut self, now: Time, holder: HolderId, seq: u64) {
        let reports = self.reports.entry(holder).or_default();
        if reports.iter().all(|(n, _)| *n != seq) {
            reports.push_back((seq, now));
        }
        if reports.len() > MAX_REPORTS_KEPT {
            reports.pop_front();
        }
    }

    /// Returns the time since report `seq` of `holder`'s bounds first arrived, if this leader
    /// received it and still keeps it.
    pub fn since_bounds_report(&self, now: Time, holder: HolderId, seq: u64) -> Option<Millis> {
        let reports = self.reports.get(&holder)?;
        reports.iter().find(|(n, _)| *n == seq).map(|(_, at)| now.since(*at))
    }

    /// Returns the last heartbeat of `holder`.
    pub fn get(&self, holder: HolderId) -> Option<HolderHeartbeat> {
        self.last.get(&holder).copied()
    }

    /// Returns the time since the last heartbeat of `holder`, or since the election if there is none.
    pub fn since_last(&self, now: Time, holder: HolderId) -> Millis {
        now.since(self.last.get(&holder).map_or(self.since, |h| h.at))
    }
}
