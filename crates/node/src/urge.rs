//! A wish that a standing question be put anew at once, though its answer is not due yet.

use std::cell::Cell;

use tokio::sync::Notify;

/// The wish, from those that have it to the task that puts the question.
#[derive(Debug, Default)]
pub struct Urge {
    wished: Cell<bool>,
    notify: Notify,
}

impl Urge {
    /// Wishes that the question be put.
    pub fn wish(&self) {
        self.wished.set(true);
        self.notify.notify_one();
    }

    /// Notes that the question is being put, with all that was wished for.
    pub fn clear(&self) {
        self.wished.set(false);
    }

    /// Waits for a wish that has not been cleared.
    pub async fn wished(&self) {
        while !self.wished.get() {
            self.notify.notified().await;
        }
    }
}
