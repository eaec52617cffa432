//! Response bodies.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::server::client::ResponseBody;

/// The body of a response.
pub enum Body {
    /// A complete body, sent with its length.
    Full(Bytes),
    /// None, by the request's method or the response's status, with the length that the head names.
    Omitted(Option<u64>),
    /// A streamed body; it ends when the sender is dropped.
    Stream(mpsc::Receiver<Bytes>),
}

impl From<ResponseBody> for Body {
    fn from(body: ResponseBody) -> Body {
        match body {
            ResponseBody::Whole(bytes) => Body::Full(bytes),
            ResponseBody::Omitted(length) => Body::Omitted(length),
        }
    }
}

impl MessageBody for Body {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        match self {
            Body::Full(b) => BodySize::Sized(b.len() as u64),
            Body::Omitted(length) => length.map_or(BodySize::None, BodySize::Sized),
            Body::Stream(_) => BodySize::Stream,
        }
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        match self.get_mut() {
            Body::Omitted(_) => Poll::Ready(None),
            Body::Full(b) if b.is_empty() => Poll::Ready(None),
            Body::Full(b) => Poll::Ready(Some(Ok(std::mem::take(b)))),
            Body::Stream(rx) => rx.poll_recv(cx).map(|b| b.map(Ok)),
        }
    }
}
