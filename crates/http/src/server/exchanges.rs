//! The exchanges under way on the connections of a listener, which a planned stop waits for.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Counts the exchanges under way. One lasts from the first byte of a request to the last byte of its response that the
/// system has accepted; the last one of a connection until that is closed.
#[derive(Default)]
pub struct Exchanges {
    count: Cell<usize>,
    ended: Notify,
    closing: Cell<bool>,
}

impl Exchanges {
    /// Announces in each response whose head is sent from now on that its connection closes after it.
    pub fn close_after_responses(&self) {
        self.closing.set(true);
    }

    /// Returns whether connections close after their responses.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Begins an exchange, which ends when the guard is dropped.
    pub fn begin(self: &Rc<Self>) -> ExchangeGuard {
        self.count.set(self.count.get() + 1);
        ExchangeGuard(self.clone())
    }

    /// Returns the number of exchanges under way.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Waits until no exchange is under way.
    pub async fn none_left(&self) {
        loop {
            let ended = self.ended.notified();
            if self.count.get() == 0 {
                return;
            }
            ended.await;
        }
    }
}

/// An exchange under way.
pub struct ExchangeGuard(Rc<Exchanges>);

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        if self.0.count.get() == 0 {
            self.0.ended.notify_waiters();
        }
    }
}
