//! The grantor's side of escrow: tracks each budget's leases and decides lease requests.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::Policy;
use super::bound::{Bound, Bounds, Elapsed, LastReports, UnreportedParts};
use crate::unit::{HolderId, LeaseId, Millis, Time, Tokens};

/// Time for which a recall blocks other requests, and within which a holder has to answer it.
const RECALL_TIMEOUT: Millis = Millis(1_000);

/// Retry delay while a recall can still return idle tokens.
const RECALL_RETRY: Millis = Millis(50);

/// Retry delay while only running requests hold tokens that may be returned.
const SETTLE_RETRY: Millis = Millis(250);

/// Retry delay while holders that do not answer have the missing tokens.
const UNREACHABLE_RETRY: Millis = Millis(10_000);

/// Factor, as a fraction, by which the grantor extends a lease's span to allow for clock drift.
const LEASE_DRIFT: (u64, u64) = (12, 10);

/// A holder's request for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The requesting holder.
    pub holder: HolderId,
    /// Budget name.
    pub budget: String,
    /// Sequence number at the holder for this budget; a resend keeps it.
    pub seq: u64,
    /// Smallest useful grant: what the waiting request of a caller needs; 0 if none waits.
    pub need: Tokens,
    /// Preferred size of the grant.
    pub want: Tokens,
}

/// A holder's report on one lease. Its figures are cumulative, so lost, duplicate and reordered
/// reports are harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The lease.
    pub lease: LeaseId,
    /// Tokens spent from it in total; never decreases.
    pub used: Tokens,
    /// Tokens that the holder keeps, including the spent ones; never increases.
    pub keep: Tokens,
    /// Whether none of the kept tokens is idle, so that a recall would return nothing.
    pub tight: bool,
}

/// A granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The lease.
    pub lease: LeaseId,
    /// Tokens granted.
    pub amount: Tokens,
    /// Duration of the lease; the holder counts it from the first sending of its request.
    pub span: Millis,
}

/// Why a lease request was not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shortage {
    /// A recall is in progress, or running requests may return tokens: retry after this delay.
    Busy(Millis),
    /// Only holders that do not answer have the missing tokens: retry after this delay.
    Away(Millis),
    /// Too few tokens can become available.
    Spent,
}

/// The grantor's answer to a [`LeaseRequest`].
pub type Decision = Result<Grant, Shortage>;

/// A part of a budget that one holder may spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder.
    pub holder: HolderId,
    /// Sequence number of the request that it answered.
    pub seq: u64,
    /// Tokens that the holder may spend from it in total.
    pub keep: Tokens,
    /// Tokens reported as spent.
    pub used: Tokens,
    /// Time by which the holder has stopped starting requests on it, allowing for clock drift.
    pub end: Time,
    /// Whether the holder reported that none of the kept tokens is idle; a new recall resets it.
    pub tight: bool,
    /// Time of the holder's last report on it, or of the grant.
    pub heard: Time,
}

impl Lease {
    /// Returns the kept tokens that are not reported as spent.
    pub fn open_tokens(&self) -> Tokens {
        self.keep - self.used
    }
}

/// The state of one budget at its grantor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetState {
    /// Prepaid tokens, including top-ups.
    pub funded: Tokens,
    /// Tokens spent on closed leases.
    pub closed: Tokens,
    /// Policy that sizes requests and grants.
    pub policy: Policy,
    leases: BTreeMap<LeaseId, Lease>,
    /// Sum of the leases' kept tokens, including the spent ones.
    held: Tokens,
    recall: Option<Recall>,
    /// Sequence number of the last request granted to each holder; detects late duplicates.
    granted: BTreeMap<HolderId, u64>,
}

/// A recall of idle tokens for one request, which its holder retries until it is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Recall {
    /// The holder whose request it is for, and the number of that request.
    holder: HolderId,
    seq: u64,
    /// When it started.
    since: Time,
    /// When the request was last received; the recall lapses when retries stop.
    asked: Time,
}

