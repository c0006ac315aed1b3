use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;

use super::{ConnectionBody, RelayBody};
use crate::error::Error;

/// The body of a response to a caller.
#[derive(Debug)]
pub enum ReplyBody {
    /// A response that this instance generated itself.
    Local(Full<Bytes>),
    /// An upstream's response, forwarded unchanged.
    Plain(Box<ConnectionBody>),
    /// An upstream's event stream, which may be resumed at another upstream.
    Stream(Box<RelayBody>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match self.get_mut() {
            Self::Local(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Plain(body) => Pin::new(body.as_mut()).poll_frame(cx),
            Self::Stream(body) => Pin::new(body.as_mut()).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Local(body) => body.is_end_stream(),
            Self::Plain(body) => body.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Local(body) => body.size_hint(),
            Self::Plain(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
