use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use crate::id::{OwnerEpoch, UpstreamId};

/// Maximum number of entries; the lowest epochs are evicted first, since later owners have replaced
/// theirs.
const MAX_ENTRIES: usize = 4_096;

/// Records the epochs that their owners have handed over.
#[derive(Debug, Default)]
pub struct ReleaseLedger {
    entries: Mutex<BTreeMap<(OwnerEpoch, UpstreamId), bool>>,
}

impl ReleaseLedger {
    /// Records a handover; once recorded as released, an epoch stays released.
    pub fn record(&self, upstream: &UpstreamId, epoch: OwnerEpoch, is_released: bool) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        *entries.entry((epoch, upstream.clone())).or_default() |= is_released;
        while entries.len() > MAX_ENTRIES {
            entries.pop_first();
        }
    }

    /// Returns whether all requests of a handed-over epoch have ended, or `None` if no handover of
    /// the epoch is recorded.
    #[must_use]
    pub fn release_state(&self, upstream: &UpstreamId, epoch: OwnerEpoch) -> Option<bool> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.get(&(epoch, upstream.clone())).copied()
    }
}
