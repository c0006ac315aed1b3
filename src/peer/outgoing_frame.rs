use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;

use super::{PeerFrame, call_state::CallState};

/// A frame that waits to be written.
#[derive(Debug)]
pub(super) struct OutgoingFrame {
    pub(super) frame: PeerFrame,
    /// Set for the first frame of a call.
    pub(super) call: Option<Arc<CallState>>,
    /// The frame's share of the queue's bytes, returned when the frame is dropped.
    pub(super) _queue_permit: Option<OwnedSemaphorePermit>,
}
