//! One ledger and its slice stores, with an exchange whose steps can fail.

use cypressfork_core::budget::{
    Decision, Grant, LeaseRequest, Ledger, Policy, Report, Reservation, Shortage, SliceStore,
};
use cypressfork_core::unit::{HolderId, LeaseId, Millis, Time};

pub const BUDGET: &str = "club-talk";

/// A step of the exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    AskSent,
    AskAnswered,
    ReportSent,
    ReportAnswered,
}

/// A message that is kept to be delivered a second time.
enum Copy {
    Ask(LeaseRequest),
    Answer(usize, u64, Decision),
    Report(usize, Vec<Report>),
    Ack(usize, Time, Vec<(Report, bool)>),
}

struct Node {
    holder: HolderId,
    slices: SliceStore,
    alive: bool,
    paused: bool,
    /// What a request waits for.
    waiting: Option<(u64, u64)>,
}

pub struct Escrow {
    ledger: Ledger,
    nodes: Vec<Node>,
    now: Time,
    /// Percent of true time that the holders' and the grantor's clocks show.
    clocks: (u64, u64),
    index: u64,
    holders: u64,
    consumed: u64,
    lose: Option<(Step, u32)>,
    double: Option<Step>,
    copies: Vec<Copy>,
}

impl Escrow {
    pub fn new(total: u64, routers: usize) -> Escrow {
        Escrow::start(total, routers, (100, 100))
    }

    pub fn with_clocks(total: u64, holder: u64, grantor: u64) -> Escrow {
        Escrow::start(total, 1, (holder, grantor))
    }

    fn start(total: u64, routers: usize, clocks: (u64, u64)) -> Escrow {
        let mut ledger = Ledger::default();
        ledger.fund(BUDGET, total, policy());
        let mut e = Escrow {
            ledger,
            nodes: Vec::new(),
            now: Time(1_000_000),
            clocks,
            index: 0,
            holders: 0,
            consumed: 0,
            lose: None,
            double: None,
            copies: Vec::new(),
        };
        for _ in 0..routers {
            let n = e.node();
            e.nodes.push(n);
        }
        e
    }

    fn node(&mut self) -> Node {
        self.holders += 1;
        let slices = SliceStore::new(policy(), 0);
        Node { holder: HolderId(self.holders), slices, alive: true, paused: false, waiting: None }
    }

    fn id(&mut self) -> LeaseId {
        self.index += 1;
        LeaseId { term: 1, index: self.index }
    }

    fn holder_now(&self) -> Time {
        Time(self.now.0 * self.clocks.0 / 100)
    }

    fn grantor_now(&self) -> Time {
        Time(self.now.0 * self.clocks.1 / 100)
    }

    pub fn now(&self) -> Time {
        self.now
    }

    pub fn pass(&mut self, span: Millis) {
        self.now = self.now.after(span);
    }

    pub fn lose(&mut self, step: Step, times: u32) {
        self.lose = Some((step, times));
    }

    pub fn double(&mut self, step: Step) {
        self.double = Some(step);
    }

    fn lost(&mut self, step: Step) -> bool {
        match &mut self.lose {
            Some((s, n)) if *s == step && *n > 0 => {
                *n -= 1;
                true
            }
            _ => false,
        }
    }

    /// A request on router `n` that reserves `bound` and uses `used`; it waits if it must.
    pub fn spend(&mut self, n: usize, bound: u64, used: u64) {
        self.nodes[n].waiting = Some((bound, used));
        self.start_waiting(n);
    }

    fn start_waiting(&mut self, n: usize) {
        let Some((bound, used)) = self.nodes[n].waiting else { return };
        if let Some(r) = self.reserve_without_asking(n, bound) {
            self.nodes[n].waiting = None;
            self.settle(n, r, used);
        }
    }

    pub fn reserve_without_asking(&mut self, n: usize, bound: u64) -> Option<Reservation> {
        let now = self.holder_now();
        self.nodes[n].slices.reserve(now, bound)
    }

    /// Reserves, with one ask if it must.
    pub fn reserve(&mut self, n: usize, bound: u64) -> Option<Reservation> {
        if let Some(r) = self.reserve_without_asking(n, bound) {
            return Some(r);
        }
        self.ask(n, bound).ok()?;
        self.reserve_without_asking(n, bound)
    }

    pub fn settle(&mut self, n: usize, r: Reservation, used: u64) {
        let now = self.holder_now();
        self.consumed += self.nodes[n].slices.settle(now, r, used);
    }

    /// One ask without faults.
    pub fn ask(&mut self, n: usize, need: u64) -> Decision {
        let now = self.holder_now();
        let holder = self.nodes[n].holder;
        let Some(ask) = self.nodes[n].slices.next_request(now, holder, BUDGET, need) else {
            return Err(Shortage::Busy(Millis(1)));
        };
        let id = self.id();
        let decision = self.ledger.request_lease(self.grantor_now(), id, &ask).unwrap();
        self.nodes[n].slices.apply_decision(ask.seq, &decision);
        decision
    }

