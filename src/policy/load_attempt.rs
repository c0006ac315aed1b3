use std::time::Duration;

/// Progress of loading an adapter that has a permit, a load in progress or failed loads.
#[derive(Debug, Clone, Default)]
pub(super) struct LoadAttempt {
    /// When the unused permit expires; `None` without an unused permit.
    pub(super) permit_until: Option<Duration>,
    /// When the load in progress was ordered; `None` if no load is in progress.
    pub(super) started_at: Option<Duration>,
    /// Number of consecutive failed loads.
    pub(super) failures: u32,
    /// Earliest time of the next bid, which backs off after failures.
    pub(super) retry_at: Duration,
}
