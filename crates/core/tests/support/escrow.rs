//! Simulates one ledger and its routers' slice stores, with message faults, pauses and restarts.

use cypressfork_core::budget::{
    Decision, Grant, LeaseRequest, Ledger, Policy, Report, Reservation, Shortage, SliceStore,
};
use cypressfork_core::unit::{HolderId, LeaseId, Millis, Time};

pub const BUDGET: &str = "club-talk";

/// A kind of message between a router and the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    Request,
    RequestAnswer,
    Report,
    ReportAnswer,
}

/// A copy of a delivered message, for a second delivery.
enum Duplicate {
    Request(LeaseRequest),
    Answer(usize, u64, Decision),
    Report(usize, Vec<Report>),
    Ack(usize, Time, Vec<(Report, bool)>),
}

/// A router's process.
struct Router {
    holder: HolderId,
    slices: SliceStore,
    alive: bool,
    paused: bool,
    /// The waiting request: the tokens it reserves and the tokens it then spends.
    waiting: Option<(u64, u64)>,
}

/// One budget's ledger and the routers that lease from it.
pub struct Escrow {
    ledger: Ledger,
    routers: Vec<Router>,
    now: Time,
    /// Clock speeds of the holders and the grantor, in percent of true time.
    clocks: (u64, u64),
    last_lease_index: u64,
    last_holder_id: u64,
    consumed: u64,
    /// The kind of message to lose, and how many more times.
    drop_rule: Option<(MessageKind, u32)>,
    /// The kind of message to record for a second delivery.
    duplicate_kind: Option<MessageKind>,
    duplicates: Vec<Duplicate>,
}

impl Escrow {
    pub fn new(total: u64, routers: usize) -> Escrow {
        Escrow::start(total, routers, (100, 100))
    }

    /// Creates one router whose clock and whose grantor's clock run at these percentages of true
    /// time.
    pub fn with_clocks(total: u64, holder: u64, grantor: u64) -> Escrow {
        Escrow::start(total, 1, (holder, grantor))
    }

    fn start(total: u64, routers: usize, clocks: (u64, u64)) -> Escrow {
        let mut ledger = Ledger::default();
        ledger.fund(BUDGET, total, policy());
        let mut e = Escrow {
            ledger,
            routers: Vec::new(),
            now: Time(1_000_000),
            clocks,
            last_lease_index: 0,
            last_holder_id: 0,
            consumed: 0,
            drop_rule: None,
            duplicate_kind: None,
            duplicates: Vec::new(),
        };
        for _ in 0..routers {
            let r = e.new_router();
            e.routers.push(r);
        }
        e
    }

    fn new_router(&mut self) -> Router {
        self.last_holder_id += 1;
        let slices = SliceStore::new(policy(), 0);
        Router {
            holder: HolderId(self.last_holder_id),
            slices,
            alive: true,
            paused: false,
            waiting: None,
        }
    }

