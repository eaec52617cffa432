//! The replicas of all services, as a router hears of them from several control processes in any
//! order. A record changes what depends on it and nothing else: a start with 1,000 replicas costs a
//! router 1,000 such changes, not 1,000 lists of them all.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

use super::registry::{Record, Standing};
use crate::config::{Upstream, Vm};
use crate::route::Condition;
use crate::unit::{Millis, Time};

/// How long one that has left is remembered against late news. Control processes forget it after as
/// long, and tell of it no more.
const LEFT_KEPT: Millis = Millis::seconds(120);

/// How long one that leaves and goes on telling of itself is remembered. Whoever forgets it sooner takes it for
/// ready as soon as a control process that has started again says so.
const DRAINING_KEPT: Millis = Millis::seconds(3_600);

/// What changes at one address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The service.
    pub service: String,
    /// The address.
    pub address: SocketAddr,
    /// The replica that is there now, if any.
    pub there: Option<(Upstream, Condition)>,
}

#[derive(Clone, Debug)]
struct Known {
    record: Record,
    /// Rises with each replica, or life of one, that was first heard of.
    order: u64,
    /// Another replica has answered at its address.
    replaced: bool,
}

/// Whether a record is of a start that was not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Of one that is known.
    Known,
    /// Of a replica of which nothing was known.
    New,
    /// Of a later life of a replica that is known.
    LaterLife,
}

/// What is known of all of them.
#[derive(Clone, Debug, Default)]
pub struct Replicas {
    by_id: BTreeMap<String, Known>,
    by_address: HashMap<SocketAddr, Vec<String>>,
    /// Those that have left: when, and which life.
    left: VecDeque<(Time, String, u64)>,
    /// The same for those that leave.
    draining: VecDeque<(Time, String, u64)>,
    order: u64,
}

impl Replicas {
    /// Takes what is said of a replica. Returns how it stands and what changes, if it is news. A later
    /// life of one that is known leaves nothing of the former: its address is emptied first.
    pub fn take(&mut self, now: Time, r: Record) -> Option<(Standing, Vec<Change>)> {
        self.forget_left(now);
        let id = r.registration.id.clone();
        let known = self.by_id.get(&id);
        if known.is_some_and(|k| !is_news(&k.record, &r)) {
            return None;
        }
        let mut changes = Vec::new();
        let of_life = known.filter(|k| !is_later_life(&k.record, &r));
        if known.is_some() && of_life.is_none() {
            changes.extend(self.vacate(&id));
        }
        let standing = of_life.map_or(r.standing, |k| after(k.record.standing, r.standing));
        let before = known.map(|k| place(&k.record));
        let (order, replaced) = of_life.map_or((self.order, false), |k| (k.order, k.replaced));
        self.order += u64::from(of_life.is_none());
        let mut record = Record { standing, ..r };
        let born = of_life.map_or(0, |k| k.record.registration.born);
        let born = born.max(record.registration.born);
        record.registration.born = born;
        let here = place(&record);
        self.by_id.insert(id.clone(), Known { record, order, replaced });
        match standing {
            Standing::Left => self.left.push_back((now, id.clone(), born)),
            Standing::Draining => self.draining.push_back((now, id.clone(), born)),
            Standing::Ready | Standing::Silent => {}
        }
        let moved = before.filter(|b| *b != here);
        if let Some((_, Some(address))) = &moved {
            self.leave(*address, &id);
        }
        if let (_, Some(address)) = here {
            self.arrive(address, id);
        }
        let places = moved.into_iter().chain([here]);
        changes.extend(places.filter_map(|(s, a)| self.change(s, a?)));
        Some((standing, changes))
    }

    /// Whether a record tells of a start that was not known.
    pub fn start(&self, r: &Record) -> Start {
        match self.by_id.get(&r.registration.id) {
            None => Start::New,
            Some(k) if is_later_life(&k.record, r) => Start::LaterLife,
            Some(_) => Start::Known,
        }
    }

    /// When the present life of a replica began; 0 if that is not known.
    pub fn born(&self, id: &str) -> u64 {
        self.by_id.get(id).map_or(0, |k| k.record.registration.born)
    }

    /// The service and the address of a replica.
    pub fn place_of(&self, id: &str) -> Option<(String, SocketAddr)> {
        let (service, address) = place(&self.by_id.get(id)?.record);
        Some((service, address?))
    }

    /// How a replica stands.
    pub fn standing(&self, id: &str) -> Option<Standing> {
        self.by_id.get(id).map(|k| k.record.standing)
    }

    /// The word that a replica leaves; none if that is known.
    pub fn leaving(&self, id: &str) -> Option<Record> {
        let known = &self.by_id.get(id)?.record;
        (known.standing < Standing::Draining).then(|| known.leaving())
    }

