//! Router addresses by data centre, which control processes send to routers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::homes::MIN_ROUTERS_FOR_HOMES;
use super::router_heartbeats::RouterHeartbeats;
use crate::hash::Fnv;
use crate::member::Router;
use crate::unit::{Millis, Time};

/// Minimum interval between two rebuilds of the directory.
const REFRESH_INTERVAL: Millis = Millis(250);

/// Sentinel digest in a watch request: the requester wants no list.
pub const NOT_WANTED: u64 = u64::MAX;

/// The routers of one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreRouters {
    /// Name of the data centre.
    pub data_centre: String,
    /// Addresses on which its routers accept connections from other routers.
    pub links: Vec<String>,
}

/// Returns a digest of the router addresses, by which a router names the list that it has. It is stable
/// across processes and releases.
pub fn digest(data_centres: &[DataCentreRouters]) -> u64 {
    let links = data_centres.iter().flat_map(|dc| &dc.links);
    links.fold(Fnv::new(), |h, l| h.add_part(l.as_bytes())).finish()
}

/// The routers of all data centres, as known to one control process.
#[derive(Clone, Debug, Default)]
pub struct RouterDirectory {
    with_homes: Vec<DataCentreRouters>,
    with_homes_digest: u64,
    /// Data centres with too few routers for homes.
    without_homes: Vec<DataCentreRouters>,
    without_homes_digest: u64,
    refreshed: Option<Time>,
}

impl RouterDirectory {
    /// Rebuilds the lists if they are older than the refresh interval.
    ///
    /// The lists start from the registered routers, because registrations survive a restart of the control
    /// process and received heartbeats do not. Routers that are leaving or silent are left out.
    pub fn refresh<'a>(
        &mut self,
        now: Time,
        registered: impl Iterator<Item = &'a Router>,
        heartbeats: &RouterHeartbeats,
    ) {
        if self.refreshed.is_some_and(|at| now.since(at) < REFRESH_INTERVAL) {
            return;
        }
        self.refreshed = Some(now);
        let mut all: BTreeMap<&str, Vec<&Router>> = BTreeMap::new();
        for r in registered.filter(|r| !r.link.is_empty()) {
            all.entry(&r.data_centre).or_default().push(r);
        }
        let (many, few): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|(_, routers)| routers.len() >= MIN_ROUTERS_FOR_HOMES);
        let entry = |(dc, routers): (&str, Vec<&Router>)| DataCentreRouters {
            data_centre: dc.to_owned(),
            links: links(now, &routers, heartbeats),
        };
        self.with_homes = many.into_iter().map(entry).collect();
        self.with_homes_digest = digest(&self.with_homes);
        self.without_homes = few.into_iter().map(entry).collect();
        self.without_homes_digest = digest(&self.without_homes);
    }

    /// Returns the data centres with too few routers for homes.
    pub fn without_homes(&self) -> &[DataCentreRouters] {
        &self.without_homes
    }

    /// Returns the digest of [`RouterDirectory::without_homes`].
    pub fn without_homes_digest(&self) -> u64 {
        self.without_homes_digest
    }

    /// Returns the data centres with enough routers for homes.
    pub fn with_homes(&self) -> &[DataCentreRouters] {
        &self.with_homes
    }

    /// Returns the digest of [`RouterDirectory::with_homes`].
    pub fn with_homes_digest(&self) -> u64 {
        self.with_homes_digest
    }

    /// Returns whether budgets have homes in a data centre.
    pub fn has_homes(&self, data_centre: &str) -> bool {
        self.with_homes.iter().any(|dc| dc.data_centre == data_centre)
    }
}

fn links(now: Time, routers: &[&Router], heartbeats: &RouterHeartbeats) -> Vec<String> {
    let staying = routers.iter().filter(|r| !r.leaving);
    let live: Vec<_> = staying.clone().filter(|r| !heartbeats.is_silent(now, &r.vm)).collect();
    // If at least half are silent, this process is assumed to be cut off from them.
    let listed = if live.len() * 2 > routers.len() { live } else { staying.collect() };
    listed.into_iter().map(|r| r.link.clone()).collect()
}
