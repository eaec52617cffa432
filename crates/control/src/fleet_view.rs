//! The in-memory view that a control process has of the fleet: registered replicas, routers, and
//! processes that want to join the group. None of it is stored.

use cypressfork_core::fleet::contacts::Leader;
use cypressfork_core::fleet::evacuation::Evacuations;
use cypressfork_core::fleet::heard::WatchersHear;
use cypressfork_core::fleet::limit::DisplayLimit;
use cypressfork_core::fleet::limit::rate_limits::{LimitReport, RateLimits};
use cypressfork_core::fleet::quarantine::{Quarantine, QuarantineList};
use cypressfork_core::fleet::registry::{Receiver, RecordSource, Registry};
use cypressfork_core::fleet::repair::Candidates;
use cypressfork_core::fleet::rollout::Rollouts;
use cypressfork_core::fleet::rollout::evidence::Reports;
use cypressfork_core::fleet::router_directory::{NOT_WANTED, RouterDirectory};
use cypressfork_core::fleet::router_heartbeats::RouterHeartbeats;
use cypressfork_core::fleet::software::RESUME_WINDOW;
use cypressfork_core::fleet::transfer::PackedDocuments;
use cypressfork_core::fleet::watch::{
    Announce, Confirmation, FeedCursor, RouterStatus, Watch, WatchResponse, controls_digest,
};
use cypressfork_core::member::Routers as Registered;
use cypressfork_core::unit::{Millis, Time, Version};
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use cypressfork_wire::compression;
use metrics::{gauge, histogram};

use crate::feed_cache::{Changes, FeedCache};

/// Time after which a watch is answered even without changes.
const WATCH_TIMEOUT: Millis = Millis(1_000);

/// Time for which heartbeats are batched before they are relayed to another control process.
const HEARTBEAT_BATCH_DELAY: Millis = Millis(300);

/// Time for which changes of replicas are batched before they are sent to a router. A leaving replica
/// may get requests for this much longer, so it has to be shorter than the notice that replicas give.
const CHANGE_BATCH_DELAY: Millis = Millis(100);

/// Interval at which pending watches are checked. A request for a part of a document does not wait for
/// it.
const POLL_INTERVAL: Millis = Millis(20);

/// Maximum number of replica records in one response, about 50 kB; the rest follows in the next one. A
/// response has to cross the slowest link before the watcher's timeout.
const MAX_RECORDS: usize = 256;

/// Maximum number of heartbeats in one response to another control process, about 40 kB.
const MAX_HEARTBEATS: usize = 2_048;

/// Maximum number of rate limits in one response, about 20 kB.
const MAX_LIMITS: usize = 512;

/// Interval at which rate limits of replicas that are gone are removed.
const LIMIT_EXPIRY_INTERVAL: Millis = Millis::seconds(1);

/// Interval between checks whether a document is in force at all routers.
const PROGRESS_INTERVAL: Millis = Millis(100);

/// Maximum number of routers listed to a router as lenders of tokens.
const MAX_PEERS: usize = 32;

/// The state that watch responses are made from, besides the fleet view itself.
pub struct WatchedState<'a> {
    /// Version of the document in force at this process; 0 if there is none.
    pub version: Version,
    /// The document as submitted.
    pub source: &'a str,
    /// Addresses of the group's control processes.
    pub controls: Vec<String>,
    /// Wall clock time at this process.
    pub wall: Time,
    /// The registered routers.
    pub registered: &'a Registered,
    /// The group's leader, if this process knows it.
    pub lead: Option<Leader>,
    /// The data centre of this process.
    pub data_centre: &'a str,
    /// The data centres that get no new work.
    pub evacuations: &'a Evacuations,
    /// The quarantined requests, which are sent to no replica.
    pub quarantine: &'a Quarantine,
    /// The rollouts of all services.
    pub rollouts: &'a Rollouts,
    /// Whether this process has run since before its group was founded: nothing in the fleet is older.
    pub since_founding: bool,
}

