//! Where streams began: the service and the software version of the replica that brought a stream's first event.
//!
//! Events of two versions do not fit together, and replicas do not check which version brought the events
//! before. A stream therefore continues only at its origin, within one response and over a caller's attempts.
//! The router that forwards a first event stores the origin and sends it to some other routers, its keepers,
//! which are selected by rendezvous hashing of the stream's id, so that any router finds it when the first one
//! has died. Nothing is sent while a service is known to have a single version, see
//! [`super::software`].
//!
//! An origin that nobody knows is never guessed. Without it a stream continues only where a single version is
//! known.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::hash::{Fnv, rendezvous_rank};
use crate::unit::{Millis, Time};

/// Time after its last event for which a stream's origin is known.
pub const ORIGIN_TTL: Millis = Millis::seconds(60);

/// Interval at which the origin of a stream that is still running is stored again.
pub const REFRESH_INTERVAL: Millis = Millis::seconds(20);

/// Number of keepers of a stream. With four, at most one in 16 origins is lost when half of the routers die
/// at once.
const KEEPERS: usize = 4;

/// Number of routers per data centre that are asked for an origin. The router that stored it is not among
/// the keepers that it selected, but may be among these.
const ASKED_KEEPERS: usize = KEEPERS + 1;

/// A stream, by the client account and the id of the attempt that brought its first event.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamId {
    /// Name of the client account, or `None` on an open route.
    pub account: Option<String>,
    /// Id of the attempt.
    pub attempt: String,
}

impl StreamId {
    fn hash(&self) -> u64 {
        let account = self.account.as_deref().unwrap_or_default();
        Fnv::new().add_part(account.as_bytes()).add_part(self.attempt.as_bytes()).finish()
    }

    /// Returns the routers that keep the origin of this stream, out of those near the router that stores it
    /// (`near`) and those farther away (`far`). `own` is that router, which is not among them.
    pub fn keepers(
        &self,
        own: SocketAddr,
        near: &[SocketAddr],
        far: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        let others = |all: &[SocketAddr]| all.iter().copied().filter(|a| *a != own).collect();
        let (near, far): (Vec<_>, Vec<_>) = (others(near), others(far));
        // One keeper elsewhere survives the data centre.
        let far_keepers = usize::from(!far.is_empty());
        let mut keepers = self.highest_ranked(near, KEEPERS - far_keepers);
        keepers.extend(self.highest_ranked(far, far_keepers));
        keepers
    }

    /// Returns the routers to ask for the origin of this stream, out of those of each data centre. `own` is
    /// the router that asks.
    pub fn asked_keepers(
        &self,
        own: SocketAddr,
        data_centres: impl IntoIterator<Item = Vec<SocketAddr>>,
    ) -> Vec<SocketAddr> {
        let asked = data_centres.into_iter().flat_map(|mut all| {
            all.push(own);
            self.highest_ranked(all, ASKED_KEEPERS)
        });
        asked.filter(|a| *a != own).collect()
    }

    fn highest_ranked(&self, mut routers: Vec<SocketAddr>, n: usize) -> Vec<SocketAddr> {
        let hash = self.hash();
        routers.sort_unstable();
        routers.dedup();
        routers.sort_by_cached_key(|a| Reverse(rendezvous_rank(hash, *a)));
        routers.truncate(n);
        routers
    }
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Name of its route.
    pub route: String,
    /// Name of the service.
    pub service: String,
    /// Software version of the replica.
    pub version: String,
}

/// The origin of one stream, as sent to its keepers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// The stream.
    pub stream: StreamId,
    /// Its origin.
    pub origin: Origin,
}

#[derive(Clone, Debug)]
struct Entry {
    /// `None` if several origins were reported for the same id.
    origin: Option<Origin>,
    stored_at: Time,
    /// Whether this router forwarded the first event and the keepers do not have the origin yet.
    unsent: bool,
}

/// The origins that one router knows: those of its own streams and those that it keeps for others.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    entries: HashMap<StreamId, Entry>,
    /// Streams in the order in which they were stored. One that was stored again is listed once more.
    order: VecDeque<(Time, StreamId)>,
    capacity: usize,
}

impl Origins {
    /// Returns a store for at most `capacity` streams.
    pub fn new(capacity: usize) -> Origins {
        Origins { capacity, ..Origins::default() }
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no stream is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Stores the origin of a stream. `unsent` marks it for [`Origins::take_unsent`]. Two streams of one
    /// account with the same id and different origins make the id ambiguous, and neither is found by it.
    /// Returns whether there was room for it.
    pub fn store(&mut self, now: Time, r: OriginRecord, unsent: bool) -> bool {
        self.expire(now);
        if let Some(known) = self.entries.get_mut(&r.stream) {
            if known.origin.as_ref() != Some(&r.origin) {
                known.origin = None;
            }
            known.unsent |= unsent;
            known.stored_at = now;
        } else if self.entries.len() >= self.capacity {
            return false;
        } else {
            let entry = Entry { origin: Some(r.origin), stored_at: now, unsent };
            self.entries.insert(r.stream.clone(), entry);
        }
        self.order.push_back((now, r.stream));
        true
    }

    /// Returns the origin of a stream, or `None` if it is unknown or ambiguous.
    pub fn get(&self, now: Time, stream: &StreamId) -> Option<&Origin> {
        let known = self.entries.get(stream)?;
        known.origin.as_ref().filter(|_| now.since(known.stored_at) < ORIGIN_TTL)
    }

    /// Returns the unsent origins of a service, and marks them as sent.
    pub fn take_unsent(&mut self, now: Time, service: &str) -> Vec<OriginRecord> {
        self.expire(now);
        let mut unsent = Vec::new();
        for (stream, e) in self.entries.iter_mut().filter(|(_, e)| e.unsent) {
            if let Some(origin) = e.origin.as_ref().filter(|o| o.service == service) {
                unsent.push(OriginRecord { stream: stream.clone(), origin: origin.clone() });
                e.unsent = false;
            }
        }
        unsent
    }

    /// Removes streams whose origins are no longer needed.
    fn expire(&mut self, now: Time) {
        let is_due = |(at, _): &(Time, StreamId)| now.since(*at) >= ORIGIN_TTL;
        while self.order.front().is_some_and(is_due) {
            let Some((at, stream)) = self.order.pop_front() else { return };
            if self.entries.get(&stream).is_some_and(|e| e.stored_at == at) {
                self.entries.remove(&stream);
            }
        }
    }
}
