use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use crate::id::{OwnerEpoch, UpstreamId};

/// Entries kept; the lowest epochs go first, since later owners have replaced them.
const LEDGER_LIMIT: usize = 4_096;

/// Remembers which epochs their owners have handed over.
#[derive(Debug, Default)]
pub struct ReleaseLedger {
    entries: Mutex<BTreeMap<(OwnerEpoch, UpstreamId), bool>>,
}

impl ReleaseLedger {
    /// Records a handover; an epoch that was released stays released.
    pub fn record(&self, upstream: &UpstreamId, epoch: OwnerEpoch, is_released: bool) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        *entries.entry((epoch, upstream.clone())).or_default() |= is_released;
        while entries.len() > LEDGER_LIMIT {
            entries.pop_first();
        }
    }

    /// Returns whether the epoch was handed over, and if so whether its requests have ended.
    #[must_use]
    pub fn release_state(&self, upstream: &UpstreamId, epoch: OwnerEpoch) -> Option<bool> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.get(&(epoch, upstream.clone())).copied()
    }
}
