use std::time::Duration;

use super::WorkItem;

/// A queued request and its position in the fair order.
#[derive(Debug, Clone)]
pub struct QueuedItem {
    /// The queued request.
    pub item: WorkItem,
    /// When the request entered the queue.
    pub queued_at: Duration,
    /// Whether the request ran before and was preempted; such a request is not refused for its
    /// deadline or a full queue, only after repeated failed loads of its adapter.
    pub is_resumed: bool,
    /// Start tag and sequence number; the smallest is served first.
    pub(super) tag: (u64, u64),
}
