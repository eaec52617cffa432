//! The registered replicas, built from heartbeats that may arrive late, twice or through another
//! control process.
//!
//! The registry is not durable: a control process rebuilds it after a start from heartbeats and
//! from the other control processes. A replica may restart under the same id. Its incarnations are
//! ordered by start time, and the heartbeats of one incarnation by sequence number. The record of a
//! replica that has left is kept until no late heartbeat of it can arrive.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::fleet::departure::{DEPARTURE_TTL, Departure};
use crate::fleet::software::SoftwareVersions;
use crate::unit::{Millis, Time};

/// Minimum interval between relayed heartbeats of one replica, in heartbeat intervals, if they come
/// from another control process. Each process sends its own replicas' heartbeats to all others. The
/// relayed ones keep a process that it cannot reach from marking these replicas silent.
const MIN_RELAY_HEARTBEATS: u64 = 2;

/// Minimum interval between scans for silent replicas and expired records.
const MIN_SCAN_INTERVAL: Millis = Millis(100);

/// Heartbeat intervals without a heartbeat after which a replica counts as silent.
const MAX_MISSED_HEARTBEATS: u64 = 4;

/// The data that a replica sends with each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Id of the replica. It may stay the same across restarts.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// IP address and port on which it accepts requests.
    pub address: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Version of its software, or empty if not reported.
    #[serde(default)]
    pub version: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Remaining duration of its cold start, during which it is slow.
    pub cold: Millis,
    /// Heartbeat number within this incarnation, strictly increasing.
    pub sequence: u64,
    /// Start time of this incarnation by the replica's clock, in milliseconds since 1970, or 0 if
    /// not reported.
    #[serde(default)]
    pub born: u64,
}

/// Maximum cold start that a registration may contain. No replica takes that long to start.
const MAX_COLD: Millis = Millis::seconds(3_600);

impl Registration {
    /// Validates the address and the cold start. Returns the reason if one of them is invalid.
    pub fn validate(&self) -> Result<(), String> {
        if self.address.parse::<SocketAddr>().is_err() {
            return Err(format!("'{}' is not an IP address with a port", self.address));
        }
        if self.cold > MAX_COLD {
            return Err(format!("a cold start of {} ms exceeds the maximum", self.cold.0));
        }
        Ok(())
    }

    /// Compares the incarnations of two registrations of the same replica. They compare equal if
    /// either has no start time.
    pub fn cmp_incarnation(&self, known: &Registration) -> Ordering {
        cmp_start_times(self.born, known.born)
    }
}

/// Compares two start times of a replica, where 0 is unknown and equal to any.
fn cmp_start_times(a: u64, b: u64) -> Ordering {
    if a == 0 || b == 0 { Ordering::Equal } else { a.cmp(&b) }
}

/// The state of a replica in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ReplicaStatus {
    /// It sends heartbeats and accepts requests.
    Ready,
    /// Several of its heartbeats are missing.
    Silent,
    /// It has announced that it is about to leave, and gets no new requests.
    Draining,
    /// It has left the fleet.
    Left,
}

/// The last registration of a replica and its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The newest registration received.
    pub registration: Registration,
    /// The state of the replica.
    pub standing: ReplicaStatus,
}

impl Record {
    /// Returns a copy of this record that is marked as draining.
    pub fn as_draining(&self) -> Record {
        Record { registration: self.registration.clone(), standing: ReplicaStatus::Draining }
    }

    /// Returns this record with the registration of `known` if it is the departure of a replica without a
    /// registration and concerns that incarnation.
    pub fn with_known_registration(self, known: Option<&Record>) -> Record {
        let is_unregistered = self.registration.address.is_empty();
        let concerned = known.filter(|k| is_unregistered && self.is_not_earlier_than(k));
        let registration = concerned.map(|k| k.registration.clone());
        Record { registration: registration.unwrap_or(self.registration), ..self }
    }

    fn is_not_earlier_than(&self, other: &Record) -> bool {
        self.registration.cmp_incarnation(&other.registration) != Ordering::Less
    }

