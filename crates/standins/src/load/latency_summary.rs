use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Percentiles of a latency in microseconds; zero without samples.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// The median.
    pub p50: u64,
    /// The 95th percentile.
    pub p95: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The highest value.
    pub max: u64,
}

impl LatencySummary {
    pub(super) fn from_histogram(histogram: &Histogram<u64>) -> Self {
        Self {
            p50: histogram.value_at_quantile(0.5),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
            max: histogram.max(),
        }
    }
}
