use std::fmt;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::id::InstanceId;

type LiveCheck = dyn Fn(&InstanceId, u64) -> bool + Send + Sync;
type WallClock = dyn Fn() -> Duration + Send + Sync;

/// The liveness check and the clock that a [`ClaimStore`](super::ClaimStore) depends on.
#[derive(Clone)]
pub struct ClaimHooks {
    is_live: Arc<LiveCheck>,
    now: Arc<WallClock>,
}

impl ClaimHooks {
    /// Creates hooks from a check of whether an incarnation of an instance is live.
    ///
    /// The clock is the system's wall clock, because claims outlive processes and a monotonic clock
    /// is not comparable between them. It only affects the expiry of claims and whether a pending
    /// claim counts as "in progress" or as "unknown".
    pub fn new(is_live: impl Fn(&InstanceId, u64) -> bool + Send + Sync + 'static) -> Self {
        Self {
            is_live: Arc::new(is_live),
            now: Arc::new(|| {
                SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default()
            }),
        }
    }

    /// Replaces the clock; `now` must return the time since the Unix epoch.
    #[must_use]
    pub fn with_clock(mut self, now: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        self.now = Arc::new(now);
        self
    }

    pub(super) fn is_live(&self, instance: &InstanceId, incarnation: u64) -> bool {
        (self.is_live)(instance, incarnation)
    }

    pub(super) fn now(&self) -> Duration {
        (self.now)()
    }
}

impl fmt::Debug for ClaimHooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClaimHooks").finish_non_exhaustive()
    }
}