    /// Returns whether the replica has not left and has not restarted since its incarnation with
    /// the start time `born`.
    pub fn is_running(&self, born: u64) -> bool {
        let is_later = cmp_start_times(self.registration.born, born) == Ordering::Greater;
        self.standing < ReplicaStatus::Left && !is_later
    }
}

#[derive(Clone, Debug)]
struct Entry {
    id: Arc<str>,
    record: Record,
    /// When its newest heartbeat arrived.
    last_heartbeat: Time,
    /// Position in the feed of the last change that is relevant to routers.
    change_position: u64,
    /// Position in the feed of the last published heartbeat.
    heartbeat_position: u64,
    /// When a heartbeat was last published.
    published_at: Time,
    /// The control process that received its newest heartbeat.
    receiver: Receiver,
}

/// The sender of a replica's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// The replica itself.
    Replica,
    /// Another control process.
    Peer,
}

/// The control process that a replica's newest heartbeat was sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Receiver {
    /// This process.
    Own,
    /// Another process, identified by its [`FeedCursor::boot`](super::watch::FeedCursor::boot).
    Peer(u64),
    /// Not known: the record came from another process that did not say so.
    #[default]
    Unknown,
}

/// Heartbeats that another control process than the sender of this message received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedHeartbeats {
    /// The process that received them, by its [`FeedCursor::boot`](super::watch::FeedCursor::boot);
    /// 0 if unknown.
    pub receiver: u64,
    /// The heartbeats.
    pub heartbeats: Vec<Heartbeat>,
}

/// A heartbeat of a replica whose registration is otherwise unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The replica's id.
    pub id: String,
    /// Sequence number of the heartbeat.
    pub sequence: u64,
    /// Start time of its incarnation, or 0 if not reported.
    #[serde(default)]
    pub born: u64,
}

/// A replica that announced in a response that it is about to leave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// The replica's id.
    pub replica: String,
    /// Start time of its incarnation, or 0 if not reported.
    pub born: u64,
}

/// The changes between two positions of a registry's feed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Records of replicas that are new or have changed.
    pub records: Vec<Record>,
    /// Heartbeats of unchanged replicas, for other control processes only: those that this process
    /// received, or all if the follower does not name the processes that it hears.
    pub heartbeats: Vec<Heartbeat>,
    /// Heartbeats of unchanged replicas that processes received which the follower does not hear.
    pub relayed: Vec<RelayedHeartbeats>,
    /// Position from which the follower continues.
    pub position: u64,
}

impl Batch {
    /// Adds the newest heartbeat of a replica, by its receiver if `by_receiver`.
    fn push(&mut self, e: &Entry, by_receiver: bool) {
        let Registration { id, sequence, born, .. } = &e.record.registration;
        let heartbeat = Heartbeat { id: id.clone(), sequence: *sequence, born: *born };
        let receiver = match e.receiver {
            Receiver::Peer(boot) if by_receiver => boot,
            Receiver::Unknown if by_receiver => 0,
            _ => return self.heartbeats.push(heartbeat),
        };
        match self.relayed.iter_mut().find(|r| r.receiver == receiver) {
            Some(r) => r.heartbeats.push(heartbeat),
            None => {
                self.relayed.push(RelayedHeartbeats { receiver, heartbeats: vec![heartbeat] });
            }
        }
    }
}

/// The changes and heartbeats of replicas in the order of their publication. Each gets the next
/// position.
#[derive(Clone, Debug, Default)]
struct Feed {
    position: u64,
    /// Replicas by the position of their last change that is relevant to routers. A follower's
    /// missing changes are a range of it.
    by_change: BTreeMap<u64, Arc<str>>,
    /// Replicas by the position of their last published heartbeat, with its receiver.
    by_heartbeat: BTreeMap<u64, (Arc<str>, Receiver)>,
    /// Minimum interval between published heartbeats of a replica that other processes relay.
    relay_interval: Millis,
}

impl Feed {
    /// Publishes a replica's change or heartbeat. Relayed heartbeats are rate limited.
    fn publish(&mut self, now: Time, e: &mut Entry, changed: bool, source: RecordSource) {
        let is_due = now.since(e.published_at) >= self.relay_interval;
        if changed || is_due || source == RecordSource::Replica {
            e.published_at = now;
            self.move_to_end(e, changed);
        }
    }

