//! The state shared by all requests of a gateway.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::budget::report_interval;
use cypressfork_core::fleet::connection_loss::ReplicaEvent;
use cypressfork_core::fleet::evacuation::Evacuations;
use cypressfork_core::fleet::homes::reporting_routers;
use cypressfork_core::fleet::load_monitor::LoadMonitor;
use cypressfork_core::fleet::peer::Placement;
use cypressfork_core::fleet::registry::{Record, ReplicaStatus};
use cypressfork_core::fleet::replicas::{AddressChange, ReplicaTable, Start};
use cypressfork_core::fleet::retry::{RetryBudget, RetryLimit, RetryShare};
use cypressfork_core::fleet::rollout::Rollouts;
use cypressfork_core::fleet::rollout::split::{Side, VersionPreference};
use cypressfork_core::fleet::routes::Routes;
use cypressfork_core::fleet::sources::ReplicaSources;
use cypressfork_core::fleet::watch::FeedCursor;
use cypressfork_core::route::retry_schedule::{RetrySchedule, RetrySpacing};
use cypressfork_core::route::{Blocked, Choice, Pool, Replica, RequestProfile};
use cypressfork_core::unit::{Millis, Time};
use cypressfork_http::client::OpenError;
use cypressfork_http::server::output::CallerBuffers;
use cypressfork_http::server::stop::StopProgress;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::group::GroupClient;
use cypressfork_node::link::Credentials;
use cypressfork_node::metric;
use cypressfork_node::poll_trigger::PollTrigger;
use cypressfork_node::time::Clock;
use metrics::{counter, gauge, histogram};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};

use super::activity::Activity;
use super::dial::{Dialer, Target};
use super::documents::Documents;
use super::limits::ReplicaLimits;
use super::notices::ReplicaSignals;
use super::origins::StreamOrigins;
use super::quarantine::QuarantineState;
use super::relay::RelayedCount;
use super::response_buffers::ResponseMemory;
use super::rollouts::RolloutTracker;
use super::settings::Settings;
use super::share::Peers;
use super::upstream::{ConnectionPool, ReplicaConnection};
use super::witness::{LostConnections, record_replica_event};
use crate::token_store::TokenStore;

/// Minimum number of uncached tokens of a prompt that is announced to other gateways. A shorter one
/// is processed, in about 20 ms, before a peer could take it into account.
const MIN_ANNOUNCED_TOKENS: u64 = 1_000;

/// Maximum delay after which the first of the refused callers is asked to retry, even if all replicas back
/// off for longer: further replicas may register in the meantime.
const MAX_EARLIEST_RETRY: Millis = Millis::seconds(10);

/// Maximum time over which the retries of refused callers are spread.
const MAX_RETRY_SPREAD: Millis = Millis::seconds(3);

/// Maximum number of replica changes that are logged one by one; a larger batch is logged as a summary.
const MAX_LOGGED_REPLICAS: usize = 8;

/// A replica picked for a request.
pub struct PickedReplica {
    /// The pool's choice.
    pub choice: Choice,
    /// The replica's id.
    pub replica: String,
    /// Its data centre.
    pub data_centre: String,
    /// The version of its software.
    pub version: String,
    /// Whether it runs the old or the new version of its service's rollout.
    pub side: Side,
}

