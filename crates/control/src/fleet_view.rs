//! What a control process knows of the fleet without its being durable: replicas that register,
//! routers that ask, and processes that want to join the group.

use cypressfork_core::fleet::contacts::Leader;
use cypressfork_core::fleet::entry::RouterHeartbeats;
use cypressfork_core::fleet::evacuation::Evacuations;
use cypressfork_core::fleet::limit::DisplayLimit;
use cypressfork_core::fleet::limit::known::{LimitReport, Limits};
use cypressfork_core::fleet::neighbours::{NOT_WANTED, RouterDirectory};
use cypressfork_core::fleet::quarantine::{Quarantine, QuarantineList};
use cypressfork_core::fleet::registry::{Heartbeat, Record, RecordSource, Registry};
use cypressfork_core::fleet::repair::Candidates;
use cypressfork_core::fleet::rollout::Rollouts;
use cypressfork_core::fleet::rollout::evidence::Reports;
use cypressfork_core::fleet::transfer::PackedDocuments;
use cypressfork_core::fleet::watch::{
    Announce, FeedCursor, RouterStatus, Watch, WatchResponse, controls_digest,
};
use cypressfork_core::member::Routers as Registered;
use cypressfork_core::unit::{Millis, Time, Version};
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use cypressfork_wire::packed;
use metrics::gauge;

use crate::feed_cache::{Changes, FeedCache};

/// How long a standing question waits for news.
const WATCH_SPAN: Millis = Millis(1_000);

/// How long heartbeats are gathered before they are passed on to another control process.
const GATHER: Millis = Millis(300);

/// How long changes of replicas are gathered before they are passed on to a router: replicas that
/// register within a second come in ten answers at most, however many they are. One that leaves may
/// get work for this much longer, of the seconds that it grants.
const GATHER_CHANGES: Millis = Millis(100);

/// How often standing questions are looked at. A part of a document is not kept waiting for it.
const LOOK: Millis = Millis(20);

/// Replicas that one answer tells of at most, some 50 kB of them: the rest follows in the next. An
/// answer has to come over the slowest link within the time that its asker waits for it.
const RECORDS: usize = 256;

/// Heartbeats that one answer to another control process tells of at most, some 40 kB of them.
const BEATS: usize = 2_048;

/// Limits that one answer tells of at most, some 20 kB of them.
const WORDS: usize = 512;

/// How often limits of replicas that are not there any more are forgotten.
const TRIM_EVERY: Millis = Millis::seconds(1);

/// Routers that a router is told of for lending tokens.
const PEERS: usize = 32;

/// The part of the replicated state that watchers follow.
pub struct Followed<'a> {
    /// Version of the document in force here; 0 if there is none.
    pub version: Version,
    /// The document as submitted.
    pub source: &'a str,
    /// Addresses of the group's control processes.
    pub controls: Vec<String>,
    /// What this process's clock shows.
    pub wall: Time,
    /// The routers that have registered.
    pub registered: &'a Registered,
    /// Who leads the group, if that is known here.
    pub lead: Option<Leader>,
    /// The data centre of this process.
    pub data_centre: &'a str,
    /// The data centres that get no new work.
    pub evacuations: &'a Evacuations,
    /// The requests that are sent to no replica.
    pub quarantine: &'a Quarantine,
    /// The roll-outs of all services.
    pub rollouts: &'a Rollouts,
}

/// The state; `T` tells where an answer goes.
pub struct FleetView<T> {
    /// The replicas.
    pub registry: Registry,
    /// The routers.
    pub routers: RouterHeartbeats,
    /// Processes that say that they belong to no group.
    pub candidates: Candidates,
    /// What routers have seen of roll-outs under way.
    pub reports: Reports,
    /// The limits that replicas name, by what routers have heard.
    pub limits: Limits,
    next_trim: Time,
    directory: RouterDirectory,
    /// When standing questions are looked at next.
    next_look: Time,
    boot: u64,
    heartbeat: Millis,
    standing: Vec<Standing<T>>,
    packs: PackedDocuments,
    feed_cache: FeedCache,
    told: Option<QuarantineList>,
}

struct Standing<T> {
    watch: Watch,
    since: u64,
    /// The same for replicas that told this process itself that they leave.
    leaves: u64,
    /// The same for limits.
    limits: u64,
    asked: Time,
    to: T,
}

impl<T> Standing<T> {
    /// There are changes of replicas for it.
    fn is_told(&self, registry: &Registry) -> bool {
        !self.watch.without_replicas && registry.has_changes(self.since)
    }

