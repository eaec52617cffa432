//! A router's part of the fleet's budget of retries, over a sliding window.

use std::collections::VecDeque;

use crate::unit::{Millis, Time};

/// The fleet's bound: in every window of `window`, no more than `hundredths` retries for each 100
/// requests, and `extra` besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Retries for each 100 requests.
    pub hundredths: u64,
    /// Retries besides.
    pub extra: u64,
    /// The window.
    pub window: Millis,
}

/// One service's requests and retries at one router.
#[derive(Clone, Debug)]
pub struct Window {
    /// When the router started that counts them.
    started: Time,
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl Window {
    /// Nothing is counted yet by a router that started at `started`.
    pub fn new(started: Time) -> Window {
        Window { started, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    fn trim(&mut self, now: Time, window: Millis) {
        for q in [&mut self.requests, &mut self.retries] {
            while q.front().is_some_and(|t| now.since(*t) >= window) {
                q.pop_front();
            }
        }
    }

    /// Counts a request.
    pub fn request(&mut self, now: Time, b: &Bound) {
        self.trim(now, b.window);
        self.requests.push_back(now);
    }

    /// Takes a retry out of this router's part, with `routers` of them; false if none is left.
    ///
    /// Each router keeps to its own requests' share, and to an equal part of what is allowed
    /// besides; the sum over all routers then keeps the fleet's bound in every window. One that started
    /// less than a window ago may have made its part of that before, and has forgotten it.
    pub fn take(&mut self, now: Time, b: &Bound, routers: u64) -> bool {
        self.trim(now, b.window);
        let earned = self.requests.len() as u64 * b.hundredths / 100;
        let is_new = now.since(self.started) < b.window;
        let besides = if is_new { 0 } else { b.extra / routers.max(1) };
        let allowed = earned + besides;
        if self.retries.len() as u64 >= allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}
