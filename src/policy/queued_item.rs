use std::time::Duration;

use super::WorkItem;

/// A waiting request with its place in the order of service.
#[derive(Debug, Clone)]
pub struct QueuedItem {
    /// The request.
    pub item: WorkItem,
    /// When it was offered.
    pub queued_at: Duration,
    /// Whether it ran before and was preempted; such a request is not refused any more.
    pub is_resumed: bool,
    pub(super) tag: (u64, u64),
}
