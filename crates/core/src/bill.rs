//! Bills: the tokens that each request used, billed once per request id.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::unit::{HolderId, Millis, RequestId, Time, Tokens};

/// How long a billed request id is kept. After that, the id stands for a new request.
pub const BILL_RETENTION: Millis = Millis::seconds(24 * 3600);

/// The tokens that one run of a request used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Request id.
    pub id: RequestId,
    /// The billed run of the request; a resend of the bill has the same one.
    pub run: u64,
    /// Name of the charged budget.
    pub budget: String,
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Generated tokens.
    pub output: Tokens,
    /// Whether the answer was complete.
    pub whole: bool,
}

impl Bill {
    /// Returns the sum of prompt and generated tokens.
    pub fn tokens(&self) -> Tokens {
        self.prompt + self.output
    }
}

/// The result of posting a bill.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Posting {
    /// The request is billed for this run.
    Billed,
    /// Duplicate of a bill that was posted before.
    Repeated,
    /// Replaces the bill of an earlier run whose answer was incomplete.
    Replaced,
    /// Another run of the request is billed already; the tokens of this one count as unbilled.
    OtherRun,
}

/// Totals of the bills of one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillTotals {
    /// Requests billed.
    pub requests: u64,
    /// Tokens billed.
    pub billed: Tokens,
    /// Tokens used by further runs of billed requests.
    pub unbilled: Tokens,
}

/// The stored bill of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PostedBill {
    /// The billed run.
    pub run: u64,
    /// Prompt tokens.
    pub prompt: u32,
    /// Generated tokens.
    pub output: u32,
    /// Whether the answer was complete.
    pub whole: bool,
}

impl PostedBill {
    fn from_bill(b: &Bill) -> PostedBill {
        let saturate = |n: Tokens| u32::try_from(n).unwrap_or(u32::MAX);
        PostedBill {
            run: b.run,
            prompt: saturate(b.prompt),
            output: saturate(b.output),
            whole: b.whole,
        }
    }
}

/// The bills of one control group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Bills {
    posted: HashMap<RequestId, PostedBill>,
    /// Billed request ids, oldest first, with the time of the first bill.
    order: VecDeque<(Time, RequestId)>,
    totals: BTreeMap<String, BillTotals>,
    /// Unbilled runs, to detect duplicates.
    extra: BTreeMap<RequestId, Vec<u64>>,
    /// Number of the last batch posted by each holder. Kept longer than the request ids, so that a
    /// batch resent after a long partition is not billed twice.
    batches: BTreeMap<HolderId, u64>,
}

impl Bills {
    /// Posts a holder's batch of bills and returns the result for each of them. A batch is numbered
    /// from 1 at its holder, and resent unchanged until it is acknowledged.
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

    fn post(&mut self, now: Time, b: &Bill) -> Posting {
        self.remove_expired(now);
        match self.posted.get(&b.id) {
            Some(p) if p.run == b.run => Posting::Repeated,
            Some(p) if b.whole && !p.whole => self.replace(*p, b),
            Some(_) => self.post_other_run(b),
            None => self.post_first(now, b),
        }
    }

    /// Bills the run with the complete answer in place of an incomplete one.
    fn replace(&mut self, old: PostedBill, b: &Bill) -> Posting {
        self.posted.insert(b.id, PostedBill::from_bill(b));
        self.extra.entry(b.id).or_default().push(old.run);
        let used = u64::from(old.prompt) + u64::from(old.output);
        let total = self.totals.entry(b.budget.clone()).or_default();
        total.billed = total.billed - used + b.tokens();
        total.unbilled += used;
        Posting::Replaced
    }

    fn post_first(&mut self, now: Time, b: &Bill) -> Posting {
        self.posted.insert(b.id, PostedBill::from_bill(b));
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

    fn remove_expired(&mut self, now: Time) {
        while self.order.front().is_some_and(|(at, _)| now.since(*at) > BILL_RETENTION) {
            let Some((_, id)) = self.order.pop_front() else { break };
            self.posted.remove(&id);
            self.extra.remove(&id);
        }
    }

    /// Returns the totals of a budget.
    pub fn total(&self, budget: &str) -> BillTotals {
        self.totals.get(budget).copied().unwrap_or_default()
    }

    /// Returns the bill of a request, for as long as it is kept.
    pub fn get(&self, id: &RequestId) -> Option<&PostedBill> {
        self.posted.get(id)
    }

    /// Returns the number of request ids kept.
    pub fn len(&self) -> usize {
        self.posted.len()
    }

    /// Returns whether no request id is kept.
    pub fn is_empty(&self) -> bool {
        self.posted.is_empty()
    }
}
