//! Replicas that say how much they take: those that name a limit, and those that ask for rest.

use std::net::SocketAddr;

use super::{Choice, Pool, Replica, Work};
use crate::unit::{Millis, Time};

/// How soon there is room at a replica that lets in few after its rest: a request there ends.
const ROOM_AFTER: Millis = Millis(400);

/// What keeps work away from replicas that could do it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// The limit that they name.
    Limit,
    /// The rest that they ask for.
    Rest,
}

/// Work that no replica may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldBack {
    /// What keeps it away from the replica that takes some again first.
    pub by: Bound,
    /// When that is.
    pub after: Millis,
    /// Which replica it is.
    pub replica: String,
}

impl Pool {
    /// Notes whether a replica names a limit: then it is no prompt's home, so that all routers find the
    /// same replica in its place.
    pub fn set_limited(&mut self, now: Time, address: SocketAddr, limited: bool) {
        let Some(r) = self.replicas.get_mut(&address).filter(|r| r.limited != limited) else {
            return;
        };
        r.limited = limited;
        r.barred = None;
        match limited {
            true => self.limited.insert(address),
            false => self.limited.remove(&address),
        };
        self.set_home(now, address);
    }

    /// Notes that a replica that names a limit gets no request for `span`, but for those more urgent than
    /// `priority`.
    pub fn bar(&mut self, now: Time, address: SocketAddr, span: Millis, priority: u8) {
        if let Some(r) = self.replicas.get_mut(&address) {
            r.barred = Some((now.after(span), priority));
        }
    }

    /// The replicas that name a limit.
    pub fn limited(&self) -> impl Iterator<Item = String> {
        let all = self.limited.iter().filter_map(|a| self.replicas.get(a));
        all.map(|r| r.upstream.vm.name.clone())
    }

    /// Takes a replica's word that it wants nothing from this router for `span`. Returns how many of this
    /// router's requests it has then.
    pub fn rest(&mut self, now: Time, address: SocketAddr, span: Millis) -> u32 {
        let Some(r) = self.replicas.get_mut(&address) else { return 0 };
        r.rest.begin(now, span, r.outstanding, self.tickets);
        if r.rest.binds() {
            self.paced.insert(address);
        }
        r.outstanding
    }

    /// Notes that a replica has let a request in: it did not turn it away.
    pub fn let_in(&mut self, now: Time, c: &Choice) {
        self.let_in.note(now);
        let Some(r) = self.replicas.get_mut(&c.address).filter(|r| r.rest.binds()) else { return };
        r.rest.let_in(c.ticket, r.slots);
        if !r.rest.binds() {
            self.paced.remove(&c.address);
        }
    }

    /// Requests that replicas have let in lately, in a second.
    pub fn let_in_per_second(&self) -> u64 {
        self.let_in.per_second()
    }

    /// The replicas that want nothing from this router at `now`, and for how much longer.
    pub fn resting(&self, now: Time) -> impl Iterator<Item = (&str, Millis)> {
        let all = self.paced.iter().filter_map(|a| self.replicas.get(a));
        let resting = all.filter(move |r| r.rest.is_on(now));
        resting.map(move |r| (r.upstream.vm.name.as_str(), r.rest.left(now)))
    }

    /// Whether half of the replicas or more want nothing from this router at `now`: the service is overloaded,
    /// and one more try of a request that was turned away would most likely be turned away too.
    pub fn is_mostly_resting(&self, now: Time) -> bool {
        let resting = self.resting(now).count();
        resting > 0 && resting * 2 >= self.replicas.len()
    }

    /// Whether a replica wants nothing from this router at `now`.
    pub fn is_resting(&self, now: Time, address: SocketAddr) -> bool {
        self.replicas.get(&address).is_some_and(|r| r.rest.is_on(now))
    }

    /// Whether what was chosen for this replica may still be sent there: it has neither gone nor asked for
    /// rest since.
    pub fn may_send(&self, now: Time, address: SocketAddr, replica: &str) -> bool {
        let there = self.replicas.get(&address).filter(|r| r.upstream.vm.name == replica);
        there.is_some_and(|r| r.is_open() && !r.rest.is_on(now))
    }

    /// Whether a replica that has asked for rest of late has room for this work.
    pub(super) fn has_room_after_rest(&self, now: Time, r: &Replica, work: &Work) -> bool {
        !r.rest.binds() || (r.rest.allows(now) && self.pressure.allows(now, work.priority))
    }

    /// What keeps this work away from replicas that could do it, if it is their limits and rests: that of
    /// the one that takes some again first.
    pub fn held_back(&mut self, now: Time, work: &Work) -> Option<HeldBack> {
        let limited = self.limited.iter().filter_map(|a| self.replicas.get(a));
        let barred = limited.filter(|r| self.may_serve(r, work) && r.is_barred(now, work.priority));
        let barred = barred.filter_map(|r| Some((r.barred?.0.since(now), Bound::Limit, r)));
        let paced = self.paced.iter().filter_map(|a| self.replicas.get(a));
        let paced = paced.filter(|r| self.may_serve(r, work));
        let paced = paced.filter(|r| !self.has_room_after_rest(now, r, work));
        let paced = paced.map(|r| match r.rest.is_on(now) {
            true => (r.rest.left(now), Bound::Rest, r),
            false => (ROOM_AFTER, Bound::Rest, r),
        });
        let (after, by, r) = barred.chain(paced).min_by_key(|(after, ..)| *after)?;
        let replica = r.upstream.vm.name.clone();
        if by == Bound::Rest {
            self.pressure.refuse(now, work.priority);
        }
        Some(HeldBack { by, after, replica })
    }
}