/// The state of one gateway process.
pub struct Gateway {
    /// The settings.
    pub settings: Settings,
    /// The process's clock.
    pub clock: Clock,
    /// The credentials of this process on its links.
    pub credentials: Credentials,
    /// Client of the control group.
    pub group: GroupClient,
    /// The document in force and the fetch of a newer one.
    pub documents: Documents,
    /// Counts of ended requests and of connections to replicas.
    pub activity: Activity,
    /// Idle connections to replicas.
    pub connections: ConnectionPool,
    /// Opens connections to replicas.
    pub dialer: Dialer,
    /// Connections that this gateway relays for others.
    pub relayed: RelayedCount,
    /// Connections to replicas that were lost with a request in flight.
    pub lost_connections: LostConnections,
    /// Quarantined requests, which are sent to no replica.
    pub quarantines: QuarantineState,
    /// Rate limits of replicas.
    pub limits: ReplicaLimits,
    /// Backoffs and announced departures from replicas' response headers.
    pub signals: ReplicaSignals,
    /// Rollouts in progress.
    pub rollouts: RolloutTracker,
    /// Where streams began.
    pub origins: StreamOrigins,
    /// Position in each control process's feed of replica records.
    pub feeds: RefCell<BTreeMap<SocketAddr, FeedCursor>>,
    /// Evacuated data centres, whose replicas receive no new requests.
    pub evacuations: RefCell<Evacuations>,
    /// The control processes selected as sources of replica records.
    pub sources: RefCell<ReplicaSources>,
    /// Other gateways, and the loans of tokens between them and this one.
    pub peers: Peers,
    /// The watched control processes, each with the trigger that repeats its watch request at once.
    pub watches: RefCell<BTreeMap<SocketAddr, Rc<PollTrigger>>>,
    /// Highest number of gateways in the fleet that a control process has reported.
    pub router_count: Cell<u32>,
    /// Queue delay of this process and utilisation of its link.
    pub load_monitor: RefCell<LoadMonitor>,
    /// Bytes received from and sent to callers since the start.
    pub bytes_served: Rc<Cell<u64>>,
    /// Bytes held for callers; none if answers are read only as fast as callers read.
    pub caller_buffers: Option<Rc<CallerBuffers>>,
    /// The bytes held of responses that are not received in full.
    pub response_memory: Rc<ResponseMemory>,
    /// How far a planned stop has come.
    pub stop: StopProgress,
    /// Number of requests that are being served.
    pub active_connections: Cell<usize>,
    replicas: RefCell<ReplicaTable>,
    pools: RefCell<HashMap<String, Pool>>,
    retries: RefCell<HashMap<String, RetryBudget>>,
    /// Staggers the `Retry-After` values of callers refused because of backoffs, by service.
    retry_schedules: RefCell<HashMap<String, RetrySchedule>>,
    token_store: RefCell<Option<Rc<TokenStore>>>,
    /// Notified when a document or a registration arrives.
    changed: Notify,
    rng: RefCell<SmallRng>,
}

/// Counts a request as being served until dropped.
pub struct ActiveGuard(Rc<Gateway>);

impl ActiveGuard {
    /// Counts a request.
    pub fn new(gw: &Rc<Gateway>) -> ActiveGuard {
        gw.active_connections.set(gw.active_connections.get() + 1);
        ActiveGuard(gw.clone())
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active_connections.set(self.0.active_connections.get() - 1);
    }
}

impl Gateway {
    /// Returns a gateway without a document, replicas or a registration.
    pub fn new(
        settings: Settings,
        clock: Clock,
        credentials: Credentials,
        group: GroupClient,
    ) -> Gateway {
        let dialer = Dialer::new(clock, credentials.clone(), settings.replica_source);
        let response_memory = Rc::new(ResponseMemory::new(settings.response_buffer));
        let caller_buffers =
            settings.caller_buffer.map(|limit| Rc::new(CallerBuffers::new(clock, limit)));
        Gateway {
            settings,
            clock,
            credentials,
            group,
            documents: Documents::default(),
            activity: Activity::default(),
            connections: ConnectionPool::default(),
            dialer,
            relayed: RelayedCount::default(),
            lost_connections: LostConnections::default(),
            quarantines: QuarantineState::default(),
            limits: ReplicaLimits::default(),
            signals: ReplicaSignals::default(),
            rollouts: RolloutTracker::default(),
            origins: StreamOrigins::default(),
            feeds: RefCell::default(),
            evacuations: RefCell::default(),
            sources: RefCell::new(ReplicaSources::new(rand::random())),
            peers: Peers::default(),
            watches: RefCell::default(),
            router_count: Cell::new(0),
            load_monitor: RefCell::default(),
            bytes_served: Rc::default(),
            caller_buffers,
            response_memory,
            stop: StopProgress::default(),
            active_connections: Cell::new(0),
            replicas: RefCell::default(),
            pools: RefCell::default(),
            retries: RefCell::default(),
            retry_schedules: RefCell::default(),
            token_store: RefCell::default(),
            changed: Notify::new(),
            rng: RefCell::new(SmallRng::from_os_rng()),
        }
    }

