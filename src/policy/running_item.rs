use std::time::Duration;

use super::WorkItem;

/// A dispatched request that has not finished.
#[derive(Debug, Clone)]
pub(super) struct RunningItem {
    pub(super) item: WorkItem,
    pub(super) started_at: Duration,
    pub(super) is_cancelled: bool,
}
