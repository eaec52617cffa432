//! Requests that end every replica that runs them, and are therefore sent to none.
//!
//! A replica that ends takes all requests with it that it has, the one that ended it and those that
//! were only there. Each of them gets a strike; a request is quarantined at [`STRIKES`] of them, if
//! the ends of replicas under it are not explained better by another. What was only there is told
//! from what did it in four ways:
//!
//! - A strike counts only if the request was sent after the strike before. Replicas that end together,
//!   as when a rack loses power, are one strike for what ran on several of them.
//! - The request under which most replicas ended explains their ends, and nobody else gets strikes for
//!   them. Who was quarantined before that showed is free again.
//! - One whose every strike may as well be another's, as that one has strikes without it too, or the
//!   very same ones, goes on until one more end tells them apart, or [`STRIKES_OF_RIVALS`] have come.
//! - A request that any gateway answers whole has ended nobody, and gets no strikes for a while.
//!
//! The state is replicated: what is known of a request outlasts every gateway, and a loss of power
//! everywhere. A gateway that reaches no control process goes by a state of its own, of the ends that
//! it saw itself.

mod judgement;
mod message;
mod suspect;

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use judgement::guilty;
pub use message::{Change, EndedReplica, Told, UnderWay};
use suspect::{End, Suspect};
pub use suspect::{STRIKES, STRIKES_OF_RIVALS};

use super::fingerprint::Fingerprint;
use crate::unit::{Index, Millis, Time};

/// Reports on one replica that lie no farther apart are of the same end. Gateways see it in one
/// instant, and their reports take some tens of milliseconds.
const SAME_END: Millis = Millis(300);

/// How long after the first report on an end another may come: a gateway that was cut off reports as
/// soon as it can.
const REPORTED_WITHIN: Millis = Millis::seconds(60);

/// How long strikes are remembered.
const REMEMBERED: Millis = Millis::seconds(600);

/// How long a request that was answered whole gets no strikes.
const SOUND_FOR: Millis = Millis::seconds(600);

/// How long a quarantine lasts at first, doubled with each further one. Each time one ends, the
/// request may end one replica more: a wrong quarantine costs its request an hour, a right one the
/// fleet one replica an hour at most.
const TERM: Millis = Millis::seconds(3_600);

/// Doublings of [`TERM`], at most: some two days.
const DOUBLINGS: u32 = 6;

/// How long, and of how many requests, it is remembered that they were quarantined.
const FORMER_FOR: Millis = Millis::seconds(7 * 24 * 3_600);
const FORMER_MOST: usize = 1_024;

/// Requests that were answered whole of which that is remembered.
const SOUND_MOST: usize = 1_024;

/// Suspects that are remembered: all that run on 32 replicas with 64 places.
const SUSPECTS_MOST: usize = 2_048;

/// Quarantined requests in all, and of one client account: nobody can fill the list for all others.
const QUARANTINED_MOST: usize = 256;
const OF_ACCOUNT_MOST: usize = 32;

/// Suspects that gateways are told of: those with most strikes first, then the newest. Some 20 bytes
/// each.
const TOLD_MOST: usize = 128;

/// The last end of a replica, and when it was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Numbered {
    number: u64,
    at: Time,
    heard: Time,
}

/// A request whose quarantine is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Former {
    terms: u32,
    over: Time,
}

/// A quarantined request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// Its client account.
    pub account: String,
    /// Since when.
    pub since: Time,
    /// Until when, unless it ends sooner.
    pub until: Time,
    /// How often it has been so.
    pub terms: u32,
    /// Replicas that ended under it.
    pub strikes: usize,
}

/// What is known of all requests under which replicas have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// Position of the command that changed what gateways are told; 0 if there was none.
    revision: Index,
    /// The same for quarantined requests alone.
    urgent: Index,
    next_number: u64,
    /// The last end of each replica that has ended lately.
    replicas: BTreeMap<String, Numbered>,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Suspects by the time of their first end.
    order: VecDeque<Fingerprint>,
    quarantined: BTreeMap<Fingerprint, Quarantined>,
    /// Requests whose quarantines are over.
    former: BTreeMap<Fingerprint, Former>,
    /// Requests that were answered whole after a strike, and when.
    sound: BTreeMap<Fingerprint, Time>,
}

impl Quarantine {
    /// Position of the last change of what gateways are told.
    pub fn revision(&self) -> Index {
        self.revision
    }

    /// Position of the last change of what is quarantined.
    pub fn urgent(&self) -> Index {
        self.urgent
    }

