use std::time::Duration;

/// The limits of a [`PermitHolder`](super::PermitHolder).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderConfig {
    /// Time without a call after which the holder resets its state, because another instance may
    /// have become the holder meanwhile.
    pub lease: Duration,
    /// Time after which a bid expires unless it is renewed.
    pub bid_ttl: Duration,
    /// Maximum number of bids queued per weight store; beyond it, a new bid replaces the least
    /// valuable one if it is more valuable.
    pub bid_limit: usize,
    /// Time after a grant within which the load has to start.
    pub grant_validity: Duration,
}

impl Default for HolderConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(3),
            bid_ttl: Duration::from_secs(2),
            bid_limit: 16_384,
            grant_validity: Duration::from_secs(1),
        }
    }
}