    /// An ask decided on another ledger, whose answer never arrives.
    pub fn ask_on(&mut self, mut other: Ledger, n: usize, need: u64) {
        let now = self.holder_now();
        let holder = self.nodes[n].holder;
        let ask = self.nodes[n].slices.next_request(now, holder, BUDGET, need).unwrap();
        let id = self.id();
        assert!(other.request_lease(self.grantor_now(), id, &ask).unwrap().is_ok());
    }

    pub fn ledger_copy(&self) -> Ledger {
        self.ledger.clone()
    }

    /// Asks, recalls and asks again until it fits or is refused. Returns how long it took.
    pub fn reserve_with_recalls(
        &mut self,
        n: usize,
        bound: u64,
        patience: Millis,
    ) -> Result<(Reservation, Millis), Shortage> {
        let start = self.now;
        loop {
            if let Some(r) = self.reserve_without_asking(n, bound) {
                return Ok((r, self.now.since(start)));
            }
            match self.ask(n, bound) {
                Ok(_) => {}
                Err(Shortage::Busy(span)) if self.now.since(start) < patience => {
                    self.pass(span);
                    self.recall_all();
                }
                Err(s) => return Err(s),
            }
        }
    }

    fn recall_all(&mut self) {
        for n in 0..self.nodes.len() {
            let holder = self.nodes[n].holder;
            let due = self.ledger.recalls(self.grantor_now(), holder).count() > 0;
            if due && self.nodes[n].alive && !self.nodes[n].paused {
                self.nodes[n].slices.return_idle();
                self.report_all(n);
            }
        }
    }

    /// One round between every live router and the ledger.
    pub fn exchange(&mut self) {
        for n in 0..self.nodes.len() {
            if self.nodes[n].alive && !self.nodes[n].paused {
                self.ask_with_faults(n);
                self.start_waiting(n);
            }
        }
        for n in 0..self.nodes.len() {
            if self.nodes[n].alive && !self.nodes[n].paused {
                let now = self.holder_now();
                self.nodes[n].slices.return_excess(now);
                self.report_all(n);
            }
        }
        self.recall_all();
    }

    fn ask_with_faults(&mut self, n: usize) {
        let now = self.holder_now();
        let need = self.nodes[n].waiting.map_or(0, |w| w.0);
        let holder = self.nodes[n].holder;
        if need == 0 && !self.nodes[n].slices.is_low(now) {
            return;
        }
        let Some(ask) = self.nodes[n].slices.next_request(now, holder, BUDGET, need) else {
            return;
        };
        if self.lost(Step::AskSent) {
            return;
        }
        if self.double == Some(Step::AskSent) {
            self.copies.push(Copy::Ask(ask.clone()));
        }
        let id = self.id();
        let decision = self.ledger.request_lease(self.grantor_now(), id, &ask).unwrap();
        if self.lost(Step::AskAnswered) {
            return;
        }
        if self.double == Some(Step::AskAnswered) {
            self.copies.push(Copy::Answer(n, ask.seq, decision));
        }
        self.nodes[n].slices.apply_decision(ask.seq, &decision);
    }

    /// Router `n` reports on all that has changed.
    pub fn report_all(&mut self, n: usize) {
        let now = self.holder_now();
        let reports = self.nodes[n].slices.reports(now);
        if reports.is_empty() || self.lost(Step::ReportSent) {
            return;
        }
        if self.double == Some(Step::ReportSent) {
            self.copies.push(Copy::Report(n, reports.clone()));
        }
        let acks = self.deliver(n, &reports);
        if self.lost(Step::ReportAnswered) {
            return;
        }
        if self.double == Some(Step::ReportAnswered) {
            self.copies.push(Copy::Ack(n, now, acks.clone()));
        }
        for (r, known) in acks {
            self.nodes[n].slices.acknowledge(now, &r, known);
        }
    }

    fn deliver(&mut self, n: usize, reports: &[Report]) -> Vec<(Report, bool)> {
        let (now, holder) = (self.grantor_now(), self.nodes[n].holder);
        reports.iter().map(|r| (*r, self.ledger.report(now, holder, r))).collect()
    }

    /// Delivers every kept message a second time, the newest first.
    pub fn replay_doubled(&mut self) {
        for c in std::mem::take(&mut self.copies).into_iter().rev() {
            match c {
                Copy::Ask(ask) => {
                    let id = self.id();
                    let decision = self.ledger.request_lease(self.grantor_now(), id, &ask).unwrap();
                    let n = self.nodes.iter().position(|n| n.holder == ask.holder).unwrap();
                    self.nodes[n].slices.apply_decision(ask.seq, &decision);
                }
                Copy::Answer(n, seq, d) => self.nodes[n].slices.apply_decision(seq, &d),
                Copy::Report(n, reports) => {
                    self.deliver(n, &reports);
                }
                Copy::Ack(n, sent, acks) => {
                    for (r, known) in acks {
                        self.nodes[n].slices.acknowledge(sent, &r, known);
                    }
                }
            }
        }
    }

