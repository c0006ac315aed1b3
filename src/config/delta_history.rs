use std::collections::VecDeque;

use crate::table::TableDelta;

/// The most recent deltas of the tables; each one starts from the revision of its predecessor.
#[derive(Debug, Default)]
pub(super) struct DeltaHistory {
    deltas: VecDeque<TableDelta>,
    rows: usize,
}

impl DeltaHistory {
    /// Maximum number of deltas. At one edit per 4 s, a node that was disconnected for 8 minutes
    /// still gets a delta.
    const MAX_DELTAS: usize = 128;

    /// Maximum number of changed and removed rows in all deltas. Deltas with more rows would be
    /// larger than the complete set of 1 MB.
    const MAX_ROWS: usize = 4_096;

    /// Appends a delta and evicts the oldest ones beyond the limits. A complete delta clears the
    /// history, since it does not start from a revision.
    pub(super) fn push(&mut self, delta: TableDelta) {
        if delta.is_complete() {
            self.deltas.clear();
            self.rows = 0;
            return;
        }
        self.rows += row_count(&delta);
        self.deltas.push_back(delta);
        while self.deltas.len() > Self::MAX_DELTAS || self.rows > Self::MAX_ROWS {
            match self.deltas.pop_front() {
                Some(oldest) => self.rows -= row_count(&oldest),
                None => break,
            }
        }
    }

    /// Merges the deltas since `base`; returns `None` if the history does not reach back to it.
    pub(super) fn since(&self, base: u64) -> Option<TableDelta> {
        let start = self.deltas.iter().position(|delta| delta.base == base)?;
        let mut deltas = self.deltas.range(start..);
        let first = deltas.next()?.clone();
        Some(deltas.fold(first, |joined, delta| joined.merge(delta)))
    }
}

fn row_count(delta: &TableDelta) -> usize {
    delta.rows.len() + delta.removed.len()
}
