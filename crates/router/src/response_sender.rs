//! The response channel of a model request: one initial response, then the chunks of a stream.

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

use crate::model_handler::ResponseStart;
use crate::reply::Refusal;

/// Why a chunk could not be sent to the caller.
pub enum SendError {
    /// The caller has disconnected.
    Disconnected,
    /// The caller did not read it before the deadline.
    DeadlinePassed,
}

/// Sends the response of one model request to its handler.
pub struct ResponseSender {
    /// Sends the initial response; `None` once it is sent.
    response_tx: Option<oneshot::Sender<Result<ResponseStart, Refusal>>>,
    chunk_tx: mpsc::Sender<Bytes>,
    stream: bool,
}

impl ResponseSender {
    /// Creates a channel that sends the initial response through `response_tx` and, if `stream` is
    /// set, the chunks through `chunk_tx`.
    pub fn new(
        response_tx: oneshot::Sender<Result<ResponseStart, Refusal>>,
        chunk_tx: mpsc::Sender<Bytes>,
        stream: bool,
    ) -> ResponseSender {
        ResponseSender { response_tx: Some(response_tx), chunk_tx, stream }
    }

    /// Completes when the caller has disconnected.
    pub async fn closed(&mut self) {
        match &mut self.response_tx {
            Some(response_tx) => response_tx.closed().await,
            None => self.chunk_tx.closed().await,
        }
    }

    /// Starts the streamed response, if the caller requested one.
    pub fn start_stream(&mut self) {
        if self.stream
            && let Some(response_tx) = self.response_tx.take()
        {
            // If the caller has disconnected, sending the first chunk fails.
            let _ = response_tx.send(Ok(ResponseStart::Streaming));
        }
    }

    /// Sends a chunk of a streamed response. Does nothing if the caller requested no stream.
    pub async fn send_chunk(&self, chunk: Bytes, deadline: Instant) -> Result<(), SendError> {
        if !self.stream {
            return Ok(());
        }
        match timeout_at(deadline, self.chunk_tx.send(chunk)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(SendError::Disconnected),
            Err(_) => Err(SendError::DeadlinePassed),
        }
    }

    /// Sends the initial response. Returns false if it was sent before.
    pub fn respond(&mut self, response: Result<ResponseStart, Refusal>) -> bool {
        let Some(response_tx) = self.response_tx.take() else { return false };
        // Fails only if the caller has disconnected.
        let _ = response_tx.send(response);
        true
    }
}
