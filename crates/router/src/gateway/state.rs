//! What all requests of a gateway share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::budget::report_interval;
use cypressfork_core::fleet::ends::ReplicaEvent;
use cypressfork_core::fleet::evacuation::Evacuations;
use cypressfork_core::fleet::pace::LoadMonitor;
use cypressfork_core::fleet::registry::{Record, ReplicaStatus};
use cypressfork_core::fleet::replicas::{AddressChange, ReplicaTable, Start};
use cypressfork_core::fleet::retry::RetryWindow;
use cypressfork_core::fleet::rollout::Rollouts;
use cypressfork_core::fleet::rollout::split::{Side, VersionPreference};
use cypressfork_core::fleet::routes::Routes;
use cypressfork_core::fleet::share::Placement;
use cypressfork_core::fleet::sources::ReplicaSources;
use cypressfork_core::fleet::watch::FeedCursor;
use cypressfork_core::route::turns::{RetrySchedule, RetrySpacing};
use cypressfork_core::route::{Blocked, Choice, Pool, RequestProfile};
use cypressfork_core::unit::{Millis, Time};
use cypressfork_http::client::Connection;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::group::Group;
use cypressfork_node::link::Credentials;
use cypressfork_node::metric;
use cypressfork_node::time::Clock;
use cypressfork_node::urge::Urge;
use metrics::{counter, gauge, histogram};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};

use super::documents::Documents;
use super::limits::Limits;
use super::notices::Notices;
use super::quarantine::Quarantines;
use super::rollouts::Trials;
use super::settings::Settings;
use super::share::Share;
use super::upstream::Connections;
use super::witness::{Witness, take_replica_event};
use crate::token_store::TokenStore;

/// Prompts of which a replica has to read so many tokens are told to other gateways. Reading fewer
/// takes some 20 ms of the engines met so far, which is over when a peer could reckon with it.
const TELL_TOKENS: u64 = 1_000;

/// The longest after which a caller is told that a replica takes requests again, however long it rests:
/// others may have come until then.
const FIRST_MOST: Millis = Millis::seconds(10);

/// Callers that were refused come back spread over so long at most.
const SPREAD_MOST: Millis = Millis::seconds(3);

/// Replicas whose news are logged one by one; more that come together share a line.
const TOLD_EACH: usize = 8;

/// A replica that was picked for a request.
pub struct Chosen {
    /// The choice.
    pub choice: Choice,
    /// The replica's id.
    pub replica: String,
    /// Its data centre.
    pub data_centre: String,
    /// The side of its service's roll-out that it is on.
    pub side: Side,
}

/// What all requests share.
pub struct Gateway {
    /// The settings.
    pub settings: Settings,
    /// The process's clock.
    pub clock: Clock,
    /// Who this process is on its links.
    pub me: Credentials,
    /// The control group.
    pub group: Group,
    /// The document in force, and the one that is on its way.
    pub documents: Documents,
    /// Connections to replicas.
    pub connections: Connections,
    /// The replicas whose connections have ended.
    pub witness: Witness,
    /// Requests that are sent to no replica.
    pub quarantines: Quarantines,
    /// The limits that replicas name.
    pub limits: Limits,
    /// What replicas said in their answers.
    pub notices: Notices,
    /// Services that move to another version.
    pub trials: Trials,
    /// How far each control process is followed.
    pub feeds: RefCell<BTreeMap<SocketAddr, FeedCursor>>,
    /// The data centres whose replicas get no new work.
    pub evacuations: RefCell<Evacuations>,
    /// The control processes that tell of replicas.
    pub sources: RefCell<ReplicaSources>,
    /// Other gateways that lend tokens.
    pub share: Share,
    /// The control processes that are followed, and the wish to ask one of them at once.
    pub following: RefCell<BTreeMap<SocketAddr, Rc<Urge>>>,
    /// Routers of the fleet, as far as is known.
    pub routers: Cell<u32>,
    /// How far it is behind with its own work.
    pub load_monitor: RefCell<LoadMonitor>,
    /// Bytes from and to callers since the start.
    pub served: Rc<Cell<u64>>,
    /// A planned stop is under way.
    pub stopping: Cell<bool>,
    /// Connections with a request under way.
    pub active: Cell<usize>,
    replicas: RefCell<ReplicaTable>,
    pools: RefCell<HashMap<String, Pool>>,
    /// When the process started.
    started: Time,
    retries: RefCell<HashMap<String, RetryWindow>>,
    /// When the next caller of each service is told to come back that was refused for rests.
    turns: RefCell<HashMap<String, RetrySchedule>>,
    token_store: RefCell<Option<Rc<TokenStore>>>,
    /// Notified when a document or a registration has come.
    learned: Notify,
    rng: RefCell<SmallRng>,
}

