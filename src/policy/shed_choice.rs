use std::cmp::Reverse;
use std::time::Duration;

/// What a caller's connection is doing, as far as it decides what may be taken from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderPhase {
    /// No request is in progress.
    Idle,
    /// The head or the body of a request is on its way, so that it certainly has not run.
    Arriving,
    /// A complete request is being served.
    Served,
    /// The caller doesn't read its answer.
    Blocked,
}

/// What one connection holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryHolder {
    /// The bytes allocated for it.
    pub bytes: usize,
    /// What it is doing.
    pub phase: HolderPhase,
    /// When bytes last passed in either direction.
    pub moved_at: Duration,
}

/// Time without a byte after which a connection counts as stalled. Callers inside the limits send a body
/// without such pauses, and a lost packet is sent again within a fraction of it.
pub const STALL_TIME: Duration = Duration::from_secs(1);

impl MemoryHolder {
    fn is_stalled(&self, now: Duration) -> bool {
        now.saturating_sub(self.moved_at) >= STALL_TIME
    }
}

/// Chooses the connection to shed when the memory for callers is used up, or `None` if each of them is
/// idle or being served.
///
/// This answers crowds of callers that send large requests and don't end them: stalled requests go first,
/// then answers that aren't read, then other unfinished requests. In each group the largest goes first, so
/// that an ordinary request is the last, and of equal ones the one that has waited longest.
pub fn choose_memory_shed<K>(
    holders: impl IntoIterator<Item = (K, MemoryHolder)>,
    now: Duration,
) -> Option<K> {
    let candidates = holders.into_iter().filter_map(|(key, holder)| {
        let group = match holder.phase {
            HolderPhase::Arriving if holder.is_stalled(now) => 0,
            HolderPhase::Blocked if holder.is_stalled(now) => 1,
            HolderPhase::Arriving => 2,
            HolderPhase::Idle | HolderPhase::Served | HolderPhase::Blocked => return None,
        };
        (holder.bytes > 0).then_some((key, (group, Reverse(holder.bytes), holder.moved_at)))
    });
    let chosen = candidates.min_by_key(|(_, order)| *order);
    chosen.map(|(key, _)| key)
}

/// Chooses the connection to close in favour of a new one when too many are open, or `None` if each of
/// them is being served.
///
/// This answers crowds of connections without a complete request: stalled requests go first, then idle
/// connections, then unfinished requests, then answers that aren't read. In each group the one without a
/// byte for the longest time goes first, so that callers that have just connected keep their connection.
pub fn choose_connection_shed<K>(
    holders: impl IntoIterator<Item = (K, MemoryHolder)>,
    now: Duration,
) -> Option<K> {
    let candidates = holders.into_iter().filter_map(|(key, holder)| {
        let group = match holder.phase {
            HolderPhase::Arriving if holder.is_stalled(now) => 0,
            HolderPhase::Idle => 1,
            HolderPhase::Arriving => 2,
            HolderPhase::Blocked if holder.is_stalled(now) => 3,
            HolderPhase::Served | HolderPhase::Blocked => return None,
        };
        Some((key, (group, holder.moved_at)))
    });
    let chosen = candidates.min_by_key(|(_, order)| *order);
    chosen.map(|(key, _)| key)
}
