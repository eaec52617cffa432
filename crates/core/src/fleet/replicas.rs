//! A router's table of the replicas of all services, merged from records that several control
//! processes send in any order. Applying a record costs time for the addresses that it affects
//! only, independent of the number of replicas.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

use super::registry::{Record, ReplicaStatus};
use crate::config::{Upstream, Vm};
use crate::route::ReplicaInfo;
use crate::unit::{Millis, Time};

/// Time for which a departed replica is kept, so that late records do not restore it. Control
/// processes drop its record after the same time.
const LEFT_TTL: Millis = Millis::seconds(120);

/// Time for which a draining replica is kept. It may continue to send heartbeats, and a control
/// process that has restarted reports it as ready: if it were removed earlier, it would get requests
/// again.
const DRAINING_TTL: Millis = Millis::seconds(3_600);

/// A change of the replica that a service has at one address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressChange {
    /// Name of the service.
    pub service: String,
    /// Address at which the replica changes.
    pub address: SocketAddr,
    /// The replica to use at this address from now on, if any.
    pub upstream: Option<(Upstream, ReplicaInfo)>,
}

#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    /// Order in which this incarnation was first seen.
    order: u64,
    /// Whether another replica has answered at its address.
    replaced: bool,
}

/// Whether a record shows that a replica has started or restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// The record is of a known incarnation.
    Known,
    /// The record is of an unknown replica.
    New,
    /// The record is of a later incarnation of a known replica.
    Restarted,
}

/// The replicas of all services, by id and by address.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    by_id: BTreeMap<String, Entry>,
    by_address: HashMap<SocketAddr, Vec<String>>,
    /// Departed replicas in order of time: when, id and start time of the incarnation.
    left: VecDeque<(Time, String, u64)>,
    /// Draining replicas, in the same form.
    draining: VecDeque<(Time, String, u64)>,
    /// The `order` of the next incarnation.
    order: u64,
}

impl ReplicaTable {
    /// Applies a record. Returns the replica's resulting state and the changes of addresses, or
    /// `None` if the record contains nothing new. A later incarnation of a known replica replaces
    /// the former one, whose address is cleared first.
    pub fn apply(&mut self, now: Time, r: Record) -> Option<(ReplicaStatus, Vec<AddressChange>)> {
        self.expire(now);
        let id = r.registration.id.clone();
        let known = self.by_id.get(&id);
        let r = r.with_known_registration(known.map(|k| &k.record));
        if known.is_some_and(|k| !is_update(&k.record, &r)) {
            return None;
        }
        let mut changes = Vec::new();
        let same_incarnation = known.filter(|k| !is_later_incarnation(&k.record, &r));
        if known.is_some() && same_incarnation.is_none() {
            changes.extend(self.clear_address(&id));
        }
        let standing =
            same_incarnation.map_or(r.standing, |k| merge_standing(k.record.standing, r.standing));
        let previous = known.map(|k| location(&k.record));
        let (order, replaced) =
            same_incarnation.map_or((self.order, false), |k| (k.order, k.replaced));
        self.order += u64::from(same_incarnation.is_none());
        let mut record = Record { standing, ..r };
        let born = same_incarnation.map_or(0, |k| k.record.registration.born);
        let born = born.max(record.registration.born);
        record.registration.born = born;
        let current = location(&record);
        self.by_id.insert(id.clone(), Entry { record, order, replaced });
        match standing {
            ReplicaStatus::Left => self.left.push_back((now, id.clone(), born)),
            ReplicaStatus::Draining => self.draining.push_back((now, id.clone(), born)),
            ReplicaStatus::Ready | ReplicaStatus::Silent => {}
        }
        let moved = previous.filter(|p| *p != current);
        if let Some((_, Some(address))) = &moved {
            self.remove_at(*address, &id);
        }
        if let (_, Some(address)) = current {
            self.insert_at(address, id);
        }
        let locations = moved.into_iter().chain([current]);
        changes.extend(locations.filter_map(|(s, a)| self.address_change(s, a?)));
        Some((standing, changes))
    }

    /// Returns whether a record shows a start or restart of its replica that was not known.
    pub fn classify_start(&self, r: &Record) -> Start {
        match self.by_id.get(&r.registration.id) {
            // The departure of a replica without a registration is not a start.
            _ if r.registration.address.is_empty() => Start::Known,
            None => Start::New,
            Some(k) if is_later_incarnation(&k.record, r) => Start::Restarted,
            Some(_) => Start::Known,
        }
    }

    /// Returns the start time of a replica's current incarnation, or 0 if it is unknown.
    pub fn born(&self, id: &str) -> u64 {
        self.by_id.get(id).map_or(0, |k| k.record.registration.born)
    }

    /// Returns the service and the address of a replica, or `None` if it is unknown.
    pub fn location(&self, id: &str) -> Option<(String, SocketAddr)> {
        let (service, address) = location(&self.by_id.get(id)?.record);
        Some((service, address?))
    }

    /// Returns the state of a replica.
    pub fn standing(&self, id: &str) -> Option<ReplicaStatus> {
        self.by_id.get(id).map(|k| k.record.standing)
    }

