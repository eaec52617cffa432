//! Requests under which replicas have ended, and which of them have ended these.

use serde::{Deserialize, Serialize};

use crate::unit::{Millis, Time};

/// Ends of replicas at which a request is quarantined. One more would end one more replica for each
/// such request; one less would take the word of two coincidences.
pub const STRIKES: usize = 3;

/// Ends of replicas at which a request is quarantined at all of which others may have been to blame.
pub const STRIKES_OF_RIVALS: usize = 5;

/// How much earlier than a strike a request may seem to have been sent that was sent after it: reports
/// take different times on their way.
const SLACK: Millis = Millis(100);

/// Ends that are remembered of one suspect: more than any rule looks at.
const ENDS_MOST: usize = 32;

/// One end of a replica under a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct End {
    /// Its number; the same for all requests that it took.
    pub number: u64,
    /// When the replica ended.
    pub at: Time,
    /// When the request had been sent there.
    pub sent: Time,
}

/// A request under which replicas have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Suspect {
    /// Its client account; empty if it has none.
    pub account: String,
    /// The latest ends of replicas under it, the oldest first.
    pub ends: Vec<End>,
    /// Quarantines that it has been through, without the one under way.
    pub terms: u32,
}

impl Suspect {
    /// Takes the end of a replica at which it was.
    pub fn take(&mut self, end: End) {
        if let Some(known) = self.ends.iter_mut().find(|e| e.number == end.number) {
            // Of two copies at one replica the newer decides.
            known.sent = known.sent.max(end.sent);
            return;
        }
        self.ends.push(end);
        self.ends.sort_by_key(|e| e.at);
        let surplus = self.ends.len().saturating_sub(ENDS_MOST);
        self.ends.drain(..surplus);
    }

    /// Whether replicas have ended under it often enough for a quarantine, as far as can be told
    /// without looking at others.
    pub fn may_be_enough(&self) -> bool {
        self.ends.len() >= self.bound()
    }

    /// When a replica ended under it last.
    pub fn last(&self) -> Time {
        self.ends.iter().map(|e| e.at).max().unwrap_or_default()
    }

    /// The ends that count as strikes, but for those that another request explains.
    pub(super) fn strikes(&self, is_explained: impl Fn(u64) -> bool) -> Vec<u64> {
        let mut strikes = Vec::new();
        let mut last = None;
        for e in self.ends.iter().filter(|e| !is_explained(e.number)) {
            if last.is_none_or(|last| e.sent.after(SLACK) >= last) {
                strikes.push(e.number);
                last = Some(e.at);
            }
        }
        strikes
    }

    /// Strikes at which it is quarantined: one that was before gets no second chance.
    pub(super) fn bound(&self) -> usize {
        if self.terms > 0 { 1 } else { STRIKES }
    }
}
