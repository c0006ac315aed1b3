use serde::Serialize;

/// Figures of one rank in one window of arrival times.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RankFigures {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests answered before their deadline.
    pub served: u64,
    /// Requests answered after their deadline.
    pub late: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests refused after their deadline.
    pub refused_late: u64,
    /// Requests whose adapter was not resident when they reached the worker.
    pub stalled: u64,
    /// Median time from arrival to dispatch, in milliseconds.
    pub wait_p50_ms: f64,
    /// 99th percentile of the time from arrival to dispatch, in milliseconds.
    pub wait_p99_ms: f64,
    /// Tokens produced in the window, whenever their requests arrived.
    pub tokens: f64,
    /// Tokens produced relative to what the rank's floor guarantees or, if less, it asked for.
    pub kept: f64,
}
