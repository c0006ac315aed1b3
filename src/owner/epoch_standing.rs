use std::time::Duration;

/// What is known about the owner that loaded an adapter in an earlier epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EpochStanding {
    /// The owner has ended its work; the adapter may be used and evicted.
    Released,
    /// The owner orders nothing any more but has requests running: the adapter may be used and
    /// not evicted.
    Draining,
    /// The owner's process has ended; the adapter may be used, and evicted once idle.
    Dead,
    /// The owner may still act; the adapter's slot is not available.
    Silent {
        /// How long the owner has not been heard from.
        silent_for: Duration,
    },
}

impl EpochStanding {
    /// Returns whether the new owner may dispatch requests to adapters of the epoch.
    #[must_use]
    pub fn is_usable(self, frozen_owner_limit: Duration) -> bool {
        match self {
            Self::Released | Self::Draining | Self::Dead => true,
            Self::Silent { silent_for } => silent_for >= frozen_owner_limit,
        }
    }

    /// Returns whether an adapter of the epoch with `running` requests may be evicted.
    #[must_use]
    pub fn is_evictable(self, frozen_owner_limit: Duration, running: u32) -> bool {
        match self {
            Self::Released => true,
            Self::Draining => false,
            Self::Dead => running == 0,
            Self::Silent { silent_for } => silent_for >= frozen_owner_limit && running == 0,
        }
    }
}
