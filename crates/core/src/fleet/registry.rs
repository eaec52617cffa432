//! The replicas that have registered themselves, from heartbeats that may come late, twice or by
//! way of another control process.
//!
//! Nothing of it is durable: a control process that starts learns it anew from heartbeats and
//! from the others. A replica may start again under the id that it had: its lives are ordered by
//! when they began, and within one life by the numbers of its heartbeats. What is known of one that
//! has left is kept until no late heartbeat of it can come.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::unit::{Millis, Time};

/// How long one that has left is remembered, against late heartbeats.
const LEFT_KEPT: Millis = Millis::seconds(120);

/// How long after a heartbeat of the same replica one that another control process heard is passed on
/// again, in heartbeats. Each process tells all others of what it heard itself. Some of them may be
/// out of its reach: what they hear at second hand keeps a replica from being taken for silent, at a
/// part of the messages.
const SECOND_HAND: u64 = 2;

/// How often silent replicas are looked for.
const TICK: Millis = Millis(100);

/// Heartbeats that may be missed before a replica counts as silent.
const MISSED: u64 = 4;

/// What a replica says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Its id; another start may have the same.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// Version of its software; empty if it does not say.
    #[serde(default)]
    pub version: String,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// How much longer it stays slow after its start.
    pub cold: Millis,
    /// Rises with every heartbeat, from each start on.
    pub sequence: u64,
    /// When it started, in milliseconds since 1970 by its own clock; 0 if it does not say.
    #[serde(default)]
    pub born: u64,
}

/// The longest that a replica may say that it stays slow: no start takes that long.
const COLD_MOST: Millis = Millis::seconds(3_600);

impl Registration {
    /// Whether it can be what a replica says of itself; why not, if it cannot.
    pub fn check(&self) -> Result<(), String> {
        if self.address.parse::<SocketAddr>().is_err() {
            return Err(format!("'{}' is no address with a port", self.address));
        }
        if self.cold > COLD_MOST {
            return Err(format!("it cannot stay slow for {} ms", self.cold.0));
        }
        Ok(())
    }

    /// Whether this is of a later life of the replica than `known`, or of an earlier one. Words that
    /// do not tell their life are of the one that is known.
    pub fn life(&self, known: &Registration) -> Ordering {
        order_of_lives(self.born, known.born)
    }
}

fn order_of_lives(one: u64, other: u64) -> Ordering {
    if one == 0 || other == 0 { Ordering::Equal } else { one.cmp(&other) }
}

/// How a replica stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    /// It takes work.
    Ready,
    /// It has said nothing for several heartbeats.
    Silent,
    /// It gets no new work; it has said so.
    Draining,
    /// It has left.
    Left,
}

/// One replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What it said last.
    pub registration: Registration,
    /// How it stands.
    pub standing: Standing,
}

impl Record {
    /// The same replica, of which it is known that it leaves.
    pub fn leaving(&self) -> Record {
        Record { registration: self.registration.clone(), standing: Standing::Draining }
    }

    /// Whether the replica is there, and has not started again since its life that began at `born`.
    pub fn is_there(&self, born: u64) -> bool {
        let is_later = order_of_lives(self.registration.born, born) == Ordering::Greater;
        self.standing < Standing::Left && !is_later
    }
}

#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    heard: Time,
    /// Position in the feed of the last change that matters to routers.
    changed: u64,
    /// Position in the feed of the last heartbeat that is passed on.
    beaten: u64,
    /// When one was passed on last.
    passed: Time,
}

/// Who told of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The replica itself.
    Itself,
    /// Another control process.
    Another,
}

/// A heartbeat that says nothing new.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The replica's id.
    pub id: String,
    /// The heartbeat's number.
    pub sequence: u64,
    /// When that life of it began; 0 if it does not say.
    #[serde(default)]
    pub born: u64,
}

/// A replica that said in an answer that it leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// The replica's id.
    pub replica: String,
    /// When that life of it began; 0 if it does not say.
    pub born: u64,
}

/// A part of the feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The replicas that are new or have changed.
    pub records: Vec<Record>,
    /// For another control process: heartbeats of those that have not changed.
    pub beats: Vec<Beat>,
    /// How far they bring a follower.
    pub position: u64,
}

/// The replicas that one process knows of, with a feed of changes.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<Arc<str>, Entry>,
    position: u64,
    /// The replicas by the position of their last change that matters to routers: what a follower
    /// lacks is found without looking at those that it has.
    by_change: BTreeMap<u64, Arc<str>>,
    /// The same by their last heartbeat.
    by_beat: BTreeMap<u64, Arc<str>>,
    /// The replicas that told this process itself that they leave, by the position of that.
    own_leaves: BTreeMap<u64, Arc<str>>,
    next_tick: Time,
    /// How often a replica tells of itself.
    heartbeat: Millis,
}

