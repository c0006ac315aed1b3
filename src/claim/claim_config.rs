use std::time::Duration;

/// The limits of a [`ClaimStore`](super::ClaimStore).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimConfig {
    /// Number of objects over which the claims are spread; the same on all instances.
    pub shards: usize,
    /// Time for which a claim is kept after its last change.
    pub retention: Duration,
    /// Size in bytes that an object never exceeds.
    pub object_limit: usize,
    /// Size in bytes of the largest body that is kept for callers that send a request again.
    pub body_limit: usize,
    /// Changes that wait for one object; further ones are refused.
    pub queue_limit: usize,
    /// Changes written together.
    pub batch_limit: usize,
    /// Calls of the object store that may fail before the changes of a batch are refused.
    pub max_failures: u32,
    /// Conflicts with other instances before the changes of a batch are refused.
    pub max_conflicts: u32,
    /// The longest random delay before the next try after a conflict or failure.
    pub retry_delay: Duration,
    /// The longest delay between two tries to withdraw a claim whose write was not settled.
    pub withdraw_delay: Duration,
}

impl Default for ClaimConfig {
    fn default() -> Self {
        Self {
            shards: 64,
            retention: Duration::from_hours(24),
            // The platform holds values of up to 1 MB.
            object_limit: 990_000,
            body_limit: 4 * 1024,
            queue_limit: 1024,
            batch_limit: 256,
            max_failures: 4,
            max_conflicts: 24,
            retry_delay: Duration::from_millis(40),
            withdraw_delay: Duration::from_secs(30),
        }
    }
}
