//! The gateways of all data centres, and which of them keep the tokens of a budget.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use cypressfork_core::fleet::demand::Demand;
use cypressfork_core::fleet::homes::{ask_order, home_candidates, start_index};
use cypressfork_core::fleet::neighbours::{DataCentreRouters, NOT_WANTED, digest};
use cypressfork_core::fleet::regions::Regions;
use cypressfork_core::unit::{Millis, Time};
use cypressfork_node::emit;
use cypressfork_node::event::Event;

/// How long a home that did not answer is not asked again.
const OUT_SPAN: Millis = Millis(1_500);

/// What this gateway knows of the others. Control processes hear from them at different times, so one
/// of them is followed, and another once that is out of reach.
#[derive(Default)]
pub struct Homes {
    near: RefCell<Vec<SocketAddr>>,
    /// The gateways of the other data centres, and whether those lie in another region.
    far: RefCell<Vec<(bool, Vec<SocketAddr>)>>,
    digest: Cell<u64>,
    source: Cell<Option<SocketAddr>>,
    ranked: RefCell<HashMap<String, Rc<Ranked>>>,
    /// When homes last did not answer.
    out: RefCell<BTreeMap<SocketAddr, Time>>,
    /// The requests of each budget that come to this gateway.
    demand: RefCell<HashMap<String, Demand>>,
}

/// The gateways that come into question as homes of one budget.
struct Ranked {
    /// In the own data centre.
    near: Vec<SocketAddr>,
    /// In each other one, and whether it lies in another region.
    far: Vec<(bool, Vec<SocketAddr>)>,
}

impl Homes {
    /// The digest of the areas that are known, to tell a control process.
    pub fn digest_for(&self, control: SocketAddr) -> u64 {
        match self.source.get() {
            Some(source) if source != control => NOT_WANTED,
            _ => self.digest.get(),
        }
    }

    /// Takes a control process's areas into use; `own` is the data centre of this gateway.
    pub fn set(&self, from: SocketAddr, own: &str, regions: &Regions, areas: &[DataCentreRouters]) {
        self.source.set(Some(from));
        self.digest.set(digest(areas));
        let (near, far): (Vec<&DataCentreRouters>, Vec<_>) =
            areas.iter().partition(|a| a.data_centre == own);
        *self.near.borrow_mut() = near.into_iter().flat_map(addresses).collect();
        let abroad = |a: &DataCentreRouters| !regions.same_region(own, &a.data_centre);
        *self.far.borrow_mut() = far.into_iter().map(|a| (abroad(a), addresses(a))).collect();
        self.ranked.borrow_mut().clear();
        let routers = self.near.borrow().len();
        emit!(Event::NeighboursSeen, from = from, routers = routers, areas = areas.len());
    }

    /// Notes that a control process is out of reach.
    pub fn lost(&self, control: SocketAddr) {
        if self.source.get() == Some(control) {
            self.source.set(None);
        }
    }

    /// The gateways of the own data centre, if budgets have homes there.
    pub fn near(&self) -> Vec<SocketAddr> {
        self.near.borrow().clone()
    }

    /// Whether a gateway may still be asked for tokens.
    pub fn is_known(&self, gateway: &SocketAddr) -> bool {
        let far = self.far.borrow();
        self.near.borrow().contains(gateway) || far.iter().any(|(_, area)| area.contains(gateway))
    }

    /// The homes of a budget to ask, in order; none where each gateway holds its own slices.
    pub fn of(&self, now: Time, own: SocketAddr, budget: &str) -> Vec<SocketAddr> {
        if self.near.borrow().is_empty() {
            return Vec::new();
        }
        let mut homes = ask_order(&self.ranked(budget).near, own, |a| self.is_out(now, a));
        if self.is_heavy(now, budget) && homes.first() != Some(&own) {
            homes.insert(0, own);
        }
        homes
    }

    /// Counts a request of a budget.
    pub fn note_request(&self, now: Time, budget: &str) {
        let mut all = self.demand.borrow_mut();
        match all.get_mut(budget) {
            Some(d) => d.record(now),
            None => all.entry(budget.to_owned()).or_default().record(now),
        }
    }

    fn is_heavy(&self, now: Time, budget: &str) -> bool {
        self.demand.borrow().get(budget).is_some_and(|d| d.is_heavy(now))
    }

    /// A home of the budget in each other data centre, for what those of the own one lack: those of the
    /// own region first.
    pub fn elsewhere(&self, now: Time, own: SocketAddr, budget: &str) -> Vec<SocketAddr> {
        let ranked = self.ranked(budget);
        let home = |(abroad, area): &(bool, Vec<SocketAddr>)| {
            let first = ask_order(area, own, |a| self.is_out(now, a)).first().copied();
            first.map(|a| (*abroad, a))
        };
        let mut homes: Vec<_> = ranked.far.iter().filter_map(home).collect();
        let turn = start_index(own, homes.len());
        homes.rotate_left(turn);
        homes.sort_by_key(|(abroad, _)| *abroad);
        homes.into_iter().map(|(_, a)| a).collect()
    }

    fn ranked(&self, budget: &str) -> Rc<Ranked> {
        let mut all = self.ranked.borrow_mut();
        if let Some(known) = all.get(budget) {
            return known.clone();
        }
        let far = self
            .far
            .borrow()
            .iter()
            .map(|(far, area)| (*far, home_candidates(budget, area)))
            .collect();
        let fresh = Rc::new(Ranked { near: home_candidates(budget, &self.near.borrow()), far });
        all.insert(budget.to_owned(), fresh.clone());
        fresh
    }

    /// Notes that a home did not answer, or takes on no more.
    pub fn set_out(&self, now: Time, home: SocketAddr) {
        self.out.borrow_mut().insert(home, now);
    }

    fn is_out(&self, now: Time, home: &SocketAddr) -> bool {
        self.out.borrow().get(home).is_some_and(|at| now.since(*at) < OUT_SPAN)
    }
}

fn addresses(a: &DataCentreRouters) -> Vec<SocketAddr> {
    a.links.iter().filter_map(|l| l.parse().ok()).collect()
}