    /// Returns the current time of the process's clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the interval between two reports of spent tokens, which depends on the number of gateways
    /// that hold tokens.
    pub fn report_interval(&self) -> Duration {
        let max = Millis(self.settings.report_interval.as_millis() as u64);
        let routers = self.router_count.get() as usize;
        let budgets = self.documents.in_force().map_or(0, |d| d.budget_count());
        let reporting = reporting_routers(self.peers.homes.area_count(), budgets, routers);
        Duration::from_millis(report_interval(reporting, max).0)
    }

    /// Returns whether the gateway accepts callers: it has a document and is not stopping.
    pub fn is_open(&self) -> bool {
        !self.stop.is_requested() && self.documents.version() > 0
    }

    /// Measures one pass of the process's task queue. Returns whether the process is too slow to accept
    /// a request. After a recent overload this also holds while it is cut off from the control processes,
    /// because its document may then be outdated.
    pub async fn is_overloaded(&self) -> bool {
        let start = Instant::now();
        yield_now().await;
        let took = start.elapsed();
        histogram!(metric::QUEUE_DELAY).record(took);
        let now = self.now();
        let mut load_monitor = self.load_monitor.borrow_mut();
        load_monitor.record_pass(now, took.as_micros() as u64);
        let cut_off = self.documents.is_cut_off(now);
        let overloaded =
            load_monitor.is_overloaded(now) || (load_monitor.was_overloaded(now) && cut_off);
        if let Some(rejected) = load_monitor.record_admission(now, overloaded) {
            emit!(
                Event::GatewayOverloaded,
                pass_ms = took.as_millis(),
                mean_us = load_monitor.mean_pass_us(now),
                link = load_monitor.link_utilisation(),
                active = self.active_connections.get(),
                hears_of_nobody = cut_off,
                refused = rejected,
            );
        }
        overloaded
    }

    /// Returns whether callers should prefer other gateways.
    pub fn is_busy(&self) -> bool {
        self.update_link_utilisation();
        self.load_monitor.borrow().is_busy(self.now())
    }

    /// Returns whether the link is too full for further connections.
    pub fn is_link_full(&self) -> bool {
        self.update_link_utilisation();
        self.load_monitor.borrow().is_link_full()
    }

    fn update_link_utilisation(&self) {
        let mut load_monitor = self.load_monitor.borrow_mut();
        load_monitor.record_bytes(self.now(), self.bytes_served.get(), self.settings.link_capacity);
        gauge!(metric::LINK_USED).set(load_monitor.link_utilisation() as f64 / 100.0);
    }

    /// Returns the tokens held under the current registration; `None` without a registration.
    pub fn token_store(&self) -> Option<Rc<TokenStore>> {
        self.token_store.borrow().clone()
    }

    /// Sets the token store of a new registration and wakes the requests that wait for one.
    pub fn set_token_store(&self, t: Rc<TokenStore>) {
        *self.token_store.borrow_mut() = Some(t);
        self.changed.notify_waiters();
    }

    /// Wakes the requests that wait for a document or a registration.
    pub fn notify_waiters(&self) {
        self.changed.notify_waiters();
    }

    /// Repeats the watch request to the control process at `address` at once.
    pub fn poll_now(&self, address: SocketAddr) {
        if let Some(t) = self.watches.borrow().get(&address) {
            t.trigger();
        }
    }

