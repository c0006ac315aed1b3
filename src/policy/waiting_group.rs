use std::collections::BTreeMap;
use std::time::Duration;

use super::QueuedItem;

/// Queued requests of one rank for the same adapter.
///
/// The sum of their arrival times is maintained incrementally, so that the total wait is computed
/// in constant time.
#[derive(Debug, Clone, Default)]
pub(super) struct WaitingGroup {
    items: BTreeMap<(u64, u64), QueuedItem>,
    queued_at_sum: Duration,
}

impl WaitingGroup {
    pub(super) fn insert(&mut self, queued: QueuedItem) {
        self.queued_at_sum = self.queued_at_sum.saturating_add(queued.queued_at);
        self.items.insert(queued.tag, queued);
    }

    pub(super) fn remove(&mut self, tag: (u64, u64)) -> Option<QueuedItem> {
        let queued = self.items.remove(&tag)?;
        self.queued_at_sum = self.queued_at_sum.saturating_sub(queued.queued_at);
        Some(queued)
    }

    pub(super) fn first(&self) -> Option<&QueuedItem> {
        self.items.values().next()
    }

    pub(super) fn find(&self, tag: (u64, u64)) -> Option<&QueuedItem> {
        self.items.get(&tag)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &QueuedItem> {
        self.items.values()
    }

    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the sum of the waiting times of all requests.
    pub(super) fn total_wait(&self, now: Duration) -> Duration {
        let count = u32::try_from(self.items.len()).unwrap_or(u32::MAX);
        now.saturating_mul(count).saturating_sub(self.queued_at_sum)
    }
}