    /// Moves a replica to a new position at the end of the feed, also in `by_change` if `changed`.
    fn move_to_end(&mut self, e: &mut Entry, changed: bool) {
        self.position += 1;
        self.by_heartbeat.remove(&e.heartbeat_position);
        self.by_heartbeat.insert(self.position, (e.id.clone(), e.receiver));
        e.heartbeat_position = self.position;
        if changed {
            self.by_change.remove(&e.change_position);
            self.by_change.insert(self.position, e.id.clone());
            e.change_position = self.position;
        }
    }

    /// Removes a replica.
    fn remove(&mut self, e: &Entry) {
        self.by_heartbeat.remove(&e.heartbeat_position);
        self.by_change.remove(&e.change_position);
    }
}

/// The replicas known to one control process, with a feed of changes to them.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<Arc<str>, Entry>,
    feed: Feed,
    /// Replicas that announced to this process directly that they leave, by the position of that
    /// change.
    direct_leaves: BTreeMap<u64, Arc<str>>,
    /// Replicas that have left by their own announcement before any heartbeat of theirs arrived, and when. Each
    /// concerns all incarnations until it is committed, with its time.
    uncommitted_leaves: BTreeMap<String, Time>,
    /// Time before which no replica becomes silent and no record expires.
    next_scan: Time,
    /// Heartbeat interval of the replicas.
    heartbeat: Millis,
    /// The versions of all services, also those whose replicas were replaced under their ids.
    versions: SoftwareVersions,
}

impl Registry {
    /// Returns the newest position in the feed.
    pub fn position(&self) -> u64 {
        self.feed.position
    }

    /// Merges a record from `source` into the registry. Returns whether that is a change for
    /// routers.
    pub fn apply(&mut self, now: Time, r: Record, source: RecordSource) -> bool {
        let known = self.entries.get_mut(r.registration.id.as_str());
        if let Some(e) = known
            && is_next_heartbeat(&r, &e.record)
        {
            e.record.registration.sequence = r.registration.sequence;
            e.last_heartbeat = now;
            if source == RecordSource::Replica {
                e.receiver = Receiver::Own;
            }
            self.feed.publish(now, e, false, source);
            return false;
        }
        self.merge_record(now, r, source)
    }

    fn merge_record(&mut self, now: Time, mut r: Record, source: RecordSource) -> bool {
        if self.uncommitted_leaves.remove(&r.registration.id).is_some() {
            r.standing = ReplicaStatus::Left;
        }
        let known = self.entries.get(r.registration.id.as_str());
        let r = r.with_known_registration(known.map(|e| &e.record));
        let Some(merged) = merge(known, &r) else { return false };
        let same = known.is_some_and(|e| is_same_for_routers(&e.record, &merged));
        let last_heartbeat = match known {
            Some(e) if !is_newer(&r.registration, &e.record.registration) => e.last_heartbeat,
            _ => now,
        };
        let receiver = match source {
            RecordSource::Replica => Receiver::Own,
            RecordSource::Peer => known.map_or(Receiver::Unknown, |e| e.receiver),
        };
        let mut entry = Entry {
            id: known.map_or_else(|| Arc::from(r.registration.id), |e| e.id.clone()),
            record: merged,
            last_heartbeat,
            change_position: known.map_or(0, |e| e.change_position),
            heartbeat_position: known.map_or(0, |e| e.heartbeat_position),
            published_at: known.map_or(Time(0), |e| e.published_at),
            receiver,
        };
        self.feed.publish(now, &mut entry, !same, source);
        self.versions.record(now, &entry.record);
        let id = entry.id.clone();
        if entry.record.standing >= ReplicaStatus::Draining
            && !same
            && source == RecordSource::Replica
        {
            self.direct_leaves.insert(self.feed.position, id.clone());
        }
        self.entries.insert(id, entry);
        !same
    }

