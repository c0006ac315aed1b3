use tokio::sync::mpsc;

use crate::error::{Error, ErrorKind, Result, RunState};
use crate::peer::{CallChunk, CallEvents};

/// The answer of an owner, in this process or behind a link; dropping it cancels the call.
#[derive(Debug)]
pub enum ResponseEvents {
    /// The owner is in this process.
    Local(mpsc::Receiver<CallChunk>),
    /// The owner is a peer.
    Remote(CallEvents),
}

impl ResponseEvents {
    /// Waits for the next part of the answer.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Peer`] if the owner ended without the end of the answer.
    pub async fn next(&mut self) -> Result<CallChunk> {
        let chunk = match self {
            Self::Local(receiver) => receiver.recv().await,
            Self::Remote(events) => events.next().await?,
        };
        chunk.ok_or_else(|| {
            Error::new(
                ErrorKind::Peer,
                "the owner ended the call without an end marker",
            )
            .with_run_state(RunState::Unknown)
        })
    }
}
