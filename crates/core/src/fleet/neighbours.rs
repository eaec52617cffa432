//! The routers of each data centre, as a control process tells them to each other.

use std::collections::BTreeMap;

use super::entry::Routers as Heard;
use super::homes::MANY;
use crate::hash::Fnv;
use crate::member::Router;
use crate::unit::{Millis, Time};

/// How often the lists are made anew.
const REFRESH: Millis = Millis(250);

/// In place of a digest: no list is wanted.
pub const NOT_WANTED: u64 = u64::MAX;

/// One data centre's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// Addresses for other routers; none where there are too few of them for homes.
    pub links: Vec<String>,
    /// By which a router tells that it knows this list.
    pub digest: u64,
}

/// The lists of all data centres.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    lists: BTreeMap<String, Neighbours>,
    made: Option<Time>,
}

impl Directory {
    /// Makes the lists anew if that is due.
    ///
    /// Registrations outlast a restart of the control process, which has heard of nobody then. So
    /// those that are registered are listed, but for those that leave or have fallen silent.
    pub fn refresh<'a>(
        &mut self,
        now: Time,
        registered: impl Iterator<Item = &'a Router>,
        heard: &Heard,
    ) {
        if self.made.is_some_and(|at| now.since(at) < REFRESH) {
            return;
        }
        self.made = Some(now);
        let mut all: BTreeMap<&str, Vec<&Router>> = BTreeMap::new();
        for r in registered.filter(|r| !r.link.is_empty()) {
            all.entry(&r.data_centre).or_default().push(r);
        }
        self.lists =
            all.into_iter().map(|(dc, of)| (dc.to_owned(), list(now, &of, heard))).collect();
    }

    /// The list of a data centre.
    pub fn of(&self, data_centre: &str) -> Option<&Neighbours> {
        self.lists.get(data_centre)
    }
}

fn list(now: Time, routers: &[&Router], heard: &Heard) -> Neighbours {
    let staying = routers.iter().filter(|r| !r.leaving);
    let live: Vec<_> = staying.clone().filter(|r| !heard.is_silent(now, &r.vm)).collect();
    // While most are silent, the cut is on this side.
    let named = if live.len() * 2 > routers.len() { live } else { staying.collect() };
    let many = routers.len() >= MANY;
    let links: Vec<_> = named.into_iter().filter(|_| many).map(|r| r.link.clone()).collect();
    let digest = digest(&links);
    Neighbours { links, digest }
}

/// The digest of a list, the same in every process and release.
pub fn digest(links: &[String]) -> u64 {
    links.iter().fold(Fnv::new(), |h, l| h.part(l.as_bytes())).value()
}