impl Recall {
    fn is_for(&self, request: &LeaseRequest) -> bool {
        (self.holder, self.seq) == (request.holder, request.seq)
    }

    fn is_active(&self, now: Time) -> bool {
        now.since(self.asked) < RECALL_TIMEOUT
    }

    /// Returns whether other requests have to wait for it.
    fn is_exclusive(&self, now: Time) -> bool {
        self.is_active(now) && now.since(self.since) < RECALL_TIMEOUT
    }

    /// Returns whether a lease's holder has not answered the recall in time.
    fn is_unanswered(&self, now: Time, l: &Lease) -> bool {
        now.since(self.since) >= RECALL_TIMEOUT && l.heard <= self.since
    }
}

impl BudgetState {
    /// Returns the tokens that are neither spent nor leased.
    pub fn free(&self) -> Tokens {
        self.funded.saturating_sub(self.closed).saturating_sub(self.held)
    }

    /// Returns the tokens reported as spent.
    pub fn spent(&self) -> Tokens {
        self.closed + self.leases.values().map(|l| l.used).sum::<Tokens>()
    }

    /// Returns the tokens under open leases that are not reported as spent.
    pub fn open_tokens(&self) -> Tokens {
        self.leases.values().map(Lease::open_tokens).sum()
    }

    /// Returns the unreported tokens of expired leases, which count as spent until their holder
    /// reports.
    pub fn stranded(&self, now: Time) -> Tokens {
        self.leases.values().filter(|l| l.end <= now).map(Lease::open_tokens).sum()
    }

    /// Iterates over the open leases.
    pub fn leases(&self) -> impl Iterator<Item = (&LeaseId, &Lease)> {
        self.leases.iter()
    }

    /// Returns whether idle tokens are being recalled at `now`.
    pub fn is_recalling(&self, now: Time) -> bool {
        self.recall.is_some_and(|r| r.is_active(now)) || self.is_overdrawn()
    }

    /// Returns whether more tokens are spent and held than prepaid, as after a budget reduction.
    pub fn is_overdrawn(&self) -> bool {
        self.closed + self.held > self.funded
    }

    fn holder_count(&self) -> u64 {
        let mut ids: Vec<_> = self.leases.values().map(|l| l.holder).collect();
        ids.sort_unstable();
        ids.dedup();
        ids.len() as u64
    }

    /// Returns the open lease that an earlier copy of the request was granted.
    fn find_granted(&self, request: &LeaseRequest) -> Option<(LeaseId, Lease)> {
        let same = |l: &Lease| l.holder == request.holder && l.seq == request.seq;
        self.leases.iter().find(|(_, l)| same(l)).map(|(id, l)| (*id, *l))
    }

    fn grant(&mut self, now: Time, id: LeaseId, request: &LeaseRequest, amount: Tokens) -> Grant {
        let span = self.policy.offline;
        let end = now.after(span.scale(LEASE_DRIFT.0, LEASE_DRIFT.1));
        let (holder, seq) = (request.holder, request.seq);
        let lease = Lease { holder, seq, keep: amount, used: 0, end, tight: false, heard: now };
        self.leases.insert(id, lease);
        self.held += amount;
        self.granted.insert(holder, seq);
        Grant { lease: id, amount, span }
    }

    /// Returns why a request cannot be granted, and starts or continues a recall for it.
    fn shortage(&mut self, now: Time, request: &LeaseRequest) -> Shortage {
        if request.need == 0 {
            return Shortage::Busy(SETTLE_RETRY);
        }
        if self.cannot_meet(now, request.need) {
            self.recall.take_if(|r| r.is_for(request));
            return Shortage::Spent;
        }
        let recall = self.refresh_recall(now, request);
        let live = || self.leases.values().filter(|l| l.end > now);
        let reachable = || live().filter(|l| !recall.is_unanswered(now, l));
        let free = self.free();
        if free + reachable().map(Lease::open_tokens).sum::<Tokens>() < request.need {
            return Shortage::Away(UNREACHABLE_RETRY);
        }
        let idle = reachable().any(|l| l.holder != request.holder && !l.tight);
        Shortage::Busy(if idle { RECALL_RETRY } else { SETTLE_RETRY })
    }

