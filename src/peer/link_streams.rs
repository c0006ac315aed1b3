use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::{CallChunk, PeerReply};

/// The calls and questions of one link.
#[derive(Debug, Default)]
pub(super) struct LinkStreams {
    pub(super) is_closed: bool,
    /// Calls that this instance opened.
    pub(super) calls: BTreeMap<u64, CallSlot>,
    /// Questions that this instance asked.
    pub(super) requests: BTreeMap<u64, oneshot::Sender<PeerReply>>,
    /// Calls that the peer opened.
    pub(super) served: BTreeMap<u64, ServedSlot>,
    /// Sinks of the peer's calls that exist, including those of cancelled calls.
    pub(super) sinks: usize,
    /// Bytes of the requests of these sinks.
    pub(super) open_bytes: usize,
    /// Questions of the peer that are being replied to.
    pub(super) replies: usize,
}

/// The receiving end of a call's answer.
#[derive(Debug)]
pub(super) struct CallSlot {
    pub(super) sender: mpsc::Sender<CallEvent>,
    /// Bytes of the window that the peer has used and has no credit for yet.
    pub(super) used: u32,
}

/// What the reader of a link hands to the consumer of a call.
#[derive(Debug)]
pub(super) enum CallEvent {
    Chunk(CallChunk),
    Dropped(String),
}

/// The answering end of a call.
#[derive(Debug)]
pub(super) struct ServedSlot {
    pub(super) cancelled: CancellationToken,
    pub(super) window: Arc<Semaphore>,
    /// Bytes of the window in use.
    pub(super) used: u32,
}
