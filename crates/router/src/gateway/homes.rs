//! The gateways of all data centres, and which of them are the homes of a budget, where its tokens are
//! held.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use cypressfork_core::fleet::demand::Demand;
use cypressfork_core::fleet::homes::{
    HOMES_PER_BUDGET, ask_order, holder_count, home_candidates, start_index,
};
use cypressfork_core::fleet::regions::Regions;
use cypressfork_core::fleet::router_directory::{DataCentreRouters, NOT_WANTED, digest};
use cypressfork_core::unit::{Millis, Time};
use cypressfork_node::emit;
use cypressfork_node::event::Event;

/// Time for which a home that did not answer is left out.
const UNAVAILABLE_FOR: Millis = Millis(1_500);

/// The gateways by data centre, and the demand for each budget here. Control processes learn of
/// gateways at different times, so the lists come from one of them until it becomes unreachable.
#[derive(Default)]
pub struct Homes {
    /// The gateways of this gateway's data centre, if budgets have homes there.
    local: RefCell<Vec<SocketAddr>>,
    /// The gateways of each other data centre, and whether it is in another region.
    remote: RefCell<Vec<(bool, Vec<SocketAddr>)>>,
    digest: Cell<u64>,
    /// The control process that the lists come from.
    source: Cell<Option<SocketAddr>>,
    /// Home candidates by budget, computed on first use.
    candidates: RefCell<HashMap<String, Rc<Candidates>>>,
    /// When each home last failed to answer or refused loans.
    unavailable_since: RefCell<BTreeMap<SocketAddr, Time>>,
    /// Rate of requests to this gateway, by budget.
    demand: RefCell<HashMap<String, Demand>>,
}

/// The gateways that are candidates for homes of one budget.
struct Candidates {
    /// Those in this gateway's data centre.
    local: Vec<SocketAddr>,
    /// Those in each other data centre, and whether it is in another region.
    remote: Vec<(bool, Vec<SocketAddr>)>,
}

impl Homes {
    /// Returns the digest of the known lists for a watch request to `control`, or [`NOT_WANTED`] if the
    /// lists come from another control process.
    pub fn digest_for(&self, control: SocketAddr) -> u64 {
        match self.source.get() {
            Some(source) if source != control => NOT_WANTED,
            _ => self.digest.get(),
        }
    }

    /// Replaces the lists with those of the control process at `from`.
    pub fn update(
        &self,
        from: SocketAddr,
        own_data_centre: &str,
        regions: &Regions,
        lists: &[DataCentreRouters],
    ) {
        self.source.set(Some(from));
        self.digest.set(digest(lists));
        let (local, remote): (Vec<&DataCentreRouters>, Vec<_>) =
            lists.iter().partition(|d| d.data_centre == own_data_centre);
        *self.local.borrow_mut() = local.into_iter().flat_map(addresses).collect();
        let in_other_region =
            |d: &DataCentreRouters| !regions.same_region(own_data_centre, &d.data_centre);
        *self.remote.borrow_mut() =
            remote.into_iter().map(|d| (in_other_region(d), addresses(d))).collect();
        self.candidates.borrow_mut().clear();
        let routers = self.local.borrow().len();
        emit!(Event::RoutersChanged, from = from, routers = routers, areas = lists.len());
    }

    /// Records that a control process is unreachable. If the lists come from it, the next ones may come
    /// from any other.
    pub fn record_failure(&self, control: SocketAddr) {
        if self.source.get() == Some(control) {
            self.source.set(None);
        }
    }

    /// Returns the gateways of this gateway's data centre; none if budgets have no homes there.
    pub fn local(&self) -> Vec<SocketAddr> {
        self.local.borrow().clone()
    }

    /// Returns the gateways of the other data centres in this gateway's region.
    pub fn remote_in_region(&self) -> Vec<SocketAddr> {
        let remote = self.remote.borrow();
        let in_region = remote.iter().filter(|(in_other_region, _)| !in_other_region);
        in_region.flat_map(|(_, gateways)| gateways.iter().copied()).collect()
    }

    /// Returns the gateways of each other data centre in this gateway's region.
    pub fn remote_data_centres(&self) -> Vec<Vec<SocketAddr>> {
        let remote = self.remote.borrow();
        let in_region = remote.iter().filter(|(in_other_region, _)| !in_other_region);
        in_region.map(|(_, gateways)| gateways.clone()).collect()
    }