impl Gateway {
    /// A gateway that knows nothing yet.
    pub fn new(settings: Settings, clock: Clock, me: Credentials, group: Group) -> Gateway {
        Gateway {
            settings,
            clock,
            me,
            group,
            documents: Documents::default(),
            connections: Connections::default(),
            witness: Witness::default(),
            quarantines: Quarantines::default(),
            limits: Limits::default(),
            notices: Notices::default(),
            trials: Trials::default(),
            feeds: RefCell::default(),
            evacuations: RefCell::default(),
            sources: RefCell::new(ReplicaSources::new(rand::random())),
            share: Share::default(),
            following: RefCell::default(),
            routers: Cell::new(0),
            load_monitor: RefCell::default(),
            served: Rc::default(),
            stopping: Cell::new(false),
            active: Cell::new(0),
            replicas: RefCell::default(),
            pools: RefCell::default(),
            started: clock.now(),
            retries: RefCell::default(),
            turns: RefCell::default(),
            token_store: RefCell::default(),
            learned: Notify::new(),
            rng: RefCell::new(SmallRng::from_os_rng()),
        }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The time between two reports of what was spent.
    pub fn report_every(&self) -> Duration {
        let most = Millis(self.settings.report.as_millis() as u64);
        Duration::from_millis(report_interval(u64::from(self.routers.get()), most).0)
    }

    /// Whether callers are taken.
    pub fn is_open(&self) -> bool {
        !self.stopping.get() && self.documents.held() > 0
    }

    /// Measures a pass of the process's queue. Whether it is too far behind to take a request: also
    /// where it hears of nobody because of that, and may not know what is in force.
    pub async fn is_overloaded(&self) -> bool {
        let begun = Instant::now();
        yield_now().await;
        let took = begun.elapsed();
        histogram!(metric::PASS).record(took);
        let now = self.now();
        let mut load_monitor = self.load_monitor.borrow_mut();
        load_monitor.record_pass(now, took.as_micros() as u64);
        let cut_off = self.documents.is_cut_off(now);
        let overloaded =
            load_monitor.is_overloaded(now) || (load_monitor.was_overloaded(now) && cut_off);
        if let Some(refused) = load_monitor.record_admission(now, overloaded) {
            emit!(
                Event::GatewayBehind,
                pass_ms = took.as_millis(),
                mean_us = load_monitor.mean_pass_us(now),
                link = load_monitor.link_utilisation(),
                active = self.active.get(),
                hears_of_nobody = cut_off,
                refused = refused,
            );
        }
        overloaded
    }

    /// Whether callers are better off elsewhere.
    pub fn is_busy(&self) -> bool {
        self.look_at_link();
        self.load_monitor.borrow().is_busy(self.now())
    }

    /// Whether there is no room for what further callers would send.
    pub fn is_full(&self) -> bool {
        self.look_at_link();
        self.load_monitor.borrow().is_link_full()
    }

    fn look_at_link(&self) {
        let mut load_monitor = self.load_monitor.borrow_mut();
        load_monitor.record_bytes(self.now(), self.served.get(), self.settings.link_capacity);
        gauge!(metric::LINK_USED).set(load_monitor.link_utilisation() as f64 / 100.0);
    }

    /// The tokens in hand under the present registration.
    pub fn token_store(&self) -> Option<Rc<TokenStore>> {
        self.token_store.borrow().clone()
    }

    /// Takes the tokens of a new registration into use.
    pub fn set_token_store(&self, t: Rc<TokenStore>) {
        *self.token_store.borrow_mut() = Some(t);
        self.learned.notify_waiters();
    }

    /// Wakes the requests that wait for a document or a registration.
    pub fn notify(&self) {
        self.learned.notify_waiters();
    }

    /// Has the control process at `address` asked at once.
    pub fn urge(&self, address: SocketAddr) {
        if let Some(u) = self.following.borrow().get(&address) {
            u.wish();
        }
    }

    /// Has the control processes asked at once that tell of replicas.
    pub fn urge_sources(&self) {
        let sources = self.sources.borrow();
        let all = self.following.borrow();
        all.iter().filter(|(a, _)| sources.is_selected(**a)).for_each(|(_, u)| u.wish());
    }

    /// Has all control processes asked at once.
    pub fn urge_all(&self) {
        self.following.borrow().values().for_each(|u| u.wish());
    }

    /// The document in force, waiting for the first one until `until` at most.
    pub async fn wait_for_routes(&self, until: Instant) -> Option<Rc<Routes>> {
        self.wait_for(until, || self.documents.in_force()).await
    }

    /// The document in force once nobody tells of a newer one, waiting until `until` at most.
    pub async fn wait_for_newest_routes(&self, until: Instant) -> Option<Rc<Routes>> {
        let newest = || self.documents.in_force().filter(|_| !self.documents.is_behind());
        self.wait_for(until, newest).await
    }

    /// The tokens in hand, waiting for a registration until `until` at most.
    pub async fn wait_for_token_store(&self, until: Instant) -> Option<Rc<TokenStore>> {
        self.wait_for(until, || self.token_store()).await
    }

    async fn wait_for<T>(&self, until: Instant, get: impl Fn() -> Option<T>) -> Option<T> {
        loop {
            if let Some(found) = get() {
                return Some(found);
            }
            timeout_at(until, self.learned.notified()).await.ok()?;
        }
    }

    /// Gives up the tokens of the present registration: no request gets any of them any more.
    pub fn take_token_store(&self) -> Option<Rc<TokenStore>> {
        self.token_store.borrow_mut().take()
    }

    /// Takes what a control process says of replicas. It is told if it takes one for ready that leaves.
    pub fn take_replicas(&self, said: Vec<Record>) {
        let words: Vec<_> = said.iter().map(|r| (r.registration.id.clone(), r.standing)).collect();
        self.apply_replicas(said);
        for (id, standing) in words {
            let known = self.replicas.borrow().standing(&id);
            if known == Some(ReplicaStatus::Draining) {
                self.notices.told(&id, self.born(&id), standing);
            }
        }
    }

    /// Takes a replica's own word that it leaves. Returns whether that was not known.
    pub fn replica_leaves(&self, id: &str) -> bool {
        let record = self.replicas.borrow().draining_record(id);
        let is_news = record.is_some();
        self.apply_replicas(record.into_iter().collect());
        is_news
    }

    fn apply_replicas(&self, said: Vec<Record>) {
        let now = self.now();
        let mut news = Vec::new();
        for r in said {
            let g = &r.registration;
            let (id, address, sequence) = (g.id.clone(), g.address.clone(), g.sequence);
            let start = self.replicas.borrow().classify_start(&r);
            if start == Start::Restarted || r.standing == ReplicaStatus::Left {
                self.limits.forget(&id);
            }
            let Some((standing, changes)) = self.replicas.borrow_mut().apply(now, r) else {
                continue;
            };
            changes.iter().for_each(|c| self.change_pool(now, c));
            self.take_replica_events(start, standing, &id, &address);
            news.push(ReplicaNews { id, address, sequence, standing });
        }
        tell_replicas(&news);
    }

    /// Takes what news of a replica say of one whose connections were lost.
    fn take_replica_events(&self, start: Start, standing: ReplicaStatus, id: &str, address: &str) {
        match (start, standing) {
            (Start::Restarted, _) => take_replica_event(self, ReplicaEvent::Restarted(id)),
            (_, ReplicaStatus::Silent) => take_replica_event(self, ReplicaEvent::Silent(id)),
            (_, ReplicaStatus::Draining | ReplicaStatus::Left) => {
                take_replica_event(self, ReplicaEvent::Leaving(id))
            }
            (Start::New, ReplicaStatus::Ready) => {
                if let Ok(address) = address.parse() {
                    take_replica_event(self, ReplicaEvent::Registered(address, id));
                }
            }
            (Start::Known, ReplicaStatus::Ready) => {}
        }
    }

    /// Takes an answer that says that this replica is not at its address any more.
    pub fn replica_not_there(&self, id: &str) {
        take_replica_event(self, ReplicaEvent::NotThere(id));
        let change = self.replicas.borrow_mut().mark_replaced(id);
        if let Some(c) = &change {
            emit!(Event::ReplicaReplaced, replica = id, address = c.address);
            self.change_pool(self.now(), c);
        }
    }

    /// When the present life of a replica began; 0 if that is not known.
    pub fn born(&self, replica: &str) -> u64 {
        self.replicas.borrow().born(replica)
    }

    fn change_pool(&self, now: Time, c: &AddressChange) {
        let mut pools = self.pools.borrow_mut();
        let closed = || self.evacuations.borrow().data_centres.clone();
        let pool = pools.entry(c.service.clone()).or_insert_with(|| {
            let mut pool = Pool::default();
            let base = &self.settings.base;
            pool.set_location(&base.data_centre, &base.regions);
            pool.set_closed_data_centres(now, &closed());
            if let Some(r) = self.trials.of(&c.service) {
                pool.set_rollout(&r);
            }
            pool
        });
        match &c.upstream {
            Some((upstream, condition)) => {
                pool.upsert(now, upstream, condition);
                let limited = self.limits.names_one(&upstream.vm.name);
                pool.set_rate_limited(now, c.address, limited);
            }
            None => {
                pool.remove(now, c.address);
                self.connections.forget(c.address);
            }
        }
    }

    /// Takes what is said of evacuated data centres, unless it knows as new a word.
    pub fn take_evacuations(&self, told: &Evacuations) {
        if !self.evacuations.borrow_mut().merge(told) {
            return;
        }
        let now = self.now();
        for pool in self.pools.borrow_mut().values_mut() {
            pool.set_closed_data_centres(now, &told.data_centres);
        }
        gauge!(metric::EVACUATED).set(told.data_centres.len() as f64);
        emit!(
            Event::EvacuationsSeen,
            revision = told.revision,
            data_centres = format_args!("{:?}", told.data_centres),
        );
    }

    /// Takes what is said of roll-outs, unless it knows as new a word.
    pub fn take_rollouts(&self, told: &Rollouts) {
        for (service, r) in self.trials.take(told) {
            if let Some(pool) = self.pools.borrow_mut().get_mut(&service) {
                pool.set_rollout(&r);
            }
        }
    }

    /// Picks a replica for a request; it is sent with [`Gateway::commit`], if at all.
    pub fn pick(
        &self,
        service: &str,
        cold_bound: Option<u32>,
        work: &mut RequestProfile,
        tried: &[SocketAddr],
    ) -> Option<Chosen> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(service)?;
        pool.set_cold_rate_limit(self.now(), cold_bound);
        let dc = &self.settings.base.data_centre;
        let mut rng = self.rng.borrow_mut();
        pool.set_peer_count(u64::from(self.routers.get().saturating_sub(1)));
        let mut ways = work.version_preference.fallbacks();
        if work.version_preference == VersionPreference::Old && !pool.has_old_replicas() {
            // It has moved without this gateway's hearing of it.
            ways = VersionPreference::Any.fallbacks();
        }
        let choice = ways.iter().find_map(|way| {
            work.version_preference = *way;
            pool.pick(self.now(), dc, work, tried, &mut *rng)
        })?;
        let r = pool.get(choice.address)?;
        let vm = &r.upstream.vm;
        let (replica, data_centre) = (vm.name.clone(), vm.data_centre.clone());
        Some(Chosen { choice, replica, data_centre, side: r.side })
    }

