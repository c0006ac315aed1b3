use serde::{Deserialize, Serialize};

/// What a plain service has done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainCounters {
    /// Calls that were received.
    pub calls: u64,
    /// Calls that were answered with an ordered failure.
    pub failed: u64,
    /// Calls whose reply was lost on order.
    pub lost: u64,
    /// Crashes caused by a call with the marker.
    pub crashes: u64,
    /// Calls in progress.
    pub running: u32,
    /// The highest number of calls in progress at the same time.
    pub peak_running: u32,
}