    /// Returns whether a gateway is listed in any data centre.
    pub fn is_known(&self, gateway: &SocketAddr) -> bool {
        let remote = self.remote.borrow();
        self.local.borrow().contains(gateway)
            || remote.iter().any(|(_, gateways)| gateways.contains(gateway))
    }

    /// Returns the homes of a budget in the order in which to ask them for tokens; none if each gateway holds
    /// its own slices. This gateway (`own`) comes first if its demand for the budget is heavy.
    pub fn for_budget(&self, now: Time, own: SocketAddr, budget: &str) -> Vec<SocketAddr> {
        if self.local.borrow().is_empty() {
            return Vec::new();
        }
        let mut homes =
            ask_order(&self.candidates(budget).local, own, |a| self.is_unavailable(now, a));
        if self.has_heavy_demand(now, budget) && homes.first() != Some(&own) {
            homes.insert(0, own);
        }
        homes
    }

    /// Returns the number of holders of the budget among which this gateway (`own`) divides what they may
    /// have together. `routers` is the number of gateways in the fleet.
    pub fn holder_count(&self, own: SocketAddr, budget: &str, routers: usize) -> u64 {
        let has_local_homes = !self.local.borrow().is_empty();
        let areas = self.area_count();
        let is_among_homes =
            |c: &Candidates| c.local.iter().take(HOMES_PER_BUDGET).any(|a| *a == own);
        let is_home = has_local_homes && is_among_homes(&self.candidates(budget));
        holder_count(areas, is_home, routers)
    }

    /// Returns the number of data centres in which budgets have homes.
    pub fn area_count(&self) -> usize {
        self.remote.borrow().len() + usize::from(!self.local.borrow().is_empty())
    }

    /// Records a request that spends from a budget.
    pub fn record_request(&self, now: Time, budget: &str) {
        let mut all = self.demand.borrow_mut();
        match all.get_mut(budget) {
            Some(d) => d.record(now),
            None => all.entry(budget.to_owned()).or_default().record(now),
        }
    }

    /// Returns whether this gateway's demand for the budget is heavy.
    fn has_heavy_demand(&self, now: Time, budget: &str) -> bool {
        self.demand.borrow().get(budget).is_some_and(|d| d.is_heavy(now))
    }

    /// Returns one home of the budget in each other data centre, to ask when the local ones have too few
    /// tokens. Those in this gateway's region come first.
    pub fn remote_homes(&self, now: Time, own: SocketAddr, budget: &str) -> Vec<SocketAddr> {
        let candidates = self.candidates(budget);
        let first_home = |(in_other_region, gateways): &(bool, Vec<SocketAddr>)| {
            let first = ask_order(gateways, own, |a| self.is_unavailable(now, a)).first().copied();
            first.map(|a| (*in_other_region, a))
        };
        let mut homes: Vec<_> = candidates.remote.iter().filter_map(first_home).collect();
        let start = start_index(own, homes.len());
        homes.rotate_left(start);
        homes.sort_by_key(|(in_other_region, _)| *in_other_region);
        homes.into_iter().map(|(_, a)| a).collect()
    }

    /// Returns the candidates for homes of the budget, from the cache if they are known.
    fn candidates(&self, budget: &str) -> Rc<Candidates> {
        let mut all = self.candidates.borrow_mut();
        if let Some(known) = all.get(budget) {
            return known.clone();
        }
        let remote = self
            .remote
            .borrow()
            .iter()
            .map(|(in_other_region, gateways)| {
                (*in_other_region, home_candidates(budget, gateways))
            })
            .collect();
        let local = home_candidates(budget, &self.local.borrow());
        let new = Rc::new(Candidates { local, remote });
        all.insert(budget.to_owned(), new.clone());
        new
    }

    /// Records that a home did not answer or accepts no loans, and leaves it out for some time.
    pub fn mark_unavailable(&self, now: Time, home: SocketAddr) {
        self.unavailable_since.borrow_mut().insert(home, now);
    }

    fn is_unavailable(&self, now: Time, home: &SocketAddr) -> bool {
        self.unavailable_since.borrow().get(home).is_some_and(|at| now.since(*at) < UNAVAILABLE_FOR)
    }
}

/// Returns the gateway addresses of a data centre that can be parsed.
fn addresses(d: &DataCentreRouters) -> Vec<SocketAddr> {
    d.links.iter().filter_map(|l| l.parse().ok()).collect()
}
