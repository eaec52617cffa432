//! What all requests of a router share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::{Client, Connector};
use cypressfork_core::config::Service;
use cypressfork_core::query::Site;
use cypressfork_core::route::{Choice, ListedState, Pool, RequestProfile, RetryBudget, VmTracker};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::group::Group;
use cypressfork_node::time::Clock;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::queue::Queue;
use crate::settings::Settings;
use crate::token_store::TokenStore;
use crate::trace::Exporter;
use crate::view::View;

/// How long an upstream may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Calls that one replica of a plain service runs at once.
const PLAIN_SLOTS: u32 = 64;

/// Calls of a plain service that wait at one router.
const PLAIN_QUEUE: u32 = 256;

/// What all requests share.
pub struct App {
    /// The settings.
    pub settings: Settings,
    /// The process's clock.
    pub clock: Clock,
    /// The control group.
    pub group: Group,
    /// Who keeps the data centre's reserve.
    pub reserve: Option<Group>,
    /// Where traces go.
    pub exporter: Option<Exporter>,
    /// The configuration in force.
    pub view: RefCell<View>,
    /// The replicas of each service.
    pub pools: RefCell<HashMap<String, Pool>>,
    queues: RefCell<HashMap<String, Rc<Queue>>>,
    vms: RefCell<VmTracker>,
    retries: RefCell<HashMap<String, RetryBudget>>,
    /// The routers of the region.
    pub sites: RefCell<Vec<Site>>,
    /// Connections to engines and for calls that may be repeated.
    pub client: Client,
    /// Fresh connections for calls that may run at most once: a connection kept open might have
    /// been closed by the other side unseen, and then nobody knows whether the call ran.
    pub once_client: Client,
    /// A planned stop is under way.
    pub draining: Cell<bool>,
    /// The configuration was confirmed since the start.
    pub ready: Cell<bool>,
    /// Requests under way.
    pub active: Cell<usize>,
    token_store: RefCell<Option<Rc<TokenStore>>>,
    rng: RefCell<SmallRng>,
    runs: Cell<u64>,
}

fn client(keep: Duration) -> Client {
    let c = Connector::new().timeout(CONNECT_TIMEOUT).conn_keep_alive(keep).limit(0);
    Client::builder().connector(c).disable_timeout().disable_redirects().finish()
}

impl App {
    /// A router that knows nothing yet.
    pub fn new(
        settings: Settings,
        clock: Clock,
        group: Group,
        reserve: Option<Group>,
        exporter: Option<Exporter>,
    ) -> App {
        App {
            settings,
            clock,
            group,
            reserve,
            exporter,
            view: RefCell::default(),
            pools: RefCell::default(),
            queues: RefCell::default(),
            vms: RefCell::default(),
            retries: RefCell::default(),
            sites: RefCell::default(),
            client: client(Duration::from_secs(15)),
            once_client: client(Duration::ZERO),
            draining: Cell::new(false),
            ready: Cell::new(false),
            active: Cell::new(0),
            token_store: RefCell::default(),
            rng: RefCell::new(SmallRng::from_os_rng()),
            runs: Cell::new(0),
        }
    }

    /// The token store of the present registration.
    pub fn token_store(&self) -> Option<Rc<TokenStore>> {
        self.token_store.borrow().clone()
    }

    /// Takes the token store of a new registration into use; returns the old one.
    pub fn set_token_store(&self, w: Rc<TokenStore>) -> Option<Rc<TokenStore>> {
        self.token_store.borrow_mut().replace(w)
    }

    /// A number that no other run of a request by this registration has.
    pub fn next_run(&self) -> u64 {
        self.runs.set(self.runs.get() + 1);
        let holder = self.token_store().map_or(0, |w| w.holder().0);
        (holder << 32) | self.runs.get()
    }

    /// A random number for a request's id.
    pub fn draw(&self) -> u128 {
        self.rng.borrow_mut().random()
    }

    /// Takes the services of the configuration into the pools and queues.
    pub fn refresh_services(&self) {
        let view = self.view.borrow();
        let mut pools = self.pools.borrow_mut();
        let mut queues = self.queues.borrow_mut();
        let now = self.clock.now();
        pools.retain(|name, _| view.services().any(|(n, _)| n == name));
        queues.retain(|name, _| view.services().any(|(n, _)| n == name));
        for (name, s) in view.services() {
            let (slots, room) = match s {
                Service::Model(m) => (m.slots, m.queue),
                Service::Plain(_) => (PLAIN_SLOTS, PLAIN_QUEUE),
            };
            let pool = pools.entry(name.to_owned()).or_default();
            pool.set_upstreams(now, s.upstreams(), slots);
            let limit = slots.saturating_mul(s.upstreams().len() as u32);
            let fresh = || Rc::new(Queue::new(self.clock, limit, room));
            queues.entry(name.to_owned()).or_insert_with(fresh).set(limit, room);
            self.mark_leaving(pool);
        }
    }

    fn mark_leaving(&self, pool: &mut Pool) {
        let vms = self.vms.borrow();
        let names: Vec<_> = pool.iter().map(|r| r.upstream.vm.name.clone()).collect();
        let now = self.clock.now();
        names.iter().for_each(|vm| pool.set_leaving(now, vm, vms.is_leaving(vm)));
    }

    /// Takes the platform's list of `Vm`s.
    pub fn observe_vms(&self, list: &BTreeMap<String, ListedState>) {
        let changes = self.vms.borrow_mut().observe(self.clock.now(), list);
        for (vm, leaving) in &changes {
            let event = if *leaving { Event::UpstreamLeaving } else { Event::UpstreamStays };
            emit!(event, vm = vm);
        }
        if !changes.is_empty() {
            self.pools.borrow_mut().values_mut().for_each(|p| self.mark_leaving(p));
        }
    }

    /// The queue of a service.
    pub fn queue(&self, service: &str) -> Option<Rc<Queue>> {
        self.queues.borrow().get(service).cloned()
    }

    /// Chooses a replica of a service; [`App::done`] must follow.
    pub fn choose(
        &self,
        service: &str,
        work: &RequestProfile,
        tried: &[SocketAddr],
    ) -> Option<Choice> {
        let mut pools = self.pools.borrow_mut();
        let dc = &self.settings.base.data_centre;
        let mut rng = self.rng.borrow_mut();
        pools.get_mut(service)?.choose(self.clock.now(), dc, work, tried, &mut *rng)
    }

    /// Whether a request may be sent for the time `tries + 1`: the first time always, again only
    /// out of the service's budget of retries.
    pub fn may_try(&self, service: &str, tries: usize) -> bool {
        let mut all = self.retries.borrow_mut();
        let budget = all.entry(service.to_owned()).or_default();
        if tries > 0 {
            return budget.try_take();
        }
        budget.record_request();
        true
    }

    /// Learns from the time to the first token.
    pub fn learn(&self, service: &str, c: &Choice, first: Duration) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(service) {
            pool.record_first_event(self.clock.now(), c, first.as_micros() as u64);
        }
    }

    /// Notes the end of a request that a replica was chosen for.
    pub fn done(&self, service: &str, c: &Choice, failed: bool) {
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(service) else { return };
        if pool.finish(self.clock.now(), c, failed) {
            emit!(Event::UpstreamEjected, service = service, address = c.address);
        }
    }
}

/// Counts a request as under way while it lives.
pub struct Active(Rc<App>);

impl Active {
    /// Counts one more.
    pub fn new(app: &Rc<App>) -> Active {
        app.active.set(app.active.get() + 1);
        Active(app.clone())
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}