    /// Returns the services of which replicas of several software versions have served within
    /// [`RESUME_WINDOW`](crate::fleet::software::RESUME_WINDOW).
    pub fn services_with_several_versions(&self, now: Time) -> Vec<String> {
        self.versions.several(now)
    }

    /// Returns the total slots of a service's ready replicas, by software version.
    pub fn ready_slots(&self, service: &str) -> BTreeMap<String, u64> {
        let mut all: BTreeMap<String, u64> = BTreeMap::new();
        let records = self.entries.values().map(|e| &e.record);
        for r in records.filter(|r| r.standing == ReplicaStatus::Ready) {
            let g = &r.registration;
            if g.service == service {
                *all.entry(g.version.clone()).or_default() += u64::from(g.slots);
            }
        }
        all
    }

    /// Applies a heartbeat that `receiver` received and that it or another control process relayed.
    /// Returns whether that is a change for routers, which is the case if the replica was silent. A
    /// heartbeat of an unknown replica is ignored; the sender relays its record as well.
    pub fn apply_heartbeat(&mut self, now: Time, h: &Heartbeat, receiver: Receiver) -> bool {
        let Some(e) = self.entries.get_mut(h.id.as_str()) else { return false };
        let known = &e.record.registration;
        let same_incarnation = cmp_start_times(h.born, known.born) == Ordering::Equal;
        let old = h.sequence <= known.sequence;
        if !same_incarnation || old || e.record.standing >= ReplicaStatus::Draining {
            return false;
        }
        let was_silent = e.record.standing == ReplicaStatus::Silent;
        e.record.registration.sequence = h.sequence;
        e.record.standing = ReplicaStatus::Ready;
        e.last_heartbeat = now;
        e.receiver = receiver;
        if was_silent {
            self.versions.record(now, &e.record);
        }
        self.feed.publish(now, e, was_silent, RecordSource::Peer);
        was_silent
    }

    /// Records that a replica has left, by its own announcement to this process. Returns whether that is a change
    /// for routers.
    pub fn mark_left(&mut self, now: Time, id: &str) -> bool {
        let Some(e) = self.entries.get(id) else {
            self.uncommitted_leaves.insert(id.to_owned(), now);
            return false;
        };
        let registration = e.record.registration.clone();
        self.apply(
            now,
            Record { registration, standing: ReplicaStatus::Left },
            RecordSource::Replica,
        )
    }

    /// Applies a departure that the control group has committed. Returns whether that is a change for routers.
    pub fn apply_departure(&mut self, now: Time, d: &Departure) -> bool {
        let known = self.entries.get(d.replica.as_str()).map(|e| &e.record.registration);
        if known.is_some_and(|r| !d.concerns(r.born)) {
            return false;
        }
        // Routers may know a replica that has sent this process no heartbeat since its start.
        let record = match known.cloned() {
            Some(registration) => Record { registration, standing: d.standing },
            None => d.record(),
        };
        self.apply(now, record, RecordSource::Peer)
    }

    /// Marks a replica as draining that announced to a router, in a response, that it leaves. Returns
    /// whether that is new for this incarnation.
    pub fn apply_leaving(&mut self, now: Time, l: &Leaving) -> bool {
        let known = self.get(&l.replica);
        let known = known.filter(|r| r.is_running(l.born) && r.standing < ReplicaStatus::Draining);
        let Some(record) = known.map(Record::as_draining) else { return false };
        self.apply(now, record, RecordSource::Peer)
    }