    /// Replicas have told this process that they leave. A router that hears of replicas elsewhere is told
    /// as well: this process has acknowledged it, and may be cut off from those before they know.
    fn is_told_of_leaves(&self, registry: &Registry) -> bool {
        self.watch.without_replicas && registry.has_direct_leaves(self.leaves)
    }

    /// Limits have changed. A router hears of them where it hears of replicas.
    fn is_told_of_limits(&self, limits: &Limits) -> bool {
        !self.watch.without_replicas && limits.has_changes(self.limits)
    }

    /// There is something new of quarantined requests for it. Suspects, who come and go, are told by
    /// those alone that tell of replicas.
    fn is_told_of(&self, q: &Quarantine) -> bool {
        let newest =
            if self.watch.without_replicas { q.quarantined_revision() } else { q.revision() };
        newest > self.watch.quarantine
    }

    /// It asks for a part of a document, and has none as new as `version` in force.
    fn is_behind(&self, version: Version) -> bool {
        self.watch.fetch.is_some_and(|w| version > w.held)
    }
}

impl<T> FleetView<T> {
    /// Knows nothing yet; `boot` is drawn at each start, and replicas tell of themselves about
    /// every `heartbeat`.
    pub fn new(boot: u64, heartbeat: Millis) -> FleetView<T> {
        FleetView {
            registry: Registry::default(),
            routers: RouterHeartbeats::default(),
            candidates: Candidates::default(),
            reports: Reports::default(),
            limits: Limits::default(),
            next_trim: Time(0),
            directory: RouterDirectory::default(),
            next_look: Time(0),
            boot,
            heartbeat,
            standing: Vec::new(),
            packs: PackedDocuments::default(),
            feed_cache: FeedCache::default(),
            told: None,
        }
    }

    /// Takes a standing question.
    pub fn watch(&mut self, now: Time, mut watch: Watch, to: T) {
        let reports = std::mem::take(&mut watch.reports);
        if let Some(r) = &watch.router {
            self.routers.record(now, r);
            reports.into_iter().for_each(|report| self.reports.record(now, &r.vm, report));
        }
        let heard = std::mem::take(&mut watch.heard);
        self.hear_limits(now, &heard);
        for l in std::mem::take(&mut watch.leaving) {
            if self.registry.apply_leaving(now, &l) {
                emit!(Event::ReplicaChanged, replica = l.replica, by = "answer");
            }
        }
        if watch.fetch.is_some() {
            self.next_look = now;
        }
        let (since, leaves, limits) = match watch.feed.boot == self.boot {
            true => (watch.feed.position, watch.feed.leaves, watch.feed.limits),
            // Its sources tell it of those before.
            false => (0, self.registry.position(), 0),
        };
        self.standing.push(Standing { watch, since, leaves, limits, asked: now, to });
    }

    /// Takes a process's word that it belongs to no group.
    pub fn announce(&mut self, now: Time, a: Announce) {
        self.candidates.record(now, a);
    }

    /// Takes words on limits; those of former lives of replicas say nothing any more.
    fn hear_limits(&mut self, now: Time, words: &[LimitReport]) {
        for w in words.iter().filter(|w| is_running(&self.registry, &w.replica, w.born)) {
            if let Some(change) = self.limits.apply(now, w) {
                emit!(
                    Event::LimitChanged,
                    replica = w.replica,
                    from = DisplayLimit(change.from),
                    to = DisplayLimit(change.to),
                    age_ms = w.age.0,
                );
                gauge!(metric::LIMITED).set(self.limits.limited().count() as f64);
            }
        }
    }

    /// Takes what another control process has heard.
    pub fn learn(
        &mut self,
        now: Time,
        replicas: Vec<Record>,
        beats: &[Heartbeat],
        limits: &[LimitReport],
    ) {
        for r in replicas {
            self.registry.apply(now, r, RecordSource::Peer);
        }
        for b in beats {
            self.registry.apply_heartbeat(now, b);
        }
        self.hear_limits(now, limits);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time) {
        self.registry.tick(now, self.heartbeat);
        self.candidates.tick(now);
        if now >= self.next_trim {
            self.next_trim = now.after(TRIM_EVERY);
            let registry = &self.registry;
            self.limits.expire(now, |replica, born| is_running(registry, replica, born));
            gauge!(metric::LIMITED).set(self.limits.limited().count() as f64);
        }
    }

    /// Whether it is time to look for answers that are due.
    pub fn is_time(&self, now: Time) -> bool {
        now >= self.next_look
    }