    /// Repeats the watch requests to the sources of replica records at once.
    pub fn poll_sources_now(&self) {
        let sources = self.sources.borrow();
        let all = self.watches.borrow();
        all.iter().filter(|(a, _)| sources.is_selected(**a)).for_each(|(_, t)| t.trigger());
    }

    /// Repeats the watch requests to all control processes at once.
    pub fn poll_all_now(&self) {
        self.watches.borrow().values().for_each(|t| t.trigger());
    }

    /// Returns the routes in force, waiting for the first document until `until`. Returns `None` if
    /// none arrives.
    pub async fn wait_for_routes(&self, until: Instant) -> Option<Rc<Routes>> {
        self.wait_for(until, || self.documents.in_force()).await
    }

    /// Returns the routes in force once no control process is known to have newer ones, waiting until
    /// `until`. Returns `None` if they do not arrive.
    pub async fn wait_for_newest_routes(&self, until: Instant) -> Option<Rc<Routes>> {
        let newest = || self.documents.in_force().filter(|_| !self.documents.is_behind());
        self.wait_for(until, newest).await
    }

    /// Returns the token store, waiting for a registration until `until`. Returns `None` if there is
    /// none by then.
    pub async fn wait_for_token_store(&self, until: Instant) -> Option<Rc<TokenStore>> {
        self.wait_for(until, || self.token_store()).await
    }

    async fn wait_for<T>(&self, until: Instant, get: impl Fn() -> Option<T>) -> Option<T> {
        loop {
            if let Some(found) = get() {
                return Some(found);
            }
            timeout_at(until, self.changed.notified()).await.ok()?;
        }
    }

    /// Removes and returns the token store of the current registration, so that no further request uses it.
    pub fn take_token_store(&self) -> Option<Rc<TokenStore>> {
        self.token_store.borrow_mut().take()
    }

    /// Applies replica records from a control process. [`Gateway::signals`] receives the status of replicas
    /// that are known to be draining, and reports those that the control process still has as ready.
    pub fn apply_control_records(&self, records: Vec<Record>) {
        let reported: Vec<_> =
            records.iter().map(|r| (r.registration.id.clone(), r.standing)).collect();
        self.apply_records(records);
        for (id, standing) in reported {
            let known = self.replicas.borrow().standing(&id);
            if known == Some(ReplicaStatus::Draining) {
                self.signals.record_status(&id, self.born(&id), standing);
            }
        }
    }

    /// Marks a replica as draining because one of its responses says so. Returns whether it was not
    /// known to be draining.
    pub fn mark_draining(&self, id: &str) -> bool {
        let record = self.replicas.borrow().draining_record(id);
        let is_new = record.is_some();
        self.apply_records(record.into_iter().collect());
        is_new
    }

    /// Applies replica records to the table and the pools, and logs the changes.
    fn apply_records(&self, records: Vec<Record>) {
        let now = self.now();
        let mut logged = Vec::new();
        for r in records {
            let reg = &r.registration;
            let (id, address, sequence) = (reg.id.clone(), reg.address.clone(), reg.sequence);
            let start = self.replicas.borrow().classify_start(&r);
            if start == Start::Restarted || r.standing == ReplicaStatus::Left {
                self.limits.remove(&id);
            }
            let Some((standing, changes)) = self.replicas.borrow_mut().apply(now, r.clone()) else {
                continue;
            };
            self.origins.record_replica(now, &Record { standing, ..r });
            changes.iter().for_each(|c| self.change_pool(now, c));
            self.record_replica_events(start, standing, &id, &address);
            logged.push(ReplicaChange { id, address, sequence, standing });
        }
        log_replica_changes(&logged);
    }

    /// Passes a change of a replica to the lost connections: it may show that a replica has ended.
    fn record_replica_events(
        &self,
        start: Start,
        standing: ReplicaStatus,
        id: &str,
        address: &str,
    ) {
        match (start, standing) {
            (Start::Restarted, _) => record_replica_event(self, ReplicaEvent::Restarted(id)),
            (_, ReplicaStatus::Silent) => record_replica_event(self, ReplicaEvent::Silent(id)),
            (_, ReplicaStatus::Draining | ReplicaStatus::Left) => {
                record_replica_event(self, ReplicaEvent::Leaving(id))
            }
            (Start::New, ReplicaStatus::Ready) => {
                if let Ok(address) = address.parse() {
                    record_replica_event(self, ReplicaEvent::Registered(address, id));
                }
            }
            (Start::Known, ReplicaStatus::Ready) => {}
        }
    }

