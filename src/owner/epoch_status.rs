use std::time::Duration;

/// Time after the end of a process during which its last orders and requests may still reach an
/// engine.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// State of the owner that loaded an adapter in an earlier epoch, as far as this instance knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EpochStatus {
    /// The owner has handed the upstream over and has no requests running; the adapter may be used
    /// and evicted.
    Released,
    /// The owner sends no more orders but still has requests running; the adapter may be used but
    /// not evicted.
    Draining,
    /// The owner's process has ended; after a drain time the adapter may be used, and evicted once
    /// it is idle.
    Dead {
        /// Time since this instance first saw the epoch with its process ended.
        dead_for: Duration,
    },
    /// The owner is unresponsive and may still send orders; the adapter's slot is unavailable.
    Silent {
        /// Time since this instance first saw the epoch with its owner unresponsive.
        silent_for: Duration,
    },
}

impl EpochStatus {
    /// Returns whether the new owner may dispatch requests to adapters of the epoch.
    ///
    /// `silence_limit` is the configured time after which an unresponsive owner is treated as dead;
    /// with `None` it never is.
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
