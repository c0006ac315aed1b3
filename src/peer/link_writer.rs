use std::sync::Arc;
use std::time::Duration;

use futures_util::SinkExt;
use socket2::SockRef;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::codec::FramedWrite;

use super::FrameCodec;
use super::frame_codec::shrink_empty;
use super::link_core::{LinkCore, LinkQueues};
use super::link_heartbeats::{LinkHeartbeats, NodeHeartbeat};
use super::link_reader::silence_error;
use super::outgoing_frame::OutgoingFrame;
use crate::error::{Error, ErrorKind, Result};

/// Maximum number of frames between two flushes, so that heartbeats are not delayed.
const MAX_BATCH_FRAMES: usize = 32;

/// Writes heartbeats and queued frames of one link.
///
/// A link that is given up is reset, since the kernel would go on to send the frames of an orderly
/// close, and a cut link would deliver them seconds later.
pub(super) struct LinkWriter {
    pub(super) core: Arc<LinkCore>,
    pub(super) queues: LinkQueues,
    pub(super) frames: FramedWrite<OwnedWriteHalf, FrameCodec>,
    pub(super) write_timeout: Duration,
    /// Receives the state of the node at each heartbeat.
    pub(super) ticks: watch::Receiver<Arc<NodeHeartbeat>>,
    pub(super) heartbeats: LinkHeartbeats,
}

impl LinkWriter {
    /// Writes until the link closes or fails.
    pub(super) async fn run(mut self) {
        let core = Arc::clone(&self.core);
        let written = core.closed.run_until_cancelled(self.write_all()).await;
        if let Some(Err(error)) = written {
            core.close(error.detail());
        }
    }

    async fn write_all(&mut self) -> Result<()> {
        // Set from the start, so that it also applies if the process is killed.
        self.socket().set_linger(Some(Duration::ZERO))?;
        let mut factor = 0;
        // Sends the first heartbeat immediately, which confirms the link to the dialling side.
        self.ticks.mark_changed();
        loop {
            tokio::select! {
                biased;
                tick = self.ticks.changed() => {
                    if tick.is_err() {
                        return Err(Error::new(ErrorKind::ShuttingDown, "the mesh was stopped"));
                    }
                    self.feed_heartbeat().await?;
                }
                Some(outgoing) = self.queues.control.recv() => self.feed(outgoing).await?,
                Some(outgoing) = self.queues.data.recv() => self.feed(outgoing).await?,
            }
            for _ in 0..MAX_BATCH_FRAMES {
                let next = self.queues.control.try_recv();
                let Ok(outgoing) = next.or_else(|_| self.queues.data.try_recv()) else {
                    break;
                };
                self.feed(outgoing).await?;
            }
            let current = self.core.heartbeat_factor();
            if current != factor {
                factor = current;
                // Frames that the peer's kernel does not acknowledge within the silence limit are
                // not delivered later, even while frames of the peer arrive.
                let limit = self.write_timeout * factor;
                self.socket().set_tcp_user_timeout(Some(limit))?;
            }
            with_timeout(self.write_timeout, self.frames.flush()).await?;
            shrink_empty(self.frames.write_buffer_mut());
        }
    }

    fn socket(&self) -> SockRef<'_> {
        SockRef::from(self.frames.get_ref().as_ref())
    }

    async fn feed(&mut self, outgoing: OutgoingFrame) -> Result<()> {
        if outgoing.call.is_some_and(|call| !call.begin_write()) {
            return Ok(());
        }
        if self.core.record_activity() {
            self.check_silence_later();
        }
        with_timeout(self.write_timeout, self.frames.feed(outgoing.frame)).await
    }

    /// Closes the link if nothing is received within the link timeout. The reader of a link that was
    /// idle looks for a silence too rarely.
    fn check_silence_later(&self) {
        let (core, limit) = (Arc::clone(&self.core), self.write_timeout);
        tokio::spawn(async move {
            sleep(limit).await;
            if core.is_overdue(limit) {
                core.close(silence_error(limit).detail());
            }
        });
    }

    async fn feed_heartbeat(&mut self) -> Result<()> {
        let heartbeat = Arc::clone(&self.ticks.borrow_and_update());
        if let Some(frame) = self.heartbeats.next(&heartbeat) {
            with_timeout(self.write_timeout, self.frames.feed(frame)).await?;
        }
        Ok(())
    }
}

impl Drop for LinkWriter {
    fn drop(&mut self) {
        // A planned stop still delivers the frames that were written before it.
        if self.heartbeats.is_mesh_stopped()
            && !self.core.is_closed()
            && let Err(error) = self.socket().set_linger(None)
        {
            log::debug!("the last frames of a link may be lost: {error}");
        }
    }
}

async fn with_timeout(limit: Duration, write: impl Future<Output = Result<()>>) -> Result<()> {
    timeout(limit, write).await.unwrap_or_else(|_| {
        Err(Error::new(
            ErrorKind::Peer,
            format!("the peer took no bytes for {} ms", limit.as_millis()),
        ))
    })
}