    /// Whether a replica is there, in this life of it or one that is not told apart.
    pub fn is_there(&self, id: &str, born: u64) -> bool {
        self.by_id.get(id).is_some_and(|k| k.record.is_there(born))
    }

    /// What has its address forgotten by those who send there, if it is the one that is there.
    fn vacate(&self, id: &str) -> Option<Change> {
        let (service, address) = place(&self.by_id.get(id)?.record);
        let there = self.change(service, address?)?;
        let is_there = there.there.as_ref().is_some_and(|(u, _)| u.vm.name == id);
        is_there.then_some(Change { there: None, ..there })
    }

    /// Takes an answer from `address` that says that this replica is not there: of two that are said
    /// to be, it is the other. A late heartbeat may make one that has crashed look alive.
    pub fn not_there(&mut self, id: &str) -> Option<Change> {
        let known = self.by_id.get_mut(id).filter(|k| !k.replaced)?;
        known.replaced = true;
        let (service, address) = place(&known.record);
        self.change(service, address?)
    }

    fn arrive(&mut self, address: SocketAddr, id: String) {
        let here = self.by_address.entry(address).or_default();
        if !here.contains(&id) {
            here.push(id);
        }
    }

    fn leave(&mut self, address: SocketAddr, id: &str) {
        let Some(here) = self.by_address.get_mut(&address) else { return };
        here.retain(|other| other != id);
        if here.is_empty() {
            self.by_address.remove(&address);
        }
    }

    fn forget_left(&mut self, now: Time) {
        let is_due = |(at, ..): &(Time, String, u64), kept| now.since(*at) >= kept;
        while self.left.front().is_some_and(|l| is_due(l, LEFT_KEPT)) {
            let Some((_, id, born)) = self.left.pop_front() else { return };
            self.forget(&id, born);
        }
        while self.draining.front().is_some_and(|l| is_due(l, DRAINING_KEPT)) {
            let Some((_, id, born)) = self.draining.pop_front() else { return };
            self.forget(&id, born);
        }
    }

    /// Forgets a replica, unless it has started again.
    fn forget(&mut self, id: &str, born: u64) {
        let is_it = |k: &Known| k.record.registration.born == born;
        if !self.by_id.get(id).is_some_and(is_it) {
            return;
        }
        let Some(known) = self.by_id.remove(id) else { return };
        if let (_, Some(address)) = place(&known.record) {
            self.leave(address, id);
        }
    }

    /// What a service has at an address: of several replicas that are said to be there the one that
    /// speaks, of those the one that nobody has found replaced, and of those the newest.
    fn change(&self, service: String, address: SocketAddr) -> Option<Change> {
        let here = self.by_address.get(&address).into_iter().flatten();
        let known = here.filter_map(|id| self.by_id.get(id));
        let usable = known.filter(|k| {
            k.record.standing <= Standing::Silent && k.record.registration.service == service
        });
        let best = usable.min_by_key(|k| (k.record.standing, k.replaced, u64::MAX - k.order));
        let there = best.map(|k| (upstream(address, &k.record), condition(&k.record)));
        Some(Change { service, address, there })
    }
}

/// Draining and leaving are for good in one life.
fn after(known: Standing, said: Standing) -> Standing {
    if known >= Standing::Draining { known.max(said) } else { said }
}

/// Whether `r` says more than is known. Draining and leaving count whatever their sequence.
fn is_news(known: &Record, r: &Record) -> bool {
    match r.registration.life(&known.registration) {
        Ordering::Greater => return true,
        Ordering::Less => return false,
        Ordering::Equal => {}
    }
    let newer = r.registration.sequence > known.registration.sequence;
    let same = r.registration.sequence == known.registration.sequence;
    let ends = r.standing >= Standing::Draining && r.standing > known.standing;
    ends || (newer && *r != *known) || (same && r.standing > known.standing)
}

fn is_later_life(known: &Record, r: &Record) -> bool {
    r.registration.life(&known.registration) == Ordering::Greater
}

fn place(r: &Record) -> (String, Option<SocketAddr>) {
    (r.registration.service.clone(), r.registration.address.parse().ok())
}

fn upstream(address: SocketAddr, r: &Record) -> Upstream {
    let g = &r.registration;
    let vm = Vm { name: g.id.clone(), data_centre: g.data_centre.clone() };
    Upstream { vm, address, checks_orders: false }
}

fn condition(r: &Record) -> Condition {
    let g = &r.registration;
    let leaving = r.standing == Standing::Silent;
    Condition { version: g.version.clone(), slots: g.slots, leaving, cold: g.cold }
}
