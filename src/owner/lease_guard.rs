use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::time::ClockSource;

/// Detects that the process was paused for longer than its lease.
///
/// The membership loop renews the lease after each update of its view of the members; after a start
/// or a pause it first waits until the view has settled. Every order and dispatch checks the lease
/// first, so that a process that resumes after a pause sends no orders on the basis of an outdated
/// view.
#[derive(Debug, Clone)]
pub struct LeaseGuard {
    clock: ClockSource,
    lease: Duration,
    renewed_at_ms: Arc<AtomicU64>,
}

impl LeaseGuard {
    /// Creates a guard whose lease is not valid until the first [`LeaseGuard::renew`].
    #[must_use]
    pub fn new(clock: ClockSource, lease: Duration) -> Self {
        Self {
            clock,
            lease,
            renewed_at_ms: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Extends the lease by its full duration from now.
    pub fn renew(&self) {
        // Incremented by one, because zero stands for "never renewed".
        self.renewed_at_ms
            .store(millis(self.clock.now()) + 1, Ordering::Release);
    }

    /// Returns whether the last renewal is more recent than the lease duration.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let renewed_at = self.renewed_at_ms.load(Ordering::Acquire);
        renewed_at > 0 && millis(self.clock.now()) + 1 - renewed_at < millis(self.lease)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX - 1)
}
