//! Selects the router addresses that are returned to a caller.

use std::collections::BTreeMap;

use super::load_shedding::{LoadShedding, RouterLoad};
use super::regions::Regions;
use super::watch::RouterStatus;
use crate::unit::{Millis, Time, Version};

/// A router without a heartbeat for this long is not listed while most others send theirs.
const SILENT_AFTER: Millis = Millis(2_500);

/// How long a router is kept after its last heartbeat.
const ROUTER_TTL: Millis = Millis::seconds(60);

/// Minimum number of routers in the caller's data centre or region for the list to be limited to it.
const MIN_NEAR: usize = 2;

fn router_load(r: &RouterStatus) -> RouterLoad<'_> {
    RouterLoad { vm: &r.vm, data_centre: &r.data_centre, busy: r.busy }
}

/// The latest heartbeat of each router, as received by one control process.
#[derive(Clone, Debug, Default)]
pub struct RouterHeartbeats {
    heartbeats: BTreeMap<String, (RouterStatus, Time)>,
    shedding: LoadShedding,
    /// Number of address lists returned so far.
    list_count: u64,
    /// Position of the next router of other data centres in the rotation.
    next_other: usize,
}

impl RouterHeartbeats {
    /// Records a router's heartbeat. Returns the previous one.
    pub fn record(&mut self, now: Time, r: &RouterStatus) -> Option<RouterStatus> {
        self.heartbeats.insert(r.vm.clone(), (r.clone(), now)).map(|(old, _)| old)
    }

    /// Returns the number of routers with a recent heartbeat in which a document older than `version` is in
    /// force.
    pub fn count_behind(&self, now: Time, version: Version) -> usize {
        let live = self.heartbeats.values().filter(|(_, at)| now.since(*at) < SILENT_AFTER);
        live.filter(|(r, _)| r.version < version).count()
    }

    /// Returns the number of routers that sent a heartbeat in the last minute.
    pub fn count(&self, now: Time) -> u32 {
        self.heartbeats.values().filter(|(_, at)| now.since(*at) < ROUTER_TTL).count() as u32
    }

    /// Returns the number of routers that sent a heartbeat at or after `since`.
    pub fn count_since(&self, since: Time) -> usize {
        self.heartbeats.values().filter(|(_, at)| *at >= since).count()
    }

    /// Returns whether no heartbeat of a router has arrived recently. A router without any counts from
    /// the start of this process, time 0.
    pub fn is_silent(&self, now: Time, vm: &str) -> bool {
        let last = self.heartbeats.get(vm).map_or(Time(0), |(_, at)| *at);
        now.since(last) >= SILENT_AFTER
    }

    /// Returns at most `limit` addresses on which routers accept connections from other routers.
    pub fn links(&self, now: Time, limit: usize) -> Vec<String> {
        let known = self.heartbeats.values().filter(|(_, at)| now.since(*at) < ROUTER_TTL);
        known.take(limit).map(|(r, _)| r.link.clone()).collect()
    }

    /// Returns at most `limit` router addresses for a caller in `data_centre`: only those of its data
    /// centre if there are enough, else those of its region, else all.
    ///
    /// Busy routers are left out of a fraction of the lists. If most routers of the data centre are busy,
    /// some routers of other data centres are added.
    ///
    /// If at least half of the open routers are silent, this process is assumed to be cut off and keeps
    /// listing them.
    pub fn addresses(
        &mut self,
        now: Time,
        data_centre: &str,
        regions: &Regions,
        limit: usize,
    ) -> Vec<String> {
        let open =
            self.heartbeats.values().filter(|(r, at)| r.open && now.since(*at) < SILENT_AFTER);
        self.shedding.update(now, open.map(|(r, _)| router_load(r)));
        self.list_count += 1;
        let known =
            self.heartbeats.values().filter(|(r, at)| r.open && now.since(*at) < ROUTER_TTL);
        let known: Vec<_> = known.collect();
        let is_live = |at: Time| now.since(at) < SILENT_AFTER;
        let live: Vec<_> = known.iter().copied().filter(|(_, at)| is_live(*at)).collect();
        let usable = if live.len() * 2 > known.len() { live } else { known };
        let is_own = |r: &RouterStatus| r.data_centre == data_centre;
        let is_near = |r: &RouterStatus| regions.same_region(&r.data_centre, data_centre);
        let is_left_out = |r: &RouterStatus| self.shedding.omits(&r.vm, self.list_count);
        let remaining: Vec<_> = usable.iter().copied().filter(|(r, _)| !is_left_out(r)).collect();
        let usable = if remaining.is_empty() { usable } else { remaining };
        let (in_region, other_regions): (Vec<_>, Vec<_>) =
            usable.into_iter().partition(|(r, _)| is_near(r));
        if in_region.len() < MIN_NEAR {
            let all = in_region.into_iter().chain(other_regions);
            return all.take(limit).map(|(r, _)| r.address.clone()).collect();
        }
        let (own_data_centre, other_data_centres): (Vec<_>, Vec<_>) =
            in_region.iter().copied().partition(|(r, _)| is_own(r));
        if own_data_centre.len() < MIN_NEAR {
            return in_region.into_iter().take(limit).map(|(r, _)| r.address.clone()).collect();
        }
        let extra_count = self.shedding.remote_count(data_centre, other_data_centres.len());
        // Continue where the previous list ended, so that all of them get an equal share.
        let extra = other_data_centres
            .iter()
            .cycle()
            .skip(self.next_other % other_data_centres.len().max(1))
            .take(extra_count);
        let listed = own_data_centre.iter().chain(extra).take(limit);
        let listed = listed.map(|(r, _)| r.address.clone()).collect();
        self.next_other = self.next_other.wrapping_add(extra_count);
        listed
    }
}