/// The fleet as seen by one control process, and the watches that wait for changes of it. `T` identifies
/// the watcher to respond to.
pub struct FleetView<T> {
    /// The registered replicas.
    pub registry: Registry,
    /// The latest heartbeats of the routers.
    pub routers: RouterHeartbeats,
    /// Processes that announced that they belong to no group.
    pub candidates: Candidates,
    /// Routers' reports on rollouts in progress.
    pub reports: Reports,
    /// The rate limits of replicas, as reported by routers.
    pub limits: RateLimits,
    next_limit_expiry: Time,
    directory: RouterDirectory,
    document: DocumentProgress,
    /// Time of the next check of the pending watches.
    next_poll: Time,
    boot: u64,
    /// When this process began to follow the fleet; `None` before its first task.
    followed_since: Option<Time>,
    heartbeat_interval: Millis,
    pending: Vec<Box<PendingWatch<T>>>,
    packed_documents: PackedDocuments,
    feed_cache: FeedCache,
    quarantine_list: Option<QuarantineList>,
    /// Which processes the watching control processes hear.
    watchers_hear: WatchersHear,
}

/// How far the newest document has come into force at the routers.
#[derive(Default)]
struct DocumentProgress {
    version: Version,
    /// When this process applied it.
    applied_at: Time,
    /// Whether it is in force at all routers with a recent heartbeat.
    complete: bool,
    next_check: Time,
}

impl DocumentProgress {
    /// Records that a router reports the document in force there, and which one it reported before.
    fn record_router(&self, now: Time, before: Version, version: Version) {
        if before < self.version && version >= self.version && before > 0 {
            let lag = now.since(self.applied_at);
            histogram!(metric::DOCUMENT_LAG).record(lag.0 as f64 / 1_000.0);
        }
    }

    /// Updates the newest version and, if a check is due, the number of routers without it.
    fn update(&mut self, now: Time, version: Version, routers: &RouterHeartbeats) {
        if version > self.version {
            *self = DocumentProgress { version, applied_at: now, ..DocumentProgress::default() };
        }
        if self.complete || now < self.next_check {
            return;
        }
        self.next_check = now.after(PROGRESS_INTERVAL);
        let (behind, all) = (routers.count_behind(now, version), routers.count(now));
        gauge!(metric::ROUTERS_BEHIND).set(behind as f64);
        if behind == 0 && all > 0 {
            self.complete = true;
            let ms = now.since(self.applied_at).0;
            emit!(Event::DocumentInForce, version = version, routers = all, ms = ms);
        }
    }
}

/// A watch that has not been answered yet.
struct PendingWatch<T> {
    watch: Watch,
    /// Position up to which the watcher has received the changes of replicas.
    replica_position: u64,
    /// Position up to which it has received the leaves that replicas reported to this process directly.
    leave_position: u64,
    /// Position up to which it has received the changes of rate limits.
    limit_position: u64,
    /// Control processes that the watcher, another one, no longer hears.
    lost_contacts: Vec<u64>,
    received: Time,
    to: T,
}

impl<T> PendingWatch<T> {
    /// Returns whether there are changes of replicas to send.
    fn has_replica_changes(&self, registry: &Registry) -> bool {
        !self.watch.without_replicas && registry.has_changes(self.replica_position)
    }

    /// Returns whether replicas have reported to this process that they leave, and the watcher gets its
    /// replica records from other control processes. This process has acknowledged the leaves and may
    /// be cut off before it relays them.
    fn has_direct_leaves(&self, registry: &Registry) -> bool {
        self.watch.without_replicas && registry.has_direct_leaves(self.leave_position)
    }

    /// Returns whether there are changes of rate limits to send. A router gets them from the same control
    /// processes as its replica records.
    fn has_limit_changes(&self, limits: &RateLimits) -> bool {
        !self.watch.without_replicas && limits.has_changes(self.limit_position)
    }

    /// Returns whether there are changes of the quarantine list to send. Suspects change often and are
    /// only sent to watchers that also get replica records from this process.
    fn has_quarantine_changes(&self, q: &Quarantine) -> bool {
        let newest =
            if self.watch.without_replicas { q.quarantined_revision() } else { q.revision() };
        newest > self.watch.quarantine
    }

