/// Limits on the memory and work of one link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkLimits {
    /// Maximum number of open calls, in each direction.
    pub max_calls: usize,
    /// Maximum number of [`PeerRequest`](super::PeerRequest)s in progress, in each direction.
    pub max_requests: usize,
    /// Maximum number of frames in the send queue.
    pub queued_frames: usize,
    /// Maximum number of bytes in the send queue.
    pub queued_bytes: u32,
    /// Maximum number of bytes of the forwarded requests of the peer's open calls.
    pub open_bytes: usize,
}

impl Default for LinkLimits {
    fn default() -> Self {
        Self {
            max_calls: 1024,
            max_requests: 64,
            queued_frames: 256,
            queued_bytes: 8 * 1024 * 1024,
            open_bytes: 64 * 1024 * 1024,
        }
    }
}
