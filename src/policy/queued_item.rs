use std::time::Duration;

use super::WorkItem;

/// A waiting request with its place in the order of service.
#[derive(Debug, Clone)]
pub struct QueuedItem {
    /// The request.
    pub item: WorkItem,
    /// When it was offered.
    pub queued_at: Duration,
    pub(super) tag: (u64, u64),
}
