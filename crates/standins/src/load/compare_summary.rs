use serde::{Deserialize, Serialize};

use super::{LatencySummary, LoadSummary};

/// The latency of one path minus that of another, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddedLatency {
    /// The difference of the medians.
    pub p50: i64,
    /// The difference of the 99th percentiles.
    pub p99: i64,
}

impl AddedLatency {
    fn new(direct: LatencySummary, node: LatencySummary) -> Self {
        let minus = |node: u64, direct: u64| node.cast_signed() - direct.cast_signed();
        Self {
            p50: minus(node.p50, direct.p50),
            p99: minus(node.p99, direct.p99),
        }
    }
}

/// The result of a run that sent the same requests to an upstream and to nodes in turns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompareSummary {
    /// Added latency to the first token.
    pub added_first_token_us: AddedLatency,
    /// Added latency to the end of the answer.
    pub added_end_us: AddedLatency,
    /// The requests to the upstream.
    pub direct: LoadSummary,
    /// The requests to the nodes.
    pub node: LoadSummary,
}

impl CompareSummary {
    pub(super) fn new(direct: LoadSummary, node: LoadSummary) -> Self {
        Self {
            added_first_token_us: AddedLatency::new(
                direct.all.first_token_us,
                node.all.first_token_us,
            ),
            added_end_us: AddedLatency::new(direct.all.end_us, node.all.end_us),
            direct,
            node,
        }
    }
}
