use std::collections::BTreeMap;

use comfreychute::id::RequestRank;
use serde::{Deserialize, Serialize};

use super::{LatencySummary, RankSummary};

/// The result of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Time from the first request to the last answer, in seconds.
    pub elapsed_s: f64,
    /// Requests per second that were sent.
    pub sent_rate: f64,
    /// Due requests that were not sent because too many were in flight.
    pub not_sent: u64,
    /// Time by which requests were sent later than planned, in microseconds. The timer has a
    /// resolution of 1 ms; higher values mean that the generator was the bottleneck.
    pub send_lag_us: LatencySummary,
    /// All requests.
    pub all: RankSummary,
    /// The requests of each rank.
    pub ranks: BTreeMap<RequestRank, RankSummary>,
}
