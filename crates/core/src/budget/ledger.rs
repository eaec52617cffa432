//! The grantor's side: who holds how much of each budget.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::Policy;
use super::bound::{Bound, Bounds, Chain, Elapsed};
use crate::unit::{HolderId, LeaseId, Millis, Time, Tokens};

/// How long a recall has the budget for itself, and how long a holder may take to answer it.
const RECALL_SPAN: Millis = Millis(1_000);

/// How soon to ask again while a recall finds more.
const RECALL_POLL: Millis = Millis(50);

/// How soon to ask again while only running requests hold tokens that may come back.
const SETTLE_POLL: Millis = Millis(250);

/// How soon a holder that does not answer may be heard again.
const AWAY_SPAN: Millis = Millis(10_000);

/// What a lease's end is stretched by at the grantor, as a fraction, for clocks that drift.
const DRIFT: (u64, u64) = (12, 10);

/// A request for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Who asks.
    pub holder: HolderId,
    /// The budget's name.
    pub budget: String,
    /// Number of the request at its holder for this budget; a resend has the same one.
    pub seq: u64,
    /// What the waiting request needs at least.
    pub need: Tokens,
    /// What the holder would like.
    pub want: Tokens,
}

/// What a holder says of one lease; cumulative, so that lost, doubled and reordered reports do
/// no harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The lease.
    pub lease: LeaseId,
    /// All that was spent from it so far; never falls.
    pub used: Tokens,
    /// What the holder keeps of it, spent part included; never rises.
    pub keep: Tokens,
    /// Nothing of what it keeps is idle.
    pub tight: bool,
}

/// Tokens granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The lease.
    pub lease: LeaseId,
    /// Its size.
    pub amount: Tokens,
    /// How long it lasts, counted by the holder from before it first asked.
    pub span: Millis,
}

/// Why nothing was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shortage {
    /// Tokens are being called back, or running requests may leave some: ask again after this.
    Busy(Millis),
    /// What could be called back is too little; holders that do not answer have more. They may be
    /// heard again after this.
    Away(Millis),
    /// All that can be reached was called back and is too little.
    Spent,
}

/// The answer to an [`Ask`].
pub type Decision = Result<Grant, Shortage>;

/// A part of a budget that one holder may spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Who holds it.
    pub holder: HolderId,
    /// Number of the ask that it answered.
    pub seq: u64,
    /// What the holder may spend from it in all.
    pub keep: Tokens,
    /// What it has reported as spent.
    pub used: Tokens,
    /// When the holder has stopped starting requests on it, by any clock within the drift.
    pub end: Time,
    /// The holder has said that nothing of it is idle.
    pub tight: bool,
    /// When the holder last reported on it, or was granted it.
    pub heard: Time,
}

impl Lease {
    /// What may have been spent without a report.
    pub fn open(&self) -> Tokens {
        self.keep - self.used
    }
}

/// One budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Funds {
    /// Prepaid tokens, top-ups included.
    pub funded: Tokens,
    /// Spent on leases that have closed.
    pub closed: Tokens,
    /// Slice policy.
    pub policy: Policy,
    leases: BTreeMap<LeaseId, Lease>,
    held: Tokens,
    recall: Option<Recall>,
    /// The number of the last ask granted to each holder, to tell a late copy from a new ask.
    granted: BTreeMap<HolderId, u64>,
}

/// A call for idle tokens on behalf of one ask that is made again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Recall {
    holder: HolderId,
    seq: u64,
    since: Time,
    /// When the ask was last made; nobody waits any more some time after.
    asked: Time,
}

impl Recall {
    fn is_for(&self, ask: &Ask) -> bool {
        (self.holder, self.seq) == (ask.holder, ask.seq)
    }

    fn is_on(&self, now: Time) -> bool {
        now.since(self.asked) < RECALL_SPAN
    }

    /// Whether others have to wait for it.
    fn is_exclusive(&self, now: Time) -> bool {
        self.is_on(now) && now.since(self.since) < RECALL_SPAN
    }

    /// Whether a lease's holder had time to answer and did not.
    fn is_unanswered(&self, now: Time, l: &Lease) -> bool {
        now.since(self.since) >= RECALL_SPAN && l.heard <= self.since
    }
}

impl Funds {
    /// Tokens that are neither spent nor held.
    pub fn free(&self) -> Tokens {
        self.funded.saturating_sub(self.closed).saturating_sub(self.held)
    }

