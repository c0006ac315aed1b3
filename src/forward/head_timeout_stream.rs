use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::memory::MemoryGrant;

/// A caller's connection that times out if the head of a request arrives too slowly.
///
/// The timeout starts with the first byte of the head, so that the idle timeout of a connection can
/// be longer than the timeout of a head. hyper has a single limit for both.
#[derive(Debug)]
pub(super) struct HeadTimeoutStream {
    stream: TcpStream,
    phase: Arc<HeadPhase>,
    head_timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

/// Records whether the next bytes of a connection belong to the head of a request.
#[derive(Debug)]
pub(super) struct HeadPhase {
    is_head: AtomicBool,
    /// Whether a response whose end is the end of the connection was cut off.
    must_reset: AtomicBool,
    /// The memory that the connection holds.
    grant: Arc<MemoryGrant>,
}

/// Marks a request as in progress until the token is dropped with the response body.
#[derive(Debug)]
pub(super) struct RequestToken {
    phase: Arc<HeadPhase>,
}

impl HeadPhase {
    pub(super) fn new(grant: Arc<MemoryGrant>) -> Arc<Self> {
        Arc::new(Self {
            is_head: AtomicBool::new(true),
            must_reset: AtomicBool::new(false),
            grant,
        })
    }

    /// Marks the head as complete and the request as in progress. Also returns whether the request was
    /// sent before the answer to the one before it.
    pub(super) fn begin_request(self: &Arc<Self>) -> (RequestToken, bool) {
        self.is_head.store(false, Ordering::Release);
        let is_sent_ahead = self.grant.begin_request();
        let token = RequestToken {
            phase: Arc::clone(self),
        };
        (token, is_sent_ahead)
    }
}

impl RequestToken {
    /// Charges bytes of the answer until the kernel has taken them.
    pub(super) fn add_answer(&self, bytes: usize) {
        self.phase.grant.add_answer(bytes);
    }

    /// Charges the bytes of an incomplete event. Returns whether memory is short, so that it has to be
    /// passed on in pieces.
    pub(super) fn set_event(&self, bytes: usize) -> bool {
        self.phase.grant.set_event(bytes)
    }

    /// Resets the connection at its end instead of closing it in order, which would complete the
    /// response for the caller.
    pub(super) fn reset_connection(&self) {
        self.phase.must_reset.store(true, Ordering::Release);
    }
}

impl Drop for RequestToken {
    fn drop(&mut self) {
        self.phase.is_head.store(true, Ordering::Release);
        self.phase.grant.end_request();
    }
}

impl HeadTimeoutStream {
    pub(super) const fn new(
        stream: TcpStream,
        phase: Arc<HeadPhase>,
        head_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            phase,
            head_timeout,
            timer: None,
        }
    }
}

impl HeadTimeoutStream {
    fn record_write(&self, polled: &Poll<io::Result<usize>>) {
        match polled {
            Poll::Ready(Ok(bytes)) => self.phase.grant.record_written(*bytes),
            Poll::Ready(Err(_)) => (),
            Poll::Pending => self.phase.grant.record_blocked(),
        }
    }
}

impl Drop for HeadTimeoutStream {
    fn drop(&mut self) {
        if self.phase.must_reset.load(Ordering::Acquire)
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::warn!("failed to reset a caller's connection: {error}");
        }
    }
}

impl AsyncRead for HeadTimeoutStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if !this.phase.is_head.load(Ordering::Acquire) {
            this.timer = None;
            return Pin::new(&mut this.stream).poll_read(cx, buf);
        }
        let before = buf.filled().len();
        match Pin::new(&mut this.stream).poll_read(cx, buf) {
            Poll::Ready(Ok(())) if buf.filled().len() > before => {
                if this
                    .phase
                    .grant
                    .add_head(buf.filled().len() - before)
                    .is_err()
                {
                    return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
                }
                let limit = this.head_timeout;
                this.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
                Poll::Ready(Ok(()))
            }
            Poll::Pending => {
                let Some(timer) = &mut this.timer else {
                    return Poll::Pending;
                };
                ready!(timer.as_mut().poll(cx));
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
            ended @ Poll::Ready(_) => ended,
        }
    }
}

impl AsyncWrite for HeadTimeoutStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.record_write(&polled);
        polled
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.record_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.phase.must_reset.load(Ordering::Acquire) {
            // The reset follows when the connection is dropped.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut this.stream).poll_shutdown(cx)
    }
}
