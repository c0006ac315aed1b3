use std::io;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};

use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection that lets other tasks run after each 16 KiB that it has read, and that is reset when it
/// is closed.
///
/// hyper reads and parses without a pause while bytes arrive that yield nothing to its caller, such as
/// interim responses without end. On a single thread, other requests would wait for seconds.
///
/// The reset discards the bytes that the kernel has not sent yet. Otherwise, a request that was given up on
/// a link that is cut would be delivered when the link heals, even after the process has ended.
#[derive(Debug)]
pub(crate) struct YieldingStream {
    stream: TcpStream,
    /// Number of bytes that are read before the next yield.
    left: usize,
}

/// Number of bytes that are read before other tasks run. All connections to a faulty server may read as
/// much before another request goes on, so it is as small as a usual response.
const READ_QUANTUM: usize = 16 * 1024;

impl YieldingStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        if let Err(error) = stream.set_zero_linger() {
            log::warn!("a connection will be closed without a reset: {error}");
        }
        Self {
            stream,
            left: READ_QUANTUM,
        }
    }
}

impl Connection for YieldingStream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl AsyncRead for YieldingStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.left == 0 {
            this.left = READ_QUANTUM;
            // A waker alone would make the task run again before the runtime looks for other events.
            ready!(pin!(tokio::task::yield_now()).poll(cx));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        this.left = this.left.saturating_sub(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for YieldingStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
