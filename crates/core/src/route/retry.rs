//! A retry budget, which limits the extra load on failing upstreams.

/// Credit per request, in hundredths of a retry.
const CREDIT: u32 = 20;

/// Cost of a retry, in hundredths.
const RETRY_COST: u32 = 100;

/// Maximum balance, in hundredths.
const MAX_BALANCE: u32 = 2_000;

/// The retry budget of one service at one router: one retry for every five requests, and a burst of
/// up to twenty.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: u32,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { balance: MAX_BALANCE }
    }
}

impl RetryBudget {
    /// Adds the credit of one request.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + CREDIT).min(MAX_BALANCE);
    }

    /// Withdraws one retry. Returns false if the budget is exhausted.
    pub fn try_take(&mut self) -> bool {
        let covered = self.balance >= RETRY_COST;
        if covered {
            self.balance -= RETRY_COST;
        }
        covered
    }
}
