//! The routers, ledgers and reserves that a policy is played on.

use std::collections::VecDeque;

use cypressfork_core::budget::{
    Decision, LeaseRequest, Ledger, RegionLedger, Reservation, ReserveAnswer, ReserveCommand,
    ReserveLedger, Shortage, SliceStore,
};
use cypressfork_core::unit::{HolderId, LeaseId, Time};

use super::{BUDGET, CENTRES, Fault, HOUR, ROUTERS, Request, Rule};

pub struct Running {
    end: u64,
    held: Reservation,
    used: u64,
    /// It is held from the data centre's reserve.
    spare: bool,
}

pub struct Node {
    holder: HolderId,
    slices: SliceStore,
    /// Slices of the data centre's reserve.
    spare: SliceStore,
    running: VecDeque<Running>,
    dead_until: u64,
}

pub struct World {
    rule: Rule,
    fault: Fault,
    home: Ledger,
    /// The ledger of the second region, for the region's cut.
    region: RegionLedger,
    region_seq: u64,
    /// The reserve of each data centre.
    reserves: Vec<ReserveLedger>,
    nodes: Vec<Node>,
    pub now: u64,
    index: u64,
    holders: u64,
    pub consumed: u64,
}

impl World {
    pub fn new(rule: Rule, fault: Fault, budget: u64) -> World {
        let mut home = Ledger::default();
        home.fund(BUDGET, budget, rule.policy());
        let mut w = World {
            rule,
            fault,
            home,
            region: RegionLedger::default(),
            region_seq: 0,
            reserves: vec![ReserveLedger::default(); CENTRES],
            nodes: Vec::new(),
            now: 0,
            index: 0,
            holders: 1_000,
            consumed: 0,
        };
        for _ in 0..ROUTERS {
            let n = w.node();
            w.nodes.push(n);
        }
        if let Rule::Split = rule {
            for n in 0..ROUTERS {
                let part = budget / ROUTERS as u64;
                w.ask(n, part, part);
            }
        }
        w
    }

    fn node(&mut self) -> Node {
        self.holders += 1;
        let [slices, spare] = [0; 2].map(|seq| SliceStore::new(self.rule.policy(), seq));
        let holder = HolderId(self.holders);
        Node { holder, slices, spare, running: VecDeque::new(), dead_until: 0 }
    }

    fn is_cut_time(&self) -> bool {
        (HOUR..2 * HOUR).contains(&self.now)
    }

    /// Whether router `n` reaches the ledger that it asks.
    fn reaches(&self, n: usize) -> bool {
        match self.fault {
            Fault::CentreCut => !(self.is_cut_time() && n % CENTRES == 2),
            Fault::RegionCut => !self.in_far_region(n) || self.has_region() || !self.is_cut_time(),
            _ => true,
        }
    }

    fn in_far_region(&self, n: usize) -> bool {
        self.fault == Fault::RegionCut && n >= ROUTERS / 2
    }

    fn has_region(&self) -> bool {
        matches!(self.rule, Rule::Escrow(_))
    }

    fn lease(&mut self) -> LeaseId {
        self.index += 1;
        LeaseId { term: 1, index: self.index }
    }

    fn decide(&mut self, n: usize, ask: &LeaseRequest) -> Decision {
        let (now, id) = (Time(self.now), self.lease());
        if self.in_far_region(n) && self.has_region() {
            return self.region.request_lease(now, id, ask).unwrap_or(Err(Shortage::Spent));
        }
        self.home.request_lease(now, id, ask).unwrap()
    }

    fn ask(&mut self, n: usize, need: u64, want: u64) -> bool {
        if !self.reaches(n) {
            return false;
        }
        let (now, holder) = (Time(self.now), self.nodes[n].holder);
        let Some(mut ask) = self.nodes[n].slices.next_request(now, holder, BUDGET, need) else {
            return false;
        };
        if !matches!(self.rule, Rule::Escrow(_)) {
            ask.want = want.max(ask.need);
        }
        let decision = self.decide(n, &ask);
        self.nodes[n].slices.apply_decision(ask.seq, &decision);
        if matches!(decision, Err(Shortage::Busy(_))) && matches!(self.rule, Rule::Escrow(_)) {
            self.recall();
            if need > 0 && self.ask_again(n, need) {
                return true;
            }
        }
        decision.is_ok()
    }

