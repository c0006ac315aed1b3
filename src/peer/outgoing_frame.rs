use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;

use super::{PeerFrame, call_state::CallState};

/// A frame in the send queue of a link.
#[derive(Debug)]
pub(super) struct OutgoingFrame {
    pub(super) frame: PeerFrame,
    /// Set for a request and for the first frame of a call, which are not written once cancelled.
    pub(super) call: Option<Arc<CallState>>,
    /// Bytes of the queue that the frame occupies, released when the frame is dropped.
    pub(super) _queue_permit: Option<OwnedSemaphorePermit>,
}
