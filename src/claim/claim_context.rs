use std::time::Duration;

use super::claim_counters::ClaimCounters;
use super::{ClaimConfig, ClaimHooks, ClaimStorage};

/// The configuration, storage and counters shared by the shards of a store.
#[derive(Debug)]
pub(super) struct ClaimContext {
    pub(super) storage: ClaimStorage,
    pub(super) config: ClaimConfig,
    pub(super) hooks: ClaimHooks,
    pub(super) counters: ClaimCounters,
}

impl ClaimContext {
    /// Draws a random retry delay, so that conflicting instances do not retry at the same time.
    pub(super) fn retry_delay(&self) -> Duration {
        self.config.retry_delay.mul_f64(rand::random::<f64>())
    }
}