    /// Returns whether the free tokens and the open ones of unexpired leases together are less than
    /// `need`.
    fn cannot_meet(&self, now: Time, need: Tokens) -> bool {
        let live = self.leases.values().filter(|l| l.end > now);
        self.free() + live.map(Lease::open_tokens).sum::<Tokens>() < need
    }

    fn refresh_recall(&mut self, now: Time, request: &LeaseRequest) -> Recall {
        let mut r = match self.recall.filter(|r| r.is_active(now)) {
            Some(r) => r,
            None => self.start_recall(now, request),
        };
        if r.is_for(request) {
            r.asked = now;
        }
        self.recall = Some(r);
        r
    }

    fn start_recall(&mut self, now: Time, request: &LeaseRequest) -> Recall {
        for l in self.leases.values_mut() {
            l.tight = false;
        }
        Recall { holder: request.holder, seq: request.seq, since: now, asked: now }
    }

    /// Returns the answer to a resend of a granted request, or to a late duplicate of an older one.
    fn previous_decision(&self, request: &LeaseRequest) -> Option<Decision> {
        if let Some((lease, l)) = self.find_granted(request) {
            return Some(Ok(Grant { lease, amount: l.keep, span: self.policy.offline }));
        }
        let late = self.granted.get(&request.holder).is_some_and(|seq| request.seq <= *seq);
        late.then_some(Err(Shortage::Busy(SETTLE_RETRY)))
    }

    fn try_grant(
        &mut self,
        now: Time,
        id: LeaseId,
        request: &LeaseRequest,
        want: Tokens,
    ) -> Option<Grant> {
        let holders = self.holder_count().max(1);
        let amount = self.policy.grant_size(self.free(), holders, request.need, want)?;
        Some(self.grant(now, id, request, amount))
    }

    fn request_lease(&mut self, now: Time, id: LeaseId, request: &LeaseRequest) -> Decision {
        if let Some(decision) = self.previous_decision(request) {
            return decision;
        }
        let recall = self.recall.filter(|r| r.is_active(now));
        let is_blocked = recall.is_some_and(|r| r.is_exclusive(now) && !r.is_for(request));
        // A request that cannot be met at all fails at once.
        if is_blocked && !self.cannot_meet(now, request.need) {
            return Err(Shortage::Busy(RECALL_RETRY));
        }
        let want = if recall.is_some() { request.need } else { request.want };
        let Some(grant) = self.try_grant(now, id, request, want) else {
            return Err(self.shortage(now, request));
        };
        if recall.is_some_and(|r| r.is_for(request)) {
            self.recall = None;
        }
        Ok(grant)
    }

    fn request_from_free(&mut self, now: Time, id: LeaseId, request: &LeaseRequest) -> Decision {
        if let Some(decision) = self.previous_decision(request) {
            return decision;
        }
        self.try_grant(now, id, request, request.want).ok_or(Shortage::Spent)
    }

    fn apply_report(&mut self, now: Time, holder: HolderId, r: &Report) -> bool {
        let span = self.policy.offline.scale(LEASE_DRIFT.0, LEASE_DRIFT.1);
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

    /// Closes a lease and counts up to `unreported` of its open tokens as spent. Returns how many
    /// were counted.
    fn write_off_lease(&mut self, id: LeaseId, unreported: Tokens) -> Tokens {
        let Some(l) = self.leases.get_mut(&id) else { return 0 };
        let counted = l.open_tokens().min(unreported);
        l.used += counted;
        self.close(id);
        counted
    }

    fn close(&mut self, id: LeaseId) {
        if let Some(l) = self.leases.remove(&id) {
            self.held -= l.keep;
            self.closed += l.used;
        }
    }
}

/// The result of closing a dead holder's leases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteOff {
    /// Unreported tokens that are counted as spent.
    pub counted: Tokens,
    /// Tokens that become free.
    pub freed: Tokens,
}

