use std::time::Duration;

use super::claim_counters::ClaimCounters;
use super::{ClaimConfig, ClaimHooks, ClaimStorage};

/// What the shards of a store have in common.
#[derive(Debug)]
pub(super) struct ClaimContext {
    pub(super) storage: ClaimStorage,
    pub(super) config: ClaimConfig,
    pub(super) hooks: ClaimHooks,
    pub(super) counters: ClaimCounters,
}

impl ClaimContext {
    /// Draws the delay before the next try, so that instances in conflict do not meet again.
    pub(super) fn retry_delay(&self) -> Duration {
        self.config.retry_delay.mul_f64(rand::random::<f64>())
    }
}
