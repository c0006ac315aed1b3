use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use displaydoc::Display;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;

use super::WriteLimit;

/// The body of a request that fails if it is due to be written after a time limit.
///
/// hyper writes the head of a request with the first bytes of its body, so that nothing is written if
/// the body fails. This check is the last one before the bytes are passed to the kernel.
#[derive(Debug)]
pub(super) struct TimedBody {
    body: Full<Bytes>,
    limit: Option<WriteLimit>,
}

/// the request was due to be written after its permission had ended; nothing was sent
#[derive(Debug, Display)]
pub(super) struct WriteLimitError;

impl std::error::Error for WriteLimitError {}

impl TimedBody {
    pub(super) const fn new(body: Full<Bytes>, limit: Option<WriteLimit>) -> Self {
        Self { body, limit }
    }
}

impl Body for TimedBody {
    type Data = Bytes;
    type Error = WriteLimitError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, WriteLimitError>>> {
        let is_unwritten = !self.body.is_end_stream();
        if is_unwritten && self.limit.as_ref().is_some_and(WriteLimit::has_passed) {
            return Poll::Ready(Some(Err(WriteLimitError)));
        }
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        polled.map_err(|never| match never {})
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
