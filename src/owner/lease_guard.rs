use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::time::ClockSource;

/// Detects that the process was paused longer than its lease.
///
/// The registry renews the guard each time it has confirmed the membership. Every order and
/// dispatch checks it first, so that a process that wakes after a pause orders nothing before it
/// has learned what happened meanwhile.
#[derive(Debug, Clone)]
pub struct LeaseGuard {
    clock: ClockSource,
    lease: Duration,
    renewed_at_ms: Arc<AtomicU64>,
}

impl LeaseGuard {
    /// Creates a guard that has lapsed.
    #[must_use]
    pub fn new(clock: ClockSource, lease: Duration) -> Self {
        Self {
            clock,
            lease,
            renewed_at_ms: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Starts a new term.
    pub fn renew(&self) {
        // One is added so that zero can mean "never".
        self.renewed_at_ms
            .store(millis(self.clock.now()) + 1, Ordering::Release);
    }

    /// Returns whether the term is still running.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let renewed_at = self.renewed_at_ms.load(Ordering::Acquire);
        renewed_at > 0 && millis(self.clock.now()) + 1 - renewed_at < millis(self.lease)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX - 1)
}
