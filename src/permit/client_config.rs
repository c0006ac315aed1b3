use std::time::Duration;

/// The limits of a [`PermitClient`](super::PermitClient).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientConfig {
    /// Time to wait for the reply to one bid; longer than the holder lets a bid wait.
    pub bid_timeout: Duration,
    /// Bids under way at once; further ones are refused.
    pub max_concurrent_bids: usize,
    /// Tries to return a permit; a lost one is freed after the longest possible load.
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