    /// Returns whether the watcher requests a part of a document and holds a version below `version`.
    fn is_behind(&self, version: Version) -> bool {
        self.watch.fetch.is_some_and(|fetch| version > fetch.held)
    }
}

impl<T> FleetView<T> {
    /// Creates an empty view. `boot` is a random number that identifies this start of the process.
    /// Replicas send a heartbeat every `heartbeat_interval`.
    pub fn new(boot: u64, heartbeat_interval: Millis) -> FleetView<T> {
        FleetView {
            registry: Registry::default(),
            routers: RouterHeartbeats::default(),
            candidates: Candidates::default(),
            reports: Reports::default(),
            limits: RateLimits::default(),
            next_limit_expiry: Time(0),
            directory: RouterDirectory::default(),
            document: DocumentProgress::default(),
            next_poll: Time(0),
            boot,
            followed_since: None,
            heartbeat_interval,
            pending: Vec::new(),
            packed_documents: PackedDocuments::default(),
            feed_cache: FeedCache::default(),
            quarantine_list: None,
            watchers_hear: WatchersHear::default(),
        }
    }

    /// Returns the number that identifies this start of the process.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Applies the reports that a watch carries, and keeps the watch until [`FleetView::due_responses`] returns
    /// its response.
    pub fn watch(&mut self, now: Time, mut watch: Watch, to: T) {
        let reports = std::mem::take(&mut watch.reports);
        if let Some(r) = &watch.router {
            let before = self.routers.record(now, r).map_or(0, |old| old.version);
            self.document.record_router(now, before, r.version);
            reports.into_iter().for_each(|report| self.reports.record(now, &r.vm, report));
        }
        let limit_reports = std::mem::take(&mut watch.heard);
        self.apply_limit_reports(now, &limit_reports);
        for l in std::mem::take(&mut watch.leaving) {
            if self.registry.apply_leaving(now, &l) {
                emit!(Event::ReplicaChanged, replica = l.replica, by = "answer");
            }
        }
        if watch.fetch.is_some() || watch.confirm.is_some_and(|c| c.at_once) {
            self.next_poll = now;
        }
        let (replica_position, leave_position, limit_position) = match watch.feed.boot == self.boot
        {
            true => (watch.feed.position, watch.feed.leaves, watch.feed.limits),
            // The watcher gets earlier leaves from its replica sources.
            false => (0, self.registry.position(), 0),
        };
        let lost_contacts = match (&watch.control, &watch.hears) {
            (Some(address), Some(hears)) => self.watchers_hear.record(address, hears),
            _ => Vec::new(),
        };
        self.pending.push(Box::new(PendingWatch {
            watch,
            replica_position,
            leave_position,
            limit_position,
            lost_contacts,
            received: now,
            to,
        }));
    }

    /// Records a process's announcement that it belongs to no group.
    pub fn announce(&mut self, now: Time, a: Announce) {
        self.candidates.record(now, a);
    }

    /// Applies reports on rate limits, except those on earlier incarnations of replicas.
    fn apply_limit_reports(&mut self, now: Time, reports: &[LimitReport]) {
        for r in reports.iter().filter(|r| is_running(&self.registry, &r.replica, r.born)) {
            if let Some(change) = self.limits.apply(now, r) {
                emit!(
                    Event::LimitChanged,
                    replica = r.replica,
                    from = DisplayLimit(change.from),
                    to = DisplayLimit(change.to),
                    age_ms = r.age.0,
                );
                gauge!(metric::LIMITED).set(self.limits.limited().count() as f64);
            }
        }
    }

    /// Applies the records, heartbeats and rate limits in the response of another control process.
    pub fn apply_peer_update(&mut self, now: Time, response: WatchResponse) {
        for r in response.replicas {
            self.registry.apply(now, r, RecordSource::Peer);
        }
        for h in &response.beats {
            self.registry.apply_heartbeat(now, h, Receiver::Peer(response.feed.boot));
        }
        for relayed in response.relayed.iter().flatten() {
            let receiver = match relayed.receiver {
                0 => Receiver::Unknown,
                boot => Receiver::Peer(boot),
            };
            for h in &relayed.heartbeats {
                self.registry.apply_heartbeat(now, h, receiver);
            }
        }
        self.apply_limit_reports(now, &response.limits);
    }

