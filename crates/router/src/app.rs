//! What all requests of a router share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::{Client, Connector};
use cypressfork_core::query::Site;
use cypressfork_core::route::Pool;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::group::Group;
use cypressfork_node::time::Clock;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::settings::Settings;
use crate::view::View;
use crate::wallet::Wallet;

/// How long an upstream may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

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
    /// The configuration in force.
    pub view: RefCell<View>,
    /// The replicas of each service.
    pub pools: RefCell<HashMap<String, Pool>>,
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
    wallet: RefCell<Option<Rc<Wallet>>>,
    rng: RefCell<SmallRng>,
    runs: Cell<u64>,
}

fn client(keep: Duration) -> Client {
    let c = Connector::new().timeout(CONNECT_TIMEOUT).conn_keep_alive(keep).limit(0);
    Client::builder().connector(c).disable_timeout().disable_redirects().finish()
}

impl App {
    /// A router that knows nothing yet.
    pub fn new(settings: Settings, clock: Clock, group: Group, reserve: Option<Group>) -> App {
        App {
            settings,
            clock,
            group,
            reserve,
            view: RefCell::default(),
            pools: RefCell::default(),
            sites: RefCell::default(),
            client: client(Duration::from_secs(15)),
            once_client: client(Duration::ZERO),
            draining: Cell::new(false),
            ready: Cell::new(false),
            active: Cell::new(0),
            wallet: RefCell::default(),
            rng: RefCell::new(SmallRng::from_os_rng()),
            runs: Cell::new(0),
        }
    }

    /// The wallet of the present registration.
    pub fn wallet(&self) -> Option<Rc<Wallet>> {
        self.wallet.borrow().clone()
    }

    /// Takes the wallet of a new registration into use; returns the old one.
    pub fn set_wallet(&self, w: Rc<Wallet>) -> Option<Rc<Wallet>> {
        self.wallet.borrow_mut().replace(w)
    }

    /// A number that no other run of a request by this registration has.
    pub fn next_run(&self) -> u64 {
        self.runs.set(self.runs.get() + 1);
        let holder = self.wallet().map_or(0, |w| w.holder().0);
        (holder << 32) | self.runs.get()
    }

    /// A random number for a request's id.
    pub fn draw(&self) -> u128 {
        self.rng.borrow_mut().random()
    }

    /// Takes the services of the configuration into the pools.
    pub fn refresh_pools(&self) {
        let view = self.view.borrow();
        let mut pools = self.pools.borrow_mut();
        pools.retain(|name, _| view.services().any(|(n, _)| n == name));
        for (name, s) in view.services() {
            pools.entry(name.to_owned()).or_default().set(s.upstreams());
        }
    }

    /// Chooses a replica of a service; [`App::done`] must follow.
    pub fn choose(&self, service: &str, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let mut pools = self.pools.borrow_mut();
        let dc = &self.settings.base.data_centre;
        let mut rng = self.rng.borrow_mut();
        pools.get_mut(service)?.choose(self.clock.now(), dc, tried, &mut *rng)
    }

    /// Notes the end of a request that a replica was chosen for.
    pub fn done(&self, service: &str, address: SocketAddr, failed: bool) {
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(service) else { return };
        if pool.done(self.clock.now(), address, failed) {
            emit!(Event::UpstreamEjected, service = service, address = address);
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
