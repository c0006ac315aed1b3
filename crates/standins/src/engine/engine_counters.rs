use serde::{Deserialize, Serialize};

/// What an engine has done since the stand-in was started; restarts do not reset it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Loads that were started.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Adapters that were evicted.
    pub evictions: u64,
    /// Evictions of an adapter on which requests ran or waited; a violation by the owner.
    pub evictions_while_running: u64,
    /// Orders that were rejected because of an old epoch.
    pub fenced_orders: u64,
    /// Completions that were accepted.
    pub completions: u64,
    /// Completions that ended with their last token.
    pub finished: u64,
    /// Completions that were refused.
    pub refused: u64,
    /// Streams that were resumed.
    pub resumes: u64,
    /// Attempts that were cancelled.
    pub cancels: u64,
    /// Cold restarts, including crashes.
    pub restarts: u64,
    /// Cold restarts caused by a request with the marker.
    pub crashes: u64,
    /// Tokens that were generated.
    pub tokens: u64,
    /// The highest number of requests that ran at the same time.
    pub peak_running: u32,
}
