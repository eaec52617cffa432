//! Selects the control processes from which a router receives replica records.
//!
//! Every control process knows all replicas, and a router watches each control process. If each
//! sent all replica records to each router, the start of 3,000 replicas with 300 routers and nine
//! control processes would take 8 million records. Two sources are enough to continue when one of
//! them fails or loses contact with the others.
//!
//! The nearest control processes are selected, because these records are most of a router's inbound
//! control traffic and links between data centres or regions cost more. A control process that is
//! partitioned with its data centre reports no leader and is replaced by another.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::hash::rendezvous_rank;
use crate::unit::{Millis, Time};

/// Number of sources per router.
const SOURCES: usize = 2;

/// Time after a failure during which a control process is selected only if there is no other.
const FAILURE_COOLDOWN: Millis = Millis::seconds(5);

/// The distance of a control process from the router, in ascending order of preference.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Nearness {
    /// In another region.
    Far,
    /// In the router's region, or not known yet. This is the default so that at the router's start
    /// a control process that reports its region does not displace those that have not done so yet.
    #[default]
    Region,
    /// In the router's data centre.
    DataCentre,
}

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    nearness: Nearness,
    /// Whether it reports a leader. An added control process counts as reporting one until it
    /// answers.
    has_leader: bool,
    /// When it last failed to answer, unless it has answered since.
    failed_at: Option<Time>,
}

/// The control processes that a router watches, and those selected as sources of replica records.
#[derive(Clone, Debug)]
pub struct ReplicaSources {
    /// Key of the rendezvous hash that spreads routers over equally ranked control processes.
    key: u64,
    contacts: BTreeMap<SocketAddr, Contact>,
    selected: Vec<SocketAddr>,
}

impl ReplicaSources {
    /// Returns an empty set. `key` should differ between routers.
    pub fn new(key: u64) -> ReplicaSources {
        ReplicaSources { key, contacts: BTreeMap::new(), selected: Vec::new() }
    }

    /// Adds a control process that the router watches from now on. A new one replaces a selected
    /// source with a lower rank. Otherwise all routers would keep the few control processes that
    /// they know at the start.
    pub fn add(&mut self, now: Time, address: SocketAddr) {
        let added = !self.contacts.contains_key(&address);
        self.contacts.entry(address).or_insert(Contact { has_leader: true, ..Contact::default() });
        if added {
            self.selected.clear();
            self.select(now);
        }
    }

    /// Records an answer, and whether its sender knows a leader.
    pub fn record_response(&mut self, now: Time, from: SocketAddr, has_leader: bool) {
        let contact = self.contacts.entry(from).or_default();
        let changed = contact.has_leader != has_leader || contact.failed_at.is_some();
        *contact = Contact { has_leader, failed_at: None, ..*contact };
        let nearness = contact.nearness;
        let is_worse = |a: &SocketAddr| !self.is_usable(now, *a) || self.nearness(a) < nearness;
        if changed && (!has_leader || self.selected.iter().any(is_worse)) {
            self.select(now);
        }
    }

    /// Records how near a control process is.
    pub fn set_nearness(&mut self, now: Time, from: SocketAddr, nearness: Nearness) {
        let contact = self.contacts.entry(from).or_default();
        if contact.nearness != nearness {
            contact.nearness = nearness;
            self.select(now);
        }
    }

    /// Records that a control process does not answer.
    pub fn record_failure(&mut self, now: Time, from: SocketAddr) {
        self.contacts.entry(from).or_default().failed_at = Some(now);
        if self.selected.contains(&from) {
            self.select(now);
        }
    }

    /// Returns whether a control process is selected as a source of replica records.
    pub fn is_selected(&self, from: SocketAddr) -> bool {
        self.selected.contains(&from)
    }

    fn nearness(&self, a: &SocketAddr) -> Nearness {
        self.contacts.get(a).map_or(Nearness::default(), |c| c.nearness)
    }

    /// Returns whether a control process knows a leader and has not failed recently.
    fn is_usable(&self, now: Time, a: SocketAddr) -> bool {
        let has_recovered =
            |c: &Contact| c.failed_at.is_none_or(|at| now.since(at) >= FAILURE_COOLDOWN);
        self.contacts.get(&a).is_some_and(|c| c.has_leader && has_recovered(c))
    }

    /// Selects the highest ranked control processes: usable ones first, by nearness, and at the
    /// same nearness those already selected. The others follow, those that answer first.
    fn select(&mut self, now: Time) {
        let rank = |a: &SocketAddr| {
            let answers = self.contacts.get(a).is_some_and(|c| c.failed_at.is_none());
            let is_selected = self.selected.contains(a);
            let usable = self.is_usable(now, *a);
            (
                usable,
                usable.then_some(self.nearness(a)),
                usable && is_selected,
                answers,
                rendezvous_rank(self.key, *a),
            )
        };
        let mut all: Vec<_> = self.contacts.keys().copied().collect();
        all.sort_by_key(|a| std::cmp::Reverse(rank(a)));
        all.truncate(SOURCES);
        self.selected = all;
    }
}
