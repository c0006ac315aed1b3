use std::sync::Arc;

use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::call_events::is_last;
use super::call_window::cost;
use super::link_core::LinkCore;
use super::{CallChunk, frame};
use crate::error::{Error, ErrorKind, Result, RunState};

/// The sending half of a call that a peer opened.
///
/// Dropping it before an end marker or a refusal notifies the peer that the call was dropped.
#[derive(Debug)]
pub struct CallSink {
    pub(super) link: Arc<LinkCore>,
    pub(super) stream: u64,
    pub(super) cancelled: CancellationToken,
    pub(super) window: Arc<Semaphore>,
    pub(super) open_len: usize,
    pub(super) is_ended: bool,
}

impl CallSink {
    /// Sends a chunk of the answer; waits while the window or the queue of the link is full.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Peer`] if the peer cancelled the call, the link was lost, or the answer
    /// has already ended.
    pub async fn send(&mut self, chunk: CallChunk) -> Result<()> {
        if self.is_ended {
            return Err(self.closed_error("its answer has ended"));
        }
        let (cost, is_last) = (cost(&chunk), is_last(&chunk));
        let cancelled = self.cancelled.clone();
        let sent = cancelled
            .run_until_cancelled(async {
                // The semaphore of the window is never closed.
                if let Ok(permit) = self.window.acquire_many(cost).await {
                    permit.forget();
                }
                self.link.use_window(self.stream, cost);
                self.link
                    .queue_data(self.stream, frame::Body::Chunk(chunk), None)
                    .await
            })
            .await;
        match sent {
            Some(Ok(())) => {
                if is_last {
                    self.is_ended = true;
                    self.link.remove_served(self.stream);
                }
                Ok(())
            }
            Some(Err(error)) => Err(error.with_run_state(RunState::Unknown)),
            None => Err(self.closed_error("the peer cancelled it or the link was lost")),
        }
    }

    /// Waits until the peer cancels the call or the link is lost.
    pub async fn closed(&self) {
        self.cancelled.cancelled().await;
    }

    fn closed_error(&self, why: &str) -> Error {
        Error::new(
            ErrorKind::Peer,
            format!(
                "call {} of peer {} takes no more parts: {why}",
                self.stream, self.link.identity.instance
            ),
        )
        .with_run_state(RunState::Unknown)
    }
}

impl Drop for CallSink {
    fn drop(&mut self) {
        self.link.release_sink(self.open_len);
        if self.link.remove_served(self.stream) && !self.is_ended {
            let (link, stream) = (Arc::clone(&self.link), self.stream);
            // The cancellation follows the chunks that are already queued.
            self.link.runtime.spawn(async move {
                let cancel = frame::Body::Cancel("no end marker was sent".to_owned());
                // A failure means that the link is lost, which ends the call as well.
                let _lost = link.queue_data(stream, cancel, None).await;
            });
        }
    }
}
