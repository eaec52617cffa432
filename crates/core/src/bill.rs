//! Bills: what each request cost, once for each request id.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::unit::{HolderId, Millis, RequestId, Time, Tokens};

/// How long a billed request id is remembered. A caller that uses an id again later than this
/// makes a new request.
pub const BILL_KEPT: Millis = Millis::seconds(24 * 3600);

/// What one request used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// The request.
    pub id: RequestId,
    /// The run of the request that this is the bill of; a resend carries the same one.
    pub run: u64,
    /// The budget that paid.
    pub budget: String,
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Generated tokens.
    pub output: Tokens,
    /// The answer was whole.
    pub whole: bool,
}

impl Bill {
    /// All tokens.
    pub fn tokens(&self) -> Tokens {
        self.prompt + self.output
    }
}

/// What became of a bill.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Posting {
    /// It is the request's bill.
    Billed,
    /// The same bill was posted before.
    Repeated,
    /// It takes the place of the bill of a run that was cut short.
    Replaced,
    /// Another run of the request was billed before: its tokens were used up but are not billed.
    OtherRun,
}

/// Sums over one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Requests billed.
    pub requests: u64,
    /// Tokens billed.
    pub billed: Tokens,
    /// Tokens used by further runs of requests already billed.
    pub unbilled: Tokens,
}

/// What is remembered of a billed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Posted {
    /// The run that was billed.
    pub run: u64,
    /// Prompt tokens.
    pub prompt: u32,
    /// Generated tokens.
    pub output: u32,
    /// The answer was whole.
    pub whole: bool,
}

impl Posted {
    fn of(b: &Bill) -> Posted {
        let cut = |n: Tokens| u32::try_from(n).unwrap_or(u32::MAX);
        Posted { run: b.run, prompt: cut(b.prompt), output: cut(b.output), whole: b.whole }
    }
}

/// The bills of one group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Bills {
    posted: HashMap<RequestId, Posted>,
    order: VecDeque<(Time, RequestId)>,
    totals: BTreeMap<String, Total>,
    /// Further runs seen, so that a resend of one is not counted twice.
    extra: BTreeMap<RequestId, Vec<u64>>,
    /// The last batch taken from each holder. It outlives the ids, so that a batch that is sent
    /// again after a cut of any length is not billed again.
    batches: BTreeMap<HolderId, u64>,
}

impl Bills {
    /// Posts a holder's batch. Batches are numbered from 1, and one is sent, unchanged, until it
    /// is acknowledged.
    pub fn post_batch(
        &mut self,
        now: Time,
        holder: HolderId,
        batch: u64,
        bills: &[Bill],
    ) -> Vec<Posting> {
        let last = self.batches.entry(holder).or_default();
        if batch <= *last {
            return vec![Posting::Repeated; bills.len()];
        }
        *last = batch;
        bills.iter().map(|b| self.post(now, b)).collect()
    }

    /// Posts a bill.
    fn post(&mut self, now: Time, b: &Bill) -> Posting {
        self.forget(now);
        match self.posted.get(&b.id) {
            Some(p) if p.run == b.run => Posting::Repeated,
            Some(p) if b.whole && !p.whole => self.replace(*p, b),
            Some(_) => self.post_other_run(b),
            None => self.post_first(now, b),
        }
    }

    /// Bills the run that gave the whole answer instead of one that was cut short.
    fn replace(&mut self, old: Posted, b: &Bill) -> Posting {
        self.posted.insert(b.id, Posted::of(b));
        self.extra.entry(b.id).or_default().push(old.run);
        let used = u64::from(old.prompt) + u64::from(old.output);
        let total = self.totals.entry(b.budget.clone()).or_default();
        total.billed = total.billed - used + b.tokens();
        total.unbilled += used;
        Posting::Replaced
    }

    fn post_first(&mut self, now: Time, b: &Bill) -> Posting {
        self.posted.insert(b.id, Posted::of(b));
        self.order.push_back((now, b.id));
        let total = self.totals.entry(b.budget.clone()).or_default();
        total.requests += 1;
        total.billed += b.tokens();
        Posting::Billed
    }

    fn post_other_run(&mut self, b: &Bill) -> Posting {
        let runs = self.extra.entry(b.id).or_default();
        if runs.contains(&b.run) {
            return Posting::Repeated;
        }
        runs.push(b.run);
        self.totals.entry(b.budget.clone()).or_default().unbilled += b.tokens();
        Posting::OtherRun
    }

    fn forget(&mut self, now: Time) {
        while self.order.front().is_some_and(|(at, _)| now.since(*at) > BILL_KEPT) {
            let Some((_, id)) = self.order.pop_front() else { break };
            self.posted.remove(&id);
            self.extra.remove(&id);
        }
    }

    /// The sums of one budget.
    pub fn total(&self, budget: &str) -> Total {
        self.totals.get(budget).copied().unwrap_or_default()
    }

    /// The bill of one request, while it is remembered.
    pub fn get(&self, id: &RequestId) -> Option<&Posted> {
        self.posted.get(id)
    }

    /// How many ids are remembered.
    pub fn len(&self) -> usize {
        self.posted.len()
    }

    /// Whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.posted.is_empty()
    }
}
