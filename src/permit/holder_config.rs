use std::time::Duration;

/// The limits of a [`PermitHolder`](super::PermitHolder).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderConfig {
    /// Time without a call after which the holder starts over, because another instance may have
    /// taken over meanwhile.
    pub lease: Duration,
    /// Time for which a bid stands unless it is renewed.
    pub bid_ttl: Duration,
    /// Bids kept for each weight store; a new one beyond that replaces the least valuable.
    pub bid_limit: usize,
    /// Time within which an unused permit may be used.
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