    /// Records a response that says that this replica is no longer at its address. The pool stops using
    /// the address for it.
    pub fn mark_replaced(&self, id: &str) {
        record_replica_event(self, ReplicaEvent::NotThere(id));
        let change = self.replicas.borrow_mut().mark_replaced(id);
        if let Some(c) = &change {
            emit!(Event::ReplicaReplaced, replica = id, address = c.address);
            self.change_pool(self.now(), c);
        }
    }

    /// Returns the start time of a replica's current incarnation, or 0 if it is unknown.
    pub fn born(&self, replica: &str) -> u64 {
        self.replicas.borrow().born(replica)
    }

    /// Applies a change of a replica's address to the pool of its service.
    fn change_pool(&self, now: Time, c: &AddressChange) {
        let mut pools = self.pools.borrow_mut();
        let closed = || self.evacuations.borrow().data_centres.clone();
        let pool = pools.entry(c.service.clone()).or_insert_with(|| {
            let mut pool = Pool::default();
            let base = &self.settings.base;
            pool.set_location(&base.data_centre, &base.regions);
            pool.set_evacuated_data_centres(now, &closed());
            if let Some(r) = self.rollouts.rollout(&c.service) {
                pool.set_rollout(&r);
            }
            pool
        });
        match &c.upstream {
            Some((upstream, condition)) => {
                pool.upsert(now, upstream, condition);
                let limited = self.limits.has_limit(&upstream.vm.name);
                pool.set_rate_limited(now, c.address, limited);
            }
            None => {
                pool.remove(now, c.address);
                self.connections.close_all(c.address);
                self.dialer.remove(c.address);
            }
        }
    }

    /// Replaces the evacuated data centres if `received` is newer than the known list.
    pub fn apply_evacuations(&self, received: &Evacuations) {
        if !self.evacuations.borrow_mut().replace_if_newer(received) {
            return;
        }
        let now = self.now();
        for pool in self.pools.borrow_mut().values_mut() {
            pool.set_evacuated_data_centres(now, &received.data_centres);
        }
        gauge!(metric::EVACUATED).set(received.data_centres.len() as f64);
        emit!(
            Event::EvacuationListChanged,
            revision = received.revision,
            data_centres = format_args!("{:?}", received.data_centres),
        );
    }

    /// Replaces the rollouts if `received` is newer than the known list, and applies them to the pools.
    pub fn apply_rollouts(&self, received: &Rollouts) {
        for (service, r) in self.rollouts.update(received) {
            if let Some(pool) = self.pools.borrow_mut().get_mut(&service) {
                pool.set_rollout(&r);
            }
        }
    }

