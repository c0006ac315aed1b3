/// Bounds of the memory and work that one link may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkLimits {
    /// Calls open at a time, in each direction.
    pub max_calls: usize,
    /// Questions in progress at a time, in each direction.
    pub max_requests: usize,
    /// Frames that wait to be written.
    pub queued_frames: usize,
    /// Bytes of frames that wait to be written.
    pub queued_bytes: u32,
    /// Bytes of received requests whose calls are open.
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