    /// Counts a request that goes to a replica, and tells other gateways of a long prompt;
    /// [`Gateway::done`] must follow.
    pub fn commit(&self, service: &str, work: &RequestProfile, c: &mut Chosen) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(service) {
            pool.commit(self.now(), work, &mut c.choice);
        }
        if c.choice.uncached >= TELL_TOKENS {
            let (service, trail) = (service.to_owned(), work.prefixes.clone());
            let (replica, fresh) = (c.choice.address, c.choice.uncached);
            self.share.tell(self, Placement { service, replica, fresh, trail });
        }
    }

    /// Keeps requests that are no more urgent than this from a replica for `span`: its limit is reached.
    pub fn bar(&self, service: &str, c: &Chosen, span: Millis, priority: u8) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(service) {
            pool.block(self.now(), c.choice.address, span, priority);
        }
    }

    /// What keeps this work away from the replicas of a service that could do it.
    pub fn held_back(&self, service: &str, work: &RequestProfile) -> Option<Blocked> {
        self.pools.borrow_mut().get_mut(service)?.blocked(self.now(), work)
    }

    /// When a caller is to come back that replicas of `service` want no request of before `first`. Callers
    /// come back one after the other, as fast as replicas let requests in before.
    pub fn come_back(&self, service: &str, first: Millis) -> Millis {
        let let_in = self.pools.borrow().get(service).map_or(0, Pool::accepted_per_second);
        let first = first.min(FIRST_MOST);
        let each = Millis(1_000 / let_in.max(1));
        let most = Millis(first.0 + SPREAD_MOST.0);
        let mut turns = self.turns.borrow_mut();
        let turns = turns.entry(service.to_owned()).or_default();
        turns.next_delay(
            self.now(),
            &RetrySpacing { earliest: first, interval: each, max: most },
            &mut *self.rng.borrow_mut(),
        )
    }

    /// Notes whether a replica names a limit.
    pub fn set_limited(&self, replica: &str, limited: bool) {
        let Some((service, address)) = self.replicas.borrow().location(replica) else { return };
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&service) else { return };
        if pool.get(address).is_some_and(|r| r.upstream.vm.name == replica) {
            pool.set_rate_limited(self.now(), address, limited);
        }
    }

    /// Takes a replica's word that it wants nothing from this gateway for `span`. Returns how many of its
    /// requests the replica has then.
    pub fn rest(&self, service: &str, address: SocketAddr, span: Millis) -> u32 {
        let mut pools = self.pools.borrow_mut();
        pools.get_mut(service).map_or(0, |p| p.back_off(self.now(), address, span))
    }

    /// Notes that a replica has let a request in.
    pub fn let_in(&self, service: &str, c: &Choice) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(service) {
            pool.record_accepted(self.now(), c);
        }
    }

    /// Keeps a connection to a replica for its next request, if it gets any.
    pub fn keep(&self, service: &str, address: SocketAddr, replica: &str, c: Connection) {
        let pools = self.pools.borrow();
        let there = pools.get(service).and_then(|p| p.get(address));
        if there.is_some_and(|r| r.upstream.vm.name == replica) {
            self.connections.put(Instant::now(), address, c);
        }
    }

    /// Whether what was chosen for this replica may still be sent there: it has neither gone nor asked for
    /// rest since.
    pub fn may_send(&self, service: &str, address: SocketAddr, replica: &str) -> bool {
        let pools = self.pools.borrow();
        pools.get(service).is_some_and(|p| p.may_send(self.now(), address, replica))
    }

    /// Replicas that want nothing from this gateway now, and for how much longer.
    pub fn resting(&self) -> Vec<(String, Millis)> {
        let pools = self.pools.borrow();
        let all = pools.values().flat_map(|p| p.backing_off(self.now()));
        all.map(|(replica, left)| (replica.to_owned(), left)).collect()
    }

    /// Whether half of the replicas of a service or more want nothing from this gateway now.
    pub fn is_mostly_resting(&self, service: &str) -> bool {
        self.pools.borrow().get(service).is_some_and(|p| p.is_mostly_backing_off(self.now()))
    }

    /// Whether a replica wants nothing from this gateway now.
    pub fn is_resting(&self, service: &str, address: SocketAddr) -> bool {
        self.pools.borrow().get(service).is_some_and(|p| p.is_backing_off(self.now(), address))
    }

    /// The replicas of a service that name a limit.
    pub fn limited_of(&self, service: &str) -> Vec<String> {
        let pools = self.pools.borrow();
        pools.get(service).map(|p| p.rate_limited().collect()).unwrap_or_default()
    }

    /// Whether a replica is there, in this life of it or one that is not told apart.
    pub fn is_running(&self, replica: &str, born: u64) -> bool {
        self.replicas.borrow().is_running(replica, born)
    }

    /// Takes another gateway's word that it has sent a prompt to a replica.
    pub fn placed(&self, p: &Placement) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&p.service) {
            pool.record_peer_placement(self.now(), p.replica, p.fresh, &p.trail);
        }
    }

    /// Learns from the time to the first event.
    pub fn learn(&self, service: &str, c: &Choice, first_us: u64) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(service) {
            pool.record_first_event(self.now(), c, first_us);
            let seconds = Duration::from_micros(first_us);
            histogram!(metric::FIRST_TOKEN, "service" => service.to_owned()).record(seconds);
        }
    }

    /// Notes the end of an attempt.
    pub fn done(&self, service: &str, c: &Choice, failed: bool) {
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(service) else { return };
        if pool.finish(self.now(), c, failed) {
            emit!(Event::UpstreamEjected, service = service, address = c.address);
        }
    }

    /// Counts a request for a service.
    pub fn count_request(&self, service: &str) {
        let mut all = self.retries.borrow_mut();
        let window =
            all.entry(service.to_owned()).or_insert_with(|| RetryWindow::new(self.started));
        window.record_request(self.now(), &self.settings.retry);
    }

    /// Takes a retry out of this router's part of the fleet's budget.
    pub fn take_retry(&self, service: &str) -> bool {
        let routers = u64::from(self.routers.get());
        let mut bound = self.settings.retry;
        if routers == 0 {
            bound.extra = 0;
        }
        let mut all = self.retries.borrow_mut();
        let window =
            all.entry(service.to_owned()).or_insert_with(|| RetryWindow::new(self.started));
        let taken = window.try_take(self.now(), &bound, routers + 1);
        if !taken {
            counter!(metric::RETRIES_REFUSED, "service" => service.to_owned()).increment(1);
        }
        taken
    }
}

/// News of one replica, for the log.
struct ReplicaNews {
    id: String,
    address: String,
    sequence: u64,
    standing: ReplicaStatus,
}

/// Logs news of replicas: each of a few, and how many there are of more, as when a fleet starts.
fn tell_replicas(news: &[ReplicaNews]) {
    if news.len() <= TOLD_EACH {
        for n in news {
            emit!(
                Event::ReplicaChanged,
                replica = n.id,
                address = n.address,
                standing = format_args!("{:?}", n.standing),
                sequence = n.sequence,
            );
        }
        return;
    }
    let ready = news.iter().filter(|n| n.standing == ReplicaStatus::Ready).count();
    let first = news.first().map_or("", |n| &n.id);
    let last = news.last().map_or("", |n| &n.id);
    emit!(Event::ReplicasChanged, changed = news.len(), ready = ready, first = first, last = last);
}