    /// Tokens reported as spent.
    pub fn spent(&self) -> Tokens {
        self.closed + self.leases.values().map(|l| l.used).sum::<Tokens>()
    }

    /// Tokens held under leases and not reported as spent.
    pub fn open(&self) -> Tokens {
        self.leases.values().map(Lease::open).sum()
    }

    /// Tokens of leases past their end, which count as spent until their holder reports.
    pub fn stranded(&self, now: Time) -> Tokens {
        self.leases.values().filter(|l| l.end <= now).map(Lease::open).sum()
    }

    /// The open leases.
    pub fn leases(&self) -> impl Iterator<Item = (&LeaseId, &Lease)> {
        self.leases.iter()
    }

    /// Whether idle tokens are called back at `now`.
    pub fn recalling(&self, now: Time) -> bool {
        self.recall.is_some_and(|r| r.is_on(now)) || self.overdrawn()
    }

    /// Whether more is spent and held than is prepaid, as after a cut of the budget.
    pub fn overdrawn(&self) -> bool {
        self.closed + self.held > self.funded
    }

    fn holders(&self) -> u64 {
        let mut ids: Vec<_> = self.leases.values().map(|l| l.holder).collect();
        ids.sort_unstable();
        ids.dedup();
        ids.len() as u64
    }

    /// The lease that an earlier copy of the ask was granted, if that is still open.
    fn granted_before(&self, ask: &Ask) -> Option<(LeaseId, Lease)> {
        let same = |l: &Lease| l.holder == ask.holder && l.seq == ask.seq;
        self.leases.iter().find(|(_, l)| same(l)).map(|(id, l)| (*id, *l))
    }

    fn grant(&mut self, now: Time, id: LeaseId, ask: &Ask, amount: Tokens) -> Grant {
        let span = self.policy.offline;
        let end = now.after(span.scale(DRIFT.0, DRIFT.1));
        let (holder, seq) = (ask.holder, ask.seq);
        let lease = Lease { holder, seq, keep: amount, used: 0, end, tight: false, heard: now };
        self.leases.insert(id, lease);
        self.held += amount;
        self.granted.insert(holder, seq);
        Grant { lease: id, amount, span }
    }

    /// Why nothing was granted; starts or keeps up the recall of what others hold.
    fn shortage(&mut self, now: Time, ask: &Ask) -> Shortage {
        if ask.need == 0 {
            return Shortage::Busy(SETTLE_POLL);
        }
        if self.cannot_meet(now, ask.need) {
            self.recall.take_if(|r| r.is_for(ask));
            return Shortage::Spent;
        }
        let recall = self.keep_recall(now, ask);
        let live = || self.leases.values().filter(|l| l.end > now);
        let reachable = || live().filter(|l| !recall.is_unanswered(now, l));
        let free = self.free();
        if free + reachable().map(Lease::open).sum::<Tokens>() < ask.need {
            return Shortage::Away(AWAY_SPAN);
        }
        let idle = reachable().any(|l| l.holder != ask.holder && !l.tight);
        Shortage::Busy(if idle { RECALL_POLL } else { SETTLE_POLL })
    }

    /// Whether all that is free and all that live leases may leave come to less than `need`.
    fn cannot_meet(&self, now: Time, need: Tokens) -> bool {
        let live = self.leases.values().filter(|l| l.end > now);
        self.free() + live.map(Lease::open).sum::<Tokens>() < need
    }

    fn keep_recall(&mut self, now: Time, ask: &Ask) -> Recall {
        let mut r = match self.recall.filter(|r| r.is_on(now)) {
            Some(r) => r,
            None => self.start_recall(now, ask),
        };
        if r.is_for(ask) {
            r.asked = now;
        }
        self.recall = Some(r);
        r
    }

    fn start_recall(&mut self, now: Time, ask: &Ask) -> Recall {
        for l in self.leases.values_mut() {
            l.tight = false;
        }
        Recall { holder: ask.holder, seq: ask.seq, since: now, asked: now }
    }

    /// The answer to an ask that was granted before, or to a late copy of one.
    fn answered(&self, ask: &Ask) -> Option<Decision> {
        if let Some((lease, l)) = self.granted_before(ask) {
            return Some(Ok(Grant { lease, amount: l.keep, span: self.policy.offline }));
        }
        let late = self.granted.get(&ask.holder).is_some_and(|seq| ask.seq <= *seq);
        late.then_some(Err(Shortage::Busy(SETTLE_POLL)))
    }

