use std::time::Duration;

use serde::Deserialize;
use serde_with::serde_as;

use crate::unit::{DurationText, SizeText};

/// Section `[limits]`: limits on memory use and waiting times.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// The largest body accepted from a caller, in bytes; a route may set a lower limit.
    #[serde_as(as = "SizeText")]
    pub max_body: u64,
    /// Maximum number of queued requests of each rank at one upstream.
    pub max_queued_requests: u32,
    /// Maximum number of requests from callers that one instance processes at the same time.
    pub max_open_calls: u32,
    /// Maximum time that a shutdown waits for requests in progress.
    #[serde_as(as = "DurationText")]
    pub shutdown: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body: 1 << 20,
            max_queued_requests: 4_096,
            max_open_calls: 16_384,
            shutdown: Duration::from_mins(5),
        }
    }
}
