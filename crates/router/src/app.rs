//! State shared by all requests of a router.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::{Client, Connector};
use cypressfork_core::config::Service;
use cypressfork_core::fleet::retry::{RetryBudget, RetryShare};
use cypressfork_core::query::Site;
use cypressfork_core::route::{Choice, ListedState, Pool, RequestProfile, VmTracker};
use cypressfork_http::server::stop::StopProgress;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::group::GroupClient;
use cypressfork_node::time::Clock;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::config_index::ConfigIndex;
use crate::queue::Queue;
use crate::settings::Settings;
use crate::token_store::TokenStore;
use crate::trace::Exporter;

/// Timeout for connecting to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The most concurrent calls per replica of a plain service.
const PLAIN_SLOTS_PER_REPLICA: u32 = 64;

/// The most calls of a plain service that one router queues.
const MAX_QUEUED_PLAIN_CALLS: u32 = 256;

/// The retries of one service: one for every five requests, of which up to twenty are saved, and twenty at the start.
const RETRY_SHARE: RetryShare = RetryShare::single(20, 20);

/// State shared by all requests.
pub struct App {
    /// The settings.
    pub settings: Settings,
    /// The monotonic clock of this process.
    pub clock: Clock,
    /// Client of the control group.
    pub group: GroupClient,
    /// Client of the process that keeps the data centre's budget reserve, if one is configured.
    pub reserve: Option<GroupClient>,
    /// Writes traces, if enabled.
    pub exporter: Option<Exporter>,
    /// The current configuration.
    pub config: RefCell<ConfigIndex>,
    /// The replicas of each service, by service name.
    pub pools: RefCell<HashMap<String, Pool>>,
    queues: RefCell<HashMap<String, Rc<Queue>>>,
    vms: RefCell<VmTracker>,
    retries: RefCell<HashMap<String, RetryBudget>>,
    /// The routers of the region, listed in responses of `/v1/entry`.
    pub sites: RefCell<Vec<Site>>,
    /// HTTP client with keep-alive, for requests that may be sent again.
    pub pooled_client: Client,
    /// HTTP client without keep-alive, for requests that may run at most once. A replica can
    /// close a reused connection while a request is being sent, which leaves unknown whether it
    /// ran.
    pub unpooled_client: Client,
    /// How far a planned stop has come.
    pub stop: Rc<StopProgress>,
    /// Whether the control group has confirmed the configuration since this process started.
    pub ready: Cell<bool>,
    /// Number of active requests.
    pub active: Cell<usize>,
    token_store: RefCell<Option<Rc<TokenStore>>>,
    rng: RefCell<SmallRng>,
    run_count: Cell<u64>,
}

fn build_client(keep_alive: Duration) -> Client {
    let c = Connector::new().timeout(CONNECT_TIMEOUT).conn_keep_alive(keep_alive).limit(0);
    Client::builder().connector(c).disable_timeout().disable_redirects().finish()
}

impl App {
    /// Creates the state of a router without configuration or registration.
    pub fn new(
        settings: Settings,
        clock: Clock,
        group: GroupClient,
        reserve: Option<GroupClient>,
        exporter: Option<Exporter>,
    ) -> App {
        App {
            settings,
            clock,
            group,
            reserve,
            exporter,
            config: RefCell::default(),
            pools: RefCell::default(),
            queues: RefCell::default(),
            vms: RefCell::default(),
            retries: RefCell::default(),
            sites: RefCell::default(),
            pooled_client: build_client(Duration::from_secs(15)),
            unpooled_client: build_client(Duration::ZERO),
            stop: Rc::default(),
            ready: Cell::new(false),
            active: Cell::new(0),
            token_store: RefCell::default(),
            rng: RefCell::new(SmallRng::from_os_rng()),
            run_count: Cell::new(0),
        }
    }

    /// Returns the token store of the current registration, or `None` before the first one.
    pub fn token_store(&self) -> Option<Rc<TokenStore>> {
        self.token_store.borrow().clone()
    }

    /// Replaces the token store after a new registration. Returns the previous one.
    pub fn set_token_store(&self, store: Rc<TokenStore>) -> Option<Rc<TokenStore>> {
        self.token_store.borrow_mut().replace(store)
    }

    /// Returns a run number that is unique across the requests of this registration: the holder's
    /// id in the upper half, a counter in the lower.
    pub fn next_run_id(&self) -> u64 {
        self.run_count.set(self.run_count.get() + 1);
        let holder = self.token_store().map_or(0, |store| store.holder().0);
        (holder << 32) | self.run_count.get()
    }

