//! Which routers hand out the permits of a replica.
//!
//! Each router finds them by rendezvous hashing over the routers that it is told of: those of the
//! replica's data centre, or all where there are too few. Nothing is agreed on. While routers have
//! different lists, two of them may take themselves for the first, so one that has just come to be the
//! first hands out no more than the second until all have heard. Meanwhile, and while the first is dead, the second
//! hands out all, for as long as it knows for sure that the first does not.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::fleet::homes::ranked;
use crate::unit::{Millis, Time};

/// Routers of a replica's data centre that are enough to ask no other.
const ENOUGH: usize = 3;

/// Routers that are asked for a replica's permits, one after the other.
pub const ASKED: usize = 2;

/// How long after a router has come to be the first it hands out the second's part: within this time
/// every router in touch has the new list, and the former first has nobody left who asks it.
pub const SETTLED: Millis = Millis::seconds(4);

/// How long a look at the first router holds: it was dead, or stood back. One that starts after the look
/// stands back for longer.
pub const LOOK_HOLDS: Millis = Millis::seconds(1);

/// What a router is among those that hand out a replica's permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// All ask it first.
    First,
    /// It stands in for the first, or has not been the first for long.
    Second,
}

/// The routers that hand out the permits of one replica.
#[derive(Clone, Debug)]
struct Home {
    routers: Vec<SocketAddr>,
    /// Since when this router is the first.
    first: Option<Time>,
    /// This router is the second.
    is_second: bool,
    /// Until when it is sure that the first one hands out no more than the second's part.
    stands_back: Time,
}

impl Home {
    /// Whether this router, the second one, hands out all in the first's place.
    fn stands_in(&self, now: Time) -> bool {
        self.is_second && now < self.stands_back
    }
}

/// The routers that hand out permits, as one router sees them.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    /// The routers of each data centre.
    areas: BTreeMap<String, Vec<SocketAddr>>,
    changed: Time,
    homes: HashMap<String, Home>,
    /// Since when this router was the first for a replica, by the list before.
    before: HashMap<String, Time>,
}

impl Homes {
    /// Takes the routers of each data centre into use.
    pub fn set(&mut self, now: Time, areas: BTreeMap<String, Vec<SocketAddr>>) {
        if areas == self.areas {
            return;
        }
        self.areas = areas;
        self.changed = now;
        let homes = std::mem::take(&mut self.homes);
        let since = |h: &Home| match h.first {
            None if h.stands_in(now) => Some(now.before(SETTLED)),
            first => first,
        };
        self.before = homes.into_iter().filter_map(|(r, h)| Some((r, since(&h)?))).collect();
    }

    /// Notes that the first router of a replica hands out no more than the second's part until `until`, by a
    /// look at it that began at `now`.
    pub fn stands_back(&mut self, now: Time, replica: &str, first: SocketAddr, until: Time) {
        let home = self.homes.get_mut(replica).filter(|h| h.routers.first() == Some(&first));
        if let Some(h) = home {
            h.stands_back = until.min(now.after(LOOK_HOLDS));
        }
    }

    /// The first router, if this one is the second and does not know that the first stands back.
    pub fn first_to_look_at(
        &mut self,
        now: Time,
        own: SocketAddr,
        replica: &str,
        data_centre: &str,
    ) -> Option<SocketAddr> {
        let h = self.home(own, replica, data_centre);
        let known = h.stands_in(now.after(Millis(LOOK_HOLDS.0 / 2)));
        h.routers.first().copied().filter(|_| h.is_second && !known)
    }

    /// When this router, the first one, stops standing back; none if it does not, or is not the first.
    pub fn settles(
        &mut self,
        now: Time,
        own: SocketAddr,
        replica: &str,
        data_centre: &str,
    ) -> Option<Time> {
        let since = self.home(own, replica, data_centre).first?;
        Some(since.after(SETTLED)).filter(|until| now < *until)
    }

    /// How many routers there are.
    pub fn routers(&self) -> usize {
        self.areas.values().map(Vec::len).sum()
    }

    /// The routers to ask for the permits of a replica in `data_centre`, in order.
    pub fn of(&mut self, own: SocketAddr, replica: &str, data_centre: &str) -> &[SocketAddr] {
        &self.home(own, replica, data_centre).routers
    }

    /// What this router is among them; none: no other should ask it.
    pub fn rank(
        &mut self,
        now: Time,
        own: SocketAddr,
        replica: &str,
        data_centre: &str,
    ) -> Option<Rank> {
        let home = self.home(own, replica, data_centre);
        if home.first.is_none() && !home.is_second {
            return None;
        }
        let settled = home.first.is_some_and(|since| now.since(since) >= SETTLED);
        let all = settled || home.stands_in(now);
        Some(if all { Rank::First } else { Rank::Second })
    }

    /// Forgets a replica.
    pub fn forget(&mut self, replica: &str) {
        self.homes.remove(replica);
        self.before.remove(replica);
    }

    fn home(&mut self, own: SocketAddr, replica: &str, data_centre: &str) -> &Home {
        let (areas, changed, before) = (&self.areas, self.changed, &self.before);
        self.homes.entry(replica.to_owned()).or_insert_with(|| {
            let near = areas.get(data_centre).filter(|a| a.len() >= ENOUGH);
            let all: Vec<_> = match near {
                Some(near) => near.clone(),
                None => areas.values().flatten().copied().collect(),
            };
            let mut routers = ranked(replica, &all);
            routers.truncate(ASKED);
            let is_first = routers.first() == Some(&own);
            let since = before.get(replica).copied().unwrap_or(changed);
            let is_second = routers.get(1) == Some(&own);
            Home { routers, first: is_first.then_some(since), is_second, stands_back: Time(0) }
        })
    }
}
