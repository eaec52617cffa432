//! The simulated routers, ledgers and reserves.

use std::collections::VecDeque;

use cypressfork_core::budget::{
    Decision, LeaseRequest, Ledger, RegionLedger, Reservation, ReserveAnswer, ReserveCommand,
    ReserveLedger, Shortage, SliceStore,
};
use cypressfork_core::unit::{HolderId, LeaseId, Time};

use super::{BUDGET, DATA_CENTRES, Fault, HOUR_MS, ROUTERS, Request, Rule};

/// A running request.
pub struct Running {
    end: u64,
    reservation: Reservation,
    used: u64,
    /// Whether its tokens are from the data centre's reserve.
    from_reserve: bool,
}

/// A router.
pub struct Router {
    holder: HolderId,
    slices: SliceStore,
    /// Slices of the data centre's reserve.
    reserve_slices: SliceStore,
    running: VecDeque<Running>,
    dead_until: u64,
}

/// The state of a simulation.
pub struct World {
    rule: Rule,
    fault: Fault,
    /// The control group's ledger.
    group_ledger: Ledger,
    /// The ledger of the second region, used with [`Fault::RegionPartition`].
    region: RegionLedger,
    region_seq: u64,
    /// The reserve of each data centre.
    reserves: Vec<ReserveLedger>,
    routers: Vec<Router>,
    /// Time since the start, in milliseconds.
    pub now: u64,
    last_lease: u64,
    last_holder: u64,
    /// Tokens used by all ended requests.
    pub consumed: u64,
}

impl World {
    pub fn new(rule: Rule, fault: Fault, budget: u64) -> World {
        let mut group_ledger = Ledger::default();
        group_ledger.fund(BUDGET, budget, rule.policy());
        let mut w = World {
            rule,
            fault,
            group_ledger,
            region: RegionLedger::default(),
            region_seq: 0,
            reserves: vec![ReserveLedger::default(); DATA_CENTRES],
            routers: Vec::new(),
            now: 0,
            last_lease: 0,
            last_holder: 1_000,
            consumed: 0,
        };
        for _ in 0..ROUTERS {
            let router = w.new_router();
            w.routers.push(router);
        }
        if let Rule::EqualSplit = rule {
            for n in 0..ROUTERS {
                let share = budget / ROUTERS as u64;
                w.request_lease(n, share, share);
            }
        }
        w
    }

    fn new_router(&mut self) -> Router {
        self.last_holder += 1;
        let [slices, reserve_slices] = [0; 2].map(|seq| SliceStore::new(self.rule.policy(), seq));
        let holder = HolderId(self.last_holder);
        Router { holder, slices, reserve_slices, running: VecDeque::new(), dead_until: 0 }
    }

    fn is_partition_time(&self) -> bool {
        (HOUR_MS..2 * HOUR_MS).contains(&self.now)
    }

    /// Returns whether router `n` can reach its ledger.
    fn can_reach_ledger(&self, n: usize) -> bool {
        match self.fault {
            Fault::DataCentrePartition => !(self.is_partition_time() && n % DATA_CENTRES == 2),
            Fault::RegionPartition => {
                !self.in_second_region(n) || self.uses_region_ledger() || !self.is_partition_time()
            }
            _ => true,
        }
    }

    fn in_second_region(&self, n: usize) -> bool {
        self.fault == Fault::RegionPartition && n >= ROUTERS / 2
    }

    fn uses_region_ledger(&self) -> bool {
        matches!(self.rule, Rule::Escrow(_))
    }

    fn next_lease_id(&mut self) -> LeaseId {
        self.last_lease += 1;
        LeaseId { term: 1, index: self.last_lease }
    }

    /// Lets the router's ledger decide a lease request.
    fn decide(&mut self, n: usize, request: &LeaseRequest) -> Decision {
        let (now, id) = (Time(self.now), self.next_lease_id());
        if self.in_second_region(n) && self.uses_region_ledger() {
            return self.region.request_lease(now, id, request).unwrap_or(Err(Shortage::Spent));
        }
        self.group_ledger.request_lease(now, id, request).unwrap()
    }

    /// Requests a lease, and recalls idle tokens if too few are free. Returns whether it was granted.
    fn request_lease(&mut self, n: usize, need: u64, want: u64) -> bool {
        if !self.can_reach_ledger(n) {
            return false;
        }
        let (now, holder) = (Time(self.now), self.routers[n].holder);
        let Some(mut request) = self.routers[n].slices.next_request(now, holder, BUDGET, need)
        else {
            return false;
        };
        if !matches!(self.rule, Rule::Escrow(_)) {
            request.want = want.max(request.need);
        }
        let decision = self.decide(n, &request);
        self.routers[n].slices.apply_decision(request.seq, &decision);
        if matches!(decision, Err(Shortage::Busy(_))) && matches!(self.rule, Rule::Escrow(_)) {
            self.recall();
            if need > 0 && self.retry_lease(n, need) {
                return true;
            }
        }
        decision.is_ok()
    }

