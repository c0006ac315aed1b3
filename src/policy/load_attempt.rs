use std::time::Duration;

/// The state of an adapter that requests wait for and that has a permit, a load or failed loads.
#[derive(Debug, Clone, Default)]
pub(super) struct LoadAttempt {
    /// When the unused permit lapses.
    pub(super) permit_until: Option<Duration>,
    /// When the load in progress was ordered.
    pub(super) started_at: Option<Duration>,
    /// Loads that failed in a row.
    pub(super) failures: u32,
    /// No bid is made before this time.
    pub(super) retry_at: Duration,
}