    /// Marks replicas silent that have missed several heartbeats at the heartbeat `interval`, and
    /// removes expired records of replicas that drain or have left.
    pub fn tick(&mut self, now: Time, interval: Millis) {
        if now < self.next_scan && interval == self.heartbeat {
            return;
        }
        self.heartbeat = interval;
        self.feed.relay_interval = interval.scale(MIN_RELAY_HEARTBEATS, 1);
        let silent_after = interval.scale(MAX_MISSED_HEARTBEATS, 1);
        // A replica that registers after this scan is silent no earlier than this.
        let mut next_due = now.after(silent_after);
        let (feed, versions) = (&mut self.feed, &mut self.versions);
        versions.expire(now);
        self.entries.retain(|_, e| {
            let due = match e.record.standing {
                ReplicaStatus::Ready => e.last_heartbeat.after(silent_after),
                ReplicaStatus::Silent => return true,
                ReplicaStatus::Draining | ReplicaStatus::Left => {
                    e.last_heartbeat.after(DEPARTURE_TTL)
                }
            };
            if now < due {
                next_due = next_due.min(due);
                return true;
            }
            if e.record.standing == ReplicaStatus::Ready {
                e.record.standing = ReplicaStatus::Silent;
                versions.record(now, &e.record);
                feed.move_to_end(e, true);
                return true;
            }
            feed.remove(e);
            false
        });
        self.uncommitted_leaves.retain(|_, since| now.since(*since) < DEPARTURE_TTL);
        self.next_scan = next_due.max(now.after(MIN_SCAN_INTERVAL));
        let entries = &self.entries;
        self.direct_leaves.retain(|_, id| entries.contains_key(id));
    }

    /// Returns whether a replica has announced to this process directly, after position `since`,
    /// that it leaves.
    pub fn has_direct_leaves(&self, since: u64) -> bool {
        self.direct_leaves.last_key_value().is_some_and(|(newest, _)| *newest > since)
    }

    /// Returns at most `max` records of replicas that announced to this process directly, after
    /// position `since`, that they leave, and the position from which to continue. Every router
    /// gets these, because this process may lose contact with the other control processes right
    /// after it has acknowledged the announcement.
    pub fn direct_leaves(&self, since: u64, max: usize) -> (Vec<Record>, u64) {
        let mut newer = self.direct_leaves.range((Bound::Excluded(since), Bound::Unbounded));
        let batch: Vec<_> = newer.by_ref().take(max).collect();
        let last = batch.last().map_or(since, |(at, _)| **at);
        let position = if newer.next().is_some() { last } else { self.feed.position };
        let known = batch.into_iter().filter_map(|(_, id)| self.entries.get(id));
        (known.map(|e| e.record.clone()).collect(), position)
    }

    /// Returns whether there is a change for routers after position `since`.
    pub fn has_changes(&self, since: u64) -> bool {
        self.newest_change() > since
    }

    /// Returns the position of the newest change for routers, or 0 if there is none.
    pub fn newest_change(&self) -> u64 {
        self.feed.by_change.last_key_value().map_or(0, |(newest, _)| *newest)
    }

    /// Returns whether a change or heartbeat was published after position `since`.
    pub fn has_heartbeats(&self, since: u64) -> bool {
        self.feed.by_heartbeat.last_key_value().is_some_and(|(newest, _)| *newest > since)
    }

    /// Returns the changes for routers after position `since`, oldest first, at most `max` records.
    pub fn changes(&self, since: u64, max: usize) -> Batch {
        let mut newer = self.feed.by_change.range((Bound::Excluded(since), Bound::Unbounded));
        let batch: Vec<_> = newer.by_ref().take(max).collect();
        let last = batch.last().map_or(since, |(at, _)| **at);
        let position = if newer.next().is_some() { last } else { self.feed.position };
        let records = batch.into_iter().filter_map(|(_, id)| self.entries.get(id));
        Batch {
            records: records.map(|e| e.record.clone()).collect(),
            heartbeats: Vec::new(),
            relayed: Vec::new(),
            position,
        }
    }