    /// The answers that are due.
    pub fn answers(&mut self, now: Time, f: &Followed) -> Vec<(T, WatchResponse)> {
        self.next_look = now.after(LOOK);
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.standing).into_iter().partition(|s| self.is_due(now, s, f));
        self.standing = rest;
        if due.iter().any(|s| s.is_behind(f.version)) && self.packs.newest_version() < f.version {
            self.packs.insert(f.version, packed::pack(f.source));
        }
        self.directory.refresh(now, f.registered.iter(), &self.routers);
        due.into_iter()
            .map(|s| (self.seen(now, &s, f), s.to))
            .map(|(seen, to)| (to, seen))
            .collect()
    }

    /// What routers are told of quarantined requests: sorted out once for all that lack the same.
    fn told(&mut self, q: &Quarantine) -> QuarantineList {
        match &self.told {
            Some(told) if told.revision == q.revision() => told.clone(),
            _ => self.told.insert(q.list()).clone(),
        }
    }

    fn is_due(&self, now: Time, s: &Standing<T>, f: &Followed) -> bool {
        let waited = now.since(s.asked);
        let newer = s.watch.router.is_some() && f.version > s.watch.version;
        let beats = s.watch.router.is_none() && waited >= GATHER;
        newer
            || s.is_behind(f.version)
            || f.evacuations.revision > s.watch.evacuations
            || f.quarantine.quarantined_revision() > s.watch.quarantine
            || f.rollouts.revision > s.watch.rollouts
            || waited >= WATCH_SPAN
            || (waited >= GATHER_CHANGES && s.is_told_of(f.quarantine))
            || (waited >= GATHER_CHANGES && s.is_told(&self.registry))
            || (waited >= GATHER_CHANGES && s.is_told_of_leaves(&self.registry))
            || (waited >= GATHER_CHANGES && s.is_told_of_limits(&self.limits))
            || (beats && self.registry.has_heartbeats(s.since))
    }

    fn seen(&mut self, now: Time, s: &Standing<T>, f: &Followed) -> WatchResponse {
        let router = s.watch.router.is_some();
        let mut beats = Vec::new();
        let mut leaves = self.registry.position();
        let changes = match router {
            true if s.watch.without_replicas => {
                let (records, upto) = self.registry.direct_leaves(s.leaves, RECORDS);
                leaves = upto;
                Changes { records, position: s.since, ..Changes::default() }
            }
            true => self.feed_cache.changes(now, &self.registry, s.since, RECORDS),
            false => {
                let part = self.registry.relay_batch(s.since, RECORDS, BEATS);
                beats = part.heartbeats;
                Changes { records: part.records, packed: None, position: part.position }
            }
        };
        let has_homes = |r: &RouterStatus| self.directory.has_homes(&r.data_centre);
        let peers = s.watch.router.as_ref().is_some_and(|r| !has_homes(r));
        let controls = controls_digest(&f.controls);
        let same = s.watch.feed.boot == self.boot && s.watch.feed.controls == controls;
        let known =
            s.watch.areas == NOT_WANTED || s.watch.areas == self.directory.with_homes_digest();
        let few = s.watch.few == NOT_WANTED || s.watch.few == self.directory.without_homes_digest();
        let (limits, upto) = match s.watch.without_replicas {
            true => (Vec::new(), s.limits),
            false => self.limits.changes(now, s.limits, WORDS),
        };
        WatchResponse {
            feed: FeedCursor {
                boot: self.boot,
                position: changes.position,
                leaves,
                controls,
                limits: upto,
            },
            replicas: changes.records,
            packed: changes.packed,
            beats,
            version: f.version,
            part: s.watch.fetch.and_then(|want| self.packs.part(&want)),
            controls: if same { Vec::new() } else { f.controls.clone() },
            routers: self.routers.count(now),
            peers: if peers { self.routers.links(now, PEERS) } else { Vec::new() },
            wall: f.wall.0,
            areas: (!known).then(|| self.directory.with_homes().to_vec()),
            lead: f.lead.clone(),
            data_centre: match s.watch.feed.boot == self.boot {
                true => String::new(),
                false => f.data_centre.to_owned(),
            },
            evacuations: (f.evacuations.revision > s.watch.evacuations)
                .then(|| f.evacuations.clone()),
            rollouts: (f.rollouts.revision > s.watch.rollouts).then(|| f.rollouts.clone()),
            quarantine: s.is_told_of(f.quarantine).then(|| self.told(f.quarantine)),
            limits,
            few: (!few).then(|| self.directory.without_homes().to_vec()),
        }
    }
}

/// Whether a replica is registered, in this life of it or one that is not told apart.
fn is_running(registry: &Registry, replica: &str, born: u64) -> bool {
    registry.get(replica).is_some_and(|r| r.is_running(born))
}
