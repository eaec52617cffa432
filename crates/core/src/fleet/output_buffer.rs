//! Bounds on the bytes that a process holds for callers that read slowly.
//!
//! A gateway reads a replica's answer without waiting for the caller, because replicas cut off answers
//! that are left unread and run out of memory. What the caller has not accepted is held: up to a bound
//! for each caller, at which reading from the replica pauses, and up to a bound for all callers. Over
//! the bound for all, callers are cut until the rest fits. The order spares callers that accept data.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use crate::unit::{Millis, Time};

/// Bytes held for one caller at which reading from its replica pauses. A stream of text events of an
/// ordinary length fits in whole.
pub const CALLER_BOUND: u64 = 64 * 1024;

/// Time without accepting a byte after which a caller counts as stalled, and time with bytes held after
/// which it counts as behind. A caller of one byte a second is not stalled; short losses on a network
/// are repaired within it.
const STALL_TIME: Millis = Millis::seconds(2);

/// Log lines about cut callers per second, at most. When many callers stall at once, all of their lines say
/// the same.
const LINES_PER_SECOND: u32 = 10;

/// Identifies a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(u64);

/// A caller to be cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// The caller.
    pub caller: CallerId,
    /// The bytes that were held for it.
    pub held: u64,
    /// Whether it had stopped accepting bytes.
    pub stalled: bool,
    /// Whether to log it.
    pub logged: bool,
}

/// What is held for one caller, from the first byte that it does not accept until all are accepted.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    held: u64,
    since: Time,
    /// When the caller last accepted bytes; at first `since`.
    progress: Time,
    /// Bytes accepted after `since`.
    accepted: u64,
}

/// How readily a caller is cut; greater is sooner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// Bytes are held for a short time only, such as during a burst.
    Current { held: u64 },
    /// Accepts bytes, but not as fast as they arrive.
    Behind {
        /// Estimated time until all held bytes are accepted.
        drain_ms: u64,
    },
    /// Accepts nothing.
    Stalled { held: u64 },
}

impl Backlog {
    fn new(now: Time) -> Backlog {
        Backlog { held: 0, since: now, progress: now, accepted: 0 }
    }

    fn is_stalled(&self, now: Time) -> bool {
        now.since(self.progress) >= STALL_TIME
    }

    fn standing(&self, now: Time) -> Standing {
        let span = now.since(self.since);
        if self.is_stalled(now) {
            return Standing::Stalled { held: self.held };
        }
        if span < STALL_TIME {
            return Standing::Current { held: self.held };
        }
        let drain_ms = self.held.saturating_mul(span.0) / self.accepted.max(1);
        Standing::Behind { drain_ms }
    }

    /// Compares by standing, then by the bytes that a cut frees.
    fn cmp(&self, other: &Backlog, now: Time) -> Ordering {
        let standing = self.standing(now).cmp(&other.standing(now));
        standing.then(self.held.cmp(&other.held))
    }
}

/// Limits the log lines about cuts.
#[derive(Clone, Copy, Debug, Default)]
struct LineLimit {
    since: Time,
    lines: u32,
}

impl LineLimit {
    /// Returns whether one more line may be logged.
    fn take(&mut self, now: Time) -> bool {
        if now.since(self.since) >= Millis::seconds(1) {
            *self = LineLimit { since: now, lines: 0 };
        }
        self.lines += 1;
        self.lines <= LINES_PER_SECOND
    }
}

/// The bytes held for all callers of a process.
#[derive(Clone, Debug)]
pub struct OutputBuffers {
    limit: u64,
    total: u64,
    last_id: u64,
    /// Only callers for which bytes are held.
    backlogs: BTreeMap<CallerId, Backlog>,
    lines: LineLimit,
}

impl OutputBuffers {
    /// Returns buffers that may hold `limit` bytes in total.
    pub fn new(limit: u64) -> OutputBuffers {
        OutputBuffers {
            limit,
            total: 0,
            last_id: 0,
            backlogs: BTreeMap::new(),
            lines: LineLimit::default(),
        }
    }

    /// Returns the id for a new connection.
    pub fn register(&mut self) -> CallerId {
        self.last_id += 1;
        CallerId(self.last_id)
    }

    /// Returns the bytes held for all callers.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Records that `held` bytes are held for a caller, and that it has accepted `accepted` bytes since
    /// the previous record.
    pub fn record(&mut self, now: Time, caller: CallerId, held: u64, accepted: u64) {
        if held == 0 {
            return self.remove(caller);
        }
        let backlog = self.backlogs.entry(caller).or_insert_with(|| Backlog::new(now));
        self.total = self.total - backlog.held + held;
        backlog.held = held;
        backlog.accepted += accepted;
        if accepted > 0 {
            backlog.progress = now;
        }
    }

    /// Records that nothing is held for a caller any more.
    pub fn remove(&mut self, caller: CallerId) {
        if let Some(backlog) = self.backlogs.remove(&caller) {
            self.total -= backlog.held;
        }
    }

    /// Returns the next caller to cut if more is held than allowed. Its bytes no longer count.
    ///
    /// Callers that accept nothing come first, the one with the most bytes held at the head. They are
    /// followed by those that are behind, by the time that they need to catch up, and by those for
    /// which bytes have been held for a short time only.
    pub fn next_cut(&mut self, now: Time) -> Option<Cut> {
        if self.total <= self.limit {
            return None;
        }
        let (caller, backlog) = self.backlogs.iter().max_by(|a, b| a.1.cmp(b.1, now))?;
        let (caller, held, stalled) = (*caller, backlog.held, backlog.is_stalled(now));
        let cut = Cut { caller, held, stalled, logged: self.lines.take(now) };
        self.remove(cut.caller);
        Some(cut)
    }
}

/// Returns whether more may be read from a replica for a caller for which `held` bytes are held.
pub fn has_room(held: u64) -> bool {
    held < CALLER_BOUND
}
