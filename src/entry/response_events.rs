use tokio::sync::mpsc;

use crate::error::{Error, ErrorKind, Result, RunState};
use crate::peer::{CallChunk, CallEvents};

/// The stream of response chunks from the owner of an upstream; dropping it cancels the call.
#[derive(Debug)]
pub enum ResponseEvents {
    /// The owner runs in this process and sends the chunks over a channel.
    Local(mpsc::Receiver<CallChunk>),
    /// The owner is a peer and sends the chunks over its link.
    Remote(CallEvents),
}

impl ResponseEvents {
    /// Waits for the next chunk of the response.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Peer`] if the stream ends without an end marker, the link to the peer
    /// is lost, or the peer drops the call.
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
