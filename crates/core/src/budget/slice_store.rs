//! The holder's side of escrow: leased slices, reservations on them, requests and reports.

use std::collections::BTreeMap;

use super::bound::{Bound, SpendingLimit};
use super::ledger::{Decision, Grant, LeaseRequest, Report};
use super::policy::{Policy, Rate};
use crate::unit::{HolderId, LeaseId, Millis, Time, Tokens};

/// Fraction of a lease's span that the holder uses, to allow for clock drift.
const USABLE_SPAN: (u64, u64) = (8, 10);

/// A holder requests more when its idle tokens fall below the policy's request size divided by
/// this.
const LOW_DIVISOR: u64 = 2;

/// A slice is renewed after the policy's offline span divided by this.
const RENEW_DIVISOR: u64 = 4;

/// Horizons without a reservation after which a slice store returns all idle tokens.
const QUIET_HORIZONS: u64 = 10;

/// Tokens reserved for one request, by the lease that they come from.
#[derive(Debug, PartialEq, Eq)]
pub struct Reservation {
    parts: Vec<(LeaseId, Tokens)>,
    /// Whether it counts towards the holder's limit.
    begun: bool,
}

impl Reservation {
    /// Returns the reserved tokens in total.
    pub fn amount(&self) -> Tokens {
        self.parts.iter().map(|p| p.1).sum()
    }
}

/// One lease at its holder.
#[derive(Debug)]
struct Slice {
    /// Tokens that may be spent from it in total.
    keep: Tokens,
    /// Tokens spent from it.
    used: Tokens,
    /// Tokens of it that running requests have reserved.
    reserved: Tokens,
    /// When it expires: later requests reserve nothing from it.
    end: Time,
    /// `used` and `keep` of the last acknowledged report; `None` forces a report.
    acked: Option<(Tokens, Tokens)>,
    /// When the last acknowledged report was sent, or the first request for the lease.
    renewed: Time,
}

impl Slice {
    fn idle(&self) -> Tokens {
        self.keep - self.used - self.reserved
    }
}

/// One holder's slices of one budget.
#[derive(Debug, Default)]
pub struct SliceStore {
    slices: BTreeMap<LeaseId, Slice>,
    policy: Policy,
    rate: Rate,
    /// Number of the last lease request.
    seq: u64,
    pending: Option<Pending>,
    last_reserved: Time,
    /// Tokens spent in total.
    spent: Tokens,
    /// Tokens reserved at present, over all slices.
    reserved: Tokens,
    /// The part of `reserved` for requests that are being spent on.
    begun: Tokens,
    /// Limit on the spent and begun tokens, under a bounded policy.
    limit: SpendingLimit,
    /// Tokens that requests waiting for a higher limit need in total.
    limit_demand: Tokens,
}

/// The lease request that has no answer yet.
#[derive(Debug)]
struct Pending {
    request: LeaseRequest,
    first_sent: Time,
}

impl SliceStore {
    /// Creates an empty slice store. Its requests are numbered from `seq + 1`, which this holder
    /// must not have used before.
    pub fn new(policy: Policy, seq: u64) -> SliceStore {
        SliceStore { policy, seq, ..SliceStore::default() }
    }

    /// Replaces the policy.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Returns the tokens that a request starting at `now` can reserve.
    pub fn idle(&self, now: Time) -> Tokens {
        self.slices.values().filter(|s| now < s.end).map(Slice::idle).sum()
    }

    /// Returns whether there is neither a slice nor a pending request.
    pub fn is_empty(&self) -> bool {
        self.slices.is_empty() && self.pending.is_none()
    }

    /// Reserves `n` tokens and begins to spend them. Returns `None` and reserves nothing if too few are
    /// idle or the limit does not allow them.
    pub fn reserve(&mut self, now: Time, n: Tokens) -> Option<Reservation> {
        if self.exceeds_limit(now, n) {
            return None;
        }
        let mut r = self.set_aside(now, n)?;
        self.begin(now, &mut r).then_some(r)
    }

    /// Reserves `n` tokens that must not be spent before [`SliceStore::begin`]. Returns `None` and reserves
    /// nothing if too few are idle.
    pub fn set_aside(&mut self, now: Time, n: Tokens) -> Option<Reservation> {
        if self.idle(now) < n {
            return None;
        }
        self.last_reserved = now;
        self.reserved += n;
        let mut left = n;
        let mut parts = Vec::with_capacity(1);
        for (id, s) in self.slices.iter_mut().filter(|(_, s)| now < s.end) {
            let take = s.idle().min(left);
            if take > 0 {
                s.reserved += take;
                left -= take;
                parts.push((*id, take));
            }
        }
        Some(Reservation { parts, begun: false })
    }