    fn offer(&mut self, now: Time, id: LeaseId, ask: &Ask, want: Tokens) -> Option<Grant> {
        let holders = self.holders().max(1);
        let amount = self.policy.give(self.free(), holders, ask.need, want)?;
        Some(self.grant(now, id, ask, amount))
    }

    fn ask(&mut self, now: Time, id: LeaseId, ask: &Ask) -> Decision {
        if let Some(decision) = self.answered(ask) {
            return decision;
        }
        let recall = self.recall.filter(|r| r.is_on(now));
        let is_kept_out = recall.is_some_and(|r| r.is_exclusive(now) && !r.is_for(ask));
        // Waiting for its turn would not help an ask that nothing can meet.
        if is_kept_out && !self.cannot_meet(now, ask.need) {
            return Err(Shortage::Busy(RECALL_POLL));
        }
        let want = if recall.is_some() { ask.need } else { ask.want };
        let Some(grant) = self.offer(now, id, ask, want) else {
            return Err(self.shortage(now, ask));
        };
        if recall.is_some_and(|r| r.is_for(ask)) {
            self.recall = None;
        }
        Ok(grant)
    }

    fn ask_once(&mut self, now: Time, id: LeaseId, ask: &Ask) -> Decision {
        if let Some(decision) = self.answered(ask) {
            return decision;
        }
        self.offer(now, id, ask, ask.want).ok_or(Shortage::Spent)
    }

    fn report(&mut self, now: Time, holder: HolderId, r: &Report) -> bool {
        let span = self.policy.offline.scale(DRIFT.0, DRIFT.1);
        let Some(l) = self.leases.get_mut(&r.lease).filter(|l| l.holder == holder) else {
            return false;
        };
        l.used = l.used.max(r.used.min(l.keep));
        let keep = r.keep.clamp(l.used, l.keep);
        self.held -= l.keep - keep;
        l.keep = keep;
        l.tight = r.tight;
        l.heard = now;
        l.end = l.end.max(now.after(span));
        if l.keep == l.used {
            self.close(r.lease);
        }
        true
    }

    /// Closes a lease of which up to `unreported` more was spent; returns how much of that it
    /// could hold.
    fn close_with(&mut self, id: LeaseId, unreported: Tokens) -> Tokens {
        let Some(l) = self.leases.get_mut(&id) else { return 0 };
        let more = l.open().min(unreported);
        l.used += more;
        self.close(id);
        more
    }

    fn close(&mut self, id: LeaseId) {
        if let Some(l) = self.leases.remove(&id) {
            self.held -= l.keep;
            self.closed += l.used;
        }
    }
}

/// What the end of a dead holder's leases comes to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteOff {
    /// Tokens that count as spent though nobody reported them.
    pub counted: Tokens,
    /// Tokens that come free.
    pub freed: Tokens,
}

/// All budgets of one grantor.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Ledger {
    funds: BTreeMap<String, Funds>,
    budget_of: BTreeMap<LeaseId, String>,
    /// The budgets that may be calling tokens back.
    recalling: BTreeSet<String>,
    #[serde(default)]
    bounds: Bounds,
}

impl Ledger {
    /// Sets what is prepaid for `budget` in all, and its slice policy.
    ///
    /// A total below what is spent and held is taken: no more is granted, idle tokens are called
    /// back, and what was leased may still be spent.
    pub fn fund(&mut self, budget: &str, funded: Tokens, policy: Policy) {
        let f = self.funds.entry(budget.to_owned()).or_default();
        f.funded = funded;
        f.policy = policy;
        self.note_recall(budget);
    }

    fn note_recall(&mut self, budget: &str) {
        let open = |f: &Funds| f.recall.is_some() || f.overdrawn();
        let active = self.funds.get(budget).is_some_and(open);
        if !active {
            self.recalling.remove(budget);
        } else if !self.recalling.contains(budget) {
            self.recalling.insert(budget.to_owned());
        }
    }

    /// One budget.
    pub fn get(&self, budget: &str) -> Option<&Funds> {
        self.funds.get(budget)
    }

