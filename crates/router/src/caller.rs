//! The caller's end of a model request: gone or there, waiting for a first word or for pieces.

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

use crate::chat::Started;
use crate::reply::Refusal;

/// Why a piece did not reach the caller.
pub enum Undelivered {
    /// The caller has gone.
    Left,
    /// The caller reads too slowly for its deadline.
    Late,
}

/// The caller's end.
pub struct Caller {
    /// Waits for the first word; taken once it is said.
    first: Option<oneshot::Sender<Result<Started, Refusal>>>,
    tx: mpsc::Sender<Bytes>,
    stream: bool,
}

impl Caller {
    /// A caller that waits for its first word, and for pieces after it if it wants a stream.
    pub fn new(
        first: oneshot::Sender<Result<Started, Refusal>>,
        tx: mpsc::Sender<Bytes>,
        stream: bool,
    ) -> Caller {
        Caller { first: Some(first), tx, stream }
    }

    /// Ends when the caller has gone.
    pub async fn gone(&mut self) {
        match &mut self.first {
            Some(f) => f.closed().await,
            None => self.tx.closed().await,
        }
    }

    /// Tells that an engine answers, if the caller wants a stream.
    pub fn begin(&mut self) {
        if self.stream
            && let Some(first) = self.first.take()
        {
            // A caller that has gone is noticed with the first piece.
            let _ = first.send(Ok(Started::Streaming));
        }
    }

    /// Passes a piece of a stream on; one that wants no stream gets none.
    pub async fn pass(&self, piece: Bytes, deadline: Instant) -> Result<(), Undelivered> {
        if !self.stream {
            return Ok(());
        }
        match timeout_at(deadline, self.tx.send(piece)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(Undelivered::Left),
            Err(_) => Err(Undelivered::Late),
        }
    }

    /// Says the last word, if the first is not said yet; returns false if it is.
    pub fn answer(&mut self, word: Result<Started, Refusal>) -> bool {
        let Some(first) = self.first.take() else { return false };
        // A caller that has gone needs no answer.
        let _ = first.send(word);
        true
    }
}
