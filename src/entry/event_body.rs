use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

/// The body of a streamed response, fed through a channel.
///
/// When the caller disconnects, the body is dropped and the channel closes, which notifies the
/// sender.
#[derive(Debug)]
pub struct EventBody {
    receiver: mpsc::Receiver<Bytes>,
}

impl EventBody {
    pub(super) const fn new(receiver: mpsc::Receiver<Bytes>) -> Self {
        Self { receiver }
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.get_mut()
            .receiver
            .poll_recv(cx)
            .map(|data| data.map(|data| Ok(Frame::data(data))))
    }
}