/// The budgets of one grantor, with their leases and the bounds that holders reported.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Ledger {
    funds: BTreeMap<String, BudgetState>,
    budget_of: BTreeMap<LeaseId, String>,
    /// Budgets that may have a recall in progress.
    recalling: BTreeSet<String>,
    #[serde(default)]
    bounds: Bounds,
}

impl Ledger {
    /// Sets the prepaid total and the policy of `budget`, creating it if needed.
    ///
    /// The total may be less than what is spent and held: then nothing more is granted, idle
    /// tokens are recalled, and leased tokens may still be spent.
    pub fn fund(&mut self, budget: &str, funded: Tokens, policy: Policy) {
        let state = self.funds.entry(budget.to_owned()).or_default();
        state.funded = funded;
        state.policy = policy;
        self.update_recalling(budget);
    }

    fn update_recalling(&mut self, budget: &str) {
        let may_recall = |state: &BudgetState| state.recall.is_some() || state.is_overdrawn();
        let recalling = self.funds.get(budget).is_some_and(may_recall);
        if !recalling {
            self.recalling.remove(budget);
        } else if !self.recalling.contains(budget) {
            self.recalling.insert(budget.to_owned());
        }
    }

    /// Returns the state of a budget, if it exists.
    pub fn get(&self, budget: &str) -> Option<&BudgetState> {
        self.funds.get(budget)
    }

