use std::collections::VecDeque;

use bytes::Bytes;

/// Bounds the old values that are kept for stale reads.
const HISTORY_LIMIT: usize = 9;

/// The latest values of one object with their versions.
#[derive(Debug, Default)]
pub(super) struct VersionHistory {
    values: VecDeque<(u64, Bytes)>,
}

impl VersionHistory {
    /// Adds a value and returns its version; versions count from 1.
    pub(super) fn push(&mut self, value: Bytes) -> u64 {
        let version = self.values.back().map_or(1, |(version, _)| version + 1);
        if self.values.len() == HISTORY_LIMIT {
            self.values.pop_front();
        }
        self.values.push_back((version, value));
        version
    }

    /// Returns the value `lag` versions back, or the oldest that is kept.
    pub(super) fn at(&self, lag: usize) -> Option<(u64, Bytes)> {
        let newest = self.values.len().checked_sub(1)?;
        self.values.get(newest.saturating_sub(lag)).cloned()
    }
}