    /// Returns a random number, for example for a request id.
    pub fn random_u128(&self) -> u128 {
        self.rng.borrow_mut().random()
    }

    /// Updates the pools and queues from the services of the current configuration and removes
    /// those of deleted services.
    pub fn refresh_services(&self) {
        let config = self.config.borrow();
        let mut pools = self.pools.borrow_mut();
        let mut queues = self.queues.borrow_mut();
        let now = self.clock.now();
        pools.retain(|name, _| config.services().any(|(n, _)| n == name));
        queues.retain(|name, _| config.services().any(|(n, _)| n == name));
        for (name, s) in config.services() {
            let (slots, queue_limit) = match s {
                Service::Model(m) => (m.slots, m.queue),
                Service::Plain(_) => (PLAIN_SLOTS_PER_REPLICA, MAX_QUEUED_PLAIN_CALLS),
            };
            let pool = pools.entry(name.to_owned()).or_default();
            pool.set_upstreams(now, s.upstreams(), slots);
            let limit = slots.saturating_mul(s.upstreams().len() as u32);
            let new_queue = || Rc::new(Queue::new(self.clock, limit, queue_limit));
            queues.entry(name.to_owned()).or_insert_with(new_queue).set_limits(limit, queue_limit);
            self.update_leaving(pool);
        }
    }

    fn update_leaving(&self, pool: &mut Pool) {
        let vms = self.vms.borrow();
        let names: Vec<_> = pool.iter().map(|r| r.upstream.vm.name.clone()).collect();
        let now = self.clock.now();
        names.iter().for_each(|vm| pool.set_leaving(now, vm, vms.is_leaving(vm)));
    }

    /// Applies the platform's list of VMs: replicas on leaving VMs get no new requests.
    pub fn observe_vms(&self, list: &BTreeMap<String, ListedState>) {
        let changes = self.vms.borrow_mut().observe(self.clock.now(), list);
        for (vm, leaving) in &changes {
            let event = if *leaving { Event::UpstreamLeaving } else { Event::UpstreamNotLeaving };
            emit!(event, vm = vm);
        }
        if !changes.is_empty() {
            self.pools.borrow_mut().values_mut().for_each(|p| self.update_leaving(p));
        }
    }

    /// Returns the queue of a service, or `None` if the service is unknown.
    pub fn queue(&self, service: &str) -> Option<Rc<Queue>> {
        self.queues.borrow().get(service).cloned()
    }

    /// Chooses a replica of a service that is not in `tried`. Each choice must be completed by
    /// [`App::record_end`]. Returns `None` if no replica is available.
    pub fn choose(
        &self,
        service: &str,
        profile: &RequestProfile,
        tried: &[SocketAddr],
    ) -> Option<Choice> {
        let mut pools = self.pools.borrow_mut();
        let dc = &self.settings.base.data_centre;
        let mut rng = self.rng.borrow_mut();
        pools.get_mut(service)?.choose(self.clock.now(), dc, profile, tried, &mut *rng)
    }

    /// Returns whether a request may be sent after `tries` earlier tries. The first try is always
    /// allowed; each retry takes one from the service's retry budget and is refused if it is empty.
    pub fn allow_send(&self, service: &str, tries: usize) -> bool {
        let now = self.clock.now();
        let mut all = self.retries.borrow_mut();
        let budget =
            all.entry(service.to_owned()).or_insert_with(|| RetryBudget::full(now, &RETRY_SHARE));
        if tries > 0 {
            return budget.try_take(now, &RETRY_SHARE);
        }
        budget.record_request(now, &RETRY_SHARE);
        true
    }

    /// Records the time to the first token of a request, which later choices of a replica use.
    pub fn record_first_token(&self, service: &str, c: &Choice, first: Duration) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(service) {
            pool.record_first_event(self.clock.now(), c, first.as_micros() as u64);
        }
    }

    /// Records the end of a request on the replica chosen for it. A failure may eject the replica.
    pub fn record_end(&self, service: &str, c: &Choice, failed: bool) {
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(service) else { return };
        if pool.finish(self.clock.now(), c, failed) {
            emit!(Event::UpstreamEjected, service = service, address = c.address);
        }
    }
}

/// Guard that counts a request as active until it is dropped.
pub struct ActiveRequest(Rc<App>);

impl ActiveRequest {
    /// Increments the number of active requests.
    pub fn new(app: &Rc<App>) -> ActiveRequest {
        app.active.set(app.active.get() + 1);
        ActiveRequest(app.clone())
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}