    /// Requests a lease again after a recall. Returns whether it was granted.
    fn retry_lease(&mut self, n: usize, need: u64) -> bool {
        let (now, holder) = (Time(self.now), self.routers[n].holder);
        let Some(request) = self.routers[n].slices.next_request(now, holder, BUDGET, need) else {
            return false;
        };
        let decision = self.decide(n, &request);
        self.routers[n].slices.apply_decision(request.seq, &decision);
        decision.is_ok()
    }

    /// Makes all reachable routers return their idle tokens.
    fn recall(&mut self) {
        for n in 0..ROUTERS {
            if self.is_alive(n) && self.can_reach_ledger(n) {
                self.routers[n].slices.return_idle();
                self.report(n);
            }
        }
    }

    pub fn is_alive(&self, n: usize) -> bool {
        self.routers[n].dead_until <= self.now
    }

    /// Reports the use of the router's slices to its ledger.
    fn report(&mut self, n: usize) {
        let now = Time(self.now);
        for r in self.routers[n].slices.reports(now) {
            let holder = self.routers[n].holder;
            let known = if self.in_second_region(n) && self.uses_region_ledger() {
                self.region.apply_report(now, holder, &r)
            } else {
                self.group_ledger.apply_report(now, holder, &r)
            };
            self.routers[n].slices.acknowledge(now, &r, known);
        }
    }

    /// Starts a request if tokens can be reserved for it. Returns whether it started.
    pub fn start(&mut self, r: &Request) -> bool {
        if !self.is_alive(r.router) {
            return false;
        }
        let now = Time(self.now);
        let mut reservation = self.routers[r.router].slices.reserve(now, r.bound);
        if reservation.is_none() {
            let want = match self.rule {
                Rule::FixedSlices(size) => size,
                _ => r.bound,
            };
            if !matches!(self.rule, Rule::EqualSplit) {
                self.request_lease(r.router, r.bound, want);
            }
            reservation = self.routers[r.router].slices.reserve(now, r.bound);
        } else if matches!(self.rule, Rule::Escrow(_)) && self.routers[r.router].slices.is_low(now)
        {
            self.request_lease(r.router, 0, 0);
        }
        let from_reserve = reservation.is_none();
        if from_reserve {
            reservation = self.reserve_from_data_centre(r.router, r.bound);
        }
        let Some(reservation) = reservation else { return false };
        let running =
            Running { end: self.now + r.duration_ms, reservation, used: r.used, from_reserve };
        self.routers[r.router].running.push_back(running);
        true
    }

    /// Reserves tokens from the data centre's reserve while the control group is unreachable.
    fn reserve_from_data_centre(&mut self, n: usize, bound: u64) -> Option<Reservation> {
        if self.can_reach_ledger(n) || !self.has_reserves() {
            return None;
        }
        let (now, holder) = (Time(self.now), self.routers[n].holder);
        if let Some(reservation) = self.routers[n].reserve_slices.reserve(now, bound) {
            return Some(reservation);
        }
        let request = self.routers[n].reserve_slices.next_request(now, holder, BUDGET, bound)?;
        let seq = request.seq;
        let id = self.next_lease_id();
        let answer = self.reserves[n % DATA_CENTRES].apply(now, id, &ReserveCommand::Ask(request));
        let ReserveAnswer::Decided(decision) = answer else { return None };
        self.routers[n].reserve_slices.apply_decision(seq, &decision);
        self.routers[n].reserve_slices.reserve(now, bound)
    }

    fn has_reserves(&self) -> bool {
        matches!(self.rule, Rule::Escrow(p) if p.reserve > 0)
    }

    /// Brings the reserve of every reachable data centre to its target, and reports its use.
    fn adjust_reserves(&mut self) {
        for c in 0..DATA_CENTRES {
            // Router `c` is in data centre `c`.
            if !self.can_reach_ledger(c) {
                continue;
            }
            let (now, holder) = (Time(self.now), HolderId(10 + c as u64));
            self.report_reserve(c, holder);
            let f = self.group_ledger.get(BUDGET).unwrap();
            let is_recalling = f.is_recalling(now);
            let target = if is_recalling { 0 } else { self.rule.policy().reserve_target(f.free()) };
            let excess = self.reserves[c].excess(BUDGET, target);
            let id = self.next_lease_id();
            if excess > 0 {
                self.reserves[c].apply(now, id, &ReserveCommand::GiveBack(BUDGET.into(), excess));
                self.report_reserve(c, holder);
            } else if let Some(request) = self.reserves[c].next_request(holder, BUDGET, target)
                && let Some(Ok(g)) = self.group_ledger.request_lease(now, id, &request)
            {
                let policy = self.rule.policy();
                self.reserves[c].apply(now, id, &ReserveCommand::Granted(BUDGET.into(), g, policy));
            }
        }
    }

