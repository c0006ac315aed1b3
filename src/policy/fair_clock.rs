use std::collections::BTreeMap;

use crate::id::{AdapterRef, CallerId};

/// Assigns start tags for start-time fair queueing among callers and adapters.
///
/// The start tag of an item is the end of the previous items of its caller and of its adapter, so
/// neither gets more than its share while others wait. Without a backlog, items are served in the
/// order of arrival.
#[derive(Debug, Clone, Default)]
pub(super) struct FairClock {
    virtual_time: u64,
    sequence: u64,
    callers: BTreeMap<CallerId, u64>,
    adapters: BTreeMap<Option<AdapterRef>, u64>,
}

impl FairClock {
    /// Returns the start tag of a new item and a sequence number that orders equal start tags.
    pub(super) fn assign_tag(
        &mut self,
        caller: &CallerId,
        adapter: Option<&AdapterRef>,
        tokens: u32,
    ) -> (u64, u64) {
        let adapter = adapter.cloned();
        let caller_end = self.callers.get(caller).copied().unwrap_or(0);
        let adapter_end = self.adapters.get(&adapter).copied().unwrap_or(0);
        let start = self.virtual_time.max(caller_end).max(adapter_end);
        let end = start.saturating_add(u64::from(tokens.max(1)));
        self.callers.insert(caller.clone(), end);
        self.adapters.insert(adapter, end);
        self.sequence += 1;
        (start, self.sequence)
    }

    /// Advances the virtual time to the start tag of an item that enters service.
    pub(super) fn advance_to(&mut self, tag: (u64, u64)) {
        self.virtual_time = self.virtual_time.max(tag.0);
    }

    /// Resets the virtual time and all flows; called when the queue of a rank becomes empty.
    pub(super) fn reset(&mut self) {
        self.virtual_time = 0;
        self.callers.clear();
        self.adapters.clear();
    }
}
