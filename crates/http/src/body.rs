//! Response bodies.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use tokio::sync::mpsc;

/// The body of a response.
pub enum Body {
    /// A complete body, sent with its length.
    Full(Bytes),
    /// A streamed body; it ends when the sender is dropped.
    Stream(mpsc::Receiver<Bytes>),
}

impl MessageBody for Body {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        match self {
            Body::Full(b) => BodySize::Sized(b.len() as u64),
            Body::Stream(_) => BodySize::Stream,
        }
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        match self.get_mut() {
            Body::Full(b) if b.is_empty() => Poll::Ready(None),
            Body::Full(b) => Poll::Ready(Some(Ok(std::mem::take(b)))),
            Body::Stream(rx) => rx.poll_recv(cx).map(|b| b.map(Ok)),
        }
    }
}
