use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Version;
use http_body::{Body, Frame, SizeHint};

use super::ReplyBody;
use super::head_timeout_stream::RequestToken;
use crate::error::Error;

/// A response body that keeps its request marked as in progress until it is dropped.
#[derive(Debug)]
pub(super) struct TrackedBody {
    body: ReplyBody,
    token: RequestToken,
    /// Whether the end of the connection marks the end of the body for the caller.
    ends_with_connection: bool,
}

impl TrackedBody {
    /// Creates the body of a response to a request of the given HTTP version.
    pub(super) fn new(body: ReplyBody, token: RequestToken, version: Version) -> Self {
        let ends_with_connection =
            version <= Version::HTTP_10 && body.size_hint().exact().is_none();
        Self {
            body,
            token,
            ends_with_connection,
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
        let this = self.get_mut();
        let mut polled = Pin::new(&mut this.body).poll_frame(cx);
        if let ReplyBody::Stream(stream) = &mut this.body
            && this.token.set_event(stream.allocated_bytes())
            && polled.is_pending()
        {
            // The pieces are charged as an answer, so that a caller that doesn't read them can be shed.
            if let Some(event) = stream.release_event() {
                let _is_short = this.token.set_event(stream.allocated_bytes());
                polled = Poll::Ready(Some(Ok(Frame::data(event))));
            }
        }
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            this.token
                .add_answer(frame.data_ref().map_or(0, Bytes::len));
        }
        if this.ends_with_connection && matches!(polled, Poll::Ready(Some(Err(_)))) {
            this.token.reset_connection();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
