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
pub struct Retries {
    balance: u32,
}

impl Default for Retries {
    fn default() -> Retries {
        Retries { balance: MAX_BALANCE }
    }
}

impl Retries {
    /// Adds the credit of one request.
    pub fn request(&mut self) {
        self.balance = (self.balance + CREDIT).min(MAX_BALANCE);
    }

    /// Withdraws one retry. Returns false if the budget is exhausted.
    pub fn take(&mut self) -> bool {
        let covered = self.balance >= RETRY_COST;
        if covered {
            self.balance -= RETRY_COST;
        }
        covered
    }
}
