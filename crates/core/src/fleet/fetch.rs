//! Selects the control process from which a router fetches a newer document.
//!
//! The parts of a document are requested from one process at a time. If a part times out, the fetch
//! continues with another process.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::unit::{Millis, Time, Version};

/// Maximum time to receive one part before another control process is asked.
const PART_TIMEOUT: Millis = Millis(600);

/// The control process that is fetched from, and the time of its last progress.
#[derive(Clone, Copy, Debug)]
struct Source {
    address: SocketAddr,
    since: Time,
}

/// A control process that a fetch gave up on because it was unreachable or a part timed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbandonedSource {
    /// Address of the control process.
    pub from: SocketAddr,
    /// Time since its last progress.
    pub idle_for: Millis,
}

/// The document versions that control processes have announced, and the fetch in progress.
#[derive(Clone, Debug, Default)]
pub struct Fetch {
    announced: BTreeMap<SocketAddr, Version>,
    latest: Version,
    source: Option<Source>,
}

impl Fetch {
    /// Returns the highest announced version; 0 if there is none.
    pub fn latest_version(&self) -> Version {
        self.latest
    }

    /// Returns the version last announced by the control process at `address`; 0 if there is none.
    pub fn version_at(&self, address: SocketAddr) -> Version {
        self.announced.get(&address).copied().unwrap_or(0)
    }

    /// Returns whether the document is being fetched from `address`.
    pub fn is_source(&self, address: SocketAddr) -> bool {
        self.source.is_some_and(|s| s.address == address)
    }

    /// Returns whether a document is being fetched.
    pub fn is_active(&self) -> bool {
        self.source.is_some()
    }

    /// Records that the control process at `from` has `version`. Returns whether it is the highest
    /// version announced so far.
    pub fn record_version(&mut self, from: SocketAddr, version: Version) -> bool {
        self.announced.insert(from, version);
        let is_highest = version > self.latest;
        self.latest = self.latest.max(version);
        is_highest
    }

    /// Records that a part from `from` has arrived, which restarts the timeout.
    pub fn record_progress(&mut self, now: Time, from: SocketAddr) {
        if let Some(s) = self.source.as_mut().filter(|s| s.address == from) {
            s.since = now;
        }
    }

    /// Ends the fetch because the document is complete.
    pub fn finish(&mut self) {
        self.source = None;
    }

    /// Removes an unreachable control process. If the document was being fetched from it, ends the fetch
    /// and returns it.
    pub fn drop_source(&mut self, now: Time, from: SocketAddr) -> Option<AbandonedSource> {
        self.announced.remove(&from);
        let s = self.source.take_if(|s| s.address == from)?;
        Some(AbandonedSource { from, idle_for: now.since(s.since) })
    }

    /// Ends the fetch if the current part has timed out, and returns the control process it was fetched
    /// from.
    pub fn take_overdue(&mut self, now: Time) -> Option<AbandonedSource> {
        let s = self.source.take_if(|s| now.since(s.since) >= PART_TIMEOUT)?;
        Some(AbandonedSource { from: s.address, idle_for: now.since(s.since) })
    }

    /// Starts a fetch and returns the address to fetch from, if no fetch is in progress and a version
    /// above `current`, the router's own, was announced. Chooses a process with the highest version
    /// or, if a fetch from `abandoned` just ended, the next one by address with a version above
    /// `current`.
    pub fn choose_source(
        &mut self,
        now: Time,
        current: Version,
        abandoned: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        if self.source.is_some() {
            return None;
        }
        let best = self.announced.values().copied().max().filter(|v| *v > current)?;
        let candidates: Vec<_> = self.announced.iter().filter(|(_, v)| **v > current).collect();
        let next = abandoned.and_then(|previous| {
            let mut rotation =
                candidates.iter().filter(|(a, _)| **a > previous).chain(candidates.iter());
            rotation.find(|(a, _)| **a != previous).map(|(a, _)| **a)
        });
        let first = || candidates.iter().find(|(_, v)| **v == best).map(|(a, _)| **a);
        let address = next.or_else(first)?;
        self.source = Some(Source { address, since: now });
        Some(address)
    }
}
