//! Which routers a caller is told to use.

use std::collections::BTreeMap;

use super::watch::RouterSign;
use crate::unit::{Millis, Time};

/// A router that has said nothing for this long is left out while others are heard.
const SILENT_AFTER: Millis = Millis(2_500);

/// A router that has said nothing for this long is forgotten.
const FORGET_AFTER: Millis = Millis::seconds(60);

/// Routers of the caller's own data centre that are enough to name no other.
const NEAR_ENOUGH: usize = 2;

/// The routers that one control process has heard of.
#[derive(Clone, Debug, Default)]
pub struct Routers {
    heard: BTreeMap<String, (RouterSign, Time)>,
}

impl Routers {
    /// Notes a router's word. Returns whether it is new or stands otherwise than before.
    pub fn note(&mut self, now: Time, r: &RouterSign) -> bool {
        let old = self.heard.insert(r.vm.clone(), (r.clone(), now));
        old.is_none_or(|(o, _)| o != *r)
    }

    /// Routers heard of lately.
    pub fn count(&self, now: Time) -> u32 {
        self.heard.values().filter(|(_, at)| now.since(*at) < FORGET_AFTER).count() as u32
    }

    /// Whether nothing has been heard of a router for a while, by a process that has been listening
    /// for as long.
    pub fn is_silent(&self, now: Time, vm: &str) -> bool {
        let heard = self.heard.get(vm).map_or(Time(0), |(_, at)| *at);
        now.since(heard) >= SILENT_AFTER
    }

    /// Addresses of routers for each other, at most `most`.
    pub fn links(&self, now: Time, most: usize) -> Vec<String> {
        let known = self.heard.values().filter(|(_, at)| now.since(*at) < FORGET_AFTER);
        known.take(most).map(|(r, _)| r.link.clone()).collect()
    }

    /// Addresses for a caller in `data_centre`, at most `most`, its own data centre's alone where
    /// those are enough.
    ///
    /// While most routers are silent, the cut is on this side: those that were open stay named.
    pub fn addresses(&self, now: Time, data_centre: &str, most: usize) -> Vec<String> {
        let known = self.heard.values().filter(|(r, at)| r.open && now.since(*at) < FORGET_AFTER);
        let known: Vec<_> = known.collect();
        let live = |at: Time| now.since(at) < SILENT_AFTER;
        let heard: Vec<_> = known.iter().copied().filter(|(_, at)| live(*at)).collect();
        let usable = if heard.len() * 2 > known.len() { heard } else { known };
        let near = |r: &RouterSign| r.data_centre == data_centre;
        let close: Vec<_> = usable.iter().copied().filter(|(r, _)| near(r)).collect();
        let named = if close.len() >= NEAR_ENOUGH { close } else { usable };
        named.into_iter().take(most).map(|(r, _)| r.address.clone()).collect()
    }
}
