use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::{CallChunk, PeerReply};

/// The open calls and requests of one link.
#[derive(Debug, Default)]
pub(super) struct LinkStreams {
    pub(super) is_closed: bool,
    /// Calls that this instance opened.
    pub(super) calls: BTreeMap<u64, CallSlot>,
    /// Requests that this instance sent.
    pub(super) requests: BTreeMap<u64, oneshot::Sender<PeerReply>>,
    /// Calls that the peer opened.
    pub(super) served: BTreeMap<u64, ServedSlot>,
    /// Number of sinks of the peer's calls, including those of cancelled calls.
    pub(super) sinks: usize,
    /// Bytes of the requests that belong to these sinks.
    pub(super) open_bytes: usize,
    /// Number of requests of the peer whose replies are in progress.
    pub(super) replies: usize,
}

/// State of a call at the side that receives the answer.
#[derive(Debug)]
pub(super) struct CallSlot {
    pub(super) sender: mpsc::Sender<CallEvent>,
    /// Window bytes that the peer has used and that were not restored by credit.
    pub(super) used: u32,
}

/// An event that the reader of a link passes to the consumer of a call.
#[derive(Debug)]
pub(super) enum CallEvent {
    Chunk(CallChunk),
    Dropped(String),
}

/// State of a call at the side that sends the answer.
#[derive(Debug)]
pub(super) struct ServedSlot {
    pub(super) cancelled: CancellationToken,
    pub(super) window: Arc<Semaphore>,
    /// Window bytes in use.
    pub(super) used: u32,
}
