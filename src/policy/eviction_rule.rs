/// Rule by which the resident adapter to evict is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvictionRule {
    /// Evicts the least recently used adapter.
    LeastRecentlyUsed,
    /// Evicts the least popular adapter, except for the
    /// [`recency_slots`](super::SchedulerConfig::recency_slots) most recently used ones.
    Popularity,
}