impl Registry {
    /// Position of the newest change.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Takes what is said of a replica. Returns whether it changes anything for routers.
    pub fn take(&mut self, now: Time, r: Record, source: Source) -> bool {
        let known = self.entries.get(r.registration.id.as_str());
        let Some(merged) = merge(known, &r) else { return false };
        let same = known.is_some_and(|e| matters_alike(&e.record, &merged));
        let heard = match known {
            Some(e) if !is_newer(&r.registration, &e.record.registration) => e.heard,
            _ => now,
        };
        let changed = known.map_or(0, |e| e.changed);
        let id: Arc<str> = Arc::from(r.registration.id);
        let (beaten, passed) = known.map_or((0, Time(0)), |e| (e.beaten, e.passed));
        let entry = Entry { record: merged, heard, changed, beaten, passed };
        self.entries.insert(id.clone(), entry);
        self.pass_on(now, &id, !same, source);
        let leaves = self.entries.get(&id).is_some_and(|e| e.record.standing >= Standing::Draining);
        if leaves && !same && source == Source::Itself {
            self.own_leaves.insert(self.position, id);
        }
        !same
    }

    /// Places at the ready replicas of a service, by their version.
    pub fn places(&self, service: &str) -> BTreeMap<String, u64> {
        let mut all: BTreeMap<String, u64> = BTreeMap::new();
        let ready = self.entries.values().map(|e| &e.record);
        for r in ready.filter(|r| r.standing == Standing::Ready) {
            let g = &r.registration;
            if g.service == service {
                *all.entry(g.version.clone()).or_default() += u64::from(g.slots);
            }
        }
        all
    }

    /// Takes a heartbeat that another control process passes on. Returns whether it changes anything
    /// for routers. One of a replica that is not known comes with its record, if at all.
    pub fn beat(&mut self, now: Time, b: &Beat) -> bool {
        let Some((id, e)) = self.entries.get_key_value(b.id.as_str()) else { return false };
        let id = id.clone();
        let known = &e.record.registration;
        let same_life = order_of_lives(b.born, known.born) == Ordering::Equal;
        let old = b.sequence <= known.sequence;
        if !same_life || old || e.record.standing >= Standing::Draining {
            return false;
        }
        let back = e.record.standing == Standing::Silent;
        if let Some(e) = self.entries.get_mut(&id) {
            e.record.registration.sequence = b.sequence;
            e.record.standing = Standing::Ready;
            e.heard = now;
        }
        self.pass_on(now, &id, back, Source::Another);
        back
    }

    /// Has the followers told of a replica, unless it is no news to them.
    fn pass_on(&mut self, now: Time, id: &Arc<str>, changed: bool, source: Source) {
        let Some(e) = self.entries.get_mut(id) else { return };
        let again = now.since(e.passed) >= self.heartbeat.scale(SECOND_HAND, 1);
        if changed || again || source == Source::Itself {
            e.passed = now;
            self.move_up(id, changed);
        }
    }

    /// Gives a replica the newest position, also among the changes if it has one.
    fn move_up(&mut self, id: &Arc<str>, changed: bool) {
        let Some(e) = self.entries.get_mut(id) else { return };
        self.position += 1;
        self.by_beat.remove(&e.beaten);
        self.by_beat.insert(self.position, id.clone());
        e.beaten = self.position;
        if changed {
            self.by_change.remove(&e.changed);
            self.by_change.insert(self.position, id.clone());
            e.changed = self.position;
        }
    }

    /// Notes that a replica has left. Returns whether it was known.
    pub fn leave(&mut self, now: Time, id: &str) -> bool {
        let Some(e) = self.entries.get(id) else { return false };
        let registration = e.record.registration.clone();
        self.take(now, Record { registration, standing: Standing::Left }, Source::Itself)
    }

    /// Takes another process's word that a replica leaves, as it said so in an answer. Returns whether that
    /// was not known of this life of it.
    pub fn leaving(&mut self, now: Time, l: &Leaving) -> bool {
        let known = self.get(&l.replica);
        let known = known.filter(|r| r.is_there(l.born) && r.standing < Standing::Draining);
        let Some(record) = known.map(Record::leaving) else { return false };
        self.take(now, record, Source::Another)
    }

