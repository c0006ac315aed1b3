use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, mpsc};

use super::call_state::CallState;
use super::call_window::{CREDIT_STEP_BYTES, cost};
use super::link_core::LinkCore;
use super::link_streams::CallEvent;
use super::{CallChunk, chunk, frame};
use crate::error::{Error, ErrorKind, Result, RunState};

/// The receiving half of a call, which yields the answer in chunks.
///
/// Dropping it before the end cancels the call at the peer.
#[derive(Debug)]
pub struct CallEvents {
    pub(super) link: Arc<LinkCore>,
    pub(super) stream: u64,
    pub(super) state: Arc<CallState>,
    pub(super) receiver: mpsc::Receiver<CallEvent>,
    pub(super) consumed: u32,
    pub(super) is_ended: bool,
    pub(super) _permit: OwnedSemaphorePermit,
}

impl CallEvents {
    /// Returns the next chunk, or `None` after the end marker or a refusal.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Peer`] if the link was lost or the peer dropped the call. The run state
    /// is [`RunState::NotRun`] only if no frame of the call was written.
    pub async fn next(&mut self) -> Result<Option<CallChunk>> {
        if self.is_ended {
            return Ok(None);
        }
        match self.receiver.recv().await {
            Some(CallEvent::Chunk(chunk)) => {
                self.is_ended = is_last(&chunk);
                if !self.is_ended {
                    self.return_credit(&chunk);
                }
                Ok(Some(chunk))
            }
            Some(CallEvent::Dropped(reason)) => {
                self.is_ended = true;
                Err(Error::new(
                    ErrorKind::Peer,
                    format!(
                        "peer {} dropped the call: {reason}",
                        self.link.identity.instance
                    ),
                )
                .with_run_state(RunState::Unknown))
            }
            None => {
                self.is_ended = true;
                Err(self
                    .link
                    .lost_error()
                    .with_run_state(self.state.run_state()))
            }
        }
    }

    fn return_credit(&mut self, chunk: &CallChunk) {
        self.consumed += cost(chunk);
        if self.consumed >= CREDIT_STEP_BYTES {
            let consumed = std::mem::take(&mut self.consumed);
            if self.link.restore_window(self.stream, consumed) {
                self.link
                    .queue_control(self.stream, frame::Body::Credit(consumed));
            }
        }
    }
}

/// Returns whether the chunk ends the answer.
pub(super) const fn is_last(chunk: &CallChunk) -> bool {
    matches!(
        chunk.body,
        Some(chunk::Body::End(_) | chunk::Body::Refused(_))
    )
}

impl Drop for CallEvents {
    fn drop(&mut self) {
        let is_open = self.link.remove_call(self.stream);
        if !self.state.cancel() && is_open && !self.is_ended {
            self.link.queue_control(
                self.stream,
                frame::Body::Cancel("the caller gave up".to_owned()),
            );
        }
    }
}