    /// Returns the changes after position `since` for another control process: at most `max`
    /// records and at most `max_heartbeats` heartbeats of unchanged replicas. `hears` are the processes
    /// that it hears itself, if it names them; it gets no heartbeats at second hand that these
    /// received. With n processes, each heartbeat would otherwise be sent n squared times.
    pub fn relay_batch(
        &self,
        since: u64,
        max: usize,
        max_heartbeats: usize,
        hears: Option<&[u64]>,
    ) -> Batch {
        let Batch { records, position, .. } = self.changes(since, max);
        let is_wanted = |receiver: Receiver| match (receiver, hears) {
            (Receiver::Peer(boot), Some(hears)) => !hears.contains(&boot),
            _ => true,
        };
        let newer =
            self.feed.by_heartbeat.range((Bound::Excluded(since), Bound::Included(position)));
        let mut newer = newer.filter(|(_, (_, receiver))| is_wanted(*receiver));
        let batch: Vec<_> = newer.by_ref().take(max_heartbeats).collect();
        let last = batch.last().map_or(since, |(at, _)| **at);
        let position = if newer.next().is_some() { last } else { position };
        let known = batch.into_iter().filter_map(|(_, (id, _))| self.entries.get(id));
        // The record of a changed replica already contains its newest heartbeat.
        let unchanged = known.filter(|e| e.change_position <= since);
        let mut batch = Batch { records, heartbeats: Vec::new(), relayed: Vec::new(), position };
        for e in unchanged {
            batch.push(e, hears.is_some());
        }
        batch
    }

    /// Returns the newest heartbeats of at most `max` replicas that were received by the processes
    /// `receivers`, for a follower that has just lost contact with these.
    pub fn heartbeats_received_by(&self, receivers: &[u64], max: usize) -> Vec<RelayedHeartbeats> {
        let mut batch = Batch::default();
        let is_theirs =
            |e: &&Entry| matches!(e.receiver, Receiver::Peer(boot) if receivers.contains(&boot));
        for e in self.entries.values().filter(is_theirs).take(max) {
            batch.push(e, true);
        }
        batch.relayed
    }

    /// Returns the record of a replica.
    pub fn get(&self, id: &str) -> Option<&Record> {
        self.entries.get(id).map(|e| &e.record)
    }

    /// Returns the records of all replicas, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.entries.values().map(|e| &e.record)
    }
}

/// Merges `r` into a known entry. Returns the resulting record, or `None` if nothing changes.
///
/// Within one incarnation a replica never returns from draining or left, in whatever order records
/// arrive. A later incarnation replaces the record.
fn merge(known: Option<&Entry>, r: &Record) -> Option<Record> {
    let Some(e) = known else { return Some(r.clone()) };
    let old = &e.record;
    match r.registration.cmp_incarnation(&old.registration) {
        Ordering::Greater => return Some(r.clone()),
        Ordering::Less => return None,
        Ordering::Equal => {}
    }
    let newer = is_newer(&r.registration, &old.registration);
    let mut last = if newer { r.registration.clone() } else { old.registration.clone() };
    last.born = r.registration.born.max(old.registration.born);
    let standing = match (old.standing, r.standing) {
        (a, b) if a >= ReplicaStatus::Draining || b >= ReplicaStatus::Draining => a.max(b),
        (_, b) if newer => b,
        (a, _) => a,
    };
    let merged = Record { registration: last, standing };
    (merged != *old).then_some(merged)
}

/// Returns whether `r` is the next heartbeat of a ready replica and changes nothing but the sequence.
fn is_next_heartbeat(r: &Record, known: &Record) -> bool {
    let (x, y) = (&r.registration, &known.registration);
    r.standing == ReplicaStatus::Ready
        && known.standing == ReplicaStatus::Ready
        && x.sequence > y.sequence
        && x.born == y.born
        && x.cold == y.cold
        && x.slots == y.slots
        && x.address == y.address
        && x.service == y.service
        && x.data_centre == y.data_centre
        && x.version == y.version
}

/// Returns whether `r` is from a later incarnation or heartbeat than `known`.
fn is_newer(r: &Registration, known: &Registration) -> bool {
    let order = r.cmp_incarnation(known).then(r.sequence.cmp(&known.sequence));
    order == Ordering::Greater
}

/// Returns whether the difference between two records is irrelevant to routers.
fn is_same_for_routers(a: &Record, b: &Record) -> bool {
    let (x, y) = (&a.registration, &b.registration);
    a.standing == b.standing
        && x.born == y.born
        && x.service == y.service
        && x.version == y.version
        && x.address == y.address
        && x.slots == y.slots
        && (x.cold == Millis(0)) == (y.cold == Millis(0))
        // A longer cold start means that the replica has become cold again.
        && y.cold <= x.cold
}