    /// Lets time pass: replicas that miss heartbeats, expected every `every`, are silent.
    pub fn tick(&mut self, now: Time, every: Millis) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now.after(TICK);
        self.heartbeat = every;
        let patience = every.scale(MISSED, 1);
        let is_gone =
            |e: &Entry| e.record.standing >= Standing::Draining && now.since(e.heard) >= LEFT_KEPT;
        let is_silent =
            |e: &Entry| e.record.standing == Standing::Ready && now.since(e.heard) >= patience;
        let mut silent = Vec::new();
        self.entries.retain(|id, e| {
            if is_gone(e) {
                self.by_beat.remove(&e.beaten);
                self.by_change.remove(&e.changed);
                return false;
            }
            if is_silent(e) {
                e.record.standing = Standing::Silent;
                silent.push(id.clone());
            }
            true
        });
        for id in silent {
            self.move_up(&id, true);
        }
        let entries = &self.entries;
        self.own_leaves.retain(|_, id| entries.contains_key(id));
    }

    /// Whether a replica has told this process itself after `since` that it leaves.
    pub fn has_own_leaves(&self, since: u64) -> bool {
        self.own_leaves.last_key_value().is_some_and(|(newest, _)| *newest > since)
    }

    /// The replicas that have told this process itself after `since` that they leave, at most `most` of
    /// them, and how far that brings a follower. Every router is told of these: whoever has acknowledged
    /// such a word may be cut off from the other control processes in the next instant.
    pub fn own_leaves(&self, since: u64, most: usize) -> (Vec<Record>, u64) {
        let mut newer = self.own_leaves.range((Bound::Excluded(since), Bound::Unbounded));
        let told: Vec<_> = newer.by_ref().take(most).collect();
        let last = told.last().map_or(since, |(at, _)| **at);
        let position = if newer.next().is_some() { last } else { self.position };
        let known = told.into_iter().filter_map(|(_, id)| self.entries.get(id));
        (known.map(|e| e.record.clone()).collect(), position)
    }

    /// Whether anything has changed for routers after `since`.
    pub fn has_changes(&self, since: u64) -> bool {
        self.newest_change() > since
    }

    /// Position of the newest change for routers; 0 if there was none.
    pub fn newest_change(&self) -> u64 {
        self.by_change.last_key_value().map_or(0, |(newest, _)| *newest)
    }

    /// Whether anything was said after `since`, heartbeats included.
    pub fn has_beats(&self, since: u64) -> bool {
        self.by_beat.last_key_value().is_some_and(|(newest, _)| *newest > since)
    }

    /// What has changed for routers after `since`, the oldest change first, at most `most` records.
    pub fn changes(&self, since: u64, most: usize) -> Batch {
        let mut newer = self.by_change.range((Bound::Excluded(since), Bound::Unbounded));
        let told: Vec<_> = newer.by_ref().take(most).collect();
        let last = told.last().map_or(since, |(at, _)| **at);
        let position = if newer.next().is_some() { last } else { self.position };
        let records = told.into_iter().filter_map(|(_, id)| self.entries.get(id));
        Batch { records: records.map(|e| e.record.clone()).collect(), beats: Vec::new(), position }
    }

    /// What another control process that has followed up to `since` is told: at most `most` records,
    /// and so many heartbeats.
    pub fn relay(&self, since: u64, most: usize, most_beats: usize) -> Batch {
        let Batch { records, position, .. } = self.changes(since, most);
        let mut newer = self.by_beat.range((Bound::Excluded(since), Bound::Included(position)));
        let told: Vec<_> = newer.by_ref().take(most_beats).collect();
        let last = told.last().map_or(since, |(at, _)| **at);
        let position = if newer.next().is_some() { last } else { position };
        let known = told.into_iter().filter_map(|(_, id)| self.entries.get(id));
        // One that has changed goes with its record.
        let alike = known.filter(|e| e.changed <= since);
        let beats = alike.map(|e| Beat {
            id: e.record.registration.id.clone(),
            sequence: e.record.registration.sequence,
            born: e.record.registration.born,
        });
        Batch { records, beats: beats.collect(), position }
    }

    /// One replica.
    pub fn get(&self, id: &str) -> Option<&Record> {
        self.entries.get(id).map(|e| &e.record)
    }

    /// All replicas.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.entries.values().map(|e| &e.record)
    }
}

/// What is known after `r`; `None` if it is old news.
///
/// Draining and leaving are for good in one life, whatever comes later in whatever order. A later life
/// is another replica.
fn merge(known: Option<&Entry>, r: &Record) -> Option<Record> {
    let Some(e) = known else { return Some(r.clone()) };
    let old = &e.record;
    match r.registration.life(&old.registration) {
        Ordering::Greater => return Some(r.clone()),
        Ordering::Less => return None,
        Ordering::Equal => {}
    }
    let newer = is_newer(&r.registration, &old.registration);
    let mut last = if newer { r.registration.clone() } else { old.registration.clone() };
    last.born = r.registration.born.max(old.registration.born);
    let standing = match (old.standing, r.standing) {
        (a, b) if a >= Standing::Draining || b >= Standing::Draining => a.max(b),
        (_, b) if newer => b,
        (a, _) => a,
    };
    let merged = Record { registration: last, standing };
    (merged != *old).then_some(merged)
}

/// Whether `r` was said later than what is known.
fn is_newer(r: &Registration, known: &Registration) -> bool {
    let later = r.life(known).then(r.sequence.cmp(&known.sequence));
    later == Ordering::Greater
}

/// Whether routers need not be told of the difference.
fn matters_alike(a: &Record, b: &Record) -> bool {
    let (x, y) = (&a.registration, &b.registration);
    a.standing == b.standing
        && x.born == y.born
        && x.service == y.service
        && x.address == y.address
        && x.slots == y.slots
        && (x.cold == Millis(0)) == (y.cold == Millis(0))
        // It has become cold once more.
        && y.cold <= x.cold
}
