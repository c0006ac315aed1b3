use std::sync::atomic::{AtomicU64, Ordering};

use super::ClaimCounts;

/// The atomic counters that [`ClaimCounts`] is a snapshot of.
#[derive(Debug, Default)]
pub(super) struct ClaimCounters {
    pub(super) reads: AtomicU64,
    pub(super) writes: AtomicU64,
    pub(super) conflicts: AtomicU64,
    pub(super) failures: AtomicU64,
    pub(super) granted: AtomicU64,
    pub(super) refused: AtomicU64,
}

impl ClaimCounters {
    pub(super) fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn to_counts(&self) -> ClaimCounts {
        ClaimCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            conflicts: self.conflicts.load(Ordering::Relaxed),
            failures: self.failures.load(Ordering::Relaxed),
            granted: self.granted.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
        }
    }
}
