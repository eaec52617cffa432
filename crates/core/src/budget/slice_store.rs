//! The holder's side: slices in hand, reservations, and what to report.

use std::collections::BTreeMap;

use super::bound::{Allowed, Bound};
use super::ledger::{Ask, Decision, Grant, Report};
use super::policy::{Policy, Rate};
use crate::unit::{HolderId, LeaseId, Millis, Time, Tokens};

/// The fraction of a lease's span that a holder uses, for clocks that drift.
const DRIFT: (u64, u64) = (8, 10);

/// Share of the wish below which a holder asks for more before it runs dry, as a divisor.
const LOW: u64 = 2;

/// A slice's end is put off after this part of its span, as a divisor.
const RENEW: u64 = 4;

/// How many horizons without a reservation pass before a slice store gives everything back.
const QUIET: u64 = 10;

/// Tokens set aside for one request, with the leases that they come from.
#[derive(Debug, PartialEq, Eq)]
pub struct Reservation {
    parts: Vec<(LeaseId, Tokens)>,
}

impl Reservation {
    /// The whole amount.
    pub fn amount(&self) -> Tokens {
        self.parts.iter().map(|p| p.1).sum()
    }
}

#[derive(Debug)]
struct Slice {
    keep: Tokens,
    used: Tokens,
    reserved: Tokens,
    end: Time,
    told: Option<(Tokens, Tokens)>,
    /// When its end was last put off.
    renewed: Time,
}

impl Slice {
    fn idle(&self) -> Tokens {
        self.keep - self.used - self.reserved
    }
}

/// One holder's part of one budget.
#[derive(Debug, Default)]
pub struct SliceStore {
    slices: BTreeMap<LeaseId, Slice>,
    policy: Policy,
    rate: Rate,
    seq: u64,
    pending: Option<Pending>,
    touched: Time,
    /// All that was spent.
    spent: Tokens,
    /// All that is set aside.
    reserved: Tokens,
    allowed: Allowed,
    /// What requests need together that wait for a higher limit.
    wanted: Tokens,
}

#[derive(Debug)]
struct Pending {
    ask: Ask,
    first_sent: Time,
}

impl SliceStore {
    /// An empty slice store; `seq` must not have been used by this holder before.
    pub fn new(policy: Policy, seq: u64) -> SliceStore {
        SliceStore { policy, seq, ..SliceStore::default() }
    }

    /// Takes a changed policy into use.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Tokens that a request starting at `now` could reserve.
    pub fn idle(&self, now: Time) -> Tokens {
        self.slices.values().filter(|s| now < s.end).map(Slice::idle).sum()
    }

    /// Whether it neither holds nor waits for anything.
    pub fn is_empty(&self) -> bool {
        self.slices.is_empty() && self.pending.is_none()
    }

    /// Sets `n` tokens aside, or nothing at all.
    pub fn reserve(&mut self, now: Time, n: Tokens) -> Option<Reservation> {
        if self.idle(now) < n || self.is_limited(now, n) {
            return None;
        }
        self.touched = now;
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
        Some(Reservation { parts })
    }

    /// Sets aside what can be had of `n` tokens; none if that is nothing.
    pub fn reserve_part(&mut self, now: Time, n: Tokens) -> Option<Reservation> {
        let part = n.min(self.idle(now)).min(self.allowed(now));
        (part > 0).then(|| self.reserve(now, part)).flatten()
    }

    /// Whether the limit that it is bound to does not allow `n` more.
    pub fn is_limited(&self, now: Time, n: Tokens) -> bool {
        self.policy.bounded && self.spent + self.reserved + n > self.allowed.by(now)
    }

    /// What the limit that it is bound to still allows.
    pub fn allowed(&self, now: Time) -> Tokens {
        match self.policy.bounded {
            true => self.allowed.by(now).saturating_sub(self.spent + self.reserved),
            false => Tokens::MAX,
        }
    }

    /// How long after `now` the limit allows `n` more by itself, for tokens that are idle; `None`
    /// if tokens are missing, or only a report brings a higher limit.
    pub fn allows_after(&self, now: Time, n: Tokens) -> Option<Millis> {
        if !self.policy.bounded || self.idle(now) < n {
            return None;
        }
        self.allowed.wait_for(now, (self.spent + self.reserved).saturating_add(n))
    }

    /// A request that needs `n` tokens begins to wait for a higher limit: the next bounds ask for
    /// one, until [`SliceStore::unwant_limit`].
    pub fn want_limit(&mut self, n: Tokens) {
        self.wanted = self.wanted.saturating_add(n);
    }

    /// A request that needs `n` tokens no longer waits for a higher limit.
    pub fn unwant_limit(&mut self, n: Tokens) {
        self.wanted = self.wanted.saturating_sub(n);
    }

    /// The bound to tell the grantor; none if it is not bound or has nothing.
    pub fn bound(&mut self, now: Time, budget: &str) -> Option<Bound> {
        if !self.policy.bounded || (self.slices.is_empty() && self.spent == 0) {
            return None;
        }
        self.rate.roll(now);
        let (room, rate) = self.policy.beyond(&self.rate, self.idle(now));
        // Requests that come meanwhile take of the room, so those that wait get theirs on top.
        let limit = (self.spent + self.reserved).saturating_add(self.wanted).saturating_add(room);
        Some(Bound { budget: budget.to_owned(), spent: self.spent, limit, rate })
    }

