//! Which routers a caller is told to use.

use std::collections::BTreeMap;

use super::regions::Regions;
use super::spill::{Sign, Spill};
use super::watch::RouterSign;
use crate::unit::{Millis, Time};

/// A router that has said nothing for this long is left out while others are heard.
const SILENT_AFTER: Millis = Millis(2_500);

/// A router that has said nothing for this long is forgotten.
const FORGET_AFTER: Millis = Millis::seconds(60);

/// Routers of the caller's own data centre that are enough to name no other.
const NEAR_ENOUGH: usize = 2;

fn spill_sign(r: &RouterSign) -> Sign<'_> {
    Sign { vm: &r.vm, data_centre: &r.data_centre, busy: r.busy }
}

/// The routers that one control process has heard of.
#[derive(Clone, Debug, Default)]
pub struct Routers {
    heard: BTreeMap<String, (RouterSign, Time)>,
    spill: Spill,
    /// Answers so far.
    answers: u64,
    /// Which of the routers of other data centres are named next.
    turn: usize,
}

impl Routers {
    /// Notes a router's word. Returns whether it is new or stands otherwise than before.
    pub fn note(&mut self, now: Time, r: &RouterSign) -> bool {
        let old = self.heard.insert(r.vm.clone(), (r.clone(), now));
        old.is_none_or(|(o, _)| RouterSign { busy: r.busy, ..o } != *r)
    }

    /// Routers heard of lately.
    pub fn count(&self, now: Time) -> u32 {
        self.heard.values().filter(|(_, at)| now.since(*at) < FORGET_AFTER).count() as u32
    }

    /// Routers heard of since `since`.
    pub fn heard_since(&self, since: Time) -> usize {
        self.heard.values().filter(|(_, at)| *at >= since).count()
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

    /// Addresses for a caller in `data_centre`, at most `most`: its own data centre's alone where
    /// those are enough, else its region's, else all.
    ///
    /// Busy ones are left out of a part of the answers; where most of those are busy, some of others
    /// are named as well.
    ///
    /// While most routers are silent, the cut is on this side: those that were open stay named.
    pub fn addresses(
        &mut self,
        now: Time,
        data_centre: &str,
        regions: &Regions,
        most: usize,
    ) -> Vec<String> {
        let heard = self.heard.values().filter(|(r, at)| r.open && now.since(*at) < SILENT_AFTER);
        self.spill.decide(now, heard.map(|(r, _)| spill_sign(r)));
        self.answers += 1;
        let known = self.heard.values().filter(|(r, at)| r.open && now.since(*at) < FORGET_AFTER);
        let known: Vec<_> = known.collect();
        let live = |at: Time| now.since(at) < SILENT_AFTER;
        let heard: Vec<_> = known.iter().copied().filter(|(_, at)| live(*at)).collect();
        let usable = if heard.len() * 2 > known.len() { heard } else { known };
        let own = |r: &RouterSign| r.data_centre == data_centre;
        let near = |r: &RouterSign| regions.are_near(&r.data_centre, data_centre);
        let spared = |r: &RouterSign| self.spill.leaves_out(&r.vm, self.answers);
        let left: Vec<_> = usable.iter().copied().filter(|(r, _)| !spared(r)).collect();
        let usable = if left.is_empty() { usable } else { left };
        let (in_region, abroad): (Vec<_>, Vec<_>) = usable.into_iter().partition(|(r, _)| near(r));
        if in_region.len() < NEAR_ENOUGH {
            let all = in_region.into_iter().chain(abroad);
            return all.take(most).map(|(r, _)| r.address.clone()).collect();
        }
        let (close, others): (Vec<_>, Vec<_>) =
            in_region.iter().copied().partition(|(r, _)| own(r));
        if close.len() < NEAR_ENOUGH {
            return in_region.into_iter().take(most).map(|(r, _)| r.address.clone()).collect();
        }
        let beyond = self.spill.beyond(data_centre, others.len());
        // Each answer goes on where the one before ended, so that all of them get their part.
        let further = others.iter().cycle().skip(self.turn % others.len().max(1)).take(beyond);
        let named = close.iter().chain(further).take(most);
        let named = named.map(|(r, _)| r.address.clone()).collect();
        self.turn = self.turn.wrapping_add(beyond);
        named
    }
}
