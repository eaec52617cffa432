//! A signal to the owner of memory that has to be freed.

use std::cell::Cell;

use tokio::sync::Notify;

/// Tells the owner of buffered bytes that they have to be freed.
#[derive(Default)]
pub struct CutSignal {
    is_set: Cell<bool>,
    changed: Notify,
}

impl CutSignal {
    /// Sets the signal for good.
    pub fn set(&self) {
        self.is_set.set(true);
        self.changed.notify_one();
    }

    /// Returns whether it is set.
    pub fn is_set(&self) -> bool {
        self.is_set.get()
    }

    /// Waits until it is set.
    pub async fn wait(&self) {
        while !self.is_set() {
            self.changed.notified().await;
        }
    }
}
