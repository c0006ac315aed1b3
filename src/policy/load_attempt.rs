use std::time::Duration;

/// Load state of an adapter, kept while it has an unused permit, a load in progress or failures.
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
