//! Takeover in [`UpstreamScheduler`] of an engine that still holds adapters of previous owners.

use std::time::Duration;

use super::{ScheduleAction, UpstreamScheduler};
use crate::id::AdapterRef;

impl UpstreamScheduler {
    /// Sets the number of slots, not counting those that a previous owner still occupies.
    ///
    /// If there are fewer slots than resident adapters, no load starts until enough are evicted.
    pub fn set_slots(&mut self, slots: u32) {
        self.residency.set_slots(slots);
    }

    /// Pins an adapter while requests of a previous owner may still run on it, so that it is not
    /// evicted.
    pub fn pin_adapter(&mut self, adapter: &AdapterRef, now: Duration) {
        self.residency.pin(adapter, now);
    }

    /// Releases a pin of [`pin_adapter`](Self::pin_adapter).
    pub fn unpin_adapter(&mut self, adapter: &AdapterRef, now: Duration) -> Vec<ScheduleAction> {
        self.residency.unpin(adapter, now);
        self.tick(now)
    }
}
