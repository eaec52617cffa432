//! A signal to repeat a watch request (long poll) before its response has arrived.

use std::cell::Cell;

use tokio::sync::Notify;

/// The signal, from the code that needs newer data to the task that sends the watch requests.
#[derive(Debug, Default)]
pub struct PollTrigger {
    triggered: Cell<bool>,
    notify: Notify,
}

impl PollTrigger {
    /// Sets the signal and wakes the waiting task.
    pub fn trigger(&self) {
        self.triggered.set(true);
        self.notify.notify_one();
    }

    /// Resets the signal. The task calls this when it sends the next request.
    pub fn clear(&self) {
        self.triggered.set(false);
    }

    /// Waits until the signal is set. Returns at once if it is set already.
    pub async fn triggered(&self) {
        while !self.triggered.get() {
            self.notify.notified().await;
        }
    }
}
