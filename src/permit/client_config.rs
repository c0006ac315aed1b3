use std::time::Duration;

/// The limits of a [`PermitClient`](super::PermitClient).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientConfig {
    /// Timeout of a bid or a release; must exceed the time for which the holder lets a bid wait.
    pub bid_timeout: Duration,
    /// Maximum number of concurrent bids; further ones are refused.
    pub max_concurrent_bids: usize,
    /// Maximum number of attempts to release a permit; one that is not released expires after the
    /// longest possible load.
    pub release_attempts: u32,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self {
            bid_timeout: Duration::from_secs(1),
            max_concurrent_bids: 1024,
            release_attempts: 3,
        }
    }
}