    /// Whether a request is quarantined.
    pub fn holds(&self, f: &Fingerprint) -> bool {
        self.quarantined.contains_key(f)
    }

    /// The quarantined requests.
    pub fn iter(&self) -> impl Iterator<Item = (&Fingerprint, &Quarantined)> {
        self.quarantined.iter()
    }

    /// Takes reports of replicas that have ended, at log position `pos`.
    pub fn note(
        &mut self,
        now: Time,
        pos: Index,
        ended: &[EndedReplica],
    ) -> Vec<(Fingerprint, Change)> {
        self.forget(now);
        let mut suspicious = false;
        for e in ended {
            let at = Time(now.0.saturating_sub(e.ago.0));
            let number = self.number(now, &e.replica, at);
            for u in &e.under_way {
                suspicious |= self.strike(number, at, u, pos);
            }
        }
        if suspicious { self.judge(now, pos) } else { Vec::new() }
    }

    /// The number of the end of a replica.
    fn number(&mut self, now: Time, replica: &str, at: Time) -> u64 {
        let known = self.replicas.get(replica);
        if let Some(known) = known.filter(|k| at.0.abs_diff(k.at.0) <= SAME_END.0) {
            return known.number;
        }
        self.next_number += 1;
        let numbered = Numbered { number: self.next_number, at, heard: now };
        self.replicas.insert(replica.to_owned(), numbered);
        self.next_number
    }

    /// Notes the end of a replica under a request. Returns whether it may be enough for a quarantine.
    fn strike(&mut self, number: u64, at: Time, u: &UnderWay, pos: Index) -> bool {
        if self.sound.contains_key(&u.fingerprint) {
            return false;
        }
        let sent = Time(at.0.saturating_sub(u.age.0));
        let s = self.suspects.entry(u.fingerprint).or_default();
        if s.ends.is_empty() {
            s.account.clone_from(&u.account);
            s.terms = self.former.get(&u.fingerprint).map_or(0, |f| f.terms);
            self.order.push_back(u.fingerprint);
        }
        s.take(End { number, at, sent });
        self.revision = pos;
        s.may_be_enough()
    }

    /// Quarantines the requests that explain the ends of replicas.
    fn judge(&mut self, now: Time, pos: Index) -> Vec<(Fingerprint, Change)> {
        let guilty = guilty(&self.suspects);
        self.quarantine(now, pos, &guilty)
    }

    fn quarantine(
        &mut self,
        now: Time,
        pos: Index,
        guilty: &[(Fingerprint, usize)],
    ) -> Vec<(Fingerprint, Change)> {
        let mut changes = Vec::new();
        // One whose ends are forgotten by now stays for its term.
        let explained = |f: &Fingerprint| {
            self.suspects.contains_key(f) && !guilty.iter().any(|(other, _)| other == f)
        };
        let free: Vec<_> = self.quarantined.keys().copied().filter(explained).collect();
        for f in free {
            self.quarantined.remove(&f);
            changes.push((f, Change::Explained));
        }
        for (f, strikes) in guilty {
            let Some(s) = self.suspects.get_mut(f) else { continue };
            if let Some(q) = self.quarantined.get_mut(f) {
                q.strikes = *strikes;
                continue;
            }
            let span = Millis(TERM.0 << s.terms.min(DOUBLINGS));
            let (account, until) = (s.account.clone(), now.after(span));
            let q =
                Quarantined { account, since: now, until, terms: s.terms + 1, strikes: *strikes };
            self.quarantined.insert(*f, q);
            changes.push((*f, Change::Begun));
        }
        changes.extend(self.drop_surplus());
        if !changes.is_empty() {
            (self.revision, self.urgent) = (pos, pos);
        }
        changes
    }

    /// Keeps the list within its bounds: the oldest of an account, or of all, goes.
    fn drop_surplus(&mut self) -> Vec<(Fingerprint, Change)> {
        let mut of_account: BTreeMap<&str, usize> = BTreeMap::new();
        let mut by_age: Vec<_> = self.quarantined.iter().collect();
        by_age.sort_by_key(|(f, q)| (std::cmp::Reverse(q.since), **f));
        let mut surplus = Vec::new();
        for (kept, (f, q)) in by_age.into_iter().enumerate() {
            let own = of_account.entry(&q.account).or_default();
            *own += 1;
            if *own > OF_ACCOUNT_MOST || kept >= QUARANTINED_MOST {
                surplus.push(*f);
            }
        }
        let drop = |f: Fingerprint| {
            self.quarantined.remove(&f);
            self.suspects.remove(&f);
            (f, Change::Dropped)
        };
        surplus.into_iter().map(drop).collect()
    }

