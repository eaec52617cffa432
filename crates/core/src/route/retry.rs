//! A budget of retries, so that failing upstreams are not sent a multiple of their load.

/// What each request adds, in hundredths of a retry.
const DEPOSIT: u32 = 20;

/// What one retry takes, in hundredths.
const RETRY: u32 = 100;

/// The most that is saved up, in hundredths.
const MOST: u32 = 2_000;

/// The retries that one service's requests may make at one router: one for five requests, and
/// twenty at once after a quiet time.
#[derive(Clone, Copy, Debug)]
pub struct Retries {
    saved: u32,
}

impl Default for Retries {
    fn default() -> Retries {
        Retries { saved: MOST }
    }
}

impl Retries {
    /// Counts a request.
    pub fn request(&mut self) {
        self.saved = (self.saved + DEPOSIT).min(MOST);
    }

    /// Takes a retry; false if none is left.
    pub fn take(&mut self) -> bool {
        let may = self.saved >= RETRY;
        if may {
            self.saved -= RETRY;
        }
        may
    }
}
