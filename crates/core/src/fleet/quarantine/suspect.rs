//! Requests under which replicas have ended, and which of them have ended these.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::fleet::fingerprint::Fingerprint;
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
    fn strikes(&self, explained: &BTreeSet<u64>) -> Vec<u64> {
        let mut strikes = Vec::new();
        let mut last = None;
        for e in self.ends.iter().filter(|e| !explained.contains(&e.number)) {
            if last.is_none_or(|last| e.sent.after(SLACK) >= last) {
                strikes.push(e.number);
                last = Some(e.at);
            }
        }
        strikes
    }

    /// Strikes at which it is quarantined: one that was before gets no second chance.
    fn bound(&self) -> usize {
        if self.terms > 0 { 1 } else { STRIKES }
    }
}

/// The requests that explain the ends of replicas, those with the most strikes first, and how many
/// strikes each has.
pub(super) fn guilty(suspects: &BTreeMap<Fingerprint, Suspect>) -> Vec<(Fingerprint, usize)> {
    let mut left: BTreeMap<_, _> = suspects.iter().collect();
    let mut explained = BTreeSet::new();
    let mut guilty = Vec::new();
    let mut doubtful = BTreeSet::new();
    while let Some((f, strikes)) = foremost(&left, &explained, &doubtful) {
        let rivals = rivals(f, &strikes, &left, &explained);
        let told_apart = rivals.is_empty() && is_alone_once(f, &strikes, &left);
        if !told_apart && strikes.len() < STRIKES_OF_RIVALS {
            doubtful.insert(f);
            continue;
        }
        for f in rivals.into_iter().chain([f]) {
            left.remove(&f);
            guilty.push((f, strikes.len()));
        }
        explained.extend(strikes);
        // What the others have left may tell them apart now.
        doubtful.clear();
    }
    guilty
}

/// The request with the most strikes that reach its bound, and these.
fn foremost(
    left: &BTreeMap<&Fingerprint, &Suspect>,
    explained: &BTreeSet<u64>,
    doubtful: &BTreeSet<Fingerprint>,
) -> Option<(Fingerprint, Vec<u64>)> {
    let open = left.iter().filter(|(f, s)| s.may_be_enough() && !doubtful.contains(f));
    let strikes = open.map(|(f, s)| (**f, s.strikes(explained), s.bound()));
    let enough = strikes.filter(|(_, strikes, bound)| strikes.len() >= *bound);
    let (f, strikes, _) = enough.max_by_key(|(_, strikes, _)| strikes.len())?;
    Some((f, strikes))
}

/// The other requests that have the same strikes, and enough of them.
fn rivals(
    f: Fingerprint,
    strikes: &[u64],
    left: &BTreeMap<&Fingerprint, &Suspect>,
    explained: &BTreeSet<u64>,
) -> Vec<Fingerprint> {
    let others = left.iter().filter(|(other, s)| ***other != f && strikes.len() >= s.bound());
    let alike = others.filter(|(_, s)| s.strikes(explained) == strikes);
    alike.map(|(f, _)| **f).collect()
}

/// Whether a replica ended under `f` where no other request was that other ends speak against: one with
/// several strikes, some of them without `f`. Strikes that a third one explains speak against it too.
fn is_alone_once(f: Fingerprint, strikes: &[u64], left: &BTreeMap<&Fingerprint, &Suspect>) -> bool {
    let others = left.iter().filter(|(other, s)| ***other != f && s.ends.len() > 1);
    let theirs = others.map(|(_, s)| s.strikes(&BTreeSet::new()));
    let apart = theirs.filter(|t| t.len() > 1 && t.iter().any(|end| !strikes.contains(end)));
    let shared: BTreeSet<u64> = apart.flatten().collect();
    strikes.iter().any(|end| !shared.contains(end))
}