    /// Returns a record that marks a replica as draining, or `None` if it is unknown or already
    /// drains or has left.
    pub fn draining_record(&self, id: &str) -> Option<Record> {
        let known = &self.by_id.get(id)?.record;
        (known.standing < ReplicaStatus::Draining).then(|| known.as_draining())
    }

    /// Returns whether a replica has not left and has not restarted since its incarnation with the
    /// start time `born`.
    pub fn is_running(&self, id: &str, born: u64) -> bool {
        self.by_id.get(id).is_some_and(|k| k.record.is_running(born))
    }

    /// Returns the change that clears a replica's address, if the replica is the one in use there.
    fn clear_address(&self, id: &str) -> Option<AddressChange> {
        let (service, address) = location(&self.by_id.get(id)?.record);
        let change = self.address_change(service, address?)?;
        let is_current = change.upstream.as_ref().is_some_and(|(u, _)| u.vm.name == id);
        is_current.then_some(AddressChange { upstream: None, ..change })
    }

    /// Records that another replica answered at this replica's address. Returns the change of that
    /// address, or `None` if the replica is unknown or already marked. Two replicas may be recorded
    /// at one address if a late heartbeat arrives from one that has crashed.
    pub fn mark_replaced(&mut self, id: &str) -> Option<AddressChange> {
        let known = self.by_id.get_mut(id).filter(|k| !k.replaced)?;
        known.replaced = true;
        let (service, address) = location(&known.record);
        self.address_change(service, address?)
    }

    fn insert_at(&mut self, address: SocketAddr, id: String) {
        let ids = self.by_address.entry(address).or_default();
        if !ids.contains(&id) {
            ids.push(id);
        }
    }

    fn remove_at(&mut self, address: SocketAddr, id: &str) {
        let Some(ids) = self.by_address.get_mut(&address) else { return };
        ids.retain(|other| other != id);
        if ids.is_empty() {
            self.by_address.remove(&address);
        }
    }

    /// Removes replicas that drain or have left and whose retention time is over.
    fn expire(&mut self, now: Time) {
        let is_due = |(at, ..): &(Time, String, u64), ttl| now.since(*at) >= ttl;
        while self.left.front().is_some_and(|l| is_due(l, LEFT_TTL)) {
            let Some((_, id, born)) = self.left.pop_front() else { return };
            self.remove_incarnation(&id, born);
        }
        while self.draining.front().is_some_and(|l| is_due(l, DRAINING_TTL)) {
            let Some((_, id, born)) = self.draining.pop_front() else { return };
            self.remove_incarnation(&id, born);
        }
    }

    /// Removes a replica, unless it has restarted.
    fn remove_incarnation(&mut self, id: &str, born: u64) {
        let is_same = |k: &Entry| k.record.registration.born == born;
        if !self.by_id.get(id).is_some_and(is_same) {
            return;
        }
        let Some(known) = self.by_id.remove(id) else { return };
        if let (_, Some(address)) = location(&known.record) {
            self.remove_at(address, id);
        }
    }

    /// Returns the replica to use for a service at an address. Of several recorded there it prefers
    /// one that is ready, then one that is not marked as replaced, then the newest.
    fn address_change(&self, service: String, address: SocketAddr) -> Option<AddressChange> {
        let ids = self.by_address.get(&address).into_iter().flatten();
        let known = ids.filter_map(|id| self.by_id.get(id));
        let usable = known.filter(|k| {
            k.record.standing <= ReplicaStatus::Silent && k.record.registration.service == service
        });
        let best = usable.min_by_key(|k| (k.record.standing, k.replaced, u64::MAX - k.order));
        let upstream = best.map(|k| (upstream(address, &k.record), replica_info(&k.record)));
        Some(AddressChange { service, address, upstream })
    }
}

/// Merges two states of one incarnation, which never returns from draining or left.
fn merge_standing(known: ReplicaStatus, received: ReplicaStatus) -> ReplicaStatus {
    if known >= ReplicaStatus::Draining { known.max(received) } else { received }
}

/// Returns whether `r` contains anything new. Draining and left are new regardless of the sequence
/// number.
fn is_update(known: &Record, r: &Record) -> bool {
    match r.registration.cmp_incarnation(&known.registration) {
        Ordering::Greater => return true,
        Ordering::Less => return false,
        Ordering::Equal => {}
    }
    let newer = r.registration.sequence > known.registration.sequence;
    let same = r.registration.sequence == known.registration.sequence;
    let leaves = r.standing >= ReplicaStatus::Draining && r.standing > known.standing;
    leaves || (newer && *r != *known) || (same && r.standing > known.standing)
}

fn is_later_incarnation(known: &Record, r: &Record) -> bool {
    r.registration.cmp_incarnation(&known.registration) == Ordering::Greater
}

fn location(r: &Record) -> (String, Option<SocketAddr>) {
    (r.registration.service.clone(), r.registration.address.parse().ok())
}

fn upstream(address: SocketAddr, r: &Record) -> Upstream {
    let g = &r.registration;
    let vm = Vm { name: g.id.clone(), data_centre: g.data_centre.clone() };
    Upstream { vm, address, checks_orders: false }
}

fn replica_info(r: &Record) -> ReplicaInfo {
    let g = &r.registration;
    let leaving = r.standing == ReplicaStatus::Silent;
    ReplicaInfo { version: g.version.clone(), slots: g.slots, leaving, cold_for: g.cold }
}
