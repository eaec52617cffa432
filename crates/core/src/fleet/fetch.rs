//! From which control process a router fetches a newer document: from one at a time, and from
//! another once that one lets it wait for the next part.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::unit::{Millis, Time, Version};

/// How long one part may take before another control process is asked for it.
const PATIENCE: Millis = Millis(600);

/// The control process that is asked, and since when.
#[derive(Clone, Copy, Debug)]
struct Asked {
    address: SocketAddr,
    since: Time,
}

/// A control process that has not sent a part in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// Which one.
    pub from: SocketAddr,
    /// How long it was waited for.
    pub after: Millis,
}

/// What control processes have told, and the fetch under way.
#[derive(Clone, Debug, Default)]
pub struct Fetch {
    told: BTreeMap<SocketAddr, Version>,
    known: Version,
    asked: Option<Asked>,
}

impl Fetch {
    /// The highest version that anybody has told of; 0 if nobody has.
    pub fn known(&self) -> Version {
        self.known
    }

    /// The version that the control process at `address` has told of last.
    pub fn told_by(&self, address: SocketAddr) -> Version {
        self.told.get(&address).copied().unwrap_or(0)
    }

    /// Whether the next part is to be asked for there.
    pub fn is_from(&self, address: SocketAddr) -> bool {
        self.asked.is_some_and(|a| a.address == address)
    }

    /// Whether a document is being fetched.
    pub fn is_active(&self) -> bool {
        self.asked.is_some()
    }

    /// Notes that the control process at `from` has `version`. Returns whether that is the first
    /// word of it.
    pub fn told(&mut self, from: SocketAddr, version: Version) -> bool {
        self.told.insert(from, version);
        let first = version > self.known;
        self.known = self.known.max(version);
        first
    }

    /// Notes that a part has come from `from`.
    pub fn progress(&mut self, now: Time, from: SocketAddr) {
        if let Some(a) = self.asked.as_mut().filter(|a| a.address == from) {
            a.since = now;
        }
    }

    /// Notes that the document is whole.
    pub fn done(&mut self) {
        self.asked = None;
    }

    /// Notes that the control process at `from` is out of reach.
    pub fn lost(&mut self, now: Time, from: SocketAddr) -> Option<GivenUp> {
        self.told.remove(&from);
        let a = self.asked.take_if(|a| a.address == from)?;
        Some(GivenUp { from, after: now.since(a.since) })
    }

    /// Gives up the control process that is asked if it lets this router wait for too long.
    pub fn overdue(&mut self, now: Time) -> Option<GivenUp> {
        let a = self.asked.take_if(|a| now.since(a.since) >= PATIENCE)?;
        Some(GivenUp { from: a.address, after: now.since(a.since) })
    }

    /// Chooses whom to ask, if nobody is asked and somebody has told of more than `held`: the one
    /// that has told of most, and after one that was given up the next by address.
    pub fn choose(
        &mut self,
        now: Time,
        held: Version,
        after: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        if self.asked.is_some() {
            return None;
        }
        let best = self.told.values().copied().max().filter(|v| *v > held)?;
        let of_use: Vec<_> = self.told.iter().filter(|(_, v)| **v > held).collect();
        let next = after.and_then(|gone| {
            let mut turn = of_use.iter().filter(|(a, _)| **a > gone).chain(of_use.iter());
            turn.find(|(a, _)| **a != gone).map(|(a, _)| **a)
        });
        let first = || of_use.iter().find(|(_, v)| **v == best).map(|(a, _)| **a);
        let address = next.or_else(first)?;
        self.asked = Some(Asked { address, since: now });
        Some(address)
    }
}