    /// Expires heartbeats, candidates and rate limits that are out of date at `now`.
    pub fn tick(&mut self, now: Time) {
        self.registry.tick(now, self.heartbeat_interval);
        self.candidates.tick(now);
        if now >= self.next_limit_expiry {
            self.next_limit_expiry = now.after(LIMIT_EXPIRY_INTERVAL);
            let registry = &self.registry;
            self.limits.expire(now, |replica, born| is_running(registry, replica, born));
            gauge!(metric::LIMITED).set(self.limits.limited().count() as f64);
        }
    }

    /// Returns whether the pending watches have to be checked.
    pub fn is_poll_due(&self, now: Time) -> bool {
        now >= self.next_poll
    }

    /// Removes the pending watches that are due, and returns their responses.
    pub fn due_responses(&mut self, now: Time, state: &WatchedState) -> Vec<(T, WatchResponse)> {
        self.next_poll = now.after(POLL_INTERVAL);
        self.followed_since.get_or_insert(now);
        let mut pending = std::mem::take(&mut self.pending);
        let due: Vec<_> = pending.extract_if(.., |w| self.is_due(now, w, state)).collect();
        self.pending = pending;
        if due.iter().any(|w| w.is_behind(state.version))
            && self.packed_documents.newest_version() < state.version
        {
            self.packed_documents.insert(state.version, compression::compress_text(state.source));
        }
        self.directory.refresh(now, state.registered.iter(), &self.routers);
        self.document.update(now, state.version, &self.routers);
        let controls = controls_digest(&state.controls);
        due.into_iter()
            .map(|w| (self.response(now, &w, state, controls), w.to))
            .map(|(response, to)| (to, response))
            .collect()
    }

    /// Returns the quarantine list, which is cached until its revision changes.
    fn quarantine_list(&mut self, q: &Quarantine) -> QuarantineList {
        match &self.quarantine_list {
            Some(list) if list.revision == q.revision() => list.clone(),
            _ => self.quarantine_list.insert(q.list()).clone(),
        }
    }

    fn is_due(&self, now: Time, w: &PendingWatch<T>, state: &WatchedState) -> bool {
        let waited = now.since(w.received);
        let has_newer_version = w.watch.router.is_some() && state.version > w.watch.version;
        let relays_heartbeats = w.watch.router.is_none() && waited >= HEARTBEAT_BATCH_DELAY;
        has_newer_version
            || w.is_behind(state.version)
            || w.watch.confirm.is_some_and(|c| c.at_once)
            || state.evacuations.revision > w.watch.evacuations
            || state.quarantine.quarantined_revision() > w.watch.quarantine
            || state.rollouts.revision > w.watch.rollouts
            || waited >= WATCH_TIMEOUT
            || !w.lost_contacts.is_empty()
            || (waited >= CHANGE_BATCH_DELAY && w.has_quarantine_changes(state.quarantine))
            || (waited >= CHANGE_BATCH_DELAY && w.has_replica_changes(&self.registry))
            || (waited >= CHANGE_BATCH_DELAY && w.has_direct_leaves(&self.registry))
            || (waited >= CHANGE_BATCH_DELAY && w.has_limit_changes(&self.limits))
            || (relays_heartbeats && self.registry.has_heartbeats(w.replica_position))
    }

