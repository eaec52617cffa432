//! The gateways of the own data centre, and which of them keep the tokens of a budget.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use cypressfork_core::fleet::homes::{order, ranked};
use cypressfork_core::fleet::neighbours::NOT_WANTED;
use cypressfork_core::unit::{Millis, Time};
use cypressfork_node::emit;
use cypressfork_node::event::Event;

/// How long a home that did not answer is not asked again.
const OUT_SPAN: Millis = Millis(1_500);

/// What this gateway knows of its neighbours. Control processes hear from them at different times,
/// so one of them is followed, and another once that is out of reach.
#[derive(Default)]
pub struct Homes {
    near: RefCell<Vec<SocketAddr>>,
    digest: Cell<u64>,
    source: Cell<Option<SocketAddr>>,
    ranked: RefCell<HashMap<String, Rc<[SocketAddr]>>>,
    /// When homes last did not answer.
    out: RefCell<BTreeMap<SocketAddr, Time>>,
}

impl Homes {
    /// The digest of the list that is known, to tell a control process.
    pub fn digest_for(&self, control: SocketAddr) -> u64 {
        match self.source.get() {
            Some(source) if source != control => NOT_WANTED,
            _ => self.digest.get(),
        }
    }

    /// Takes a control process's list into use.
    pub fn set(&self, from: SocketAddr, links: &[String], digest: u64) {
        self.source.set(Some(from));
        self.digest.set(digest);
        *self.near.borrow_mut() = links.iter().filter_map(|a| a.parse().ok()).collect();
        self.ranked.borrow_mut().clear();
        emit!(Event::NeighboursSeen, from = from, routers = links.len());
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

    /// The homes of a budget to ask, in order; none where each gateway holds its own slices.
    pub fn of(&self, now: Time, own: SocketAddr, budget: &str) -> Vec<SocketAddr> {
        let near = self.near.borrow();
        if near.is_empty() {
            return Vec::new();
        }
        let mut all = self.ranked.borrow_mut();
        let ranked = match all.get(budget) {
            Some(known) => known.clone(),
            None => all.entry(budget.to_owned()).or_insert(ranked(budget, &near).into()).clone(),
        };
        order(&ranked, own, |a| self.is_out(now, a))
    }

    /// Notes that a home did not answer, or takes on no more.
    pub fn set_out(&self, now: Time, home: SocketAddr) {
        self.out.borrow_mut().insert(home, now);
    }

    fn is_out(&self, now: Time, home: &SocketAddr) -> bool {
        self.out.borrow().get(home).is_some_and(|at| now.since(*at) < OUT_SPAN)
    }
}
