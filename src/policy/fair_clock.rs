use std::collections::BTreeMap;

use crate::id::{AdapterRef, CallerId};

/// Hands out start tags for fair queueing among callers and adapters.
///
/// An item starts where the previous items of its caller and of its adapter end, so neither gets
/// more than its share while others wait; with no backlog the order is the order of arrival.
#[derive(Debug, Clone, Default)]
pub(super) struct FairClock {
    virtual_time: u64,
    sequence: u64,
    callers: BTreeMap<CallerId, u64>,
    adapters: BTreeMap<Option<AdapterRef>, u64>,
}

impl FairClock {
    pub(super) fn tag(
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

    /// Moves the clock to the tag of an item that starts service.
    pub(super) fn serve(&mut self, tag: (u64, u64)) {
        self.virtual_time = self.virtual_time.max(tag.0);
    }

    /// Forgets flows without backlog; called when a rank has nothing waiting.
    pub(super) fn reset(&mut self) {
        self.virtual_time = 0;
        self.callers.clear();
        self.adapters.clear();
    }
}
