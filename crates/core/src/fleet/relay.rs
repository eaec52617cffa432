//! Relays: routers that open connections to replicas for other routers.
//!
//! A relay forwards bytes and decides nothing: the router that has the request keeps its reservation,
//! permits, retries and the position in its stream. A relay connects to registered replicas only, by its
//! own direct path, and declines what would impair its own callers.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use crate::unit::{Millis, Time};

/// Time for which a relay that failed is left out.
const FAILED_FOR: Millis = Millis::seconds(1);

/// Time for which a relay that worked comes first.
const WORKED_FOR: Millis = Millis::seconds(5);

/// Relays that worked among which a router spreads its connections before it looks for no more.
const ENOUGH_RELAYS: usize = 3;

/// One in this many connections tries a relay that is not known to work, until enough are known.
const EXPLORATION: u32 = 8;

/// A relay serves at most this part of its active requests for other routers.
const MAX_RELAYED_PERCENT: u64 = 25;

/// A request to open a connection to a replica and to relay it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Connect {
    /// Name of the replica's service.
    pub service: String,
    /// Id of the replica.
    pub replica: String,
    /// Address of the replica.
    pub address: SocketAddr,
    /// Maximum time until the connection is open.
    pub within: Millis,
}

/// The outcome of a [`Connect`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Connected {
    /// The connection is open; what follows on the link are its bytes.
    Open,
    /// The replica's host refused the connection, while the relay reaches another replica of the service.
    Refused,
    /// The relay does not reach the replica either.
    Unreachable,
    /// The relay opens no connection: it is stopping or too busy, does not know the replica, or may not send to
    /// it now.
    Declined,
}

/// Returns whether a router with `active` requests of its own callers and `relayed` connections of other
/// routers may relay one more; `max_active` bounds both together.
pub fn may_relay(active: u64, relayed: u64, max_active: u64) -> bool {
    relayed * 100 < max_active * MAX_RELAYED_PERCENT && active + relayed < max_active
}

/// When a relay last worked, and last failed, for a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Standing {
    worked: Option<Time>,
    failed: Option<Time>,
}

/// One router's experience with relays.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    /// By service and relay.
    known: HashMap<String, HashMap<SocketAddr, Standing>>,
}

impl Relays {
    /// Returns at most `limit` relays to try for a service, the most promising first: those that worked lately,
    /// then `near` ones, then `far` ones, each in random order. Those that failed lately are left out.
    pub fn candidates(
        &self,
        now: Time,
        service: &str,
        (near, far): (&[SocketAddr], &[SocketAddr]),
        limit: usize,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let known = self.known.get(service);
        let standing = |a: &SocketAddr| known.and_then(|k| k.get(a)).copied().unwrap_or_default();
        let is_recent = |at: Option<Time>, span: Millis| at.is_some_and(|at| now.since(at) < span);
        let has_failed = |a: &SocketAddr| is_recent(standing(a).failed, FAILED_FOR);
        let is_listed = |a: &SocketAddr| near.contains(a) || far.contains(a);
        let working: Vec<SocketAddr> = known
            .into_iter()
            .flatten()
            .filter(|(a, s)| is_recent(s.worked, WORKED_FOR) && !has_failed(a) && is_listed(a))
            .map(|(a, _)| *a)
            .collect();
        let explores = working.len() < ENOUGH_RELAYS && rng.random_range(0..EXPLORATION) == 0;
        let mut order: Vec<_> = working.choose_multiple(rng, limit).copied().collect();
        for group in [near, far] {
            let untried: Vec<_> =
                group.iter().copied().filter(|a| !has_failed(a) && !working.contains(a)).collect();
            order.extend(untried.choose_multiple(rng, limit));
        }
        if explores && !working.is_empty() && order.len() > working.len() {
            order.rotate_left(working.len().min(limit));
        }
        order.truncate(limit);
        order
    }

    /// Records that a relay opened a connection to a replica of a service.
    pub fn record_worked(&mut self, now: Time, service: &str, relay: SocketAddr) {
        self.standing(service, relay).worked = Some(now);
        self.standing(service, relay).failed = None;
    }

    /// Records that a relay opened no connection to a replica of a service.
    pub fn record_failed(&mut self, now: Time, service: &str, relay: SocketAddr) {
        *self.standing(service, relay) = Standing { worked: None, failed: Some(now) };
    }

    fn standing(&mut self, service: &str, relay: SocketAddr) -> &mut Standing {
        self.known.entry(service.to_owned()).or_default().entry(relay).or_default()
    }

    /// Removes what is too old to matter.
    pub fn remove_expired(&mut self, now: Time) {
        let is_recent = |at: Option<Time>| at.is_some_and(|at| now.since(at) < WORKED_FOR);
        self.known.values_mut().for_each(|relays| {
            relays.retain(|_, s| is_recent(s.worked) || is_recent(s.failed));
        });
        self.known.retain(|_, relays| !relays.is_empty());
    }
}