    /// Lets every live router hand everything back.
    pub fn settle_all(&mut self) {
        for _ in 0..8 {
            for n in 0..self.nodes.len() {
                if self.nodes[n].alive && !self.nodes[n].paused {
                    self.ask_with_faults(n);
                    self.nodes[n].waiting = None;
                    self.nodes[n].slices.return_idle();
                    self.report_all(n);
                }
            }
        }
    }

    /// Everybody but `except` spends as much as can be had, in requests of 50.
    pub fn drain_others(&mut self, except: usize) {
        for n in (0..self.nodes.len()).filter(|n| *n != except) {
            while let Ok((r, _)) = self.reserve_with_recalls(n, 50, Millis(5_000)) {
                self.settle(n, r, 50);
                self.check();
            }
            self.report_all(n);
        }
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].alive = false;
    }

    pub fn pause(&mut self, n: usize) {
        self.nodes[n].paused = true;
    }

    pub fn resume(&mut self, n: usize) {
        self.nodes[n].paused = false;
    }

    /// Replaces a router's process; returns a report that the old one would make.
    pub fn restart(&mut self, n: usize) -> Report {
        let old = self.nodes[n].slices.reports(Time(u64::MAX))[0];
        self.nodes[n] = self.node();
        old
    }

    pub fn report_as_other(&mut self, n: usize, r: Report) -> bool {
        let (now, holder) = (self.grantor_now(), self.nodes[n].holder);
        self.ledger.report(now, holder, &r)
    }

    pub fn release(&mut self, n: usize) -> u64 {
        let holder = self.nodes[n].holder;
        let f = self.ledger.get(BUDGET).unwrap();
        let ids: Vec<_> =
            f.leases().filter(|(_, l)| l.holder == holder).map(|(id, _)| *id).collect();
        ids.into_iter().filter_map(|id| self.ledger.release(id)).sum()
    }

    /// A lease of exactly this size, not in any slice store.
    pub fn grant_exactly(&mut self, n: usize, amount: u64) -> LeaseId {
        let ask = LeaseRequest {
            holder: self.nodes[n].holder,
            budget: BUDGET.to_owned(),
            seq: 1_000_000 + self.index,
            need: amount,
            want: amount,
        };
        let id = self.id();
        let g: Grant = self.ledger.request_lease(self.grantor_now(), id, &ask).unwrap().unwrap();
        assert_eq!(g.amount, amount);
        g.lease
    }

    /// Gives router `n` a slice of exactly this size.
    pub fn force_slice(&mut self, n: usize, amount: u64) {
        let now = self.holder_now();
        let holder = self.nodes[n].holder;
        let mut ask = self.nodes[n].slices.next_request(now, holder, BUDGET, amount).unwrap();
        ask.need = amount;
        ask.want = amount;
        let id = self.id();
        let d = self.ledger.request_lease(self.grantor_now(), id, &ask).unwrap();
        self.nodes[n].slices.apply_decision(ask.seq, &d);
        assert_eq!(d.unwrap().amount, amount);
    }

    pub fn report(&mut self, n: usize, lease: LeaseId, used: u64, keep: u64) {
        let (now, holder) = (self.grantor_now(), self.nodes[n].holder);
        self.ledger.report(now, holder, &Report { lease, used, keep, tight: false });
    }

    pub fn fund(&mut self, total: u64) {
        self.ledger.fund(BUDGET, total, policy());
    }

    pub fn consumed(&self) -> u64 {
        self.consumed
    }

    pub fn ledger_spent(&self) -> u64 {
        self.ledger.get(BUDGET).unwrap().spent()
    }

    pub fn ledger_open(&self) -> u64 {
        self.ledger.get(BUDGET).unwrap().open()
    }

    pub fn ledger_free(&self) -> u64 {
        self.ledger.get(BUDGET).unwrap().free()
    }

    pub fn stranded(&self) -> u64 {
        self.ledger.get(BUDGET).unwrap().stranded(self.grantor_now())
    }

    pub fn stranded_or_open(&self) -> u64 {
        self.ledger_open()
    }

    pub fn held_by(&self, n: usize) -> u64 {
        let holder = self.nodes[n].holder;
        let f = self.ledger.get(BUDGET).unwrap();
        f.leases().filter(|(_, l)| l.holder == holder).map(|(_, l)| l.open()).sum()
    }

    pub fn idle(&self, n: usize) -> u64 {
        self.nodes[n].slices.idle(self.holder_now())
    }

    pub fn is_consistent(&self) -> bool {
        self.ledger.consistent()
    }

    /// What must hold at every moment.
    pub fn check(&self) {
        assert!(self.is_consistent());
        let f = self.ledger.get(BUDGET).unwrap();
        assert!(f.spent() <= self.consumed, "the ledger shows more than was consumed");
        assert!(self.consumed <= f.spent() + f.open(), "consumed beyond what was leased");
    }
}

pub fn policy() -> Policy {
    Policy { floor: 400, ..Policy::default() }
}