    /// Takes the word that requests were answered whole, at log position `pos`.
    pub fn answered(
        &mut self,
        now: Time,
        pos: Index,
        all: &[Fingerprint],
    ) -> Vec<(Fingerprint, Change)> {
        self.release(now, pos, all, Change::Answered)
    }

    /// Takes an operator's word that a request may be sent again.
    pub fn lift(&mut self, now: Time, pos: Index, f: Fingerprint) -> Vec<(Fingerprint, Change)> {
        let changes = self.release(now, pos, &[f], Change::Lifted);
        // Its strikes count from the first again.
        self.sound.remove(&f);
        self.former.remove(&f);
        changes
    }

    fn release(
        &mut self,
        now: Time,
        pos: Index,
        all: &[Fingerprint],
        why: Change,
    ) -> Vec<(Fingerprint, Change)> {
        self.forget(now);
        let mut changes = Vec::new();
        for f in all {
            if self.suspects.remove(f).is_some() {
                self.sound.insert(*f, now);
                self.revision = pos;
            }
            if self.quarantined.remove(f).is_some() {
                (self.revision, self.urgent) = (pos, pos);
                changes.push((*f, why));
            }
        }
        changes
    }

    /// Whether a quarantine's time is over.
    pub fn is_due(&self, now: Time) -> bool {
        self.quarantined.values().any(|q| q.until <= now)
    }

    /// Ends the quarantines whose time is over. The next end of a replica under such a request begins
    /// another.
    pub fn end_terms(&mut self, now: Time, pos: Index) -> Vec<(Fingerprint, Change)> {
        let over = self.quarantined.iter().filter(|(_, q)| q.until <= now);
        let over: Vec<_> = over.map(|(f, q)| (*f, q.clone())).collect();
        for (f, q) in &over {
            self.quarantined.remove(f);
            self.suspects.remove(f);
            self.former.insert(*f, Former { terms: q.terms, over: now });
            (self.revision, self.urgent) = (pos, pos);
        }
        over.into_iter().map(|(f, _)| (f, Change::Over)).collect()
    }

    /// Forgets what is too old, and the oldest of too many.
    fn forget(&mut self, now: Time) {
        self.sound.retain(|_, at| now.since(*at) < SOUND_FOR);
        keep_newest(&mut self.sound, SOUND_MOST, |at| *at);
        self.former.retain(|_, f| now.since(f.over) < FORMER_FOR);
        keep_newest(&mut self.former, FORMER_MOST, |f| f.over);
        self.replicas.retain(|_, n| now.since(n.heard) < REPORTED_WITHIN);
        let mut looked = 0;
        while let Some(f) = self.order.front().copied() {
            let is_old = |s: &Suspect| now.since(s.last()) >= REMEMBERED;
            let old = self.suspects.get(&f).is_none_or(is_old);
            let surplus = self.order.len() > SUSPECTS_MOST;
            if !old && !surplus {
                return;
            }
            self.order.pop_front();
            let several = self.suspects.get(&f).is_some_and(|s| s.ends.len() > 1);
            if !old && several && looked < SUSPECTS_MOST {
                // One strike is cheap to have; those with more go last.
                self.order.push_back(f);
                looked += 1;
                continue;
            }
            self.suspects.remove(&f);
        }
    }

    /// What gateways go by.
    pub fn told(&self) -> Told {
        let mut all: Vec<_> = self.suspects.iter().filter(|(f, _)| !self.holds(f)).collect();
        all.sort_by_key(|(f, s)| std::cmp::Reverse((s.ends.len(), s.last(), **f)));
        all.truncate(TOLD_MOST);
        let (suspects, struck): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|(_, s)| s.ends.len() > 1);
        let names = |all: Vec<(&Fingerprint, &Suspect)>| all.into_iter().map(|(f, _)| *f).collect();
        Told {
            revision: self.revision,
            quarantined: self.quarantined.keys().copied().collect(),
            suspects: names(suspects),
            struck: names(struck),
        }
    }
}

/// Drops the oldest of more than `most` entries.
fn keep_newest<T>(all: &mut BTreeMap<Fingerprint, T>, most: usize, at: impl Fn(&T) -> Time) {
    while all.len() > most {
        let Some(oldest) = all.iter().min_by_key(|(_, t)| at(t)).map(|(f, _)| *f) else { return };
        all.remove(&oldest);
    }
}