    /// Returns the response to a watch. `controls` is the digest of the control processes' addresses.
    fn response(
        &mut self,
        now: Time,
        w: &PendingWatch<T>,
        state: &WatchedState,
        controls: u64,
    ) -> WatchResponse {
        let is_router = w.watch.router.is_some();
        let (mut heartbeats, mut relayed) = (Vec::new(), Vec::new());
        let mut leaves = self.registry.position();
        let changes = match is_router {
            true if w.watch.without_replicas => {
                let (records, position) =
                    self.registry.direct_leaves(w.leave_position, MAX_RECORDS);
                leaves = position;
                Changes { records, position: w.replica_position, ..Changes::default() }
            }
            true => self.feed_cache.changes(now, &self.registry, w.replica_position, MAX_RECORDS),
            false => {
                let batch = self.registry.relay_batch(
                    w.replica_position,
                    MAX_RECORDS,
                    MAX_HEARTBEATS,
                    w.watch.hears.as_deref(),
                );
                heartbeats = batch.heartbeats;
                relayed = batch.relayed;
                if !w.lost_contacts.is_empty() {
                    let newest =
                        self.registry.heartbeats_received_by(&w.lost_contacts, MAX_HEARTBEATS);
                    relayed.extend(newest);
                }
                Changes { records: batch.records, packed: None, position: batch.position }
            }
        };
        let has_homes = |r: &RouterStatus| self.directory.has_homes(&r.data_centre);
        let needs_peers = w.watch.router.as_ref().is_some_and(|r| !has_homes(r));
        let has_controls = w.watch.feed.boot == self.boot && w.watch.feed.controls == controls;
        let has_routers_with_homes =
            w.watch.areas == NOT_WANTED || w.watch.areas == self.directory.with_homes_digest();
        let has_routers_without_homes =
            w.watch.few == NOT_WANTED || w.watch.few == self.directory.without_homes_digest();
        let (limits, limits_position) = match w.watch.without_replicas {
            true => (Vec::new(), w.limit_position),
            false => self.limits.changes(now, w.limit_position, MAX_LIMITS),
        };
        let has_all_replicas = is_router
            && w.watch.hears.is_some()
            && !w.watch.without_replicas
            && changes.position >= self.registry.newest_change();
        let followed_for = self.followed_since.map(|at| match state.since_founding {
            true => now.since(at).max(RESUME_WINDOW),
            false => now.since(at),
        });
        let complete_for = followed_for.filter(|_| has_all_replicas);
        let confirm = w.watch.confirm.filter(|_| complete_for.is_some());
        let confirmed = confirm.map(|c| Confirmation {
            // The router's clock has advanced by at least as much since it sent the request.
            as_of: c.sent_at.after(now.since(w.received)),
            several_versions: self.registry.services_with_several_versions(now),
        });
        WatchResponse {
            complete_for,
            confirmed,
            feed: FeedCursor {
                boot: self.boot,
                position: changes.position,
                leaves,
                controls,
                limits: limits_position,
            },
            replicas: changes.records,
            packed: changes.packed,
            beats: heartbeats,
            relayed: (complete_for.is_some() || !relayed.is_empty()).then_some(relayed),
            version: state.version,
            part: w.watch.fetch.and_then(|fetch| self.packed_documents.part(&fetch)),
            controls: if has_controls { Vec::new() } else { state.controls.clone() },
            routers: self.routers.count(now),
            peers: if needs_peers { self.routers.links(now, MAX_PEERS) } else { Vec::new() },
            wall: state.wall.0,
            areas: (!has_routers_with_homes).then(|| self.directory.with_homes().to_vec()),
            lead: state.lead.clone(),
            data_centre: match w.watch.feed.boot == self.boot {
                true => String::new(),
                false => state.data_centre.to_owned(),
            },
            evacuations: (state.evacuations.revision > w.watch.evacuations)
                .then(|| state.evacuations.clone()),
            rollouts: (state.rollouts.revision > w.watch.rollouts).then(|| state.rollouts.clone()),
            quarantine: w
                .has_quarantine_changes(state.quarantine)
                .then(|| self.quarantine_list(state.quarantine)),
            limits,
            few: (!has_routers_without_homes).then(|| self.directory.without_homes().to_vec()),
        }
    }
}

/// Returns whether a replica is registered with the incarnation `born`, or with one that cannot be
/// distinguished from it.
fn is_running(registry: &Registry, replica: &str, born: u64) -> bool {
    registry.get(replica).is_some_and(|r| r.is_running(born))
}
