use std::time::Duration;

/// Time after the end of a process within which its last orders and requests may still arrive at an
/// engine.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// What is known about the owner that loaded an adapter in an earlier epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EpochStatus {
    /// The owner has ended its work; the adapter may be used and evicted.
    Released,
    /// The owner orders nothing any more but has requests running: the adapter may be used and
    /// not evicted.
    Draining,
    /// The owner's process has ended: after a drain the adapter may be used, and evicted once idle.
    Dead {
        /// Time since its end was noticed.
        dead_for: Duration,
    },
    /// The owner may still act; the adapter's slot is not available.
    Silent {
        /// Time since it was last heard from.
        silent_for: Duration,
    },
}

impl EpochStatus {
    /// Returns whether the new owner may dispatch requests to adapters of the epoch.
    ///
    /// `silence_limit` is the silence after which operators let a silent owner count as dead.
    #[must_use]
    pub fn is_usable(self, silence_limit: Option<Duration>) -> bool {
        match self {
            Self::Released | Self::Draining => true,
            Self::Dead { dead_for } => dead_for >= DRAIN_TIME,
            Self::Silent { silent_for } => silence_limit.is_some_and(|limit| silent_for >= limit),
        }
    }

    /// Returns whether an adapter of the epoch with `running` requests may be evicted.
    #[must_use]
    pub fn is_evictable(self, silence_limit: Option<Duration>, running: u32) -> bool {
        match self {
            Self::Released => true,
            Self::Draining => false,
            Self::Dead { .. } | Self::Silent { .. } => {
                running == 0 && self.is_usable(silence_limit)
            }
        }
    }
}