    /// Picks a replica for a request, except those in `tried`. Returns `None` if none is available. The
    /// caller must call [`Gateway::commit`] if it sends the request there.
    pub fn pick(
        &self,
        service: &str,
        cold_rate_limit: Option<u32>,
        profile: &mut RequestProfile,
        tried: &[SocketAddr],
    ) -> Option<PickedReplica> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(service)?;
        pool.set_cold_rate_limit(self.now(), cold_rate_limit);
        let dc = &self.settings.base.data_centre;
        let mut rng = self.rng.borrow_mut();
        pool.set_peer_count(u64::from(self.router_count.get().saturating_sub(1)));
        let mut preferences = profile.version_preference.fallbacks();
        if profile.version_preference == VersionPreference::Old && !pool.has_old_replicas() {
            // The rollout has finished, but this gateway has not received that yet.
            preferences = VersionPreference::Any.fallbacks();
        }
        let choice = preferences.iter().find_map(|preference| {
            profile.version_preference = *preference;
            pool.pick(self.now(), dc, profile, tried, &mut *rng)
        })?;
        let r = pool.get(choice.address)?;
        let vm = &r.upstream.vm;
        let (replica, data_centre) = (vm.name.clone(), vm.data_centre.clone());
        let version = r.version.clone();
        Some(PickedReplica { choice, replica, data_centre, version, side: r.side })
    }

    /// Records a request that is being sent to a replica, and announces a long prompt to other gateways.
    /// [`Gateway::finish`] must follow.
    pub fn commit(&self, service: &str, profile: &RequestProfile, c: &mut PickedReplica) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(service) {
            pool.commit(self.now(), profile, &mut c.choice);
        }
        if c.choice.uncached >= MIN_ANNOUNCED_TOKENS {
            let (service, trail) = (service.to_owned(), profile.prefixes.clone());
            let (replica, fresh) = (c.choice.address, c.choice.uncached);
            self.peers.announce_placement(self, Placement { service, replica, fresh, trail });
        }
    }

    /// Returns whether replicas of a service's software version accept work, or none of the service is known.
    pub fn may_serve_version(&self, service: &str, version: &str) -> bool {
        self.pools.borrow().get(service).is_none_or(|p| p.has_version(version))
    }

    /// Blocks requests of this priority or a lower one from a replica for `span`, because its rate limit
    /// is reached.
    pub fn block(&self, service: &str, c: &PickedReplica, span: Millis, priority: u8) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(service) {
            pool.block(self.now(), c.choice.address, span, priority);
        }
    }

    /// Returns why the replicas of a service that could serve this request are blocked, if they are.
    pub fn blocked(&self, service: &str, profile: &RequestProfile) -> Option<Blocked> {
        self.pools.borrow_mut().get_mut(service)?.blocked(self.now(), profile)
    }

    /// Returns the `Retry-After` time for a refused caller of `service` whose replicas accept no request
    /// before `first`. Successive callers are spaced at the rate at which the replicas accepted requests
    /// before.
    pub fn retry_delay(&self, service: &str, first: Millis) -> Millis {
        let accepted_per_second =
            self.pools.borrow().get(service).map_or(0, Pool::accepted_per_second);
        let first = first.min(MAX_EARLIEST_RETRY);
        let interval = Millis(1_000 / accepted_per_second.max(1));
        let max = Millis(first.0 + MAX_RETRY_SPREAD.0);
        let mut schedules = self.retry_schedules.borrow_mut();
        let schedule = schedules.entry(service.to_owned()).or_default();
        schedule.next_delay(
            self.now(),
            &RetrySpacing { earliest: first, interval, max },
            &mut *self.rng.borrow_mut(),
        )
    }

    /// Records whether a replica has a rate limit.
    pub fn set_rate_limited(&self, replica: &str, limited: bool) {
        let Some((service, address)) = self.replicas.borrow().location(replica) else { return };
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&service) else { return };
        if pool.get(address).is_some_and(|r| r.upstream.vm.name == replica) {
            pool.set_rate_limited(self.now(), address, limited);
        }
    }

    /// Starts a backoff of `span` that a replica has requested. Returns the number of this gateway's
    /// requests outstanding at the replica.
    pub fn back_off(&self, service: &str, address: SocketAddr, span: Millis) -> u32 {
        let mut pools = self.pools.borrow_mut();
        pools.get_mut(service).map_or(0, |p| p.back_off(self.now(), address, span))
    }

    /// Records that a replica has accepted a request.
    pub fn record_accepted(&self, service: &str, c: &Choice) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(service) {
            pool.record_accepted(self.now(), c);
        }
    }

    /// Returns an idle connection to a replica, or opens a new one. Idle ones that may have fallen silent are closed.
    pub async fn connect(&self, to: &Target<'_>) -> Result<ReplicaConnection, OpenError> {
        if !self.dialer.may_reuse(to.address) {
            self.connections.close_all(to.address);
        } else if let Some(c) = self.connections.take(Instant::now(), to.service, to.address) {
            return Ok(c);
        }
        self.open_connection(to).await
    }

    /// Returns the service, id and address of up to `limit` random replicas that accept work, except the one at
    /// `address`: of this service, or of all if it is `None`.
    pub fn other_replicas(
        &self,
        service: Option<&str>,
        address: SocketAddr,
        limit: usize,
    ) -> Vec<(String, String, SocketAddr)> {
        let pools = self.pools.borrow();
        let pools = pools.iter().filter(|(name, _)| service.is_none_or(|s| s == *name));
        let all = pools.flat_map(|(name, pool)| pool.iter().map(move |r| (name, r)));
        let is_other = |r: &Replica| r.upstream.address != address && !r.is_unavailable(self.now());
        all.filter(|(_, r)| is_other(r))
            .choose_multiple(&mut *self.rng.borrow_mut(), limit)
            .into_iter()
            .map(|(name, r)| (name.clone(), r.upstream.vm.name.clone(), r.upstream.address))
            .collect()
    }

    /// Opens a new connection to a replica even if there are idle ones.
    pub async fn open_connection(&self, to: &Target<'_>) -> Result<ReplicaConnection, OpenError> {
        self.dialer.open(to, || self.peers.relay_lists(), &self.activity).await
    }

    /// Returns an idle connection to the connection pool, if the replica is still at its address.
    pub fn keep_connection(
        &self,
        service: &str,
        address: SocketAddr,
        replica: &str,
        c: ReplicaConnection,
    ) {
        let pools = self.pools.borrow();
        let current = pools.get(service).and_then(|p| p.get(address));
        if current.is_some_and(|r| r.upstream.vm.name == replica) {
            self.connections.put(Instant::now(), service, address, c);
        }
    }

    /// Returns whether a request for which this replica was picked may still be sent to it: since then it
    /// has neither gone nor requested a backoff.
    pub fn may_send(&self, service: &str, address: SocketAddr, replica: &str) -> bool {
        let pools = self.pools.borrow();
        pools.get(service).is_some_and(|p| p.may_send(self.now(), address, replica))
    }

    /// Returns the replicas whose backoff is in effect, with the remaining time.
    pub fn backing_off(&self) -> Vec<(String, Millis)> {
        let pools = self.pools.borrow();
        let all = pools.values().flat_map(|p| p.backing_off(self.now()));
        all.map(|(replica, left)| (replica.to_owned(), left)).collect()
    }

    /// Returns whether at least half of a service's replicas have a backoff in effect.
    pub fn is_mostly_backing_off(&self, service: &str) -> bool {
        self.pools.borrow().get(service).is_some_and(|p| p.is_mostly_backing_off(self.now()))
    }

    /// Returns whether the backoff of the replica at `address` is in effect.
    pub fn is_backing_off(&self, service: &str, address: SocketAddr) -> bool {
        self.pools.borrow().get(service).is_some_and(|p| p.is_backing_off(self.now(), address))
    }

    /// Returns the ids of the replicas of a service that have a rate limit.
    pub fn rate_limited(&self, service: &str) -> Vec<String> {
        let pools = self.pools.borrow();
        pools.get(service).map(|p| p.rate_limited().collect()).unwrap_or_default()
    }

    /// Returns whether a replica has not left and has not restarted since its incarnation with the start
    /// time `born`.
    pub fn is_running(&self, replica: &str, born: u64) -> bool {
        self.replicas.borrow().is_running(replica, born)
    }

    /// Records that another gateway has sent a prompt to a replica.
    pub fn record_peer_placement(&self, p: &Placement) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&p.service) {
            pool.record_peer_placement(self.now(), p.replica, p.fresh, &p.trail);
        }
    }

    /// Records the time from sending a request to the first event of its response, in microseconds.
    pub fn record_first_event(&self, service: &str, c: &Choice, first_us: u64) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(service) {
            pool.record_first_event(self.now(), c, first_us);
            let seconds = Duration::from_micros(first_us);
            histogram!(metric::FIRST_TOKEN, "service" => service.to_owned()).record(seconds);
        }
    }

    /// Records the end of an attempt. A failure may eject the replica.
    pub fn finish(&self, service: &str, c: &Choice, failed: bool) {
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(service) else { return };
        if pool.finish(self.now(), c, failed) {
            emit!(Event::UpstreamEjected, service = service, address = c.address);
        }
    }

    /// Records the number of gateways in the fleet that a control process reported. The highest one counts,
    /// because a control process that has restarted does not know all of them yet.
    pub fn set_router_count(&self, reported: u32) {
        if reported <= self.router_count.get() {
            return;
        }
        self.router_count.set(reported);
        if !self.retry_share().allows_retries() {
            let extra = self.settings.retry.extra;
            emit!(Event::RetryBudgetTooSmall, routers = reported, retry_extra = extra);
        }
    }

    /// Returns this gateway's share of the fleet's retry budget, which is the same for each service.
    fn retry_share(&self) -> RetryShare {
        match self.router_count.get() {
            0 => RetryLimit { extra: 0, ..self.settings.retry }.share(1),
            // This gateway may not have been counted yet.
            routers => self.settings.retry.share(u64::from(routers) + 1),
        }
    }

    /// Updates the retry budget of a service.
    fn with_retries<T>(
        &self,
        service: &str,
        update: impl FnOnce(&mut RetryBudget, Time, &RetryShare) -> T,
    ) -> T {
        let now = self.now();
        let mut all = self.retries.borrow_mut();
        let budget = all.entry(service.to_owned()).or_insert_with(|| RetryBudget::new(now));
        update(budget, now, &self.retry_share())
    }

    /// Counts a request for a service, by which the budget of retries grows.
    pub fn count_request(&self, service: &str) {
        self.with_retries(service, RetryBudget::record_request);
    }

    /// Returns whether this gateway's share of the fleet's retry budget for a service allows a retry.
    pub fn has_retry(&self, service: &str) -> bool {
        count_refused_retry(service, self.with_retries(service, RetryBudget::has_retry))
    }

    /// Takes a retry out of this gateway's share of the fleet's retry budget for a service, right before it
    /// is sent: a retry that is sent later than it is taken could fall into another window. Returns whether
    /// the budget allows it.
    pub fn take_retry(&self, service: &str) -> bool {
        count_refused_retry(service, self.with_retries(service, RetryBudget::try_take))
    }

    /// Returns the number of retries that are left for a service, for logs.
    pub fn retries_left(&self, service: &str) -> String {
        self.with_retries(service, |budget, _, _| budget.to_string())
    }
}

/// Counts a retry that the budget does not allow, and returns whether it is allowed.
fn count_refused_retry(service: &str, allowed: bool) -> bool {
    if !allowed {
        counter!(metric::RETRIES_REFUSED, "service" => service.to_owned()).increment(1);
    }
    allowed
}

/// A change of one replica, for the log.
struct ReplicaChange {
    id: String,
    address: String,
    sequence: u64,
    standing: ReplicaStatus,
}

/// Logs changes of replicas: a few of them one by one, a larger batch as one summary.
fn log_replica_changes(changes: &[ReplicaChange]) {
    if changes.len() <= MAX_LOGGED_REPLICAS {
        for c in changes {
            emit!(
                Event::ReplicaChanged,
                replica = c.id,
                address = c.address,
                standing = format_args!("{:?}", c.standing),
                sequence = c.sequence,
            );
        }
        return;
    }
    let ready = changes.iter().filter(|c| c.standing == ReplicaStatus::Ready).count();
    let first = changes.first().map_or("", |c| &c.id);
    let last = changes.last().map_or("", |c| &c.id);
    emit!(
        Event::ReplicasChanged,
        changed = changes.len(),
        ready = ready,
        first = first,
        last = last
    );
}