    fn ask_again(&mut self, n: usize, need: u64) -> bool {
        let (now, holder) = (Time(self.now), self.nodes[n].holder);
        let Some(ask) = self.nodes[n].slices.next_request(now, holder, BUDGET, need) else {
            return false;
        };
        let decision = self.decide(n, &ask);
        self.nodes[n].slices.apply_decision(ask.seq, &decision);
        decision.is_ok()
    }

    fn recall(&mut self) {
        for n in 0..ROUTERS {
            if self.alive(n) && self.reaches(n) {
                self.nodes[n].slices.return_idle();
                self.report(n);
            }
        }
    }

    pub fn alive(&self, n: usize) -> bool {
        self.nodes[n].dead_until <= self.now
    }

    fn report(&mut self, n: usize) {
        let now = Time(self.now);
        for r in self.nodes[n].slices.reports(now) {
            let holder = self.nodes[n].holder;
            let known = if self.in_far_region(n) && self.has_region() {
                self.region.report(now, holder, &r)
            } else {
                self.home.report(now, holder, &r)
            };
            self.nodes[n].slices.acknowledge(now, &r, known);
        }
    }

    /// Tries to start a request.
    pub fn start(&mut self, r: &Request) -> bool {
        if !self.alive(r.router) {
            return false;
        }
        let now = Time(self.now);
        let mut held = self.nodes[r.router].slices.reserve(now, r.bound);
        if held.is_none() {
            let want = match self.rule {
                Rule::Fixed(size) => size,
                _ => r.bound,
            };
            if !matches!(self.rule, Rule::Split) {
                self.ask(r.router, r.bound, want);
            }
            held = self.nodes[r.router].slices.reserve(now, r.bound);
        } else if matches!(self.rule, Rule::Escrow(_)) && self.nodes[r.router].slices.is_low(now) {
            self.ask(r.router, 0, 0);
        }
        let spare = held.is_none();
        if spare {
            held = self.reserve_spare(r.router, r.bound);
        }
        let Some(held) = held else { return false };
        let running = Running { end: self.now + r.runs, held, used: r.used, spare };
        self.nodes[r.router].running.push_back(running);
        true
    }

    /// Turns to the data centre's reserve, if the group is out of reach.
    fn reserve_spare(&mut self, n: usize, bound: u64) -> Option<Reservation> {
        if self.reaches(n) || !self.keeps_reserves() {
            return None;
        }
        let (now, holder) = (Time(self.now), self.nodes[n].holder);
        if let Some(held) = self.nodes[n].spare.reserve(now, bound) {
            return Some(held);
        }
        let ask = self.nodes[n].spare.next_request(now, holder, BUDGET, bound)?;
        let seq = ask.seq;
        let id = self.lease();
        let done = self.reserves[n % CENTRES].apply(now, id, &ReserveCommand::Ask(ask));
        let ReserveAnswer::Decided(decision) = done else { return None };
        self.nodes[n].spare.apply_decision(seq, &decision);
        self.nodes[n].spare.reserve(now, bound)
    }

    fn keeps_reserves(&self) -> bool {
        matches!(self.rule, Rule::Escrow(p) if p.reserve > 0)
    }

    /// Every data centre in reach brings its reserve to its target and reports on it.
    fn tend_reserves(&mut self) {
        for c in 0..CENTRES {
            if !self.reaches(c) {
                continue;
            }
            let (now, holder) = (Time(self.now), HolderId(10 + c as u64));
            self.report_reserve(c, holder);
            let f = self.home.get(BUDGET).unwrap();
            let calling = f.recalling(now);
            let target = if calling { 0 } else { self.rule.policy().reserve_target(f.free()) };
            let excess = self.reserves[c].excess(BUDGET, target);
            let id = self.lease();
            if excess > 0 {
                self.reserves[c].apply(now, id, &ReserveCommand::GiveBack(BUDGET.into(), excess));
                self.report_reserve(c, holder);
            } else if let Some(ask) = self.reserves[c].next_request(holder, BUDGET, target)
                && let Some(Ok(g)) = self.home.request_lease(now, id, &ask)
            {
                let policy = self.rule.policy();
                self.reserves[c].apply(now, id, &ReserveCommand::Granted(BUDGET.into(), g, policy));
            }
        }
    }