    /// All budgets by name.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Funds)> {
        self.funds.iter()
    }

    /// The budget that a lease belongs to.
    pub fn budget_of(&self, lease: LeaseId) -> Option<&str> {
        self.budget_of.get(&lease).map(String::as_str)
    }

    /// Decides an ask; `id` names the lease if one is granted. `None`: no such budget.
    pub fn ask(&mut self, now: Time, id: LeaseId, ask: &Ask) -> Option<Decision> {
        let decision = self.funds.get_mut(&ask.budget)?.ask(now, id, ask);
        self.note_recall(&ask.budget);
        Some(self.note_lease(id, ask, decision))
    }

    /// Decides an ask from what is free, and calls nothing back.
    pub fn ask_once(&mut self, now: Time, id: LeaseId, ask: &Ask) -> Option<Decision> {
        let decision = self.funds.get_mut(&ask.budget)?.ask_once(now, id, ask);
        Some(self.note_lease(id, ask, decision))
    }

    fn note_lease(&mut self, id: LeaseId, ask: &Ask, decision: Decision) -> Decision {
        if decision.is_ok_and(|g| g.lease == id) {
            self.budget_of.insert(id, ask.budget.clone());
        }
        decision
    }

    /// Takes a holder's report; false if the lease is not open or not that holder's.
    pub fn report(&mut self, now: Time, holder: HolderId, r: &Report) -> bool {
        let Some(f) = self.budget_of.get(&r.lease).and_then(|b| self.funds.get_mut(b)) else {
            return false;
        };
        let known = f.report(now, holder, r);
        if !f.leases.contains_key(&r.lease) {
            self.budget_of.remove(&r.lease);
        }
        known
    }

    /// Closes a lease whose holder is known never to spend from it again, and frees what it had
    /// not reported. Returns what came free; `None` if the lease is not open.
    ///
    /// The caller vouches for it: this is the one place where tokens come back without a proof.
    pub fn release(&mut self, id: LeaseId) -> Option<Tokens> {
        let f = self.budget_of.remove(&id).and_then(|b| self.funds.get_mut(&b))?;
        let open = f.leases.get(&id).map(Lease::open)?;
        f.close(id);
        Some(open)
    }

    /// Takes a holder's bounds, see [`Bounds::tell`].
    pub fn tell(&mut self, holder: HolderId, at: Time, seq: u64, after: u64, bounds: &[Bound]) {
        self.bounds.tell(holder, at, seq, after, bounds);
    }

    /// The two last reports of a holder.
    pub fn chain(&self, holder: HolderId) -> Chain {
        self.bounds.chain(holder)
    }

    /// What [`Ledger::write_off`] would come to, over all budgets that bind their holders.
    pub fn write_off_of(&self, holder: HolderId, e: &Elapsed) -> WriteOff {
        let mut sum = WriteOff::default();
        for (name, f) in self.funds.iter().filter(|(_, f)| f.policy.bounded) {
            let of_holder = f.leases.values().filter(|l| l.holder == holder);
            let open: Tokens = of_holder.map(Lease::open).sum();
            let counted = open.min(self.bounds.unreported(holder, name, e));
            sum.counted += counted;
            sum.freed += open - counted;
        }
        sum
    }

    /// Ends the leases of a holder that is known to be dead. What it can have spent unreported by
    /// its own word counts as spent; the rest comes free. Leases of budgets that bind nobody stay.
    pub fn write_off(&mut self, holder: HolderId, e: &Elapsed) {
        let bounds = &self.bounds;
        for (name, f) in self.funds.iter_mut().filter(|(_, f)| f.policy.bounded) {
            let mut left = bounds.unreported(holder, name, e);
            let ids: Vec<_> =
                f.leases.iter().filter(|(_, l)| l.holder == holder).map(|(id, _)| *id).collect();
            for id in ids {
                left -= f.close_with(id, left);
                self.budget_of.remove(&id);
            }
        }
        self.bounds.forget(holder);
    }

    /// Forgets a holder that makes no more asks: one that has gone or was replaced. Its leases
    /// stay until they are reported on.
    pub fn forget(&mut self, holder: HolderId) {
        for f in self.funds.values_mut() {
            f.granted.remove(&holder);
        }
    }

    /// The budgets of which `holder` is asked to return what is idle.
    pub fn recalls(&self, now: Time, holder: HolderId) -> impl Iterator<Item = &str> {
        let holds = move |f: &&Funds| f.leases.values().any(|l| l.holder == holder && !l.tight);
        self.recalling
            .iter()
            .filter(move |b| self.funds.get(*b).is_some_and(|f| f.recalling(now) && holds(&f)))
            .map(String::as_str)
    }

    /// Whether every derived sum agrees with the leases: for tests and for the check at start.
    pub fn consistent(&self) -> bool {
        self.funds.values().all(|f| f.held == f.leases.values().map(|l| l.keep).sum::<Tokens>())
            && self.budget_of.len() == self.funds.values().map(|f| f.leases.len()).sum::<usize>()
    }
}