    /// Iterates over the budgets in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &BudgetState)> {
        self.funds.iter()
    }

    /// Returns the name of the budget that an open lease belongs to.
    pub fn budget_of(&self, lease: LeaseId) -> Option<&str> {
        self.budget_of.get(&lease).map(String::as_str)
    }

    /// Decides a lease request, and starts a recall if the free tokens are too few. A granted
    /// lease gets the identity `id`. Returns `None` if the budget does not exist.
    pub fn request_lease(
        &mut self,
        now: Time,
        id: LeaseId,
        request: &LeaseRequest,
    ) -> Option<Decision> {
        let decision = self.funds.get_mut(&request.budget)?.request_lease(now, id, request);
        self.update_recalling(&request.budget);
        Some(self.index_lease(id, request, decision))
    }

    /// Decides a lease request from the free tokens only, without a recall. Returns `None` if the
    /// budget does not exist.
    pub fn request_from_free(
        &mut self,
        now: Time,
        id: LeaseId,
        request: &LeaseRequest,
    ) -> Option<Decision> {
        let decision = self.funds.get_mut(&request.budget)?.request_from_free(now, id, request);
        Some(self.index_lease(id, request, decision))
    }

    fn index_lease(&mut self, id: LeaseId, request: &LeaseRequest, decision: Decision) -> Decision {
        if decision.is_ok_and(|g| g.lease == id) {
            self.budget_of.insert(id, request.budget.clone());
        }
        decision
    }

    /// Applies a holder's report. Returns false if the lease is not open or belongs to another
    /// holder.
    pub fn apply_report(&mut self, now: Time, holder: HolderId, r: &Report) -> bool {
        let Some(state) = self.budget_of.get(&r.lease).and_then(|b| self.funds.get_mut(b)) else {
            return false;
        };
        let known = state.apply_report(now, holder, r);
        if !state.leases.contains_key(&r.lease) {
            self.budget_of.remove(&r.lease);
        }
        known
    }

    /// Closes a lease and frees its unreported tokens. Returns how many became free, or `None` if
    /// the lease is not open.
    ///
    /// The caller must make sure that the holder never spends from it again: nothing here
    /// verifies that.
    pub fn release(&mut self, id: LeaseId) -> Option<Tokens> {
        let state = self.budget_of.remove(&id).and_then(|b| self.funds.get_mut(&b))?;
        let open = state.leases.get(&id).map(Lease::open_tokens)?;
        state.close(id);
        Some(open)
    }

    /// Records a holder's report of its bounds, see [`Bounds::record`].
    pub fn record_bounds(
        &mut self,
        holder: HolderId,
        at: Time,
        seq: u64,
        after: u64,
        bounds: &[Bound],
    ) {
        self.bounds.record(holder, at, seq, after, bounds);
    }

    /// Returns the numbers and times of a holder's last two reports of bounds.
    pub fn last_reports(&self, holder: HolderId) -> LastReports {
        self.bounds.last_reports(holder)
    }

    /// Returns what [`Ledger::write_off`] would count as spent and free, without changing anything.
    pub fn write_off_amounts(&self, holder: HolderId, e: &Elapsed) -> WriteOff {
        self.write_offs(holder, e).fold(WriteOff::default(), |sum, (_, w)| WriteOff {
            counted: sum.counted + w.counted,
            freed: sum.freed + w.freed,
        })
    }

    /// Returns what the unreported tokens of a holder consist of, by its last report.
    pub fn unreported_parts(&self, holder: HolderId, e: &Elapsed) -> UnreportedParts {
        self.bounds.unreported_parts(holder, e)
    }

    /// Like [`Ledger::write_off_amounts`], for each budget of which the holder has leases.
    pub fn write_offs(
        &self,
        holder: HolderId,
        e: &Elapsed,
    ) -> impl Iterator<Item = (&str, WriteOff)> {
        let bounded = self.funds.iter().filter(|(_, state)| state.policy.bounded);
        bounded.filter_map(move |(name, state)| {
            let of_holder = state.leases.values().filter(|l| l.holder == holder);
            let open: Tokens = of_holder.map(Lease::open_tokens).sum();
            let counted = open.min(self.bounds.unreported(holder, name, e));
            (open > 0).then_some((name.as_str(), WriteOff { counted, freed: open - counted }))
        })
    }

    /// Closes the leases of a holder that is known to be dead, in budgets with a bounded policy.
    /// The most that its reported bounds allow counts as spent; the rest becomes free. Leases of
    /// other budgets stay open.
    pub fn write_off(&mut self, holder: HolderId, e: &Elapsed) {
        let bounds = &self.bounds;
        for (name, state) in self.funds.iter_mut().filter(|(_, state)| state.policy.bounded) {
            let mut left = bounds.unreported(holder, name, e);
            let ids: Vec<_> = state
                .leases
                .iter()
                .filter(|(_, l)| l.holder == holder)
                .map(|(id, _)| *id)
                .collect();
            for id in ids {
                left -= state.write_off_lease(id, left);
                self.budget_of.remove(&id);
            }
        }
        self.bounds.remove_holder(holder);
    }

    /// Drops the request state of a holder that has left or was replaced. Its leases stay open
    /// until they are reported on.
    pub fn remove_holder(&mut self, holder: HolderId) {
        for state in self.funds.values_mut() {
            state.granted.remove(&holder);
        }
    }

    /// Iterates over the names of the budgets of which `holder` has to return idle tokens.
    pub fn recalls(&self, now: Time, holder: HolderId) -> impl Iterator<Item = &str> {
        let holds = move |state: &&BudgetState| {
            state.leases.values().any(|l| l.holder == holder && !l.tight)
        };
        self.recalling
            .iter()
            .filter(move |b| {
                self.funds.get(*b).is_some_and(|state| state.is_recalling(now) && holds(&state))
            })
            .map(String::as_str)
    }

    /// Returns whether the derived sums and indexes match the leases.
    pub fn is_consistent(&self) -> bool {
        self.funds
            .values()
            .all(|state| state.held == state.leases.values().map(|l| l.keep).sum::<Tokens>())
            && self.budget_of.len()
                == self.funds.values().map(|state| state.leases.len()).sum::<usize>()
    }
}
