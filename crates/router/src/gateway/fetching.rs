//! From which control process a newer document is fetched: from one at a time, since each of them
//! tells of it and it may be large.

use std::net::SocketAddr;

use cypressfork_core::unit::{Millis, Time, Version};

/// How long one control process may take before another is asked.
const PATIENCE: Millis = Millis(600);

/// The fetch under way.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fetching {
    from: Option<(SocketAddr, Time)>,
    version: Version,
    known: Version,
}

/// What comes of the word that a control process has a newer document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// Nobody has told of this version before.
    pub first: bool,
    /// It is asked for there from now on.
    pub asked: bool,
    /// The control process that has had its time, and how long that was.
    pub given_up: Option<(SocketAddr, Millis)>,
}

impl Fetching {
    /// Whether the document is to be asked for there.
    pub fn is_from(&self, address: SocketAddr) -> bool {
        self.from.is_some_and(|(a, _)| a == address)
    }

    /// The version that is being fetched; 0 if none is.
    pub fn version(&self) -> Version {
        if self.from.is_some() { self.version } else { 0 }
    }

    /// Notes that the control process at `from` has `version`, with `held` in force here.
    pub fn told(&mut self, now: Time, from: SocketAddr, held: Version, version: Version) -> Told {
        if version <= held {
            return Told::default();
        }
        let first = version > self.known;
        self.known = self.known.max(version);
        let waits = self.from.is_some_and(|(_, since)| now.since(since) < PATIENCE);
        if waits {
            return Told { first, ..Told::default() };
        }
        let given_up = self.from.map(|(before, since)| (before, now.since(since)));
        self.from = Some((from, now));
        self.version = version;
        Told { first, asked: true, given_up }
    }

    /// Ends a fetch from `from`; returns how long it took, if there was one.
    pub fn end(&mut self, now: Time, from: SocketAddr) -> Option<Millis> {
        let (_, since) = self.from.take_if(|(a, _)| *a == from)?;
        Some(now.since(since))
    }
}
