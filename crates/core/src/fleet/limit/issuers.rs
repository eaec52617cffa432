//! Selection of the routers that issue permits for a replica.
//!
//! Each router computes the issuers by rendezvous hashing over the routers of the replica's data
//! centre, or over all routers if the data centre has too few. The first is the primary issuer, the
//! next the secondary. The routers do not coordinate this: while they hold different lists, two of them
//! may both act as the primary. A new primary therefore issues at the reduced rate until all routers
//! have the current list. The secondary issues at the full rate in the meantime, and while the primary
//! is dead, as long as a recent probe confirms that the primary does not.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::fleet::homes::home_candidates;
use crate::unit::{Millis, Time};

/// Minimum number of routers in a data centre to issue the permits of its own replicas.
const MIN_LOCAL_ROUTERS: usize = 3;

/// Number of routers that may issue permits for one replica: the primary and the secondary.
pub const ISSUERS_PER_REPLICA: usize = 2;

/// How long a new primary issues at the reduced rate. By then every reachable router has the current
/// list, and none asks the previous primary.
pub const HANDOVER_PERIOD: Millis = Millis::seconds(4);

/// How long a probe that found the primary dead or at the reduced rate remains valid. Shorter than
/// [`HANDOVER_PERIOD`], so that a primary that starts after the probe is still at the reduced rate.
pub const PROBE_VALIDITY: Millis = Millis::seconds(1);

/// The part of a replica's limit that a router issues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IssueRate {
    /// The whole limit: an established primary, or a secondary that replaces the primary.
    Full,
    /// A fraction of the limit: a secondary, or a new primary.
    Reduced,
}

/// The routers that issue permits for one replica.
#[derive(Clone, Debug)]
struct Issuers {
    routers: Vec<SocketAddr>,
    /// When this router became the primary, if it is.
    primary_since: Option<Time>,
    is_secondary: bool,
    /// Until when the primary is known to issue at most at the reduced rate.
    primary_reduced_until: Time,
}

impl Issuers {
    /// Returns whether this router, as the secondary, issues at the full rate.
    fn replaces_primary(&self, now: Time) -> bool {
        self.is_secondary && now < self.primary_reduced_until
    }
}

/// One router's view of which routers issue permits.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuers {
    routers: BTreeMap<String, Vec<SocketAddr>>,
    updated: Time,
    issuers: HashMap<String, Issuers>,
    /// Under the previous list: the replicas whose primary this router was, and since when.
    previously_primary: HashMap<String, Time>,
}

impl PermitIssuers {
    /// Replaces the lists of routers by data centre.
    pub fn set_routers(&mut self, now: Time, routers: BTreeMap<String, Vec<SocketAddr>>) {
        if routers == self.routers {
            return;
        }
        self.routers = routers;
        self.updated = now;
        let issuers = std::mem::take(&mut self.issuers);
        let since = |i: &Issuers| match i.primary_since {
            None if i.replaces_primary(now) => Some(now.before(HANDOVER_PERIOD)),
            since => since,
        };
        self.previously_primary =
            issuers.into_iter().filter_map(|(r, i)| Some((r, since(&i)?))).collect();
    }

    /// Records that the primary of `replica` issues at most at the reduced rate until `until`,
    /// according to a probe of `primary` that started at `now`.
    pub fn record_reduced(&mut self, now: Time, replica: &str, primary: SocketAddr, until: Time) {
        let issuers = self.issuers.get_mut(replica).filter(|i| i.routers.first() == Some(&primary));
        if let Some(i) = issuers {
            i.primary_reduced_until = until.min(now.after(PROBE_VALIDITY));
        }
    }

    /// Returns the primary if this router is the secondary and its last probe result is missing or
    /// about to become invalid.
    pub fn primary_to_probe(
        &mut self,
        now: Time,
        own: SocketAddr,
        replica: &str,
        data_centre: &str,
    ) -> Option<SocketAddr> {
        let i = self.issuers_of(own, replica, data_centre);
        let known = i.replaces_primary(now.after(Millis(PROBE_VALIDITY.0 / 2)));
        i.routers.first().copied().filter(|_| i.is_secondary && !known)
    }

    /// Returns when this router, as a new primary, switches to the full rate, or `None` if it already
    /// has or is not the primary.
    pub fn reduced_until(
        &mut self,
        now: Time,
        own: SocketAddr,
        replica: &str,
        data_centre: &str,
    ) -> Option<Time> {
        let since = self.issuers_of(own, replica, data_centre).primary_since?;
        Some(since.after(HANDOVER_PERIOD)).filter(|until| now < *until)
    }

    /// Returns the number of routers in all data centres.
    pub fn router_count(&self) -> usize {
        self.routers.values().map(Vec::len).sum()
    }

    /// Returns the routers to ask for permits of a replica in `data_centre`, in order.
    pub fn issuers(&mut self, own: SocketAddr, replica: &str, data_centre: &str) -> &[SocketAddr] {
        &self.issuers_of(own, replica, data_centre).routers
    }

    /// Returns the rate at which this router issues permits of a replica, or `None` if it is not one
    /// of its issuers.
    pub fn issue_rate(
        &mut self,
        now: Time,
        own: SocketAddr,
        replica: &str,
        data_centre: &str,
    ) -> Option<IssueRate> {
        let issuers = self.issuers_of(own, replica, data_centre);
        if issuers.primary_since.is_none() && !issuers.is_secondary {
            return None;
        }
        let established =
            issuers.primary_since.is_some_and(|since| now.since(since) >= HANDOVER_PERIOD);
        let full = established || issuers.replaces_primary(now);
        Some(if full { IssueRate::Full } else { IssueRate::Reduced })
    }

    /// Removes all state of a replica.
    pub fn remove(&mut self, replica: &str) {
        self.issuers.remove(replica);
        self.previously_primary.remove(replica);
    }

    fn issuers_of(&mut self, own: SocketAddr, replica: &str, data_centre: &str) -> &Issuers {
        let (by_data_centre, updated, previous) =
            (&self.routers, self.updated, &self.previously_primary);
        self.issuers.entry(replica.to_owned()).or_insert_with(|| {
            let local = by_data_centre.get(data_centre).filter(|r| r.len() >= MIN_LOCAL_ROUTERS);
            let all: Vec<_> = match local {
                Some(local) => local.clone(),
                None => by_data_centre.values().flatten().copied().collect(),
            };
            let mut routers = home_candidates(replica, &all);
            routers.truncate(ISSUERS_PER_REPLICA);
            let is_primary = routers.first() == Some(&own);
            let since = previous.get(replica).copied().unwrap_or(updated);
            let is_secondary = routers.get(1) == Some(&own);
            Issuers {
                routers,
                primary_since: is_primary.then_some(since),
                is_secondary,
                primary_reduced_until: Time(0),
            }
        })
    }
}