    /// Reserves as many of `n` tokens as possible; `None` if that is none.
    pub fn reserve_part(&mut self, now: Time, n: Tokens) -> Option<Reservation> {
        let part = n.min(self.idle(now)).min(self.limit_remaining(now));
        (part > 0).then(|| self.reserve(now, part)).flatten()
    }

    /// Begins to spend reserved tokens. Returns false if the limit does not allow them.
    pub fn begin(&mut self, now: Time, r: &mut Reservation) -> bool {
        if !r.begun {
            r.begun = !self.exceeds_limit(now, r.amount());
            self.begun += if r.begun { r.amount() } else { 0 };
        }
        r.begun
    }

    /// Returns whether `n` more tokens exceed the holder's limit at `now`.
    pub fn exceeds_limit(&self, now: Time, n: Tokens) -> bool {
        self.policy.bounded && self.spent + self.begun + n > self.limit.at(now)
    }

    /// Returns how many more tokens the holder's limit allows at `now`.
    pub fn limit_remaining(&self, now: Time) -> Tokens {
        match self.policy.bounded {
            true => self.limit.at(now).saturating_sub(self.spent + self.begun),
            false => Tokens::MAX,
        }
    }

    /// Returns how long after `now` the growing limit allows `n` more tokens. `None` if there is no
    /// limit, if too few tokens are idle, or if the limit does not grow without a report.
    pub fn limit_wait(&self, now: Time, n: Tokens) -> Option<Millis> {
        if self.idle(now) < n { None } else { self.limit_growth_time(now, n) }
    }

    /// Returns how long after `now` the growing limit allows `n` reserved tokens to be spent. `None` if there
    /// is no limit, or if it does not grow without a report.
    pub fn limit_growth_time(&self, now: Time, n: Tokens) -> Option<Millis> {
        if !self.policy.bounded {
            return None;
        }
        self.limit.time_until(now, (self.spent + self.begun).saturating_add(n))
    }

    /// Registers a request that waits for a limit higher by `n` tokens. The bounds returned by
    /// [`SliceStore::bound`] include it until [`SliceStore::remove_limit_demand`].
    pub fn add_limit_demand(&mut self, n: Tokens) {
        self.limit_demand = self.limit_demand.saturating_add(n);
    }

    /// Unregisters a request that waited for a limit higher by `n` tokens.
    pub fn remove_limit_demand(&mut self, n: Tokens) {
        self.limit_demand = self.limit_demand.saturating_sub(n);
    }

    /// Returns the bound to report to the grantor. `None` if the policy is not bounded, or if
    /// nothing is held or spent.
    pub fn bound(&mut self, now: Time, budget: &str) -> Option<Bound> {
        if !self.policy.bounded || (self.slices.is_empty() && self.spent == 0) {
            return None;
        }
        self.rate.close_sample(now);
        let idle = self.idle(now);
        let (allowance, growth) = self.policy.unreported_allowance(&self.rate, idle);
        let terms = self.policy.terms;
        let catch_up = terms.catch_up();
        let early_growth = self.policy.early_growth(&self.rate, idle);
        let early_rate = match terms.hold_off {
            Millis(0) => early_growth,
            _ => early_growth * catch_up.0 / catch_up.1,
        };
        // New requests use up the allowance until the next report, so waiting ones are added to it.
        let limit =
            (self.spent + self.begun).saturating_add(self.limit_demand).saturating_add(allowance);
        Some(Bound {
            budget: budget.to_owned(),
            spent: self.spent,
            limit,
            rate: growth * catch_up.0 / catch_up.1,
            hold_off: terms.hold_off,
            early_rate,
            early_for: terms.early_for,
            ramp: terms.ramp,
            begun: self.begun,
        })
    }

    /// Sets the limit from a bound that the grantor has accepted; its rate counts from `now`.
    pub fn confirm_bound(&mut self, now: Time, b: &Bound) {
        self.limit.accept(now, b);
    }

    /// Settles a reservation of which `used` tokens were spent. Returns the tokens charged: `used`,
    /// but at most the reserved amount, and none if their spending never began.
    pub fn settle(&mut self, now: Time, r: Reservation, used: Tokens) -> Tokens {
        let charged = if r.begun { used.min(r.amount()) } else { 0 };
        self.reserved -= r.amount();
        if r.begun {
            self.begun -= r.amount();
        }
        self.spent += charged;
        let mut left = charged;
        for (id, reserved) in r.parts {
            let spend = reserved.min(left);
            left -= spend;
            if let Some(s) = self.slices.get_mut(&id) {
                s.reserved -= reserved;
                s.used += spend;
            }
        }
        self.rate.record(now, charged);
        charged
    }

