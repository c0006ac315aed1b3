use std::collections::VecDeque;

use crate::table::TableDelta;

/// The last changes of the tables, each starting where the one before ends.
#[derive(Debug, Default)]
pub(super) struct DeltaHistory {
    deltas: VecDeque<TableDelta>,
    rows: usize,
}

impl DeltaHistory {
    /// At one change per 4 s a node that was cut off for 8 minutes still gets a difference.
    const MAX_DELTAS: usize = 128;

    /// A longer history would cost more than the complete set of 1 MB.
    const MAX_ROWS: usize = 4_096;

    /// Adds a change.
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

    /// Joins the changes since `base`, or returns `None` if the history does not reach back to it.
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