    /// Notes at `now` that the grantor has taken a bound.
    pub fn bound_taken(&mut self, now: Time, b: &Bound) {
        self.allowed.taken(now, b);
    }

    /// Ends a reservation of which `used` tokens were spent. Returns what was charged: `used`,
    /// but never more than was reserved.
    pub fn settle(&mut self, now: Time, r: Reservation, used: Tokens) -> Tokens {
        let charged = used.min(r.amount());
        self.reserved -= r.amount();
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
        self.rate.add(now, charged);
        charged
    }

    /// The ask to send when a request of `need` tokens does not fit or the slice store runs low; a
    /// resend of the one that is under way, if any.
    pub fn ask(&mut self, now: Time, holder: HolderId, budget: &str, need: Tokens) -> Option<Ask> {
        self.rate.roll(now);
        let idle = self.idle(now);
        let want = self.policy.want(&self.rate, need);
        if let Some(p) = &mut self.pending {
            // Its number decides what it is; the sizes may grow.
            p.ask.need = p.ask.need.max(need.saturating_sub(idle));
            p.ask.want = p.ask.want.max(p.ask.need);
            return Some(p.ask.clone());
        }
        if idle >= need.max(1) && !self.runs_low(now) {
            return None;
        }
        self.seq += 1;
        let missing = need.saturating_sub(idle);
        let want = want.saturating_sub(idle).max(missing);
        let ask = Ask { holder, budget: budget.to_owned(), seq: self.seq, need: missing, want };
        self.pending = Some(Pending { ask: ask.clone(), first_sent: now });
        Some(ask)
    }

    /// Takes the answer to the ask numbered `seq`.
    ///
    /// A grant is taken even when it comes late: its span counts from the first sending, and an
    /// unusable one goes back with the next report.
    pub fn answer(&mut self, seq: u64, decision: &Decision) {
        let Some(p) = self.pending.take_if(|p| p.ask.seq == seq) else { return };
        match decision {
            Ok(g) => self.insert(p.first_sent, g),
            // The number is used again: should a copy of the ask be granted yet, the next finds it.
            Err(_) => self.seq -= 1,
        }
    }

    fn insert(&mut self, asked: Time, g: &Grant) {
        let end = asked.after(g.span.scale(DRIFT.0, DRIFT.1));
        let fresh = Slice { keep: g.amount, used: 0, reserved: 0, end, told: None, renewed: asked };
        self.slices.entry(g.lease).or_insert(fresh);
    }

    /// Whether it would ask for more though nobody waits.
    pub fn runs_low(&mut self, now: Time) -> bool {
        self.rate.roll(now);
        self.pending.is_none() && self.idle(now) < self.policy.want(&self.rate, 0) / LOW
    }

    /// Returns what is idle beyond the policy's wish, once nothing was reserved for a while. The
    /// next reports carry it.
    pub fn shrink(&mut self, now: Time) {
        self.rate.roll(now);
        let quiet = now.since(self.touched);
        if quiet > self.policy.horizon.scale(QUIET, 1) {
            self.give_back(0);
        } else if quiet > self.policy.horizon {
            self.give_back(self.policy.floor);
        }
    }

    /// Returns all that is idle, and reports on every slice next time.
    pub fn recall(&mut self) {
        self.give_back(0);
        for s in self.slices.values_mut() {
            s.told = None;
        }
    }

    fn give_back(&mut self, hold: Tokens) {
        let idle: Tokens = self.slices.values().map(Slice::idle).sum();
        let mut excess = idle.saturating_sub(hold);
        for s in self.slices.values_mut().rev() {
            let back = s.idle().min(excess);
            s.keep -= back;
            excess -= back;
        }
    }

    /// What to report: every slice that changed since it was last acknowledged, or whose end
    /// should be put off.
    pub fn reports(&self, now: Time) -> Vec<Report> {
        let renew = self.policy.offline.scale(1, RENEW);
        self.slices
            .iter()
            .filter(|(_, s)| s.told != Some((s.used, s.keep)) || now.since(s.renewed) > renew)
            .map(|(id, s)| Report { lease: *id, used: s.used, keep: s.keep, tight: s.idle() == 0 })
            .collect()
    }

    /// Notes that the grantor has committed `r`, sent at `sent`; `known` is false if it no longer
    /// has the lease.
    pub fn acknowledge(&mut self, sent: Time, r: &Report, known: bool) {
        let Some(s) = self.slices.get_mut(&r.lease) else { return };
        s.told = Some((r.used, r.keep));
        s.renewed = s.renewed.max(sent);
        s.end = s.end.max(sent.after(self.policy.offline.scale(DRIFT.0, DRIFT.1)));
        if !known {
            s.keep = s.used + s.reserved;
        }
        if s.keep == s.used && s.reserved == 0 && (!known || (r.used, r.keep) == (s.used, s.used)) {
            self.slices.remove(&r.lease);
        }
    }
}
