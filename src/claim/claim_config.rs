use std::time::Duration;

/// The limits of a [`ClaimStore`](super::ClaimStore).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimConfig {
    /// Number of objects that claims are distributed over; must be the same on all instances.
    pub shards: usize,
    /// Time after its last change for which a claim is kept.
    pub retention: Duration,
    /// Maximum size of an object in bytes.
    pub object_limit: usize,
    /// Size in bytes of the largest response body that is stored for resends of a request.
    pub body_limit: usize,
    /// Number of queued changes of one object at which further claims are refused.
    pub queue_limit: usize,
    /// Maximum number of changes that are written together.
    pub batch_limit: usize,
    /// Failed calls of the object store after which the changes of a batch are refused.
    pub max_failures: u32,
    /// Conflicts with other instances after which the changes of a batch are refused.
    pub max_conflicts: u32,
    /// Longest random delay before a retry after a conflict or a failure.
    pub retry_delay: Duration,
    /// Longest delay between two attempts to withdraw claims whose write has an unknown effect.
    pub withdraw_delay: Duration,
}

impl Default for ClaimConfig {
    fn default() -> Self {
        Self {
            shards: 64,
            retention: Duration::from_hours(24),
            // The platform stores values of up to 1 MB.
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