    /// Returns the lease request to send, if any: when fewer than `need` tokens are idle or the
    /// store is low. A pending request is returned again under its number, enlarged if needed.
    pub fn next_request(
        &mut self,
        now: Time,
        holder: HolderId,
        budget: &str,
        need: Tokens,
    ) -> Option<LeaseRequest> {
        self.rate.close_sample(now);
        let idle = self.idle(now);
        let want = self.policy.request_size(&self.rate, need);
        if let Some(p) = &mut self.pending {
            // The grantor matches a resend by its number, so the sizes may grow.
            p.request.need = p.request.need.max(need.saturating_sub(idle));
            p.request.want = p.request.want.max(p.request.need);
            return Some(p.request.clone());
        }
        if idle >= need.max(1) && !self.is_low(now) {
            return None;
        }
        self.seq += 1;
        let missing = need.saturating_sub(idle);
        let want = want.saturating_sub(idle).max(missing);
        let request =
            LeaseRequest { holder, budget: budget.to_owned(), seq: self.seq, need: missing, want };
        self.pending = Some(Pending { request: request.clone(), first_sent: now });
        Some(request)
    }

    /// Applies the answer to the request numbered `seq`; ignored if that is not pending.
    ///
    /// A late grant is accepted: its span counts from the first sending of the request, and an
    /// expired one is returned with the next report.
    pub fn apply_decision(&mut self, seq: u64, decision: &Decision) {
        let Some(p) = self.pending.take_if(|p| p.request.seq == seq) else { return };
        match decision {
            Ok(g) => self.insert(p.first_sent, g),
            // The next request reuses the number: if a late copy of this one is granted, the
            // grantor answers the next one with that lease.
            Err(_) => self.seq -= 1,
        }
    }

    fn insert(&mut self, first_sent: Time, g: &Grant) {
        let end = first_sent.after(g.span.scale(USABLE_SPAN.0, USABLE_SPAN.1));
        let slice =
            Slice { keep: g.amount, used: 0, reserved: 0, end, acked: None, renewed: first_sent };
        self.slices.entry(g.lease).or_insert(slice);
    }

    /// Returns whether the idle tokens are so few that a request is due although no caller waits.
    pub fn is_low(&mut self, now: Time) -> bool {
        self.rate.close_sample(now);
        self.pending.is_none()
            && self.idle(now) < self.policy.request_size(&self.rate, 0) / LOW_DIVISOR
    }

    /// Gives idle tokens back to the grantor with the next reports: those beyond the policy's floor
    /// after a horizon without a reservation, all of them after `QUIET_HORIZONS` horizons.
    pub fn return_excess(&mut self, now: Time) {
        self.rate.close_sample(now);
        let quiet = now.since(self.last_reserved);
        if quiet > self.policy.horizon.scale(QUIET_HORIZONS, 1) {
            self.give_back(0);
        } else if quiet > self.policy.horizon {
            self.give_back(self.policy.floor);
        }
    }

    /// Gives all idle tokens back to the grantor, and makes the next reports cover every slice.
    pub fn return_idle(&mut self) {
        self.give_back(0);
        for s in self.slices.values_mut() {
            s.acked = None;
        }
    }

    /// Gives the idle tokens beyond `keep` back to the grantor.
    fn give_back(&mut self, keep: Tokens) {
        let idle: Tokens = self.slices.values().map(Slice::idle).sum();
        let mut excess = idle.saturating_sub(keep);
        for s in self.slices.values_mut().rev() {
            let back = s.idle().min(excess);
            s.keep -= back;
            excess -= back;
        }
    }

    /// Returns reports on the slices that changed since their last acknowledged report or are due
    /// for renewal.
    pub fn reports(&self, now: Time) -> Vec<Report> {
        let renew = self.policy.offline.scale(1, RENEW_DIVISOR);
        self.slices
            .iter()
            .filter(|(_, s)| s.acked != Some((s.used, s.keep)) || now.since(s.renewed) > renew)
            .map(|(id, s)| Report { lease: *id, used: s.used, keep: s.keep, tight: s.idle() == 0 })
            .collect()
    }

    /// Records that the grantor has committed report `r`, sent at `sent`, and renews the slice.
    /// `known` is false if the lease is no longer open at the grantor.
    pub fn acknowledge(&mut self, sent: Time, r: &Report, known: bool) {
        let Some(s) = self.slices.get_mut(&r.lease) else { return };
        s.acked = Some((r.used, r.keep));
        s.renewed = s.renewed.max(sent);
        s.end = s.end.max(sent.after(self.policy.offline.scale(USABLE_SPAN.0, USABLE_SPAN.1)));
        if !known {
            s.keep = s.used + s.reserved;
        }
        if s.keep == s.used && s.reserved == 0 && (!known || (r.used, r.keep) == (s.used, s.used)) {
            self.slices.remove(&r.lease);
        }
    }
}
