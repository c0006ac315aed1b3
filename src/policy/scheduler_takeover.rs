//! Taking over an upstream on which former owners left adapters.

use std::time::Duration;

use super::{ScheduleAction, UpstreamScheduler};
use crate::id::AdapterRef;

impl UpstreamScheduler {
    /// Sets the number of slots; those that a former owner still blocks are not counted.
    ///
    /// With fewer slots than resident adapters, no load starts until enough are evicted.
    pub fn set_slots(&mut self, slots: u32) {
        self.residency.set_slots(slots);
    }

    /// Keeps an adapter from being evicted while requests of a former owner may run on it.
    pub fn pin_adapter(&mut self, adapter: &AdapterRef, now: Duration) {
        self.residency.pin(adapter, now);
    }

    /// Ends a [`pin_adapter`](Self::pin_adapter).
    pub fn unpin_adapter(&mut self, adapter: &AdapterRef, now: Duration) -> Vec<ScheduleAction> {
        self.residency.unpin(adapter, now);
        self.tick(now)
    }
}