    /// Reports the use of a data centre's reserve to the control group's ledger.
    fn report_reserve(&mut self, c: usize, holder: HolderId) {
        let now = Time(self.now);
        for r in self.reserves[c].reports(BUDGET) {
            if self.group_ledger.apply_report(now, holder, &r) {
                let id = self.next_lease_id();
                self.reserves[c].apply(now, id, &ReserveCommand::Acknowledged(BUDGET.into(), r));
            }
        }
    }

    /// Reports the use of the router's reserve slices to the data centre's reserve.
    fn report_reserve_slices(&mut self, n: usize) {
        let (now, holder, id) = (Time(self.now), self.routers[n].holder, self.next_lease_id());
        if self.can_reach_ledger(n) {
            self.routers[n].reserve_slices.return_idle();
        }
        let reports = self.routers[n].reserve_slices.reports(now);
        let command = ReserveCommand::Report(holder, reports.clone());
        if let ReserveAnswer::Reported(known) =
            self.reserves[n % DATA_CENTRES].apply(now, id, &command)
        {
            for (r, known) in reports.iter().zip(known) {
                self.routers[n].reserve_slices.acknowledge(now, r, known);
            }
        }
    }

    /// Runs the periodic work of all processes, and injects router kills.
    pub fn tick(&mut self) {
        for n in 0..ROUTERS {
            self.end_requests(n);
            if self.has_reserves() && self.is_alive(n) {
                self.report_reserve_slices(n);
            }
            if !self.is_alive(n) || !self.can_reach_ledger(n) {
                continue;
            }
            match self.rule {
                Rule::Escrow(_) => self.routers[n].slices.return_excess(Time(self.now)),
                Rule::PerRequest => self.routers[n].slices.return_idle(),
                _ => {}
            }
            self.report(n);
        }
        if self.fault == Fault::RegionPartition
            && self.uses_region_ledger()
            && !self.is_partition_time()
        {
            self.refill_region();
        }
        if self.has_reserves() && self.fault != Fault::RegionPartition {
            self.adjust_reserves();
        }
        if self.fault == Fault::RouterKills && self.now.is_multiple_of(60_000) && self.now > 0 {
            self.kill((self.now / 60_000) as usize % ROUTERS);
        }
    }

    /// Settles the reservations of the requests that have ended.
    fn end_requests(&mut self, n: usize) {
        let now = self.now;
        let mut running = VecDeque::new();
        while let Some(r) = self.routers[n].running.pop_front() {
            if r.end > now {
                running.push_back(r);
                continue;
            }
            let router = &mut self.routers[n];
            let slices =
                if r.from_reserve { &mut router.reserve_slices } else { &mut router.slices };
            self.consumed += slices.settle(Time(now), r.reservation, r.used);
        }
        self.routers[n].running = running;
    }

    /// Kills a router and replaces it after five seconds. The use of its running requests counts as
    /// consumed, but is not reported.
    fn kill(&mut self, n: usize) {
        let running = std::mem::take(&mut self.routers[n].running);
        self.consumed += running.iter().map(|r| r.reservation.amount().min(r.used)).sum::<u64>();
        self.routers[n] = self.new_router();
        self.routers[n].dead_until = self.now + 5_000;
    }

    /// Refills the second region's ledger to a quarter of the free tokens once it is below half of that.
    fn refill_region(&mut self) {
        let (now, id) = (Time(self.now), self.next_lease_id());
        for r in self.region.reports(BUDGET) {
            if self.group_ledger.apply_report(now, HolderId(1), &r) {
                self.region.acknowledge(BUDGET, &r);
            }
        }
        let f = self.group_ledger.get(BUDGET).unwrap();
        let target = f.free() / 4;
        let have = self.region.ledger().get(BUDGET).map_or(0, |f| f.free());
        if have >= target / 2 {
            return;
        }
        let seq = self.region_seq + 1;
        let request = LeaseRequest {
            holder: HolderId(1),
            budget: BUDGET.into(),
            seq,
            need: 1,
            want: target - have,
        };
        if let Some(Ok(g)) = self.group_ledger.request_lease(now, id, &request) {
            self.region_seq = seq;
            self.region.add_allotment(BUDGET, &g, self.rule.policy());
        }
    }
}
