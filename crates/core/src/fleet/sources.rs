//! Which control processes tell a router of replicas.
//!
//! Every control process knows all replicas, and a router asks each of them about documents. Were each
//! to tell each router of each replica as well, a start of 3,000 replicas with 300 routers and nine
//! control processes were 8 million records; two sources are enough for one to fall silent, or to be
//! cut off from the others, while the other goes on telling what is new.
//!
//! The nearest ones are chosen: what they tell is most of what a router hears, and a link between data
//! centres or regions costs more than one within. One that is cut off with its data centre hears no
//! leader, and another takes its place.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::hash::rendezvous;
use crate::unit::{Millis, Time};

/// Sources of a router.
const SOURCES: usize = 2;

/// How long one that has fallen silent is not chosen again, unless there is no other.
const AVOIDED: Millis = Millis::seconds(5);

/// How near a control process is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Nearness {
    /// In another region.
    Far,
    /// In the router's region, or nobody knows yet: whoever says so first is no nearer than the others,
    /// and a router that starts does not begin its list anew with each of them.
    #[default]
    Region,
    /// In the router's data centre.
    DataCentre,
}

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    nearness: Nearness,
    /// It hears a leader, or has not said yet.
    led: bool,
    lost: Option<Time>,
}

/// The control processes that a router asks.
#[derive(Clone, Debug)]
pub struct Sources {
    /// Spreads routers over control processes.
    key: u64,
    known: BTreeMap<SocketAddr, Known>,
    chosen: Vec<SocketAddr>,
}

impl Sources {
    /// Knows nobody yet; `key` differs from router to router.
    pub fn new(key: u64) -> Sources {
        Sources { key, known: BTreeMap::new(), chosen: Vec::new() }
    }

    /// Adds a control process that is asked from now on. It takes the place of a source that ranks
    /// lower: routers know the same few at first, which would tell them all.
    pub fn add(&mut self, now: Time, address: SocketAddr) {
        let added = !self.known.contains_key(&address);
        self.known.entry(address).or_insert(Known { led: true, ..Known::default() });
        if added {
            self.chosen.clear();
            self.choose(now);
        }
    }

    /// Notes an answer, and whether its sender hears a leader.
    pub fn heard(&mut self, now: Time, from: SocketAddr, led: bool) {
        let known = self.known.entry(from).or_default();
        let changed = known.led != led || known.lost.is_some();
        *known = Known { led, lost: None, ..*known };
        let nearness = known.nearness;
        let worse = |a: &SocketAddr| !self.is_good(now, *a) || self.nearness(a) < nearness;
        if changed && (!led || self.chosen.iter().any(worse)) {
            self.choose(now);
        }
    }

    /// Notes how near a control process is.
    pub fn place(&mut self, now: Time, from: SocketAddr, nearness: Nearness) {
        let known = self.known.entry(from).or_default();
        if known.nearness != nearness {
            known.nearness = nearness;
            self.choose(now);
        }
    }

    /// Notes that a control process does not answer.
    pub fn lost(&mut self, now: Time, from: SocketAddr) {
        self.known.entry(from).or_default().lost = Some(now);
        if self.chosen.contains(&from) {
            self.choose(now);
        }
    }

    /// Whether a control process is to tell of replicas.
    pub fn wants(&self, from: SocketAddr) -> bool {
        self.chosen.contains(&from)
    }

    fn nearness(&self, a: &SocketAddr) -> Nearness {
        self.known.get(a).map_or(Nearness::default(), |k| k.nearness)
    }

    fn is_good(&self, now: Time, a: SocketAddr) -> bool {
        let heard = |k: &Known| k.lost.is_none_or(|at| now.since(at) >= AVOIDED);
        self.known.get(&a).is_some_and(|k| k.led && heard(k))
    }

    /// Keeps the sources that are good unless a nearer one is, and takes the others in the order of
    /// their ranks: those that hear a leader first, then those that answer, then any.
    fn choose(&mut self, now: Time) {
        let rank = |a: &SocketAddr| {
            let answers = self.known.get(a).is_some_and(|k| k.lost.is_none());
            let stays = self.chosen.contains(a);
            let good = self.is_good(now, *a);
            (
                good,
                good.then_some(self.nearness(a)),
                good && stays,
                answers,
                rendezvous(self.key, *a),
            )
        };
        let mut all: Vec<_> = self.known.keys().copied().collect();
        all.sort_by_key(|a| std::cmp::Reverse(rank(a)));
        all.truncate(SOURCES);
        self.chosen = all;
    }
}