    fn report_reserve(&mut self, c: usize, holder: HolderId) {
        let now = Time(self.now);
        for r in self.reserves[c].reports(BUDGET) {
            if self.home.report(now, holder, &r) {
                let id = self.lease();
                self.reserves[c].apply(now, id, &ReserveCommand::Acknowledged(BUDGET.into(), r));
            }
        }
    }

    fn report_spare(&mut self, n: usize) {
        let (now, holder, id) = (Time(self.now), self.nodes[n].holder, self.lease());
        if self.reaches(n) {
            self.nodes[n].spare.return_idle();
        }
        let reports = self.nodes[n].spare.reports(now);
        let command = ReserveCommand::Report(holder, reports.clone());
        if let ReserveAnswer::Reported(known) = self.reserves[n % CENTRES].apply(now, id, &command)
        {
            for (r, known) in reports.iter().zip(known) {
                self.nodes[n].spare.acknowledge(now, r, known);
            }
        }
    }

    pub fn tick(&mut self) {
        for n in 0..ROUTERS {
            self.end_requests(n);
            if self.keeps_reserves() && self.alive(n) {
                self.report_spare(n);
            }
            if !self.alive(n) || !self.reaches(n) {
                continue;
            }
            match self.rule {
                Rule::Escrow(_) => self.nodes[n].slices.return_excess(Time(self.now)),
                Rule::Each => self.nodes[n].slices.return_idle(),
                _ => {}
            }
            self.report(n);
        }
        if self.fault == Fault::RegionCut && self.has_region() && !self.is_cut_time() {
            self.allot();
        }
        if self.keeps_reserves() && self.fault != Fault::RegionCut {
            self.tend_reserves();
        }
        if self.fault == Fault::KillEachMinute && self.now.is_multiple_of(60_000) && self.now > 0 {
            self.kill((self.now / 60_000) as usize % ROUTERS);
        }
    }

    fn end_requests(&mut self, n: usize) {
        let now = self.now;
        let mut rest = VecDeque::new();
        while let Some(r) = self.nodes[n].running.pop_front() {
            if r.end > now {
                rest.push_back(r);
                continue;
            }
            let node = &mut self.nodes[n];
            let slices = if r.spare { &mut node.spare } else { &mut node.slices };
            self.consumed += slices.settle(Time(now), r.held, r.used);
        }
        self.nodes[n].running = rest;
    }

    /// Kills a router: what it was running counts as consumed whole, and nobody reports it.
    fn kill(&mut self, n: usize) {
        let running = std::mem::take(&mut self.nodes[n].running);
        self.consumed += running.iter().map(|r| r.held.amount().min(r.used)).sum::<u64>();
        self.nodes[n] = self.node();
        self.nodes[n].dead_until = self.now + 5_000;
    }

    /// The far region keeps two hours of its spending in hand, as far as the budget allows.
    fn allot(&mut self) {
        let (now, id) = (Time(self.now), self.lease());
        for r in self.region.reports(BUDGET) {
            if self.home.report(now, HolderId(1), &r) {
                self.region.acknowledge(BUDGET, &r);
            }
        }
        let f = self.home.get(BUDGET).unwrap();
        let target = f.free() / 4;
        let have = self.region.ledger().get(BUDGET).map_or(0, |f| f.free());
        if have >= target / 2 {
            return;
        }
        let seq = self.region_seq + 1;
        let ask = LeaseRequest {
            holder: HolderId(1),
            budget: BUDGET.into(),
            seq,
            need: 1,
            want: target - have,
        };
        if let Some(Ok(g)) = self.home.request_lease(now, id, &ask) {
            self.region_seq = seq;
            self.region.add_allotment(BUDGET, &g, self.rule.policy());
        }
    }
}
