//! The routers that have registered, and which of them are heard of.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::unit::{HolderId, Millis, Time, Version};

/// Without a word for this long, a router is left out of entry answers.
pub const SUSPECT_AFTER: Millis = Millis::seconds(3);

/// Without a word for this long, a router's open claims are taken to have an unknown outcome.
pub const LAPSE_AFTER: Millis = Millis::seconds(15);

/// Reports of bounds whose time of arrival is remembered for each holder.
const TOLD_KEPT: usize = 8;

/// A registered router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Router {
    /// Its registration.
    pub holder: HolderId,
    /// Name of its `Vm`.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// Address for callers.
    pub address: String,
    /// Number that the process drew at its start: a resent registration has the same one.
    pub nonce: u64,
    /// It has said that it is stopping.
    pub leaving: bool,
    /// Address for other routers; empty if it has none.
    #[serde(default)]
    pub link: String,
}

/// The registrations of one group; part of its replicated state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Routers {
    by_vm: BTreeMap<String, Router>,
}

impl Routers {
    /// Registers `r`, in place of any other of the same `Vm`. Returns its holder id and the
    /// registration that it replaces.
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

    /// The router of this registration, unless it was replaced or removed.
    pub fn get(&self, holder: HolderId) -> Option<&Router> {
        self.by_vm.values().find(|r| r.holder == holder)
    }

    /// Notes that a router is stopping.
    pub fn leave(&mut self, holder: HolderId) {
        if let Some(r) = self.by_vm.values_mut().find(|r| r.holder == holder) {
            r.leaving = true;
        }
    }

    /// Removes a registration.
    pub fn remove(&mut self, holder: HolderId) {
        self.by_vm.retain(|_, r| r.holder != holder);
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_vm.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_vm.is_empty()
    }

    /// All of them, by `Vm` name.
    pub fn iter(&self) -> impl Iterator<Item = &Router> {
        self.by_vm.values()
    }
}

/// The reserves of data centres, by the name of the `Vm` that keeps each.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Reserves {
    by_vm: BTreeMap<String, (HolderId, u64)>,
}

impl Reserves {
    /// Enlists the reserve of `vm`; one that comes back with its disk keeps its holder id.
    pub fn enlist(&mut self, vm: &str, nonce: u64, fresh: HolderId) -> HolderId {
        match self.by_vm.get(vm) {
            Some((holder, n)) if *n == nonce => *holder,
            _ => {
                self.by_vm.insert(vm.to_owned(), (fresh, nonce));
                fresh
            }
        }
    }

    /// The `Vm` that keeps this reserve.
    pub fn vm(&self, holder: HolderId) -> Option<&str> {
        self.by_vm.iter().find(|(_, (h, _))| *h == holder).map(|(vm, _)| vm.as_str())
    }
}

/// What a group's leader has heard of one router; not replicated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sign {
    /// When it was last heard of.
    pub at: Time,
    /// The configuration that it has in force.
    pub version: Version,
}

/// What a group's leader has heard of its routers since it began to lead.
#[derive(Clone, Debug, Default)]
pub struct Signs {
    since: Time,
    last: BTreeMap<HolderId, Sign>,
    /// When the last reports of bounds came, by their numbers.
    told: BTreeMap<HolderId, VecDeque<(u64, Time)>>,
}

impl Signs {
    /// Begins anew at `now`: a new leader has heard of nobody and suspects nobody yet.
    pub fn restart(&mut self, now: Time) {
        *self = Signs { since: now, ..Signs::default() };
    }

    /// Notes a word from `holder`.
    pub fn note(&mut self, now: Time, holder: HolderId, version: Version) {
        self.last.insert(holder, Sign { at: now, version });
    }

    /// Notes that report number `seq` of `holder`'s bounds has come.
    pub fn note_told(&mut self, now: Time, holder: HolderId, seq: u64) {
        let told = self.told.entry(holder).or_default();
        if told.iter().all(|(n, _)| *n != seq) {
            told.push_back((seq, now));
        }
        if told.len() > TOLD_KEPT {
            told.pop_front();
        }
    }

    /// How long ago report number `seq` of `holder`'s bounds first came, if it came here.
    pub fn since_told(&self, now: Time, holder: HolderId, seq: u64) -> Option<Millis> {
        let told = self.told.get(&holder)?;
        told.iter().find(|(n, _)| *n == seq).map(|(_, at)| now.since(*at))
    }

    /// The last sign of `holder`.
    pub fn get(&self, holder: HolderId) -> Option<Sign> {
        self.last.get(&holder).copied()
    }

    /// How long `holder` has been silent.
    pub fn silence(&self, now: Time, holder: HolderId) -> Millis {
        now.since(self.last.get(&holder).map_or(self.since, |s| s.at))
    }
}