    fn next_lease_id(&mut self) -> LeaseId {
        self.last_lease_index += 1;
        LeaseId { term: 1, index: self.last_lease_index }
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

    /// Advances true time.
    pub fn advance(&mut self, span: Millis) {
        self.now = self.now.after(span);
    }

    /// Loses the next `times` messages of this kind.
    pub fn drop_messages(&mut self, kind: MessageKind, times: u32) {
        self.drop_rule = Some((kind, times));
    }

    /// Records every message of this kind for [`Escrow::replay_duplicates`].
    pub fn duplicate_messages(&mut self, kind: MessageKind) {
        self.duplicate_kind = Some(kind);
    }

    fn should_drop(&mut self, kind: MessageKind) -> bool {
        match &mut self.drop_rule {
            Some((k, n)) if *k == kind && *n > 0 => {
                *n -= 1;
                true
            }
            _ => false,
        }
    }

    /// Starts a request on router `n` that reserves `tokens` and spends `used`. Without enough
    /// idle tokens it waits for the next exchange.
    pub fn spend(&mut self, n: usize, tokens: u64, used: u64) {
        self.routers[n].waiting = Some((tokens, used));
        self.retry_waiting(n);
    }

    fn retry_waiting(&mut self, n: usize) {
        let Some((tokens, used)) = self.routers[n].waiting else { return };
        if let Some(r) = self.try_reserve(n, tokens) {
            self.routers[n].waiting = None;
            self.settle(n, r, used);
        }
    }

    /// Reserves from the slices that router `n` holds, without requesting a lease.
    pub fn try_reserve(&mut self, n: usize, tokens: u64) -> Option<Reservation> {
        let now = self.holder_now();
        self.routers[n].slices.reserve(now, tokens)
    }

    /// Reserves, after one lease request if the slices do not suffice.
    pub fn reserve(&mut self, n: usize, tokens: u64) -> Option<Reservation> {
        if let Some(r) = self.try_reserve(n, tokens) {
            return Some(r);
        }
        self.request_lease(n, tokens).ok()?;
        self.try_reserve(n, tokens)
    }

    pub fn settle(&mut self, n: usize, r: Reservation, used: u64) {
        let now = self.holder_now();
        self.consumed += self.routers[n].slices.settle(now, r, used);
    }

    /// Requests a lease, without message faults.
    pub fn request_lease(&mut self, n: usize, need: u64) -> Decision {
        let now = self.holder_now();
        let holder = self.routers[n].holder;
        let Some(request) = self.routers[n].slices.next_request(now, holder, BUDGET, need) else {
            return Err(Shortage::Busy(Millis(1)));
        };
        let id = self.next_lease_id();
        let decision = self.ledger.request_lease(self.grantor_now(), id, &request).unwrap();
        self.routers[n].slices.apply_decision(request.seq, &decision);
        decision
    }

    /// Requests a lease from another ledger; the granted answer never arrives.
    pub fn request_lease_from(&mut self, mut other: Ledger, n: usize, need: u64) {
        let now = self.holder_now();
        let holder = self.routers[n].holder;
        let request = self.routers[n].slices.next_request(now, holder, BUDGET, need).unwrap();
        let id = self.next_lease_id();
        assert!(other.request_lease(self.grantor_now(), id, &request).unwrap().is_ok());
    }

    pub fn ledger_copy(&self) -> Ledger {
        self.ledger.clone()
    }

    /// Requests leases and answers recalls until the reservation succeeds, is refused, or has waited
    /// for `timeout`. Returns the reservation and the time it took.
    pub fn reserve_with_recalls(
        &mut self,
        n: usize,
        tokens: u64,
        timeout: Millis,
    ) -> Result<(Reservation, Millis), Shortage> {
        let start = self.now;
        loop {
            if let Some(r) = self.try_reserve(n, tokens) {
                return Ok((r, self.now.since(start)));
            }
            match self.request_lease(n, tokens) {
                Ok(_) => {}
                Err(Shortage::Busy(span)) if self.now.since(start) < timeout => {
                    self.advance(span);
                    self.recall_all();
                }
                Err(s) => return Err(s),
            }
        }
    }

    /// Lets every live router that has a recall pending return its idle tokens.
    fn recall_all(&mut self) {
        for n in 0..self.routers.len() {
            let holder = self.routers[n].holder;
            let recalled = self.ledger.recalls(self.grantor_now(), holder).count() > 0;
            if recalled && self.routers[n].alive && !self.routers[n].paused {
                self.routers[n].slices.return_idle();
                self.report_all(n);
            }
        }
    }

    /// Runs one round of lease requests, reports and recalls for every live router.
    pub fn exchange(&mut self) {
        for n in 0..self.routers.len() {
            if self.routers[n].alive && !self.routers[n].paused {
                self.request_lease_with_faults(n);
                self.retry_waiting(n);
            }
        }
        for n in 0..self.routers.len() {
            if self.routers[n].alive && !self.routers[n].paused {
                let now = self.holder_now();
                self.routers[n].slices.return_excess(now);
                self.report_all(n);
            }
        }
        self.recall_all();
    }

    fn request_lease_with_faults(&mut self, n: usize) {
        let now = self.holder_now();
        let need = self.routers[n].waiting.map_or(0, |w| w.0);
        let holder = self.routers[n].holder;
        if need == 0 && !self.routers[n].slices.is_low(now) {
            return;
        }
        let Some(request) = self.routers[n].slices.next_request(now, holder, BUDGET, need) else {
            return;
        };
        if self.should_drop(MessageKind::Request) {
            return;
        }
        if self.duplicate_kind == Some(MessageKind::Request) {
            self.duplicates.push(Duplicate::Request(request.clone()));
        }
        let id = self.next_lease_id();
        let decision = self.ledger.request_lease(self.grantor_now(), id, &request).unwrap();
        if self.should_drop(MessageKind::RequestAnswer) {
            return;
        }
        if self.duplicate_kind == Some(MessageKind::RequestAnswer) {
            self.duplicates.push(Duplicate::Answer(n, request.seq, decision));
        }
        self.routers[n].slices.apply_decision(request.seq, &decision);
    }

    /// Sends the pending reports of router `n`.
    pub fn report_all(&mut self, n: usize) {
        let now = self.holder_now();
        let reports = self.routers[n].slices.reports(now);
        if reports.is_empty() || self.should_drop(MessageKind::Report) {
            return;
        }
        if self.duplicate_kind == Some(MessageKind::Report) {
            self.duplicates.push(Duplicate::Report(n, reports.clone()));
        }
        let acks = self.deliver(n, &reports);
        if self.should_drop(MessageKind::ReportAnswer) {
            return;
        }
        if self.duplicate_kind == Some(MessageKind::ReportAnswer) {
            self.duplicates.push(Duplicate::Ack(n, now, acks.clone()));
        }
        for (r, known) in acks {
            self.routers[n].slices.acknowledge(now, &r, known);
        }
    }

    fn deliver(&mut self, n: usize, reports: &[Report]) -> Vec<(Report, bool)> {
        let (now, holder) = (self.grantor_now(), self.routers[n].holder);
        reports.iter().map(|r| (*r, self.ledger.apply_report(now, holder, r))).collect()
    }

    /// Delivers every recorded message a second time, newest first.
    pub fn replay_duplicates(&mut self) {
        for duplicate in std::mem::take(&mut self.duplicates).into_iter().rev() {
            match duplicate {
                Duplicate::Request(request) => {
                    let id = self.next_lease_id();
                    let decision =
                        self.ledger.request_lease(self.grantor_now(), id, &request).unwrap();
                    let n = self.routers.iter().position(|r| r.holder == request.holder).unwrap();
                    self.routers[n].slices.apply_decision(request.seq, &decision);
                }
                Duplicate::Answer(n, seq, d) => self.routers[n].slices.apply_decision(seq, &d),
                Duplicate::Report(n, reports) => {
                    self.deliver(n, &reports);
                }
                Duplicate::Ack(n, sent, acks) => {
                    for (r, known) in acks {
                        self.routers[n].slices.acknowledge(sent, &r, known);
                    }
                }
            }
        }
    }

    /// Lets every live router report and return all idle tokens.
    pub fn return_all(&mut self) {
        for _ in 0..8 {
            for n in 0..self.routers.len() {
                if self.routers[n].alive && !self.routers[n].paused {
                    self.request_lease_with_faults(n);
                    self.routers[n].waiting = None;
                    self.routers[n].slices.return_idle();
                    self.report_all(n);
                }
            }
        }
    }

    /// Spends as much as possible on all routers but `except`, in requests of 50 tokens.
    pub fn drain_others(&mut self, except: usize) {
        for n in (0..self.routers.len()).filter(|n| *n != except) {
            while let Ok((r, _)) = self.reserve_with_recalls(n, 50, Millis(5_000)) {
                self.settle(n, r, 50);
                self.assert_invariants();
            }
            self.report_all(n);
        }
    }

    pub fn kill(&mut self, n: usize) {
        self.routers[n].alive = false;
    }

    pub fn pause(&mut self, n: usize) {
        self.routers[n].paused = true;
    }

    pub fn resume(&mut self, n: usize) {
        self.routers[n].paused = false;
    }

    /// Replaces the process of router `n`. Returns a report of the old process.
    pub fn restart(&mut self, n: usize) -> Report {
        let old = self.routers[n].slices.reports(Time(u64::MAX))[0];
        self.routers[n] = self.new_router();
        old
    }

    /// Sends a report under the registration of router `n`. Returns whether the ledger knows the
    /// lease as its own.
    pub fn report_as(&mut self, n: usize, r: Report) -> bool {
        let (now, holder) = (self.grantor_now(), self.routers[n].holder);
        self.ledger.apply_report(now, holder, &r)
    }

    /// Releases all leases of router `n`. Returns the freed tokens.
    pub fn release(&mut self, n: usize) -> u64 {
        let holder = self.routers[n].holder;
        let budget_state = self.ledger.get(BUDGET).unwrap();
        let ids: Vec<_> =
            budget_state.leases().filter(|(_, l)| l.holder == holder).map(|(id, _)| *id).collect();
        ids.into_iter().filter_map(|id| self.ledger.release(id)).sum()
    }

    /// Grants a lease of exactly this size that no slice store receives.
    pub fn grant_exactly(&mut self, n: usize, amount: u64) -> LeaseId {
        let request = LeaseRequest {
            holder: self.routers[n].holder,
            budget: BUDGET.to_owned(),
            seq: 1_000_000 + self.last_lease_index,
            need: amount,
            want: amount,
        };
        let id = self.next_lease_id();
        let g: Grant =
            self.ledger.request_lease(self.grantor_now(), id, &request).unwrap().unwrap();
        assert_eq!(g.amount, amount);
        g.lease
    }

    /// Leases a slice of exactly this size to router `n`.
    pub fn lease_exactly(&mut self, n: usize, amount: u64) {
        let now = self.holder_now();
        let holder = self.routers[n].holder;
        let mut request = self.routers[n].slices.next_request(now, holder, BUDGET, amount).unwrap();
        request.need = amount;
        request.want = amount;
        let id = self.next_lease_id();
        let d = self.ledger.request_lease(self.grantor_now(), id, &request).unwrap();
        self.routers[n].slices.apply_decision(request.seq, &d);
        assert_eq!(d.unwrap().amount, amount);
    }

    /// Applies a report of router `n` on one lease to the ledger.
    pub fn report(&mut self, n: usize, lease: LeaseId, used: u64, keep: u64) {
        let (now, holder) = (self.grantor_now(), self.routers[n].holder);
        self.ledger.apply_report(now, holder, &Report { lease, used, keep, tight: false });
    }

    pub fn fund(&mut self, total: u64) {
        self.ledger.fund(BUDGET, total, policy());
    }

    /// Returns the tokens that all requests have spent.
    pub fn consumed(&self) -> u64 {
        self.consumed
    }

    pub fn ledger_spent(&self) -> u64 {
        self.ledger.get(BUDGET).unwrap().spent()
    }

    pub fn ledger_open(&self) -> u64 {
        self.ledger.get(BUDGET).unwrap().open_tokens()
    }

    pub fn ledger_free(&self) -> u64 {
        self.ledger.get(BUDGET).unwrap().free()
    }

    /// Returns the unreported tokens of expired leases.
    pub fn stranded(&self) -> u64 {
        self.ledger.get(BUDGET).unwrap().stranded(self.grantor_now())
    }

    /// Returns the unreported tokens of router `n`'s leases.
    pub fn held_by(&self, n: usize) -> u64 {
        let holder = self.routers[n].holder;
        let budget_state = self.ledger.get(BUDGET).unwrap();
        budget_state
            .leases()
            .filter(|(_, l)| l.holder == holder)
            .map(|(_, l)| l.open_tokens())
            .sum()
    }

    pub fn idle(&self, n: usize) -> u64 {
        self.routers[n].slices.idle(self.holder_now())
    }

    pub fn is_consistent(&self) -> bool {
        self.ledger.is_consistent()
    }

    /// Asserts that the ledger is consistent and covers all consumption.
    pub fn assert_invariants(&self) {
        assert!(self.is_consistent());
        let budget_state = self.ledger.get(BUDGET).unwrap();
        assert!(budget_state.spent() <= self.consumed, "the ledger counts more than was consumed");
        assert!(
            self.consumed <= budget_state.spent() + budget_state.open_tokens(),
            "more was consumed than was leased"
        );
    }
}

pub fn policy() -> Policy {
    Policy { floor: 400, ..Policy::default() }
}
