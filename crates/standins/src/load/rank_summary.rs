use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::LatencySummary;

/// The outcome of the requests of one rank, or of all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankSummary {
    /// Requests that were sent.
    pub count: u64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// The others, by the code of the failure.
    pub errors: BTreeMap<String, u64>,
    /// Latency to the first token in microseconds.
    pub first_token_us: LatencySummary,
    /// Latency to the end of the answer in microseconds.
    pub end_us: LatencySummary,
    /// Answers with an event that named another adapter or version.
    pub adapter_mismatches: u64,
    /// Complete answers with another text than the adapter gives.
    pub text_mismatches: u64,
}
