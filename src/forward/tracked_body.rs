use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::ReplyBody;
use super::head_timeout_stream::RequestToken;
use crate::error::Error;

/// A response body that keeps its request marked as in progress until it is dropped.
#[derive(Debug)]
pub(super) struct TrackedBody {
    body: ReplyBody,
    _token: RequestToken,
}

impl TrackedBody {
    pub(super) const fn new(body: ReplyBody, token: RequestToken) -> Self {
        Self {
            body,
            _token: token,
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
