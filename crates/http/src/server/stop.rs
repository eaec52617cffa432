//! The stages of a planned stop, which a server's connections follow.

use tokio::sync::watch;

/// A stage of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStage {
    /// No stop was requested.
    Serving,
    /// The process leaves the lists of addresses and still serves new requests.
    Leaving,
    /// No connection is accepted any more, and idle ones are closed.
    Closed,
    /// Requests that have not arrived whole are refused.
    Received,
    /// Requests without a response are told that they get none, and responses in progress are cut.
    Ended,
    /// Connections are closed, whatever is left of their responses.
    Abandoned,
}

/// How far a planned stop has come.
pub struct StopProgress(watch::Sender<StopStage>);

impl StopProgress {
    /// Advances to a stage. Does nothing if the stop has come further.
    pub fn advance(&self, stage: StopStage) {
        self.0.send_if_modified(|s| {
            let is_next = *s < stage;
            *s = stage.max(*s);
            is_next
        });
    }

    /// Returns whether a stop was requested.
    pub fn is_requested(&self) -> bool {
        self.has_reached(StopStage::Leaving)
    }

    /// Returns whether the stop has come to a stage.
    pub fn has_reached(&self, stage: StopStage) -> bool {
        *self.0.borrow() >= stage
    }

    /// Returns once the stop has come to a stage.
    pub async fn reached(&self, stage: StopStage) {
        // Fails only without a sender, which `self` holds.
        let _ = self.0.subscribe().wait_for(|s| *s >= stage).await;
    }
}

impl Default for StopProgress {
    fn default() -> StopProgress {
        StopProgress(watch::Sender::new(StopStage::Serving))
    }
}
